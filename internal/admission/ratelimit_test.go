package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRateLimiter: one team floods. What another one hands in is taken at its share, refused jobs come
// before later ones, nobody is asked to come back after its patience, and what one leaves
// the other gets.
func TestRateLimiter(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		d := NewRateLimiter(RateLimits{MaxWait: 1500 * time.Millisecond, MaxRejections: 3000})
		const rate = 10.0
		flood, quiet := Key{"flood", "c"}, Key{"quiet", "c"}
		queue := 0.0
		taken, asked := map[Key]int{}, map[Key]int{}
		type user struct {
			k     Key
			uid   string
			first time.Time
		}
		at := map[int64][]user{}
		now := time.Unix(1000, 0)
		lost, passed, returned := map[Key]int{}, 0, 0
		for i := range 6000 {
			now = now.Add(20 * time.Millisecond)
			queue = max(0, queue-rate*0.02)
			list := at[int64(i)]
			if rng.Float64() < 0.8 {
				list = append(list, user{flood, fmt.Sprint("f", i), now})
			}
			if rng.Float64() < 0.06 {
				list = append(list, user{quiet, fmt.Sprint("q", i), now})
			}
			for _, u := range list {
				if u.first.Equal(now) {
					asked[u.k]++
				}
				ok, back := d.Admit(u.k, u.uid, time.Duration(queue/rate*float64(time.Second)), rate, now)
				if ok {
					if u.first.Equal(now) && queue > 0.75*rate+1 && u.k == flood {
						passed++
					} else if !u.first.Equal(now) {
						returned++
					}
					taken[u.k]++
					queue++
					continue
				}
				if back < time.Second || now.Add(back).Sub(u.first) > userTimeout {
					t.Fatalf("seed %d: asked to come back after %s, %s after the first try", seed, back, now.Sub(u.first))
				}
				if now.Sub(u.first) > 55*time.Second {
					lost[u.k]++
					continue
				}
				next := int64(i) + int64(back/(20*time.Millisecond))
				at[next] = append(at[next], u)
			}
			if queue > rate*1.5+1.001 {
				t.Fatalf("seed %d: %g wait", seed, queue)
			}
			if d.Rejected() > 3000 {
				t.Fatalf("seed %d: %d remembered", seed, d.Rejected())
			}
		}
		if lost[quiet] > 0 || taken[quiet] < asked[quiet]*9/10 {
			t.Errorf("seed %d: %d of %d taken of one that asks for less than its share, %d given up", seed, taken[quiet], asked[quiet], lost[quiet])
		}
		if passed*10 > returned {
			t.Errorf("seed %d: %d were taken before %d that had been refused", seed, passed, returned)
		}
		if total := taken[quiet] + taken[flood]; float64(total) < 0.85*rate*120 {
			t.Errorf("seed %d: %d taken in all, though %g could have been", seed, total, rate*120)
		}
	}
}
