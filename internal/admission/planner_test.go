package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// lapses are what the model leaves out to see that it is caught.
type lapses struct{ unconfirmed, unheard, direct, afresh bool }

// playPlans draws a history of three controllers: words are late or lost, the fleet changes hands,
// processes start anew, one is cut off and dropped. It tells the first contradiction.
func playPlans(seed uint64, l lapses) (broken string, made uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	now := time.Unix(1000, 0)
	names := []string{"a", "b", "c"}
	seats := map[string]*seat{}
	owner, since := "a", uint64(1)
	out := "" // cut off and no member
	for _, n := range names {
		seats[n] = &seat{name: n, owner: owner, since: since, seen: map[string]ID{}}
	}
	var post []letter
	waits := map[string]float64{}
	inputs := func() *Inputs {
		if rng.IntN(30) == 0 {
			waits[[]string{"large", "larger", "small"}[rng.IntN(3)]] = float64(rng.IntN(2)) * 40
		}
		in := &Inputs{Teams: map[string]Quota{"t": {Guaranteed: 1e6}}, Weights: &Weights{FloorShare: 1, FloorAfter: 2 * time.Second}}
		for i := range 6 {
			in.Machines = append(in.Machines, Machine{Name: fmt.Sprint("m", i), CPUs: 8, FreeCPUs: float64(rng.IntN(8)), SecondsUntilIdle: float64(rng.IntN(40))})
		}
		for _, class := range []string{"large", "larger", "small"} {
			each := map[string]float64{"large": 4, "larger": 8, "small": 1}[class]
			in.Demands = append(in.Demands, Demand{Key: Key{"t", class}, Used: float64(rng.IntN(4)), Waiting: waits[class], TaskCPUs: each, Rate: 30})
		}
		return in
	}
	for step := range 1500 {
		now = now.Add(500 * time.Millisecond)
		for _, n := range names {
			s := seats[n]
			if n == out {
				continue
			}
			if rng.IntN(4) == 0 {
				s.owner, s.since = owner, since // it reads the record
			}
			if s.owner != n {
				s.planner = nil
			} else {
				if s.planner == nil || s.planner.SinceTerm() != s.since {
					s.planner = NewPlanner(s.since, &s.known)
					if l.afresh && rng.IntN(2) == 0 {
						s.planner.inForce = &Plan{ID: ID{s.since, 0}, Reserved: map[string]string{"m1": "large", "m2": "larger"}}
					}
				}
				members := map[string]ID{}
				for _, o := range names {
					if o != n && o != out && (!l.unheard || rng.IntN(3) > 0) {
						members[o] = s.seen[o]
					}
				}
				if l.unconfirmed {
					members = nil
				}
				was := s.planner.next
				s.planner.Step(now, inputs(), members)
				if next := s.planner.next; next != nil && next != was {
					made++
					if l.direct && len(next.Reserved) > 0 {
						for m := range next.Reserved {
							next.Reserved[m] = []string{"large", "larger"}[rng.IntN(2)]
						}
					}
				}
				force, next := s.planner.Plans()
				s.known.Apply(s.since, PlanStatus{InForce: force, Next: next})
			}
			w := PlanStatus{Latest: s.known.Latest()}
			if s.planner != nil {
				w.InForce, w.Next = s.planner.Plans()
			}
			for _, o := range names {
				if o != n && o != out && rng.IntN(3) > 0 {
					post = append(post, letter{n, o, seats[o].life, w})
				}
			}
		}
		for range rng.IntN(8) { // in order between two, late among all
			if len(post) == 0 {
				break
			}
			at := rng.IntN(len(post))
			at = slices.IndexFunc(post, func(x letter) bool { return x.from == post[at].from && x.to == post[at].to })
			x := post[at]
			post = slices.Delete(post, at, at+1)
			s := seats[x.to]
			if s.life != x.life || x.to == out {
				continue
			}
			s.seen[x.from] = x.word.Latest
			if x.from == s.owner {
				s.known.Apply(s.since, x.word)
			}
		}
		switch rng.IntN(120) {
		case 0:
			owner, since = names[rng.IntN(3)], since+1
			if owner == out {
				out = ""
			}
		case 1:
			n := names[rng.IntN(3)]
			life := seats[n].life + 1
			seats[n] = &seat{name: n, life: life, owner: owner, since: since, seen: map[string]ID{}}
			if n == owner { // nobody owns through its end
				owner, since = names[rng.IntN(3)], since+1
			}
		case 2:
			if out == "" {
				if n := names[rng.IntN(3)]; n != owner { // once its lease has ended it places nothing
					out = n
					seats[n].known = PlanState{}
					seats[n].life++
				}
			} else {
				out = ""
			}
		}
		for i, n := range names {
			for _, o := range names[i+1:] {
				if seats[n].known.InForce().ConflictsWith(seats[o].known.InForce()) {
					return fmt.Sprintf("step %d: %s acts on %+v, %s on %+v", step, n, seats[n].known.InForce(), o, seats[o].known.InForce()), made
				}
			}
		}
	}
	return "", made
}

