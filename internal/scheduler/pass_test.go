package scheduler

import (
	"math"
	"testing"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// TestNoSlackMinimizesTime guards against placing a task that is almost due on a cheap machine that must fetch its
// image first, which may take longer than the time left, although a more expensive machine has the image. Tasks with
// enough time are placed at the lowest cost.
func TestNoSlackMinimizesTime(t *testing.T) {
	for _, deadline := range []float64{30, 300} {
		c := newCluster(t, 8, 1)
		c.jobs["job-000009"] = &Job{Spec: &protocol.Submission{UID: "job-000009", Image: "img"}}
		for i := 0; i < len(c.machines); i += 4 { // the on-demand machines
			c.observe(i, jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: "job-000009"}, Attempt: 1, State: protocol.Exited})
		}
		c.submit(0, 0, protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "high",
			Tasks: 2, CPUs: 4, MemoryGB: 1, Image: "img", ImageGB: 4, EstimateSeconds: 10, Spot: true, DeadlineSeconds: &deadline})
		c.now = c.now.Add(100 * time.Millisecond)
		c.pass()
		holds := c.teams[0].Replica().Assignments
		if len(holds) != 2 {
			t.Errorf("due in %g s: %d of 2 tasks placed", deadline, len(holds))
		}
		for _, a := range holds {
			if spot := c.scheduler.machines[a.Machine].status.Spot; spot != (deadline == 300) {
				t.Errorf("due in %g s: placed on a spot machine without the image: %v", deadline, spot)
			}
		}
	}
}

// TestUnusedReservationIsReleased guards against reserving capacity indefinitely for a gang that cannot start while an
// array waits. After a minute in which no gang has started, the array gets the capacity.
func TestUnusedReservationIsReleased(t *testing.T) {
	c := newCluster(t, 8, 2) // two machines are on-demand, both in one zone
	gangs, arrays := c.teams[0], c.teams[1]
	submit := func(team int, uid, priority string, kind protocol.JobKind, tasks int, cpus float64) {
		c.submit(team, 0, protocol.Submission{UID: uid, Kind: kind, Priority: priority, Tasks: tasks, CPUs: cpus,
			MemoryGB: 1, Image: "img", EstimateSeconds: 40, OneZone: kind == protocol.Gang})
	}
	submittedAt := c.now
	placeAt := func(after time.Duration) int {
		c.now = submittedAt.Add(after)
		gangs.Quota().UpdateGangReservation(c.now)
		c.pass()
		return len(arrays.Replica().Assignments)
	}
	submit(0, "job-000001", "high", protocol.Service, 1, 8)
	placeAt(0)
	submit(0, "job-000002", "high", protocol.Gang, 8, 8)
	submit(1, "job-000003", "standard", protocol.JobArray, 40, 1)
	if got := placeAt(0); got != 0 {
		t.Fatalf("%d of 40 tasks of the array were placed at once", got)
	}
	if got := placeAt(time.Minute); got != 40 {
		t.Errorf("%d of 40 tasks of the array were placed after a minute", got)
	}
	if got := len(gangs.Replica().Assignments); got != 1 {
		t.Errorf("%d tasks of the other team are placed, want only the service", got)
	}
}

// TestLeftoverRoomOfReservedMachines guards against a small job waiting beside free capacity on machines that are
// reserved for a class whose larger tasks do not fit into it. After leftoverDelay the job may use such capacity, but
// never capacity that the class could use.
func TestLeftoverRoomOfReservedMachines(t *testing.T) {
	for _, x := range []struct {
		name       string
		begun      int // running tasks of 2 CPUs on the machine of 32
		age        time.Duration
		wantPlaced int
	}{
		{"a job submitted just now", 15, time.Second, 0},
		{"a job past the delay", 15, leftoverDelay + time.Second, 1},
		{"a job past the delay, room for the class", 14, leftoverDelay + time.Second, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			team := c.teams[0]
			submit := func(uid, class string, tasks int, cpus float64, age time.Duration, zone *string) {
				c.submit(0, age, protocol.Submission{UID: uid, Class: class, Kind: protocol.JobArray, Priority: "standard",
					Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "img", EstimateSeconds: 40, Spot: true, Zone: zone})
			}
			submit("job-000001", "small", x.begun, 2, 0, nil)
			c.pass()
			c.plan = &admission.Plan{ID: admission.ID{SinceTerm: 1, Number: 1}, Reserved: map[string]string{c.machines[0]: "large"}}
			team.Job("job-000001").Finishing = true // it requests no more tasks
			submit("job-000002", "small", 1, 2, x.age, nil)
			var zone *string
			if x.begun < 15 {
				elsewhere := "west" // has no machine, so that the capacity stays free
				zone = &elsewhere
			}
			submit("job-000003", "large", 1, 4, 0, zone)
			c.pass()
			if placed := 1 - team.Job("job-000002").Unstarted(); placed != x.wantPlaced {
				t.Errorf("%d tasks placed, want %d", placed, x.wantPlaced)
			}
		})
	}
}

