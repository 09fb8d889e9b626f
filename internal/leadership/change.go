package leadership

import (
	"maps"
	"slices"
	"time"
)

// Reason is why a change of the record is proposed, as it appears in the log.
type Reason string

// Reasons for a change, in the order in which they are checked.
const (
	MembersChanged    Reason = "members changed"
	ChangeUnsettled   Reason = "settle an unanswered change"
	OwnShards         Reason = "upkeep"
	AgentsReached     Reason = "workers can be reached again"
	MemberUnreachable Reason = "workers cannot reach" // and the member's name
	RosterCompleted   Reason = "every machine is on the roster"
	SearchGivenUp     Reason = "no backup was restored in time: jobs that no controller remembers are lost for good"
	UnprovenAttempts  Reason = "unproven attempts"
	CrowdedList       Reason = "exited attempts fill a machine's list"
	RetainedExits     Reason = "exited attempts to be forgotten"
)

// RecordChange is a record that should replace another one by compare-and-swap.
type RecordChange struct {
	Record     *Record
	Version    uint64      // of the record that it replaces; 0 if there is none
	Conditions []Condition // on the versions of controllers' keys
	Reason     Reason
	Member     string   // that the reason refers to; "" if none
	HandedOver []string // own shards that it hands over to other members
}

// ReasonText returns the reason, followed by the member that it refers to, if any.
func (c *RecordChange) ReasonText() string {
	if c.Member == "" {
		return string(c.Reason)
	}
	return string(c.Reason) + " " + c.Member
}

// ControllerView gives State.NextChange access to the rest of the controller. NextChange checks the reasons for a
// change in order and stops at the first that applies, so that it calls only the methods that it needs up to there.
type ControllerView interface {
	// Controllers returns the number of controllers in the deployment.
	Controllers() int
	// ShardNames returns the shards that must have an owner.
	ShardNames() []string
	// ShardStatuses returns the status of this controller's own shards and their replicas.
	ShardStatuses(now time.Time) map[string]ShardStatus
	// UnreachableMember returns a member that agents cannot reach, or "" if there is none.
	UnreachableMember(now time.Time) string
	// OwnsFleet reports whether this controller owns the fleet shard.
	OwnsFleet() bool
	// RosterComplete reports whether the roster lists every machine.
	RosterComplete() bool
	// GiveUpSearch returns the record that ends the search for lost data, or nil if the search goes on or none is
	// needed.
	GiveUpSearch(r *Record, now time.Time) *Record
	// NeedsRaisedTerm reports whether some attempts in this controller's shards can be settled only by raising the
	// term.
	NeedsRaisedTerm(now time.Time) bool
	// RetainsExits reports whether agents homed at this controller list exited attempts that they may forget only under a
	// later term.
	RetainsExits() bool
	// HasCrowdedList reports whether such attempts take up much of an agent's list.
	HasCrowdedList() bool
	// RandomTerm returns a random first term, so that agents' fencing tokens distinguish an earlier store's terms from
	// those of this one.
	RandomTerm() uint64
	// RandomStoreID returns a new unique name for the state service's data.
	RandomStoreID() string
}

// Delays before changes of the record.
const (
	firstRecordDelay  = 2500 * time.Millisecond // how long the first record waits for missing controllers
	turnDelay         = 350 * time.Millisecond  // per present controller whose name sorts before this one's
	rebalanceDelay    = 3 * time.Second         // since StableSince
	unreachableDelay  = 3 * time.Second         // since the term changed
	unprovenTermDelay = 5 * time.Second         // since the term changed
	retentionPeriod   = 30 * time.Second        // since the term changed
)

// NextChange returns the change of the record that this controller should attempt now, or nil if there is none. It must
// not be called while there are signs that the state service lost data. started is when the controller began to check
// for changes. A returned change is pending until the caller reports its result by ChangeAnswered or ChangeUnanswered.
func (s *State) NextChange(now, started time.Time, view ControllerView) *RecordChange {
	if !s.mayChange(now) {
		return nil
	}
	record := s.record
	if record == nil {
		if len(s.presences) < view.Controllers() && now.Sub(started) < firstRecordDelay {
			return nil
		}
		record = (&Record{Term: view.RandomTerm()}).Clone()
	}
	change := s.firstDueChange(&changeInputs{s, record, now, view})
	if change == nil {
		return nil
	}
	s.ChangeSent()
	change.Version = s.recordVersion
	next := change.Record
	next.PreviousVersion = s.recordVersion
	if s.recordVersion == 0 { // the epoch begins with its first record
		next.Epoch, next.FirstTerm, next.StoreID = 1, next.Term, view.RandomStoreID()
	}
	return change
}

// mayChange reports whether this controller may change the record: its lease is valid, its key exists, and no other
// controller may be acting on its promise.
func (s *State) mayChange(now time.Time) bool {
	return s.lease.Valid(now) && !s.promiseMayBeHeld(now) && s.IsPresent()
}

// changeInputs holds what the steps that propose a change depend on.
type changeInputs struct {
	*State
	record *Record // the record to change
	now    time.Time
	view   ControllerView
}

// entitledSteps propose the changes that only an entitled controller makes. The first one that is due is made.
var entitledSteps = []func(*changeInputs) *RecordChange{
	(*changeInputs).settleUnanswered,
	(*changeInputs).updateOwnShards,
	(*changeInputs).returnToHomes,
	(*changeInputs).excludeUnreachable,
	(*changeInputs).completeRoster,
	(*changeInputs).giveUpSearch,
	(*changeInputs).raiseTerm,
}

