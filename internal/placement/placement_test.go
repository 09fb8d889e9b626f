package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestChooseModel compares Choose over all hosts with an exhaustive search for the best fit, and checks that Choose
// over a sample returns a suitable host if there is one.
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
		// By cost, then free CPUs; the loop below breaks ties by name.
		value := func(h *Host) []float64 {
			seconds := max(1, ask.RunSeconds)
			if h.FetchGBPerSecond == 1 && !h.Images["a"] {
				seconds += ask.ImageGB
			}
			return []float64{h.PricePerHour * seconds, h.CPUs}
		}
		var best *Host
		for _, h := range hosts { // in name order
			if possible(h) && (best == nil || slices.Compare(value(h), value(best)) < 0) {
				best = h
			}
		}
		skip := func(h *Host) bool { return h.Name == "m03" }
		if got := Choose(rng, hosts, ask, len(hosts), skip); got != best {
			t.Fatalf("seed %d: chose %v, want %v", seed, got, best)
		}
		if got := Choose(rng, hosts, ask, 2, skip); (got == nil) != (best == nil) || (got != nil && !possible(got)) {
			t.Fatalf("seed %d: chose %v from a sample", seed, got)
		}
	}
}

// TestReservedHosts checks that a host that is reserved for a class admits other tasks only if they may use leftovers,
// and only while its free resources are too little for any waiting task of the class.
func TestReservedHosts(t *testing.T) {
	for _, c := range []struct {
		name string
		host Host
		ask  Request
		want bool
	}{
		{"not reserved", Host{}, Request{Class: "b"}, true},
		{"reserved class", Host{ReservedClass: "a"}, Request{Class: "a"}, true},
		{"another class", Host{ReservedClass: "a", CPUs: 2, SmallestReserved: Resources{CPUs: 4}}, Request{Class: "b"}, false},
		{"another class that may use leftovers", Host{ReservedClass: "a", CPUs: 2, SmallestReserved: Resources{CPUs: 4}}, Request{Class: "b", MayUseLeftover: true}, true},
		{"too little memory for the class", Host{ReservedClass: "a", CPUs: 8, MemoryGB: 1, SmallestReserved: Resources{CPUs: 4, MemoryGB: 2}}, Request{Class: "b", MayUseLeftover: true}, true},
		{"enough for the class", Host{ReservedClass: "a", CPUs: 4, MemoryGB: 2, SmallestReserved: Resources{CPUs: 4, MemoryGB: 2}}, Request{Class: "b", MayUseLeftover: true}, false},
		{"needs of the class unknown", Host{ReservedClass: "a", CPUs: 2}, Request{Class: "b", MayUseLeftover: true}, false},
	} {
		if got := c.ask.Allows(&c.host); got != c.want {
			t.Errorf("%s: allowed %v, want %v", c.name, got, c.want)
		}
	}
	leftover, regular := &Request{Class: "b", MayUseLeftover: true}, &Request{Class: "b"}
	if regular.Exceeds(leftover) || !leftover.Exceeds(regular) {
		t.Error("a request that may use leftovers must exceed one that may not, and not vice versa")
	}
}
