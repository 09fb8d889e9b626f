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
				CPUs: float64(rng.IntN(9)), Memory: float64(rng.IntN(9)), Price: float64(rng.IntN(3)), Fetch: float64(rng.IntN(2)), Images: map[string]bool{"a": rng.IntN(2) == 0}})
		}
		ask := &Ask{CPUs: float64(1 + rng.IntN(4)), Memory: float64(rng.IntN(4)), Zone: rng.IntN(3) - 1, Spot: rng.IntN(2) == 0, Image: "a", ImageGB: float64(rng.IntN(9)), Run: float64(rng.IntN(9))}
		if rng.IntN(2) == 0 {
			ask.Types = []int{rng.IntN(3)}
		}
		possible := func(h *Host) bool {
			return h.CPUs >= ask.CPUs && h.Memory >= ask.Memory && (ask.Zone < 0 || ask.Zone == h.Zone) &&
				(!h.Spot || ask.Spot) && (ask.Types == nil || ask.Types[0] == h.Type) && h.Name != "m03"
		}
		// What it costs there, then what is left, then the name.
		value := func(h *Host) []float64 {
			seconds := max(1, ask.Run)
			if h.Fetch == 1 && !h.Images["a"] {
				seconds += ask.ImageGB
			}
			return []float64{h.Price * seconds, h.CPUs}
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
