package scheduler

import (
	"math"
	"slices"
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// leftoverDelay is how long a job must have waited before its tasks may use leftover capacity on machines reserved for
// another class, that is, capacity too small for any waiting task of that class. The delay gives running tasks time to
// end, after which the free capacity may suffice for a task of the class.
const leftoverDelay = time.Minute

// pass is one scheduling pass.
type pass struct {
	scheduler       *Scheduler
	snapshot        Snapshot
	now             time.Time
	saturated       bool // the fleet cannot grow; see admission.Plan.FirstTasks
	teams           []Team
	queue           []waitingTasks               // most urgent first
	hosts           []*placement.Host            // with the capacity that this pass has left free; see allocate
	hostsCurrent    bool                         // the scheduler's hosts were updated for this pass
	unplaceableAsks []*placement.Request         // requests that no longer fit any host
	unplaced        []waitingTasks               // own tasks that could not be placed
	unplacedGangs   []*waitingTasks              // gangs of the current urgency class that could not be placed as a whole
	reserved        map[reservationKey]int       // number of tasks that capacity is reserved for
	holds           []Demand                     // those whose jobs hold room on machines
	held            map[string][]*placement.Host // by job, where room that it holds was taken out of the pass
	evictions       []Eviction
}

// Pass places the waiting tasks that fit, most urgent first, and selects preemption victims for those that do not.
// Capacity needed by more urgent tasks of peer controllers is left free.
func (s *Scheduler) Pass(snapshot Snapshot, now time.Time) Result {
	p := &pass{scheduler: s, snapshot: snapshot, now: now, teams: snapshot.Teams(), reserved: map[reservationKey]int{},
		held: map[string][]*placement.Host{}}
	if plan := snapshot.Plan(); plan != nil {
		p.saturated = plan.FirstTasks
	}
	p.buildQueue()
	p.listHosts()
	for _, d := range p.holds {
		p.holdPlaces(d.Job, d.Held)
	}
	for i := range p.queue {
		w := &p.queue[i]
		if i > 0 && p.queue[i-1].compareClass(w) != 0 {
			p.reserveForGangs()
		}
		p.placeTasks(w)
		if w.isOwn() && w.count > 0 && !w.surplus {
			p.unplaced = append(p.unplaced, *w)
		}
	}
	if now.Sub(s.preemptedAt) >= preemptionInterval {
		s.preemptedAt = now
		p.preemptForGangs()
		p.preempt()
	}
	return Result{Evictions: p.evictions, Queued: len(p.queue) > 0, Unplaced: len(p.unplaced) > 0}
}

// isOwn reports whether the tasks belong to a team that this controller owns.
func (w *waitingTasks) isOwn() bool { return w.job != nil }

// listHosts collects the machines that may have room for at least one waiting task.
func (p *pass) listHosts() {
	if len(p.queue) == 0 {
		return
	}
	least := smallestAsk(p.queue)
	p.hosts, p.hostsCurrent = p.scheduler.Hosts(p.snapshot, p.now, least), true
	if plan := p.snapshot.Plan(); plan != nil && len(plan.Reserved) > 0 {
		p.setSmallestReserved(plan, least)
	}
}

// allocate subtracts what a task requires from a host for the rest of this pass.
func (p *pass) allocate(h *placement.Host, ask *placement.Request) {
	h.Allocate(ask)
	p.scheduler.markStale(h.Name)
}

// release adds to the free resources of a host for the rest of this pass.
func (p *pass) release(h *placement.Host, cpus, gpus, memory float64) {
	h.Release(cpus, gpus, memory)
	p.scheduler.markStale(h.Name)
}

// smallestAsk returns the minimum of each resource over all waiting tasks. A host without it fits none of them.
func smallestAsk(queue []waitingTasks) *placement.Request {
	least := &placement.Request{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1)}
	for i := range queue {
		spec := queue[i].spec
		least.CPUs = min(least.CPUs, spec.CPUs)
		least.GPUs = min(least.GPUs, spec.GPUs)
		least.MemoryGB = min(least.MemoryGB, spec.MemoryGB)
	}
	return least
}

// placeTasks places as many of the waiting tasks as possible and reduces their count accordingly.
func (p *pass) placeTasks(w *waitingTasks) {
	ask := p.scheduler.ask(w.spec)
	ask.MinimizeTime = p.scheduler.hasNoSlack(w, p.now)
	ask.MayUseLeftover = p.now.Sub(w.submittedAt) > leftoverDelay
	switch {
	case !w.isOwn():
		p.leaveRoomForPeer(w, ask)
	case w.job.Spec.Kind == protocol.Gang:
		if p.placeGang(w, ask) {
			w.count = 0
		} else {
			p.unplacedGangs = append(p.unplacedGangs, w)
		}
	default:
		p.placeEach(w, ask)
	}
}

