// Package autoscaler decides which machines to acquire and to release: spot or on demand, of which type and in which
// zone. It never sends a request and never stops a task. It does no I/O and reads no clock; its types are not safe for
// concurrent use.
package autoscaler

import (
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// Machine is what is known of a machine.
type Machine struct {
	Name             string
	Type             string
	Zone             string
	Spot             bool
	LastHeartbeat    time.Time          // last report anywhere; zero before the first
	AcquiredAt       time.Time          // first seen, if that is not known
	IdleSince        time.Time          // idle since; zero while it has tasks
	ListedState      protocol.HostState // in the cloud's list, "" if not listed
	FreeCPUs         float64
	FreeGPUs         float64
	FreeMemory       float64
	SpotNotice       bool // the cloud said that it takes the machine back within seconds
	Faulty           bool // fails different jobs
	Registered       bool // registered in the state service
	AwaitedByBarrier bool // an owner can start nothing before the machine reports or is gone
	ProbeUnanswered  bool // it did not answer its home's probe
	SkippedInList    bool // the cloud lists a machine acquired later, but not this one
	HomeUnreachable  bool // its home is unreachable from here, so that its silence proves nothing
	Tasks            []RunningTask
}

// RunningTask is a task on a machine.
type RunningTask struct {
	CPUs, GPUs, Memory float64
	SecondsLeft        float64 // seconds until it probably ends
	OnDemandOnly       bool    // may not run on a spot machine
}

// Demand is room asked for by tasks that wait.
type Demand struct {
	Spec            *protocol.Submission
	Count           int
	Due             time.Time // when the job should be complete
	CPUsBeyondQuota float64   // CPUs that its class asks for beyond its team's quota; then Count is 0
	PreferSpot      bool      // waits rather than get an ordinary machine, while there is any room to come
}

// Options are the operator's choices.
type Options struct {
	IdleTimeout            time.Duration
	Warm                   int
	SpotShare              float64
	SilenceTimeout         time.Duration // a machine silent for so long is released
	PartitionedZoneTimeout time.Duration // the same where nearly all of its zone are silent
	BarrierTimeout         time.Duration // the same where it holds up others
	OverdueTimeout         time.Duration // the same where nearly all others reported
	UnlistedTimeout        time.Duration // the same where the cloud no longer lists it
	SafetyRunTimes         float64       // run times kept in hand before a job is due
}

// maxBackoff is for how long at most a pool that refused is left alone: room comes
// back without notice.
const maxBackoff = 10 * time.Second

// Arrivals is how many CPUs the work that comes keeps busy, by rank of priority: what came
// a second of late, times how long it runs.
type Arrivals map[int]float64

// maxArrivalShare is what part of the room work that is still to come takes at most: what came in
// the last minute says only so much.
const maxArrivalShare = 0.33

// delayFactor is by what factor work of a rank starts later than a layout says that knows
// only of what is there: what comes with a higher rank goes before it.
func (in Arrivals) delayFactor(rank int, room float64) float64 {
	before := 0.0
	for r, cpus := range in {
		if r > rank {
			before += cpus
		}
	}
	return 1 / (1 - min(before/max(room, 1), maxArrivalShare))
}

// Plan is what to do now.
type Plan struct {
	ScaleOut          []protocol.ScaleOutRequest
	ScaleIn           []string
	Retire            []string // get no more tasks, and go back once they are idle
	SlowBootLocations []string // types and zones, as "type in zone", where no machine comes up in time
}

type pool struct {
	Type, Zone string
	Spot       bool
}

// Autoscaler remembers refusals and what was acquired lately.
type Autoscaler struct {
	options          Options
	prefix           string
	counter          uint64
	unavailableUntil map[pool]time.Time // no capacity until
	backoff          map[pool]time.Duration
	pending          map[pool]int // asked for, not yet answered
	bootTimes        map[pool]*bootHistory
	booting          map[string]bool      // machines without a report as of the last decision
	retired          map[string]bool      // machines that get no more tasks
	scaledOutAt      time.Time            // when machines were last asked for
	startBy          map[string]time.Time // by when all of a job should have started, by the first forecast
}

// New makes a fleet's decisions under names that nobody else uses.
func New(prefix string, options Options) *Autoscaler {
	return &Autoscaler{
		options:          options,
		prefix:           prefix,
		unavailableUntil: map[pool]time.Time{},
		backoff:          map[pool]time.Duration{},
		pending:          map[pool]int{},
		bootTimes:        map[pool]*bootHistory{},
		booting:          map[string]bool{},
		retired:          map[string]bool{},
		startBy:          map[string]time.Time{},
	}
}

// ForgetUnsent drops what was asked for but is not sent.
func (f *Autoscaler) ForgetUnsent() { clear(f.pending) }

// RecordScaleOut records the outcome of a scale-out request.
func (f *Autoscaler) RecordScaleOut(r protocol.ScaleOutRequest, got int, now time.Time, refused bool) {
	p := pool{r.Type, r.Zone, r.Spot}
	f.pending[p] -= r.Count
	if f.pending[p] <= 0 {
		delete(f.pending, p)
	}
	if got < r.Count && refused {
		d := min(max(2*f.backoff[p], 4*time.Second), maxBackoff)
		f.backoff[p] = d
		f.unavailableUntil[p] = now.Add(d)
		return
	}
	if got > 0 {
		delete(f.backoff, p)
	}
}

// Obsolete says whether a request that waits for its turn has become pointless: the place refused another one
// meanwhile.
func (f *Autoscaler) Obsolete(r protocol.ScaleOutRequest, now time.Time) bool {
	return f.isUnavailable(pool{r.Type, r.Zone, r.Spot}, now)
}

// isUnavailable says whether a place is left alone, since it refused.
func (f *Autoscaler) isUnavailable(p pool, now time.Time) bool {
	return now.Before(f.unavailableUntil[p])
}

func allowed(s *protocol.Submission, typ, zone string, spot bool) bool {
	return (!spot || s.Spot) && (s.Zone == nil || *s.Zone == zone) && (s.Types == nil || slices.Contains(s.Types, typ))
}

// condition is what a decision makes of a machine.
type condition int

const (
	ignored   condition = iota // neither used nor released
	lost                       // silent for too long, failed or faulty
	starting                   // acquired, no report yet
	operating                  // reported lately
)

// decision is what one call of Decide works with.
type decision struct {
	types          map[string]*protocol.MachineType // by name
	barrierTimeout time.Duration                    // how long a machine that a barrier waits for may be silent
	cutZones       map[string]bool                  // zones that are cut off
	now            time.Time
	settled        time.Time
}

// Decide plans with what is known. settled is when the members last changed:
// silence counts only from then.
func (f *Autoscaler) Decide(types []protocol.MachineType, machines []Machine, demands []Demand, arrivals Arrivals, now, settled time.Time) Plan {
	d := &decision{types: map[string]*protocol.MachineType{}, now: now, settled: settled}
	for i := range types {
		d.types[types[i].Name] = &types[i]
	}
	f.observeBoots(machines, d.types, now)
	d.barrierTimeout = f.barrierTimeout(machines, now, settled)
	d.cutZones = f.cutZones(machines, now, settled)
	plan := Plan{SlowBootLocations: f.slowPlaces()}
	var bins []*bin
	var live []*Machine
	for i := range machines {
		m := &machines[i]
		switch f.conditionOf(m, d) {
		case lost:
			plan.ScaleIn = append(plan.ScaleIn, m.Name)
		case starting:
			t := d.types[m.Type]
			bins = append(bins, newBin(m.pool(), t, f.secondsUntilUp(m, t, now)))
		case operating:
			live = append(live, m)
		}
	}
	f.retire(live, d.types, demands, now)
	plan.Retire = f.retiredMachines(live)
	bins = append(bins, f.liveBins(live, d.types)...)
	bins = append(bins, f.pendingBins(d.types)...)
	f.scaleOut(&plan, types, bins, demands, arrivals, now)
	if len(plan.ScaleOut) == 0 {
		f.scaleInIdle(&plan, d.types, idleMachines(live), len(bins)+len(plan.Retire), now)
	}
	return plan
}

// conditionOf judges a machine by what is known of it.
func (f *Autoscaler) conditionOf(m *Machine, d *decision) condition {
	t := d.types[m.Type]
	silence := d.now.Sub(later(m.LastHeartbeat, d.settled))
	booting := m.LastHeartbeat.IsZero()
	switch {
	case m.ListedState == protocol.HostFailed, m.Faulty:
		return lost
	case m.HomeUnreachable && m.ListedState != "":
		return ignored
	case booting && !m.Registered && f.bootTimedOut(m, t, d.now):
		return lost
	case (!booting || m.Registered) && silence > f.silenceTimeout(m, d.barrierTimeout, d.cutZones[m.Zone]):
		return lost
	case m.SpotNotice || t == nil:
		return ignored
	case booting && m.Registered && silence > f.options.SilenceTimeout/4:
		return ignored // registered once, but perhaps gone since
	case booting:
		return starting
	case silence > f.options.SilenceTimeout/2:
		return ignored
	}
	return operating
}

// retiredMachines names the machines that are retired.
func (f *Autoscaler) retiredMachines(live []*Machine) (names []string) {
	for _, m := range live {
		if f.retired[m.Name] {
			names = append(names, m.Name)
		}
	}
	return names
}

// idleMachines lists the machines without tasks.
func idleMachines(live []*Machine) (idle []*Machine) {
	for _, m := range live {
		if !m.IdleSince.IsZero() {
			idle = append(idle, m)
		}
	}
	return idle
}

// liveBins is the room of machines in operation that are not retired.
func (f *Autoscaler) liveBins(live []*Machine, types map[string]*protocol.MachineType) (bins []*bin) {
	for _, m := range live {
		if f.retired[m.Name] {
			continue
		}
		b := &bin{pool: m.pool(), totalCPUs: types[m.Type].CPUs, changes: []roomChange{{0, m.FreeCPUs, m.FreeGPUs, m.FreeMemory}}}
		for _, slot := range m.Tasks {
			b.add(roomChange{max(slot.SecondsLeft, 1), slot.CPUs, slot.GPUs, slot.Memory})
		}
		bins = append(bins, b)
	}
	return bins
}

// pendingBins is the room of machines that were asked for and not yet promised.
func (f *Autoscaler) pendingBins(types map[string]*protocol.MachineType) (bins []*bin) {
	for p, count := range f.pending {
		t := types[p.Type]
		if t == nil {
			continue
		}
		for range count {
			bins = append(bins, newBin(p, t, f.bootSeconds(p, t)))
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

// ImageFetchSeconds is how many seconds a machine takes to get the job's image, by the
// slowest type: it may have to share the rate.
func ImageFetchSeconds(types []protocol.MachineType, s *protocol.Submission) float64 {
	longest := 0.0
	for i := range types {
		if r := types[i].FetchGBPerSecond; r > 0 {
			longest = max(longest, s.ImageGB/r)
		}
	}
	return longest
}
