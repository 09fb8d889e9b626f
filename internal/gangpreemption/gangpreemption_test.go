package gangpreemption

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestPlanModel checks on random machines that the planned stops let the whole gang fit, in one zone if required and
// within the quota, that there is a plan whenever stopping all victims would suffice, and that no victim is stopped
// twice.
func TestPlanModel(t *testing.T) {
	plans := 0
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		g := Gang{Tasks: 1 + rng.IntN(5), PerTask: Resources{CPUs: float64(1 + rng.IntN(4)), MemoryGB: 1}, OneZone: rng.IntN(2) == 0, Quota: Resources{CPUs: float64(rng.IntN(12)), GPUs: 1}}
		machines := make([]Machine, 1+rng.IntN(5))
		id := 0
		for i := range machines {
			machines[i] = Machine{Zone: rng.IntN(2), Free: Resources{CPUs: float64(rng.IntN(4)), MemoryGB: float64(rng.IntN(6))}}
			for range rng.IntN(5) {
				id++
				machines[i].Victims = append(machines[i].Victims, Victim{ID: id, Size: Resources{CPUs: 1, MemoryGB: 1}, LostCPUSeconds: float64(rng.IntN(50)), SameTeam: rng.IntN(3) > 0})
			}
		}
		stops, ok := Plan(g, machines)
		all := make([]Stop, len(machines))
		for i := range machines {
			all[i] = Stop{Machine: i, Victims: machines[i].Victims}
		}
		if possible := hasRoom(g, machines, all); ok != possible {
			t.Fatalf("seed %d: plan found %v, want %v", seed, ok, possible)
		}
		if !ok {
			continue
		}
		plans++
		if !hasRoom(g, machines, stops) {
			t.Fatalf("seed %d: stops %+v do not make %+v fit on %+v", seed, stops, g, machines)
		}
		seen, slots := map[int]bool{}, 0
		for _, s := range stops {
			slots += s.Slots
			for _, v := range s.Victims {
				if seen[v.ID] {
					t.Fatalf("seed %d: %d is stopped twice", seed, v.ID)
				}
				seen[v.ID] = true
			}
		}
		if slots != g.Tasks {
			t.Fatalf("seed %d: %d slots for %d tasks", seed, slots, g.Tasks)
		}
	}
	if plans < 100 {
		t.Fatalf("only %d gangs were planned", plans)
	}
}

// hasRoom reports whether a gang fits in one of its zones, and in the quota, after the given stops.
func hasRoom(g Gang, machines []Machine, stops []Stop) bool {
	free := make([]Resources, len(machines))
	for i := range machines {
		free[i] = machines[i].Free
	}
	quota := g.Quota.CPUs
	for _, s := range stops {
		for _, v := range s.Victims {
			free[s.Machine] = free[s.Machine].plus(v.Size)
			if v.SameTeam {
				quota += v.Size.CPUs
			}
		}
	}
	slots := map[int]int{} // by zone
	for i := range machines {
		zone := machines[i].Zone
		if !g.OneZone {
			zone = anyZone
		}
		slots[zone] += int(math.Min(free[i].CPUs/g.PerTask.CPUs, free[i].MemoryGB/g.PerTask.MemoryGB) + roundingTolerance)
	}
	most := 0
	for _, n := range slots {
		most = max(most, n)
	}
	return most >= g.Tasks && quota+roundingTolerance >= float64(g.Tasks)*g.PerTask.CPUs
}

// TestLeastLoss checks that of two zones the one in which less progress is lost is chosen.
func TestLeastLoss(t *testing.T) {
	size := Resources{CPUs: 4, MemoryGB: 1}
	machines := []Machine{
		{Zone: 0, Victims: []Victim{{ID: 1, Size: size, LostCPUSeconds: 90, SameTeam: true}}},
		{Zone: 1, Victims: []Victim{{ID: 2, Size: size, LostCPUSeconds: 20, SameTeam: true}}},
		{Zone: 1, Free: size},
	}
	stops, ok := Plan(Gang{Tasks: 2, PerTask: size, OneZone: true, Quota: Resources{CPUs: 4}}, machines)
	if !ok || len(stops) != 2 || len(stops[0].Victims) != 1 || stops[0].Victims[0].ID != 2 || stops[1].Slots != 1 {
		t.Fatalf("%+v, %v", stops, ok)
	}
}