// TestLeftoverAfterAnUnplacedJob guards against a job past leftoverDelay not getting capacity that no reserved class can
// use, because a more urgent job of its class that may not use it yet found none in the same pass.
func TestLeftoverAfterAnUnplacedJob(t *testing.T) {
	c := newCluster(t, 1, 1)
	team := c.teams[0]
	submit := func(uid, class, priority string, tasks int, cpus float64, age time.Duration) {
		c.submit(0, age, protocol.Submission{UID: uid, Class: class, Kind: protocol.JobArray, Priority: priority,
			Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "img", EstimateSeconds: 40, Spot: true})
	}
	submit("job-000001", "small", "standard", 15, 2, 0) // leaves 2 of 32 CPUs free
	c.pass()
	c.plan = &admission.Plan{ID: admission.ID{SinceTerm: 1, Number: 1}, Reserved: map[string]string{c.machines[0]: "large"}}
	team.Job("job-000001").Finishing = true // it requests no more tasks
	submit("job-000002", "small", "high", 1, 2, time.Second)
	submit("job-000003", "small", "standard", 1, 2, leftoverDelay+time.Second)
	submit("job-000004", "large", "standard", 1, 4, 0)
	c.pass()
	if team.Job("job-000002").Unstarted() != 1 {
		t.Error("the job before the delay was placed")
	}
	if team.Job("job-000003").Unstarted() != 0 {
		t.Error("the job past the delay was not placed")
	}
}

// TestSurplusUsesRoomThatDemandsCannot guards against small tasks without a deadline waiting beside capacity that they
// fit into, because larger tasks that do not fit request all that is left of the team's limit.
func TestSurplusUsesRoomThatDemandsCannot(t *testing.T) {
	for _, x := range []struct {
		name  string
		limit float64
		want  int
	}{
		{"limit with room", 58, 1},
		{"limit nearly used up", 38, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newCluster(t, 1, 1) // one machine with 32 CPUs
			team := c.teams[0]
			team.Quota().SetLimits(jobstate.Limits{Max: jobstate.Resources{CPUs: x.limit, GPUs: math.Inf(1)}})
			deadline := 500.0
			submit := func(uid, class string, tasks int, cpus float64, deadline *float64) {
				c.submit(0, 0, protocol.Submission{UID: uid, Class: class, Kind: protocol.JobArray, Priority: "standard",
					Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "img", EstimateSeconds: 40, Spot: true, DeadlineSeconds: deadline})
			}
			submit("job-000001", "other", 15, 2, nil)
			c.pass()
			submit("job-000002", "large", 100, 4, &deadline)
			submit("job-000003", "small", 1, 2, nil)
			for _, d := range team.Quota().Demands(c.now) {
				if d.Spec.Class == "small" && d.Count > 0 {
					t.Fatal("the small job is among the demands")
				}
			}
			c.pass()
			if placed := 1 - team.Job("job-000003").Unstarted(); placed != x.want {
				t.Errorf("%d small tasks placed, want %d", placed, x.want)
			}
		})
	}
}

// TestMachineGetsNoMoreTasksThanItsHeartbeatLists guards against heartbeats that are refused for their size (review/2): with
// small tasks, the length of the heartbeat bounds the tasks on a machine. Exited tasks count until they are forgotten.
func TestMachineGetsNoMoreTasksThanItsHeartbeatLists(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit(0, 0, protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "standard", Tasks: 2000, CPUs: 0.01, MemoryGB: 0.01, Image: "img",
		EstimateSeconds: 40, Spot: true})
	each := protocol.ListedBytes(protocol.TaskNameLength("job-000001", 1999))
	c.pass()
	list := c.runningOn(c.machines[0])
	most := protocol.MaxListedBytes / protocol.ListedBytes(protocol.TaskNameLength("job-000001", 0))
	if len(list) < protocol.MaxListedBytes/each || len(list) > most {
		t.Fatalf("%d tasks are placed on a machine whose heartbeat lists up to %d", len(list), most)
	}
	for i := range list {
		list[i].State, list[i].Reason = protocol.Exited, protocol.ReasonDone
	}
	c.teams[0].Observe(&jobstate.MachineStatus{Machine: c.machines[0], Incarnation: 1, Tasks: list}, c.now, jobDirectory{c})
	c.observe(0, list...)
	if c.pass(); len(c.runningOn(c.machines[0])) > 10 {
		t.Errorf("%d tasks are placed although the heartbeat still lists %d exited ones", len(c.runningOn(c.machines[0])), len(list))
	}
	c.observe(0)
	if c.pass(); len(c.runningOn(c.machines[0])) < 400 {
		t.Errorf("only %d tasks are placed after the exited ones were forgotten", len(c.runningOn(c.machines[0])))
	}
}
