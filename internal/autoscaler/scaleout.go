package autoscaler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// maxScaleOutRequests is the maximum number of requests for one pool in one plan.
const maxScaleOutRequests = 2

// ServiceRunSeconds is the assumed run time of a service's task, in seconds.
const ServiceRunSeconds = 1e6

// scaleOutPass places all waiting tasks in a forecast to find out which machines to acquire.
type scaleOutPass struct {
	autoscaler *Autoscaler
	types      []protocol.MachineType
	arrivals   Arrivals
	now        time.Time
	forecast   forecast
	totalCPUs  float64              // of all machines, including those to be acquired
	wanted     map[pool]int         // machines to be acquired
	startTimes map[string]time.Time // by job, forecast start of its last task
	gangRank   int                  // highest priority rank of a waiting gang that may not use spot machines; -1: none
	counts     Outlook              // of the tasks placed so far
}

// scaleOut places the waiting tasks in a forecast of the existing machines as running tasks end. It acquires machines
// for tasks that would start too late and would start earlier on a new machine. The forecast accounts for future work
// of higher priority at the recent arrival rate, and for jobs that are behind an earlier forecast.
func (a *Autoscaler) scaleOut(plan *Plan, types []protocol.MachineType, bins []*bin, demands []Demand, arrivals Arrivals, now time.Time) {
	r := &scaleOutPass{autoscaler: a, types: types, arrivals: arrivals, now: now, forecast: forecast{bins: bins, queues: map[taskShape]*binQueue{}},
		wanted: map[pool]int{}, startTimes: map[string]time.Time{}, gangRank: -1}
	for _, b := range bins {
		r.totalCPUs += b.totalCPUs
	}
	for i := range demands {
		if demands[i].Count > 0 {
			r.place(&demands[i])
		}
	}
	defer func() { plan.Outlook = r.outlook() }()
	if !a.anyAvailable(types, now) {
		return // no pool accepts requests; keep the forecast start times
	}
	a.recordStartTimes(r.startTimes)
	plan.ScaleOut = a.scaleOutRequests(poolsByUrgency(r.wanted, r.forecast.bins[len(bins):]), r.wanted)
	if len(plan.ScaleOut) > 0 {
		a.scaledOutAt = now
	}
}

// task holds the scheduling parameters of a demand's tasks.
type task struct {
	demand      *Demand
	run         float64 // estimated run time in seconds
	latestStart float64 // seconds from now until the latest start in time
	delay       float64 // seconds that the job is behind its earliest forecast
}

// expectedStart corrects a forecast start, in seconds from now, for future work of a higher rank, which is placed
// first, and for the delay that the job already has.
func (r *scaleOutPass) expectedStart(t *task, at float64) float64 {
	rank := protocol.Rank(t.demand.Spec.Priority)
	return at*r.arrivals.delayFactor(rank, r.totalCPUs) + t.delay
}

// taskOf derives the scheduling parameters of a demand.
func (r *scaleOutPass) taskOf(d *Demand) *task {
	t := &task{demand: d, run: max(d.Spec.EstimateSeconds, 1)}
	if d.Spec.Kind == protocol.Service {
		t.run = ServiceRunSeconds
	}
	t.latestStart = max(0, d.Due.Sub(r.now).Seconds()-r.autoscaler.options.SafetyRunTimes*t.run-ImageFetchSeconds(r.types, d.Spec))
	if by, ok := r.autoscaler.forecastStarts[d.Spec.UID]; ok {
		t.delay = max(0, r.now.Sub(by).Seconds())
	}
	return t
}

