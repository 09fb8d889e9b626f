package leadership

import (
	"maps"
	"slices"
	"time"
)

// State is one controller's view of the leadership: the membership record and its version, the controllers whose leased
// keys are present in the state service, its own lease, and the promises between controllers. It decides whether the
// controller may act and which change of the record it should attempt. It has no lock; the controller's lock guards it.
// All times passed in come from one monotonic clock and never decrease.
type State struct {
	self        string
	incarnation uint64

	record        *Record
	recordVersion uint64 // of the record's key
	presences     map[string]Presence

	lease          Lease
	leaseID        uint64    // in the state service; 0 if none
	leaseRenewedAt time.Time // send time of the last successful renewal

	promisedUntil time.Time // until then, this controller does not raise the term
	peers         map[string]*peer

	changePending        bool      // a change of the record was sent and has no result yet
	unansweredVersion    uint64    // base version of a change that got no answer; 0 if none
	membersOutdatedSince time.Time // since when the members need reconciling; zero if they do not
	termChangedAt        time.Time
	agentsReached        bool      // agents reached this controller, though the record may list it as unreachable
	stableSince          time.Time // since when the members and their reachability are unchanged
}

// peer is what this controller knows about another controller.
type peer struct {
	promisedUntil   time.Time // until then, the peer does not raise the term
	promisedVersion uint64    // record version under which it gave that promise
	behindSince     time.Time // since when it lags behind this controller's record; zero if it does not
	recordSentAt    time.Time // when it was last sent the record
}

// New returns the state of a process that has read nothing yet. An earlier process of the same controller may have made
// a promise right before it ended, so the new process is bound as if it had made one now.
func New(self string, incarnation uint64, lease Lease, peers []string, now time.Time) *State {
	s := &State{
		self:           self,
		incarnation:    incarnation,
		presences:      map[string]Presence{},
		lease:          lease,
		leaseRenewedAt: now,
		promisedUntil:  now.Add(PromiseDuration),
		peers:          map[string]*peer{},
		stableSince:    now,
	}
	for _, name := range peers {
		s.peers[name] = &peer{}
	}
	return s
}

// Record returns the membership record as last adopted, or nil before the first one. Callers must not change it.
func (s *State) Record() *Record { return s.record }

// RecordVersion returns the version of the record's key. It is 0 before the first record and while the controller
// enters a new epoch.
func (s *State) RecordVersion() uint64 { return s.recordVersion }

// Term returns the record's term, or 0 before the first record.
func (s *State) Term() uint64 {
	if s.record == nil {
		return 0
	}
	return s.record.Term
}

// Epoch returns the record's epoch, which numbers the state service's data, or 0 before the first record.
func (s *State) Epoch() uint64 {
	if s.record == nil {
		return 0
	}
	return s.record.Epoch
}

// IsMember reports whether the record lists this process.
func (s *State) IsMember() bool {
	return s.record != nil && s.record.IsMember(s.self, s.incarnation)
}

// Presence returns what is known of a controller's key. It is zero if the key does not exist.
func (s *State) Presence(node string) Presence { return s.presences[node] }

// IsPresent reports whether this process's own key exists, as far as known.
func (s *State) IsPresent() bool { return s.presences[s.self].Incarnation == s.incarnation }

// LearnPresence records a controller's key unless a later version of it is known.
func (s *State) LearnPresence(node string, p Presence) {
	if s.presences[node].Version < p.Version {
		s.presences[node] = p
	}
}

// LearnAbsence records that a change of the given version deleted a controller's key.
func (s *State) LearnAbsence(node string, version uint64) {
	if s.presences[node].Version <= version {
		delete(s.presences, node)
	}
}

// RetainPresences drops the keys of all controllers that are missing from a complete listing.
func (s *State) RetainPresences(listed func(node string) bool) {
	maps.DeleteFunc(s.presences, func(node string, _ Presence) bool { return !listed(node) })
}

// Entitled reports whether this controller may act. The caller must have no sign that the state service lost
// acknowledged data (storeTrusted), the record must list this process, and either its lease is valid or every other
// controller has promised, under this record or an earlier one, not to raise the term for now.
func (s *State) Entitled(now time.Time, storeTrusted bool) bool {
	return storeTrusted && s.IsMember() && (s.lease.Valid(now) || s.HoldsPromises(now))
}

// StableSince returns since when the members and the set of those that agents cannot reach are unchanged.
func (s *State) StableSince() time.Time { return s.stableSince }

// ResetStableSince restarts the period of stability, for example after this process was suspended or while no
// controller was entitled: a controller's silence during that time does not count against it.
func (s *State) ResetStableSince(now time.Time) { s.stableSince = now }

// ResetForNewEpoch discards what was read from the state service's earlier data, since its versions and keys start
// over. The record is kept for comparison until a record of the new data is adopted.
func (s *State) ResetForNewEpoch() {
	s.recordVersion, s.unansweredVersion = 0, 0
	s.presences, s.membersOutdatedSince = map[string]Presence{}, time.Time{}
}

// AdoptResult reports what an adopted record changes.
type AdoptResult struct {
	TermChanged     bool
	EpochBegan      bool // this is the first adopted record of its epoch
	RosterCompleted bool
	SearchGivenUp   bool // the search for lost data ended: what was not found is lost
}

// Adopt replaces the known record and returns what changed, or nil if this version or a later one is already known.
func (s *State) Adopt(r *Record, version uint64, now time.Time) *AdoptResult {
	if version <= s.recordVersion {
		return nil
	}
	if version > s.unansweredVersion {
		s.unansweredVersion = 0 // a change still in flight will fail on the newer version
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
			s.stableSince = now
		}
		s.termChangedAt = now
	}
	return a
}

// RecordComparison classifies a record that was read against the known one.
type RecordComparison int

// Results of State.CompareRecord.
const (
	RecordFollows      RecordComparison = iota // it is newer and must be adopted
	RecordKnown                                // it is the known record or an earlier one
	RecordOfNewerEpoch                         // all keys must be read again before it is used
	RecordOlder                                // newer version but older content: the state service lost data
	RecordChainBroken                          // it replaced an older record than the known one, which was lost
)

// CompareRecord compares a record, and its version in the state service, with the known one.
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
		// The store was rolled back and has since advanced past the last revision seen here, or a process that found no
		// data initialized it again.
		return RecordOlder
	case r.PreviousVersion != 0 && r.PreviousVersion < s.recordVersion:
		return RecordChainBroken
	}
	return RecordFollows
}
