package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// waitingTasks are tasks of one job that wait for room, as all controllers order them.
type waitingTasks struct {
	team        Team          // nil for a peer's, for which room is only left
	job         *jobstate.Job // in the team's account; nil for a peer's
	spec        *protocol.Submission
	count       int
	borrowed    bool      // beyond the team's guarantee
	probe       bool      // of a job that fails everywhere
	surplus     bool      // beyond what the team's limit leaves to its demands, of which some find no room
	prioritized bool      // goes ahead of more urgent work: its class has less than the plan leaves it
	late        bool      // can reach no objective any more
	lateStart   bool      // late, and can't start when it should either
	latestStart time.Time // when they must start to reach their objective
	submittedAt time.Time
}

// buildQueue lists the tasks that wait for room, most urgent first: those of own teams and, if there are any, those of
// peers' teams.
func (p *pass) buildQueue() {
	for _, team := range p.teams {
		p.enqueueDemands(team)
		p.enqueueSurplus(team)
	}
	if len(p.queue) == 0 {
		return
	}
	for demand := range p.snapshot.PeerDemands(p.now) {
		p.enqueue(&waitingTasks{}, &demand)
	}
	sortQueue(p.queue)
}

// enqueueDemands adds what an own team asks for within its quota.
func (p *pass) enqueueDemands(team Team) {
	demands := team.Quota().Demands(p.now)
	prioritized := team.PrioritizedTasks(demands, p.now)
	for i := range demands {
		d := &demands[i]
		w := waitingTasks{team: team, job: team.Job(d.Spec.UID)}
		p.enqueue(&w, &Demand{Job: d.Spec.UID, Count: d.Count, Prioritized: prioritized[i], Borrowed: d.Borrowed, Probe: d.Probe})
	}
}

// enqueueSurplus adds what an own team could place where its demands find no room.
func (p *pass) enqueueSurplus(team Team) {
	for _, d := range team.Quota().SurplusDemands(p.now) {
		w := waitingTasks{team: team, job: team.Job(d.Spec.UID), surplus: true}
		p.enqueue(&w, &Demand{Job: d.Spec.UID, Count: d.Count, Borrowed: true})
	}
}

// enqueue adds a demand of an active job. The tasks that go ahead of more urgent work have an entry of their own.
func (p *pass) enqueue(w *waitingTasks, d *Demand) {
	j, known := p.snapshot.Job(d.Job)
	if !known || !j.Active {
		return
	}
	w.spec, w.borrowed, w.probe, w.submittedAt = j.Spec, d.Borrowed, d.Probe, j.SubmittedAt
	w.setUrgency(p.scheduler.serviceLevels(), &j, p.now)
	prioritized := max(0, min(d.Prioritized, d.Count))
	if prioritized > 0 {
		w.prioritized, w.count = true, prioritized
		p.queue = append(p.queue, *w)
	}
	if d.Count > prioritized {
		w.prioritized, w.count = false, d.Count-prioritized
		p.queue = append(p.queue, *w)
	}
}

// setUrgency derives from a job's objectives when its tasks must start.
func (w *waitingTasks) setUrgency(levels ServiceLevels, j *Job, now time.Time) {
	by, late := j.NextObjective(now)
	w.latestStart, w.late = by.Add(-j.Spec.RunTime()), late
	startBy, canStart := levels.classStartBy(j, now)
	if w.late && canStart {
		w.latestStart = startBy
	} else if w.late {
		w.lateStart = true
	}
	if by, ok := levels.guaranteeStartBy(j.SubmittedAt, now); ok && !w.borrowed && by.Before(w.latestStart) {
		w.latestStart, w.late = by, false
	}
	if canStart && j.Spec.Kind == protocol.Gang && startBy.Before(w.latestStart) {
		w.latestStart = startBy // all of it starts at once, so that it can still be in time as a whole
	}
}

// falseFirst orders two conditions that differ: a is the first one's.
func falseFirst(a bool) int {
	if a {
		return 1
	}
	return -1
}

// compareClass compares what must not be mixed: work within its team's guarantee comes first, then priority decides.
// Surplus work comes after all that, and probes of faulty jobs last.
func (w *waitingTasks) compareClass(o *waitingTasks) int {
	if w.probe != o.probe {
		return falseFirst(w.probe)
	}
	if w.surplus != o.surplus {
		return falseFirst(w.surplus)
	}
	if w.prioritized != o.prioritized {
		return falseFirst(o.prioritized)
	}
	if w.borrowed != o.borrowed {
		return falseFirst(w.borrowed)
	}
	return protocol.Rank(o.spec.Priority) - protocol.Rank(w.spec.Priority)
}

// compare compares by urgency. Within a class those go first that must start soonest to reach their objective; those that
// can reach none come last.
func (w *waitingTasks) compare(o *waitingTasks) int {
	if order := w.compareClass(o); order != 0 {
		return order
	}
	if w.late != o.late {
		return falseFirst(w.late)
	}
	if w.lateStart != o.lateStart {
		return falseFirst(w.lateStart)
	}
	return cmp.Or(
		w.latestStart.Compare(o.latestStart),
		w.submittedAt.Compare(o.submittedAt),
		strings.Compare(w.spec.UID, o.spec.UID),
	)
}

// sortQueue puts waiting tasks in the order in which they get room, most urgent first.
func sortQueue(queue []waitingTasks) {
	slices.SortFunc(queue, func(a, b waitingTasks) int { return a.compare(&b) })
}
