package leadership

import "time"

// PromiseDuration is how long a promise not to raise the term is binding.
const PromiseDuration = 3 * time.Second

// promiseDrift is subtracted from a peer's promise: four times what clocks drift apart within PromiseDuration (0.05%).
const promiseDrift = PromiseDuration / 500

// HoldsPromises reports whether every other controller has promised not to raise the term for now.
func (s *State) HoldsPromises(now time.Time) bool {
	for _, p := range s.peers {
		// A peer that knows a later record promises not to raise the term of that record, which may no longer list this
		// controller.
		if !now.Before(p.promisedUntil) || p.promisedVersion > s.recordVersion {
			return false
		}
	}
	return true
}

// LearnPromise records a peer's promise, made under the given version of the record, not to raise the term for
// PromiseDuration. The promise runs from when the peer sent it, which was after sent, a moment by this controller's
// clock. Counted from sent and reduced by the clocks' drift, it therefore ends here before it ends at the peer.
func (s *State) LearnPromise(node string, version uint64, sent time.Time) {
	until := sent.Add(PromiseDuration - promiseDrift)
	if p := s.peers[node]; p != nil && until.After(p.promisedUntil) {
		p.promisedUntil, p.promisedVersion = until, version
	}
}

// TryPromise promises the peers not to raise the term for PromiseDuration, and reports whether it did. It does so only
// if this controller's own lease is not being renewed, as in an outage of the state service, no change of the record
// that it sent may still be applied, and there is no sign that the state service lost data (storeTrusted).
func (s *State) TryPromise(now time.Time, storeTrusted bool) bool {
	if now.Sub(s.leaseRenewedAt) <= s.lease.renewalOverdue() || s.ChangeOpen() || !storeTrusted {
		return false
	}
	s.promisedUntil = now.Add(PromiseDuration)
	return true
}

// PromisedUntil returns until when this controller has promised not to raise the term.
func (s *State) PromisedUntil() time.Time { return s.promisedUntil }

// promiseMayBeHeld reports whether a member without a lease may be acting on a promise made by this controller or an
// earlier process of it. Such a member's key does not exist. A member whose process was replaced by a newer one does
// not hold the promise.
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
