package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// waitingTasks is a queue entry: tasks of one job that wait to be placed. All controllers sort them in the same order.
type waitingTasks struct {
	team        Team          // nil for tasks of a peer, which are not placed here
	job         *jobstate.Job // from the team's account; nil for tasks of a peer
	spec        *protocol.Submission
	count       int
	borrowed    bool      // uses capacity beyond the team's guarantee
	probe       bool      // belongs to a job that fails on all machines
	surplus     bool      // uses limit and capacity that the team's demands leave unused because they do not fit
	prioritized bool      // placed before more urgent work; see Team.PrioritizedTasks
	first       bool      // prioritized, and the first task of its job while the fleet is saturated; of a gang all tasks
	late        bool      // can no longer meet any completion objective
	lateStart   bool      // late, and has missed its start objective as well
	latestStart time.Time // latest start that still meets the objective
	submittedAt time.Time
}

// buildQueue collects the waiting tasks of own teams and sorts them by urgency. If there are any, the queue also
// includes the tasks of peers' teams.
func (p *pass) buildQueue() {
	for _, team := range p.teams {
		p.enqueueDemands(team)
		p.enqueueSurplus(team)
	}
	if len(p.queue) == 0 {
		return
	}
	for demand := range p.snapshot.PeerDemands(p.now) {
		p.recordHeld(&demand)
		demand.Count -= len(demand.Held)
		p.enqueue(&waitingTasks{}, &demand)
	}
	sortQueue(p.queue, p.saturated)
}

// enqueueDemands adds the demands of an own team within its quota.
func (p *pass) enqueueDemands(team Team) {
	demands := team.Quota().Demands(p.now)
	prioritized := team.PrioritizedTasks(demands, p.now)
	for i := range demands {
		d := &demands[i]
		w := waitingTasks{team: team, job: team.Job(d.Spec.UID)}
		demand := Demand{Job: d.Spec.UID, Count: d.Count, Prioritized: prioritized[i], Begins: !w.job.HasBegun(), Borrowed: d.Borrowed, Held: d.Held, Probe: d.Probe}
		p.recordHeld(&demand)
		p.enqueue(&w, &demand)
	}
}

// recordHeld records a demand whose job holds room on machines.
func (p *pass) recordHeld(d *Demand) {
	if len(d.Held) > 0 {
		p.holds = append(p.holds, *d)
	}
}

// enqueueSurplus adds tasks of an own team that may use capacity which its demands do not fit into.
func (p *pass) enqueueSurplus(team Team) {
	for _, d := range team.Quota().SurplusDemands(p.now) {
		w := waitingTasks{team: team, job: team.Job(d.Spec.UID), surplus: true}
		p.enqueue(&w, &Demand{Job: d.Spec.UID, Count: d.Count, Borrowed: true})
	}
}

// enqueue adds a demand of an active job. Prioritized tasks get a separate entry, and so does the first task of a job.
func (p *pass) enqueue(w *waitingTasks, d *Demand) {
	j, known := p.snapshot.Job(d.Job)
	if !known || !j.Active {
		return
	}
	w.spec, w.borrowed, w.probe, w.submittedAt = j.Spec, d.Borrowed, d.Probe, j.SubmittedAt
	w.setUrgency(p.scheduler.serviceLevels(), &j, p.now)
	prioritized, first := max(0, min(d.Prioritized, d.Count)), 0
	if p.saturated && d.Begins {
		first = min(prioritized, 1)
		if j.Spec.Kind == protocol.Gang {
			first = prioritized
		}
	}
	p.append(w, first, true, true)
	p.append(w, prioritized-first, true, false)
	p.append(w, d.Count-prioritized, false, false)
}

// append adds an entry for some tasks of a job, if there are any.
func (p *pass) append(w *waitingTasks, count int, prioritized, first bool) {
	if count <= 0 {
		return
	}
	w.count, w.prioritized, w.first = count, prioritized, first
	p.queue = append(p.queue, *w)
}

// setUrgency derives from a job's objectives the latest start of its tasks and whether they are late.
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
		w.latestStart = startBy // a gang starts as a whole, so all of its tasks can still meet the start objective
	}
}

// falseFirst compares two boolean values that differ, false before true. a is the first of them.
func falseFirst(a bool) int {
	if a {
		return 1
	}
	return -1
}

// compareClass compares the urgency classes of two entries. Entries of different classes are never interleaved.
// Prioritized tasks come first, the first tasks of jobs before others, then work within its team's guarantee, then borrowed work, each in descending order of
// priority. Surplus tasks follow, and probes of faulty jobs come last.
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
	if w.first != o.first {
		return falseFirst(o.first)
	}
	if w.borrowed != o.borrowed {
		return falseFirst(w.borrowed)
	}
	return protocol.Rank(o.spec.Priority) - protocol.Rank(w.spec.Priority)
}

// remainingWork returns the estimated CPU seconds of the tasks.
func (w *waitingTasks) remainingWork() float64 {
	return float64(w.count) * w.spec.CPUs * w.spec.EstimateSeconds
}

// compare compares two entries by urgency. Within a class the earlier latest start comes first; entries that can no
// longer meet any objective come last. In a saturated fleet most jobs are late whatever comes first, so the least work
// left comes first: as many jobs as possible are completed.
func (w *waitingTasks) compare(o *waitingTasks, saturated bool) int {
	if order := w.compareClass(o); order != 0 {
		return order
	}
	if saturated && !w.first {
		return cmp.Or(cmp.Compare(w.remainingWork(), o.remainingWork()), strings.Compare(w.spec.UID, o.spec.UID))
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

// sortQueue sorts waiting tasks by urgency, most urgent first.
func sortQueue(queue []waitingTasks, saturated bool) {
	slices.SortFunc(queue, func(a, b waitingTasks) int { return a.compare(&b, saturated) })
}
