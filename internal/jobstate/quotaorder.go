package jobstate

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// The order in which a team's jobs get quota while it does not suffice for all waiting tasks.
//
// Ordered by deadline alone, nearly all jobs of a team that demands more than its limit would be late: a job that can
// no longer meet its deadline would precede those that still can, and a job of long tasks, whose deadline is late,
// would not start for minutes. Therefore started jobs with little left to start come first, then the jobs that can
// still reach an objective, by latest start time, then those that cannot. A started job with much left to start has no
// precedence, since it would use up a small limit for minutes. Gangs wait long because all their tasks must start
// together; they keep their order even if they have missed their objectives.

// quotaTier ranks jobs of the same priority; lower tiers get quota first.
type quotaTier int

const (
	nearlyStarted quotaTier = iota // some tasks are assigned or done, and little is left to start
	attainable                     // can still reach an objective
	missedStarted                  // can reach no objective; some tasks are assigned or done
	missed                         // can reach no objective
	noObjective                    // has no objective
)

// smallRemainderFraction is the largest fraction of the limit that the unstarted tasks of a started job may need for
// the job to be nearlyStarted.
const smallRemainderFraction = 0.25

// waitingJob is a job with unstarted tasks: tasks that are neither assigned nor done.
type waitingJob struct {
	*Job
	unstarted   int
	tier        quotaTier
	latestStart time.Time // of the unstarted tasks, to reach the objective
}

// waitingJobs lists the jobs that wait for quota, in the order in which they get it, and reports whether the quota does
// not suffice for all of them.
func (q *Quota) waitingJobs(now time.Time) (list []waitingJob, short bool) {
	wanted := q.charged()
	list = make([]waitingJob, 0, len(q.jobs.ordered))
	for _, j := range q.jobs.ordered {
		if j.Ended || j.Finishing || now.Before(j.backoffUntil) {
			continue
		}
		unstarted := j.Unstarted()
		if unstarted == 0 {
			continue
		}
		list = append(list, waitingJob{Job: j, unstarted: unstarted})
		if !j.faulty {
			wanted = wanted.plus(neededBy(j.Spec, unstarted))
		}
	}
	if wanted.within(q.limits.Max) {
		return list, false
	}
	for i := range list {
		q.classify(&list[i], now)
	}
	slices.SortStableFunc(list, compareForQuota)
	return list, true
}

// classify sets a job's tier and latest start time.
func (q *Quota) classify(w *waitingJob, now time.Time) {
	estimate := w.Spec.RunTime()
	if len(w.objectives) == 0 {
		w.tier = noObjective
		return
	}
	if w.Spec.Kind == protocol.Gang {
		w.tier = attainable
		w.latestStart = w.objectives[len(w.objectives)-1].Add(-estimate)
		return
	}
	objective, late := w.objectives.Next(now, estimate)
	w.latestStart = objective.Add(-estimate)
	hasStarted := w.unstarted < w.Spec.Tasks
	switch {
	case hasStarted && q.isSmallRemainder(w):
		w.tier = nearlyStarted
	case !late:
		w.tier = attainable
	case hasStarted:
		w.tier = missedStarted
	default:
		w.tier, w.latestStart = missed, w.Submitted
	}
}

// isSmallRemainder reports whether the unstarted tasks of a job need only a small fraction of the team's limit.
func (q *Quota) isSmallRemainder(w *waitingJob) bool {
	return neededBy(w.Spec, w.unstarted).within(q.limits.Max.scaled(smallRemainderFraction))
}

// A large array that can reach no objective would be served last. Its first task is served ahead of others once the
// array has waited for firstTaskDelay, so that it starts within minutes and its users see progress.
const (
	firstTaskDelay    = time.Minute
	firstTaskMinTasks = 20 // minimum size of the array, so that its first task is a small part of it
)

// startsFirstTask reports whether the job's first task is served ahead of others.
func (w *waitingJob) startsFirstTask(now time.Time) bool {
	if w.Spec.Kind != protocol.JobArray || w.faulty || w.Spec.Tasks < firstTaskMinTasks {
		return false
	}
	if w.unstarted < w.Spec.Tasks || now.Sub(w.Submitted) <= firstTaskDelay {
		return false
	}
	_, missed := w.objectives.Next(now, w.Spec.RunTime())
	return missed
}

// compareForQuota compares classified jobs by priority, tier and latest start. Equal jobs stay in order of urgency,
// since the sort is stable.
func compareForQuota(a, b waitingJob) int {
	return cmp.Or(
		cmp.Compare(protocol.Rank(b.Spec.Priority), protocol.Rank(a.Spec.Priority)),
		cmp.Compare(a.tier, b.tier),
		a.latestStart.Compare(b.latestStart),
	)
}
