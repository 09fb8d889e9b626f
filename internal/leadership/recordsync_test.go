package leadership

import (
	"testing"
	"time"
)

// TestSendsRecord: a peer that stays behind is sent the record once a second, in a large group after a delay.
func TestSendsRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	s := leading(now)
	if s.ShouldSendRecord("b", false, now) || s.ShouldSendRecord("unknown", true, now) {
		t.Error("sent to who is not behind, or is no peer")
	}
	if !s.ShouldSendRecord("b", true, now) || s.ShouldSendRecord("b", true, now.Add(recordSendInterval-1)) || !s.ShouldSendRecord("b", true, now.Add(recordSendInterval)) {
		t.Error("not sent at once and then every second")
	}
	for _, name := range []string{"c", "d", "e", "f", "g"} {
		s.record.Nodes[name] = 1
	}
	later := now.Add(time.Minute)
	s.ShouldSendRecord("b", false, later)
	if s.ShouldSendRecord("b", true, later) || !s.ShouldSendRecord("b", true, later.Add(4*recordDelayPerMember)) {
		t.Error("one of seven members does not wait for four times the delay")
	}
}
