package leadership

import "time"

// PromiseDuration is how long a promise not to raise the term holds.
const PromiseDuration = 3 * time.Second

// promiseDrift is taken off a promise of another one: four times what clocks drift apart within PromiseLife (0.05%).
const promiseDrift = PromiseDuration / 500

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
// promise runs from when the peer sent it, which was after sent, a moment of this controller's clock: counted from
// then, and less the clocks' drift, it ends here first.
func (s *State) LearnPromise(node string, version uint64, sent time.Time) {
	until := sent.Add(PromiseDuration - promiseDrift)
	if p := s.peers[node]; p != nil && until.After(p.promisedUntil) {
		p.promisedUntil, p.promisedVersion = until, version
	}
}

// TryPromise promises the peers not to raise the term for PromiseLife, if this controller can: its own lease is not
// being renewed, as in an outage of the state service, and no change of the record that it sent may still be applied.
func (s *State) TryPromise(now time.Time, storeTrusted bool) bool {
	if now.Sub(s.leaseRenewedAt) <= s.lease.renewalOverdue() || s.ChangeOpen() || !storeTrusted {
		return false
	}
	s.promisedUntil = now.Add(PromiseDuration)
	return true
}

// PromisedUntil is until when this controller promised to raise no term.
func (s *State) PromisedUntil() time.Time { return s.promisedUntil }

// promiseMayBeHeld says whether a member without a lease may act by a promise of this controller, or of an earlier
// process of it: one whose key is gone. A newer process of a member holds no promise.
func (s *State) promiseMayBeHeld(now time.Time) bool {
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
