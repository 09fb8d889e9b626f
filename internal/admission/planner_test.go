package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simController is a controller in the model of plans: the owner of the fleet shard, the plans, and the latest plans of
// the other controllers, as it knows them.
type simController struct {
	name        string
	incarnation int
	owner       string
	since       uint64
	known       PlanState
	planner     *Planner
	seen        map[string]ID
}

// message is a status in transit between two controllers.
type message struct {
	from, to    string
	incarnation int // of the receiver when the message was sent
	status      PlanStatus
}

// omissions selects rules that the model leaves out, to check that the test detects it.
type omissions struct{ unconfirmed, unreachable, direct, fresh bool }

// simulatePlans runs a random history of three controllers: messages are late or lost, the fleet shard changes its
// owner, processes restart, and a controller is isolated and dropped. It returns the first conflict of plans, if any,
// and the number of plans made.
func simulatePlans(seed uint64, omit omissions) (conflict string, made uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	now := time.Unix(1000, 0)
	names := []string{"a", "b", "c"}
	controllers := map[string]*simController{}
	owner, since := "a", uint64(1)
	isolated := "" // unreachable and not a member
	for _, n := range names {
		controllers[n] = &simController{name: n, owner: owner, since: since, seen: map[string]ID{}}
	}
	var inFlight []message
	waiting := map[string]float64{}
	inputs := func() *Inputs {
		if rng.IntN(30) == 0 {
			waiting[[]string{"large", "larger", "small"}[rng.IntN(3)]] = float64(rng.IntN(2)) * 40
		}
		in := &Inputs{Teams: map[string]Quota{"t": {Guaranteed: 1e6}}, Weights: &Weights{FloorShare: 1, FloorAfter: 2 * time.Second}}
		for i := range 6 {
			in.Machines = append(in.Machines, Machine{Name: fmt.Sprint("m", i), CPUs: 8, FreeCPUs: float64(rng.IntN(8)), SecondsUntilIdle: float64(rng.IntN(40))})
		}
		for _, class := range []string{"large", "larger", "small"} {
			taskCPUs := map[string]float64{"large": 4, "larger": 8, "small": 1}[class]
			in.Demands = append(in.Demands, Demand{Key: Key{"t", class}, Used: float64(rng.IntN(4)), Waiting: waiting[class], TaskCPUs: taskCPUs, Rate: 30})
		}
		return in
	}
	for step := range 1500 {
		now = now.Add(500 * time.Millisecond)
		for _, n := range names {
			s := controllers[n]
			if n == isolated {
				continue
			}
			if rng.IntN(4) == 0 {
				s.owner, s.since = owner, since // it reads the membership record
			}
			if s.owner != n {
				s.planner = nil
			} else {
				if s.planner == nil || s.planner.SinceTerm() != s.since {
					s.planner = NewPlanner(s.since, &s.known)
					if omit.fresh && rng.IntN(2) == 0 {
						s.planner.inForce = &Plan{ID: ID{s.since, 0}, Reserved: map[string]string{"m1": "large", "m2": "larger"}}
					}
				}
				members := map[string]ID{}
				for _, o := range names {
					if o != n && o != isolated && (!omit.unreachable || rng.IntN(3) > 0) {
						members[o] = s.seen[o]
					}
				}
				if omit.unconfirmed {
					members = nil
				}
				was := s.planner.next
				s.planner.Step(now, inputs(), members)
				if next := s.planner.next; next != nil && next != was {
					made++
					if omit.direct && len(next.Reserved) > 0 {
						for m := range next.Reserved {
							next.Reserved[m] = []string{"large", "larger"}[rng.IntN(2)]
						}
					}
				}
				inForce, next := s.planner.Plans()
				s.known.Apply(s.since, PlanStatus{InForce: inForce, Next: next})
			}
			status := PlanStatus{Latest: s.known.Latest()}
			if s.planner != nil {
				status.InForce, status.Next = s.planner.Plans()
			}
			for _, o := range names {
				if o != n && o != isolated && rng.IntN(3) > 0 {
					inFlight = append(inFlight, message{n, o, controllers[o].incarnation, status})
				}
			}
		}
		for range rng.IntN(8) { // in order between two controllers, in any order overall
			if len(inFlight) == 0 {
				break
			}
			at := rng.IntN(len(inFlight))
			at = slices.IndexFunc(inFlight, func(x message) bool { return x.from == inFlight[at].from && x.to == inFlight[at].to })
			x := inFlight[at]
			inFlight = slices.Delete(inFlight, at, at+1)
			s := controllers[x.to]
			if s.incarnation != x.incarnation || x.to == isolated {
				continue
			}
			s.seen[x.from] = x.status.Latest
			if x.from == s.owner {
				s.known.Apply(s.since, x.status)
			}
		}
		switch rng.IntN(120) {
		case 0:
			owner, since = names[rng.IntN(3)], since+1
			if owner == isolated {
				isolated = ""
			}
		case 1:
			n := names[rng.IntN(3)]
			incarnation := controllers[n].incarnation + 1
			controllers[n] = &simController{name: n, incarnation: incarnation, owner: owner, since: since, seen: map[string]ID{}}
			if n == owner { // its ownership ends with the process
				owner, since = names[rng.IntN(3)], since+1
			}
		case 2:
			if isolated == "" {
				if n := names[rng.IntN(3)]; n != owner { // a controller without a lease places nothing
					isolated = n
					controllers[n].known = PlanState{}
					controllers[n].incarnation++
				}
			} else {
				isolated = ""
			}
		}
		for i, n := range names {
			for _, o := range names[i+1:] {
				if controllers[n].known.InForce().ConflictsWith(controllers[o].known.InForce()) {
					return fmt.Sprintf("step %d: %s acts on %+v, %s on %+v", step, n, controllers[n].known.InForce(), o, controllers[o].known.InForce()), made
				}
			}
		}
	}
	return "", made
}

