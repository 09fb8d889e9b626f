package leadership

import (
	"maps"
	"slices"
	"time"
)

// Reason says why a change of the record is proposed, in the words of the log.
type Reason string

// The reasons, in the order in which they are looked for.
const (
	MembersChanged    Reason = "members changed"
	ChangeUnsettled   Reason = "settle an unanswered change"
	OwnShards         Reason = "upkeep"
	AgentsReached     Reason = "workers can be reached again"
	MemberUnreachable Reason = "workers cannot reach" // and the member's name
	RosterCompleted   Reason = "every machine is on the roster"
	SearchGivenUp     Reason = "no copy was put back in time: what nobody knows is lost for good"
	UnprovenAttempts  Reason = "unproven attempts"
)

// RecordChange is a record that is to replace another one by compare-and-swap.
type RecordChange struct {
	Record     *Record
	Version    uint64      // of the record that it replaces; 0: there is none
	Conditions []Condition // on controllers' keys
	Reason     Reason
	Member     string   // whom the reason is about; "" if nobody
	HandedOver []string // own shards that it gives to other members
}

// ReasonText is the reason with the member that it is about.
func (c *RecordChange) ReasonText() string {
	if c.Member == "" {
		return string(c.Reason)
	}
	return string(c.Reason) + " " + c.Member
}

// ControllerView is what the rest of the controller knows and a change rests on. Each method is asked only if no
// earlier step changes the record.
type ControllerView interface {
	// Controllers is how many there are in the deployment.
	Controllers() int
	// ShardNames lists what has to be owned.
	ShardNames() []string
	// ShardStatuses is what is known of the own shards and their replicas.
	ShardStatuses(now time.Time) map[string]ShardStatus
	// UnreachableMember is a member that agents cannot reach; "" if there is none.
	UnreachableMember(now time.Time) string
	// OwnsFleet says whether this controller owns the shard of the fleet.
	OwnsFleet() bool
	// RosterComplete says whether every machine is on the roster.
	RosterComplete() bool
	// GiveUpSearch is the record that ends the search for lost data; nil if it goes on or there is none.
	GiveUpSearch(r *Record, now time.Time) *Record
	// NeedsRaisedTerm says whether attempts of own shards can be settled by a raised term only.
	NeedsRaisedTerm(now time.Time) bool
	// RandomTerm draws the first term, so that agents' tokens tell an earlier store's terms from this one's.
	RandomTerm() uint64
	// RandomStoreID draws a name for the state service's data that no other has.
	RandomStoreID() string
}

// Times that changes of the record wait for.
const (
	firstRecordDelay  = 2500 * time.Millisecond // for controllers that have not come yet
	turnAfter         = 350 * time.Millisecond  // for each controller before this one in order of names
	rebalanceAfter    = 3 * time.Second         // since the members are settled
	unreachableAfter  = 3 * time.Second         // since the term changed
	unprovenTermAfter = 5 * time.Second         // since the term changed
)

// NextChange is what this controller should try to write now; nil for nothing. The caller trusts what the state service
// says. Started is when the controller began to look for changes. The answer is told by ChangeAnswered or
// ChangeUnanswered.
func (s *State) NextChange(now, started time.Time, around ControllerView) *RecordChange {
	if !s.mayChange(now) {
		return nil
	}
	record := s.record
	if record == nil {
		if len(s.presences) < around.Controllers() && now.Sub(started) < firstRecordDelay {
			return nil
		}
		record = (&Record{Term: around.RandomTerm()}).Clone()
	}
	change := s.nextOf(&changeInputs{s, record, now, around})
	if change == nil {
		return nil
	}
	s.ChangeSent()
	change.Version = s.recordVersion
	next := change.Record
	next.PreviousVersion = s.recordVersion
	if s.recordVersion == 0 { // the epoch begins with its first record
		next.Epoch, next.FirstTerm, next.StoreID = 1, next.Term, around.RandomStoreID()
	}
	return change
}

// mayChange says whether this controller may change the record: its lease lives, its key is there, and nobody acts by a
// promise of it.
func (s *State) mayChange(now time.Time) bool {
	return s.lease.Valid(now) && !s.promiseMayBeHeld(now) && s.IsPresent()
}

// changeInputs is what the steps to a change look at.
type changeInputs struct {
	*State
	record *Record // the one to be changed
	now    time.Time
	around ControllerView
}

// entitledSteps are the changes that only an entitled controller makes. The first that is due is made.
var entitledSteps = []func(*changeInputs) *RecordChange{
	(*changeInputs).settleUnanswered,
	(*changeInputs).updateOwnShards,
	(*changeInputs).returnToHomes,
	(*changeInputs).excludeUnreachable,
	(*changeInputs).completeRoster,
	(*changeInputs).giveUpSearch,
	(*changeInputs).raiseTerm,
}

