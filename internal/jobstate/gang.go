package jobstate

import (
	"topazhollow/internal/protocol"
)

// MissingGangTasks says what a gang needs now: the missing tasks, all of them for a new
// attempt (id 0), or those to complete one that has not started. Nothing is
// missing while an attempt runs or ends.
func (t *Team) MissingGangTasks(j *Job) (missing []int, id uint64) {
	if j.Ended || j.Finishing || t.Complete(j) {
		return nil, 0
	}
	for i := range j.Spec.Tasks {
		if a := j.attempts[i]; a == nil {
			missing = append(missing, i)
		} else if id = a.Attempt; j.mustRestart || TermOf(id) != t.term {
			return nil, 0
		}
	}
	if id == 0 {
		j.mustRestart = false
	}
	return missing, id
}

// PlaceGang makes the attempts of a gang's missing tasks, all or none.
func (t *Team) PlaceGang(j *Job, id uint64, spots map[int]Location) bool {
	if !t.Fits(j, len(spots)) || t.lastAttempt >= 1<<termShift-1 {
		return false
	}
	if id == 0 {
		t.lastAttempt++
		id = AttemptID(t.term, t.lastAttempt)
	}
	t.placeTasks(j, id, spots)
	t.gangReservation.placed()
	return true
}

// breakGangs stops what is left of gangs that lost a task for good: one that had
// started, ran out of patience or was begun in an earlier term and is not whole.
// The next attempt begins when all its tasks are proven off.
func (t *Team) stopIncompleteGangs() {
	for _, j := range t.jobs {
		if j.Spec.Kind != protocol.Gang || len(j.attempts) == 0 {
			continue
		}
		if old := t.isPartOfEarlierTerm(j); j.mustRestart || old {
			t.StopJob(j, j.Spec.CheckpointSeconds)
		}
	}
}

func (t *Team) isPartOfEarlierTerm(j *Job) bool {
	old := false
	for _, a := range t.attemptsOf(j) {
		old = old || TermOf(a.Attempt) != t.term
	}
	return old && len(j.attempts) < j.Spec.Tasks
}

// StopJob stops every attempt of a job at once, with the grace to save.
func (t *Team) StopJob(j *Job, grace float64) {
	for _, a := range t.attemptsOf(j) {
		t.Stop(a.Ref(), grace)
	}
	if j.Spec.Kind == protocol.Gang {
		j.mustRestart = true
	}
}

// lost books that a gang lost a task. Before it started, a replacement with the
// same attempt may complete it.
func (j *Job) attemptLost(a *attempt, why protocol.ExitReason) {
	if j.Spec.Kind != protocol.Gang {
		return
	}
	switch {
	case j.running > 0 || a.state == protocol.Running || a.state == protocol.Saving:
		j.mustRestart = true
	case why == protocol.ReasonIncomplete || why == protocol.ReasonPeers || why == protocol.ReasonStopped:
		j.mustRestart = true
	}
}

// TasksByZone counts a job's tasks that may be on machines, by zone.
func (t *Team) TasksByZone(j *Job) map[string]int {
	zones := map[string]int{}
	for _, a := range t.attemptsOf(j) {
		zones[a.Zone]++
	}
	return zones
}
