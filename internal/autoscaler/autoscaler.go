// Package autoscaler decides which machines to rent and to return. It does no I/O and
// reads no clock.
package autoscaler

import (
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// Machine is what is known of a machine.
type Machine struct {
	Name            string
	Type            string
	Zone            string
	Spot            bool
	Heard           time.Time          // last report anywhere; zero before the first
	Since           time.Time          // rented, or first seen
	Idle            time.Time          // idle since; zero while it has tasks
	State           protocol.HostState // in the cloud's list, "" if not listed
	CPUs            float64            // free
	GPUs            float64
	Mem             float64
	SpotNotice      bool // the cloud said that it takes the machine back within seconds
	Faulty          bool // fails different jobs
	Registered      bool // registered in the state service
	Awaited         bool // an owner can start nothing before the machine is heard or gone
	ProbeUnanswered bool // it did not answer its home's probe
	SkippedInList   bool // the cloud lists a machine rented later, but not this one
	HomeUnheard     bool // its home is not heard here, so that its silence says nothing
	Slots           []Slot
}

// Slot is a task on a machine.
type Slot struct {
	CPUs, GPUs, Mem float64
	Left            float64 // seconds until it probably ends
	Pinned          bool    // may not run on a spot machine
}

// Demand is room asked for by tasks that wait.
type Demand struct {
	Spec       *protocol.Submission
	Count      int
	Due        time.Time // when the job should be complete
	Beyond     float64   // CPUs that its class asks for beyond its team's quota; then Count is 0
	PreferSpot bool      // waits rather than get an ordinary machine, while there is any room to come
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
	Rent   []protocol.ScaleOutRequest
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
func (f *Fleet) Answered(r protocol.ScaleOutRequest, got int, now time.Time, refused bool) {
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
func (f *Fleet) Moot(r protocol.ScaleOutRequest, now time.Time) bool {
	return f.shutNow(pool{r.Type, r.Zone, r.Spot}, now)
}

// shutNow says whether a place is left alone, since it refused.
func (f *Fleet) shutNow(p pool, now time.Time) bool { return now.Before(f.shut[p]) }

func allowed(s *protocol.Submission, typ, zone string, spot bool) bool {
	return (!spot || s.Spot) && (s.Zone == nil || *s.Zone == zone) && (s.Types == nil || slices.Contains(s.Types, typ))
}

// standing is what a decision makes of a machine.
type standing int

const (
	leftAlone   standing = iota // neither used nor returned
	toReturn                    // silent for too long, failed or faulty
	onItsWay                    // rented, and not heard yet
	inOperation                 // heard lately
)

// decision is what one call of Decide works with.
type decision struct {
	types   map[string]*protocol.MachineType // by name
	hurry   time.Duration                    // patience with machines that barriers wait for
	cut     map[string]bool                  // zones that are cut off
	now     time.Time
	settled time.Time
}

// Decide plans with what is known. settled is when the members last changed:
// silence counts only from then.
func (f *Fleet) Decide(types []protocol.MachineType, machines []Machine, demands []Demand, inflow Inflow, now, settled time.Time) Plan {
	d := &decision{types: map[string]*protocol.MachineType{}, now: now, settled: settled}
	for i := range types {
		d.types[types[i].Name] = &types[i]
	}
	f.watchBoots(machines, d.types, now)
	d.hurry = f.hurry(machines, now, settled)
	d.cut = f.cutZones(machines, now, settled)
	plan := Plan{Late: f.late()}
	var bins []*bin
	var live []*Machine
	for i := range machines {
		m := &machines[i]
		switch f.standing(m, d) {
		case toReturn:
			plan.Return = append(plan.Return, m.Name)
		case onItsWay:
			t := d.types[m.Type]
			bins = append(bins, newBin(m.pool(), t, f.untilUp(m, t, now)))
		case inOperation:
			live = append(live, m)
		}
	}
	f.retire(live, d.types, demands, now)
	plan.Retire = f.retiredOf(live)
	bins = append(bins, f.liveBins(live, d.types)...)
	bins = append(bins, f.pendingBins(d.types)...)
	f.rent(&plan, types, bins, demands, inflow, now)
	if len(plan.Rent) == 0 {
		f.giveBack(&plan, d.types, idleOf(live), len(bins)+len(plan.Retire), now)
	}
	return plan
}

// standing judges a machine by what is known of it.
func (f *Fleet) standing(m *Machine, d *decision) standing {
	t := d.types[m.Type]
	quiet := d.now.Sub(later(m.Heard, d.settled))
	unheard := m.Heard.IsZero()
	switch {
	case m.State == protocol.HostFailed, m.Faulty:
		return toReturn
	case m.HomeUnheard && m.State != "":
		return leftAlone
	case unheard && !m.Registered && f.stuck(m, t, d.now):
		return toReturn
	case (!unheard || m.Registered) && quiet > f.patience(m, d.hurry, d.cut[m.Zone]):
		return toReturn
	case m.SpotNotice || t == nil:
		return leftAlone
	case unheard && m.Registered && quiet > f.opt.Silent/4:
		return leftAlone // registered once, but perhaps gone since
	case unheard:
		return onItsWay
	case quiet > f.opt.Silent/2:
		return leftAlone
	}
	return inOperation
}

// retiredOf names the machines that are retired.
func (f *Fleet) retiredOf(live []*Machine) (names []string) {
	for _, m := range live {
		if f.retired[m.Name] {
			names = append(names, m.Name)
		}
	}
	return names
}

// idleOf lists the machines without tasks.
func idleOf(live []*Machine) (idle []*Machine) {
	for _, m := range live {
		if !m.Idle.IsZero() {
			idle = append(idle, m)
		}
	}
	return idle
}

// liveBins is the room of machines in operation that are not retired.
func (f *Fleet) liveBins(live []*Machine, types map[string]*protocol.MachineType) (bins []*bin) {
	for _, m := range live {
		if f.retired[m.Name] {
			continue
		}
		b := &bin{pool: m.pool(), all: types[m.Type].CPUs, free: []room{{0, m.CPUs, m.GPUs, m.Mem}}}
		for _, slot := range m.Slots {
			b.add(room{max(slot.Left, 1), slot.CPUs, slot.GPUs, slot.Mem})
		}
		bins = append(bins, b)
	}
	return bins
}

// pendingBins is the room of machines that were asked for and not yet promised.
func (f *Fleet) pendingBins(types map[string]*protocol.MachineType) (bins []*bin) {
	for p, count := range f.pending {
		t := types[p.Type]
		if t == nil {
			continue
		}
		for range count {
			bins = append(bins, newBin(p, t, f.boot(p, t)))
		}
	}
	return bins
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// FetchTime is how many seconds a machine takes to get the job's image, by the
// slowest type: it may have to share the rate.
func FetchTime(types []protocol.MachineType, s *protocol.Submission) float64 {
	longest := 0.0
	for i := range types {
		if r := types[i].FetchGBPerSecond; r > 0 {
			longest = max(longest, s.ImageGB/r)
		}
	}
	return longest
}
