package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// TestFairSharesModel compares the shares with a plain pouring: a little at a time to whoever has
// least of its weight and wants more, guarantees first. It guards that nothing is left over
// while anybody wants more, and that nobody gets more than it wants.
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

		const drop = 0.05
		got, team := map[Key]float64{}, map[string]float64{}
		pour := func(left float64, within bool) float64 {
			for ; left >= drop; left -= drop {
				best, low := -1, math.Inf(1)
				for i, n := range demands {
					g := teams[n.Team]
					most := g.Limit
					if most == 0 {
						most = math.Inf(1)
					}
					level := (team[n.Team] - g.Guaranteed) / w.Team[n.Team]
					if within {
						most, level = g.Guaranteed, team[n.Team]/max(g.Guaranteed, 1e-9)
					}
					if got[n.Key]+drop/2 > n.total() || team[n.Team]+drop/2 > most {
						continue
					}
					// Teams by what they have of their weight, within one the classes alike.
					level = level*1e6 + got[n.Key]/weight(w.Class, n.Class)
					if level < low {
						best, low = i, level
					}
				}
				if best < 0 {
					return left
				}
				got[demands[best].Key] += drop
				team[demands[best].Team] += drop
			}
			return left
		}
		pour(pour(cpus, true), false)
		sum, wanted := 0.0, 0.0
		byTeam := map[string]float64{}
		for _, n := range demands {
			sum += due[n.Key]
			byTeam[n.Team] += due[n.Key]
			if due[n.Key] > n.total()+1e-6 {
				t.Fatalf("seed %d: %v gets %g of %g wanted", seed, n.Key, due[n.Key], n.total())
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
				t.Fatalf("seed %d: %s gets %g, plainly %g; %v of %g, %v", seed, name, byTeam[name], team[name], demands, cpus, teams)
			}
		}
		if math.Abs(sum-min(cpus, wanted)) > 1e-6 {
			t.Fatalf("seed %d: %g of %g given to those who want %g", seed, sum, cpus, wanted)
		}
		for _, n := range demands { // within a team, whoever has less of its weight has all that it wants
			for _, o := range demands {
				if n.Team == o.Team && due[n.Key]/weight(w.Class, n.Class) < due[o.Key]/weight(w.Class, o.Class)-1e-6 && due[n.Key] < n.total()-1e-6 {
					t.Fatalf("seed %d: %v has %g, %v %g", seed, n.Key, due[n.Key], o.Key, due[o.Key])
				}
			}
		}
	}
}

// TestFloors: whoever demands least for the floor's part of what comes gets it first, a flood for
// which there is not enough keeps minFloorShare, and never are more CPUs promised than there are.
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
				t.Fatalf("seed %d: %g of %g promised", seed, sum, cpus)
			}
			if full <= cpus && math.Abs(sum-full) > 1e-6 {
				t.Fatalf("seed %d: %g promised, %g would be enough for all", seed, sum, full)
			}
		}
	}
}

// seat is a controller in the model of plans: what it knows of who owns the fleet, of plans,
// and what the others told it.
type seat struct {
	name    string
	life    int
	owner   string
	since   uint64
	known   PlanState
	planner *Planner
	seen    map[string]ID
}

type letter struct {
	from, to string
	life     int // of the receiver when it was sent
	word     PlanStatus
}
