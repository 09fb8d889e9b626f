// Package autoscaler decides which machines to acquire and to release: of which type, in which zone, spot or on demand.
// It sends no requests and stops no tasks, does no I/O and reads no clock: callers pass in the time and carry out the
// returned Plan. Its types are not safe for concurrent use.
package autoscaler

import (
	"slices"
	"time"

	"topazhollow/internal/instant"
	"topazhollow/internal/protocol"
)

// Machine is the known state of a machine.
type Machine struct {
	Name             string
	Type             string
	Zone             string
	Spot             bool
	LastHeartbeat    time.Time          // last heartbeat at any controller; zero before the first
	AcquiredAt       time.Time          // or when it was first seen, if the acquisition time is unknown
	IdleSince        time.Time          // zero while it has tasks
	ListedState      protocol.HostState // state in the cloud's list; "" if not listed
	FreeCPUs         float64
	FreeGPUs         float64
	FreeMemory       float64
	SpotNotice       bool // the cloud announced that it will reclaim the machine within seconds
	Faulty           bool // tasks of different jobs fail on it
	Registered       bool // registered in the state service
	AwaitedByBarrier bool // an owner can start no tasks until the machine reports or is known to be gone
	ProbeUnanswered  bool // it did not answer its home's probe
	SkippedInList    bool // the cloud's list contains a machine acquired later, but not this one
	HomeUnreachable  bool // its home controller is unreachable from here, so missing heartbeats prove nothing
	Tasks            []RunningTask
}

// RunningTask is a task on a machine.
type RunningTask struct {
	CPUs, GPUs, Memory float64
	SecondsLeft        float64 // estimated seconds until it ends
	OnDemandOnly       bool    // may not run on a spot machine
}

// Demand is a request for capacity by a job's waiting tasks.
type Demand struct {
	Spec            *protocol.Submission
	Count           int
	Held            []string  // machines that hold room for further tasks of the job and stay in service
	Due             time.Time // target completion time of the job
	CPUsBeyondQuota float64   // CPUs requested by its class beyond its team's quota; Count is 0 if set
	PreferSpot      bool      // acquires on-demand machines only if no capacity is expected otherwise
}

// Options are the configured parameters of an Autoscaler.
type Options struct {
	IdleTimeout            time.Duration // idle time after which a machine is released
	Warm                   int           // number of machines kept even if idle
	SpotShare              float64       // 0 excludes spot machines
	SilenceTimeout         time.Duration // silence after which a machine is released
	PartitionedZoneTimeout time.Duration // the same if most machines of its zone are silent
	BarrierTimeout         time.Duration // the same if a barrier waits for the machine
	OverdueTimeout         time.Duration // the same if a barrier waits for it and nearly all other machines have reported
	UnlistedTimeout        time.Duration // the same if the cloud no longer lists the machine
	SafetyRunTimes         float64       // safety margin before a job is due, in multiples of its run time
}

// maxBackoff bounds how long no machines are requested from a pool that refused a request. It is short because the
// cloud does not announce when capacity becomes available again.
const maxBackoff = 10 * time.Second

// Arrivals is the number of CPUs that newly submitted work keeps busy, by priority rank: the recent arrival rate times
// the run time.
type Arrivals map[int]float64

// maxArrivalShare bounds the share of all CPUs that future arrivals are assumed to use, since the arrivals of the last
// minute are only a rough estimate.
const maxArrivalShare = 0.33

// delayFactor returns the factor by which work of a rank starts later than forecast, because the forecast only contains
// work already submitted and future work of a higher rank will be placed first.
func (arrivals Arrivals) delayFactor(rank int, totalCPUs float64) float64 {
	before := 0.0
	for r, cpus := range arrivals {
		if r > rank {
			before += cpus
		}
	}
	return 1 / (1 - min(before/max(totalCPUs, 1), maxArrivalShare))
}

// Plan lists the actions to carry out now.
type Plan struct {
	ScaleOut          []protocol.ScaleOutRequest
	ScaleIn           []string
	Retire            []string // machines that get no more tasks and are released once idle
	SlowBootLocations []string // "type in zone" where all booting machines are late
	Outlook           Outlook
}

// pool identifies the machines of one type in one zone, either spot or on-demand.
type pool struct {
	Type, Zone string
	Spot       bool
}

