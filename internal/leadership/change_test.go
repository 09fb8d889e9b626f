package leadership

import (
	"testing"
	"time"
)

// quiet is a controller around a State, which asks for no change unless a test says so.
type quiet struct {
	shards      []string
	syncs       map[string]ShardStatus
	unreachable string
	ownsFleet   bool
	complete    bool
	givesUp     bool
	needsTerm   bool
}

func (q *quiet) Controllers() int                               { return 2 }
func (q *quiet) ShardNames() []string                           { return q.shards }
func (q *quiet) ShardStatuses(time.Time) map[string]ShardStatus { return q.syncs }
func (q *quiet) UnreachableMember(time.Time) string             { return q.unreachable }
func (q *quiet) OwnsFleet() bool                                { return q.ownsFleet }
func (q *quiet) RosterComplete() bool                           { return q.complete }
func (q *quiet) NeedsRaisedTerm(time.Time) bool                 { return q.needsTerm }
func (q *quiet) RandomTerm() uint64                             { return 5000 }
func (q *quiet) RandomStoreID() string                          { return "drawn" }
func (q *quiet) GiveUpSearch(r *Record, _ time.Time) *Record {
	if !q.givesUp {
		return nil
	}
	next := r.Clone()
	next.DataLost = false
	return next
}

const testLife = 5 * time.Second

// leading is the state of node a, which holds its lease, is a member beside b and owns the fleet, under version 7.
func leading(now time.Time) *State {
	s := New("a", 1, Lease{TTL: testLife}, []string{"b"}, now.Add(-time.Hour))
	record := (&Record{Term: 3, Epoch: 1, FirstTerm: 1, StoreID: "store"}).Clone()
	record.Nodes["a"], record.Nodes["b"] = 1, 1
	record.Shards[FleetShard] = Shard{Owner: "a", SinceTerm: 3, InSync: []string{"b"}}
	s.Adopt(record, 7, now.Add(-time.Hour))
	s.LearnPresence("a", Presence{Incarnation: 1, Version: 1})
	s.LearnPresence("b", Presence{Incarnation: 1, Version: 2})
	s.LeaseRenewed(now)
	return s
}

// TestEachReasonOfAChange: each thing that asks for a change of the record gives the one change with its reason, in the
// order of the steps, and a record that replaces the one known.
func TestEachReasonOfAChange(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		before func(s *State, q *quiet)
		want   string // "" for no change
		term   uint64
	}{
		{"nothing", func(*State, *quiet) {}, "", 0},
		{"a member is gone", func(s *State, _ *quiet) { s.LearnAbsence("b", 9) }, "members changed", 4},
		{"a change had no answer", func(s *State, q *quiet) { s.ChangeUnanswered(7); q.needsTerm = true }, "settle an unanswered change", 3},
		{"a change of an earlier version had no answer", func(s *State, _ *quiet) { s.ChangeUnanswered(6) }, "", 0},
		{"a replica is behind", func(_ *State, q *quiet) {
			q.syncs, q.needsTerm = map[string]ShardStatus{FleetShard: {Ready: true, Lagging: map[string]bool{"b": true}}}, true
		}, "upkeep", 3},
		{"agents reach it again", func(s *State, _ *quiet) { s.record.Unreachable = []string{"a"}; s.AgentsReached() }, "workers can be reached again", 4},
		{"agents reach one that is a home", func(s *State, _ *quiet) { s.AgentsReached() }, "", 0},
		{"agents do not reach another one", func(_ *State, q *quiet) { q.unreachable = "b" }, "workers cannot reach b", 4},
		{"they do not since the term changed", func(s *State, q *quiet) { q.unreachable, s.termChangedAt = "b", now.Add(-time.Second) }, "", 0},
		{"the roster is complete", func(s *State, q *quiet) { s.record.RosterIncomplete, q.ownsFleet, q.complete = true, true, true }, "every machine is on the roster", 3},
		{"another one owns the fleet", func(s *State, q *quiet) { s.record.RosterIncomplete, q.complete, q.givesUp = true, true, true }, "", 0},
		{"the search takes too long", func(_ *State, q *quiet) { q.ownsFleet, q.givesUp = true, true }, "no copy was put back in time: what nobody knows is lost for good", 3},
		{"attempts are unproven", func(_ *State, q *quiet) { q.needsTerm = true }, "unproven attempts", 4},
		{"they are since the term changed", func(s *State, q *quiet) { q.needsTerm, s.termChangedAt = true, now.Add(-4*time.Second) }, "", 0},
	} {
		s, q := leading(now), &quiet{shards: []string{FleetShard}}
		c.before(s, q)
		open := s.ChangeOpen()
		change := s.NextChange(now, now.Add(-time.Hour), q)
		if change == nil {
			if c.want != "" {
				t.Errorf("%s: no change, want %q", c.name, c.want)
			}
			if s.ChangeOpen() != open {
				t.Errorf("%s: a change is under way that nobody makes", c.name)
			}
			continue
		}
		if change.ReasonText() != c.want || change.Record.Term != c.term {
			t.Errorf("%s: %q in term %d, want %q in %d", c.name, change.ReasonText(), change.Record.Term, c.want, c.term)
		}
		if change.Version != 7 || change.Record.PreviousVersion != 7 || change.Record.StoreID != "store" || !s.ChangeOpen() {
			t.Errorf("%s: replaces %d, follows %d in store %q, under way %v", c.name, change.Version, change.Record.PreviousVersion, change.Record.StoreID, s.ChangeOpen())
		}
	}
}

