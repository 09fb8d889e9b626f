package leadership

import (
	"maps"
	"slices"
	"time"
)

// State is what one controller knows of the leadership: the membership record under its version, who is present by
// the keys that leases hold, its own lease, and the promises between controllers. It decides by them whether the
// controller may act. It has no lock: the controller's own guards it.
type State struct {
	self        string
	incarnation uint64

	record        *Record
	recordVersion uint64 // of the record's key
	presences     map[string]Presence

	lease          Lease
	leaseID        uint64    // in the state service; 0: none
	leaseRenewedAt time.Time // when the last renewal that worked was sent

	promisedUntil time.Time // this controller raises no term before
	peers         map[string]*peer

	changePending      bool   // a change of the record is on its way
	unansweredVersion  uint64 // version under which a change had no answer
	memberMissingSince time.Time
	termChangedAt      time.Time
	settledAt          time.Time // since when the members, and who can be reached, are what they are
}

// peer is what a controller knows of another one's promises.
type peer struct {
	promisedUntil   time.Time // it raises no term before
	promisedVersion uint64    // of the newest record under which it promised so
}

// PromiseLife is how long a promise not to raise the term holds.
const PromiseLife = 3 * time.Second

// New is the state of a process that has read nothing yet. An earlier process of the same controller may have
// promised something right before it ended, so that this one is bound as if it had promised now.
func New(self string, incarnation uint64, lease Lease, peers []string, now time.Time) *State {
	s := &State{self: self, incarnation: incarnation, lease: lease, presences: map[string]Presence{}, peers: map[string]*peer{},
		settledAt: now, leaseRenewedAt: now, promisedUntil: now.Add(PromiseLife)}
	for _, name := range peers {
		s.peers[name] = &peer{}
	}
	return s
}

// Record is the membership record as last adopted; nil before the first. Callers don't change it.
func (s *State) Record() *Record { return s.record }

// RecordVersion is the version of the record's key; 0 before the first record, and while a new epoch is entered.
func (s *State) RecordVersion() uint64 { return s.recordVersion }

// Term is the record's term; 0 before the first.
func (s *State) Term() uint64 {
	if s.record == nil {
		return 0
	}
	return s.record.Term
}

// Epoch is the number of the state service's data that the record belongs to; 0 before the first.
func (s *State) Epoch() uint64 {
	if s.record == nil {
		return 0
	}
	return s.record.Epoch
}

// IsMember says whether the record names this process.
func (s *State) IsMember() bool {
	return s.record != nil && s.record.Nodes[s.self] == s.incarnation
}

// Presence is what is known of a controller's key; zero: it is not there.
func (s *State) Presence(node string) Presence { return s.presences[node] }

// IsPresent says whether this process's own key is there as far as known.
func (s *State) IsPresent() bool { return s.presences[s.self].Incarnation == s.incarnation }

// Presences is what is known of all controllers' keys. Callers don't change it.
func (s *State) Presences() map[string]Presence { return s.presences }

// LearnPresence takes in a controller's key, unless a later version of it is known.
func (s *State) LearnPresence(node string, p Presence) {
	if s.presences[node].Version < p.Version {
		s.presences[node] = p
	}
}

// LearnAbsence takes in that a controller's key was deleted by a change of that version.
func (s *State) LearnAbsence(node string, version uint64) {
	if s.presences[node].Version <= version {
		delete(s.presences, node)
	}
}

// RetainPresences forgets the keys of all controllers that a full list does not name.
func (s *State) RetainPresences(listed func(node string) bool) {
	maps.DeleteFunc(s.presences, func(node string, _ Presence) bool { return !listed(node) })
}

// LeaseLife is how long a lease lasts at the state service without a renewal.
func (s *State) LeaseLife() time.Duration { return s.lease.Life }

// LeaseID names the lease at the state service; 0: there is none.
func (s *State) LeaseID() uint64 { return s.leaseID }