// place places a demand's tasks in the forecast and records the machines to be acquired for them.
func (r *scaleOutPass) place(d *Demand) {
	s := d.Spec
	if s.Kind == protocol.Gang && !s.Spot {
		r.gangRank = max(r.gangRank, protocol.Rank(s.Priority))
	}
	t := r.taskOf(d)
	if s.Kind == protocol.Gang && s.OneZone && s.Zone == nil {
		at, acquired := r.placeGang(t)
		r.countGang(d, at, acquired)
		if acquired {
			delete(r.autoscaler.forecastStarts, s.UID) // superseded by the forecast with the new machines
		}
		if !math.IsInf(at, 1) {
			r.startTimes[s.UID] = r.timeAfter(at)
		}
		return
	}
	last := r.placeEach(t)
	if by := r.timeAfter(last); by.After(r.startTimes[s.UID]) {
		r.startTimes[s.UID] = by
	}
}

// timeAfter returns the time that is seconds from now.
func (r *scaleOutPass) timeAfter(seconds float64) time.Time {
	return r.now.Add(time.Duration(seconds * float64(time.Second)))
}

// placeEach places tasks that start independently of each other, and returns in how many seconds the last of them
// starts.
func (r *scaleOutPass) placeEach(t *task) (last float64) {
	a, s := r.autoscaler, t.demand.Spec
	// Capacity that becomes free on on-demand machines is reserved for waiting gangs that need them, however long they
	// wait. If less urgent work were placed there in the forecast, no machines would be acquired for it and it would
	// wait until it is late.
	spotOnly := s.Spot && a.options.SpotShare > 0 && protocol.Rank(s.Priority) < r.gangRank
	queue := r.forecast.queueFor(s, spotOnly)
	for left := t.demand.Count; left > 0; {
		start := r.expectedStart(t, queue.earliestStart())
		if start <= t.latestStart {
			last = max(last, start)
			placed := queue.reserve(t.run, left)
			left -= placed
			r.counts.InTime += placed
			continue
		}
		source, machineType := a.cheapestPool(r.types, t.demand, r.wanted, start, r.now)
		if spotOnly && (machineType == nil || !source.Spot) {
			spotOnly = false
			queue = r.forecast.queueFor(s, false)
			continue
		}
		if machineType == nil && math.IsInf(start, 1) {
			r.countLate(t.demand, left, start)
			break
		}
		if machineType == nil {
			last = max(last, start)
			placed := queue.reserve(t.run, left)
			left -= placed
			r.countLate(t.demand, placed, start)
			continue
		}
		delete(a.forecastStarts, s.UID) // superseded by the forecast with the new machines
		boot := a.bootSeconds(source, machineType)
		last = max(last, boot)
		placed := r.addMachine(source, machineType, boot).reserve(s, boot, t.run, left)
		left -= placed
		r.counts.Acquiring += placed
		r.counts.LongestWaitSeconds = max(r.counts.LongestWaitSeconds, start)
		queue = r.forecast.queueFor(s, spotOnly)
	}
	return last
}

// addMachine adds a machine to be acquired to the forecast. boot is in how many seconds it is up.
func (r *scaleOutPass) addMachine(source pool, machineType *protocol.MachineType, boot float64) *bin {
	b := newBin(source, machineType, boot)
	r.wanted[source]++
	r.forecast.bins = append(r.forecast.bins, b)
	r.totalCPUs += b.totalCPUs
	return b
}

// scaleOutRequests returns requests for the wanted machines, at most maxScaleOutRequests per pool. Machines beyond that
// are requested once these have been answered.
func (a *Autoscaler) scaleOutRequests(pools []pool, wanted map[pool]int) (list []protocol.ScaleOutRequest) {
	for _, p := range pools {
		for i, left := 0, wanted[p]; i < maxScaleOutRequests && left > 0; i++ {
			count := min(left, protocol.MaxScaleOut)
			left -= count
			a.counter++
			a.pending[p] += count
			list = append(list, protocol.ScaleOutRequest{
				Request: fmt.Sprintf("%s-%d", a.prefix, a.counter),
				Type:    p.Type, Zone: p.Zone, Spot: p.Spot, Count: count,
			})
		}
	}
	return list
}

