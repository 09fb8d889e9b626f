package jobstate

import (
	"slices"

	"topazhollow/internal/protocol"
)

// Enforcement of limits that are lowered while attempts are assigned.

// LimitsInForce reports whether no further attempt can start beyond the limits. Attempts that already run may exceed
// them.
func (t *Team) LimitsInForce() bool {
	if !t.quota.exceeded(Resources{}) {
		return true
	}
	if len(t.quota.orphans.machines) > 0 {
		return false // it is unknown whether orphaned tasks are still pulling their images
	}
	for _, a := range t.assignments.byTask {
		if a.mayStillStart() {
			return false
		}
	}
	return true
}

// StopExcess marks attempts beyond the limits to be stopped, starting with the least urgent job and the highest task
// index: those that have not started on their machines, and if running is true also the others. They get the grace
// period for a checkpoint. A gang is stopped as a whole.
func (t *Team) StopExcess(running bool) {
	if !t.quota.exceeded(Resources{}) {
		return
	}
	released := t.usedByStopping()
	for _, j := range slices.Backward(t.jobs.ordered) {
		for _, a := range slices.Backward(j.attemptsByIndex()) {
			if !t.quota.exceeded(released) {
				return
			}
			if a.stopping || !running && !a.mayStillStart() {
				continue
			}
			if j.Spec.Kind == protocol.Gang {
				t.StopJob(j, j.Spec.CheckpointSeconds)
				released = t.usedByStopping()
				break
			}
			t.Stop(a.Ref(), j.Spec.CheckpointSeconds)
			released = released.plus(Resources{CPUs: a.CPUs, GPUs: a.GPUs})
		}
	}
}

// usedByStopping returns the total use of the attempts that are marked to be stopped or whose job has ended.
func (t *Team) usedByStopping() (used Resources) {
	for _, a := range t.assignments.byTask {
		if a.stopping || t.Job(a.Job) == nil {
			used = used.plus(Resources{CPUs: a.CPUs, GPUs: a.GPUs})
		}
	}
	return used
}
