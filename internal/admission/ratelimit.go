package admission

import (
	"container/list"
	"math"
	"time"
)

// RateLimits bound a RateLimiter.
type RateLimits struct {
	MaxWait       time.Duration // longest queueing delay of an acceptance at the state service
	MaxRejections int           // maximum number of rejected jobs whose first attempt is remembered
}

// DefaultRateLimits leave time for the other steps of a user's request, which times out after 5 s.
var DefaultRateLimits = RateLimits{MaxWait: 1500 * time.Millisecond, MaxRejections: 8192}

// userTimeout is how long a user retries a submission in total. maxRetryDelay is the longest retry delay that a
// rejection asks for; it leaves the user time for another attempt after that retry.
const (
	userTimeout   = 60 * time.Second
	maxRetryDelay = 20 * time.Second
)

// RateLimiter decides which submissions are admitted when more arrive than the state service can accept. Every key with
// recent submissions has a token bucket with an equal share of the store's rate; a key with a full bucket leaves its
// share to the others. A retry of a rejected job has precedence over new submissions of its key, so that later ones do
// not overtake it.
type RateLimiter struct {
	limits          RateLimits
	rate            float64 // acceptances per second that the state service has capacity for
	updatedAt       time.Time
	tokens          map[Key]float64
	lastAsked       map[Key]time.Time
	rejected        map[string]*list.Element // elements of rejections, by job
	rejections      *list.List               // of *rejection, ordered by first attempt
	expectedRetries map[Key]map[int64]int    // number of rejected jobs, by the second of their retry
}

// rejection is a rejected job that may be submitted again.
type rejection struct {
	key     Key
	uid     string
	firstAt time.Time // when it was first submitted
	retryAt time.Time // when its user was asked to retry
}

// NewRateLimiter returns a rate limiter that has not rejected any job.
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

// Rejected returns the number of rejected jobs that may be submitted again.
func (l *RateLimiter) Rejected() int { return l.rejections.Len() }

// Admit reports whether a submission is admitted and, if not, after what time to retry. wait is the present queueing
// delay of an acceptance at the state service, and rate the number of acceptances per second.
func (l *RateLimiter) Admit(k Key, uid string, wait time.Duration, rate float64, now time.Time) (admitted bool, retryAfter time.Duration) {
	l.refill(now, rate)
	l.lastAsked[k] = now
	if _, ok := l.tokens[k]; !ok {
		l.tokens[k] = 1
	}
	busy := wait > l.limits.MaxWait/2
	e := l.rejected[uid]
	if wait <= l.limits.MaxWait && (!busy || l.tokens[k] >= l.tokensNeeded(k, e != nil, now)) {
		if busy {
			l.tokens[k] = max(0, l.tokens[k]-1)
		}
		if e != nil {
			l.forget(e)
		}
		return true, 0
	}
	return false, l.reject(k, uid, wait, now)
}

// tokensNeeded returns how many tokens a key must have for a job to be admitted. For a new job these include the tokens
// reserved for the retries that are due now.
func (l *RateLimiter) tokensNeeded(k Key, rejectedBefore bool, now time.Time) float64 {
	if rejectedBefore {
		return 1
	}
	needed := 1.0
	for s := now.Unix() - 1; s <= now.Unix()+1; s++ {
		needed += float64(l.expectedRetries[k][s])
	}
	return min(needed, l.burst())
}

// reject remembers a rejected job and returns its retry delay: the time until the queue has drained to half of MaxWait
// and all remembered rejections have been admitted, but at most maxRetryDelay and 5 s less than what is left of
// userTimeout.
func (l *RateLimiter) reject(k Key, uid string, wait time.Duration, now time.Time) time.Duration {
	e := l.rejected[uid]
	if e == nil {
		for l.rejections.Len() >= l.limits.MaxRejections {
			l.forget(l.rejections.Front())
		}
		e = l.rejections.PushBack(&rejection{key: k, uid: uid, firstAt: now})
		l.rejected[uid] = e
	}
	r := e.Value.(*rejection)
	behind := wait - l.limits.MaxWait/2 + time.Duration(float64(l.rejections.Len())/math.Max(l.rate, 0.1)*float64(time.Second))
	delay := min(behind, maxRetryDelay, userTimeout-now.Sub(r.firstAt)-5*time.Second).Truncate(time.Second)
	delay = max(delay, time.Second)
	l.countRetry(r, -1)
	r.retryAt = now.Add(delay)
	l.countRetry(r, 1)
	return delay
}

// refill adds each active key's share of the tokens for the time since the last call, and forgets idle keys and
// rejected jobs that were not submitted again.
func (l *RateLimiter) refill(now time.Time, rate float64) {
	l.rate = rate
	for k, at := range l.lastAsked {
		if now.Sub(at) > 5*time.Second {
			delete(l.lastAsked, k)
			delete(l.tokens, k)
		}
	}
	if passed := now.Sub(l.updatedAt).Seconds(); !l.updatedAt.IsZero() && passed > 0 {
		share := rate * min(passed, 5) / math.Max(1, float64(len(l.lastAsked)))
		for k := range l.tokens {
			l.tokens[k] = min(l.tokens[k]+share, l.burst())
		}
	}
	l.updatedAt = now
	for e := l.rejections.Front(); e != nil && now.Sub(e.Value.(*rejection).firstAt) > userTimeout+10*time.Second; e = l.rejections.Front() {
		l.forget(e)
	}
}

// countRetry adds n, which is 1 or -1, to the retries expected in the second of the rejection's retry.
func (l *RateLimiter) countRetry(r *rejection, n int) {
	if r.retryAt.IsZero() {
		return
	}
	at := l.expectedRetries[r.key]
	if at == nil {
		at = map[int64]int{}
		l.expectedRetries[r.key] = at
	}
	s := r.retryAt.Unix()
	if at[s] += n; at[s] <= 0 {
		if delete(at, s); len(at) == 0 {
			delete(l.expectedRetries, r.key)
		}
	}
}

// burst returns the capacity of a key's token bucket: its share of one second, but at least two tokens.
func (l *RateLimiter) burst() float64 {
	return math.Max(2, l.rate/math.Max(1, float64(len(l.lastAsked))))
}

// forget removes a rejected job.
func (l *RateLimiter) forget(e *list.Element) {
	r := e.Value.(*rejection)
	delete(l.rejected, r.uid)
	l.countRetry(r, -1)
	l.rejections.Remove(e)
}
