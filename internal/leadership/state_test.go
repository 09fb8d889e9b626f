package leadership

import (
	"testing"
	"time"
)

// TestCompareRecord checks that a record that follows the known one is adopted, and that one with a newer version but
// older content is a sign of data loss.
func TestCompareRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("a", 1, Lease{TTL: testTTL}, nil, now)
	read := func(version, epoch, term uint64, store string, previous uint64) RecordComparison {
		return s.CompareRecord(&Record{Epoch: epoch, Term: term, StoreID: store, PreviousVersion: previous}, version)
	}
	if got := read(7, 1, 5, "x", 0); got != RecordFollows {
		t.Errorf("the first record: %v", got)
	}
	s.Adopt(&Record{Epoch: 2, Term: 5, StoreID: "x"}, 7, now)
	for name, got := range map[string][2]RecordComparison{
		"the next":                           {read(8, 2, 6, "x", 7), RecordFollows},
		"one that skips a version":           {read(9, 2, 5, "x", 8), RecordFollows},
		"one that names no previous version": {read(8, 2, 5, "x", 0), RecordFollows},
		"the same":                           {read(7, 2, 5, "x", 6), RecordKnown},
		"an earlier read":                    {read(6, 2, 4, "x", 5), RecordKnown},
		"the next epoch":                     {read(3, 3, 9, "y", 2), RecordOfNewerEpoch},
		"an earlier epoch":                   {read(8, 1, 9, "w", 7), RecordOlder},
		"an earlier term":                    {read(8, 2, 4, "x", 7), RecordOlder},
		"another store of the same epoch":    {read(8, 2, 6, "z", 7), RecordOlder},
		"one over an earlier version":        {read(9, 2, 6, "x", 6), RecordChainBroken},
	} {
		if got[0] != got[1] {
			t.Errorf("%s: comparison %d, want %d", name, got[0], got[1])
		}
	}
}

// TestAdopt checks that each difference from the previous record is reported once, and that a known version changes
// nothing.
func TestAdopt(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("a", 1, Lease{TTL: testTTL}, nil, now)
	first := (&Record{Term: 5, Epoch: 1, RosterIncomplete: true, DataLost: true}).Clone()
	first.Nodes["a"] = 1
	if got := s.Adopt(first, 7, now); got == nil || *got != (AdoptResult{TermChanged: true, EpochBegan: true}) {
		t.Fatalf("the first record: %+v", got)
	}
	if s.Adopt(first.Clone(), 7, now) != nil || s.Record() != first {
		t.Error("the same version is adopted twice")
	}
	later := now.Add(time.Second)
	next := first.Clone()
	next.RosterIncomplete, next.DataLost = false, false
	if got := s.Adopt(next, 8, later); got == nil || *got != (AdoptResult{RosterCompleted: true, SearchGivenUp: true}) {
		t.Errorf("the roster is complete and the search ended: %+v", got)
	}
	if s.termChangedAt != now || s.StableSince() != now {
		t.Error("the members count as changed without a change of term")
	}
	next = next.Clone()
	next.Term++
	if got := s.Adopt(next, 9, later); got == nil || *got != (AdoptResult{TermChanged: true}) || s.termChangedAt != later || s.StableSince() != now {
		t.Errorf("a raised term with the same members: %+v, stable since %v", got, s.StableSince())
	}
	next = next.Clone()
	next.Term++
	next.Nodes["b"] = 1
	if s.Adopt(next, 10, later); s.StableSince() != later {
		t.Error("a new member does not restart the period of stability")
	}
	next = next.Clone()
	next.Epoch++
	if got := s.Adopt(next, 11, later); got == nil || !got.EpochBegan {
		t.Errorf("the next epoch: %+v", got)
	}
}
