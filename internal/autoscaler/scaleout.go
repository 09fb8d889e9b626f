package autoscaler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// maxScaleOutRequests is how many requests go out for one pool at a time.
const maxScaleOutRequests = 2

// ServiceRunSeconds is the run time in seconds that a service's task counts with.
const ServiceRunSeconds = 1e6

// scaleOutPass is one forecast of all waiting tasks, which shows what to acquire.
type scaleOutPass struct {
	fleet      *Autoscaler
	types      []protocol.MachineType
	arrivals   Arrivals
	now        time.Time
	layout     layout
	totalCPUs  float64              // CPUs of all machines, with those to be acquired
	wanted     map[pool]int         // machines to be acquired
	startTimes map[string]time.Time // by job, when the last of its tasks starts by the layout
	gangRank   int                  // highest rank of a waiting gang that may use no spot machine; -1: none
}

// scaleOut places in the forecast what waits on the machines there are, now and as running tasks
// end, and acquires for what would come too late so but in better time on a new
// machine. What comes meanwhile with a higher rank is expected as it came of late; what
// did not start as it was placed in the forecast before counts as late by that.
func (f *Autoscaler) scaleOut(plan *Plan, types []protocol.MachineType, bins []*bin, demands []Demand, arrivals Arrivals, now time.Time) {
	if !f.anyAvailable(types, now) {
		return // nothing can be had: who waits keeps the place that was placed in the forecast
	}
	r := &scaleOutPass{fleet: f, types: types, arrivals: arrivals, now: now, layout: layout{bins: bins, lines: map[shape]*line{}},
		wanted: map[pool]int{}, startTimes: map[string]time.Time{}, gangRank: -1}
	for _, b := range bins {
		r.totalCPUs += b.totalCPUs
	}
	for i := range demands {
		if demands[i].Count > 0 {
			r.place(&demands[i])
		}
	}
	f.recordStartTimes(r.startTimes)
	plan.ScaleOut = f.scaleOutRequests(placesByUrgency(r.wanted, r.layout.bins[len(bins):]), r.wanted)
	if len(plan.ScaleOut) > 0 {
		f.scaledOutAt = now
	}
}

// task is what a layout goes by for a demand's tasks.
type task struct {
	demand    *Demand
	run       float64 // seconds
	allowance float64 // seconds until a task has to start to be in time
	behind    float64 // seconds that the job is behind its first layout
}

// expectedStart makes of a start by the layout, in seconds from now, one that is to be expected: work
// that comes meanwhile with a higher rank goes first.
func (r *scaleOutPass) expectedStart(t *task, at float64) float64 {
	rank := protocol.Rank(t.demand.Spec.Priority)
	return at*r.arrivals.delayFactor(rank, r.totalCPUs) + t.behind
}

// taskOf derives from a demand what a layout goes by.
func (r *scaleOutPass) taskOf(d *Demand) *task {
	t := &task{demand: d, run: max(d.Spec.EstimateSeconds, 1)}
	if d.Spec.Kind == protocol.Service {
		t.run = ServiceRunSeconds
	}
	t.allowance = max(0, d.Due.Sub(r.now).Seconds()-r.fleet.options.SafetyRunTimes*t.run-ImageFetchSeconds(r.types, d.Spec))
	if by, ok := r.fleet.startBy[d.Spec.UID]; ok {
		t.behind = max(0, r.now.Sub(by).Seconds())
	}
	return t
}

// place places in the forecast a demand's tasks, and records what is to be acquired for them.
func (r *scaleOutPass) place(d *Demand) {
	s := d.Spec
	if s.Kind == protocol.Gang && !s.Spot {
		r.gangRank = max(r.gangRank, protocol.Rank(s.Priority))
	}
	t := r.taskOf(d)
	if s.Kind == protocol.Gang && s.OneZone && s.Zone == nil {
		at, rented := r.placeGang(t)
		if rented {
			delete(r.fleet.startBy, s.UID) // a new one, with what is acquired
		}
		if !math.IsInf(at, 1) {
			r.startTimes[s.UID] = r.after(at)
		}
		return
	}
	last := r.placeEach(t)
	if by := r.after(last); by.After(r.startTimes[s.UID]) {
		r.startTimes[s.UID] = by
	}
}

// after is the time so many seconds from now.
func (r *scaleOutPass) after(seconds float64) time.Time {
	return r.now.Add(time.Duration(seconds * float64(time.Second)))
}

