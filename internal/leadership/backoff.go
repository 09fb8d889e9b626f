package leadership

import (
	"math/rand/v2"
	"time"
)

// How long controllers wait after a conflict.
const (
	quietGroup   = 3                     // members that conflict too rarely to wait at all
	waitAMember  = 10 * time.Millisecond // about what one write of the record and its way to all members takes
	mostDoubling = 3
)

// Backoff spreads the changes that many members want to make of the one record at the same time. Without it all of them try
// again at once when one was written, and one succeeds while the others work in vain. The zero value has seen no conflict.
type Backoff struct {
	refused int // in a row
}

// Written ends a row of conflicts.
func (b *Backoff) Written() { b.refused = 0 }

// Refused takes in a conflict, and gives how long to wait before the next try: a drawn part of a time for each further member
// of the group, doubled with each conflict in a row. Small groups do not wait.
func (b *Backoff) Refused(rng *rand.Rand, members int) time.Duration {
	if members <= quietGroup {
		return 0
	}
	spread := time.Duration(members-quietGroup) * waitAMember << min(b.refused, mostDoubling)
	b.refused++
	return time.Duration(rng.Int64N(int64(spread)))
}
