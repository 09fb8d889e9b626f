package admission

import (
	"testing"
	"time"
)

// TestPrioritizedTasks: three quarters of what a class deficits go to tasks that can still be in time, the rest to the oldest
// job; a gang goes as a whole, and other classes' deficits are not touched.
func TestPrioritizedTasks(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	soon := &WaitingTasks{Class: "batch", Count: 10, TaskCPUs: 1, StartBy: at(10), SubmittedAt: at(3)}
	later := &WaitingTasks{Class: "batch", Count: 10, TaskCPUs: 1, StartBy: at(20), SubmittedAt: at(2)}
	late := &WaitingTasks{Class: "batch", Count: 10, TaskCPUs: 1, Late: true, StartBy: at(-50), SubmittedAt: at(1)}
	gang := &WaitingTasks{Class: "train", Count: 4, TaskCPUs: 2, Gang: true, SubmittedAt: at(0)}
	begun := &WaitingTasks{Class: "train", Count: 1, TaskCPUs: 2, Prioritized: 1, SubmittedAt: at(0)}
	deficits := map[string]float64{"batch": 16, "train": 7, "other": 5}
	PrioritizeTasks([]*WaitingTasks{late, later, soon, gang, begun}, deficits)
	for name, c := range map[string]struct {
		tasks *WaitingTasks
		want  int
	}{"soonest": {soon, 10}, "later": {later, 2}, "late": {late, 4}, "gang beyond the floor": {gang, 0}, "first task": {begun, 1}} {
		if c.tasks.Prioritized != c.want {
			t.Errorf("%s: %d tasks go first, want %d", name, c.tasks.Prioritized, c.want)
		}
	}
	if deficits["batch"] != 0 || deficits["train"] != 7 || deficits["other"] != 5 {
		t.Errorf("left: %v", deficits)
	}
	deficits = map[string]float64{"train": 16}
	PrioritizeTasks([]*WaitingTasks{gang}, deficits)
	if gang.Prioritized != 4 || deficits["train"] != 8 {
		t.Errorf("gang within the floor: %d tasks go first, left %v", gang.Prioritized, deficits)
	}
}

// TestNeeds: arrivals count over the window in which they came, a third of it at the least, and only for keys that use or
// ask for anything; what waits counts by the time in which a backlog is worked off.
func TestNeeds(t *testing.T) {
	team, other := Key{"a", "batch"}, Key{"b", "batch"}
	demands := NewDemandCollector(time.Minute)
	demands.AddWaiting(team, PendingWork{CPUs: 8, Rank: 2, TaskCPUs: 2, TaskMemory: 3, EstimateSeconds: 30})
	demands.AddWaiting(team, PendingWork{CPUs: 4, Rank: 1, TaskCPUs: 1, TaskMemory: 5, EstimateSeconds: 30})
	demands.AddUsed(team, 6)
	demands.AddArrival(team, 120, 3*time.Second)
	demands.AddArrival(team, 480, 30*time.Second)
	demands.AddArrival(team, 999, time.Minute)
	demands.AddArrival(other, 100, time.Second)
	list := demands.List()
	want := Demand{Key: team, Used: 6, Waiting: 12, TaskCPUs: 2, TaskMemory: 5, Rate: 20, Rank: 1}
	if len(list) != 1 || list[0] != want {
		t.Errorf("demands %+v, want %+v", list, want)
	}
	demands = NewDemandCollector(time.Minute)
	demands.AddWaiting(other, PendingWork{CPUs: 600, TaskCPUs: 1, EstimateSeconds: 60})
	if list := demands.List(); len(list) != 1 || list[0].Rate != 60 {
		t.Errorf("a backlog of 36000 CPU seconds gives %+v", list)
	}
}