// firstDueChange returns the first change that is due; NextChange fills in its versions. Any controller that may change
// the record reconciles the members, when it is its turn. All other changes are left to entitled controllers.
func (s *State) firstDueChange(in *changeInputs) *RecordChange {
	if next, conditions := ReconcileMembers(in.record, in.view.ShardNames(), s.presences); next != nil {
		if !s.isOwnTurn(in.now) {
			return nil
		}
		return &RecordChange{Record: next, Conditions: conditions, Reason: MembersChanged}
	}
	s.membersOutdatedSince = time.Time{}
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

// isOwnTurn reports whether it is this controller's turn to reconcile the members. It also notes since when that is
// due.
func (s *State) isOwnTurn(now time.Time) bool {
	if s.membersOutdatedSince.IsZero() {
		s.membersOutdatedSince = now
	}
	return now.Sub(s.membersOutdatedSince) >= s.ownTurnDelay()
}

// ownTurnDelay is how long this controller leaves a change that any controller may make to those whose names sort before
// its own.
func (s *State) ownTurnDelay() time.Duration {
	turn := slices.Index(slices.Sorted(maps.Keys(s.presences)), s.self)
	return time.Duration(turn) * turnDelay
}

// settleUnanswered writes the known record again while a change that got no answer may still be applied to it.
// Once another change based on the same version is written, the unanswered one can only fail.
func (in *changeInputs) settleUnanswered() *RecordChange {
	if in.unansweredVersion == 0 || in.unansweredVersion < in.recordVersion {
		return nil
	}
	return &RecordChange{Record: in.record.Clone(), Reason: ChangeUnsettled}
}

// updateOwnShards records which replicas of own shards are in sync, and hands shards over to their preferred owners.
func (in *changeInputs) updateOwnShards() *RecordChange {
	rebalance := in.now.Sub(in.stableSince) > rebalanceDelay
	next, handed := UpdateShards(in.record, in.self, in.view.ShardStatuses(in.now), rebalance)
	if next == nil {
		return nil
	}
	return &RecordChange{Record: next, Reason: OwnShards, HandedOver: handed}
}

// returnToHomes lets agents report to this controller again once they reach it.
func (in *changeInputs) returnToHomes() *RecordChange {
	reached := in.agentsReached
	in.agentsReached = false
	if !reached || !slices.Contains(in.record.Unreachable, in.self) {
		return nil
	}
	return &RecordChange{Record: WithReachability(in.record, in.self, false), Reason: AgentsReached}
}

// excludeUnreachable excludes a member that agents cannot reach from the homes, which are the controllers that agents
// report to.
func (in *changeInputs) excludeUnreachable() *RecordChange {
	member := in.view.UnreachableMember(in.now)
	if member == "" || in.now.Sub(in.termChangedAt) <= unreachableDelay {
		return nil
	}
	next := WithReachability(in.record, member, true)
	if next == nil {
		return nil
	}
	return &RecordChange{Record: next, Reason: MemberUnreachable, Member: member}
}

// completeRoster records, after a loss of data, that the roster lists every machine. Only the fleet's owner does this.
func (in *changeInputs) completeRoster() *RecordChange {
	if !in.record.RosterIncomplete || !in.view.OwnsFleet() || !in.view.RosterComplete() {
		return nil
	}
	next := in.record.Clone()
	next.RosterIncomplete = false
	return &RecordChange{Record: next, Reason: RosterCompleted}
}

// giveUpSearch ends the search for lost data. Only the fleet's owner does this.
func (in *changeInputs) giveUpSearch() *RecordChange {
	if !in.view.OwnsFleet() {
		return nil
	}
	next := in.view.GiveUpSearch(in.record, in.now)
	if next == nil {
		return nil
	}
	return &RecordChange{Record: next, Reason: SearchGivenUp}
}

// raiseTerm raises the term if that alone settles some attempts, or lets agents forget exited ones.
func (in *changeInputs) raiseTerm() *RecordChange {
	unchangedFor := in.now.Sub(in.termChangedAt)
	if unchangedFor <= unprovenTermDelay {
		return nil
	}
	switch {
	case in.view.NeedsRaisedTerm(in.now):
		return in.withRaisedTerm(UnprovenAttempts)
	case in.view.HasCrowdedList():
		return in.withRaisedTerm(CrowdedList)
	case unchangedFor > retentionPeriod+in.ownTurnDelay() && in.view.RetainsExits():
		return in.withRaisedTerm(RetainedExits)
	}
	return nil
}

// withRaisedTerm returns the change that only raises the term.
func (in *changeInputs) withRaisedTerm(reason Reason) *RecordChange {
	next := in.record.Clone()
	next.Term++
	return &RecordChange{Record: next, Reason: reason}
}

// AgentsReached records that agents reach this controller, even if the record lists it as unreachable.
func (s *State) AgentsReached() { s.agentsReached = true }

// ChangeOpen reports whether a change of the record that this controller sent may still be applied.
func (s *State) ChangeOpen() bool { return s.changePending || s.unansweredVersion != 0 }

// ChangeSent records that a change of the record is being sent.
func (s *State) ChangeSent() { s.changePending = true }

// ChangeAnswered records that the pending change was either written or definitely rejected.
func (s *State) ChangeAnswered() { s.changePending = false }

// ChangeUnanswered records that the pending change, based on the given version of the record, got no answer. It may
// still be applied until another change based on that version is.
func (s *State) ChangeUnanswered(version uint64) {
	s.changePending = false
	s.unansweredVersion = max(1, version) // 0 would mean that there is no unanswered change
}
