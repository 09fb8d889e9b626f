package jobstate

import (
	"math"
	"time"

	"topazhollow/internal/protocol"
)

// The demands of a team that needs far more than its limit cover only its most urgent tasks. While machines are full,
// most of these tasks are not placed, and so use none of the limit. Smaller, less urgent tasks could use the little
// capacity that is free on machines, but no demand covers them. Surplus demands are for these tasks.

// surplusFraction is the fraction of the limit up to which surplus tasks may raise the use. The rest stays available to
// the regular demands.
const surplusFraction = 0.75

// SurplusDemands lists what the team could place in addition to its demands while there is no capacity for those: for
// each class the tasks that fit between the present use and surplusFraction of the limit. Each class is counted as if
// it were the only one; FitsSurplus checks each task when it is placed. There are none while a gang waits, since free
// quota is reserved for it.
func (q *Quota) SurplusDemands(now time.Time) []Demand {
	available := q.limits.Max.scaled(surplusFraction).minus(q.charged())
	if available.CPUs <= 0 || q.gangs.waiting() {
		return nil
	}
	waiting, short := q.waitingJobs(now)
	if !short {
		return nil
	}
	offered := map[string]Resources{} // by class
	var surplus []Demand
	for _, w := range waiting {
		if w.faulty || w.Spec.Kind == protocol.Gang {
			continue
		}
		class := w.Spec.Class
		count := min(w.unstarted, available.minus(offered[class]).tasks(w.Spec))
		if count > 0 {
			offered[class] = offered[class].plus(neededBy(w.Spec, count))
			surplus = append(surplus, Demand{Spec: w.Spec, Count: count, Borrowed: true})
		}
	}
	return surplus
}

// FitsSurplus reports whether one more task of a job fits as surplus.
func (q *Quota) FitsSurplus(j *Job) bool {
	limit := q.limits.Max.scaled(surplusFraction)
	if j.Spec.GPUs == 0 {
		limit.GPUs = math.Inf(1) // a task without GPUs is not limited by the GPUs in use
	}
	return q.charged().plus(neededBy(j.Spec, 1)).within(limit)
}