// LeaseGranted takes in the lease that the state service granted. It proves nothing before its first renewal.
func (s *State) LeaseGranted(id uint64) { s.leaseID = id }

// LeaseRenewed takes in a renewal that worked, by the moment before it was sent.
func (s *State) LeaseRenewed(sent time.Time) {
	s.lease.Renewed(sent)
	s.leaseRenewedAt = sent
}

// LeaseExpired takes in that the state service did not know the lease at a renewal sent at that moment. It says whether the
// lease was renewed so recently that it can't have expired, so that the state service must have lost it.
func (s *State) LeaseExpired(sent time.Time) (tooEarly bool) {
	tooEarly = sent.Sub(s.leaseRenewedAt) < s.lease.Life*9/10 && s.lease.Valid(sent)
	s.leaseID = 0
	s.lease.Lost()
	return tooEarly
}

// HoldsLease says whether the own lease surely lives.
func (s *State) HoldsLease(now time.Time) bool { return s.lease.Valid(now) }

// Entitled says whether this controller may act: the state service has what it acknowledged, as far as the caller knows; the
// record names this process; and either its lease lives or every other controller promised to raise no term for
// now, under this record or an earlier one.
func (s *State) Entitled(now time.Time, storeTrusted bool) bool {
	return storeTrusted && s.IsMember() && (s.lease.Valid(now) || s.HoldsPromises(now))
}

// HoldsPromises says whether every other controller promised to raise no term for now.
func (s *State) HoldsPromises(now time.Time) bool {
	for _, p := range s.peers {
		// One that knows a later record promises not to raise the term above that one: this
		// controller may have no part in it.
		if !now.Before(p.promisedUntil) || p.promisedVersion > s.recordVersion {
			return false
		}
	}
	return true
}

// LearnPromise takes in that a peer promised, under a record of that version, to raise no term for PromiseLife. The
// promise runs from when the peer sent it, which was after sent, a moment of this controller's clock: counted from then, and
// less the clocks' drift, it ends here first.
func (s *State) LearnPromise(node string, version uint64, sent time.Time) {
	until := sent.Add(PromiseLife - PromiseLife/500)
	if p := s.peers[node]; p != nil && until.After(p.promisedUntil) {
		p.promisedUntil, p.promisedVersion = until, version
	}
}

// Promise promises the peers not to raise the term for PromiseLife, if this controller can: its own lease is not being
// renewed, as in an outage of the state service, and no change of the record that it sent may still be applied.
func (s *State) Promise(now time.Time, storeTrusted bool) bool {
	if now.Sub(s.leaseRenewedAt) <= s.lease.Life*2/5 || s.ChangeOpen() || !storeTrusted {
		return false
	}
	s.promisedUntil = now.Add(PromiseLife)
	return true
}

// PromisedUntil is until when this controller promised to raise no term.
func (s *State) PromisedUntil() time.Time { return s.promisedUntil }

// PromiseMayBeHeld says whether a member without a lease may act by a promise of this controller, or of an earlier
// process of it: one whose key is gone. A newer process of a member holds no promise.
func (s *State) PromiseMayBeHeld(now time.Time) bool {
	if s.record == nil || !now.Before(s.promisedUntil) {
		return false
	}
	for name := range s.record.Nodes {
		if _, present := s.presences[name]; !present {
			return true
		}
	}
	return false
}

// ChangeOpen says whether a change of the record that this controller sent may still be applied.
func (s *State) ChangeOpen() bool { return s.changePending || s.unansweredVersion != 0 }

// ChangeSent takes in that a change of the record goes out.
func (s *State) ChangeSent() { s.changePending = true }

// ChangeAnswered takes in that a change was written or surely not.
func (s *State) ChangeAnswered() { s.changePending = false }

// ChangeUnanswered takes in that a change of the record of that version had no answer. It may be applied until another one of
// the same version is.
func (s *State) ChangeUnanswered(version uint64) {
	s.changePending = false
	s.unansweredVersion = max(1, version)
}

