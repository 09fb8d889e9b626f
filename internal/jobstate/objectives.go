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

// Deadline is the time by which a job should be complete according to a user: the user who submitted it, or the one of
// a job that needs it.
type Deadline struct {
	SubmittedAt time.Time     // of the job whose user set the deadline
	Allowed     time.Duration // from then on
	Class       string        // of that job
	Reserve     time.Duration // for the jobs that have to run afterwards
}

// At returns the deadline after a multiple of the allowed time.
func (d *Deadline) At(factor float64) time.Time {
	return d.SubmittedAt.Add(time.Duration(factor*float64(d.Allowed)) - d.Reserve)
}
