package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// TestFairSharesModel compares FairShares with a simple model that repeatedly gives a small amount to the key with the
// smallest share per weight and unmet demand, guarantees first. It also checks that no CPUs are left over while there
// is unmet demand, and that no key gets more than its demand.
func TestFairSharesModel(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		teams, w := map[string]Quota{}, &Weights{Team: map[string]float64{}, Class: map[string]float64{"c0": float64(1 + rng.IntN(3))}}
		var demands []Demand
		for i := range 1 + rng.IntN(4) {
			team := fmt.Sprint("t", i)
			g := Quota{Guaranteed: float64(rng.IntN(4) * 20)}
			if rng.IntN(2) == 0 {
				g.Limit = g.Guaranteed + float64(rng.IntN(60))
			}
			teams[team] = g
			w.Team[team] = float64(1 + rng.IntN(2))
			for j := range 1 + rng.IntN(3) {
				demands = append(demands, Demand{Key: Key{team, fmt.Sprint("c", j)}, Used: float64(rng.IntN(30)), Waiting: float64(rng.IntN(60))})
			}
		}
		cpus := float64(rng.IntN(250))
		due := FairShares(cpus, demands, teams, w)

		const increment = 0.05
		got, team := map[Key]float64{}, map[string]float64{}
		distribute := func(left float64, withinGuarantee bool) float64 {
			for ; left >= increment; left -= increment {
				best, lowest := -1, math.Inf(1)
				for i, n := range demands {
					g := teams[n.Team]
					limit := g.Limit
					if limit == 0 {
						limit = math.Inf(1)
					}
					level := (team[n.Team] - g.Guaranteed) / w.Team[n.Team]
					if withinGuarantee {
						limit, level = g.Guaranteed, team[n.Team]/max(g.Guaranteed, 1e-9)
					}
					if got[n.Key]+increment/2 > n.total() || team[n.Team]+increment/2 > limit {
						continue
					}
					// Compare teams by share per weight first, then the classes of a team by share per weight.
					level = level*1e6 + got[n.Key]/weight(w.Class, n.Class)
					if level < lowest {
						best, lowest = i, level
					}
				}
				if best < 0 {
					return left
				}
				got[demands[best].Key] += increment
				team[demands[best].Team] += increment
			}
			return left
		}
		distribute(distribute(cpus, true), false)
		sum, wanted := 0.0, 0.0
		byTeam := map[string]float64{}
		for _, n := range demands {
			sum += due[n.Key]
			byTeam[n.Team] += due[n.Key]
			if due[n.Key] > n.total()+1e-6 {
				t.Fatalf("seed %d: %v gets %g CPUs for a demand of %g", seed, n.Key, due[n.Key], n.total())
			}
		}
		for name, g := range teams {
			all := 0.0
			for _, n := range demands {
				if n.Team == name {
					all += n.total()
				}
			}
			if g.Limit > 0 {
				all = min(all, g.Limit)
			}
			wanted += all
			if math.Abs(byTeam[name]-team[name]) > 1.5 {
				t.Fatalf("seed %d: %s gets %g CPUs, %g in the model; demands %v, %g CPUs, teams %v", seed, name, byTeam[name], team[name], demands, cpus, teams)
			}
		}
		if math.Abs(sum-min(cpus, wanted)) > 1e-6 {
			t.Fatalf("seed %d: %g of %g CPUs given for a total demand of %g", seed, sum, cpus, wanted)
		}
		for _, n := range demands { // within a team, a class with a smaller share per weight has its whole demand
			for _, o := range demands {
				if n.Team == o.Team && due[n.Key]/weight(w.Class, n.Class) < due[o.Key]/weight(w.Class, o.Class)-1e-6 && due[n.Key] < n.total()-1e-6 {
					t.Fatalf("seed %d: %v gets %g CPUs, %v gets %g", seed, n.Key, due[n.Key], o.Key, due[o.Key])
				}
			}
		}
	}
}

// TestFloors: floors are granted in ascending order of demand, a class that floods the system gets minFloorShare if its
// floor does not fit, and the floors never exceed the CPUs that there are.
func TestFloors(t *testing.T) {
	w := &Weights{FloorShare: 0.5}
	teams := map[string]Quota{"a": {Guaranteed: 100}, "b": {Guaranteed: 100, Limit: 60}}
	demands := []Demand{{Key: Key{"a", "flood"}, Waiting: 5000, Rate: 4000}, {Key: Key{"a", "calm"}, Waiting: 300, Rate: 200}, {Key: Key{"b", "calm"}, Waiting: 500, Rate: 400}}
	f := map[Key]float64{}
	for _, g := range Floors(400, demands, teams, w) {
		f[g.Key] = g.Floor
	}
	if f[Key{Class: "calm"}] != 300 || f[Key{Class: "flood"}] <= 0 || f[Key{Class: "flood"}] > 40 || f[Key{Team: "b"}] != 30 {
		t.Fatal(f)
	}
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 8))
		var demands []Demand
		for i := range 1 + rng.IntN(6) {
			demands = append(demands, Demand{Key: Key{fmt.Sprint("t", i%3), fmt.Sprint("c", i)}, Used: float64(rng.IntN(50)), Waiting: float64(rng.IntN(200)), Rate: float64(rng.IntN(300))})
		}
		cpus := float64(rng.IntN(300))
		sums, full := [2]float64{}, 0.0
		for _, g := range Floors(cpus, demands, nil, w) {
			if g.Team == "" {
				sums[0] += g.Floor
			} else {
				sums[1] += g.Floor
			}
		}
		for _, n := range demands {
			full += w.FloorShare * min(n.Rate, n.total())
		}
		for _, sum := range sums {
			if sum > cpus+1e-6 {
				t.Fatalf("seed %d: floors of %g CPUs, only %g exist", seed, sum, cpus)
			}
			if full <= cpus && math.Abs(sum-full) > 1e-6 {
				t.Fatalf("seed %d: floors of %g CPUs, want %g, which fit", seed, sum, full)
			}
		}
	}
}
