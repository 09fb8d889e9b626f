package admission

import (
	"testing"
	"time"
)

// crowdedTeam returns inputs in which team a asks for more than its limit, nearly all of it for class crowd, while jobs
// of class small of team b run.
func crowdedTeam() *Inputs {
	return &Inputs{
		Teams:   map[string]Quota{"a": {Guaranteed: 100, Limit: 1000}, "b": {Guaranteed: 100}},
		Weights: &Weights{FloorShare: 0.5, FloorAfter: time.Minute},
		Demands: []Demand{
			{Key: Key{"a", "crowd"}, Used: 1000, Waiting: 3000, TaskCPUs: 4, Rate: 1200},
			{Key: Key{"a", "small"}, Waiting: 400, TaskCPUs: 2, Rate: 200},
			{Key: Key{"b", "small"}, Used: 400, Waiting: 100, TaskCPUs: 2, Rate: 400},
		},
		Machines: []Machine{{Name: "m-1", CPUs: 4000, FreeCPUs: 2000}},
	}
}

// TestClassOfATeamAtItsLimitHasAFloor guards against a class that starves within a team at its limit while other teams'
// jobs of the same class run: neither the class as a whole nor the team is below its floor then.
func TestClassOfATeamAtItsLimitHasAFloor(t *testing.T) {
	in, planner := crowdedTeam(), NewPlanner(1, &PlanState{})
	start := time.Unix(1000, 0)
	after := func(d time.Duration) *Plan {
		planner.Step(start.Add(d), in, nil)
		planner.Step(start.Add(d+2*planInterval), in, nil)
		inForce, _ := planner.Plans()
		return inForce
	}
	if plan := after(0); len(plan.Floors) != 0 {
		t.Fatalf("floors %v before FloorAfter has passed", plan.Floors)
	}
	plan := after(2 * time.Minute)
	want := Floor{Key: Key{"a", "small"}, CPUs: 150, WithinLimit: true}
	if len(plan.Floors) != 1 || plan.Floors[0] != want {
		t.Fatalf("floors %v, want %v", plan.Floors, want)
	}
	if plan.Floor(want.Key) != 0 || len(plan.Reserved) != 0 {
		t.Errorf("a floor within a limit guarantees %g CPUs on machines and reserves %v", plan.Floor(want.Key), plan.Reserved)
	}
	successor := NewPlanner(2, &PlanState{inForce: plan})
	successor.Step(start.Add(3*time.Minute), in, nil)
	successor.Step(start.Add(3*time.Minute+2*planInterval), in, nil)
	if inForce, _ := successor.Plans(); len(inForce.Floors) != 1 || inForce.Floors[0] != want {
		t.Errorf("the next owner's floors are %v, want %v", inForce.Floors, want)
	}
}

// TestFloorsWithinALimitFitIt: the floors of the classes of a team at its limit do not exceed the limit. A team that
// asks for less than its limit, or whose limit is not below the CPUs of all machines, has no such floors.
func TestFloorsWithinALimitFitIt(t *testing.T) {
	in := crowdedTeam()
	for _, most := range []float64{0, 10, 100, 1000, 3999, 4100, 5000} {
		in.Teams["a"] = Quota{Guaranteed: 100, Limit: most}
		sum, count := 0.0, 0
		for _, g := range Floors(4000, in.Demands, in.Teams, in.Weights) {
			if g.withinLimit() {
				sum += g.Floor
				count++
			}
		}
		limited := most > 0 && most < 4000
		if sum > most+1e-6 || limited != (count == 2) || !limited && count > 0 {
			t.Errorf("limit %g: %d floors of %g CPUs", most, count, sum)
		}
	}
}