// leaveRoomForPeer subtracts the capacity for a peer's tasks from the hosts of this pass.
func (p *pass) leaveRoomForPeer(w *waitingTasks, ask *placement.Request) {
	for ; w.count > 0; w.count-- {
		h := p.choose(ask, func(*placement.Host) bool { return false })
		if h == nil {
			return
		}
		p.allocate(h, ask)
	}
}

// placeEach places tasks that run independently of each other.
func (p *pass) placeEach(w *waitingTasks, ask *placement.Request) {
	zones := p.scheduler.zoneRule(w)
	w.job.Pending(p.now, func(index int) bool {
		if w.count == 0 || !w.team.Quota().Fits(w.job, 1) || w.surplus && !w.team.Quota().FitsSurplus(w.job) {
			return false
		}
		h := p.choose(ask, func(h *placement.Host) bool { return w.job.Avoids(h.Name, p.now) || !zones.allows(h) })
		if h == nil && w.job.AvoidsAny() {
			h = p.choose(ask, func(h *placement.Host) bool { return w.job.Excludes(h.Name, p.now) || !zones.allows(h) })
		}
		if h == nil || !w.team.Place(w.job, index, p.scheduler.location(h)) {
			return false
		}
		w.job.RecordRetry(h.Name, p.now)
		zones.take(h)
		w.count--
		p.allocate(h, ask)
		h.Images[ask.Image] = true
		return true
	})
}

// choose returns a host that has room for a task and is not skipped, or nil. If no host has room and none was skipped,
// the request is recorded in unplaceableAsks, so that larger ones fail without another search.
func (p *pass) choose(ask *placement.Request, skip func(*placement.Host) bool) *placement.Host {
	if slices.ContainsFunc(p.unplaceableAsks, ask.Exceeds) {
		return nil
	}
	skipped := false
	h := p.scheduler.chooseHost(p.hosts, ask, func(h *placement.Host) bool {
		skip := skip(h)
		skipped = skipped || skip
		return skip
	})
	if h == nil && !skipped {
		p.unplaceableAsks = append(p.unplaceableAsks, ask)
	}
	return h
}

// chooseHost returns the best host from a sample of those that have room, or nil if none has.
func (s *Scheduler) chooseHost(hosts []*placement.Host, ask *placement.Request, skip func(*placement.Host) bool) *placement.Host {
	return placement.Choose(s.config.Random, hosts, ask, s.config.Options.SampleSize, skip)
}

// location converts a host to the form in which team accounts record it.
func (s *Scheduler) location(h *placement.Host) jobstate.Location {
	return jobstate.Location{Machine: h.Name, Zone: s.machines[h.Name].status.Zone, Incarnation: h.Incarnation}
}

// hasNoSlack reports whether array tasks would miss their objective if they waited for preemptionDelay, fetched their
// image and then ran three times as long as estimated. It is false for late and for borrowed work.
func (s *Scheduler) hasNoSlack(w *waitingTasks, now time.Time) bool {
	if w.spec.Kind != protocol.JobArray || w.late || w.borrowed {
		return false
	}
	fetch := settings.Seconds(autoscaler.ImageFetchSeconds(s.machineTypes, w.spec))
	return w.latestStart.Sub(now) <= 2*w.spec.RunTime()+fetch+preemptionDelay
}

// serviceRunSeconds is the assumed run time of a service's task, in seconds.
const serviceRunSeconds = 1e6

// ask returns the placement request of a job's task.
func (s *Scheduler) ask(spec *protocol.Submission) *placement.Request {
	ask := &placement.Request{
		CPUs:        spec.CPUs,
		GPUs:        spec.GPUs,
		MemoryGB:    spec.MemoryGB,
		Zone:        anyZone,
		ListedBytes: protocol.ListedBytes(protocol.TaskNameLength(spec.UID, spec.Tasks-1)),
		Spot:        spec.Spot,
		Image:       spec.Image,
		ImageGB:     spec.ImageGB,
		RunSeconds:  spec.EstimateSeconds,
		Class:       spec.Class,
	}
	if spec.Kind == protocol.Service {
		ask.RunSeconds = serviceRunSeconds
	}
	if spec.Zone != nil {
		ask.Zone = s.zoneIndex(*spec.Zone)
	}
	if spec.Types != nil {
		ask.Types = []int{}
		for i := range s.machineTypes {
			if slices.Contains(spec.Types, s.machineTypes[i].Name) {
				ask.Types = append(ask.Types, i)
			}
		}
	}
	return ask
}
