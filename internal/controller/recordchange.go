package controller

import (
	"context"
	"errors"
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
		case <-n.recordHints:
			if err := n.refresh(ctx); err != nil {
				sleep(ctx, refreshRetryAfter)
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
			sleep(ctx, refreshRetryAfter)
		}
		if errors.Is(err, kvstore.ErrConflict) && change.reason == upkeepReason {
			n.mu.Lock()
			wait := backoff.Refused(n.rng, len(change.record.Nodes))
			n.mu.Unlock()
			sleep(ctx, wait)
		}
	}
}

// nextChange is what this controller should try to write now; nil for nothing.
func (n *Node) nextChange(started time.Time) *recordChange {
	n.mu.Lock()
	defer n.mu.Unlock()
	next, conditions, reason := n.proposal(time.Now(), started)
	if next == nil {
		return nil
	}
	n.leadership.ChangeSent()
	change := &recordChange{record: next, conditions: conditions, reason: reason, version: n.leadership.RecordVersion()}
	if record := n.leadership.Record(); record != nil {
		change.marker = n.recovery.detection.EpochKeyVersion(datarecovery.EpochKey + record.StoreID)
	}
	if change.version == 0 { // the first record: the generation begins with it
		next.Epoch, next.FirstTerm, next.StoreID = 1, next.Term, randomStoreID()
	}
	next.PreviousVersion = change.version
	return change
}

// transaction writes the record if nothing that it rests on has changed.
func (c *recordChange) transaction() protocol.Txn {
	next, marker := c.record, datarecovery.EpochKey+c.record.StoreID
	txn := protocol.Txn{Conditions: []protocol.Condition{{Key: controlKey, Version: c.version}}, Then: []protocol.Op{{Set: controlKey, Value: protocol.Encode(next)}}}
	for _, condition := range c.conditions {
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: nodeKey + condition.Node, Version: condition.Version})
	}
	if c.version == 0 {
		txn.Then = append(txn.Then, protocol.Op{Set: marker, Value: []byte("{}")})
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: marker})
	} else if c.marker > 0 {
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: marker, Version: c.marker})
	}
	return txn
}

// propose tries to write a record, and takes it up if that worked.
func (n *Node) propose(ctx context.Context, c *recordChange) error {
	revision, failed, err := n.kvStore.CommitControl(ctx, c.transaction())
	n.log.Info("control record proposed", "term", c.record.Term, "reason", c.reason, "err", err, "failed", failed)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leadership.ChangeAnswered()
	switch {
	case err == nil:
		n.adopt(c.record, revision)
	case errors.Is(err, kvstore.ErrRefused): // it was not executed and will not be
		n.shards.RecordChangeSettled()
	case !errors.Is(err, kvstore.ErrConflict):
		n.leadership.ChangeUnanswered(c.version)
	}
	return err
}

// upkeepReason is the reason of changes for own items.
const upkeepReason = "upkeep"

// proposal is the change of the record that this controller should try now.
func (n *Node) proposal(now, started time.Time) (*leadership.Record, []leadership.Condition, string) {
	if !n.watchedKeysRead || !n.trusted() || !n.leadership.HoldsLease(now) || n.leadership.PromiseMayBeHeld(now) || !n.leadership.IsPresent() {
		return nil, nil, ""
	}
	record := n.leadership.Record()
	if record == nil {
		if len(n.leadership.Presences()) < len(n.settings.Peers)+1 && now.Sub(started) < 2500*time.Millisecond {
			return nil, nil, ""
		}
		// Drawn, so that workers' tokens tell an earlier store's terms from this one's.
		record = (&leadership.Record{Term: 1<<10 + n.rng.Uint64N(1<<20)}).Clone()
	}
	if next, conds := leadership.Repair(record, n.shardNames(), n.leadership.Presences()); next != nil {
		if !n.leadership.OurTurn(now) {
			return nil, nil, ""
		}
		return next, conds, "members changed"
	}
	n.leadership.MembersStand()
	if !n.entitled(now) {
		return nil, nil, ""
	}
	if n.leadership.ChangeUnsettled() {
		// A change without an answer may yet be applied; any other change of the
		// same version rules that out.
		return record.Clone(), nil, "settle an unanswered change"
	}
	syncs := n.syncStates(now)
	rebalance := now.Sub(n.leadership.SettledAt()) > 3*time.Second
	if next, handed := leadership.Upkeep(record, n.name, syncs, rebalance); next != nil {
		for _, name := range handed {
			n.shards.Owned(name).BeginHandOver()
		}
		for name, shard := range next.Shards {
			if have := n.shards.Owned(name); have != nil {
				have.Replicas().Add(shard.InSync)
			}
		}
		return next, nil, upkeepReason
	}
	if slices.Contains(record.Unreachable, n.name) {
		if n.agentsReachable {
			n.agentsReachable = false
			return leadership.WithReachability(record, n.name, false), nil, "workers can be reached again"
		}
	} else {
		n.agentsReachable = false
	}
	if home := n.unreachableHomes.Find(machineHomes{n}, now); home != "" && now.Sub(n.leadership.TermChangedAt()) > 3*time.Second {
		if next := leadership.WithReachability(record, home, true); next != nil {
			return next, nil, "workers cannot reach " + home
		}
	}
	if record.RosterIncomplete && n.shards.OwnsFleet() && n.rosterComplete() {
		next := record.Clone()
		next.RosterIncomplete = false
		return next, nil, "every machine is on the roster"
	}
	if n.shards.OwnsFleet() {
		if next := datarecovery.GiveUpSearch(record, now.Sub(n.recovery.census.EnteredAt()), settings.Seconds(n.options.CopyWaitSeconds)); next != nil {
			return next, nil, "no copy was put back in time: what nobody knows is lost for good"
		}
	}
	if n.shards.NeedsRaisedTerm(now) && now.Sub(n.leadership.TermChangedAt()) > 5*time.Second {
		next := record.Clone()
		next.Term++
		return next, nil, "unproven attempts"
	}
	return nil, nil, ""
}