// Autoscaler makes the scaling decisions. It keeps track of refusals, pending requests and recent boot times.
type Autoscaler struct {
	options          Options
	prefix           string
	counter          uint64
	unavailableUntil map[pool]time.Time // until when no requests are sent after a refusal
	backoff          map[pool]time.Duration
	pending          map[pool]int // machines requested, not yet answered
	bootTimes        map[pool]*bootHistory
	silent           map[string]bool // machines without a heartbeat as of the last decision
	// Those of the silent machines that the cloud has listed as running, so that their boot time is unknown.
	upBeforeHeartbeat map[string]bool
	retired           map[string]bool      // machines that get no more tasks
	held              map[string]bool      // machines that hold room for a job, as of the last decision
	waitingSince      map[string]time.Time // by job, since when it has had waiting tasks
	scaledOutAt       time.Time            // when machines were last requested
	grewAt            time.Time            // when machines were last acquired
	waitedLongAt      time.Time            // when tasks were last expected to wait for saturatedWait
	forecastStarts    map[string]time.Time // by job, forecast start of its last task; the earliest forecast counts
}

// New returns an Autoscaler whose scale-out requests have names that begin with prefix. No other owner may use it.
func New(prefix string, options Options) *Autoscaler {
	return &Autoscaler{
		options:           options,
		prefix:            prefix,
		unavailableUntil:  map[pool]time.Time{},
		backoff:           map[pool]time.Duration{},
		pending:           map[pool]int{},
		bootTimes:         map[pool]*bootHistory{},
		silent:            map[string]bool{},
		upBeforeHeartbeat: map[string]bool{},
		retired:           map[string]bool{},
		forecastStarts:    map[string]time.Time{},
	}
}

// ForgetUnsent forgets pending requests that the caller did not send.
func (a *Autoscaler) ForgetUnsent() { clear(a.pending) }

// RecordScaleOut records the outcome of a scale-out request, which acquired got machines. If the pool refused the rest,
// no machines are requested from it during a backoff.
func (a *Autoscaler) RecordScaleOut(r protocol.ScaleOutRequest, got int, now time.Time, refused bool) {
	p := pool{r.Type, r.Zone, r.Spot}
	a.pending[p] -= r.Count
	if a.pending[p] <= 0 {
		delete(a.pending, p)
	}
	if got > 0 {
		a.grewAt = now
	}
	if got < r.Count && refused {
		d := min(max(2*a.backoff[p], 4*time.Second), maxBackoff)
		a.backoff[p] = d
		a.unavailableUntil[p] = now.Add(d)
		return
	}
	if got > 0 {
		delete(a.backoff, p)
	}
}

// Obsolete reports whether a request that has not been sent yet is pointless, because its pool has refused another
// request in the meantime.
func (a *Autoscaler) Obsolete(r protocol.ScaleOutRequest, now time.Time) bool {
	return a.isUnavailable(pool{r.Type, r.Zone, r.Spot}, now)
}

// isUnavailable reports whether a pool is in backoff after a refusal.
func (a *Autoscaler) isUnavailable(p pool, now time.Time) bool {
	return now.Before(a.unavailableUntil[p])
}

// allowed reports whether a job's tasks may run on machines of a type, zone and kind.
func allowed(s *protocol.Submission, typ, zone string, spot bool) bool {
	return (!spot || s.Spot) && (s.Zone == nil || *s.Zone == zone) && (s.Types == nil || slices.Contains(s.Types, typ))
}

// condition classifies a machine for a decision.
type condition int

const (
	ignored   condition = iota // neither counted as capacity nor released
	lost                       // silent for too long, failed or faulty; to be released
	starting                   // acquired, no heartbeat yet
	operating                  // sent a heartbeat recently
)

// decision holds the inputs and derived values of one call of Decide.
type decision struct {
	types            map[string]*protocol.MachineType // by name
	barrierTimeout   time.Duration                    // silence after which a machine that a barrier waits for is lost
	partitionedZones map[string]bool                  // zones that are probably cut off from the network
	now              time.Time
	settled          time.Time // when the set of controllers last changed
}

