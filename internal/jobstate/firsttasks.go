package jobstate

import (
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// firstTaskWait is how long a job must have waited for its first task before that can go before other work.
const firstTaskWait = 30 * time.Second

// SetFirstTaskShare sets the fraction of the unfinished jobs of each class that are to begin before other work is done; 0
// if the order of jobs is not changed for it.
func (q *Quota) SetFirstTaskShare(share float64) { q.firstTaskShare = share }

// jobsToBegin returns the waiting jobs whose first tasks go before other work: of each class the oldest that have not
// begun, so many that with them the share of its jobs has begun. The tasks of a gang start together, so it is none of
// them.
func (q *Quota) jobsToBegin(waiting []waitingJob, now time.Time) map[*Job]bool {
	if q.firstTaskShare <= 0 {
		return nil
	}
	missing := map[string]float64{} // jobs, by class
	for _, j := range q.jobs.ordered {
		if j.Ended || j.Finishing || j.Spec.Kind == protocol.Gang {
			continue
		}
		missing[j.Spec.Class] += q.firstTaskShare
		if j.HasBegun() {
			missing[j.Spec.Class]--
		}
	}
	oldestFirst := slices.Clone(waiting)
	slices.SortStableFunc(oldestFirst, func(a, b waitingJob) int { return a.Submitted.Compare(b.Submitted) })
	begins := map[*Job]bool{}
	for _, w := range oldestFirst {
		canBegin := !w.HasBegun() && !w.faulty && w.Spec.Kind != protocol.Gang && now.Sub(w.Submitted) >= firstTaskWait
		if canBegin && missing[w.Spec.Class] > 0 {
			missing[w.Spec.Class]--
			begins[w.Job] = true
		}
	}
	return begins
}
