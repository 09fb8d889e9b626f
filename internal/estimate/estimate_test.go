package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// TestCorrection: on days on which estimates are mostly off one way, the error of
// what is expected of the next job must shrink; on days without bias it must not grow
// much. A night on which a third of the jobs took ten times as long, and one job of
// very many tasks, must not mislead it; a change of the bias is followed soon.
func TestCorrection(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 9))
	for _, x := range []struct {
		name    string
		bias    float64
		spoiled float64 // share of jobs that take ten times as long
		better  float64 // error afterwards, as part of the owners' own
	}{{"too low", 0.5, 0, 0.75}, {"too high", 2, 0, 0.75}, {"no bias", 1, 0, 1.1}, {"a night of trouble", 1, 0.3, 1.25}, {"both", 0.5, 0.25, 0.9}} {
		b := New()
		own, mine, count := 0.0, 0.0, 0
		for i := range 300 {
			uid := fmt.Sprint(i)
			actual := 40 * math.Exp(0.4*rng.NormFloat64())
			estimate := actual * x.bias * math.Exp(0.4*rng.NormFloat64())
			if i > 30 {
				own += math.Abs(math.Log(estimate / actual))
				mine += math.Abs(math.Log(b.Run(uid, "c", estimate) / actual))
				count++
			}
			took := actual
			if rng.Float64() < x.spoiled {
				took *= 10
			}
			tasks := 5
			if i%50 == 0 {
				tasks = 5000
			}
			for range tasks {
				b.Ran(uid, "c", estimate, took*(0.9+0.2*rng.Float64()))
			}
			if got := b.Run(uid, "c", estimate); got < took*0.9 || got > took*1.1 {
				t.Fatalf("%s: with its tasks done the rest of a job is expected to take %g s, not %g", x.name, got, took)
			}
			b.Forget(uid)
		}
		if mine > own*x.better {
			t.Errorf("%s: error %.3f, without correction %.3f", x.name, mine/float64(count), own/float64(count))
		}
	}
}

// TestSaysNothing: with nothing known, and of what has no estimate, the owner's word stands.
func TestSaysNothing(t *testing.T) {
	b := New()
	b.Ran("j", "c", 0, 10)
	b.Ran("k", "c", 10, math.NaN())
	b.Ran("k", "c", 10, -1)
	for estimate, class := range map[float64]string{0: "c", 30: "other", 20: "c"} {
		if got := b.Run("new", class, estimate); got != estimate {
			t.Errorf("%g s became %g", estimate, got)
		}
	}
	for i := range 40 { // absurd runs
		for range enough {
			b.Ran(fmt.Sprint(i), "c", 1, 1e9)
		}
	}
	if got := b.Run("new", "c", 10); got > 10*most+1e-6 {
		t.Errorf("corrected to %g s", got)
	}
}
