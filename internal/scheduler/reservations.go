package scheduler

import (
	"maps"
	"slices"

	"topazhollow/internal/placement"
)

// reservationKey identifies the capacity that is reserved for a job on a machine.
type reservationKey struct{ job, machine string }

// reserveForGangs reserves free capacity for gangs that could not be placed as a whole, before less urgent work is
// placed. Otherwise small array tasks would take every piece of capacity as it becomes free, and gangs of higher
// priority would wait until the array ends. Nothing is reserved for a team whose reservations have gone unused for some
// time.
func (p *pass) reserveForGangs() {
	for _, w := range p.unplacedGangs {
		if w.team.Quota().ReservesCapacityForGangs() {
			p.reserveForGang(w)
		}
	}
	p.unplacedGangs = p.unplacedGangs[:0]
}

// gangReservation is the search for capacity to reserve for one gang.
type gangReservation struct {
	pass  *pass
	gang  *waitingTasks
	ask   *placement.Request
	zones *zoneRule
}

// reserveForGang reserves capacity for one gang. A gang that must run in one zone gets the zone with the most free
// capacity. Nothing is reserved where the gang would not fit even on empty machines: it needs more machines first, and
// holding capacity back from other work would not help it.
func (p *pass) reserveForGang(w *waitingTasks) {
	r := &gangReservation{pass: p, gang: w, ask: p.scheduler.ask(w.spec), zones: p.scheduler.zoneRule(w)}
	missing, _ := w.team.MissingGangTasks(w.job)
	if p.reserveEvictionRoom(w, r.ask) > 0 || !w.team.Quota().Fits(w.job, len(missing)) {
		return // evictions are freeing capacity for it already, or it waits for quota
	}
	best, found := r.bestZone(len(missing))
	if !found {
		return
	}
	left := len(missing)
	for _, h := range p.hosts {
		for ; left > 0 && r.zoneOf(h) == best && r.ask.Fits(h) && r.accepts(h); left-- {
			p.allocate(h, r.ask)
			r.zones.take(h)
			p.reserved[reservationKey{w.spec.UID, h.Name}]++
		}
	}
}

// reserveEvictionRoom reserves the free capacity on machines where tasks are being evicted for a gang, even if it does
// not yet suffice for one of the gang's tasks. It returns the number of tasks that the capacity is for.
func (p *pass) reserveEvictionRoom(w *waitingTasks, ask *placement.Request) (tasks int) {
	cleared := p.scheduler.gangSlots(w.spec.UID)
	if len(cleared) == 0 {
		return 0
	}
	for _, h := range p.hosts {
		for range cleared[h.Name] {
			p.scheduler.markStale(h.Name)
			h.CPUs = max(0, h.CPUs-ask.CPUs)
			h.GPUs = max(0, h.GPUs-ask.GPUs)
			h.MemoryGB = max(0, h.MemoryGB-ask.MemoryGB)
			tasks++
		}
	}
	return tasks
}

// accepts reports whether the gang may use a host, regardless of the host's free capacity.
func (r *gangReservation) accepts(h *placement.Host) bool {
	return r.ask.Allows(h) && !r.gang.job.Avoids(h.Name, r.pass.now) && r.zones.allows(h)
}

// zoneOf returns a host's zone, or anyZone if the gang may span several zones.
func (r *gangReservation) zoneOf(h *placement.Host) int {
	if r.gang.spec.OneZone {
		return h.Zone
	}
	return anyZone
}

// bestZone returns the zone with the most free capacity among those that could hold all missing tasks when empty.
func (r *gangReservation) bestZone(missing int) (best int, found bool) {
	s, spec := r.pass.scheduler, r.gang.spec
	empty, free := map[int]int{}, map[int]int{} // number of tasks that fit, by zone
	for _, m := range s.orderedMachines {
		if cpus, gpus, memory, ok := s.Capacity(m.status.Type); ok && r.accepts(&m.host) {
			empty[r.zoneOf(&m.host)] += spec.TasksThatFit(cpus, gpus, memory)
		}
	}
	for _, h := range r.pass.hosts {
		if r.accepts(h) {
			free[r.zoneOf(h)] += spec.TasksThatFit(h.CPUs, h.GPUs, h.MemoryGB)
		}
	}
	best = anyZone
	for _, zone := range slices.Sorted(maps.Keys(empty)) {
		if empty[zone] >= missing && (!found || free[zone] > free[best]) {
			best, found = zone, true
		}
	}
	return best, found
}
