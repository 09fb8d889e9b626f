package controller

import (
	"maps"
	"slices"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
)

// anyZone stands for all zones where a zone's index is expected.
const anyZone = -1

// placeGang finds room for all missing tasks of a gang, or takes none.
func (p *placing) placeGang(w *waitingTasks, ask *placement.Ask) bool {
	missing, attempt := w.shard.Team().MissingGangTasks(w.own)
	if len(missing) == 0 {
		return true // it runs or ends
	}
	for _, zone := range p.n.zonesToTry(w) {
		if p.placeGangIn(zone, w, ask, missing, attempt) {
			return true
		}
	}
	return false
}

// zonesToTry lists the zones in which all of a gang may go, or anyZone if they may differ.
func (n *Node) zonesToTry(w *waitingTasks) []int {
	if !w.own.Spec.OneZone {
		return []int{anyZone}
	}
	var zones []int
	for zone := range n.settings.Deployment.Zones {
		zones = append(zones, zone)
	}
	return zones
}

// placeGangIn places all missing tasks of a gang in a zone, or takes no room.
func (p *placing) placeGangIn(zone int, w *waitingTasks, ask *placement.Ask, missing []int, attempt uint64) bool {
	taken := p.roomForGang(zone, w, ask, missing)
	if len(taken) == len(missing) {
		spots := map[int]jobstate.Location{}
		for index, h := range taken {
			spots[index] = p.n.spot(h)
			h.Images[ask.Image] = true
		}
		if w.shard.Team().PlaceGang(w.own, attempt, spots) {
			return true
		}
	}
	for _, h := range taken {
		h.Release(ask.CPUs, ask.GPUs, ask.Memory)
	}
	return false
}

// roomForGang takes room for as many of a gang's missing tasks as it can, by their index.
func (p *placing) roomForGang(zone int, w *waitingTasks, ask *placement.Ask, missing []int) map[int]*placement.Host {
	rule := p.n.zoneRule(w)
	taken := map[int]*placement.Host{}
	for _, index := range missing {
		h := placement.Choose(p.n.rng, p.hosts, ask, p.n.options.SampleSize, func(h *placement.Host) bool {
			return (zone != anyZone && h.Zone != zone) || w.own.Avoids(h.Name, p.now) || !rule.allows(h)
		})
		if h == nil {
			break
		}
		h.Take(ask)
		rule.take(h)
		taken[index] = h
	}
	return taken
}

// reserveForGangs leaves what room there is to gangs that found none for all their tasks,
// before less urgent work is placed. Else small tasks of an array would take each piece that
// comes free, and gangs of higher priority would wait until the array is over. Nothing is
// left to gangs that made no use of it for some time.
func (p *placing) reserveForGangs() {
	for _, w := range p.gangs {
		if w.shard.Team().ReservesCapacity() {
			p.reserveForGang(w)
		}
	}
	p.gangs = p.gangs[:0]
}

// gangReservation is the search for room to keep for one gang.
type gangReservation struct {
	p    *placing
	w    *waitingTasks
	ask  *placement.Ask
	rule *zoneRule
}

// reserveForGang keeps room for one gang: if it is to run in one zone, in that which has the
// most. Only machines that could take all of it if they were empty are kept; else it needs
// more machines first, and nobody waits for it.
func (p *placing) reserveForGang(w *waitingTasks) {
	r := &gangReservation{p: p, w: w, ask: p.n.ask(w.spec), rule: p.n.zoneRule(w)}
	missing, _ := w.shard.Team().MissingGangTasks(w.own)
	if p.keepCleared(w, r.ask) > 0 || !w.shard.Team().Fits(w.own, len(missing)) {
		return // its room is being cleared, or it waits for its team's quota, not for room
	}
	best, found := r.bestZone(len(missing))
	if !found {
		return
	}
	left := len(missing)
	for _, h := range p.hosts {
		for ; left > 0 && r.zoneOf(h) == best && r.ask.Fits(h) && r.accepts(h); left-- {
			h.Take(r.ask)
			r.rule.take(h)
			p.kept[keptRoom{w.spec.UID, h.Name}]++
		}
	}
}

// accepts says whether the gang may use a host if it has room.
func (r *gangReservation) accepts(h *placement.Host) bool {
	return r.ask.Allows(h) && !r.w.own.Avoids(h.Name, r.p.now) && r.rule.allows(h)
}

// zoneOf is the zone that a host counts for: all count alike if the gang's zones may differ.
func (r *gangReservation) zoneOf(h *placement.Host) int {
	if r.w.spec.OneZone {
		return h.Zone
	}
	return anyZone
}

// bestZone is the zone with the most free room of those that could take all missing tasks.
func (r *gangReservation) bestZone(missing int) (best int, found bool) {
	n, spec := r.p.n, r.w.spec
	empty, free := map[int]int{}, map[int]int{} // how many tasks fit, by zone
	for _, m := range n.placeable {
		if cpus, gpus, memory, ok := n.capacity(m.status.Type); ok && !m.gone && r.accepts(&m.host) {
			empty[r.zoneOf(&m.host)] += spec.TasksThatFit(cpus, gpus, memory)
		}
	}
	for _, h := range r.p.hosts {
		if r.accepts(h) {
			free[r.zoneOf(h)] += spec.TasksThatFit(h.CPUs, h.GPUs, h.Memory)
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
