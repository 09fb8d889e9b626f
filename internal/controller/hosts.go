package controller

import (
	"iter"
	"maps"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
)

// Machines as placement sees them: the room that each has as far as known here.

func (n *Node) ask(s *protocol.Submission) *placement.Ask {
	a := &placement.Ask{CPUs: s.CPUs, GPUs: s.GPUs, Memory: s.MemoryGB, Zone: -1, Spot: s.Spot, Image: s.Image, ImageGB: s.ImageGB, Run: s.EstimateSeconds, Class: s.Class}
	if s.Kind == protocol.Service {
		a.Run = 1e6
	}
	if s.Zone != nil {
		a.Zone = n.zoneIndex(*s.Zone)
	}
	if s.Types != nil {
		a.Types = []int{}
		for i := range n.machineTypes {
			if slices.Contains(s.Types, n.machineTypes[i].Name) {
				a.Types = append(a.Types, i)
			}
		}
	}
	return a
}

// zoneIndex is a zone's dense index; an unknown one matches no machine.
func (n *Node) zoneIndex(zone string) int {
	if i := slices.Index(n.settings.Deployment.Zones, zone); i >= 0 {
		return i
	}
	return 1 << 20
}

// hosts lists the machines that may take tasks, with their free room as far as
// this controller knows; those only that have room for least, if that is not nil. A stale
// guess costs a refusal at the machine's home. Only machines where something changed are
// counted anew. A machine whose home has not heard it since the term was raised takes no
// orders yet.
func (n *Node) hosts(now time.Time, least *placement.Ask) []*placement.Host {
	n.recountMoved()
	fresh := 2*time.Duration(n.settings.Deployment.Agents.HeartbeatSeconds*float64(time.Second)) + 3*time.Second
	drain := n.draining()
	away := map[string]bool{} // homes that no order reaches
	for name, p := range n.peers {
		away[name] = !p.connected || !p.isReachable(now)
	}
	plan := n.admission.agreement.InForce()
	scratch := &n.hostBuffer
	if least == nil {
		scratch = &n.allHostsBuffer
	}
	*scratch = (*scratch)[:0]
	for _, m := range n.placeable {
		v := m.status
		if m.gone || v.Term != n.leadership.Term() || !n.count(m) || least != nil && !least.Fits(&m.host) {
			continue
		}
		if v.Notice || n.runsUndescribedJob(v) || now.Sub(m.heardAt) > fresh || away[n.homeFor(m, v.Machine)] || n.quarantine.IsMachineBad(v.Machine, now) || n.slow(m, now) {
			continue
		}
		if !drain[v.Machine] && n.roster.Has(v.Machine) {
			*scratch = append(*scratch, m.host)
			(*scratch)[len(*scratch)-1].ReservedClass = plan.ReservedClass(v.Machine)
		}
	}
	hosts := make([]*placement.Host, len(*scratch))
	for i := range *scratch {
		hosts[i] = &(*scratch)[i]
	}
	return hosts
}

// recountMoved marks the machines where own teams' attempts came or went.
func (n *Node) recountMoved() {
	for shard := range n.shards.All() {
		n.recount(maps.Keys(shard.Team().TakeChangedMachines()))
	}
}

func (n *Node) recount(names iter.Seq[string]) {
	for name := range names {
		if m := n.machines[name]; m != nil {
			m.counted = false
		}
	}
}

// count brings a machine's entry for placement up to date; false if its type is
// unknown.
func (n *Node) count(m *machine) bool {
	if m.counted {
		return true
	}
	v := m.status
	t := slices.IndexFunc(n.machineTypes, func(t protocol.MachineType) bool { return t.Name == v.Type })
	if t < 0 {
		return false
	}
	h := placement.Host{Name: v.Machine, Type: t, Zone: n.zoneIndex(v.Zone), Spot: v.Spot, Session: v.Incarnation, Fetch: n.machineTypes[t].FetchGBPerSecond, Images: m.images}
	if h.Price = n.machineTypes[t].PricePerHour; v.Spot {
		h.Price = n.machineTypes[t].SpotPricePerHour
	}
	h.CPUs, h.GPUs, h.Memory = n.free(m)
	pulls := map[string]bool{}
	for _, t := range v.Tasks {
		if j := n.jobs[t.Job]; j != nil && t.State == protocol.Pulling {
			pulls[j.spec.Image] = true
		}
	}
	h.Pulls = len(pulls)
	m.host, m.counted = h, true
	return true
}

// slow says whether a machine was found slow of late.
func (n *Node) slow(m *machine, now time.Time) bool {
	return !m.slowAt.IsZero() && now.Sub(m.slowAt) < time.Minute
}

// free is a machine's room beside what it lists and what own teams hold there.
func (n *Node) free(m *machine) (cpus, gpus, memory float64) {
	cpus, gpus, memory, _ = n.capacity(m.status.Type)
	listed := map[jobstate.AttemptRef]bool{}
	for _, t := range m.status.Tasks {
		listed[t.Ref()] = true
		if t.State != protocol.Exited {
			c, g, r := n.taskSize(t.Job)
			cpus, gpus, memory = cpus-c, gpus-g, memory-r
		}
	}
	for shard := range n.shards.All() {
		shard.Team().AssignmentsOn(m.status.Machine, func(h jobstate.Assignment) {
			if !listed[h.Ref()] {
				cpus, gpus, memory = cpus-h.CPUs, gpus-h.GPUs, memory-h.Memory
			}
		})
	}
	return cpus, gpus, memory
}
