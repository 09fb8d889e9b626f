package jobstate

import (
	"topazhollow/internal/protocol"
)

// Gang says what a gang needs now: the missing tasks, all of them for a new
// attempt (id 0), or those to complete one that has not started. Nothing is
// missing while an attempt runs or ends.
func (t *Team) Gang(j *Job) (missing []int, id uint64) {
	if j.Over || j.Finishing || t.Complete(j) {
		return nil, 0
	}
	for i := range j.Spec.Tasks {
		if a := j.holds[i]; a == nil {
			missing = append(missing, i)
		} else if id = a.Attempt; j.broken || TermOf(id) != t.term {
			return nil, 0
		}
	}
	if id == 0 {
		j.broken = false
	}
	return missing, id
}

// PlaceGang makes the attempts of a gang's missing tasks, all or none.
func (t *Team) PlaceGang(j *Job, id uint64, spots map[int]Location) bool {
	if !t.Fits(j, len(spots)) || t.counter >= 1<<termShift-1 {
		return false
	}
	if id == 0 {
		t.counter++
		id = AttemptID(t.term, t.counter)
	}
	t.start(j, id, spots)
	t.holdback.placed()
	return true
}

// breakGangs stops what is left of gangs that lost a task for good: one that had
// started, ran out of patience or was begun in an earlier term and is not whole.
// The next attempt begins when all its tasks are proven off.
func (t *Team) breakGangs() {
	for _, j := range t.jobs {
		if j.Spec.Kind != protocol.Gang || len(j.holds) == 0 {
			continue
		}
		if old := t.incomplete(j); j.broken || old {
			t.StopJob(j, j.Spec.CheckpointSeconds)
		}
	}
}

func (t *Team) incomplete(j *Job) bool {
	old := false
	for _, a := range t.heldOf(j) {
		old = old || TermOf(a.Attempt) != t.term
	}
	return old && len(j.holds) < j.Spec.Tasks
}

// StopJob stops every attempt of a job at once, with the grace to save.
func (t *Team) StopJob(j *Job, grace float64) {
	for _, a := range t.heldOf(j) {
		t.Stop(a.Ref(), grace)
	}
	if j.Spec.Kind == protocol.Gang {
		j.broken = true
	}
}

// lost books that a gang lost a task. Before it started, a replacement with the
// same attempt may complete it.
func (j *Job) lost(a *attempt, why protocol.ExitReason) {
	if j.Spec.Kind != protocol.Gang {
		return
	}
	switch {
	case j.running > 0 || a.state == protocol.Running || a.state == protocol.Saving:
		j.broken = true
	case why == protocol.ReasonIncomplete || why == protocol.ReasonPeers || why == protocol.ReasonStopped:
		j.broken = true
	}
}

// Zones counts a job's tasks that may be on machines, by zone.
func (t *Team) Zones(j *Job) map[string]int {
	zones := map[string]int{}
	for _, a := range t.heldOf(j) {
		zones[a.Zone]++
	}
	return zones
}
