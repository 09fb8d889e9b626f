package datarecovery

import (
	"testing"

	"topazhollow/internal/leadership"
)

// TestAccountsAreKeptOnlyByWholeMemory: all controllers ended with the loss and began anew in an
// empty store, under a record of their own, before a worker showed that there had been
// another one. All are heard and agree; but what runs on the machines is in nobody's
// account, and without a barrier it was started a second time.
func TestAccountsAreKeptOnlyByWholeMemory(t *testing.T) {
	r := (&leadership.Record{Term: 5000, FirstTerm: 5000, Epoch: 1, StoreID: "s"}).Clone()
	e := &Evidence{Self: "a", Nodes: []string{"a", "b"}, Items: []string{"team/x"}, Record: r, Stored: r, Live: map[string]leadership.Presence{}, Words: map[string]Word{}, Token: 70000, Store: "t"}
	for i, n := range e.Nodes {
		r.Nodes[n] = uint64(i + 1)
		e.Live[n] = leadership.Presence{Incarnation: uint64(i + 1), Version: 1}
	}
	r.Shards["team/x"] = leadership.Shard{Owner: "a", SinceTerm: 5000}
	e.Own = Word{Generation: 1, Term: 5000, Incarnation: 1, Doubt: true, Lost: true, Whole: true}
	e.Words["b"] = Word{Generation: 1, Term: 5000, Incarnation: 2, Doubt: true, Lost: true}
	if next := e.Generation(); !next.Kept || next.Record.Shards["team/x"].NeedsBarrier || next.Record.DataLost || next.Record.Term <= e.Token {
		t.Errorf("one remembers all: %+v", next.Record)
	}
	e.Own.Whole = false
	if next := e.Generation(); next.Kept || !next.Record.Shards["team/x"].NeedsBarrier || !next.Record.DataLost {
		t.Errorf("nobody remembers: %+v", next.Record)
	}
}
