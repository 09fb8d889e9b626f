package scheduler

import (
	"testing"

	"topazhollow/internal/protocol"
)

// TestGuaranteeBeatsIdleTimeWork: a guest without a guarantee fills the machines with work of low priority. What a team
// waits for within its guarantee must not wait for that to end, even after half of its time; what borrows itself stops
// nobody.
func TestGuaranteeBeatsIdleTimeWork(t *testing.T) {
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
			t.Fatalf("%d tasks asked to make room while nothing waits", len(victims))
		}
		if held, _ := c.teams[1].Assignments().Count(); held != 64 {
			t.Fatalf("%d of 64 idle-time tasks run", held)
		}
		team := 0
		if borrowed {
			team = 1
		}
		// Many small tasks that end soon make no room for a large one.
		submit(team, "job-000002", "standard", 4, 16, 40)
		if victims := c.run(1); (len(victims) > 0) == borrowed {
			t.Errorf("borrowed %v: %d tasks asked to make room", borrowed, len(victims))
		}
	}
}

// TestGangStopsLessUrgentWork: gangs of high priority waited for minutes until arrays of their team were over. Beyond
// its guarantee a gang stops tasks of its own team, as many as it takes, and none of others; one of low priority stops
// nothing, nor does one that can reach no objective any more.
func TestGangStopsLessUrgentWork(t *testing.T) {
	for _, x := range []struct {
		priority string
		deadline float64
		stops    int
	}{{"high", 1000, 40}, {"low", 1000, 0}, {"high", 100, 0}} {
		c := newCluster(t, 8, 2) // two of them ordinary, of 32 CPUs and in one zone
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
			t.Fatalf("%+v: %d tasks asked to make room before the gang came", x, len(victims))
		}
		submit(0, "job-000003", x.priority, protocol.Gang, 5, 8)
		victims := c.run(6)
		for ref, job := range victims {
			if ref.Job != "job-000002" || job != "job-000003" {
				t.Errorf("%+v: %v was asked to make room for %s", x, ref, job)
			}
		}
		// 44 of the 64 CPUs are all that the team may use, and the array has them: 40 of them are for the gang.
		if len(victims) != x.stops {
			t.Errorf("%+v: %d tasks were asked to make room", x, len(victims))
		}
	}
}
