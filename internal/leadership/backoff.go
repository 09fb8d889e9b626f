package leadership

import (
	"math/rand/v2"
	"time"
)

// Parameters of the wait after a conflict.
const (
	smallGroup    = 3                     // up to this many members conflict too rarely to wait
	waitPerMember = 10 * time.Millisecond // about the time to write the record and propagate it to all members
	maxDoublings  = 3
)

// Backoff spreads out the changes that many members try to make to the one record at the same time. Without it, all of
// them retry as soon as one change is written, and only one succeeds. The zero value has seen no conflict.
type Backoff struct {
	conflicts int // consecutive
}

// Written records a successful write, which resets the count of consecutive conflicts.
func (b *Backoff) Written() { b.conflicts = 0 }

// Conflict records a conflict and returns how long to wait before the next attempt: a random part of an interval that
// grows with the members beyond smallGroup and doubles with each consecutive conflict. Small groups do not wait.
func (b *Backoff) Conflict(rng *rand.Rand, members int) time.Duration {
	if members <= smallGroup {
		return 0
	}
	spread := time.Duration(members-smallGroup) * waitPerMember << min(b.conflicts, maxDoublings)
	b.conflicts++
	return time.Duration(rng.Int64N(int64(spread)))
}
