package jobstate

import "time"

// Objectives are the times at which a job should be complete, by its deadline and the objectives for its class, in order.
type Objectives []time.Time

// Next is the first goal that a job can still reach if all that is left of it started now and took half as long as
// estimated; estimates are often wrong by half. If there is none, missed is true and the last goal is given, or the zero
// time if there are no goals.
func (g Objectives) Next(now time.Time, estimate time.Duration) (goal time.Time, missed bool) {
	for _, goal := range g {
		if !now.Add(estimate / 2).After(goal) {
			return goal, false
		}
	}
	if len(g) == 0 {
		return time.Time{}, true
	}
	return g[len(g)-1], true
}

// SetObjectives books when an active job should be complete. Until then it counts as a job without goals.
func (t *Team) SetObjectives(uid string, goals Objectives) {
	if j := t.jobs[uid]; j != nil {
		j.objectives = goals
	}
}
