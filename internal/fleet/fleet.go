// Package fleet decides which machines to rent and to return. It does no I/O and
// reads no clock.
package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"topazhollow/internal/wire"
)

// Machine is what is known of a machine.
type Machine struct {
	Name    string
	Type    string
	Zone    string
	Spot    bool
	Heard   time.Time // last report anywhere; zero before the first
	Since   time.Time // rented, or first seen
	Idle    time.Time // idle since; zero while it has tasks
	State   string    // in the cloud's list, "" if not listed
	CPUs    float64   // free
	GPUs    float64
	Mem     float64
	Going   bool // spot notice
	Bad     bool // fails different jobs
	Kept    bool // registered in the state service
	Awaited bool // an owner can start nothing before the machine is heard or gone
	Mute    bool // it did not answer when its home knocked
	Passed  bool // the cloud lists a machine rented later, but not this one
	Unknown bool // its home is not heard here, so that its silence says nothing
	Slots   []Slot
}

// Slot is a task on a machine.
type Slot struct {
	CPUs, GPUs, Mem float64
	Left            float64 // seconds until it probably ends
	Pinned          bool    // may not run on a spot machine
}

// Demand is room asked for by tasks that wait.
type Demand struct {
	Spec   *wire.Submission
	Count  int
	Late   time.Time
	Beyond float64 // CPUs that its class asks for beyond its team's quota; then Count is 0
	Cheap  bool    // not worth an ordinary machine while there is any room to come
}

// Options are the operator's choices.
type Options struct {
	IdleReturn time.Duration
	Warm       int
	SpotShare  float64
	Silent     time.Duration // a machine silent for so long is returned
	Cut        time.Duration // the same where nearly all of its zone are silent
	Hurry      time.Duration // the same where it holds up others
	Overdue    time.Duration // the same where nearly all others were heard
	Unlisted   time.Duration // the same where the cloud no longer lists it
	Haste      float64       // run times kept in hand before a job is due
}

// maxBackoff is for how long at most a pool that refused is left alone: room comes
// back without a word.
const maxBackoff = 10 * time.Second

// maxRents is how many requests go out for one pool at a time.
const maxRents = 2

// Inflow is how many CPUs the work that comes keeps busy, by rank of priority: what came
// a second of late, times how long it runs.
type Inflow map[int]float64

// most is what part of the room work that is still to come takes at most: what came in
// the last minute says only so much.
const most = 0.33

// slower is by what factor work of a rank starts later than a layout says that knows
// only of what is there: what comes with a higher rank goes before it.
func (in Inflow) slower(rank int, room float64) float64 {
	before := 0.0
	for r, cpus := range in {
		if r > rank {
			before += cpus
		}
	}
	return 1 / (1 - min(before/max(room, 1), most))
}

// Plan is what to do now.
type Plan struct {
	Rent   []wire.Rent
	Return []string
	Retire []string // get no more tasks, and go back once they are idle
	Late   []string // types and zones, as "type in zone", where no machine comes up in time
}

type pool struct {
	Type, Zone string
	Spot       bool
}

// Fleet remembers refusals and what was rented lately.
type Fleet struct {
	opt     Options
	prefix  string
	counter uint64
	shut    map[pool]time.Time // no capacity until
	backoff map[pool]time.Duration
	pending map[pool]int // asked for, not yet answered
	boots   map[pool]*boots
	booting map[string]bool      // machines not heard yet when last looked at
	retired map[string]bool      // machines that get no more tasks
	asked   time.Time            // when machines were last asked for
	plans   map[string]time.Time // by when all of a job should have started, as first laid out
}

// New makes a fleet's decisions under names that nobody else uses.
func New(prefix string, opt Options) *Fleet {
	return &Fleet{opt: opt, prefix: prefix, shut: map[pool]time.Time{}, backoff: map[pool]time.Duration{}, pending: map[pool]int{},
		boots: map[pool]*boots{}, booting: map[string]bool{}, retired: map[string]bool{}, plans: map[string]time.Time{}}
}

// Forget drops what was asked for but is not sent.
func (f *Fleet) Forget() { clear(f.pending) }

// Answered books the outcome of a rental request.
func (f *Fleet) Answered(r wire.Rent, got int, now time.Time, refused bool) {
	p := pool{r.Type, r.Zone, r.Spot}
	f.pending[p] -= r.Count
	if f.pending[p] <= 0 {
		delete(f.pending, p)
	}
	if got < r.Count && refused {
		d := min(max(2*f.backoff[p], 4*time.Second), maxBackoff)
		f.backoff[p] = d
		f.shut[p] = now.Add(d)
		return
	}
	if got > 0 {
		delete(f.backoff, p)
	}
}

