package scheduler

import (
	"iter"
	"slices"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
)

// Acceptance tells which machines accept tasks at one point in time.
type Acceptance struct {
	// Basis is a comparable value of everything that acceptance by all machines depends on. When it differs from that of
	// the previous update, all machines are checked.
	Basis any
	// Volatile yields the machines that must be checked at this update although neither their status nor Basis changed.
	Volatile iter.Seq[string]
	// Check reports whether a machine accepts tasks now. If it does, it continues to do so up to and including the time
	// until, as long as its status and Basis stay the same and it is neither invalidated nor volatile.
	Check func(status *jobstate.MachineStatus) (accepts bool, until time.Time)
}

// hostIndex maintains the hosts that passes choose from. An update takes time for the machines that changed since the
// previous one, not for all machines.
type hostIndex struct {
	stale     []*machine // to be updated; each is listed once
	updating  []*machine // taken by the last update; its capacity is used for stale again
	unsettled []*machine // to be checked in each update, because they do not accept tasks or may stop doing so at any time
	expiries  expiryQueue
	basis     any             // as of the last update
	plan      *admission.Plan // as of the last update

	accepting  hostList // all machines that accept tasks
	rooms      []room   // free capacity of the machines in accepting
	selections [recentSelections]selection
	uses       uint64 // number of calls of withRoom
}

// recentSelections is the number of most recently used minimum requests for which the hosts with room are maintained.
const recentSelections = 4

// selection lists the machines that accept tasks and have room for a minimum request.
type selection struct {
	hostList
	least    placement.Request
	lastUsed uint64 // value of hostIndex.uses; 0 if the selection was never used
}

// room is the free capacity of a machine.
type room struct{ cpus, gpus, memoryGB float64 }

// without returns the room that is left once a task takes some.
func (r room) without(cpus, gpus, memoryGB float64) room {
	return room{r.cpus - cpus, r.gpus - gpus, r.memoryGB - memoryGB}
}

// roomOf returns the free capacity of a host.
func roomOf(h *placement.Host) room { return room{h.CPUs, h.GPUs, h.MemoryGB} }

// markStale schedules a machine's host for the next update.
func (x *hostIndex) markStale(m *machine) {
	if !m.hostStale {
		m.hostStale = true
		x.stale = append(x.stale, m)
	}
}

// takeStale returns the machines to update and empties the list. The result is valid until the next call.
func (x *hostIndex) takeStale() []*machine {
	clear(x.updating)
	x.updating, x.stale = x.stale, x.updating[:0]
	for _, m := range x.updating {
		m.hostStale = false
	}
	return x.updating
}

// markUnsettled marks the machines that must be checked in each update.
func (x *hostIndex) markUnsettled() {
	unsettled := x.unsettled
	x.unsettled = x.unsettled[:0]
	for _, m := range unsettled {
		x.markStale(m)
	}
}

// settle records when a machine must be checked again.
func (x *hostIndex) settle(m *machine, until, now time.Time) {
	if m.accepts && until.After(now) {
		x.expiries.add(m, until)
	} else {
		x.unsettled = append(x.unsettled, m)
	}
}

// maxSingleUpdates is the number of stale machines above which building the lists anew is cheaper than inserting and
// deleting machines one by one.
const maxSingleUpdates = 64

// updateLists adds a machine to the lists that it belongs in and removes it from the others.
func (x *hostIndex) updateLists(m *machine) {
	i, present := x.accepting.find(m)
	switch {
	case m.accepts && present:
		x.rooms[i] = roomOf(&m.host)
	case m.accepts:
		x.accepting.insert(i, m)
		x.rooms = slices.Insert(x.rooms, i, roomOf(&m.host))
	case present:
		x.accepting.remove(i)
		x.rooms = slices.Delete(x.rooms, i, i+1)
	}
	for i := range x.selections {
		x.selections[i].update(m)
	}
}

// rebuildLists builds all lists anew. Ordered lists all machines in the order of their first report.
func (x *hostIndex) rebuildLists(ordered []*machine) {
	x.accepting.clear()
	x.rooms = x.rooms[:0]
	for _, m := range ordered {
		if m.accepts {
			x.accepting.add(m.order, &m.passHost)
			x.rooms = append(x.rooms, roomOf(&m.host))
		}
	}
	for i := range x.selections {
		if s := &x.selections[i]; s.lastUsed > 0 {
			s.selectFrom(&x.accepting, x.rooms)
		}
	}
}

// withRoom returns the hosts that accept tasks and have room for a minimum request.
func (x *hostIndex) withRoom(least *placement.Request) []*placement.Host {
	x.uses++
	oldest := &x.selections[0]
	for i := range x.selections {
		s := &x.selections[i]
		if s.lastUsed > 0 && s.least.CPUs == least.CPUs && s.least.GPUs == least.GPUs && s.least.MemoryGB == least.MemoryGB {
			s.lastUsed = x.uses
			return s.hosts
		}
		if s.lastUsed < oldest.lastUsed {
			oldest = s
		}
	}
	oldest.lastUsed, oldest.least = x.uses, *least
	oldest.selectFrom(&x.accepting, x.rooms)
	return oldest.hosts
}

