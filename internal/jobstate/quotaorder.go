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
type standing int

const (
	begun       standing = iota // some of its tasks run or are done, and little is left to start
	reaching                    // it can still reach a goal
	missedBegun                 // it can reach none, and some of its tasks run or are done
	missed                      // it can reach none
	aimless                     // it has none
)

// completedPart is the part of the limit that what is left of a begun job may take for the job to be completed first.
const completedPart = 0.25

// waitingJob is a job with tasks that neither run nor are done, or one that is held to be faulty.
type waitingJob struct {
	*Job
	left     int // such tasks
	standing standing
	latest   time.Time // when they must start to reach the goal that counts
}

// waitingJobs lists the jobs that wait for quota, in the order in which they get it, and says whether there is too little for
// all of them.
func (t *Team) waitingJobs(now time.Time) (list []waitingJob, short bool) {
	cpus, gpus := t.charged()
	list = make([]waitingJob, 0, len(t.order))
	for _, j := range t.order {
		if j.Over || j.Finishing || now.Before(j.notUntil) {
			continue
		}
		left := t.Unstarted(j)
		if left == 0 {
			continue
		}
		list = append(list, waitingJob{Job: j, left: left})
		if !j.faulty {
			cpus += float64(left) * j.Spec.CPUs
			gpus += float64(left) * j.Spec.GPUs
		}
	}
	if cpus <= t.MaxCPUs+slack && gpus <= t.MaxGPUs+slack {
		return list, false
	}
	for i := range list {
		t.rank(&list[i], now)
	}
	slices.SortStableFunc(list, compareForQuota)
	return list, true
}

// rank sets where a job stands.
func (t *Team) rank(w *waitingJob, now time.Time) {
	estimate := w.Spec.RunTime()
	if len(w.goals) == 0 {
		w.standing = aimless
		return
	}
	if w.Spec.Kind == protocol.Gang {
		w.standing, w.latest = reaching, w.goals[len(w.goals)-1].Add(-estimate)
		return
	}
	goal, late := w.goals.Next(now, estimate)
	w.latest = goal.Add(-estimate)
	hasBegun := w.left < w.Spec.Tasks
	switch {
	case hasBegun && t.isSmallPart(w):
		w.standing = begun
	case !late:
		w.standing = reaching
	case hasBegun:
		w.standing = missedBegun
	default:
		w.standing, w.latest = missed, w.Submitted
	}
}

// isSmallPart says whether what is left of a job takes a small part of the team's limit.
func (t *Team) isSmallPart(w *waitingJob) bool {
	left := float64(w.left)
	return left*w.Spec.CPUs <= completedPart*t.MaxCPUs+slack && left*w.Spec.GPUs <= completedPart*t.MaxGPUs+slack
}

// A large array that can reach no goal, so that it would be served last of all, begins with one task after beginAfter: its
// users see that it is not forgotten, and it has begun within minutes.
const (
	beginAfter = time.Minute
	beginTasks = 20 // of the array at least, so that what goes first is a small part of it
)

// begins says whether the job's first task should go before others.
func (w *waitingJob) begins(now time.Time) bool {
	if w.Spec.Kind != protocol.JobArray || w.faulty || w.Spec.Tasks < beginTasks || w.left < w.Spec.Tasks || now.Sub(w.Submitted) <= beginAfter {
		return false
	}
	_, missed := w.goals.Next(now, w.Spec.RunTime())
	return missed
}

// compareForQuota orders ranked jobs. Those that compare equal stay in order of urgency.
func compareForQuota(a, b waitingJob) int {
	return cmp.Or(cmp.Compare(protocol.Rank(b.Spec.Priority), protocol.Rank(a.Spec.Priority)), cmp.Compare(a.standing, b.standing), a.latest.Compare(b.latest))
}
