package leadership

import (
	"testing"
	"time"
)

// TestLeaseEndsEarly guards that a controller stops acting before the state service can expire its lease, whatever the
// clocks' drift, counted from before the renewal was sent.
func TestLeaseEndsEarly(t *testing.T) {
	l := Lease{TTL: 5 * time.Second, Margin: 250 * time.Millisecond}
	now := time.Unix(1000, 0)
	if l.Valid(now) {
		t.Fatal("valid before its first renewal")
	}
	l.Renewed(now)
	l.Renewed(now.Add(-time.Second)) // a late answer to an earlier renewal
	drifted := now.Add(5*time.Second - 5*time.Second/2000)
	if !l.Valid(now.Add(4*time.Second)) || l.Valid(drifted) {
		t.Fatal("the lease expires at the wrong time")
	}
	l.Lost()
	if l.Valid(now) {
		t.Fatal("valid after it was lost")
	}
}

// TestLeaseExpiredTooEarly guards that a lease that the state service does not know although it was just renewed counts
// as a sign of data loss.
func TestLeaseExpiredTooEarly(t *testing.T) {
	now := time.Unix(1000, 0)
	for after, want := range map[time.Duration]bool{time.Second: true, testTTL * 9 / 10: false, 2 * testTTL: false} {
		s := newMemberState(now)
		s.LeaseGranted(9)
		if got := s.LeaseExpired(now.Add(after)); got != want {
			t.Errorf("expired %v after its renewal: too early %v", after, got)
		}
		if s.LeaseID() != 0 || s.HoldsLease(now) {
			t.Error("an expired lease is still held")
		}
	}
}
