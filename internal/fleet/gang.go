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

// in is the gang as one that has to run in a zone.
func in(s *wire.Submission, zone string) *wire.Submission {
	c := *s
	c.Zone = &zone
	return &c
}

// allowed lists the machines that a job may use.
func (l *layout) allowed(s *wire.Submission) (bins []*bin) {
	for _, b := range l.bins {
		if allowed(s, b.pool.Type, b.pool.Zone, b.pool.Spot) {
			bins = append(bins, b)
		}
	}
	return bins
}

// together is when so many tasks of a job first have room at the same time, or infinity.
func (l *layout) together(s *wire.Submission, count int) float64 {
	bins := l.allowed(s)
	times := []float64{0}
	for _, b := range bins {
		for _, r := range b.free {
			times = append(times, r.at)
		}
	}
	slices.Sort(times)
	times = slices.Compact(times)
	i, _ := slices.BinarySearchFunc(times, true, func(at float64, _ bool) int {
		if sum(bins, s, at, count) < count {
			return -1
		}
		return 0
	})
	if i == len(times) {
		return math.Inf(1)
	}
	return times[i]
}

// sum is how many tasks have room from a time on; it stops counting at enough.
func sum(bins []*bin, s *wire.Submission, at float64, enough int) (n int) {
	for _, b := range bins {
		if n += b.fits(s, at); n >= enough {
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
	zone, zones := "", zonesOf(types)
	soonest := map[string]float64{}
	for _, z := range zones {
		soonest[z] = l.together(in(d.Spec, z), d.Count)
		if soonest[z] < at {
			zone, at = z, soonest[z]
		}
	}
	if start(at) > allowance {
		least := math.MaxInt
		var from pool
		var typ *wire.MachineType
		for _, z := range zones {
			dz := *d
			dz.Spec = in(d.Spec, z)
			p, t := f.cheapest(types, &dz, want, start(soonest[z]), now)
			if t == nil {
				continue
			}
			lacks := d.Count - sum(l.allowed(dz.Spec), dz.Spec, f.boot(p, t), d.Count)
			each := max(newBin(p, t, 0).fits(dz.Spec, 0), 1)
			if need := max((lacks+each-1)/each, 1); need < least {
				least, from, typ = need, p, t
			}
		}
		if typ != nil {
			zone, at, rented = from.Zone, f.boot(from, typ), true
			want[from] += least
			for range least {
				l.bins = append(l.bins, newBin(from, typ, at))
			}
		}
	}
	if math.IsInf(at, 1) {
		return at, false
	}
	s := in(d.Spec, zone)
	left := d.Count
	for _, b := range l.allowed(s) {
		if left > 0 && b.fits(s, at) > 0 {
			left -= b.take(s, at, run, left)
		}
	}
	return at, rented
}
