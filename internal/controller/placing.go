package controller

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

// placing is one step's search for machines.
type placing struct {
	n     *Node
	now   time.Time
	hosts []*placement.Host
	full  []*placement.Ask // what fits no host any more
	short []waitingTasks   // what found no room
	gangs []*waitingTasks  // of the class that is placed: those that found no room for all their tasks
	kept  map[keptRoom]int // tasks that room is kept for
}

// place starts what can be started, most urgent first. Room that a peer's more urgent tasks
// will take is left to them.
func (n *Node) place(now time.Time) {
	list := n.allWaiting(now)
	p := &placing{n: n, now: now, kept: map[keptRoom]int{}}
	if len(list) > 0 {
		arrange(list)
		p.hosts = n.hosts(now, smallest(list))
		if plan := n.admission.agreement.InForce(); plan != nil && len(plan.Reserved) > 0 {
			setHeldFor(p.hosts, list)
		}
	}
	for i := range list {
		w := &list[i]
		if i > 0 && list[i-1].compareClass(w) != 0 {
			p.reserveForGangs()
		}
		p.placeTasks(w)
		if w.own != nil && w.count > 0 && !w.spare {
			p.short = append(p.short, *w)
		}
	}
	if now.Sub(n.preemptionReviewedAt) >= preemptEvery {
		n.preemptionReviewedAt = now
		n.preemptForGangs(p)
		n.preempt(p.short, p.hosts, now)
	}
	if len(list) > 0 && (len(p.short) > 0 || n.waitingAnnounced) {
		n.waitingAnnounced = len(p.short) > 0
		n.requestStatus()
	}
}

// smallest is room that each of the waiting tasks needs at the least.
func smallest(list []waitingTasks) *placement.Ask {
	least := &placement.Ask{CPUs: math.Inf(1), GPUs: math.Inf(1), Memory: math.Inf(1)}
	for i := range list {
		s := list[i].spec
		least.CPUs = min(least.CPUs, s.CPUs)
		least.GPUs = min(least.GPUs, s.GPUs)
		least.Memory = min(least.Memory, s.MemoryGB)
	}
	return least
}

// setHeldFor tells hosts that are held for a class what the smallest of its tasks that wait needs.
func setHeldFor(hosts []*placement.Host, list []waitingTasks) {
	least := map[string]placement.Room{}
	for i := range list {
		s := list[i].spec
		room, known := least[s.Class]
		if !known {
			room = placement.Room{CPUs: math.Inf(1), Memory: math.Inf(1)}
		}
		least[s.Class] = placement.Room{CPUs: min(room.CPUs, s.CPUs), Memory: min(room.Memory, s.MemoryGB)}
	}
	for _, h := range hosts {
		h.SmallestReserved = least[h.ReservedClass]
	}
}

// leftoverAfter is for how long a job waits before its tasks may take what is left on machines that are held for a class whose tasks
// do not fit there any more. Until then that room may yet become enough for one of them.
const leftoverAfter = time.Minute

// urgent says whether tasks have no time to spare: they would not be complete in time if they
// ran three times as long as estimated after fetching their image.
func (n *Node) urgent(w *waitingTasks, now time.Time) bool {
	if w.spec.Kind != protocol.JobArray || w.late || w.borrowed {
		return false
	}
	fetch := settings.Seconds(autoscaler.FetchTime(n.machineTypes, w.spec))
	return w.latest.Sub(now) <= 2*w.spec.RunTime()+fetch+preemptionDelay
}

// choose finds a host that is not to be skipped.
func (p *placing) choose(ask *placement.Ask, skip func(*placement.Host) bool) *placement.Host {
	if slices.ContainsFunc(p.full, ask.Exceeds) {
		return nil
	}
	skipped := false
	h := placement.Choose(p.n.rng, p.hosts, ask, p.n.options.SampleSize, func(h *placement.Host) bool {
		skip := skip(h)
		skipped = skipped || skip
		return skip
	})
	if h == nil && !skipped {
		p.full = append(p.full, ask)
	}
	return h
}

// placeTasks places what it can of waiting tasks and takes that off their count.
func (p *placing) placeTasks(w *waitingTasks) {
	ask := p.n.ask(w.spec)
	ask.MinimizeTime = p.n.urgent(w, p.now)
	ask.MayUseLeftover = p.now.Sub(w.submitted) > leftoverAfter
	switch {
	case w.own == nil:
		p.leaveRoom(w, ask)
	case w.own.Spec.Kind == protocol.Gang:
		if p.placeGang(w, ask) {
			w.count = 0
		} else {
			p.gangs = append(p.gangs, w)
		}
	default:
		p.placeEach(w, ask)
	}
}

// leaveRoom takes room for a peer's tasks out of this step's search.
func (p *placing) leaveRoom(w *waitingTasks, ask *placement.Ask) {
	for ; w.count > 0; w.count-- {
		h := p.choose(ask, func(*placement.Host) bool { return false })
		if h == nil {
			return
		}
		h.Take(ask)
	}
}

// placeEach places tasks that run independently of each other.
func (p *placing) placeEach(w *waitingTasks, ask *placement.Ask) {
	rule := p.n.zoneRule(w)
	team := w.shard.Team()
	team.Pending(w.own, p.now, func(index int) bool {
		if w.count == 0 || !team.Fits(w.own, 1) || w.spare && !team.FitsSurplus(w.own) {
			return false
		}
		h := p.choose(ask, func(h *placement.Host) bool { return w.own.Avoids(h.Name, p.now) || !rule.allows(h) })
		if h == nil || !team.Place(w.own, index, p.n.spot(h)) {
			return false
		}
		rule.take(h)
		w.count--
		h.Take(ask)
		h.Images[ask.Image] = true
		return true
	})
}

// spot is a host as the ledger names it.
func (n *Node) spot(h *placement.Host) jobstate.Location {
	return jobstate.Location{Machine: h.Name, Zone: n.machines[h.Name].status.Zone, Incarnation: h.Session}
}

// zoneRule holds a job's tasks, of which some may be on machines already, to one zone or to
// at most half of them in one.
type zoneRule struct {
	zones map[int]int
	most  int // in one zone; 0: no bound
	one   bool
}

// zoneRule counts where a job's tasks are, if its zones are restricted.
func (n *Node) zoneRule(w *waitingTasks) *zoneRule {
	s := w.own.Spec
	r := &zoneRule{zones: map[int]int{}, one: s.OneZone}
	if !s.OneZone && !s.Spread {
		return r
	}
	if s.Spread {
		r.most = (s.Tasks + 1) / 2
	}
	for zone, count := range w.shard.Team().TasksByZone(w.own) {
		r.zones[n.zoneIndex(zone)] += count
	}
	return r
}

// allows says whether another task may go to a host's zone.
func (r *zoneRule) allows(h *placement.Host) bool {
	if r.one && len(r.zones) > 0 && r.zones[h.Zone] == 0 {
		return false
	}
	return r.most == 0 || r.zones[h.Zone] < r.most
}

// take counts a task on a host.
func (r *zoneRule) take(h *placement.Host) {
	if r.one || r.most > 0 {
		r.zones[h.Zone]++
	}
}
