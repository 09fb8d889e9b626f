package leadership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// rounds plays members that each want one change of a record, one write at a time; a write takes a time, and whoever
// began before the last one was written is refused. It gives how many tries were refused, and when the last one was
// written.
func rounds(seed uint64, members int, backoff bool) (refused int, end time.Duration) {
	const (
		write = 10 * time.Millisecond
		look  = 100 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(seed, 3))
	next, waits := make([]time.Duration, members), make([]Backoff, members)
	written, open := time.Duration(0), members
	for now := time.Duration(0); open > 0 && now < 10*time.Minute; now += time.Millisecond {
		for i := range members {
			if next[i] != now {
				continue
			}
			if now < written { // what it goes by is out of date when its write arrives
				refused++
				wait := look
				if backoff {
					wait += waits[i].Conflict(rng, members)
				}
				next[i] = now + wait.Truncate(time.Millisecond)
				continue
			}
			written, end = now+write, now+write
			next[i] = -1
			open--
		}
	}
	return refused, end
}

// TestBackoffSpreadsManyMembers: 46 members are through with fewer conflicts, and nobody waits for ever.
func TestBackoffSpreadsManyMembers(t *testing.T) {
	var with, without int
	var last time.Duration
	for seed := range uint64(50) {
		refused, end := rounds(seed, 46, true)
		with += refused
		last = max(last, end)
		refused, _ = rounds(seed, 46, false)
		without += refused
	}
	t.Logf("%d conflicts with, %d without, the last written after %s", with/50, without/50, last)
	if with*3 > without || last > 10*time.Second {
		t.Fail()
	}
}

// TestSmallGroupsDoNotWait: three controllers change the record as soon as they see the next one.
func TestSmallGroupsDoNotWait(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var b Backoff
	for range 10 {
		if wait := b.Conflict(rng, 3); wait != 0 {
			t.Fatalf("waits %s", wait)
		}
	}
}

// TestBackoffIsBounded: conflicts in a row do not make it wait without end, and a write ends the row.
func TestBackoffIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var b Backoff
	most := time.Duration(46-smallGroup) * waitPerMember
	for range 100 {
		if wait := b.Conflict(rng, 46); wait >= most<<maxDoublings {
			t.Fatalf("waits %s", wait)
		}
	}
	b.Written()
	if wait := b.Conflict(rng, 46); wait >= most {
		t.Errorf("waits %s after a write", wait)
	}
}
