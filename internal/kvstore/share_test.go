package kvstore

import (
	"math/rand/v2"
	"testing"
)

// TestShares: for any demands, the controllers together stay within the rate, none gets less than the equal share, and
// a single controller with more demand gets most of what the others leave. It guards against an owner that must write
// the ends of many small jobs of a team with only an equal share, while others have changes to spare.
func TestShares(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 8))
		equal := 1 + 20*rng.Float64()
		demands := make([]float64, 1+rng.IntN(5))
		for i := range demands {
			demands[i] = 3 * equal * rng.Float64()
		}
		total := 0.0
		for i, own := range demands {
			var others []float64
			for j, demand := range demands {
				if j != i && rng.IntN(4) == 0 {
					demand = -1 // unknown: it may use its equal share
				}
				if j != i {
					others = append(others, demand)
				}
			}
			got := fairShare(equal, others)
			if got < equal {
				t.Fatalf("seed %d: %g is less than the equal share of %g", seed, got, equal)
			}
			if own > equal { // with all demands known it gets at least as much as with some unknown
				total += fairShare(equal, without(demands, i))
			} else {
				total += own
			}
		}
		if limit := equal * float64(len(demands)); total > limit+1e-9 {
			t.Fatalf("seed %d: %g changes per second in total, limit %g, demands %v", seed, total, limit, demands)
		}
	}
	if got := fairShare(10, []float64{2, 0}); got < 20 {
		t.Errorf("%g of 30 changes per second for the only controller with more demand, want at least 20", got)
	}
}

// without returns the list without element i.
func without(list []float64, i int) (rest []float64) {
	for j, x := range list {
		if j != i {
			rest = append(rest, x)
		}
	}
	return rest
}

// TestUrgentUpdatesFirst: urgent updates, for which users wait, are queued before others, and updates of the same kind
// keep their order. It guards against acceptances and cancellations that take seconds behind the ends of hundreds of
// small jobs.
func TestUrgentUpdatesFirst(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 9))
	var waiting queues
	position := map[*queuedUpdate]int{}
	for i := range 200 {
		p := &queuedUpdate{Update: Update{Urgent: rng.IntN(3) == 0}}
		p.Deferrable = !p.Urgent && rng.IntN(3) == 0
		position[p] = i
		waiting.add(p)
	}
	normal, deferrable := waiting.normal, waiting.deferrable
	if len(normal)+len(deferrable) != 200 || len(deferrable) == 0 {
		t.Fatalf("%d normal and %d deferrable updates of 200", len(normal), len(deferrable))
	}
	for i := range normal[1:] {
		p, q := normal[i], normal[i+1]
		if (!p.Urgent && q.Urgent) || (p.Urgent == q.Urgent && position[p] > position[q]) || p.Deferrable || q.Deferrable {
			t.Fatalf("update %d is before update %d in the queue", position[p], position[q])
		}
	}
}
