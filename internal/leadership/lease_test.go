package leadership

import (
	"testing"
	"time"
)

// TestLeaseEndsEarly guards that a node stops before the state service can give
// its lease to others, whatever the clocks' drift, counted from before sending.
func TestLeaseEndsEarly(t *testing.T) {
	l := Lease{TTL: 5 * time.Second, Margin: 250 * time.Millisecond}
	now := time.Unix(1000, 0)
	if l.Valid(now) {
		t.Fatal("valid before it was taken")
	}
	l.Renewed(now)
	l.Renewed(now.Add(-time.Second)) // an older answer that came late
	drifted := now.Add(5*time.Second - 5*time.Second/2000)
	if !l.Valid(now.Add(4*time.Second)) || l.Valid(drifted) {
		t.Fatal("lease ends at the wrong time")
	}
	l.Lost()
	if l.Valid(now) {
		t.Fatal("valid after it was lost")
	}
}

// TestLeaseGoneTooEarly: a lease that the state service does not know though it was just renewed shows a loss.
func TestLeaseGoneTooEarly(t *testing.T) {
	now := time.Unix(1000, 0)
	for after, want := range map[time.Duration]bool{time.Second: true, testLife * 9 / 10: false, 2 * testLife: false} {
		s := leading(now)
		s.LeaseGranted(9)
		if got := s.LeaseExpired(now.Add(after)); got != want {
			t.Errorf("gone %v after its renewal: too early %v", after, got)
		}
		if s.LeaseID() != 0 || s.HoldsLease(now) {
			t.Error("a lease that is gone counts")
		}
	}
}
