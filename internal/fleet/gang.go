package fleet

import (
	"math"
	"slices"
	"time"

	"topazhollow/internal/wire"
)

// A gang of one zone starts once all its tasks have room there at the same time. Laid out task by task, on whatever
// machine has room soonest, it seemed to start long before it could, and what was rented for it was spread over all
// zones.

// zonesOf lists the zones that any type has machines in, in the order of the catalog.
func zonesOf(types []wire.MachineType) (zones []string) {
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
	spec *wire.Submission // as one that has to run there
	bins []*bin           // that it may use there
	at   float64          // when all of it first has room there, or infinity
}

// gangPlaces lists the zones for so many tasks of a gang.
func (l *layout) gangPlaces(types []wire.MachineType, s *wire.Submission, count int) (places []gangPlace) {
	for _, zone := range zonesOf(types) {
		there := *s
		there.Zone = &zone
		p := gangPlace{spec: &there}
		for _, b := range l.bins {
			if allowed(p.spec, b.pool.Type, b.pool.Zone, b.pool.Spot) {
				p.bins = append(p.bins, b)
			}
		}
		p.at = p.together(count)
		places = append(places, p)
	}
	return places
}

// together is when so many tasks first have room at the same time, or infinity.
func (p *gangPlace) together(count int) float64 {
	times := []float64{0}
	for _, b := range p.bins {
		for _, r := range b.free {
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

// layGang lays out a gang of one zone where it can start soonest, or rents what it lacks in the zone that lacks
// least, if that would be late. start makes of a time one that is to be expected. It says when the gang starts
// by that, and whether machines are rented for it; the time is infinite if there is no room and none to rent.
func (f *Fleet) layGang(l *layout, types []wire.MachineType, d *Demand, want map[pool]int, run, allowance float64, start func(float64) float64, now time.Time) (at float64, rented bool) {
	at = math.Inf(1)
	var best *gangPlace
	places := l.gangPlaces(types, d.Spec, d.Count)
	for i := range places {
		if p := &places[i]; p.at < at {
			best, at = p, p.at
		}
	}
	if start(at) > allowance {
		least := math.MaxInt
		var from pool
		var typ *wire.MachineType
		for i := range places {
			p := &places[i]
			there := *d
			there.Spec = p.spec
			place, t := f.cheapest(types, &there, want, start(p.at), now)
			if t == nil {
				continue
			}
			lacks := d.Count - p.room(f.boot(place, t), d.Count)
			each := max(p.spec.Times(t.CPUs, t.GPUs, t.Memory), 1)
			if need := max((lacks+each-1)/each, 1); need < least {
				best, least, from, typ = p, need, place, t
			}
		}
		if typ != nil {
			at, rented = f.boot(from, typ), true
			want[from] += least
			for range least {
				b := newBin(from, typ, at)
				l.bins, best.bins = append(l.bins, b), append(best.bins, b)
			}
		}
	}
	if best == nil {
		return at, false
	}
	left := d.Count
	for _, b := range best.bins {
		if left > 0 && b.fits(best.spec, at) > 0 {
			left -= b.take(best.spec, at, run, left)
		}
	}
	return at, rented
}
