package scheduler

import (
	"maps"
	"slices"

	"topazhollow/internal/placement"
)

// reservationKey names the room that is reserved for a job on a machine.
type reservationKey struct{ job, machine string }

// reserveForGangs reserves what room there is for gangs that found none for all their tasks, before less urgent work
// is placed. Else small tasks of an array would take each piece that comes free, and gangs of higher priority would
// wait until the array is over. Nothing is reserved for gangs that made no use of it for some time.
func (p *pass) reserveForGangs() {
	for _, w := range p.gangs {
		if w.team.Quota().ReservesCapacityForGangs() {
			p.reserveForGang(w)
		}
	}
	p.gangs = p.gangs[:0]
}

// gangReservation is the search for room to reserve for one gang.
type gangReservation struct {
	pass  *pass
	gang  *waitingTasks
	ask   *placement.Request
	zones *zoneRule
}

// reserveForGang reserves room for one gang: if it is to run in one zone, in that which has the most. Only machines
// that could take all of it if they were empty are reserved; else it needs more machines first, and nobody waits for
// it.
func (p *pass) reserveForGang(w *waitingTasks) {
	r := &gangReservation{pass: p, gang: w, ask: p.scheduler.ask(w.spec), zones: p.scheduler.zoneRule(w)}
	missing, _ := w.team.MissingGangTasks(w.job)
	if p.reserveCleared(w, r.ask) > 0 || !w.team.Quota().Fits(w.job, len(missing)) {
		return // its room is being cleared, or it waits for its team's quota, not for room
	}
	best, found := r.bestZone(len(missing))
	if !found {
		return
	}
	left := len(missing)
	for _, h := range p.hosts {
		for ; left > 0 && r.zoneOf(h) == best && r.ask.Fits(h) && r.accepts(h); left-- {
			h.Allocate(r.ask)
			r.zones.take(h)
			p.reserved[reservationKey{w.spec.UID, h.Name}]++
		}
	}
}

// reserveCleared reserves the room that is being cleared for a gang by evictions, also what is too little for one of
// its tasks so far. It gives the number of tasks that the room is for.
func (p *pass) reserveCleared(w *waitingTasks, ask *placement.Request) (tasks int) {
	cleared := p.scheduler.gangSlots(w.spec.UID)
	for _, h := range p.hosts {
		for range cleared[h.Name] {
			h.CPUs = max(0, h.CPUs-ask.CPUs)
			h.GPUs = max(0, h.GPUs-ask.GPUs)
			h.MemoryGB = max(0, h.MemoryGB-ask.MemoryGB)
			tasks++
		}
	}
	return tasks
}

// accepts says whether the gang may use a host if it has room.
func (r *gangReservation) accepts(h *placement.Host) bool {
	return r.ask.Allows(h) && !r.gang.job.Avoids(h.Name, r.pass.now) && r.zones.allows(h)
}

// zoneOf is the zone that a host counts for: all count alike if the gang's zones may differ.
func (r *gangReservation) zoneOf(h *placement.Host) int {
	if r.gang.spec.OneZone {
		return h.Zone
	}
	return anyZone
}

// bestZone is the zone with the most free room of those that could take all missing tasks.
func (r *gangReservation) bestZone(missing int) (best int, found bool) {
	s, spec := r.pass.scheduler, r.gang.spec
	empty, free := map[int]int{}, map[int]int{} // how many tasks fit, by zone
	for _, m := range s.placeable {
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