// poolsByUrgency returns the pools to acquire machines from, ordered by the urgency of the demands that need them. The
// order matters because requests are rate-limited.
func poolsByUrgency(wanted map[pool]int, added []*bin) (list []pool) {
	for _, b := range added {
		if wanted[b.pool] > 0 && !slices.Contains(list, b.pool) {
			list = append(list, b.pool)
		}
	}
	return list
}

// anyAvailable reports whether any pool may be asked for machines.
func (a *Autoscaler) anyAvailable(types []protocol.MachineType, now time.Time) bool {
	for i := range types {
		for _, zone := range types[i].Zones {
			onDemand, spot := pool{types[i].Name, zone, false}, pool{types[i].Name, zone, true}
			if !a.isUnavailable(onDemand, now) || a.options.SpotShare > 0 && !a.isUnavailable(spot, now) {
				return true
			}
		}
	}
	return false
}

// recordStartTimes keeps the earliest forecast start of each job. Work submitted later is in no forecast yet and is
// placed before much of the waiting work. A job that has not started by its forecast start therefore counts as behind
// by the difference until machines are acquired for it. Otherwise every forecast could show work of low priority
// starting in time although it never starts.
func (a *Autoscaler) recordStartTimes(startTimes map[string]time.Time) {
	for uid := range a.forecastStarts {
		if _, ok := startTimes[uid]; !ok {
			delete(a.forecastStarts, uid)
		}
	}
	for uid, by := range startTimes {
		if first, ok := a.forecastStarts[uid]; !ok || by.Before(first) {
			a.forecastStarts[uid] = by
		}
	}
}

// cheapestPool returns the pool with the lowest price per task among those that are available and boot a machine before
// the task would start without it. Among equal prices it prefers the pool with the fewest machines already wanted.
func (a *Autoscaler) cheapestPool(types []protocol.MachineType, d *Demand, wanted map[pool]int, start float64, now time.Time) (best pool, found *protocol.MachineType) {
	lowest := math.Inf(1)
	for i := range types {
		t := &types[i]
		if !hasRoomFor(t, d.Spec) {
			continue
		}
		tasks := max(tasksPerMachine(t, d.Spec), 1)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				p := pool{t.Name, zone, spot}
				if !a.mayScaleOut(p, t, d, start, now) {
					continue
				}
				price := t.PricePerHour
				if spot {
					price = t.SpotPricePerHour
				}
				price = price/tasks + float64(wanted[p])*1e-6
				if price < lowest {
					best, found, lowest = p, t, price
				}
			}
		}
	}
	return best, found
}

// mayScaleOut reports whether a machine of a pool may be acquired for a task that would start in start seconds without
// it.
func (a *Autoscaler) mayScaleOut(p pool, t *protocol.MachineType, d *Demand, start float64, now time.Time) bool {
	if !allowed(d.Spec, p.Type, p.Zone, p.Spot) || a.isUnavailable(p, now) || a.bootSeconds(p, t) >= start {
		return false
	}
	if p.Spot {
		return a.options.SpotShare > 0
	}
	return !d.PreferSpot || !d.Spec.Spot || math.IsInf(start, 1)
}

// hasRoomFor reports whether an empty machine of a type has room for a task.
func hasRoomFor(t *protocol.MachineType, s *protocol.Submission) bool {
	return t.CPUs+roundingTolerance >= s.CPUs && t.GPUs+roundingTolerance >= s.GPUs && t.MemoryGB+roundingTolerance >= s.MemoryGB
}

// tasksPerMachine returns how many tasks fit on an empty machine of a type by CPUs and memory.
func tasksPerMachine(t *protocol.MachineType, s *protocol.Submission) float64 {
	count := math.Floor(t.CPUs / max(s.CPUs, 1e-6))
	if s.MemoryGB > 0 {
		count = min(count, math.Floor(t.MemoryGB/s.MemoryGB))
	}
	return count
}