// Moot says whether a request that waits for its turn has become pointless: the place refused another one meanwhile.
func (f *Fleet) Moot(r wire.Rent, now time.Time) bool {
	return f.shutNow(pool{r.Type, r.Zone, r.Spot}, now)
}

// shutNow says whether a place is left alone, since it refused.
func (f *Fleet) shutNow(p pool, now time.Time) bool { return now.Before(f.shut[p]) }

func allowed(s *wire.Submission, typ, zone string, spot bool) bool {
	return (!spot || s.Spot) && (s.Zone == nil || *s.Zone == zone) && (s.Types == nil || slices.Contains(s.Types, typ))
}

// Decide plans with what is known. settled is when the members last changed:
// silence counts only from then.
func (f *Fleet) Decide(types []wire.MachineType, machines []Machine, demands []Demand, inflow Inflow, now, settled time.Time) Plan {
	var plan Plan
	byType := map[string]*wire.MachineType{}
	for i := range types {
		byType[types[i].Name] = &types[i]
	}
	f.watchBoots(machines, byType, now)
	plan.Late = f.late()
	hurry := f.hurry(machines, now, settled)
	cut := f.cutZones(machines, now, settled)
	var bins []*bin
	var live []*Machine
	for i := range machines {
		m := &machines[i]
		t := byType[m.Type]
		quiet := now.Sub(later(m.Heard, settled))
		switch {
		case m.State == wire.HostFailed, m.Bad:
			plan.Return = append(plan.Return, m.Name)
			continue
		case m.Unknown && m.State != "":
			continue
		case m.Heard.IsZero() && !m.Kept && f.stuck(m, t, now):
			plan.Return = append(plan.Return, m.Name)
			continue
		case (!m.Heard.IsZero() || m.Kept) && quiet > f.patience(m, hurry, cut[m.Zone]):
			plan.Return = append(plan.Return, m.Name)
			continue
		case m.Going || t == nil:
			continue
		case m.Heard.IsZero() && m.Kept && quiet > f.opt.Silent/4:
			continue // registered once, but perhaps gone since
		case m.Heard.IsZero():
			bins = append(bins, newBin(pool{m.Type, m.Zone, m.Spot}, t, f.untilUp(m, t, now)))
			continue
		case quiet > f.opt.Silent/2:
			continue
		}
		live = append(live, m)
	}
	f.retire(live, byType, demands, now)
	var idleMachines []*Machine
	for _, m := range live {
		if !m.Idle.IsZero() {
			idleMachines = append(idleMachines, m)
		}
		if f.retired[m.Name] {
			plan.Retire = append(plan.Retire, m.Name)
			continue
		}
		b := &bin{pool: pool{m.Type, m.Zone, m.Spot}, all: byType[m.Type].CPUs, free: []room{{0, m.CPUs, m.GPUs, m.Mem}}}
		for _, x := range m.Slots {
			b.add(room{max(x.Left, 1), x.CPUs, x.GPUs, x.Mem})
		}
		bins = append(bins, b)
	}
	for p, n := range f.pending {
		if t := byType[p.Type]; t != nil {
			for range n {
				bins = append(bins, newBin(p, t, f.boot(p, t)))
			}
		}
	}
	f.rent(&plan, types, bins, demands, inflow, now)
	if len(plan.Rent) == 0 {
		f.giveBack(&plan, byType, idleMachines, len(bins)+len(plan.Retire), now)
	}
	return plan
}

// patience is how long a machine may be silent before it is returned. One that
// the cloud no longer lists is gone already, and the cloud's word ends the wait
// for it. Its list is in the order of rental, so that a missing machine before one
// that is there is not just too new. One that an owner's barrier waits for has so
// long as hurry says. In a zone that is cut off, machines and what they run live
// on, and come back with their images and results.
func (f *Fleet) patience(m *Machine, hurry time.Duration, cut bool) time.Duration {
	switch {
	case m.Awaited && m.Passed, m.Awaited && m.Mute && hurry <= f.opt.Overdue:
		return time.Second
	case m.State == "":
		return min(f.opt.Unlisted, f.opt.Silent)
	case m.Awaited:
		return min(hurry, f.opt.Silent)
	case cut:
		return max(f.opt.Cut, f.opt.Silent)
	}
	return f.opt.Silent
}

