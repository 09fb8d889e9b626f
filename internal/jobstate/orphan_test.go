package jobstate

import (
	"testing"

	"topazhollow/internal/protocol"
)

// statusListing returns a status of machine m0 that lists running tasks of a job with these attempt numbers.
func statusListing(job string, seq uint64, attempts ...uint64) *MachineStatus {
	v := &MachineStatus{Machine: "m0", Incarnation: 1, Seq: seq, FencingToken: 2, Term: 2}
	for i, attempt := range attempts {
		v.Tasks = append(v.Tasks, TaskStatus{TaskID: TaskID{job, i}, Attempt: attempt, State: protocol.Running})
	}
	return v
}

// newModelInSecondTerm returns a model whose owner started without a replica in term 2.
func newModelInSecondTerm(t *testing.T) *model {
	m := newModel(t, 1)
	m.term = 2
	m.failOver(true)
	m.barrier = nil
	return m
}

// checkCharged compares the CPUs that count against the limit.
func checkCharged(t *testing.T, m *model, want float64, when string) {
	t.Helper()
	if cpus := m.team.quota.charged().CPUs; cpus != want {
		t.Errorf("%s: %g CPUs count against the limit, want %g", when, cpus, want)
	}
}

// TestUnknownTasksChargeWholeMachine checks that tasks of an unknown job are charged as all resources of their machine,
// then by their size once that is known, and no longer once a newer heartbeat of the machine does not list them.
func TestUnknownTasksChargeWholeMachine(t *testing.T) {
	m := newModelInSecondTerm(t)
	m.specs["job-7"] = &protocol.Submission{UID: "job-7", Team: "team", Tasks: 2, CPUs: 1}
	status := statusListing("job-7", 5, AttemptID(1, 1), AttemptID(1, 2))
	m.knowledge["job-7"] = unknownJob
	if orders := m.team.Observe(status, m.now, m); len(orders) != 0 {
		t.Errorf("orders for tasks that may be another team's: %v", orders)
	}
	checkCharged(t, m, modelMachineCPUs, "unknown")
	m.knowledge["job-7"] = endOnly
	if orders := m.team.Observe(status, m.now, m); len(orders) != 2 || orders[0].Op != protocol.Stop {
		t.Errorf("orders for tasks of an ended job: %v", orders)
	}
	checkCharged(t, m, modelMachineCPUs, "of unknown size")
	m.knowledge["job-7"] = endAndSize
	m.team.Observe(status, m.now, m)
	checkCharged(t, m, 2, "of known size")
	if len(m.team.Replica().Assignments) != 2 {
		t.Errorf("the replica has %d of the tasks, want 2", len(m.team.Replica().Assignments))
	}
	m.team.Observe(statusListing("job-7", 6), m.now, m)
	checkCharged(t, m, 0, "no longer listed")
}

// TestOlderHeartbeatReleasesNothing checks that an older heartbeat does not release tasks that a newer one listed. It
// can arrive at a new home that has not received the newer one.
func TestOlderHeartbeatReleasesNothing(t *testing.T) {
	m := newModelInSecondTerm(t)
	m.specs["job-7"] = &protocol.Submission{UID: "job-7", Team: "team", Tasks: 1, CPUs: 1}
	m.knowledge["job-7"] = unknownJob
	m.team.Observe(statusListing("job-7", 5, AttemptID(1, 1)), m.now, m)
	m.team.Observe(statusListing("job-7", 4), m.now, m)
	checkCharged(t, m, modelMachineCPUs, "after an older heartbeat")
	m.team.MachineReturned("m0")
	checkCharged(t, m, 0, "after the machine was returned")
}

// TestOtherTeamsTasksDontCount checks that tasks of another team's job are not charged, nor unknown tasks whose
// attempts are of the Team's first term or later: it would know these if they were its own.
func TestOtherTeamsTasksDontCount(t *testing.T) {
	m := newModelInSecondTerm(t)
	m.team.Observe(statusListing("foreign", 5, AttemptID(1, 1)), m.now, m)
	checkCharged(t, m, 0, "another team's")
	m.team.Observe(statusListing("job-8", 6, AttemptID(2, 1)), m.now, m)
	checkCharged(t, m, 0, "created in the first term")
}

// TestSecondAttemptCountsBesidesTheAssignedOne checks that a listed task is charged and stopped if another attempt of
// it is assigned.
func TestSecondAttemptCountsBesidesTheAssignedOne(t *testing.T) {
	m := newModelInSecondTerm(t)
	j := m.team.Job("job-0")
	if !m.team.Place(j, 0, Location{"m1", "z", 1}) {
		t.Fatal("not placed")
	}
	orders := m.team.Observe(statusListing("job-0", 5, AttemptID(1, 9)), m.now, m)
	if len(orders) != 1 || orders[0].Op != protocol.Stop {
		t.Errorf("orders for the second attempt: %v", orders)
	}
	checkCharged(t, m, 2*j.Spec.CPUs, "two attempts of a task")
}
