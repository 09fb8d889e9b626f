package kvstore

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Reaction of the rate of changes to a refusal by the service's own rate limit.
const (
	throttleFactor     = 0.5
	minThrottledShare  = 0.25 // of the equal share
	recoveredPerSecond = 0.02 // part of the full rate that is regained without a refusal
)

// throttle lowers the rate of changes when the service refuses transactions because of its rate, as when its limit has
// fallen, and raises it slowly back.
type throttle struct {
	writes    *rate.Limiter
	equalRate float64 // changes per second

	mu        sync.Mutex // guards what is below
	fullRate  float64    // changes per second without refusals
	factor    float64    // of fullRate; 1 without refusals
	changedAt time.Time  // when factor was last changed
	reducedAt time.Time
}

// newThrottle returns a throttle at the full rate.
func newThrottle(writes *rate.Limiter, equalRate float64) *throttle {
	return &throttle{writes: writes, equalRate: equalRate, fullRate: equalRate, factor: 1}
}

// setFullRate sets the rate without refusals.
func (t *throttle) setFullRate(fullRate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fullRate = fullRate
	t.apply()
}

// refused records that the service refused a transaction because of its rate. Of several transactions that were sent
// before the rate was reduced, only the first one counts.
func (t *throttle) refused(sentAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt.Before(t.reducedAt) {
		return
	}
	t.factor *= throttleFactor
	t.changedAt, t.reducedAt = now, now
	t.apply()
}

// accepted records that the service executed a transaction, and regains a part of the rate.
func (t *throttle) accepted(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.factor >= 1 {
		return
	}
	t.factor = min(1, t.factor+now.Sub(t.changedAt).Seconds()*recoveredPerSecond)
	t.changedAt = now
	t.apply()
}

// apply sets the limiter's rate. The caller holds the lock.
func (t *throttle) apply() {
	lowest := t.equalRate * minThrottledShare
	if t.fullRate > 0 {
		t.factor = max(t.factor, min(1, lowest/t.fullRate))
	}
	t.writes.SetLimit(rate.Limit(t.fullRate * t.factor))
}