// TestNoChangeWithoutLeaseKeyOrTerm: a controller changes nothing without its lease, without its key, or while another
// one may act by a promise of it; a member that is not entitled repairs the members and does nothing else.
func TestNoChangeWithoutLeaseKeyOrTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &quiet{shards: []string{FleetShard}, needsTerm: true}
	for name, before := range map[string]func(s *State){
		"no lease":              func(s *State) { s.LeaseExpired(now) },
		"another process's key": func(s *State) { s.LearnPresence("a", Presence{Incarnation: 2, Version: 9}) },
		"a promise may be held": func(s *State) { s.promisedUntil = now.Add(time.Second); s.LearnAbsence("b", 9) },
		"the record names none": func(s *State) {
			s.record.Nodes["a"], s.presences["a"] = 2, Presence{Incarnation: 1, Version: 1}
			s.memberMissingSince = now.Add(time.Second)
		},
	} {
		s := leading(now)
		before(s)
		if change := s.NextChange(now, now.Add(-time.Hour), q); change != nil {
			t.Errorf("%s: %q", name, change.ReasonText())
		}
	}
	s := leading(now)
	s.promisedUntil = now.Add(time.Second) // of which nobody can make use: all keys are there
	if change := s.NextChange(now, now.Add(-time.Hour), q); change == nil || change.Reason != UnprovenAttempts {
		t.Errorf("a promise that nobody can hold prevents a change: %+v", change)
	}
}

// TestFirstRecord: a controller waits for the others before it makes the first record, which begins the first epoch.
func TestFirstRecord(t *testing.T) {
	now, q := time.Unix(1000, 0), &quiet{shards: []string{FleetShard}}
	s := New("a", 1, Lease{TTL: testLife}, []string{"b"}, now.Add(-time.Hour))
	s.LearnPresence("a", Presence{Incarnation: 1, Version: 1})
	s.LeaseRenewed(now)
	if change := s.NextChange(now, now.Add(-2*time.Second), q); change != nil {
		t.Fatalf("does not wait for b: %+v", change)
	}
	change := s.NextChange(now, now.Add(-3*time.Second), q)
	if change == nil {
		t.Fatal("waits for b for good")
	}
	r := change.Record
	if change.Version != 0 || r.Epoch != 1 || r.FirstTerm != r.Term || r.StoreID != "drawn" || r.Term != 5001 || r.Shards[FleetShard].Owner != "a" {
		t.Errorf("version %d, record %+v", change.Version, r)
	}
}

// TestMembersChangeTheRecordInTurn: the members that are present change the record one after the other in order of
// their names.
func TestMembersChangeTheRecordInTurn(t *testing.T) {
	now, q := time.Unix(1000, 0), &quiet{shards: []string{FleetShard}}
	s := leading(now)
	s.LearnPresence("0", Presence{Incarnation: 1, Version: 3}) // before a, and no member yet
	if change := s.NextChange(now, now, q); change != nil {
		t.Fatalf("goes before 0: %+v", change)
	}
	if change := s.NextChange(now.Add(turnAfter-1), now, q); change != nil {
		t.Fatalf("goes right after 0: %+v", change)
	}
	if change := s.NextChange(now.Add(turnAfter), now, q); change == nil || change.Reason != MembersChanged {
		t.Fatalf("leaves it to 0 for good: %+v", change)
	}
}
