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

// leftoverAfter is how long a job waits before its tasks may take leftover room of machines that are reserved for a
// class: what is too little for any waiting task of that class. Until then it may yet become enough for one.
const leftoverAfter = time.Minute

// pass is one scheduling pass.
type pass struct {
	scheduler *Scheduler
	snapshot  Snapshot
	now       time.Time
	teams     []Team
	queue     []waitingTasks         // most urgent first
	hosts     []*placement.Host      // with the room that this pass leaves
	noRoom    []*placement.Ask       // what fits no host any more
	unplaced  []waitingTasks         // own tasks that found no room
	gangs     []*waitingTasks        // of the present class, that found no room for all their tasks
	reserved  map[reservationKey]int // tasks that room is reserved for
	evictions []Eviction
}

// Pass starts what can be started, most urgent first, and searches victims for what found no room. Room that a peer's
// more urgent tasks will take is left to them.
func (s *Scheduler) Pass(snapshot Snapshot, now time.Time) Result {
	p := &pass{scheduler: s, snapshot: snapshot, now: now, teams: snapshot.Teams(), reserved: map[reservationKey]int{}}
	p.buildQueue()
	p.listHosts()
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
	if now.Sub(s.preemptedAt) >= preemptEvery {
		s.preemptedAt = now
		p.preemptForGangs()
		p.preempt()
	}
	return Result{Evictions: p.evictions, Queued: len(p.queue) > 0, Unplaced: len(p.unplaced) > 0}
}

// isOwn says whether the tasks are of a team that this controller owns.
func (w *waitingTasks) isOwn() bool { return w.job != nil }

// listHosts lists the machines that have room for any waiting task.
func (p *pass) listHosts() {
	if len(p.queue) == 0 {
		return
	}
	p.hosts = p.scheduler.Hosts(p.snapshot, p.now, smallestAsk(p.queue))
	if plan := p.snapshot.Plan(); plan != nil && len(plan.Reserved) > 0 {
		setSmallestReserved(p.hosts, p.queue)
	}
}

// smallestAsk is room that each of the waiting tasks needs at the least.
func smallestAsk(queue []waitingTasks) *placement.Ask {
	least := &placement.Ask{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1)}
	for i := range queue {
		spec := queue[i].spec
		least.CPUs = min(least.CPUs, spec.CPUs)
		least.GPUs = min(least.GPUs, spec.GPUs)
		least.MemoryGB = min(least.MemoryGB, spec.MemoryGB)
	}
	return least
}

// setSmallestReserved tells hosts that are reserved for a class what the smallest of its waiting tasks needs.
func setSmallestReserved(hosts []*placement.Host, queue []waitingTasks) {
	least := map[string]placement.Room{}
	for i := range queue {
		spec := queue[i].spec
		room, known := least[spec.Class]
		if !known {
			room = placement.Room{CPUs: math.Inf(1), MemoryGB: math.Inf(1)}
		}
		least[spec.Class] = placement.Room{CPUs: min(room.CPUs, spec.CPUs), MemoryGB: min(room.MemoryGB, spec.MemoryGB)}
	}
	for _, h := range hosts {
		h.SmallestReserved = least[h.ReservedClass]
	}
}

// placeTasks places what it can of waiting tasks and takes that off their count.
func (p *pass) placeTasks(w *waitingTasks) {
	ask := p.scheduler.ask(w.spec)
	ask.MinimizeTime = p.scheduler.hasNoSlack(w, p.now)
	ask.MayUseLeftover = p.now.Sub(w.submittedAt) > leftoverAfter
	switch {
	case !w.isOwn():
		p.leaveRoomToPeer(w, ask)
	case w.job.Spec.Kind == protocol.Gang:
		if p.placeGang(w, ask) {
			w.count = 0
		} else {
			p.gangs = append(p.gangs, w)
		}
	default:
		p.placeEach(w, ask)
	}
}

// leaveRoomToPeer takes room for a peer's tasks out of this pass.
func (p *pass) leaveRoomToPeer(w *waitingTasks, ask *placement.Ask) {
	for ; w.count > 0; w.count-- {
		h := p.choose(ask, func(*placement.Host) bool { return false })
		if h == nil {
			return
		}
		h.Take(ask)
	}
}

// placeEach places tasks that run independently of each other.
func (p *pass) placeEach(w *waitingTasks, ask *placement.Ask) {
	zones := p.scheduler.zoneRule(w)
	w.job.Pending(p.now, func(index int) bool {
		if w.count == 0 || !w.team.Quota().Fits(w.job, 1) || w.surplus && !w.team.Quota().FitsSurplus(w.job) {
			return false
		}
		h := p.choose(ask, func(h *placement.Host) bool { return w.job.Avoids(h.Name, p.now) || !zones.allows(h) })
		if h == nil || !w.team.Place(w.job, index, p.scheduler.location(h)) {
			return false
		}
		zones.take(h)
		w.count--
		h.Take(ask)
		h.Images[ask.Image] = true
		return true
	})
}

// choose finds a host that is not to be skipped; nil if none has room.
func (p *pass) choose(ask *placement.Ask, skip func(*placement.Host) bool) *placement.Host {
	if slices.ContainsFunc(p.noRoom, ask.Exceeds) {
		return nil
	}
	skipped := false
	h := p.scheduler.chooseHost(p.hosts, ask, func(h *placement.Host) bool {
		skip := skip(h)
		skipped = skipped || skip
		return skip
	})
	if h == nil && !skipped {
		p.noRoom = append(p.noRoom, ask)
	}
	return h
}

// chooseHost finds the best of a sample of the hosts that have room; nil if none has.
func (s *Scheduler) chooseHost(hosts []*placement.Host, ask *placement.Ask, skip func(*placement.Host) bool) *placement.Host {
	return placement.Choose(s.config.Random, hosts, ask, s.config.Options.SampleSize, skip)
}

// location is a host as a team's account names it.
func (s *Scheduler) location(h *placement.Host) jobstate.Location {
	return jobstate.Location{Machine: h.Name, Zone: s.machines[h.Name].status.Zone, Incarnation: h.Incarnation}
}

// hasNoSlack says whether tasks would not be complete in time if they ran three times as long as estimated after
// fetching their image.
func (s *Scheduler) hasNoSlack(w *waitingTasks, now time.Time) bool {
	if w.spec.Kind != protocol.JobArray || w.late || w.borrowed {
		return false
	}
	fetch := settings.Seconds(autoscaler.ImageFetchSeconds(s.machineTypes, w.spec))
	return w.latestStart.Sub(now) <= 2*w.spec.RunTime()+fetch+preemptionDelay
}

// serviceRun is how long a service's task is taken to run, in seconds.
const serviceRun = 1e6

// ask is what a task of a job needs of a machine.
func (s *Scheduler) ask(spec *protocol.Submission) *placement.Ask {
	ask := &placement.Ask{
		CPUs:       spec.CPUs,
		GPUs:       spec.GPUs,
		MemoryGB:   spec.MemoryGB,
		Zone:       anyZone,
		Spot:       spec.Spot,
		Image:      spec.Image,
		ImageGB:    spec.ImageGB,
		RunSeconds: spec.EstimateSeconds,
		Class:      spec.Class,
	}
	if spec.Kind == protocol.Service {
		ask.RunSeconds = serviceRun
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
