package agents

import (
	"testing"
	"time"
)

// TestUnregistered: an agent is probed once it has sent heartbeats with tasks for some time, during which a read of the
// store began.
func TestUnregistered(t *testing.T) {
	const settle, timeout = 2 * time.Second, time.Second
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	var u Unregistered
	if u.Record(true, at(0), at(10), settle) || !u.Suspected() {
		t.Error("probed after the first heartbeat, or not suspected")
	}
	if u.Record(true, at(2), at(1), settle) {
		t.Error("probed too early")
	}
	if u.Record(true, at(3), at(0), settle) {
		t.Error("probed without a later read of the store")
	}
	if !u.Record(true, at(3), at(1), settle) {
		t.Error("not probed")
	}
	if u.Probed() || !u.BeginProbe(at(3), timeout) || u.BeginProbe(at(3.5), timeout) || !u.BeginProbe(at(4), timeout) || !u.Probed() {
		t.Error("no probe, or two at a time")
	}
	if u.Record(false, at(5), at(4), settle) || u.Suspected() {
		t.Error("a heartbeat without tasks does not end the suspicion")
	}
	if u.Record(true, at(6), at(5.5), settle); !u.BeginProbe(at(4.5), timeout) {
		t.Error("a probe of an earlier suspicion delays that of the next one")
	}
}
