package autoscaler

import (
	"math"
	"slices"

	"topazhollow/internal/protocol"
)

// A gang of one zone starts once all its tasks have room there at the same time. Laid out task by task, on whatever
// machine has room soonest, it seemed to start long before it could, and what was acquired for it was spread over all
// zones.

// zonesOf lists the zones that any type has machines in, in the order of the catalog.
func zonesOf(types []protocol.MachineType) (zones []string) {
	for i := range types {
		for _, z := range types[i].Zones {
			if !slices.Contains(zones, z) {
				zones = append(zones, z)
			}
		}
	}
	return zones
}

// gangPlace is a gang in one of the zones that it could run in.
type gangPlace struct {
	spec *protocol.Submission // as one that has to run there
	bins []*bin               // that it may use there
	at   float64              // when all of it first has room there, or infinity
}

// gangPlaces lists the zones for so many tasks of a gang.
func (l *layout) gangPlaces(types []protocol.MachineType, s *protocol.Submission, count int) (places []gangPlace) {
	for _, zone := range zonesOf(types) {
		there := *s
		there.Zone = &zone
		p := gangPlace{spec: &there}
		for _, b := range l.bins {
			if allowed(p.spec, b.pool.Type, b.pool.Zone, b.pool.Spot) {
				p.bins = append(p.bins, b)
			}
		}
		p.at = p.earliestStart(count)
		places = append(places, p)
	}
	return places
}

// earliestStart is when so many tasks first have room at the same time, or infinity.
func (p *gangPlace) earliestStart(count int) float64 {
	times := []float64{0}
	for _, b := range p.bins {
		for _, r := range b.changes {
			times = append(times, r.at)
		}
	}
	slices.Sort(times)
	times = slices.Compact(times)
	i, _ := slices.BinarySearchFunc(times, true, func(at float64, _ bool) int {
		if p.room(at, count) < count {
			return -1
		}
		return 0
	})
	if i == len(times) {
		return math.Inf(1)
	}
	return times[i]
}

// room is how many tasks have room from a time on; it stops counting at enough.
func (p *gangPlace) room(at float64, enough int) (n int) {
	for _, b := range p.bins {
		if n += b.fits(p.spec, at); n >= enough {
			break
		}
	}
	return n
}

// gangOffer is what machines to acquire for a gang in one of its zones.
type gangOffer struct {
	place       *gangPlace
	pool        pool
	machineType *protocol.MachineType
	count       int
}

// placeGang places in the forecast a gang of one zone where it can start soonest, or acquires what it lacks in the zone
// that lacks least, if that would be late. It says in how many seconds the gang starts by that, and whether machines
// are acquired for it; the time is infinite if there is no room and none to acquire.
func (r *scaleOutPass) placeGang(t *task) (at float64, rented bool) {
	places := r.layout.gangPlaces(r.types, t.demand.Spec, t.demand.Count)
	at = math.Inf(1)
	var best *gangPlace
	for i := range places {
		if p := &places[i]; p.at < at {
			best, at = p, p.at
		}
	}
	if r.expectedStart(t, at) > t.allowance {
		if offer, ok := r.gangOffer(t, places); ok {
			best, at, rented = offer.place, r.addForGang(&offer), true
		}
	}
	if best == nil {
		return at, false
	}
	left := t.demand.Count
	for _, b := range best.bins {
		if left > 0 && b.fits(best.spec, at) > 0 {
			left -= b.take(best.spec, at, t.run, left)
		}
	}
	return at, rented
}

// gangOffer finds the zone in which the fewest machines have to be acquired for a gang.
func (r *scaleOutPass) gangOffer(t *task, places []gangPlace) (best gangOffer, found bool) {
	total := t.demand.Count
	for i := range places {
		p := &places[i]
		there := *t.demand
		there.Spec = p.spec
		from, machineType := r.fleet.cheapest(r.types, &there, r.wanted, r.expectedStart(t, p.at), r.now)
		if machineType == nil {
			continue
		}
		lacks := total - p.room(r.fleet.bootSeconds(from, machineType), total)
		each := max(p.spec.TasksThatFit(machineType.CPUs, machineType.GPUs, machineType.MemoryGB), 1)
		count := max((lacks+each-1)/each, 1)
		if !found || count < best.count {
			best, found = gangOffer{place: p, pool: from, machineType: machineType, count: count}, true
		}
	}
	return best, found
}

// addForGang records the machines of an offer, and says in how many seconds they are up.
func (r *scaleOutPass) addForGang(offer *gangOffer) (up float64) {
	up = r.fleet.bootSeconds(offer.pool, offer.machineType)
	r.wanted[offer.pool] += offer.count
	for range offer.count {
		b := newBin(offer.pool, offer.machineType, up)
		r.layout.bins = append(r.layout.bins, b)
		offer.place.bins = append(offer.place.bins, b)
	}
	return up
}
