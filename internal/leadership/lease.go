package leadership

import "time"

// Lease is a controller's proof, by its own steady clock, that its lease lives.
type Lease struct {
	TTL    time.Duration // at the state service, from a renewal on
	Margin time.Duration // by which a controller stops before that
	sent   time.Time
	held   bool
}

// Renewed records a successful renewal, counted from before it was sent.
func (l *Lease) Renewed(sent time.Time) {
	if !l.held || sent.After(l.sent) {
		l.sent, l.held = sent, true
	}
}

// Lost forgets the lease.
func (l *Lease) Lost() { l.held = false }

// Valid says whether the lease surely lives at a moment. Clocks drift apart by
// at most 0.05%; twice that is taken off.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && now.Sub(l.sent) < l.TTL-l.TTL/1000-l.Margin
}

// renewalOverdue is after what time without a renewal the state service counts as out of reach.
func (l *Lease) renewalOverdue() time.Duration { return l.TTL * 2 / 5 }

// surelyLives is for how long after a renewal the state service can't have let the lease expire, whatever the clocks
// do.
func (l *Lease) surelyLives() time.Duration { return l.TTL * 9 / 10 }

// LeaseTTL is how long a lease lasts at the state service without a renewal.
func (s *State) LeaseTTL() time.Duration { return s.lease.TTL }

// LeaseID names the lease at the state service; 0: there is none.
func (s *State) LeaseID() uint64 { return s.leaseID }

// LeaseGranted takes in the lease that the state service granted. It proves nothing before its first renewal.
func (s *State) LeaseGranted(id uint64) { s.leaseID = id }

// LeaseRenewed takes in a renewal that worked, by the moment before it was sent.
func (s *State) LeaseRenewed(sent time.Time) {
	s.lease.Renewed(sent)
	s.leaseRenewedAt = sent
}

// LeaseExpired takes in that the state service did not know the lease at a renewal sent at that moment. It says whether
// the lease was renewed so recently that it can't have expired, so that the state service must have lost it.
func (s *State) LeaseExpired(sent time.Time) (tooEarly bool) {
	tooEarly = sent.Sub(s.leaseRenewedAt) < s.lease.surelyLives() && s.lease.Valid(sent)
	s.leaseID = 0
	s.lease.Lost()
	return tooEarly
}

// HoldsLease says whether the own lease surely lives.
func (s *State) HoldsLease(now time.Time) bool { return s.lease.Valid(now) }
