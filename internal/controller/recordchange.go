package controller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// How the control record changes: each controller looks many times a second whether it should, writes the next record under
// the version of the one before, and begins anew with what another one wrote meanwhile.

// Times of looking whether the record is to be changed.
const (
	recordLookEvery   = 100 * time.Millisecond
	refreshRetryAfter = 200 * time.Millisecond
)

// recordChange is a next control record on its way to the state service.
type recordChange struct {
	record     *leadership.Record
	conditions []leadership.Condition
	reason     string
	version    uint64 // of the record that it replaces; 0: there is none
	marker     uint64 // version of the store's marker, 0 if it is not known
}

// keepRecord changes the control record when members come or go, and for this
// controller's own items.
func (n *Node) keepRecord(ctx context.Context) error {
	started := time.Now()
	ticker := time.NewTicker(recordLookEvery)
	defer ticker.Stop()
	var backoff leadership.Backoff
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.renew:
			if err := n.refresh(ctx); err != nil {
				pause(ctx, refreshRetryAfter)
			}
			continue
		case <-ticker.C:
		}
		change := n.nextChange(started)
		if change == nil {
			continue
		}
		err := n.propose(ctx, change)
		if err == nil {
			backoff.Written()
			continue
		}
		if err := n.refresh(ctx); err != nil {
			pause(ctx, refreshRetryAfter)
		}
		if errors.Is(err, kvstore.ErrConflict) && change.reason == upkeepReason {
			n.mu.Lock()
			wait := backoff.Refused(n.rng, len(change.record.Nodes))
			n.mu.Unlock()
			pause(ctx, wait)
		}
	}
}

// nextChange is what this controller should try to write now; nil for nothing.
func (n *Node) nextChange(started time.Time) *recordChange {
	n.mu.Lock()
	defer n.mu.Unlock()
	next, conditions, reason := n.proposal(time.Now(), started)
	n.raising = next != nil
	if next == nil {
		return nil
	}
	change := &recordChange{record: next, conditions: conditions, reason: reason, version: n.version}
	if n.record != nil {
		change.marker = n.store.markers[datarecovery.StoreKey+n.record.Store]
	}
	if change.version == 0 { // the first record: the generation begins with it
		next.Generation, next.First, next.Store = 1, next.Term, drawn()
	}
	next.After = change.version
	return change
}

// transaction writes the record if nothing that it rests on has changed.
func (c *recordChange) transaction() protocol.Txn {
	next, marker := c.record, datarecovery.StoreKey+c.record.Store
	txn := protocol.Txn{Guards: []protocol.Guard{{Key: controlKey, Version: c.version}}, Then: []protocol.Op{{Set: controlKey, Value: protocol.Encode(next)}}}
	for _, condition := range c.conditions {
		txn.Guards = append(txn.Guards, protocol.Guard{Key: nodeKey + condition.Node, Version: condition.Version})
	}
	if c.version == 0 {
		txn.Then = append(txn.Then, protocol.Op{Set: marker, Value: []byte("{}")})
		txn.Guards = append(txn.Guards, protocol.Guard{Key: marker})
	} else if c.marker > 0 {
		txn.Guards = append(txn.Guards, protocol.Guard{Key: marker, Version: c.marker})
	}
	return txn
}

// propose tries to write a record, and takes it up if that worked.
func (n *Node) propose(ctx context.Context, c *recordChange) error {
	revision, failed, err := n.state.TxnControl(ctx, c.transaction())
	n.log.Info("control record proposed", "term", c.record.Term, "reason", c.reason, "err", err, "failed", failed)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.raising = false
	switch {
	case err == nil:
		n.adopt(c.record, revision)
	case errors.Is(err, kvstore.ErrRefused): // it was not executed and will not be
		for _, it := range n.items {
			it.frozen, it.adding = false, nil
		}
	case !errors.Is(err, kvstore.ErrConflict):
		n.unsure = max(1, c.version)
	}
	return err
}

// upkeepReason is the reason of changes for own items.
const upkeepReason = "upkeep"

// mayHold says whether a member without a lease may act by a promise of this
// controller, or of an earlier process of it: one whose key is gone. A newer
// process of a member holds no promise.
func (n *Node) mayHold() bool {
	if n.record == nil {
		return false
	}
	for name := range n.record.Nodes {
		if _, there := n.live[name]; !there {
			return true
		}
	}
	return false
}

// proposal is the change of the record that this controller should try now.
func (n *Node) proposal(now, started time.Time) (*leadership.Record, []leadership.Condition, string) {
	if !n.listed || !n.trusted() || !n.lease.Valid(now) || (now.Before(n.promised) && n.mayHold()) || n.live[n.name].Incarnation != n.inc {
		return nil, nil, ""
	}
	record := n.record
	if record == nil {
		if len(n.live) < len(n.set.Peers)+1 && now.Sub(started) < 2500*time.Millisecond {
			return nil, nil, ""
		}
		// Drawn, so that workers' tokens tell an earlier store's terms from this one's.
		record = (&leadership.Record{Term: 1<<10 + n.rng.Uint64N(1<<20)}).Clone()
	}
	if next, conds := leadership.Repair(record, n.itemNames(), n.live); next != nil {
		if n.missing.IsZero() {
			n.missing = now
		}
		turn := slices.Index(slices.Sorted(maps.Keys(n.live)), n.name)
		if now.Sub(n.missing) < time.Duration(turn)*350*time.Millisecond {
			return nil, nil, ""
		}
		return next, conds, "members changed"
	}
	n.missing = time.Time{}
	if !n.entitled(now) {
		return nil, nil, ""
	}
	if n.unsure != 0 && n.unsure >= n.version {
		// A change without an answer may yet be applied; any other change of the
		// same version rules that out.
		return record.Clone(), nil, "settle an unanswered change"
	}
	syncs := n.syncs(now)
	rebalance := now.Sub(n.settled) > 3*time.Second
	if next, handed := leadership.Upkeep(record, n.name, syncs, rebalance); next != nil {
		for _, name := range handed {
			n.items[name].frozen = true
		}
		for name, it := range next.Items {
			if have := n.items[name]; have != nil {
				have.adding = it.InSync
			}
		}
		return next, nil, upkeepReason
	}
	if slices.Contains(record.Deaf, n.name) {
		if n.hears {
			n.hears = false
			return leadership.Hearing(record, n.name, false), nil, "workers can be reached again"
		}
	} else {
		n.hears = false
	}
	if home := n.unheard(now); home != "" && now.Sub(n.bumped) > 3*time.Second {
		if next := leadership.Hearing(record, home, true); next != nil {
			return next, nil, "workers cannot reach " + home
		}
	}
	if record.Census && n.items[leadership.Fleet] != nil && n.rosterWhole() {
		next := record.Clone()
		next.Census = false
		return next, nil, "every machine is on the roster"
	}
	if n.items[leadership.Fleet] != nil {
		if next := datarecovery.GiveUp(record, now.Sub(n.store.entered), settings.Seconds(n.opt.CopyWait)); next != nil {
			return next, nil, "no copy was put back in time: what nobody knows is lost for good"
		}
	}
	if n.needTerm(now) && now.Sub(n.bumped) > 5*time.Second {
		next := record.Clone()
		next.Term++
		return next, nil, "unproven attempts"
	}
	return nil, nil, ""
}
