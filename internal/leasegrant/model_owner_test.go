package leasegrant_test

import (
	"slices"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// This file models the owner of the job's team, which places the task and orders starts and stops.

func spec() *protocol.Submission {
	return &protocol.Submission{UID: jobUID, Team: "red", Kind: protocol.JobArray, Priority: "high", Tasks: 1, CPUs: 1, EstimateSeconds: 600}
}

// actAsOwner makes the team's owner process the machines' statuses, place the task and send orders.
func (w *world) actAsOwner(c *controller) {
	if c.teamState == nil || !w.entitled(c) {
		return
	}
	for k := range w.machines {
		if h := w.homeOf(c, k); h != nil {
			w.applyStatus(c, h, k)
		}
	}
	if c.awaited != [2]bool{} {
		return
	}
	if j := c.teamState.Job(jobUID); j != nil {
		j.Pending(w.now, func(index int) bool {
			for k, v := range c.statuses {
				if v != nil && v.FencingToken >= c.record.Term && !j.Avoids(machineName(k), w.now) && !w.machines[k].hung {
					return c.teamState.Place(j, index, jobstate.Location{Machine: machineName(k), Incarnation: v.Incarnation})
				}
			}
			return false
		})
	}
	acked := uint64(0)
	c.teamState.TakeDeltas()
	if w.replicates(c) {
		acked = c.teamState.Replica().Seq
		w.replica = jobstate.FromCopy(c.teamState.Replica().Copy())
	}
	due := c.teamState.TakeDueOrders(acked, w.now, func(name string, incarnation uint64) bool {
		v := c.statuses[slices.Index([]string{machineName(0), machineName(1)}, name)]
		return v != nil && v.Incarnation == incarnation
	})
	for k := range w.machines {
		if orders := due[machineName(k)]; len(orders) > 0 {
			w.sendOrders(c, k, orders)
		}
	}
}

// replicates reports whether the owner reaches every replica in sync.
func (w *world) replicates(c *controller) bool {
	for _, name := range c.record.Shards[team].InSync {
		k := slices.Index(names[:], name)
		if k != c.index && (!w.linked(c.index, k) || w.controllers[k].incarnation != c.record.Nodes[name]) {
			return false
		}
	}
	return true
}

// homeOf returns a machine's home according to a controller's record, or nil if the two controllers are not connected.
func (w *world) homeOf(c *controller, k int) *controller {
	h := slices.Index(names[:], c.record.Home(machineName(k)))
	if h != c.index && !w.linked(c.index, h) {
		return nil
	}
	return w.controllers[h]
}

func (w *world) applyStatus(c, home *controller, k int) {
	v := home.home.Status(machineName(k))
	if v == nil || c.statuses[k] != nil && !v.Newer(c.statuses[k]) {
		return
	}
	c.statuses[k] = v
	if v.FencingToken >= c.sinceTerm {
		c.awaited[k] = false
	}
	if c.awaited != [2]bool{} {
		return
	}
	orders := c.teamState.Observe(v, w.now, jobKnowledge{c})
	if len(orders) > 0 {
		w.sendOrders(c, k, orders)
	}
}

// jobKnowledge gives the team's state access to what a controller knows of the job.
type jobKnowledge struct{ c *controller }

func (k jobKnowledge) Job(string) jobstate.JobInfo {
	return jobstate.JobInfo{Known: k.c.known, OwnTeam: true, Active: k.c.active, Spec: spec()}
}

func (k jobKnowledge) UnknownSizeBound(*jobstate.MachineStatus) (cpus, gpus float64) {
	return spec().CPUs, spec().GPUs
}

func (w *world) sendOrders(c *controller, k int, orders []jobstate.Order) {
	h := w.homeOf(c, k)
	if h == nil {
		c.teamState.RetractUnsent(orders)
		return
	}
	if h == c || w.entitled(h) {
		h.home.QueueOrders(c.record.Term, machineName(k), orders)
	}
}