// selectFrom lists the machines that have room for the minimum request.
func (s *selection) selectFrom(accepting *hostList, rooms []room) {
	s.clear()
	for i, r := range rooms {
		if s.least.FitsIn(r.cpus, r.gpus, r.memoryGB) {
			s.add(accepting.orders[i], accepting.hosts[i])
		}
	}
}

// update adds a machine to the selection or removes it, as it accepts tasks and has room.
func (s *selection) update(m *machine) {
	if s.lastUsed == 0 {
		return
	}
	fits := m.accepts && s.least.Fits(&m.host)
	if i, present := s.find(m); fits && !present {
		s.insert(i, m)
	} else if !fits && present {
		s.remove(i)
	}
}

// hostList lists hosts in the order of their machines' first report.
type hostList struct {
	orders []uint64 // machine.order of each host
	hosts  []*placement.Host
}

// find returns the position of a machine, or where it is to be inserted.
func (l *hostList) find(m *machine) (i int, present bool) {
	return slices.BinarySearch(l.orders, m.order)
}

func (l *hostList) insert(i int, m *machine) {
	l.orders, l.hosts = slices.Insert(l.orders, i, m.order), slices.Insert(l.hosts, i, &m.passHost)
}

func (l *hostList) remove(i int) {
	l.orders, l.hosts = slices.Delete(l.orders, i, i+1), slices.Delete(l.hosts, i, i+1)
}

func (l *hostList) clear() { l.orders, l.hosts = l.orders[:0], l.hosts[:0] }

// add appends a host, whose machine must follow those in the list.
func (l *hostList) add(order uint64, h *placement.Host) {
	l.orders, l.hosts = append(l.orders, order), append(l.hosts, h)
}

// Hosts returns the machines that accept tasks, with their free capacity as known to this controller. If least is not
// nil, machines without room for it are left out. Stale data is safe: the machine's home refuses a task that does not
// fit. The result is valid until the next call and must not be changed.
func (s *Scheduler) Hosts(snapshot Snapshot, now time.Time, least *placement.Request) []*placement.Host {
	s.updateHosts(snapshot, now)
	if least == nil {
		return s.hosts.accepting.hosts
	}
	return s.hosts.withRoom(least)
}

// updateHosts updates the hosts of the machines that changed since the last update.
func (s *Scheduler) updateHosts(snapshot Snapshot, now time.Time) {
	acceptance, plan := snapshot.AcceptingMachines(now), snapshot.Plan()
	s.InvalidateMachines(snapshot.TakeChangedMachines())
	s.markRechecks(&acceptance, plan, now)
	stale := s.hosts.takeStale()
	for _, m := range stale {
		s.updateHost(m, snapshot, &acceptance, now)
	}
	if len(stale) > maxSingleUpdates {
		s.hosts.rebuildLists(s.orderedMachines)
		return
	}
	for _, m := range stale {
		s.hosts.updateLists(m)
	}
}

// markRechecks marks the machines whose acceptance or reservation may have changed without a change of their status.
func (s *Scheduler) markRechecks(acceptance *Acceptance, plan *admission.Plan, now time.Time) {
	if acceptance.Basis != s.hosts.basis {
		s.hosts.basis = acceptance.Basis
		for _, m := range s.orderedMachines {
			s.hosts.markStale(m)
		}
	}
	if plan != s.hosts.plan {
		s.markReserved(s.hosts.plan)
		s.markReserved(plan)
		s.hosts.plan = plan
	}
	for name := range acceptance.Volatile {
		s.markStale(name)
	}
	s.hosts.markUnsettled()
	for m := range s.hosts.expiries.takeExpired(now) {
		s.hosts.markStale(m)
	}
}

// markReserved marks the machines that a plan reserves.
func (s *Scheduler) markReserved(plan *admission.Plan) {
	if plan == nil {
		return
	}
	for name := range plan.Reserved {
		s.markStale(name)
	}
}

// markStale marks a machine's host as changed, if the machine is known.
func (s *Scheduler) markStale(name string) {
	if m := s.machines[name]; m != nil {
		s.hosts.markStale(m)
	}
}

// updateHost brings a machine's host, and whether it accepts tasks, up to date.
func (s *Scheduler) updateHost(m *machine, assignments Assignments, acceptance *Acceptance, now time.Time) {
	m.accepts = false
	if m.removed {
		return
	}
	until := time.Time{}
	if s.refreshRoom(m, assignments) {
		m.accepts, until = acceptance.Check(m.status)
	}
	m.passHost = m.host
	m.passHost.ReservedClass = s.hosts.plan.ReservedClass(m.status.Machine)
	s.hosts.settle(m, until, now)
}
