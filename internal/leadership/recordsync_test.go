package leadership

import (
	"testing"
	"time"
)

// TestShouldSendRecord checks that a peer that lags behind is sent the record once a second, and only after a delay in
// a large group.
func TestShouldSendRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newMemberState(now)
	if s.ShouldSendRecord("b", false, now) || s.ShouldSendRecord("unknown", true, now) {
		t.Error("sent to a peer that does not lag behind, or to an unknown node")
	}
	if !s.ShouldSendRecord("b", true, now) || s.ShouldSendRecord("b", true, now.Add(recordSendInterval-1)) || !s.ShouldSendRecord("b", true, now.Add(recordSendInterval)) {
		t.Error("not sent immediately and then every second")
	}
	for _, name := range []string{"c", "d", "e", "f", "g"} {
		s.record.Nodes[name] = 1
	}
	later := now.Add(time.Minute)
	s.ShouldSendRecord("b", false, later)
	if s.ShouldSendRecord("b", true, later) || !s.ShouldSendRecord("b", true, later.Add(4*recordDelayPerMember)) {
		t.Error("the delay in a group of seven members is not four times the delay per member")
	}
}
