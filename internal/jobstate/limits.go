package jobstate

import (
	"slices"

	"topazhollow/internal/protocol"
)

// Limits that change while the team runs.

// LimitsInForce reports whether no attempt can get onto a machine any more beyond the limits.
func (t *Team) LimitsInForce() bool {
	if !t.quota.exceeded(Resources{}) {
		return true
	}
	if len(t.quota.orphans.machines) > 0 {
		return false // whether these wait for their images is not known
	}
	for _, a := range t.assignments.byTask {
		if a.mayStillStart() {
			return false
		}
	}
	return true
}

// StopExcess stops attempts beyond the limits, least urgent jobs and last tasks first: those that have not got onto
// their machines, and only if running is true others too, with the grace for a checkpoint. A gang is stopped as a
// whole.
func (t *Team) StopExcess(running bool) {
	if !t.quota.exceeded(Resources{}) {
		return
	}
	givenUp := t.usedByStopping()
	for _, j := range slices.Backward(t.jobs.ordered) {
		for _, a := range slices.Backward(j.attemptsByIndex()) {
			if !t.quota.exceeded(givenUp) {
				return
			}
			if a.stopping || !running && !a.mayStillStart() {
				continue
			}
			if j.Spec.Kind == protocol.Gang {
				t.StopJob(j, j.Spec.CheckpointSeconds)
				givenUp = t.usedByStopping()
				break
			}
			t.Stop(a.Ref(), j.Spec.CheckpointSeconds)
			givenUp = givenUp.plus(Resources{CPUs: a.CPUs, GPUs: a.GPUs})
		}
	}
}

// usedByStopping sums up what attempts use that are to stop, also since their jobs ended.
func (t *Team) usedByStopping() (used Resources) {
	for _, a := range t.assignments.byTask {
		if a.stopping || t.Job(a.Job) == nil {
			used = used.plus(Resources{CPUs: a.CPUs, GPUs: a.GPUs})
		}
	}
	return used
}
