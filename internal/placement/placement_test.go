package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestChooseModel compares the choice over a full sample with an exhaustive best
// fit, and any sampled choice with what is allowed.
func TestChooseModel(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var hosts []*Host
		for i := range 1 + rng.IntN(20) {
			hosts = append(hosts, &Host{Name: fmt.Sprintf("m%02d", i), Type: rng.IntN(3), Zone: rng.IntN(2), Spot: rng.IntN(2) == 0,
				CPUs: float64(rng.IntN(9)), MemoryGB: float64(rng.IntN(9)), PricePerHour: float64(rng.IntN(3)), FetchGBPerSecond: float64(rng.IntN(2)), Images: map[string]bool{"a": rng.IntN(2) == 0}})
		}
		ask := &Request{CPUs: float64(1 + rng.IntN(4)), MemoryGB: float64(rng.IntN(4)), Zone: rng.IntN(3) - 1, Spot: rng.IntN(2) == 0, Image: "a", ImageGB: float64(rng.IntN(9)), RunSeconds: float64(rng.IntN(9))}
		if rng.IntN(2) == 0 {
			ask.Types = []int{rng.IntN(3)}
		}
		possible := func(h *Host) bool {
			return h.CPUs >= ask.CPUs && h.MemoryGB >= ask.MemoryGB && (ask.Zone < 0 || ask.Zone == h.Zone) &&
				(!h.Spot || ask.Spot) && (ask.Types == nil || ask.Types[0] == h.Type) && h.Name != "m03"
		}
		// What it costs there, then what is left, then the name.
		value := func(h *Host) []float64 {
			seconds := max(1, ask.RunSeconds)
			if h.FetchGBPerSecond == 1 && !h.Images["a"] {
				seconds += ask.ImageGB
			}
			return []float64{h.PricePerHour * seconds, h.CPUs}
		}
		var best *Host
		for _, h := range hosts { // in order of their names
			if possible(h) && (best == nil || slices.Compare(value(h), value(best)) < 0) {
				best = h
			}
		}
		skip := func(h *Host) bool { return h.Name == "m03" }
		if got := Choose(rng, hosts, ask, len(hosts), skip); got != best {
			t.Fatalf("seed %d: chose %v, best is %v", seed, got, best)
		}
		if got := Choose(rng, hosts, ask, 2, skip); (got == nil) != (best == nil) || (got != nil && !possible(got)) {
			t.Fatalf("seed %d: sample chose %v", seed, got)
		}
	}
}

// TestReservedHosts: a host that is held for a class takes others only after they have waited, and only what no task of that class
// could use.
func TestReservedHosts(t *testing.T) {
	for _, c := range []struct {
		name string
		host Host
		ask  Request
		want bool
	}{
		{"not held", Host{}, Request{Class: "b"}, true},
		{"its class", Host{ReservedClass: "a"}, Request{Class: "a"}, true},
		{"another class", Host{ReservedClass: "a", CPUs: 2, SmallestReserved: Resources{CPUs: 4}}, Request{Class: "b"}, false},
		{"one that waited", Host{ReservedClass: "a", CPUs: 2, SmallestReserved: Resources{CPUs: 4}}, Request{Class: "b", MayUseLeftover: true}, true},
		{"too little memory for the class", Host{ReservedClass: "a", CPUs: 8, MemoryGB: 1, SmallestReserved: Resources{CPUs: 4, MemoryGB: 2}}, Request{Class: "b", MayUseLeftover: true}, true},
		{"room that the class could use", Host{ReservedClass: "a", CPUs: 4, MemoryGB: 2, SmallestReserved: Resources{CPUs: 4, MemoryGB: 2}}, Request{Class: "b", MayUseLeftover: true}, false},
		{"nobody knows what the class needs", Host{ReservedClass: "a", CPUs: 2}, Request{Class: "b", MayUseLeftover: true}, false},
	} {
		if got := c.ask.Allows(&c.host); got != c.want {
			t.Errorf("%s: allowed %v, want %v", c.name, got, c.want)
		}
	}
	waited, fresh := &Request{Class: "b", MayUseLeftover: true}, &Request{Class: "b"}
	if fresh.Exceeds(waited) || !waited.Exceeds(fresh) {
		t.Error("what a task that waited finds is taken for what a fresh one finds")
	}
}
