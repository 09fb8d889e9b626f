package leadership

import (
	"testing"
	"time"
)

// fakeController implements ControllerView. It proposes no change unless a test sets its fields.
type fakeController struct {
	shards          []string
	statuses        map[string]ShardStatus
	unreachable     string
	ownsFleet       bool
	complete        bool
	givesUpSearch   bool
	needsRaisedTerm bool
	retainsExits    bool
	crowdedList     bool
}

func (q *fakeController) Controllers() int                               { return 2 }
func (q *fakeController) ShardNames() []string                           { return q.shards }
func (q *fakeController) ShardStatuses(time.Time) map[string]ShardStatus { return q.statuses }
func (q *fakeController) UnreachableMember(time.Time) string             { return q.unreachable }
func (q *fakeController) OwnsFleet() bool                                { return q.ownsFleet }
func (q *fakeController) RosterComplete() bool                           { return q.complete }
func (q *fakeController) NeedsRaisedTerm(time.Time) bool                 { return q.needsRaisedTerm }
func (q *fakeController) RetainsExits() bool                             { return q.retainsExits }
func (q *fakeController) HasCrowdedList() bool                           { return q.crowdedList }
func (q *fakeController) RandomTerm() uint64                             { return 5000 }
func (q *fakeController) RandomStoreID() string                          { return "drawn" }
func (q *fakeController) GiveUpSearch(r *Record, _ time.Time) *Record {
	if !q.givesUpSearch {
		return nil
	}
	next := r.Clone()
	next.DataLost = false
	return next
}

const testTTL = 5 * time.Second

// newMemberState returns the state of controller a, which holds its lease, is a member together with b, and owns the
// fleet. The record has version 7.
func newMemberState(now time.Time) *State {
	s := New("a", 1, Lease{TTL: testTTL}, []string{"b"}, now.Add(-time.Hour))
	record := (&Record{Term: 3, Epoch: 1, FirstTerm: 1, StoreID: "store"}).Clone()
	record.Nodes["a"], record.Nodes["b"] = 1, 1
	record.Shards[FleetShard] = Shard{Owner: "a", SinceTerm: 3, InSync: []string{"b"}}
	s.Adopt(record, 7, now.Add(-time.Hour))
	s.LearnPresence("a", Presence{Incarnation: 1, Version: 1})
	s.LearnPresence("b", Presence{Incarnation: 1, Version: 2})
	s.LeaseRenewed(now)
	return s
}

// TestChangeReasons checks that each condition for a change of the record yields exactly one change, with its reason
// and by the order of the steps, that replaces the known record.
func TestChangeReasons(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		before func(s *State, q *fakeController)
		want   string // "" for no change
		term   uint64
	}{
		{"nothing to change", func(*State, *fakeController) {}, "", 0},
		{"a member is gone", func(s *State, _ *fakeController) { s.LearnAbsence("b", 9) }, "members changed", 4},
		{"a change got no answer", func(s *State, q *fakeController) { s.ChangeUnanswered(7); q.needsRaisedTerm = true }, "settle an unanswered change", 3},
		{"a change of an earlier version got no answer", func(s *State, _ *fakeController) { s.ChangeUnanswered(6) }, "", 0},
		{"a replica is behind", func(_ *State, q *fakeController) {
			q.statuses, q.needsRaisedTerm = map[string]ShardStatus{FleetShard: {Ready: true, Lagging: map[string]bool{"b": true}}}, true
		}, "upkeep", 3},
		{"agents reach this controller again", func(s *State, _ *fakeController) { s.record.Unreachable = []string{"a"}; s.AgentsReached() }, "workers can be reached again", 4},
		{"agents reach a controller that is a home", func(s *State, _ *fakeController) { s.AgentsReached() }, "", 0},
		{"agents cannot reach another member", func(_ *State, q *fakeController) { q.unreachable = "b" }, "workers cannot reach b", 4},
		{"agents cannot reach another member, shortly after a change of term", func(s *State, q *fakeController) { q.unreachable, s.termChangedAt = "b", now.Add(-time.Second) }, "", 0},
		{"the roster is complete", func(s *State, q *fakeController) {
			s.record.RosterIncomplete, q.ownsFleet, q.complete = true, true, true
		}, "every machine is on the roster", 3},
		{"another controller owns the fleet", func(s *State, q *fakeController) {
			s.record.RosterIncomplete, q.complete, q.givesUpSearch = true, true, true
		}, "", 0},
		{"the search takes too long", func(_ *State, q *fakeController) { q.ownsFleet, q.givesUpSearch = true, true }, "no backup was restored in time: jobs that no controller remembers are lost for good", 3},
		{"attempts are unproven", func(_ *State, q *fakeController) { q.needsRaisedTerm = true }, "unproven attempts", 4},
		{"attempts are unproven, shortly after a change of term", func(s *State, q *fakeController) { q.needsRaisedTerm, s.termChangedAt = true, now.Add(-4*time.Second) }, "", 0},
		{"exited attempts are retained", func(_ *State, q *fakeController) { q.retainsExits = true }, "exited attempts to be forgotten", 4},
		{"exited attempts are retained, not long after a change of term", func(s *State, q *fakeController) {
			q.retainsExits, s.termChangedAt = true, now.Add(-retentionPeriod)
		}, "", 0},
		{"exited attempts are retained, and it is another controller's turn", func(s *State, q *fakeController) {
			s.LearnPresence("0", Presence{Incarnation: 1, Version: 3})
			s.record.Nodes["0"], q.retainsExits, s.termChangedAt = 1, true, now.Add(-retentionPeriod-turnDelay)
		}, "", 0},
		{"exited attempts fill a list", func(s *State, q *fakeController) {
			q.crowdedList, s.termChangedAt = true, now.Add(-6*time.Second)
		}, "exited attempts fill a machine's list", 4},
		{"exited attempts fill a list, shortly after a change of term", func(s *State, q *fakeController) {
			q.crowdedList, s.termChangedAt = true, now.Add(-4*time.Second)
		}, "", 0},
	} {
		s, q := newMemberState(now), &fakeController{shards: []string{FleetShard}}
		c.before(s, q)
		open := s.ChangeOpen()
		change := s.NextChange(now, now.Add(-time.Hour), q)
		if change == nil {
			if c.want != "" {
				t.Errorf("%s: no change, want %q", c.name, c.want)
			}
			if s.ChangeOpen() != open {
				t.Errorf("%s: a change counts as pending though none was proposed", c.name)
			}
			continue
		}
		if change.ReasonText() != c.want || change.Record.Term != c.term {
			t.Errorf("%s: %q in term %d, want %q in %d", c.name, change.ReasonText(), change.Record.Term, c.want, c.term)
		}
		if change.Version != 7 || change.Record.PreviousVersion != 7 || change.Record.StoreID != "store" || !s.ChangeOpen() {
			t.Errorf("%s: replaces version %d, previous version %d in store %q, pending %v", c.name, change.Version, change.Record.PreviousVersion, change.Record.StoreID, s.ChangeOpen())
		}
	}
}

