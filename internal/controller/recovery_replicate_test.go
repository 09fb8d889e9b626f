package controller

import (
	"context"
	"testing"
	"time"
)

// TestFactsWaitForAPeer: a fact that a peer confirms is acknowledged at once; one that no peer confirms is acknowledged
// after a bounded time, and counted. A late or repeated confirmation changes nothing.
func TestFactsWaitForAPeer(t *testing.T) {
	facts := newFactReplication()
	first, replicated := facts.begin()
	second, unanswered := facts.begin()
	if first == second || first == 0 || second == 0 {
		t.Fatalf("numbers %d and %d: each must be unique and not 0, which requests no answer", first, second)
	}
	facts.confirm(first)
	facts.confirm(first)
	if !waitFor(t.Context(), replicated, time.Minute) {
		t.Error("the wait for a confirmed fact does not end")
	}
	facts.end(first, true)
	if waitFor(t.Context(), unanswered, time.Millisecond) {
		t.Error("the confirmation of another fact counts")
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if waitFor(ended, unanswered, time.Minute) {
		t.Error("a cancelled context confirms a fact")
	}
	facts.end(second, false)
	facts.confirm(second)
	if facts.unreplicated != 1 || len(facts.waiting) != 0 {
		t.Errorf("%d facts without a confirmation, %d awaited", facts.unreplicated, len(facts.waiting))
	}
}