// nextOf is the first change that is due, without its version.
func (s *State) nextOf(in *changeInputs) *RecordChange {
	if next, conditions := ReconcileMembers(in.record, in.around.ShardNames(), s.presences); next != nil {
		if !s.ourTurn(in.now) {
			return nil
		}
		return &RecordChange{Record: next, Conditions: conditions, Reason: MembersChanged}
	}
	s.memberMissingSince = time.Time{}
	if !s.Entitled(in.now, true) {
		return nil
	}
	for _, step := range entitledSteps {
		if change := step(in); change != nil {
			return change
		}
	}
	return nil
}

// ourTurn says whether it is this controller's turn to change the members. It notes since when they are to be changed.
func (s *State) ourTurn(now time.Time) bool {
	if s.memberMissingSince.IsZero() {
		s.memberMissingSince = now
	}
	turn := slices.Index(slices.Sorted(maps.Keys(s.presences)), s.self)
	return now.Sub(s.memberMissingSince) >= time.Duration(turn)*turnAfter
}

// settleUnanswered writes the record again while a change without an answer may yet be applied to it: any other
// change of the same version rules that out.
func (in *changeInputs) settleUnanswered() *RecordChange {
	if in.unansweredVersion == 0 || in.unansweredVersion < in.recordVersion {
		return nil
	}
	return &RecordChange{Record: in.record.Clone(), Reason: ChangeUnsettled}
}

// updateOwnShards writes which replicas of own shards are in sync, and gives shards to the owners that the ranking
// prefers.
func (in *changeInputs) updateOwnShards() *RecordChange {
	rebalance := in.now.Sub(in.settledAt) > rebalanceAfter
	next, handed := UpdateShards(in.record, in.self, in.around.ShardStatuses(in.now), rebalance)
	if next == nil {
		return nil
	}
	return &RecordChange{Record: next, Reason: OwnShards, HandedOver: handed}
}

// returnToHomes makes this controller a home again once agents reach it.
func (in *changeInputs) returnToHomes() *RecordChange {
	reached := in.agentsReached
	in.agentsReached = false
	if !reached || !slices.Contains(in.record.Unreachable, in.self) {
		return nil
	}
	return &RecordChange{Record: WithReachability(in.record, in.self, false), Reason: AgentsReached}
}

// excludeUnreachable takes a member that agents cannot reach out of the homes.
func (in *changeInputs) excludeUnreachable() *RecordChange {
	member := in.around.UnreachableMember(in.now)
	if member == "" || in.now.Sub(in.termChangedAt) <= unreachableAfter {
		return nil
	}
	next := WithReachability(in.record, member, true)
	if next == nil {
		return nil
	}
	return &RecordChange{Record: next, Reason: MemberUnreachable, Member: member}
}

// completeRoster writes that every machine is on the roster, after a loss of data. The fleet's owner does it.
func (in *changeInputs) completeRoster() *RecordChange {
	if !in.record.RosterIncomplete || !in.around.OwnsFleet() || !in.around.RosterComplete() {
		return nil
	}
	next := in.record.Clone()
	next.RosterIncomplete = false
	return &RecordChange{Record: next, Reason: RosterCompleted}
}

// giveUpSearch ends the search for lost data. The fleet's owner does it.
func (in *changeInputs) giveUpSearch() *RecordChange {
	if !in.around.OwnsFleet() {
		return nil
	}
	next := in.around.GiveUpSearch(in.record, in.now)
	if next == nil {
		return nil
	}
	return &RecordChange{Record: next, Reason: SearchGivenUp}
}

// raiseTerm raises the term for attempts that can be settled in no other way.
func (in *changeInputs) raiseTerm() *RecordChange {
	if !in.around.NeedsRaisedTerm(in.now) || in.now.Sub(in.termChangedAt) <= unprovenTermAfter {
		return nil
	}
	next := in.record.Clone()
	next.Term++
	return &RecordChange{Record: next, Reason: UnprovenAttempts}
}

// AgentsReached takes in that agents reach this controller, though the record may say that they cannot.
func (s *State) AgentsReached() { s.agentsReached = true }

// ChangeOpen says whether a change of the record that this controller sent may still be applied.
func (s *State) ChangeOpen() bool { return s.changePending || s.unansweredVersion != 0 }

// ChangeSent takes in that a change of the record goes out.
func (s *State) ChangeSent() { s.changePending = true }

// ChangeAnswered takes in that the change under way was written or surely not.
func (s *State) ChangeAnswered() { s.changePending = false }

// ChangeUnanswered takes in that the change under way, of the record of that version, had no answer. It may be applied
// until another one of the same version is.
func (s *State) ChangeUnanswered(version uint64) {
	s.changePending = false
	s.unansweredVersion = max(1, version)
}
