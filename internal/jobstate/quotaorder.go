package jobstate

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// Which of a team's jobs get its quota first while it does not suffice for all that wait.
//
// By due time alone nearly all jobs of a team that asks for more than its limit would be late: each job that can't be in
// time any more would go before those that can, and a job of long tasks, which is due late, would not begin for minutes.
// So jobs of which little is left to start are completed, then those go first that must start soonest to reach a goal, and what
// can reach none comes after them. A begun job of which much is left has no such right: it would keep a small limit from all others
// for minutes. Gangs start whole and wait long for it; they keep their order, whatever they have missed.

// standing is the part of a priority's order that a job is in.
type quotaTier int

const (
	nearlyStarted quotaTier = iota // some of its tasks run or are done, and little is left to start
	attainable                     // it can still reach a goal
	missedStarted                  // it can reach none, and some of its tasks run or are done
	missed                         // it can reach none
	noObjective                    // it has none
)

// completedPart is the part of the limit that what is left of a begun job may take for the job to be completed first.
const smallRemainderPart = 0.25

// waitingJob is a job with tasks that neither run nor are done, or one that is held to be faulty.
type waitingJob struct {
	*Job
	unstarted   int // such tasks
	tier        quotaTier
	latestStart time.Time // when they must start to reach the goal that counts
}

// waitingJobs lists the jobs that wait for quota, in the order in which they get it, and says whether there is too little for
// all of them.
func (t *Team) waitingJobs(now time.Time) (list []waitingJob, short bool) {
	cpus, gpus := t.charged()
	list = make([]waitingJob, 0, len(t.queue))
	for _, j := range t.queue {
		if j.Ended || j.Finishing || now.Before(j.backoffUntil) {
			continue
		}
		left := t.Unstarted(j)
		if left == 0 {
			continue
		}
		list = append(list, waitingJob{Job: j, unstarted: left})
		if !j.faulty {
			cpus += float64(left) * j.Spec.CPUs
			gpus += float64(left) * j.Spec.GPUs
		}
	}
	if cpus <= t.MaxCPUs+roundingTolerance && gpus <= t.MaxGPUs+roundingTolerance {
		return list, false
	}
	for i := range list {
		t.classify(&list[i], now)
	}
	slices.SortStableFunc(list, compareForQuota)
	return list, true
}

// rank sets where a job stands.
func (t *Team) classify(w *waitingJob, now time.Time) {
	estimate := w.Spec.RunTime()
	if len(w.objectives) == 0 {
		w.tier = noObjective
		return
	}
	if w.Spec.Kind == protocol.Gang {
		w.tier, w.latestStart = attainable, w.objectives[len(w.objectives)-1].Add(-estimate)
		return
	}
	goal, late := w.objectives.Next(now, estimate)
	w.latestStart = goal.Add(-estimate)
	hasBegun := w.unstarted < w.Spec.Tasks
	switch {
	case hasBegun && t.isSmallRemainder(w):
		w.tier = nearlyStarted
	case !late:
		w.tier = attainable
	case hasBegun:
		w.tier = missedStarted
	default:
		w.tier, w.latestStart = missed, w.Submitted
	}
}

// isSmallPart says whether what is left of a job takes a small part of the team's limit.
func (t *Team) isSmallRemainder(w *waitingJob) bool {
	left := float64(w.unstarted)
	return left*w.Spec.CPUs <= smallRemainderPart*t.MaxCPUs+roundingTolerance && left*w.Spec.GPUs <= smallRemainderPart*t.MaxGPUs+roundingTolerance
}

// A large array that can reach no goal, so that it would be served last of all, begins with one task after beginAfter: its
// users see that it is not forgotten, and it has begun within minutes.
const (
	firstTaskDelay    = time.Minute
	firstTaskMinTasks = 20 // of the array at least, so that what goes first is a small part of it
)

// begins says whether the job's first task should go before others.
func (w *waitingJob) startsFirstTask(now time.Time) bool {
	if w.Spec.Kind != protocol.JobArray || w.faulty || w.Spec.Tasks < firstTaskMinTasks || w.unstarted < w.Spec.Tasks || now.Sub(w.Submitted) <= firstTaskDelay {
		return false
	}
	_, missed := w.objectives.Next(now, w.Spec.RunTime())
	return missed
}

// compareForQuota orders ranked jobs. Those that compare equal stay in order of urgency.
func compareForQuota(a, b waitingJob) int {
	return cmp.Or(cmp.Compare(protocol.Rank(b.Spec.Priority), protocol.Rank(a.Spec.Priority)), cmp.Compare(a.tier, b.tier), a.latestStart.Compare(b.latestStart))
}
