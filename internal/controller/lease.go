package controller

import (
	"context"
	"errors"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
)

// Timing of the lease renewal.
const (
	renewalsPerLease  = 4                      // per lease lifetime, while renewals succeed
	reacquireDelay    = 20 * time.Millisecond  // after the lease has expired
	renewalRetryDelay = 250 * time.Millisecond // after the state service did not answer
)

// presenceValue is the value of a controller's presence key, which is bound to its lease.
type presenceValue struct {
	Incarnation uint64 `json:"incarnation"`
	Protocol    int    `json:"protocol,omitempty"` // version of what the process understands; see protocolDependencies
}

// Values of presenceValue.Protocol. A process of an earlier version writes none.
const protocolDependencies = 1 // jobs may have dependencies

// maintainLease is the background task that keeps this controller's lease at the state service and its presence key.
func (n *Node) maintainLease(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(n.renewLease(ctx))
		select {
		case <-timer.C:
		case <-n.recovery.ownKey.outdated:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// renewLease renews the lease, or acquires one and writes the presence key with it. It returns the delay until the next
// call.
func (n *Node) renewLease(ctx context.Context) time.Duration {
	n.mu.Lock()
	lease, written := n.leadership.LeaseID(), n.recovery.ownKey.written
	n.recovery.ownKey.written = true // set before the requests, so that a reset by presenceKey.rewrite meanwhile is kept
	n.mu.Unlock()
	sent := time.Now()
	lease, written, err := n.ensureLease(ctx, lease, written)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recovery.ownKey.written = n.recovery.ownKey.written && written
	return n.handleLeaseResult(lease, sent, err)
}

// ensureLease acquires a lease, renews it or writes the presence key, whichever is needed. It returns the lease and
// whether the presence key is written.
func (n *Node) ensureLease(ctx context.Context, lease uint64, written bool) (uint64, bool, error) {
	var err error
	if lease == 0 {
		written = false
		lease, err = n.acquireLease(ctx)
	} else if written {
		err = n.kvStore.RenewLease(ctx, lease)
	}
	if err != nil || written {
		return lease, written, err
	}
	if err := n.writeOwnKey(ctx, lease); err != nil {
		return lease, false, err
	}
	n.log.Info("lease acquired", "lease", lease)
	return lease, true, nil
}

// acquireLease requests a lease from the state service.
func (n *Node) acquireLease(ctx context.Context) (uint64, error) {
	lease, err := n.kvStore.GrantLease(ctx, n.leadership.LeaseTTL())
	if err != nil {
		return lease, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leadership.LeaseGranted(lease)
	return lease, nil
}

// handleLeaseResult records the result of the lease requests and returns the delay until the next ones.
func (n *Node) handleLeaseResult(lease uint64, sent time.Time, err error) time.Duration {
	switch {
	case err == nil:
		n.leadership.LeaseRenewed(sent)
		return n.leadership.LeaseTTL() / renewalsPerLease
	case errors.Is(err, kvstore.ErrLeaseExpired):
		n.log.Info("lease expired at the state service", "lease", lease)
		if n.leadership.LeaseExpired(sent) {
			n.recovery.detection.suspectLoss(datarecovery.SignLeaseGone)
		}
		return reacquireDelay
	}
	n.log.Debug("lease not renewed", "err", err)
	return renewalRetryDelay
}

// writeOwnKey writes this process's presence key. The write is conditional on the key's version, so that a delayed
// write of an earlier process has no effect.
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
	value := protocol.Encode(presenceValue{Incarnation: n.incarnation, Protocol: protocolDependencies})
	_, _, err = n.kvStore.CommitControl(ctx, protocol.Txn{
		Conditions: []protocol.Condition{guard},
		Then:       []protocol.Op{{Set: key, Value: value, Lease: lease}},
	})
	return err
}