// hurry is how long a machine may be silent that a barrier waits for, which costs
// all of a team more than a new machine. If only a few are missing when all others
// must have reported, it is those; if many are, they get the time in which a worker
// finds another controller, and more than a tenth are rather cut off.
func (f *Fleet) hurry(machines []Machine, now, settled time.Time) time.Duration {
	overdue, silent := 0, 0
	for i := range machines {
		m := &machines[i]
		if m.Awaited && m.Mute {
			overdue++
		} else if quiet := now.Sub(later(m.Heard, settled)); m.Awaited && quiet > f.opt.Hurry {
			overdue++
			silent++
		} else if m.Awaited && quiet > f.opt.Overdue {
			overdue++
		}
	}
	switch {
	case 50*overdue <= len(machines):
		return f.opt.Overdue
	case silent <= (len(machines)+9)/10:
		return f.opt.Hurry
	}
	return f.opt.Silent
}

// enoughForCut is how many machines of a zone there must be to tell a cut of the
// zone from the end of some of them.
const enoughForCut = 4

// cutZones are the zones of whose machines at least three quarters fell silent, so
// that it is rather the zone's network.
func (f *Fleet) cutZones(machines []Machine, now, settled time.Time) map[string]bool {
	known, silent := map[string]int{}, map[string]int{}
	for i := range machines {
		m := &machines[i]
		if m.Heard.IsZero() || m.Unknown {
			continue
		}
		known[m.Zone]++
		if now.Sub(later(m.Heard, settled)) > f.opt.Hurry/2 {
			silent[m.Zone]++
		}
	}
	cut := map[string]bool{}
	for zone, n := range known {
		cut[zone] = n >= enoughForCut && 4*silent[zone] >= 3*n
	}
	return cut
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rent lays out what waits on the machines there are, now and as running tasks
// end, and rents for what would come too late so but in better time on a new
// machine. What comes meanwhile with a higher rank is expected as it came of late; what
// did not start as it was laid out before counts as late by that.
func (f *Fleet) rent(plan *Plan, types []wire.MachineType, bins []*bin, demands []Demand, inflow Inflow, now time.Time) {
	if !f.open(types, now) {
		return // nothing can be had: who waits keeps the place that was laid out
	}
	want := map[pool]int{}
	waits := map[string]time.Time{}
	room := 0.0
	for _, b := range bins {
		room += b.all
	}
	all := layout{bins: bins, lines: map[shape]*line{}}
	there := len(bins) // and on their way; what is wanted comes behind them
	gang := -1         // highest rank of a waiting gang that may use no spot machine
	for _, d := range demands {
		if d.Count == 0 {
			continue
		}
		s := d.Spec
		if s.Kind == wire.Gang && !s.Spot {
			gang = max(gang, wire.Rank(s.Priority))
		}
		// What comes free on ordinary machines is kept for such gangs, however long they wait: less urgent
		// work was laid out there, nothing was rented for it, and it waited until it was late.
		cheap := s.Spot && f.opt.SpotShare > 0 && wire.Rank(s.Priority) < gang
		run := max(s.Estimate, 1)
		if s.Kind == wire.Service {
			run = 1e6
		}
		allowance := d.Late.Sub(now).Seconds() - f.opt.Haste*run - FetchTime(types, s)
		behind := 0.0
		if by, ok := f.plans[s.UID]; ok {
			behind = max(0, now.Sub(by).Seconds())
		}
		expect := func(at float64) float64 { return at*inflow.slower(wire.Rank(s.Priority), room) + behind }
		if s.Kind == wire.Gang && s.OneZone && s.Zone == nil {
			at, rented := f.layGang(&all, types, &d, want, run, max(allowance, 0), expect, now)
			if rented {
				delete(f.plans, s.UID) // a new one, with what is rented
			}
			if !math.IsInf(at, 1) {
				waits[s.UID] = now.Add(time.Duration(at * float64(time.Second)))
			}
			continue
		}
		line := all.line(s, cheap)
		last := 0.0
		for left := d.Count; left > 0; {
			start := expect(line.soonest())
			if start <= max(allowance, 0) {
				last = max(last, start)
				left -= line.take(run, left)
				continue
			}
			p, t := f.cheapest(types, &d, want, start, now)
			if cheap && (t == nil || !p.Spot) {
				cheap = false
				line = all.line(s, false)
				continue
			}
			if t == nil {
				if math.IsInf(start, 1) {
					break
				}
				last = max(last, start)
				left -= line.take(run, left)
				continue
			}
			want[p]++
			delete(f.plans, s.UID) // a new one, with what is rented
			boot := f.boot(p, t)
			b := newBin(p, t, boot)
			all.bins = append(all.bins, b)
			room += b.all
			last = max(last, boot)
			left -= b.take(s, boot, run, left)
			line = all.line(s, cheap)
		}
		if by := now.Add(time.Duration(last * float64(time.Second))); by.After(waits[s.UID]) {
			waits[s.UID] = by
		}
	}
	f.plan(waits)
	for _, p := range wanted(want, all.bins[there:]) {
		// A wave of machines goes out at once; what is beyond that waits for answers.
		for i, n := 0, want[p]; i < maxRents && n > 0; i++ {
			count := min(n, wire.MaxRent)
			n -= count
			f.counter++
			f.pending[p] += count
			plan.Rent = append(plan.Rent, wire.Rent{Request: fmt.Sprintf("%s-%d", f.prefix, f.counter), Type: p.Type, Zone: p.Zone, Spot: p.Spot, Count: count})
		}
	}
	if len(plan.Rent) > 0 {
		f.asked = now
	}
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
func (f *Fleet) open(types []wire.MachineType, now time.Time) bool {
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

// FetchTime is how many seconds a machine takes to get the job's image, by the
// slowest type: it may have to share the rate.
func FetchTime(types []wire.MachineType, s *wire.Submission) float64 {
	longest := 0.0
	for i := range types {
		if r := types[i].FetchRate; r > 0 {
			longest = max(longest, s.ImageGB/r)
		}
	}
	return longest
}

// cheapest is the pool with the lowest price for a task of those that are open and
// deliver a machine sooner than the task would start without; among equal ones that
// with the least already wanted.
func (f *Fleet) cheapest(types []wire.MachineType, d *Demand, want map[pool]int, start float64, now time.Time) (pool, *wire.MachineType) {
	s := d.Spec
	var best pool
	var found *wire.MachineType
	low := math.Inf(1)
	for i := range types {
		t := &types[i]
		if t.CPUs+1e-6 < s.CPUs || t.GPUs+1e-6 < s.GPUs || t.Memory+1e-6 < s.Memory {
			continue
		}
		fit := math.Floor(t.CPUs / max(s.CPUs, 1e-6))
		if s.Memory > 0 {
			fit = min(fit, math.Floor(t.Memory/s.Memory))
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				p := pool{t.Name, zone, spot}
				if !allowed(s, t.Name, zone, spot) || f.shutNow(p, now) || (spot && f.opt.SpotShare <= 0) || f.boot(p, t) >= start ||
					(!spot && d.Cheap && s.Spot && !math.IsInf(start, 1)) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				price = price/max(fit, 1) + float64(want[p])*1e-6
				if price < low {
					best, found, low = p, t, price
				}
			}
		}
	}
	return best, found
}

func (m *Machine) price(types map[string]*wire.MachineType) float64 {
	if m.Spot {
		return types[m.Type].SpotPrice
	}
	return types[m.Type].Price
}

// giveBack returns machines that have been idle for long, dear ones first, but
// keeps a few warm. Cheap ones, which may not be had again, stay for longer, as far
// as they are no more than a tenth of all: more than that idle is no lull.
func (f *Fleet) giveBack(plan *Plan, types map[string]*wire.MachineType, idle []*Machine, total int, now time.Time) {
	slices.SortFunc(idle, func(a, b *Machine) int {
		if d := cmp.Compare(b.price(types), a.price(types)); d != 0 {
			return d
		}
		return cmp.Compare(a.Name, b.Name)
	})
	left, spare := len(idle), total/10
	for _, m := range idle {
		if total <= f.opt.Warm {
			return
		}
		keep := f.opt.IdleReturn
		if f.retired[m.Name] {
			keep = 0
		}
		if m.Spot && f.opt.SpotShare > 0 && left <= spare {
			keep = time.Duration(float64(keep) * min(4, types[m.Type].Price/max(m.price(types), 1e-9)))
		}
		if now.Sub(m.Idle) > keep && now.Sub(m.Since) > 50*time.Second {
			plan.Return = append(plan.Return, m.Name)
			total--
			left--
		}
	}
}
