package leasegrant_test

import (
	"slices"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leasegrant"
	"topazhollow/internal/protocol"
)

// This file models the machines, and the controllers in their role as homes.

// commandRequest is a request with commands in flight.
type commandRequest struct {
	machine, from      int
	token, incarnation uint64
	commands           []protocol.Command
	late               bool // this request alone is delayed, independently of its path and machine
}

func capacity(string) (float64, float64, float64, bool) { return 8, 0, 64, true }
func size(string) (float64, float64, float64)           { return 1, 0, 0 }
func discardLog(string, ...any)                         {}

// stopOrphanedTasks makes a home stop the tasks that machines list for the job once it has ended, like
// Node.stopOrphanedTasks.
func (w *world) stopOrphanedTasks(c *controller) {
	if c.record == nil {
		return
	}
	for k := range w.machines {
		m := c.home.Get(machineName(k))
		if m == nil || c.record.Home(machineName(k)) != names[c.index] || !c.known || c.active {
			continue
		}
		var orders []jobstate.Order
		for _, t := range m.Heartbeat.Tasks {
			o := jobstate.Order{Op: protocol.Stop, TaskID: jobstate.TaskID{Job: jobUID}, Attempt: t.Attempt, Incarnation: m.Heartbeat.Incarnation}
			if t.State == protocol.Exited {
				o.Op = protocol.Forget
			}
			orders = append(orders, o)
		}
		c.home.QueueOrders(c.record.Term, machineName(k), orders)
	}
}

// sendCommands sends a home's commands that are due, like Node.sendCommandsOnce.
func (w *world) sendCommands(c *controller) {
	for k, m := range w.machines {
		at := c.home.Get(machineName(k))
		if at != nil {
			w.prepareCommands(c, at)
		}
		if at == nil || !at.ShouldSend() || !w.entitled(c) || at.HasQueuedStart() && !c.watermark.MayRenew(w.now, time.Time{}) && w.mutant != "starts are sent without a watermark" {
			continue
		}
		late := w.nextStartLate && at.HasQueuedStart()
		d := commandRequest{machine: k, from: c.index, token: c.record.Term, incarnation: at.Heartbeat.Incarnation, commands: at.TakeForRequest(), late: late}
		if late || m.hung || m.unreachable || w.pathHeld[k][c.index] {
			w.nextStartLate = w.nextStartLate && !late
			if late || !m.unreachable {
				w.heldUp = append(w.heldUp, d)
			}
			at.FinishRequest(d.commands, false, true)
			continue
		}
		w.receiveCommands(d)
		if w.keepsCopies && slices.ContainsFunc(d.commands, func(x protocol.Command) bool { return x.Op == protocol.Start }) {
			w.answered = append(w.answered, d)
		}
		r := m.heartbeat()
		c.home.ApplyHeartbeat(&r, w.now)
		at.FinishRequest(d.commands, true, true)
	}
}

// jobEnded mirrors Node.jobEnded.
func (w *world) jobEnded(c *controller) func(string) bool {
	ended := c.known && !c.active || c.ended && w.mutant != "a late read revives an ended job"
	return func(string) bool { return ended }
}

// prepareCommands mirrors Node.prepareCommands.
func (w *world) prepareCommands(c *controller, m *agents.Agent) {
	if w.mutant != "starts of ended jobs are sent" {
		m.DropStarts(w.jobEnded(c))
	}
	m.SetWatermark(w.now, c.watermark.KnownUntil(w.now))
}

// receiveCommands makes an agent execute a request with commands.
func (w *world) receiveCommands(d commandRequest) {
	m := w.machines[d.machine]
	if d.token < m.token || d.incarnation != m.incarnation {
		return
	}
	m.token = d.token
	w.execute(m, d.commands)
}

// releaseHeldUp delivers those of the delayed requests that may arrive now.
func (w *world) releaseHeldUp(arrives func(*commandRequest) bool) {
	held := w.heldUp
	w.heldUp = nil
	for _, d := range held {
		if arrives(&d) {
			w.receiveCommands(d)
		} else {
			w.heldUp = append(w.heldUp, d)
		}
	}
}

func (w *world) execute(m *machine, commands []protocol.Command) {
	for _, x := range commands {
		at := slices.IndexFunc(m.tasks, func(t protocol.TaskStatus) bool { return t.Task == x.Task && t.Attempt == x.Attempt })
		switch {
		case x.Op == protocol.Start && at < 0:
			t := protocol.TaskStatus{Task: x.Task, Attempt: x.Attempt, State: protocol.Running}
			if slices.ContainsFunc(m.tasks, func(o protocol.TaskStatus) bool { return o.State != protocol.Exited }) {
				t.State, t.Reason = protocol.Exited, protocol.ReasonInUse
			} else if w.pastCancelTime() {
				w.broken = "a task starts after the job's cancellation time"
			}
			m.tasks = append(m.tasks, t)
		case x.Op == protocol.Stop && at >= 0 && m.tasks[at].State != protocol.Exited:
			m.tasks[at].State, m.tasks[at].Reason = protocol.Exited, protocol.ReasonStopped
		case x.Op == protocol.Forget && at >= 0 && m.tasks[at].State == protocol.Exited:
			m.tasks = slices.Delete(m.tasks, at, at+1)
		}
	}
	w.checkInvariants()
}

