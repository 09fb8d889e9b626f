package jobstate

import (
	"testing"

	"topazhollow/internal/protocol"
)

// statusListing is a machine's status with tasks of a job, by attempt number.
func statusListing(job string, seq uint64, attempts ...uint64) *MachineStatus {
	v := &MachineStatus{Machine: "m0", Incarnation: 1, Seq: seq, FencingToken: 2, Term: 2}
	for i, attempt := range attempts {
		v.Tasks = append(v.Tasks, TaskStatus{TaskID: TaskID{job, i}, Attempt: attempt, State: protocol.Running})
	}
	return v
}

// newModelInSecondTerm is a model whose owner began without memory under term 2.
func newModelInSecondTerm(t *testing.T) *model {
	m := newModel(t, 1)
	m.term = 2
	m.failOver(true)
	m.barrier = nil
	return m
}

func checkCharged(t *testing.T, m *model, want float64, when string) {
	t.Helper()
	if cpus := m.team.quota.charged().CPUs; cpus != want {
		t.Errorf("%s: %g CPUs count against the limit, want %g", when, cpus, want)
	}
}

// TestUnknownTasksChargeWholeMachine: tasks of a job that nobody can describe count as all that their machine has,
// then by their size once that is found, and no longer once the machine's newer heartbeat lists them no more.
func TestUnknownTasksChargeWholeMachine(t *testing.T) {
	m := newModelInSecondTerm(t)
	m.specs["job-7"] = &protocol.Submission{UID: "job-7", Team: "team", Tasks: 2, CPUs: 1}
	view := statusListing("job-7", 5, AttemptID(1, 1), AttemptID(1, 2))
	m.knowledge["job-7"] = unknownJob
	if orders := m.team.Observe(view, m.now, m); len(orders) != 0 {
		t.Errorf("tasks that may be another team's get %v", orders)
	}
	checkCharged(t, m, modelMachineCPUs, "unknown")
	m.knowledge["job-7"] = endOnly
	if orders := m.team.Observe(view, m.now, m); len(orders) != 2 || orders[0].Op != protocol.Stop {
		t.Errorf("tasks of a job that is over get %v", orders)
	}
	checkCharged(t, m, modelMachineCPUs, "of unknown size")
	m.knowledge["job-7"] = endAndSize
	m.team.Observe(view, m.now, m)
	checkCharged(t, m, 2, "of known size")
	if len(m.team.Replica().Assignments) != 2 {
		t.Errorf("backups know %d of the tasks", len(m.team.Replica().Assignments))
	}
	m.team.Observe(statusListing("job-7", 6), m.now, m)
	checkCharged(t, m, 0, "listed no more")
}

// TestOlderReportReleasesNothing: an older heartbeat, at a home that knows no newer one, proves nothing about
// tasks that a newer one listed.
func TestOlderHeartbeatReleasesNothing(t *testing.T) {
	m := newModelInSecondTerm(t)
	m.specs["job-7"] = &protocol.Submission{UID: "job-7", Team: "team", Tasks: 1, CPUs: 1}
	m.knowledge["job-7"] = unknownJob
	m.team.Observe(statusListing("job-7", 5, AttemptID(1, 1)), m.now, m)
	m.team.Observe(statusListing("job-7", 4), m.now, m)
	checkCharged(t, m, modelMachineCPUs, "after an older report")
	m.team.MachineReturned("m0")
	checkCharged(t, m, 0, "after the machine's end")
}

// TestOtherTeamsTasksDontCount: neither tasks of another team's job count, nor unknown ones of attempts that were made
// since this account began, which made all later attempts of its team itself.
func TestOtherTeamsTasksDontCount(t *testing.T) {
	m := newModelInSecondTerm(t)
	m.team.Observe(statusListing("foreign", 5, AttemptID(1, 1)), m.now, m)
	checkCharged(t, m, 0, "another team's")
	m.team.Observe(statusListing("job-8", 6, AttemptID(2, 1)), m.now, m)
	checkCharged(t, m, 0, "made since this account began")
}

// TestSecondAttemptCountsBesidesTheAssignedOne: a task that a machine lists while another attempt of it is held counts too,
// and is stopped.
func TestSecondAttemptCountsBesidesTheAssignedOne(t *testing.T) {
	m := newModelInSecondTerm(t)
	j := m.team.Job("job-0")
	if !m.team.Place(j, 0, Location{"m1", "z", 1}) {
		t.Fatal("not placed")
	}
	orders := m.team.Observe(statusListing("job-0", 5, AttemptID(1, 9)), m.now, m)
	if len(orders) != 1 || orders[0].Op != protocol.Stop {
		t.Errorf("the second attempt gets %v", orders)
	}
	checkCharged(t, m, 2*j.Spec.CPUs, "two attempts of a task")
}