// TestNoChangeWithoutLeaseKeyOrTerm guards that a controller changes nothing without its lease, without its key, or
// while another one may act on its promise, and that a controller that is not entitled reconciles the members and does
// nothing else.
func TestNoChangeWithoutLeaseKeyOrTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &fakeController{shards: []string{FleetShard}, needsRaisedTerm: true}
	for name, before := range map[string]func(s *State){
		"no lease":              func(s *State) { s.LeaseExpired(now) },
		"another process's key": func(s *State) { s.LearnPresence("a", Presence{Incarnation: 2, Version: 9}) },
		"a promise may be held": func(s *State) { s.promisedUntil = now.Add(time.Second); s.LearnAbsence("b", 9) },
		"the record lists another incarnation": func(s *State) {
			s.record.Nodes["a"], s.presences["a"] = 2, Presence{Incarnation: 1, Version: 1}
			s.membersOutdatedSince = now.Add(time.Second)
		},
	} {
		s := newMemberState(now)
		before(s)
		if change := s.NextChange(now, now.Add(-time.Hour), q); change != nil {
			t.Errorf("%s: %q", name, change.ReasonText())
		}
	}
	s := newMemberState(now)
	s.promisedUntil = now.Add(time.Second) // nobody can hold it: all keys are present
	if change := s.NextChange(now, now.Add(-time.Hour), q); change == nil || change.Reason != UnprovenAttempts {
		t.Errorf("a promise that no member can hold prevents a change: %+v", change)
	}
}

// TestFirstRecord guards that a controller waits for the others before it writes the first record, which begins the
// first epoch.
func TestFirstRecord(t *testing.T) {
	now, q := time.Unix(1000, 0), &fakeController{shards: []string{FleetShard}}
	s := New("a", 1, Lease{TTL: testTTL}, []string{"b"}, now.Add(-time.Hour))
	s.LearnPresence("a", Presence{Incarnation: 1, Version: 1})
	s.LeaseRenewed(now)
	if change := s.NextChange(now, now.Add(-2*time.Second), q); change != nil {
		t.Fatalf("did not wait for b: %+v", change)
	}
	change := s.NextChange(now, now.Add(-3*time.Second), q)
	if change == nil {
		t.Fatal("still waits for b after the delay")
	}
	r := change.Record
	if change.Version != 0 || r.Epoch != 1 || r.FirstTerm != r.Term || r.StoreID != "drawn" || r.Term != 5001 || r.Shards[FleetShard].Owner != "a" {
		t.Errorf("version %d, record %+v", change.Version, r)
	}
}

// TestMembersChangeTheRecordInTurn guards that present controllers reconcile the members one after the other in the
// order of their names.
func TestMembersChangeTheRecordInTurn(t *testing.T) {
	now, q := time.Unix(1000, 0), &fakeController{shards: []string{FleetShard}}
	s := newMemberState(now)
	s.LearnPresence("0", Presence{Incarnation: 1, Version: 3}) // sorts before a, and is not a member yet
	if change := s.NextChange(now, now, q); change != nil {
		t.Fatalf("changed the record before 0's turn: %+v", change)
	}
	if change := s.NextChange(now.Add(turnDelay-1), now, q); change != nil {
		t.Fatalf("changed the record before its own turn: %+v", change)
	}
	if change := s.NextChange(now.Add(turnDelay), now, q); change == nil || change.Reason != MembersChanged {
		t.Fatalf("did not change the record in its own turn: %+v", change)
	}
}
