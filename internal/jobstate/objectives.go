package jobstate

import "time"

// Objectives are the times at which a job should be complete, by its deadline and the service-level objectives for its
// class, earliest first.
type Objectives []time.Time

// Next returns the first objective that a job can still reach if all its remaining tasks started now and took half the
// estimated time, since estimates are often wrong by half. If there is none, missed is true and the objective is the
// last one, or the zero time if there are no objectives.
func (o Objectives) Next(now time.Time, estimate time.Duration) (objective time.Time, missed bool) {
	for _, objective := range o {
		if !now.Add(estimate / 2).After(objective) {
			return objective, false
		}
	}
	if len(o) == 0 {
		return time.Time{}, true
	}
	return o[len(o)-1], true
}
