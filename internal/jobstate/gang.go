package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// MissingGangTasks returns the tasks of a gang that are to be placed now: all of them for a new attempt (id 0), or
// those that complete the attempt id, which has not started. It returns none while an attempt runs, has to end first,
// or was placed in an earlier term.
func (t *Team) MissingGangTasks(j *Job) (missing []int, id uint64) {
	if j.Ended || j.Finishing || j.Complete() {
		return nil, 0
	}
	for i := range j.Spec.Tasks {
		a := j.attempts[i]
		if a == nil {
			missing = append(missing, i)
			continue
		}
		id = a.Attempt
		if j.mustRestart || TermOf(id) != t.term {
			return nil, 0
		}
	}
	if id == 0 {
		j.mustRestart = false
		j.images.since = time.Time{}
	}
	return missing, id
}

// PlaceGang assigns a gang's missing tasks to machines, all or none; id is the attempt that they complete, 0 for a new
// one. It returns false if the quota does not suffice.
func (t *Team) PlaceGang(j *Job, id uint64, at map[int]Location) bool {
	if !t.quota.Fits(j, len(at)) || t.lastAttempt >= maxAttemptsOfTerm {
		return false
	}
	if id == 0 {
		t.lastAttempt++
		id = AttemptID(t.term, t.lastAttempt)
	}
	t.placeTasks(j, id, at)
	j.images.end()
	t.quota.gangs.placed()
	return true
}

// stopIncompleteGangs stops the remaining tasks of gangs that must restart, and of gangs that were placed in an earlier
// term and are incomplete, unless they are to finish fetching the image first. The next attempt starts once all tasks of the
// gang are proven to be off their machines.
func (t *Team) stopIncompleteGangs(now time.Time) {
	for _, j := range t.jobs.byUID {
		if j.Spec.Kind != protocol.Gang || len(j.attempts) == 0 {
			continue
		}
		if j.fetchesOverdue(now) {
			t.log("gang's image was not fetched in time", "task", j.Spec.UID, "waited", now.Sub(j.images.since))
			j.giveUpFetches(now)
		}
		if !j.awaitsImages(now) && (j.mustRestart || j.isIncompleteFromOtherTerm(t.term)) {
			t.StopJob(j, j.Spec.CheckpointSeconds)
		}
	}
}

// isIncompleteFromOtherTerm reports whether some task of the gang has no attempt and another has one of a term other
// than the given one.
func (j *Job) isIncompleteFromOtherTerm(term uint64) bool {
	if len(j.attempts) >= j.Spec.Tasks {
		return false
	}
	for _, a := range j.attempts {
		if TermOf(a.Attempt) != term {
			return true
		}
	}
	return false
}

// StopJob marks every attempt of a job to be stopped, with a grace period for a checkpoint, in seconds.
func (t *Team) StopJob(j *Job, graceSeconds float64) {
	for _, a := range j.attemptsByIndex() {
		t.Stop(a.Ref(), graceSeconds)
	}
	if j.Spec.Kind == protocol.Gang {
		j.mustRestart = true
	}
}

// attemptLost records that a task of a gang is no longer on its machine. The gang must restart if any of its tasks had
// started, or if its tasks are being stopped or gave up waiting for each other; otherwise a replacement under the same
// attempt may complete it.
func (j *Job) attemptLost(a *attempt, reason protocol.ExitReason) {
	if j.Spec.Kind != protocol.Gang {
		return
	}
	switch {
	case j.running > 0 || a.state == protocol.Running || a.state == protocol.Saving:
		j.mustRestart = true
	case reason == protocol.ReasonIncomplete || reason == protocol.ReasonPeers || reason == protocol.ReasonStopped:
		j.mustRestart = true
	}
}
