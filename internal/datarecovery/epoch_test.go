package datarecovery

import (
	"testing"

	"topazhollow/internal/leadership"
)

// TestAssignmentsAreKeptOnlyWithCompleteHistory: all controllers stopped together with the loss, started with an empty
// store and wrote a first record, before a worker showed that there had been another record. All controllers are
// reachable and agree, but none knows the assignments of the running tasks. Without a barrier these tasks were started
// a second time.
func TestAssignmentsAreKeptOnlyWithCompleteHistory(t *testing.T) {
	r := (&leadership.Record{Term: 5000, FirstTerm: 5000, Epoch: 1, StoreID: "s"}).Clone()
	e := &Evidence{Self: "a", Controllers: []string{"a", "b"}, Shards: []string{"team/x"}, Record: r, Stored: r, Presences: map[string]leadership.Presence{}, Assessments: map[string]Assessment{}, HighestToken: 70000, StoreID: "t"}
	for i, n := range e.Controllers {
		r.Nodes[n] = uint64(i + 1)
		e.Presences[n] = leadership.Presence{Incarnation: uint64(i + 1), Version: 1}
	}
	r.Shards["team/x"] = leadership.Shard{Owner: "a", SinceTerm: 5000}
	e.Own = Assessment{Epoch: 1, Term: 5000, Incarnation: 1, SuspectsLoss: true, ConfirmedLoss: true, HistoryComplete: true}
	e.Assessments["b"] = Assessment{Epoch: 1, Term: 5000, Incarnation: 2, SuspectsLoss: true, ConfirmedLoss: true}
	if next := e.NextEpoch(); !next.WithoutBarrier || next.Record.Shards["team/x"].NeedsBarrier || next.Record.DataLost || next.Record.Term <= e.HighestToken {
		t.Errorf("one has a complete history: %+v", next.Record)
	}
	e.Own.HistoryComplete = false
	if next := e.NextEpoch(); next.WithoutBarrier || !next.Record.Shards["team/x"].NeedsBarrier || !next.Record.DataLost {
		t.Errorf("nobody has a complete history: %+v", next.Record)
	}
}
