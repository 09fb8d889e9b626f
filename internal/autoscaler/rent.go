package autoscaler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// maxRents is how many requests go out for one pool at a time.
const maxRents = 2

// EndlessRun is the run time in seconds that a service's task counts with.
const EndlessRun = 1e6

// rental is one layout of all waiting tasks, by which it is found what to rent.
type rental struct {
	f      *Fleet
	types  []protocol.MachineType
	inflow Inflow
	now    time.Time
	all    layout
	room   float64              // CPUs of all machines, with those to be rented
	want   map[pool]int         // machines to be rented
	waits  map[string]time.Time // by job, when the last of its tasks starts by the layout
	gang   int                  // highest rank of a waiting gang that may use no spot machine; -1: none
}

// rent lays out what waits on the machines there are, now and as running tasks
// end, and rents for what would come too late so but in better time on a new
// machine. What comes meanwhile with a higher rank is expected as it came of late; what
// did not start as it was laid out before counts as late by that.
func (f *Fleet) rent(plan *Plan, types []protocol.MachineType, bins []*bin, demands []Demand, inflow Inflow, now time.Time) {
	if !f.open(types, now) {
		return // nothing can be had: who waits keeps the place that was laid out
	}
	r := &rental{f: f, types: types, inflow: inflow, now: now, all: layout{bins: bins, lines: map[shape]*line{}},
		want: map[pool]int{}, waits: map[string]time.Time{}, gang: -1}
	for _, b := range bins {
		r.room += b.all
	}
	for i := range demands {
		if demands[i].Count > 0 {
			r.layOut(&demands[i])
		}
	}
	f.plan(r.waits)
	plan.Rent = f.requests(wanted(r.want, r.all.bins[len(bins):]), r.want)
	if len(plan.Rent) > 0 {
		f.asked = now
	}
}

// task is what a layout goes by for a demand's tasks.
type task struct {
	demand    *Demand
	run       float64 // seconds
	allowance float64 // seconds until a task has to start to be in time
	behind    float64 // seconds that the job is behind its first layout
}

// expect makes of a start by the layout, in seconds from now, one that is to be expected: work
// that comes meanwhile with a higher rank goes first.
func (r *rental) expect(t *task, at float64) float64 {
	rank := protocol.Rank(t.demand.Spec.Priority)
	return at*r.inflow.slower(rank, r.room) + t.behind
}

// taskOf derives from a demand what a layout goes by.
func (r *rental) taskOf(d *Demand) *task {
	t := &task{demand: d, run: max(d.Spec.EstimateSeconds, 1)}
	if d.Spec.Kind == protocol.Service {
		t.run = EndlessRun
	}
	t.allowance = max(0, d.Due.Sub(r.now).Seconds()-r.f.opt.Haste*t.run-FetchTime(r.types, d.Spec))
	if by, ok := r.f.plans[d.Spec.UID]; ok {
		t.behind = max(0, r.now.Sub(by).Seconds())
	}
	return t
}

// layOut lays out a demand's tasks, and books what is to be rented for them.
func (r *rental) layOut(d *Demand) {
	s := d.Spec
	if s.Kind == protocol.Gang && !s.Spot {
		r.gang = max(r.gang, protocol.Rank(s.Priority))
	}
	t := r.taskOf(d)
	if s.Kind == protocol.Gang && s.OneZone && s.Zone == nil {
		at, rented := r.layGang(t)
		if rented {
			delete(r.f.plans, s.UID) // a new one, with what is rented
		}
		if !math.IsInf(at, 1) {
			r.waits[s.UID] = r.after(at)
		}
		return
	}
	last := r.layEach(t)
	if by := r.after(last); by.After(r.waits[s.UID]) {
		r.waits[s.UID] = by
	}
}

// after is the time so many seconds from now.
func (r *rental) after(seconds float64) time.Time {
	return r.now.Add(time.Duration(seconds * float64(time.Second)))
}

