package autoscaler

import (
	"math"
	"slices"

	"topazhollow/internal/protocol"
)

// A gang that must run in one zone starts once all of its tasks have room there at the same time. Forecasting its tasks
// one by one on whichever machine has room first would predict a start that is much too early and would acquire
// machines spread over all zones. The functions in this file therefore forecast such a gang as a whole.

// zonesOf returns the zones of all machine types, in the order of the catalog.
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

// gangZone is the forecast of a gang in one of the zones that it could run in.
type gangZone struct {
	spec *protocol.Submission // the gang's, restricted to the zone
	bins []*bin               // bins in the zone that the gang may use
	at   float64              // earliest start of the whole gang, in seconds from now, or infinity
}

// gangZones forecasts a gang of count tasks in each zone.
func (f *forecast) gangZones(types []protocol.MachineType, s *protocol.Submission, count int) (zones []gangZone) {
	for _, zone := range zonesOf(types) {
		zoned := *s
		zoned.Zone = &zone
		z := gangZone{spec: &zoned}
		for _, b := range f.bins {
			if allowed(z.spec, b.pool.Type, b.pool.Zone, b.pool.Spot) {
				z.bins = append(z.bins, b)
			}
		}
		z.at = z.earliestStart(count)
		zones = append(zones, z)
	}
	return zones
}

// earliestStart returns when count tasks first have room at the same time, or infinity.
func (z *gangZone) earliestStart(count int) float64 {
	times := []float64{0}
	for _, b := range z.bins {
		for _, r := range b.changes {
			times = append(times, r.at)
		}
	}
	slices.Sort(times)
	times = slices.Compact(times)
	i, _ := slices.BinarySearchFunc(times, true, func(at float64, _ bool) int {
		if z.tasksThatFit(at, count) < count {
			return -1
		}
		return 0
	})
	if i == len(times) {
		return math.Inf(1)
	}
	return times[i]
}

// tasksThatFit returns how many tasks fit from a time on. It stops counting at enough.
func (z *gangZone) tasksThatFit(at float64, enough int) (n int) {
	for _, b := range z.bins {
		if n += b.tasksThatFit(z.spec, at); n >= enough {
			break
		}
	}
	return n
}

// gangScaleOut is a set of machines to acquire for a gang in one zone.
type gangScaleOut struct {
	zone        *gangZone
	pool        pool
	machineType *protocol.MachineType
	count       int
}

// placeGang places a one-zone gang in the zone where it can start first. If that would be late, it instead acquires the
// missing machines in the zone that needs the fewest. It returns in how many seconds the gang starts, and whether
// machines are acquired for it. The time is infinite if there is no capacity and none can be acquired.
func (r *scaleOutPass) placeGang(t *task) (at float64, acquired bool) {
	zones := r.forecast.gangZones(r.types, t.demand.Spec, t.demand.Count)
	at = math.Inf(1)
	var best *gangZone
	for i := range zones {
		if z := &zones[i]; z.at < at {
			best, at = z, z.at
		}
	}
	if r.expectedStart(t, at) > t.latestStart {
		if scaleOut, ok := r.planGangScaleOut(t, zones); ok {
			best, at, acquired = scaleOut.zone, r.addForGang(&scaleOut), true
		}
	}
	if best == nil {
		return at, false
	}
	left := t.demand.Count
	for _, b := range best.bins {
		if left > 0 && b.tasksThatFit(best.spec, at) > 0 {
			left -= b.reserve(best.spec, at, t.run, left)
		}
	}
	return at, acquired
}

// planGangScaleOut finds the zone in which the fewest machines have to be acquired for a gang.
func (r *scaleOutPass) planGangScaleOut(t *task, zones []gangZone) (best gangScaleOut, found bool) {
	total := t.demand.Count
	for i := range zones {
		z := &zones[i]
		zoned := *t.demand
		zoned.Spec = z.spec
		from, machineType := r.autoscaler.cheapestPool(r.types, &zoned, r.wanted, r.expectedStart(t, z.at), r.now)
		if machineType == nil {
			continue
		}
		lacks := total - z.tasksThatFit(r.autoscaler.bootSeconds(from, machineType), total)
		each := max(z.spec.TasksThatFit(machineType.CPUs, machineType.GPUs, machineType.MemoryGB), 1)
		count := max((lacks+each-1)/each, 1)
		if !found || count < best.count {
			best, found = gangScaleOut{zone: z, pool: from, machineType: machineType, count: count}, true
		}
	}
	return best, found
}

// addForGang adds the machines of a gangScaleOut to the forecast and returns in how many seconds they are up.
func (r *scaleOutPass) addForGang(scaleOut *gangScaleOut) (up float64) {
	up = r.autoscaler.bootSeconds(scaleOut.pool, scaleOut.machineType)
	r.wanted[scaleOut.pool] += scaleOut.count
	for range scaleOut.count {
		b := newBin(scaleOut.pool, scaleOut.machineType, up)
		r.forecast.bins = append(r.forecast.bins, b)
		scaleOut.zone.bins = append(scaleOut.zone.bins, b)
	}
	return up
}