// TestPlansNeverConflict: with late and lost messages, restarts and changes of ownership, no two controllers reserve a
// machine for different classes, and new plans are still made.
func TestPlansNeverConflict(t *testing.T) {
	made := uint64(0)
	for seed := range uint64(60) {
		conflict, n := simulatePlans(seed, omissions{})
		if conflict != "" {
			t.Fatalf("seed %d: %s", seed, conflict)
		}
		made += n
	}
	if made < 1000 {
		t.Fatalf("only %d plans were made, want at least 1000", made)
	}
	for name, omit := range map[string]omissions{
		"a plan comes into force before all have received it": {unconfirmed: true},
		"an unreachable member is skipped":                    {unreachable: true},
		"a machine changes its class within one plan":         {direct: true},
		"a new owner discards the plans of its predecessor":   {fresh: true},
	} {
		detected := false
		for seed := uint64(0); seed < 200 && !detected; seed++ {
			conflict, _ := simulatePlans(seed, omit)
			detected = conflict != ""
		}
		if !detected {
			t.Errorf("not detected: %s", name)
		}
	}
}

// simulateCrowd simulates many small urgent tasks and large tasks of lower priority on a few machines, placed by
// priority except for the plan. It returns the longest time that the large tasks were below their floor, after the plan
// had time to take effect, and the number of started tasks.
func simulateCrowd(seed uint64, floors, reservations bool) (longestBelow time.Duration, ran, all int) {
	rng := rand.New(rand.NewPCG(seed, 5))
	type task struct {
		class string
		cpus  float64
		ends  time.Time
	}
	const machines, size = 12, 32.0
	running := make([][]task, machines)
	large, small := Key{"t", "large"}, Key{"t", "small"}
	state := &PlanState{}
	planner := NewPlanner(1, state)
	w := &Weights{FloorShare: 0.5, FloorAfter: 20 * time.Second}
	now := time.Unix(1000, 0)
	startedAt := now
	var since time.Time
	for range 3000 {
		now = now.Add(100 * time.Millisecond)
		free := make([]float64, machines)
		held := map[Key]float64{}
		in := &Inputs{Teams: map[string]Quota{"t": {Guaranteed: 100, Limit: 1000}}, Weights: w}
		for i := range running {
			running[i] = slices.DeleteFunc(running[i], func(x task) bool { return !now.Before(x.ends) })
			free[i] = size
			left := 0.0
			for _, x := range running[i] {
				free[i] -= x.cpus
				held[Key{"t", x.class}] += x.cpus
				left = max(left, x.ends.Sub(now).Seconds())
			}
			in.Machines = append(in.Machines, Machine{Name: fmt.Sprint(i), CPUs: size, FreeCPUs: free[i], SecondsUntilIdle: left})
		}
		in.Demands = []Demand{{Key: large, Used: held[large], Waiting: 2000, TaskCPUs: 16, Rate: 300}, {Key: small, Used: held[small], Waiting: 4000, TaskCPUs: 4, Rate: 1000}}
		if !floors {
			in.Weights = &Weights{}
		}
		planner.Step(now, in, nil)
		inForce, next := planner.Plans()
		state.Apply(1, PlanStatus{InForce: inForce, Next: next})
		plan := state.InForce()
		start := func(k Key, cpus, limit float64) {
			for i := range running {
				class := plan.ReservedClass(fmt.Sprint(i))
				if !reservations {
					class = ""
				}
				for free[i] >= cpus && limit >= cpus && (class == "" || class == k.Class) {
					running[i] = append(running[i], task{k.Class, cpus, now.Add(time.Duration(5000+rng.IntN(35000)) * time.Millisecond)})
					free[i], limit = free[i]-cpus, limit-cpus
					held[k] += cpus
					ran++
				}
			}
		}
		start(large, 16, plan.Floor(large)-held[large])
		start(small, 4, math.Inf(1))
		start(large, 16, math.Inf(1))
		// Tolerates two tasks less than the floor: one may be about to start, and one may not fit.
		floor := Floors(machines*size, in.Demands, in.Teams, w)[0].Floor - 32
		switch {
		case held[large] >= floor || now.Sub(startedAt) < w.FloorAfter+45*time.Second:
			since = time.Time{}
		case since.IsZero():
			since = now
		default:
			longestBelow = max(longestBelow, now.Sub(since))
		}
	}
	return longestBelow, ran, 0
}

// TestFloorHolds: a class is not below its floor for longer than FloorAfter and the run times of the tasks on the
// machines reserved for it, however urgent the other tasks are. Without floors, or without reservations for large
// tasks, it gets nothing for minutes.
func TestFloorHolds(t *testing.T) {
	for seed := range uint64(10) {
		if below, ran, _ := simulateCrowd(seed, true, true); below > 15*time.Second || ran == 0 {
			t.Errorf("seed %d: below its floor for %s", seed, below)
		}
	}
	for name, x := range map[string][2]bool{"no floors": {false, true}, "no reservations": {true, false}} {
		if below, _, _ := simulateCrowd(1, x[0], x[1]); below < time.Minute {
			t.Errorf("%s: below its floor for only %s", name, below)
		}
	}
}
