package jobstate

import (
	"math"
	"time"

	"topazhollow/internal/protocol"
)

// A team that asks for far more than its limit lists what the limit leaves, most urgent first. While machines are full
// most of that finds no capacity, and takes none of the limit; yet smaller tasks behind it, which would fit into what
// is free on machines, were not listed at all. They are offered as surplus demands.

// surplusFraction is the part of the limit that surplus tasks leave nothing beyond, so that the rest stays with what is
// listed.
const surplusFraction = 0.75

// SurplusDemands lists what the team could place beside its demands where those find no capacity: of each class what
// the limit, as it is used now, has room for. The classes' counts are independent of each other; FitsSurplus tells what
// is left while they are placed. While a gang waits there are none, since what comes free is collected for it.
func (q *Quota) SurplusDemands(now time.Time) []Demand {
	room := q.limits.Max.scaled(surplusFraction).minus(q.charged())
	if room.CPUs <= 0 || q.gangs.waiting() {
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
		count := min(w.unstarted, room.minus(offered[class]).tasks(w.Spec))
		if count > 0 {
			offered[class] = offered[class].plus(neededBy(w.Spec, count))
			surplus = append(surplus, Demand{Spec: w.Spec, Count: count, Borrowed: true})
		}
	}
	return surplus
}

// FitsSurplus reports whether a task of a job may start as surplus.
func (q *Quota) FitsSurplus(j *Job) bool {
	limit := q.limits.Max.scaled(surplusFraction)
	if j.Spec.GPUs == 0 {
		limit.GPUs = math.Inf(1) // what others have of them does not matter
	}
	return q.charged().plus(neededBy(j.Spec, 1)).within(limit)
}
