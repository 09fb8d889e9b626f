package topazhollow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/wire"
)

// TestArrangeModel compares the order of waiting jobs with an exhaustive search:
// served one after the other by all CPUs, no order within a class may have more
// jobs in time. Nothing is lost or doubled, and no class goes before a higher one.
func TestArrangeModel(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 8))
		cpus := float64(1 + rng.IntN(4))
		there := load{all: cpus + 3, busy: [wire.Ranks]float64{3: 3}} // the highest priority takes some
		classes := 1 + rng.IntN(2)
		var list []wish
		for i := range 1 + rng.IntN(6) {
			w := wish{spec: &wire.Submission{UID: fmt.Sprintf("job-%d", i), CPUs: 1, Estimate: float64(1 + rng.IntN(4)), Priority: "standard"},
				count: 1 + rng.IntN(5), latest: now.Add(time.Duration(rng.IntN(20)) * time.Second), submitted: now}
			if rng.IntN(classes) == 1 {
				w.spec.Priority = "high"
			}
			list = append(list, w)
		}
		// inTime counts the jobs whose last task starts in time.
		inTime := func(order []wish, ahead float64) (count int, work float64) {
			for _, w := range order {
				ahead += w.work()
				if ahead/cpus <= w.latest.Sub(now).Seconds() {
					count++
				}
			}
			return count, ahead
		}
		got := arrange(slices.Clone(list), there, now)
		seen := map[string]int{}
		for i, w := range got {
			seen[w.spec.UID]++
			if i > 0 && got[i-1].class(&w) > 0 {
				t.Fatalf("seed %d: %s goes before a higher class", seed, got[i-1].spec.UID)
			}
		}
		if len(got) != len(list) || len(seen) != len(list) {
			t.Fatalf("seed %d: %d of %d wishes", seed, len(got), len(list))
		}
		ahead := 0.0
		for _, priority := range []string{"high", "standard"} {
			var mine []wish
			for _, w := range got {
				if w.spec.Priority == priority {
					mine = append(mine, w)
				}
			}
			have, after := inTime(mine, ahead)
			best := 0
			var try func(k int)
			try = func(k int) {
				if k == len(mine) {
					count, _ := inTime(mine, ahead)
					best = max(best, count)
				}
				for i := k; i < len(mine); i++ {
					mine[k], mine[i] = mine[i], mine[k]
					try(k + 1)
					mine[k], mine[i] = mine[i], mine[k]
				}
			}
			try(0)
			if have != best {
				t.Fatalf("seed %d: %d %s jobs in time, %d could be", seed, have, priority, best)
			}
			ahead = after
		}
	}
}
