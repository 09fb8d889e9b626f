package controller

import (
	"context"
	"errors"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
)

// Times of the duty that holds the lease.
const (
	renewalsPerLease  = 4                      // while all goes well
	leaseAgainAfter   = 20 * time.Millisecond  // when the lease has expired
	renewalRetryAfter = 250 * time.Millisecond // when the state service did not answer
)

// presenceValue is the value of a controller's key, which its lease holds.
type presenceValue struct {
	Incarnation uint64 `json:"incarnation"`
}

// keepLease is the duty that holds this controller's lease at the state service, and the key that shows it to all.
func (n *Node) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(n.renewLease(ctx))
		select {
		case <-timer.C:
		case <-n.recovery.ownKeyOutdated:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// renewLease renews the lease, or takes one and writes the own key with it. It says after what time to do so again.
func (n *Node) renewLease(ctx context.Context) time.Duration {
	n.mu.Lock()
	lease, written := n.leadership.LeaseID(), n.recovery.ownKeyWritten
	n.recovery.ownKeyWritten = true // unless something says meanwhile that it is not
	n.mu.Unlock()
	sent := time.Now()
	lease, written, err := n.holdLease(ctx, lease, written)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recovery.ownKeyWritten = n.recovery.ownKeyWritten && written
	return n.leaseAnswered(lease, sent, err)
}

// holdLease asks the state service for what is missing of a lease, a renewal of it and the own key. It returns the
// lease that was asked about, and whether the own key is written.
func (n *Node) holdLease(ctx context.Context, lease uint64, written bool) (uint64, bool, error) {
	var err error
	if lease == 0 {
		written = false
		lease, err = n.takeLease(ctx)
	} else if written {
		err = n.kvStore.RenewLease(ctx, lease)
	}
	if err != nil || written {
		return lease, written, err
	}
	if err := n.writeOwnKey(ctx, lease); err != nil {
		return lease, false, err
	}
	n.log.Info("lease taken", "lease", lease)
	return lease, true, nil
}

// takeLease has the state service grant a lease.
func (n *Node) takeLease(ctx context.Context) (uint64, error) {
	lease, err := n.kvStore.GrantLease(ctx, n.leadership.LeaseTTL())
	if err != nil {
		return lease, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leadership.LeaseGranted(lease)
	return lease, nil
}

// leaseAnswered takes in what came of the requests for a lease, and says after what time to make the next.
func (n *Node) leaseAnswered(lease uint64, sent time.Time, err error) time.Duration {
	switch {
	case err == nil:
		n.leadership.LeaseRenewed(sent)
		return n.leadership.LeaseTTL() / renewalsPerLease
	case errors.Is(err, kvstore.ErrLeaseExpired):
		n.log.Info("lease ended at the state service", "lease", lease)
		if n.leadership.LeaseExpired(sent) {
			n.suspectLoss(datarecovery.SignLeaseGone)
		}
		return leaseAgainAfter
	}
	n.log.Debug("lease not renewed", "err", err)
	return renewalRetryAfter
}

// writeOwnKey writes this process's key. The write is guarded by the key's version, so
// that a late one of an earlier process changes nothing.
func (n *Node) writeOwnKey(ctx context.Context, lease uint64) error {
	key := presencePrefix + n.name
	guard := protocol.Condition{Key: key}
	e, err := n.kvStore.GetControl(ctx, key)
	if err != nil {
		return err
	}
	if e != nil {
		guard.Version = e.Version
	}
	value := protocol.Encode(presenceValue{n.incarnation})
	_, _, err = n.kvStore.CommitControl(ctx, protocol.Txn{
		Conditions: []protocol.Condition{guard},
		Then:       []protocol.Op{{Set: key, Value: value, Lease: lease}},
	})
	return err
}
