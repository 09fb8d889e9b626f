package controller

import (
	"context"
	"testing"
	"time"
)

// TestFactsWaitForAPeer: a fact that a peer remembers is told at once; one that nobody remembers is told after a bounded
// time, and counted. A late or repeated confirmation changes nothing.
func TestFactsWaitForAPeer(t *testing.T) {
	facts := newFactReplication()
	first, replicated := facts.begin()
	second, unanswered := facts.begin()
	if first == second || first == 0 || second == 0 {
		t.Fatalf("numbers %d and %d: 0 wants no answer, and each fact has its own", first, second)
	}
	facts.confirm(first)
	facts.confirm(first)
	if !waitFor(t.Context(), replicated, time.Minute) {
		t.Error("a confirmed fact is waited for")
	}
	facts.end(first, true)
	if waitFor(t.Context(), unanswered, time.Millisecond) {
		t.Error("the confirmation of another fact counts")
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if waitFor(ended, unanswered, time.Minute) {
		t.Error("a fact is confirmed by the end of the request")
	}
	facts.end(second, false)
	facts.confirm(second)
	if facts.unreplicated != 1 || len(facts.waiting) != 0 {
		t.Errorf("%d told with no peer remembering them, %d waited for", facts.unreplicated, len(facts.waiting))
	}
}
