package jobstate

import (
	"topazhollow/internal/protocol"
)

// MissingGangTasks is what a gang needs now: the missing tasks, all of them for a new attempt (id 0), or those to
// complete an attempt that has not started. Nothing is missing while an attempt runs or ends.
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
	}
	return missing, id
}

// PlaceGang assigns a gang's missing tasks to machines, all or none; id is that of the attempt that they complete, 0
// for a new one.
func (t *Team) PlaceGang(j *Job, id uint64, at map[int]Location) bool {
	if !t.quota.Fits(j, len(at)) || t.lastAttempt >= maxAttemptsOfTerm {
		return false
	}
	if id == 0 {
		t.lastAttempt++
		id = AttemptID(t.term, t.lastAttempt)
	}
	t.placeTasks(j, id, at)
	t.quota.gangs.placed()
	return true
}

// stopIncompleteGangs stops what is left of gangs that lost a task for good: one that had started, whose tasks gave up
// waiting for each other, or that was placed in an earlier term and is not whole. The next attempt starts when all its
// tasks are proven off.
func (t *Team) stopIncompleteGangs() {
	for _, j := range t.jobs.byUID {
		if j.Spec.Kind != protocol.Gang || len(j.attempts) == 0 {
			continue
		}
		if j.mustRestart || j.isIncompleteSince(t.term) {
			t.StopJob(j, j.Spec.CheckpointSeconds)
		}
	}
}

// isIncompleteSince reports whether the gang was placed in a term before this one and is not whole.
func (j *Job) isIncompleteSince(term uint64) bool {
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

// StopJob stops every attempt of a job at once, with the grace for a checkpoint, in seconds.
func (t *Team) StopJob(j *Job, graceSeconds float64) {
	for _, a := range j.attemptsByIndex() {
		t.Stop(a.Ref(), graceSeconds)
	}
	if j.Spec.Kind == protocol.Gang {
		j.mustRestart = true
	}
}

// attemptLost records that a gang lost a task. Before it started, a replacement with the same attempt may complete it.
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