// placeEach places in the forecast tasks that start independently of each other, and says in how many seconds
// the last of them starts.
func (r *scaleOutPass) placeEach(t *task) (last float64) {
	f, s := r.fleet, t.demand.Spec
	// What comes free on ordinary machines is kept for waiting gangs that need these, however
	// long they wait: less urgent work would be placed in the forecast there, nothing would be acquired for it,
	// and it would wait until it is late.
	cheap := s.Spot && f.options.SpotShare > 0 && protocol.Rank(s.Priority) < r.gangRank
	line := r.layout.line(s, cheap)
	for left := t.demand.Count; left > 0; {
		start := r.expectedStart(t, line.soonest())
		if start <= t.allowance {
			last = max(last, start)
			left -= line.take(t.run, left)
			continue
		}
		place, machineType := f.cheapest(r.types, t.demand, r.wanted, start, r.now)
		if cheap && (machineType == nil || !place.Spot) {
			cheap = false
			line = r.layout.line(s, false)
			continue
		}
		if machineType == nil && math.IsInf(start, 1) {
			break
		}
		if machineType == nil {
			last = max(last, start)
			left -= line.take(t.run, left)
			continue
		}
		delete(f.startBy, s.UID) // a new one, with what is acquired
		boot := f.bootSeconds(place, machineType)
		last = max(last, boot)
		left -= r.add(place, machineType, boot).take(s, boot, t.run, left)
		line = r.layout.line(s, cheap)
	}
	return last
}

// add records a machine to be acquired, which is up in so many seconds.
func (r *scaleOutPass) add(place pool, machineType *protocol.MachineType, boot float64) *bin {
	b := newBin(place, machineType, boot)
	r.wanted[place]++
	r.layout.bins = append(r.layout.bins, b)
	r.totalCPUs += b.totalCPUs
	return b
}

// scaleOutRequests makes the requests for the wanted machines. A wave of machines goes out at once;
// what is beyond that waits for answers.
func (f *Autoscaler) scaleOutRequests(places []pool, want map[pool]int) (list []protocol.ScaleOutRequest) {
	for _, p := range places {
		for i, left := 0, want[p]; i < maxScaleOutRequests && left > 0; i++ {
			count := min(left, protocol.MaxScaleOut)
			left -= count
			f.counter++
			f.pending[p] += count
			list = append(list, protocol.ScaleOutRequest{
				Request: fmt.Sprintf("%s-%d", f.prefix, f.counter),
				Type:    p.Type, Zone: p.Zone, Spot: p.Spot, Count: count,
			})
		}
	}
	return list
}

// placesByUrgency lists the places that machines are wanted from in the order of who wants them, the most urgent first:
// requests are paced, and were once sent in any order.
func placesByUrgency(want map[pool]int, added []*bin) (list []pool) {
	for _, b := range added {
		if want[b.pool] > 0 && !slices.Contains(list, b.pool) {
			list = append(list, b.pool)
		}
	}
	return list
}

// anyAvailable says whether any place may have machines to give.
func (f *Autoscaler) anyAvailable(types []protocol.MachineType, now time.Time) bool {
	for i := range types {
		for _, zone := range types[i].Zones {
			onDemand, spot := pool{types[i].Name, zone, false}, pool{types[i].Name, zone, true}
			if !f.isUnavailable(onDemand, now) || f.options.SpotShare > 0 && !f.isUnavailable(spot, now) {
				return true
			}
		}
	}
	return false
}

// recordStartTimes keeps by when each job should have started. What comes later goes before much
// of what waits, and is in no layout yet; so a job that has not started by then
// counts as that much further behind, until machines are acquired for it. Else work of
// low priority would be placed in the forecast within its time again and again and never start.
func (f *Autoscaler) recordStartTimes(waits map[string]time.Time) {
	for uid := range f.startBy {
		if _, ok := waits[uid]; !ok {
			delete(f.startBy, uid)
		}
	}
	for uid, by := range waits {
		if first, ok := f.startBy[uid]; !ok || by.Before(first) {
			f.startBy[uid] = by
		}
	}
}

// cheapest is the pool with the lowest price for a task of those that are open and
// deliver a machine sooner than the task would start without; among equal ones that
// with the least already wanted.
func (f *Autoscaler) cheapest(types []protocol.MachineType, d *Demand, wanted map[pool]int, start float64, now time.Time) (best pool, found *protocol.MachineType) {
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
				if !f.mayScaleOut(p, t, d, start, now) {
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

// mayScaleOut says whether a machine of a pool may be acquired for a task that would start in so
// many seconds without it.
func (f *Autoscaler) mayScaleOut(p pool, t *protocol.MachineType, d *Demand, start float64, now time.Time) bool {
	if !allowed(d.Spec, p.Type, p.Zone, p.Spot) || f.isUnavailable(p, now) || f.bootSeconds(p, t) >= start {
		return false
	}
	if p.Spot {
		return f.options.SpotShare > 0
	}
	return !d.PreferSpot || !d.Spec.Spot || math.IsInf(start, 1)
}

// hasRoomFor says whether an empty machine of a type has room for a task.
func hasRoomFor(t *protocol.MachineType, s *protocol.Submission) bool {
	return t.CPUs+slack >= s.CPUs && t.GPUs+slack >= s.GPUs && t.MemoryGB+slack >= s.MemoryGB
}

// tasksPerMachine is how many tasks an empty machine of a type takes by CPUs and memory.
func tasksPerMachine(t *protocol.MachineType, s *protocol.Submission) float64 {
	count := math.Floor(t.CPUs / max(s.CPUs, 1e-6))
	if s.MemoryGB > 0 {
		count = min(count, math.Floor(t.MemoryGB/s.MemoryGB))
	}
	return count
}
