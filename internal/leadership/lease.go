package leadership

import "time"

// Lease tracks, by the controller's own monotonic clock, whether its lease in the state service is certainly valid.
type Lease struct {
	TTL    time.Duration // in the state service, counted from a renewal
	Margin time.Duration // how long before the expiry the controller stops acting
	sent   time.Time
	held   bool
}

// Renewed records a successful renewal. The lease runs from the moment just before the renewal was sent.
func (l *Lease) Renewed(sent time.Time) {
	if !l.held || sent.After(l.sent) {
		l.sent, l.held = sent, true
	}
}

// Lost records that the lease no longer exists.
func (l *Lease) Lost() { l.held = false }

// Valid reports whether the lease is certainly valid at a moment. Clocks drift apart by at most 0.05%; twice that is
// subtracted.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && now.Sub(l.sent) < l.TTL-l.TTL/1000-l.Margin
}

// renewalOverdue returns the time without a renewal after which the state service counts as unreachable.
func (l *Lease) renewalOverdue() time.Duration { return l.TTL * 2 / 5 }

// guaranteedTTL returns the time after a renewal within which the state service cannot have expired the lease, whatever
// the clocks' drift.
func (l *Lease) guaranteedTTL() time.Duration { return l.TTL * 9 / 10 }

// LeaseTTL returns how long a lease lasts in the state service without a renewal.
func (s *State) LeaseTTL() time.Duration { return s.lease.TTL }

// LeaseID returns the lease's ID in the state service, or 0 if there is none.
func (s *State) LeaseID() uint64 { return s.leaseID }

// LeaseGranted records the lease that the state service granted. The lease is not valid before its first renewal.
func (s *State) LeaseGranted(id uint64) { s.leaseID = id }

// LeaseRenewed records a successful renewal; sent is the moment just before it was sent.
func (s *State) LeaseRenewed(sent time.Time) {
	s.lease.Renewed(sent)
	s.leaseRenewedAt = sent
}

// LeaseExpired records that a renewal sent at the given moment found no such lease in the state service. It reports
// whether the lease was renewed too recently to have expired, which means that the state service lost it.
func (s *State) LeaseExpired(sent time.Time) (tooEarly bool) {
	tooEarly = sent.Sub(s.leaseRenewedAt) < s.lease.guaranteedTTL() && s.lease.Valid(sent)
	s.leaseID = 0
	s.lease.Lost()
	return tooEarly
}

// HoldsLease reports whether this controller's lease is certainly valid.
func (s *State) HoldsLease(now time.Time) bool { return s.lease.Valid(now) }