// ChangeUnsettled says whether a change without an answer may yet be applied to the record known.
func (s *State) ChangeUnsettled() bool {
	return s.unansweredVersion != 0 && s.unansweredVersion >= s.recordVersion
}

// turnAfter is how long each controller leaves a change of the members to those before it in order of names.
const turnAfter = 350 * time.Millisecond

// OurTurn says whether it is this controller's turn to change the members. It notes since when they are to be changed.
func (s *State) OurTurn(now time.Time) bool {
	if s.memberMissingSince.IsZero() {
		s.memberMissingSince = now
	}
	turn := slices.Index(slices.Sorted(maps.Keys(s.presences)), s.self)
	return now.Sub(s.memberMissingSince) >= time.Duration(turn)*turnAfter
}

// MembersStand takes in that the members are those that are present.
func (s *State) MembersStand() { s.memberMissingSince = time.Time{} }

// SettledAt is since when the members, and which of them workers can reach, are what they are.
func (s *State) SettledAt() time.Time { return s.settledAt }

// SettleAnew begins to count silence anew, as after this process stood still or nobody was entitled.
func (s *State) SettleAnew(now time.Time) { s.settledAt = now }

// TermChangedAt is when the present term was learned.
func (s *State) TermChangedAt() time.Time { return s.termChangedAt }

// EnterStore forgets what was read from the state service's earlier data: versions and keys there begin anew. The record
// stays for comparison until one of the new data is adopted.
func (s *State) EnterStore() {
	s.recordVersion, s.unansweredVersion = 0, 0
	s.presences, s.memberMissingSince = map[string]Presence{}, time.Time{}
}

// Adoption is what a record that was adopted changes.
type Adoption struct {
	TermChanged     bool
	EpochBegan      bool // the first record of its epoch here
	RosterCompleted bool
	LossSettled     bool // what is known is all that there will be
}

// Adopt makes a record the one known, and says what that changes; nil if one of this version or a later one is known.
func (s *State) Adopt(r *Record, version uint64, now time.Time) *Adoption {
	if version <= s.recordVersion {
		return nil
	}
	if version > s.unansweredVersion {
		s.unansweredVersion = 0 // a change that is still on its way will meet another version
	}
	old := s.record
	s.record, s.recordVersion = r, version
	a := &Adoption{
		TermChanged:     old == nil || old.Term != r.Term,
		EpochBegan:      r.Epoch > 0 && (old == nil || old.Epoch != r.Epoch),
		RosterCompleted: old != nil && old.RosterIncomplete && !r.RosterIncomplete,
		LossSettled:     old != nil && old.DataLost && !r.DataLost,
	}
	if a.TermChanged {
		if old == nil || !maps.Equal(old.Nodes, r.Nodes) || !slices.Equal(old.Unreachable, r.Unreachable) {
			s.settledAt = now
		}
		s.termChangedAt = now
	}
	return a
}

// Verdict is what a record that was read is beside the one known.
type Verdict int

// Verdicts.
const (
	Follows      Verdict = iota // it is to be adopted
	KnownAlready                // it was read before the one known was written
	OfNewerEpoch                // all is read anew before anything rests on it
	Older                       // newer by version and older by content: the state service lost data
	Unchained                   // written over data that had gone back: no comparison of versions shows the loss any more
)

// Judge compares a record that the state service has under a version with the one known.
func (s *State) Judge(r *Record, version uint64) Verdict {
	known := s.record
	switch {
	case known == nil:
		return Follows
	case r.Epoch > known.Epoch:
		return OfNewerEpoch
	case version <= s.recordVersion:
		return KnownAlready
	case r.Epoch < known.Epoch, r.Term < known.Term, r.StoreID != known.StoreID:
		// A store that went back and on again, past the revision that was seen, or one that
		// was begun anew by a process that found none.
		return Older
	case r.PreviousVersion != 0 && r.PreviousVersion < s.recordVersion:
		return Unchained
	}
	return Follows
}
