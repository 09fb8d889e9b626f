package leadership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulateConflicts simulates members that each want to write one change of a record. Only one write succeeds at a
// time; it takes a while, and an attempt that began before the last write completed is rejected. It returns the number
// of rejected attempts and the time of the last write.
func simulateConflicts(seed uint64, members int, backoff bool) (refused int, end time.Duration) {
	const (
		write = 10 * time.Millisecond
		retry = 100 * time.Millisecond // from a rejected attempt to the next one, without the backoff
	)
	rng := rand.New(rand.NewPCG(seed, 3))
	next, waits := make([]time.Duration, members), make([]Backoff, members)
	written, open := time.Duration(0), members
	for now := time.Duration(0); open > 0 && now < 10*time.Minute; now += time.Millisecond {
		for i := range members {
			if next[i] != now {
				continue
			}
			if now < written { // the record that it read is outdated when its write arrives
				refused++
				wait := retry
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

// TestBackoffSpreadsManyMembers guards that, with the backoff, 46 members cause at most a third of the conflicts and
// all write within 10 s.
func TestBackoffSpreadsManyMembers(t *testing.T) {
	var with, without int
	var last time.Duration
	for seed := range uint64(50) {
		refused, end := simulateConflicts(seed, 46, true)
		with += refused
		last = max(last, end)
		refused, _ = simulateConflicts(seed, 46, false)
		without += refused
	}
	t.Logf("%d conflicts with, %d without, the last written after %s", with/50, without/50, last)
	if with*3 > without || last > 10*time.Second {
		t.Fail()
	}
}

// TestSmallGroupsDoNotWait guards that three controllers retry as soon as they know the next record.
func TestSmallGroupsDoNotWait(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var b Backoff
	for range 10 {
		if wait := b.Conflict(rng, 3); wait != 0 {
			t.Fatalf("waits %s", wait)
		}
	}
}

// TestBackoffIsBounded guards that the wait after consecutive conflicts is bounded and that a successful write resets
// it.
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
