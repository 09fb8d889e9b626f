package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRateLimiter: while one team floods the system, another team's submissions are admitted up to its share, retries
// of rejected jobs have precedence over new submissions, no retry is requested after userTimeout, and unused shares go
// to the other team.
func TestRateLimiter(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		limiter := NewRateLimiter(RateLimits{MaxWait: 1500 * time.Millisecond, MaxRejections: 3000})
		const rate = 10.0
		flood, quiet := Key{"flood", "c"}, Key{"quiet", "c"}
		queue := 0.0
		admitted, asked := map[Key]int{}, map[Key]int{}
		type user struct {
			k     Key
			uid   string
			first time.Time
		}
		retries := map[int64][]user{}
		now := time.Unix(1000, 0)
		givenUp, overtook, returned := map[Key]int{}, 0, 0
		for i := range 6000 {
			now = now.Add(20 * time.Millisecond)
			queue = max(0, queue-rate*0.02)
			list := retries[int64(i)]
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
				ok, retryAfter := limiter.Admit(u.k, u.uid, time.Duration(queue/rate*float64(time.Second)), rate, now)
				if ok {
					if u.first.Equal(now) && queue > 0.75*rate+1 && u.k == flood {
						overtook++
					} else if !u.first.Equal(now) {
						returned++
					}
					admitted[u.k]++
					queue++
					continue
				}
				if retryAfter < time.Second || now.Add(retryAfter).Sub(u.first) > userTimeout {
					t.Fatalf("seed %d: asked to retry after %s, %s after the first attempt", seed, retryAfter, now.Sub(u.first))
				}
				if now.Sub(u.first) > 55*time.Second {
					givenUp[u.k]++
					continue
				}
				next := int64(i) + int64(retryAfter/(20*time.Millisecond))
				retries[next] = append(retries[next], u)
			}
			if queue > rate*1.5+1.001 {
				t.Fatalf("seed %d: %g submissions queued", seed, queue)
			}
			if limiter.Rejected() > 3000 {
				t.Fatalf("seed %d: %d rejections remembered", seed, limiter.Rejected())
			}
		}
		if givenUp[quiet] > 0 || admitted[quiet] < asked[quiet]*9/10 {
			t.Errorf("seed %d: of a team below its share, %d of %d submissions were admitted, %d given up", seed, admitted[quiet], asked[quiet], givenUp[quiet])
		}
		if overtook*10 > returned {
			t.Errorf("seed %d: %d new submissions were admitted while the queue was long, %d retries", seed, overtook, returned)
		}
		if total := admitted[quiet] + admitted[flood]; float64(total) < 0.85*rate*120 {
			t.Errorf("seed %d: %d admitted in total, the capacity was %g", seed, total, rate*120)
		}
	}
}