// Decide returns the actions that follow from the given state. settled is when the set of controllers last changed; the
// silence of a machine is counted from then at the earliest.
func (a *Autoscaler) Decide(types []protocol.MachineType, machines []Machine, demands []Demand, arrivals Arrivals, now, settled time.Time) Plan {
	d := &decision{types: map[string]*protocol.MachineType{}, now: now, settled: settled}
	for i := range types {
		d.types[types[i].Name] = &types[i]
	}
	a.observeBoots(machines, d.types, now)
	d.barrierTimeout = a.barrierTimeout(machines, now, settled)
	d.partitionedZones = a.partitionedZones(machines, now, settled)
	plan := Plan{SlowBootLocations: a.slowBootLocations()}
	var bins []*bin
	var live []*Machine
	for i := range machines {
		m := &machines[i]
		switch a.conditionOf(m, d) {
		case lost:
			plan.ScaleIn = append(plan.ScaleIn, m.Name)
		case starting:
			t := d.types[m.Type]
			bins = append(bins, newBin(m.pool(), t, a.secondsUntilUp(m, t, d)))
		case operating:
			live = append(live, m)
		}
	}
	a.recordHeld(demands)
	a.retire(live, d.types, demands, now)
	a.returnNeeded(live, types, demands, now)
	plan.Retire = a.retiredMachines(live)
	inService := a.liveBins(live, d.types)
	for _, m := range live {
		if b := inService[m.Name]; b != nil {
			bins = append(bins, b)
		}
	}
	bins = append(bins, a.pendingBins(d.types)...)
	a.scaleOut(&plan, types, bins, demands, arrivals, now)
	if len(plan.ScaleOut) == 0 {
		a.scaleInIdle(&plan, d.types, a.idleMachines(live, inService), len(bins)+len(plan.Retire), now)
	}
	return plan
}

// conditionOf classifies a machine.
func (a *Autoscaler) conditionOf(m *Machine, d *decision) condition {
	t := d.types[m.Type]
	silence := d.now.Sub(instant.Later(m.LastHeartbeat, d.settled))
	booting := m.LastHeartbeat.IsZero()
	switch {
	case m.ListedState == protocol.HostFailed, m.Faulty:
		return lost
	case m.HomeUnreachable && m.ListedState != "":
		return ignored
	case booting && !m.Registered && a.bootTimedOut(m, t, d):
		return lost
	case (!booting || m.Registered) && silence > a.silenceTimeout(m, d.barrierTimeout, d.partitionedZones[m.Zone]):
		return lost
	case m.SpotNotice || t == nil:
		return ignored
	case booting && m.Registered && silence > a.options.SilenceTimeout/4:
		return ignored // registered earlier, but may have been released since
	case booting:
		return starting
	case silence > a.options.SilenceTimeout/2:
		return ignored
	}
	return operating
}

// recordHeld records the machines that hold room for jobs.
func (a *Autoscaler) recordHeld(demands []Demand) {
	a.held = map[string]bool{}
	for i := range demands {
		for _, machine := range demands[i].Held {
			a.held[machine] = true
		}
	}
}

// retiredMachines returns the names of the operating machines that are retired.
func (a *Autoscaler) retiredMachines(live []*Machine) (names []string) {
	for _, m := range live {
		if a.retired[m.Name] {
			names = append(names, m.Name)
		}
	}
	return names
}

// idleMachines returns the machines without tasks that hold no room for any and that the forecast has put no waiting task
// on. A gang, for example, may wait for further machines before all of its tasks can start.
func (a *Autoscaler) idleMachines(live []*Machine, forecast map[string]*bin) (idle []*Machine) {
	for _, m := range live {
		b := forecast[m.Name]
		isNeeded := a.held[m.Name] || b != nil && b.reservations > 0
		if !m.IdleSince.IsZero() && !isNeeded {
			idle = append(idle, m)
		}
	}
	return idle
}

// liveBins returns the free capacity over time of operating machines that are not retired, by name.
func (a *Autoscaler) liveBins(live []*Machine, types map[string]*protocol.MachineType) map[string]*bin {
	bins := make(map[string]*bin, len(live))
	for _, m := range live {
		if a.retired[m.Name] {
			continue
		}
		b := m.presentBin()
		b.totalCPUs = types[m.Type].CPUs
		for _, task := range m.Tasks {
			b.add(capacityChange{max(task.SecondsLeft, 1), task.CPUs, task.GPUs, task.Memory})
		}
		bins[m.Name] = b
	}
	return bins
}

// pendingBins returns the capacity of machines that were requested, where the cloud has not answered yet.
func (a *Autoscaler) pendingBins(types map[string]*protocol.MachineType) (bins []*bin) {
	for p, count := range a.pending {
		t := types[p.Type]
		if t == nil {
			continue
		}
		for range count {
			bins = append(bins, newBin(p, t, a.bootSeconds(p, t)))
		}
	}
	return bins
}

// ImageFetchSeconds returns how many seconds a machine takes to fetch a job's image. It assumes the slowest machine
// type, since concurrent fetches share the rate.
func ImageFetchSeconds(types []protocol.MachineType, s *protocol.Submission) float64 {
	longest := 0.0
	for i := range types {
		if r := types[i].FetchGBPerSecond; r > 0 {
			longest = max(longest, s.ImageGB/r)
		}
	}
	return longest
}
