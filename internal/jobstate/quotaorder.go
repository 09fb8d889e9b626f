package jobstate

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// Which of a team's jobs get its quota first while it does not suffice for all that wait.
//
// By deadline alone nearly all jobs of a team that asks for more than its limit would be late: each job that can't be
// in time any more would go before those that can, and a job of long tasks, which is due late, would not start for
// minutes. So jobs of which little is left to start are completed, then those go first that must start soonest to
// reach an objective, and what can reach none comes after them. A started job of which much is left has no such right:
// it would keep a small limit from all others for minutes. Gangs start whole and wait long for it; they keep their
// order, whatever they have missed.

// quotaTier is the part of a priority's order that a job is in.
type quotaTier int

const (
	nearlyStarted quotaTier = iota // some of its tasks run or are done, and little is left to start
	attainable                     // it can still reach an objective
	missedStarted                  // it can reach none, and some of its tasks run or are done
	missed                         // it can reach none
	noObjective                    // it has none
)

// smallRemainderFraction is the part of the limit that what is left of a started job may take for the job to be completed
// first.
const smallRemainderFraction = 0.25

// waitingJob is a job with tasks that are neither assigned nor done, or one that is taken to be faulty.
type waitingJob struct {
	*Job
	unstarted   int // such tasks
	tier        quotaTier
	latestStart time.Time // of them, to reach the objective that counts
}

// waitingJobs lists the jobs that wait for quota, in the order in which they get it, and reports whether there is too
// little for all of them.
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

// classify sets a job's tier, and when it must start.
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

// isSmallRemainder reports whether what is left of a job takes a small part of the team's limit.
func (q *Quota) isSmallRemainder(w *waitingJob) bool {
	return neededBy(w.Spec, w.unstarted).within(q.limits.Max.scaled(smallRemainderFraction))
}

// A large array that can reach no objective, so that it would be served last of all, starts with one task after
// firstTaskDelay: its users see that it is not forgotten, and it has started within minutes.
const (
	firstTaskDelay    = time.Minute
	firstTaskMinTasks = 20 // of the array, so that what goes first is a small part of it
)

// startsFirstTask reports whether the job's first task should go before others.
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

// compareForQuota orders classified jobs. Those that compare equal stay in order of urgency.
func compareForQuota(a, b waitingJob) int {
	return cmp.Or(
		cmp.Compare(protocol.Rank(b.Spec.Priority), protocol.Rank(a.Spec.Priority)),
		cmp.Compare(a.tier, b.tier),
		a.latestStart.Compare(b.latestStart),
	)
}
