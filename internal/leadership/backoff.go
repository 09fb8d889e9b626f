package leadership

import (
	"math/rand/v2"
	"time"
)

// How long controllers wait after a conflict.
const (
	smallGroup    = 3                     // members that conflict too rarely to wait at all
	waitPerMember = 10 * time.Millisecond // about what one write of the record and its way to all members takes
	maxDoublings  = 3
)

// Backoff spreads the changes that many members want to make of the one record at the same time. Without it all of them
// try again at once when one was written, and one succeeds while the others work in vain. The zero value has seen no
// conflict.
type Backoff struct {
	conflicts int // in a row
}

// Written notes that a change was written: it ends a row of conflicts.
func (b *Backoff) Written() { b.conflicts = 0 }

// Conflict takes in a conflict, and gives how long to wait before the next try: a drawn part of a time for each further
// member of the group, doubled with each conflict in a row. Small groups do not wait.
func (b *Backoff) Conflict(rng *rand.Rand, members int) time.Duration {
	if members <= smallGroup {
		return 0
	}
	spread := time.Duration(members-smallGroup) * waitPerMember << min(b.conflicts, maxDoublings)
	b.conflicts++
	return time.Duration(rng.Int64N(int64(spread)))
}