// TestPlansNeverConflict: whatever is late, lost, restarted or changes hands, no two
// controllers hold a machine for different classes; and plans go on being made.
func TestPlansNeverConflict(t *testing.T) {
	made := uint64(0)
	for seed := range uint64(60) {
		broken, n := playPlans(seed, lapses{})
		if broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
		made += n
	}
	if made < 1000 {
		t.Fatalf("%d plans are too few to show anything", made)
	}
	for name, l := range map[string]lapses{
		"a plan is in force before all have heard of it":         {unconfirmed: true},
		"who is not heard is passed over":                        {unheard: true},
		"a machine passes from one class to another in one plan": {direct: true},
		"a new owner of the fleet begins with plans of its own":  {afresh: true},
	} {
		caught := false
		for seed := uint64(0); seed < 200 && !caught; seed++ {
			broken, _ := playPlans(seed, l)
			caught = broken != ""
		}
		if !caught {
			t.Errorf("not caught: %s", name)
		}
	}
}

// crowd plays a crowd of small urgent tasks over large ones of lower priority on a few machines,
// placed strictly by priority but for the plan, and gives how long the large ones were under
// their floor at a time, after the plan had time to work.
func crowd(seed uint64, floors, reservations bool) (under time.Duration, ran, all int) {
	rng := rand.New(rand.NewPCG(seed, 5))
	type task struct {
		class string
		cpus  float64
		ends  time.Time
	}
	const machines, size = 12, 32.0
	on := make([][]task, machines)
	large, small := Key{"t", "large"}, Key{"t", "small"}
	agreed := &PlanState{}
	planner := NewPlanner(1, agreed)
	w := &Weights{FloorShare: 0.5, FloorAfter: 20 * time.Second}
	now := time.Unix(1000, 0)
	began := now
	var since time.Time
	for range 3000 {
		now = now.Add(100 * time.Millisecond)
		free := make([]float64, machines)
		held := map[Key]float64{}
		in := &Inputs{Teams: map[string]Quota{"t": {Guaranteed: 100, Limit: 1000}}, Weights: w}
		for i := range on {
			on[i] = slices.DeleteFunc(on[i], func(x task) bool { return !now.Before(x.ends) })
			free[i] = size
			left := 0.0
			for _, x := range on[i] {
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
		force, next := planner.Plans()
		agreed.Apply(1, PlanStatus{InForce: force, Next: next})
		plan := agreed.InForce()
		start := func(k Key, cpus, most float64) {
			for i := range on {
				class := plan.ReservedClass(fmt.Sprint(i))
				if !reservations {
					class = ""
				}
				for free[i] >= cpus && most >= cpus && (class == "" || class == k.Class) {
					on[i] = append(on[i], task{k.Class, cpus, now.Add(time.Duration(5000+rng.IntN(35000)) * time.Millisecond)})
					free[i], most = free[i]-cpus, most-cpus
					held[k] += cpus
					ran++
				}
			}
		}
		start(large, 16, plan.Floor(large)-held[large])
		start(small, 4, math.Inf(1))
		start(large, 16, math.Inf(1))
		// Two tasks less than due: one is about to start, one does not fit evenly.
		due := Floors(machines*size, in.Demands, in.Teams, w)[0].Floor - 32
		switch {
		case held[large] >= due || now.Sub(began) < w.FloorAfter+45*time.Second:
			since = time.Time{}
		case since.IsZero():
			since = now
		default:
			under = max(under, now.Sub(since))
		}
	}
	return under, ran, 0
}

// TestFloorHolds: however urgent the rest, what is due to a class is not kept from it for
// longer than the plan's patience and what runs on the machines held for it; without floors, or
// without machines held for large tasks, it gets nothing for minutes.
func TestFloorHolds(t *testing.T) {
	for seed := range uint64(10) {
		if under, ran, _ := crowd(seed, true, true); under > 15*time.Second || ran == 0 {
			t.Errorf("seed %d: under its floor for %s", seed, under)
		}
	}
	for name, x := range map[string][2]bool{"no floors": {false, true}, "no machines held": {true, false}} {
		if under, _, _ := crowd(1, x[0], x[1]); under < time.Minute {
			t.Errorf("%s: under its floor for %s only", name, under)
		}
	}
}