// layEach lays out tasks that start independently of each other, and says in how many seconds
// the last of them starts.
func (r *rental) layEach(t *task) (last float64) {
	f, s := r.f, t.demand.Spec
	// What comes free on ordinary machines is kept for waiting gangs that need these, however
	// long they wait: less urgent work would be laid out there, nothing would be rented for it,
	// and it would wait until it is late.
	cheap := s.Spot && f.opt.SpotShare > 0 && protocol.Rank(s.Priority) < r.gang
	line := r.all.line(s, cheap)
	for left := t.demand.Count; left > 0; {
		start := r.expect(t, line.soonest())
		if start <= t.allowance {
			last = max(last, start)
			left -= line.take(t.run, left)
			continue
		}
		place, machineType := f.cheapest(r.types, t.demand, r.want, start, r.now)
		if cheap && (machineType == nil || !place.Spot) {
			cheap = false
			line = r.all.line(s, false)
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
		delete(f.plans, s.UID) // a new one, with what is rented
		boot := f.boot(place, machineType)
		last = max(last, boot)
		left -= r.add(place, machineType, boot).take(s, boot, t.run, left)
		line = r.all.line(s, cheap)
	}
	return last
}

// add books a machine to be rented, which is up in so many seconds.
func (r *rental) add(place pool, machineType *protocol.MachineType, boot float64) *bin {
	b := newBin(place, machineType, boot)
	r.want[place]++
	r.all.bins = append(r.all.bins, b)
	r.room += b.all
	return b
}

// requests makes the requests for the wanted machines. A wave of machines goes out at once;
// what is beyond that waits for answers.
func (f *Fleet) requests(places []pool, want map[pool]int) (list []protocol.ScaleOutRequest) {
	for _, p := range places {
		for i, left := 0, want[p]; i < maxRents && left > 0; i++ {
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

// wanted lists the places that machines are wanted from in the order of who wants them, the most urgent first: requests are
// paced, and were once sent in any order.
func wanted(want map[pool]int, added []*bin) (list []pool) {
	for _, b := range added {
		if want[b.pool] > 0 && !slices.Contains(list, b.pool) {
			list = append(list, b.pool)
		}
	}
	return list
}

// open says whether any place may have machines to give.
func (f *Fleet) open(types []protocol.MachineType, now time.Time) bool {
	for i := range types {
		for _, zone := range types[i].Zones {
			if !f.shutNow(pool{types[i].Name, zone, false}, now) || f.opt.SpotShare > 0 && !f.shutNow(pool{types[i].Name, zone, true}, now) {
				return true
			}
		}
	}
	return false
}

// plan keeps by when each job should have started. What comes later goes before much
// of what waits, and is in no layout yet; so a job that has not started by then
// counts as that much further behind, until machines are rented for it. Else work of
// low priority would be laid out within its time again and again and never start.
func (f *Fleet) plan(waits map[string]time.Time) {
	for uid := range f.plans {
		if _, ok := waits[uid]; !ok {
			delete(f.plans, uid)
		}
	}
	for uid, by := range waits {
		if first, ok := f.plans[uid]; !ok || by.Before(first) {
			f.plans[uid] = by
		}
	}
}

// cheapest is the pool with the lowest price for a task of those that are open and
// deliver a machine sooner than the task would start without; among equal ones that
// with the least already wanted.
func (f *Fleet) cheapest(types []protocol.MachineType, d *Demand, want map[pool]int, start float64, now time.Time) (best pool, found *protocol.MachineType) {
	lowest := math.Inf(1)
	for i := range types {
		t := &types[i]
		if !takes(t, d.Spec) {
			continue
		}
		tasks := max(tasksOn(t, d.Spec), 1)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				p := pool{t.Name, zone, spot}
				if !f.mayRent(p, t, d, start, now) {
					continue
				}
				price := t.PricePerHour
				if spot {
					price = t.SpotPricePerHour
				}
				price = price/tasks + float64(want[p])*1e-6
				if price < lowest {
					best, found, lowest = p, t, price
				}
			}
		}
	}
	return best, found
}

// mayRent says whether a machine of a pool may be rented for a task that would start in so
// many seconds without it.
func (f *Fleet) mayRent(p pool, t *protocol.MachineType, d *Demand, start float64, now time.Time) bool {
	if !allowed(d.Spec, p.Type, p.Zone, p.Spot) || f.shutNow(p, now) || f.boot(p, t) >= start {
		return false
	}
	if p.Spot {
		return f.opt.SpotShare > 0
	}
	return !d.PreferSpot || !d.Spec.Spot || math.IsInf(start, 1)
}

// takes says whether an empty machine of a type has room for a task.
func takes(t *protocol.MachineType, s *protocol.Submission) bool {
	return t.CPUs+slack >= s.CPUs && t.GPUs+slack >= s.GPUs && t.MemoryGB+slack >= s.MemoryGB
}

// tasksOn is how many tasks an empty machine of a type takes by CPUs and memory.
func tasksOn(t *protocol.MachineType, s *protocol.Submission) float64 {
	count := math.Floor(t.CPUs / max(s.CPUs, 1e-6))
	if s.MemoryGB > 0 {
		count = min(count, math.Floor(t.MemoryGB/s.MemoryGB))
	}
	return count
}
