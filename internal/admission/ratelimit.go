package admission

import (
	"container/list"
	"math"
	"time"
)

// RateLimits bound a RateLimiter.
type RateLimits struct {
	MaxWait       time.Duration // that an acceptance may take at the state service
	MaxRejections int           // refused jobs whose first try is remembered
}

// DefaultRateLimits leave a user's try, which lasts 5 s, time for the rest.
var DefaultRateLimits = RateLimits{MaxWait: 1500 * time.Millisecond, MaxRejections: 8192}

// A user tries for userTimeout in all. maxRetryDelay is the longest delay that is asked for: who comes back then still
// has a try left after it.
const (
	userTimeout   = 60 * time.Second
	maxRetryDelay = 20 * time.Second
)

// RateLimiter decides which submissions are admitted when more come than the state service can take. Every key that
// asks has a token bucket with the same share of what it takes; what one leaves goes to the others. A job that was
// rejected before goes first when it comes back, so that it does not lose to later ones.
type RateLimiter struct {
	limits          RateLimits
	rate            float64 // acceptances a second that the state service has room for
	updatedAt       time.Time
	tokens          map[Key]float64
	lastAsked       map[Key]time.Time
	rejected        map[string]*list.Element // by job
	rejections      *list.List               // of tries, oldest first
	expectedRetries map[Key]map[int64]int    // refused jobs by the second in which they are to come back
}

type rejection struct {
	key     Key
	uid     string
	firstAt time.Time
	retryAt time.Time // when it was asked to come back
}

// NewRateLimiter makes one that has rejected nobody.
func NewRateLimiter(l RateLimits) *RateLimiter {
	return &RateLimiter{
		limits:          l,
		tokens:          map[Key]float64{},
		lastAsked:       map[Key]time.Time{},
		rejected:        map[string]*list.Element{},
		rejections:      list.New(),
		expectedRetries: map[Key]map[int64]int{},
	}
}

// Rejected counts the refused jobs that may come back.
func (d *RateLimiter) Rejected() int { return d.rejections.Len() }

// Admit says whether a submission is taken; if not, when to come back. wait is what an
// acceptance takes at the state service by what is queued there, and rate how many it takes a
// second.
func (d *RateLimiter) Admit(k Key, uid string, wait time.Duration, rate float64, now time.Time) (taken bool, retryAfter time.Duration) {
	d.refill(now, rate)
	d.lastAsked[k] = now
	if _, ok := d.tokens[k]; !ok {
		d.tokens[k] = 1
	}
	busy := wait > d.limits.MaxWait/2
	e := d.rejected[uid]
	if wait <= d.limits.MaxWait && (!busy || d.tokens[k] >= d.tokensNeeded(k, e != nil, now)) {
		if busy {
			d.tokens[k] = max(0, d.tokens[k]-1)
		}
		if e != nil {
			d.forget(e)
		}
		return true, 0
	}
	return false, d.reject(k, uid, wait, now)
}

// tokensNeeded is how many tokens a key must have for a job to be admitted: what there is, is for the jobs that were
// rejected before and come back now.
func (d *RateLimiter) tokensNeeded(k Key, rejectedBefore bool, now time.Time) float64 {
	if rejectedBefore {
		return 1
	}
	needed := 1.0
	for s := now.Unix() - 1; s <= now.Unix()+1; s++ {
		needed += float64(d.expectedRetries[k][s])
	}
	return min(needed, d.burst())
}

// reject remembers a rejected job, and says after what time it is to come back: behind those that were rejected before,
// as long as the queue takes to empty, and their turn.
func (d *RateLimiter) reject(k Key, uid string, wait time.Duration, now time.Time) time.Duration {
	e := d.rejected[uid]
	if e == nil {
		for d.rejections.Len() >= d.limits.MaxRejections {
			d.forget(d.rejections.Front())
		}
		e = d.rejections.PushBack(&rejection{key: k, uid: uid, firstAt: now})
		d.rejected[uid] = e
	}
	r := e.Value.(*rejection)
	behind := wait - d.limits.MaxWait/2 + time.Duration(float64(d.rejections.Len())/math.Max(d.rate, 0.1)*float64(time.Second))
	delay := min(behind, maxRetryDelay, userTimeout-now.Sub(r.firstAt)-5*time.Second).Truncate(time.Second)
	delay = max(delay, time.Second)
	d.countRetry(r, -1)
	r.retryAt = now.Add(delay)
	d.countRetry(r, 1)
	return delay
}

// refill lets time go by: each key that asked of late gets its share of what was taken
// meanwhile, and who does not come back is forgotten.
func (d *RateLimiter) refill(now time.Time, rate float64) {
	d.rate = rate
	for k, at := range d.lastAsked {
		if now.Sub(at) > 5*time.Second {
			delete(d.lastAsked, k)
			delete(d.tokens, k)
		}
	}
	if passed := now.Sub(d.updatedAt).Seconds(); !d.updatedAt.IsZero() && passed > 0 {
		share := rate * min(passed, 5) / math.Max(1, float64(len(d.lastAsked)))
		for k := range d.tokens {
			d.tokens[k] = min(d.tokens[k]+share, d.burst())
		}
	}
	d.updatedAt = now
	for e := d.rejections.Front(); e != nil && now.Sub(e.Value.(*rejection).firstAt) > userTimeout+10*time.Second; e = d.rejections.Front() {
		d.forget(e)
	}
}

// countRetry counts when a refused job is to come back, or no longer.
func (d *RateLimiter) countRetry(t *rejection, n int) {
	if t.retryAt.IsZero() {
		return
	}
	at := d.expectedRetries[t.key]
	if at == nil {
		at = map[int64]int{}
		d.expectedRetries[t.key] = at
	}
	s := t.retryAt.Unix()
	if at[s] += n; at[s] <= 0 {
		if delete(at, s); len(at) == 0 {
			delete(d.expectedRetries, t.key)
		}
	}
}

// burst is what a key can have saved up: a second's share, and two at least.
func (d *RateLimiter) burst() float64 {
	return math.Max(2, d.rate/math.Max(1, float64(len(d.lastAsked))))
}

func (d *RateLimiter) forget(e *list.Element) {
	t := e.Value.(*rejection)
	delete(d.rejected, t.uid)
	d.countRetry(t, -1)
	d.rejections.Remove(e)
}