func (m *machine) heartbeat() protocol.Heartbeat {
	m.seq++
	return protocol.Heartbeat{Machine: machineName(m.index), Type: "m", Incarnation: m.incarnation, Seq: m.seq, FencingToken: m.token, Tasks: slices.Clone(m.tasks)}
}

// sendHeartbeat makes an agent send its heartbeat to one controller after the other until one answers it.
func (w *world) sendHeartbeat(m *machine) {
	var unanswered [3]bool
	for try := 0; try < 5 && !m.hung; try++ {
		c := w.controllers[m.reportsTo]
		if !c.up || w.pathHeld[m.index][c.index] {
			unanswered[c.index] = true
			m.reportsTo = (m.reportsTo + 1) % 3
			continue
		}
		r := m.heartbeat()
		a := w.answerHeartbeat(c, &r, &unanswered)
		switch {
		case m.unreachable:
			m.reportsTo = (m.reportsTo + 1) % 3
		case a.status == 200:
			if a.token >= m.token && a.token > 0 {
				m.token, m.leaseRenewedAt = a.token, w.now
				w.execute(m, a.commands)
				if w.mutant == "attempts are forgotten under the term of their starts" {
					m.tasks = slices.DeleteFunc(m.tasks, func(t protocol.TaskStatus) bool { return t.State == protocol.Exited })
				}
			}
			return
		case a.status == 421:
			m.reportsTo = a.to
		default:
			m.reportsTo = (m.reportsTo + 1) % 3
		}
	}
}

type answer struct {
	status   int
	to       int
	token    uint64
	commands []protocol.Command
}

// answerHeartbeat mirrors Node.answerHeartbeat.
func (w *world) answerHeartbeat(c *controller, r *protocol.Heartbeat, unanswered *[3]bool) answer {
	if !w.entitled(c) {
		for k := range names {
			if p := &c.peers[k]; k != c.index && p.entitled && p.statusAt.Equal(w.now) {
				return answer{status: 421, to: k}
			}
		}
		if c.record == nil || r.FencingToken > c.record.Term {
			return answer{status: 503}
		}
		if grant := w.leaseGrant(c, r); grant.Renewed && len(grant.Stops) == 0 {
			return answer{status: 200, token: c.record.Term}
		}
		return answer{status: 503}
	}
	if r.FencingToken > c.record.Term {
		return answer{status: 503}
	}
	home := slices.Index(names[:], c.record.Home(r.Machine))
	if home != c.index {
		if c.peers[home].statusAt.Equal(w.now) && !unanswered[home] {
			return answer{status: 421, to: home}
		}
		if grant := w.leaseGrant(c, r); grant.Renewed {
			return answer{200, 0, c.record.Term, grant.Stops}
		}
		return answer{status: 503}
	}
	c.home.ApplyHeartbeat(r, w.now)
	c.homeWatermarks[slices.Index([]string{machineName(0), machineName(1)}, r.Machine)] = w.now
	grant := w.leaseGrant(c, r)
	if !grant.Renewed {
		return answer{status: 503}
	}
	w.prepareCommands(c, c.home.Get(r.Machine))
	return answer{200, 0, c.record.Term, append(grant.Stops, c.home.Get(r.Machine).TakeForAnswer()...)}
}

// leaseGrant mirrors Node.leaseGrant.
func (w *world) leaseGrant(c *controller, r *protocol.Heartbeat) leasegrant.Grant {
	k := slices.Index([]string{machineName(0), machineName(1)}, r.Machine)
	role := leasegrant.ControllerRole{IsHome: c.record.Home(r.Machine) == names[c.index] && c.record.Nodes[names[c.index]] == c.incarnation,
		LeaseValid: c.lease.Valid(w.now) && w.entitled(c) || w.mutant == "other controllers need no watermark of the home", HomeWatermark: c.homeWatermarks[k]}
	if m := c.home.Get(r.Machine); m != nil {
		if w.mutant != "starts in flight do not bound renewals" {
			role.InFlightWatermark = m.InFlightWatermark(w.jobEnded(c))
		}
	}
	return leasegrant.Decide(r, w.now, role, &knowledge{w, c})
}

// knowledge implements leasegrant.ControllerView for a controller of the model.
type knowledge struct {
	w *world
	c *controller
}

func (k *knowledge) JobState(string) leasegrant.JobState {
	switch {
	case k.w.mutant == "ended jobs are not stopped":
		return leasegrant.Active
	case k.c.active && k.c.known && k.w.mutant == "a late read revives an ended job":
		return leasegrant.Active
	case k.c.ended, k.c.known && !k.c.active:
		return leasegrant.Ended
	case k.c.known, k.w.mutant == "tasks of unknown jobs are renewed":
		return leasegrant.Active
	}
	return leasegrant.Unknown
}

func (k *knowledge) StartOrdered(attempt jobstate.AttemptRef) bool {
	for i := range k.w.machines {
		if m := k.c.home.Get(machineName(i)); m != nil {
			if sent, ok := m.StartOrdered(attempt); ok && (sent.IsZero() || !k.c.watermark.LastRead().After(sent)) {
				return true
			}
		}
	}
	return false
}

func (k *knowledge) MayBeLost(uint64) bool { return false }

func (k *knowledge) MayRenew(now, bound time.Time) bool {
	return k.w.mutant == "renewals need no watermark" || k.c.watermark.MayRenew(now, bound)
}
