package kvstore

import (
	"math/rand/v2"
	"testing"
)

// TestShares: the ends of one team's many small jobs are its owner's to write, and an
// even share of the rate was too little for them while others had changes to spare.
// Whatever is wanted, all together stay within the rate, nobody gets less than the
// even share, and who is alone in need gets most of what others leave.
func TestShares(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 8))
		even := 1 + 20*rng.Float64()
		wants := make([]float64, 1+rng.IntN(5))
		for i := range wants {
			wants[i] = 3 * even * rng.Float64()
		}
		total := 0.0
		for i, mine := range wants {
			var others []float64
			for j, w := range wants {
				if j != i && rng.IntN(4) == 0 {
					w = -1 // not heard of: it may want its even share
				}
				if j != i {
					others = append(others, w)
				}
			}
			got := fairShare(even, others)
			if got < even {
				t.Fatalf("seed %d: %g is less than the even share of %g", seed, got, even)
			}
			if mine > even { // alone in not hearing somebody it can only get less
				total += fairShare(even, without(wants, i))
			} else {
				total += mine
			}
		}
		if most := even * float64(len(wants)); total > most+1e-9 {
			t.Fatalf("seed %d: %g changes a second in all, %g allowed, wanted %v", seed, total, most, wants)
		}
	}
	if got := fairShare(10, []float64{2, 0}); got < 20 {
		t.Errorf("%g of 30 changes a second for the only one in need", got)
	}
}

func without(list []float64, i int) (rest []float64) {
	for j, x := range list {
		if j != i {
			rest = append(rest, x)
		}
	}
	return rest
}

// TestUsersGoFirst: a user waits for an acceptance or a withdrawal; behind the ends of
// hundreds of small jobs that took seconds. Among their kind updates keep their order.
func TestUsersGoFirst(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 9))
	var waiting queues
	came := map[*queuedUpdate]int{}
	for i := range 200 {
		p := &queuedUpdate{Update: Update{Urgent: rng.IntN(3) == 0}}
		p.Deferrable = !p.Urgent && rng.IntN(3) == 0
		came[p] = i
		waiting.add(p)
	}
	urgent, later := waiting.normal, waiting.deferrable
	if len(urgent)+len(later) != 200 || len(later) == 0 {
		t.Fatalf("%d and %d of 200", len(urgent), len(later))
	}
	for i := range urgent[1:] {
		p, q := urgent[i], urgent[i+1]
		if (!p.Urgent && q.Urgent) || (p.Urgent == q.Urgent && came[p] > came[q]) || p.Deferrable || q.Deferrable {
			t.Fatalf("update %d is before %d in the queue", came[p], came[q])
		}
	}
}
