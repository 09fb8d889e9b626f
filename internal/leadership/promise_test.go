package leadership

import (
	"testing"
	"time"
)

// TestUnansweredChange: a change without an answer stays open until a later version is known, and a controller that
// has one promises nothing.
func TestUnansweredChange(t *testing.T) {
	now := time.Unix(1000, 0)
	s := leading(now.Add(-time.Minute))
	if !s.TryPromise(now, true) {
		t.Fatal("promises nothing though its lease is not renewed")
	}
	if s.PromisedUntil() != now.Add(PromiseDuration) {
		t.Errorf("bound until %v", s.PromisedUntil())
	}
	if s.TryPromise(now, false) {
		t.Error("promises though it does not trust the state service")
	}
	s.ChangeSent()
	if s.TryPromise(now, true) {
		t.Error("promises while a change is under way")
	}
	s.ChangeUnanswered(7)
	if s.TryPromise(now, true) {
		t.Error("promises while a change may be applied")
	}
	s.Adopt(s.Record().Clone(), 8, now)
	if !s.TryPromise(now, true) {
		t.Error("promises nothing though the change will meet another version")
	}
	s.LeaseRenewed(now)
	if s.TryPromise(now, true) {
		t.Error("promises though its lease was just renewed")
	}
}
