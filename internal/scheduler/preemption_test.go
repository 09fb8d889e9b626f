package scheduler

import (
	"testing"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// TestGuaranteedWorkPreemptsLowPriority: a team without a guarantee fills the machines with work of low priority. Tasks
// of another team within its guarantee preempt that work instead of waiting for it to end. Borrowed work preempts
// nothing.
func TestGuaranteedWorkPreemptsLowPriority(t *testing.T) {
	for _, borrowed := range []bool{false, true} {
		c := newCluster(t, 8, 2)
		quota := c.teams[1].Quota()
		limits := quota.Limits()
		limits.Guaranteed.CPUs = 0
		quota.SetLimits(limits)
		submit := func(team int, uid, priority string, tasks int, cpus, estimate float64) {
			c.submit(team, 0, protocol.Submission{UID: uid, Kind: protocol.JobArray, Priority: priority, Tasks: tasks, CPUs: cpus,
				MemoryGB: 1, EstimateSeconds: estimate, Spot: true})
		}
		submit(1, "job-000001", "low", 64, 4, 600)
		if victims := c.run(12); len(victims) > 0 {
			t.Fatalf("%d tasks evicted while nothing waits", len(victims))
		}
		if held, _ := c.teams[1].Assignments().Count(); held != 64 {
			t.Fatalf("%d of 64 low-priority tasks run", held)
		}
		team := 0
		if borrowed {
			team = 1
		}
		// A large task does not fit into the capacity that many small tasks free one by one.
		submit(team, "job-000002", "standard", 4, 16, 40)
		if victims := c.run(1); (len(victims) > 0) == borrowed {
			t.Errorf("borrowed %v: %d tasks evicted", borrowed, len(victims))
		}
	}
}

// TestGangPreemptsLessUrgentWork guards against gangs of high priority waiting until arrays of their own team end. A
// gang beyond its team's guarantee evicts as many tasks of that team as it needs and none of other teams. A gang of low
// priority evicts nothing, nor does one that can no longer meet any objective.
func TestGangPreemptsLessUrgentWork(t *testing.T) {
	for _, x := range []struct {
		priority string
		deadline float64
		stops    int
	}{{"high", 1000, 40}, {"low", 1000, 0}, {"high", 100, 0}} {
		c := newCluster(t, 8, 2) // two machines are on-demand, with 32 CPUs each and in one zone
		quota := c.teams[0].Quota()
		limits := quota.Limits()
		limits.Guaranteed.CPUs = 0
		limits.Max.CPUs = 44
		quota.SetLimits(limits)
		submit := func(team int, uid, priority string, kind protocol.JobKind, tasks int, cpus float64) {
			c.submit(team, 0, protocol.Submission{UID: uid, Kind: kind, Priority: priority, Tasks: tasks, CPUs: cpus, MemoryGB: 1,
				Image: "img", EstimateSeconds: 600, OneZone: kind == protocol.Gang, DeadlineSeconds: &x.deadline})
		}
		submit(1, "job-000001", "standard", protocol.JobArray, 16, 1)
		submit(0, "job-000002", "standard", protocol.JobArray, 60, 1)
		if victims := c.run(3); len(victims) > 0 {
			t.Fatalf("%+v: %d tasks evicted before the gang was submitted", x, len(victims))
		}
		submit(0, "job-000003", x.priority, protocol.Gang, 5, 8)
		victims := c.run(6)
		for ref, job := range victims {
			if ref.Job != "job-000002" || job != "job-000003" {
				t.Errorf("%+v: %v was evicted for %s", x, ref, job)
			}
		}
		// The team's limit is 44 of the 64 CPUs and the array uses all of them. The gang needs 40.
		if len(victims) != x.stops {
			t.Errorf("%+v: %d tasks were evicted", x, len(victims))
		}
	}
}

// TestServiceIsPreempted guards against replicas of a service that keep all machines from work of higher priority within its
// team's guarantee (review/6). They count as running for as long as they have, so that tasks that lose less are stopped first.
func TestServiceIsPreempted(t *testing.T) {
	for _, array := range []bool{false, true} {
		c := newCluster(t, 2, 2)
		c.submit(1, 0, protocol.Submission{UID: "job-000001", Kind: protocol.Service, Priority: "standard", Tasks: 3, CPUs: 16, MemoryGB: 1, Spot: true})
		c.run(10)
		fourth := protocol.Submission{UID: "job-000002", Kind: protocol.Service, Priority: "standard", Tasks: 1, CPUs: 16, MemoryGB: 1, Spot: true}
		if array {
			fourth.Kind, fourth.EstimateSeconds = protocol.JobArray, 600
		}
		c.submit(1, 0, fourth)
		c.run(10)
		c.submit(0, 0, protocol.Submission{UID: "job-000003", Kind: protocol.JobArray, Priority: "high", Tasks: 1, CPUs: 2, MemoryGB: 1, EstimateSeconds: 20, Spot: true})
		victims := c.run(5)
		if len(victims) != 1 {
			t.Fatalf("array %v: %d tasks evicted, want one", array, len(victims))
		}
		for ref := range victims {
			if ref.Job != "job-000002" {
				t.Errorf("array %v: %v evicted, which has run longer than another task", array, ref)
			}
		}
	}
}

// TestPreemptionOnMachineWithFullHeartbeat guards against tasks that keep a machine whose heartbeat has no room for another
// task, beside free CPUs, from work of higher priority within its team's guarantee (review/8). One task is stopped, and no
// other one while that is still listed.
func TestPreemptionOnMachineWithFullHeartbeat(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit(1, 0, protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "standard", Tasks: 1000, CPUs: 0.01, EstimateSeconds: 600, Spot: true})
	c.run(5)
	tasks := c.runningOn(c.machines[0])
	if len(tasks) == 1000 {
		t.Fatal("all tasks are placed, so the heartbeat is not full")
	}
	c.submit(0, 0, protocol.Submission{UID: "job-000002", Kind: protocol.JobArray, Priority: "high", Tasks: 1, CPUs: 2, EstimateSeconds: 20, Spot: true})
	victims := c.run(30)
	if len(victims) != 1 {
		t.Fatalf("%d tasks evicted, want one", len(victims))
	}
	for i := range tasks {
		if _, evicted := victims[tasks[i].Ref()]; evicted {
			tasks[i].State, tasks[i].Reason = protocol.Exited, protocol.ReasonStopped
		}
	}
	status := &jobstate.MachineStatus{Machine: c.machines[0], Type: "m32", Zone: "east", Incarnation: 1, Tasks: tasks}
	c.teams[1].Observe(status, c.now, jobDirectory{c})
	c.observe(0, tasks...)
	c.now = c.now.Add(preemptionInterval)
	if more := c.pass().Evictions; len(more) > 0 {
		t.Errorf("%d tasks evicted while the first one is not forgotten", len(more))
	}
	c.run(1) // the exited task is no longer listed
	if placed, _ := c.teams[0].Assignments().Count(); placed != 1 {
		t.Error("the task is not placed once the heartbeat has room for it")
	}
}
