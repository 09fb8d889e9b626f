package leadership

import (
	"testing"
	"time"
)

// TestUnansweredChange guards that an unanswered change stays open until a later version is known, and that a
// controller with an open change makes no promise.
func TestUnansweredChange(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newMemberState(now.Add(-time.Minute))
	if !s.TryPromise(now, true) {
		t.Fatal("makes no promise though its lease is not being renewed")
	}
	if s.PromisedUntil() != now.Add(PromiseDuration) {
		t.Errorf("promised until %v", s.PromisedUntil())
	}
	if s.TryPromise(now, false) {
		t.Error("makes a promise though it does not trust the state service")
	}
	s.ChangeSent()
	if s.TryPromise(now, true) {
		t.Error("makes a promise while a change is pending")
	}
	s.ChangeUnanswered(7)
	if s.TryPromise(now, true) {
		t.Error("makes a promise while an unanswered change may still be applied")
	}
	s.Adopt(s.Record().Clone(), 8, now)
	if !s.TryPromise(now, true) {
		t.Error("makes no promise though the unanswered change can only fail")
	}
	s.LeaseRenewed(now)
	if s.TryPromise(now, true) {
		t.Error("makes a promise though its lease was just renewed")
	}
}
