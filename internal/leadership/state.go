package leadership

import (
	"maps"
	"slices"
	"time"
)

// State is what one controller knows of the leadership: the membership record under its version, who is present by
// the keys that leases hold, its own lease, and the promises between controllers. It decides by them whether the
// controller may act, and which change of the record it should try. It has no lock: the controller's own guards it.
// Times that come in are of one steady clock and do not go back.
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

	changePending      bool   // a change of the record is on its way to the state service
	unansweredVersion  uint64 // version under which a change had no answer
	memberMissingSince time.Time
	termChangedAt      time.Time
	agentsReached      bool      // though the record says that agents cannot reach this controller
	settledAt          time.Time // since when the members, and who can be reached, are what they are
}

// peer is what a controller knows of another one.
type peer struct {
	promisedUntil   time.Time // it raises no term before
	promisedVersion uint64    // of the newest record under which it promised so
	behindSince     time.Time // since when it has known an earlier record; zero: it does not
	recordSentAt    time.Time // when it was last sent the record
}

// New is the state of a process that has read nothing yet. An earlier process of the same controller may have
// promised something right before it ended, so that this one is bound as if it had promised now.
func New(self string, incarnation uint64, lease Lease, peers []string, now time.Time) *State {
	s := &State{
		self:           self,
		incarnation:    incarnation,
		presences:      map[string]Presence{},
		lease:          lease,
		leaseRenewedAt: now,
		promisedUntil:  now.Add(PromiseDuration),
		peers:          map[string]*peer{},
		settledAt:      now,
	}
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
	return s.record != nil && s.record.IsMember(s.self, s.incarnation)
}

// Presence is what is known of a controller's key; zero: it is not there.
func (s *State) Presence(node string) Presence { return s.presences[node] }

// IsPresent says whether this process's own key is there as far as known.
func (s *State) IsPresent() bool { return s.presences[s.self].Incarnation == s.incarnation }

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

// Entitled says whether this controller may act: the state service has what it acknowledged, as far as the caller
// knows; the record names this process; and either its lease lives or every other controller promised to raise no term
// for now, under this record or an earlier one.
func (s *State) Entitled(now time.Time, storeTrusted bool) bool {
	return storeTrusted && s.IsMember() && (s.lease.Valid(now) || s.HoldsPromises(now))
}

// StableSince is since when the members, and which of them agents can reach, are what they are.
func (s *State) StableSince() time.Time { return s.settledAt }

// ResetStableSince counts silence from now on, as after this process stood still or nobody was entitled.
func (s *State) ResetStableSince(now time.Time) { s.settledAt = now }

// ResetForNewEpoch forgets what was read from the state service's earlier data: versions and keys there begin anew. The
// record stays for comparison until one of the new data is adopted.
func (s *State) ResetForNewEpoch() {
	s.recordVersion, s.unansweredVersion = 0, 0
	s.presences, s.memberMissingSince = map[string]Presence{}, time.Time{}
}

// AdoptResult is what a record that was adopted changes.
type AdoptResult struct {
	TermChanged     bool
	EpochBegan      bool // the first record of its epoch here
	RosterCompleted bool
	SearchGivenUp   bool // what is known is all that there will be
}

// Adopt makes a record the one known, and says what that changes; nil if one of this version or a later one is known.
func (s *State) Adopt(r *Record, version uint64, now time.Time) *AdoptResult {
	if version <= s.recordVersion {
		return nil
	}
	if version > s.unansweredVersion {
		s.unansweredVersion = 0 // a change that is still on its way will meet another version
	}
	old := s.record
	s.record, s.recordVersion = r, version
	a := &AdoptResult{
		TermChanged:     old == nil || old.Term != r.Term,
		EpochBegan:      r.Epoch > 0 && (old == nil || old.Epoch != r.Epoch),
		RosterCompleted: old != nil && old.RosterIncomplete && !r.RosterIncomplete,
		SearchGivenUp:   old != nil && old.DataLost && !r.DataLost,
	}
	if a.TermChanged {
		if old == nil || !maps.Equal(old.Nodes, r.Nodes) || !slices.Equal(old.Unreachable, r.Unreachable) {
			s.settledAt = now
		}
		s.termChangedAt = now
	}
	return a
}

// RecordComparison is what a record that was read is beside the one known.
type RecordComparison int

// Verdicts.
const (
	RecordFollows      RecordComparison = iota // it is to be adopted
	RecordKnown                                // it was read before the one known was written
	RecordOfNewerEpoch                         // all is read anew before anything rests on it
	RecordOlder                                // newer by version and older by content: the state service lost data
	RecordChainBroken                          // written over data that had gone back: versions do not show the loss any more
)

// CompareRecord compares a record that the state service has under a version with the one known.
func (s *State) CompareRecord(r *Record, version uint64) RecordComparison {
	known := s.record
	switch {
	case known == nil:
		return RecordFollows
	case r.Epoch > known.Epoch:
		return RecordOfNewerEpoch
	case version <= s.recordVersion:
		return RecordKnown
	case r.Epoch < known.Epoch, r.Term < known.Term, r.StoreID != known.StoreID:
		// A store that went back and on again, past the revision that was seen, or one that
		// was begun anew by a process that found none.
		return RecordOlder
	case r.PreviousVersion != 0 && r.PreviousVersion < s.recordVersion:
		return RecordChainBroken
	}
	return RecordFollows
}
