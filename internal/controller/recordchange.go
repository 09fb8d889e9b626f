package controller

import (
	"context"
	"errors"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Changes of the membership record: each controller checks periodically whether it should change the record, writes the
// next one under the condition that the version is unchanged, and after a conflict starts over from the record that
// another controller wrote. The decisions are made in internal/leadership.

// Timing of record changes.
const (
	changeCheckInterval  = 100 * time.Millisecond
	recordReadRetryAfter = 200 * time.Millisecond
)

// proposedRecord is a change of the membership record that is being written to the state service.
type proposedRecord struct {
	*leadership.RecordChange
	epochKeyVersion uint64 // version of the epoch key; 0: not known
}

// changeRecord is the background task that writes changes of the membership record, when members join or leave and for
// the shards owned here, and reads the record on request.
func (n *Node) changeRecord(ctx context.Context) error {
	started := time.Now()
	ticker := time.NewTicker(changeCheckInterval)
	defer ticker.Stop()
	var backoff leadership.Backoff
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.recordReadRequests:
			n.readRecordOrPause(ctx)
		case <-ticker.C:
			if change := n.nextChange(started); change != nil {
				n.tryChange(ctx, change, &backoff)
			}
		}
	}
}

// tryChange proposes a change. If that fails, it reads the record again; after a conflict about the shards owned here,
// it also backs off so that other controllers can write theirs.
func (n *Node) tryChange(ctx context.Context, change *proposedRecord, backoff *leadership.Backoff) {
	err := n.propose(ctx, change)
	if err == nil {
		backoff.Written()
		return
	}
	n.readRecordOrPause(ctx)
	if errors.Is(err, kvstore.ErrConflict) && change.Reason == leadership.OwnShards {
		n.mu.Lock()
		wait := backoff.Conflict(n.rng, len(change.Record.Nodes))
		n.mu.Unlock()
		sleep(ctx, wait)
	}
}

// readRecordOrPause reads the membership record and sleeps briefly if the read fails.
func (n *Node) readRecordOrPause(ctx context.Context) {
	if err := n.readRecord(ctx); err != nil {
		sleep(ctx, recordReadRetryAfter)
	}
}

// nextChange returns the change that this controller should write now; nil: none.
func (n *Node) nextChange(started time.Time) *proposedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.watchedKeysRead || !n.recovery.detection.Trusted() {
		return nil
	}
	change := n.leadership.NextChange(time.Now(), started, recordChangeView{n})
	if change == nil {
		return nil
	}
	if change.Reason == leadership.OwnShards {
		n.beginShardChange(change)
	}
	proposed := &proposedRecord{RecordChange: change}
	if record := n.leadership.Record(); record != nil {
		proposed.epochKeyVersion = n.recovery.detection.EpochKeyVersion(datarecovery.EpochKey + record.StoreID)
	}
	return proposed
}

// beginShardChange prepares the owned shards for a change that is about to be written: a shard that is handed over
// starts nothing more, and the replicas that the change marks as in sync have to acknowledge from now on.
func (n *Node) beginShardChange(change *leadership.RecordChange) {
	for _, name := range change.HandedOver {
		n.shards.Owned(name).BeginHandOver()
	}
	for name, shard := range change.Record.Shards {
		if owned := n.shards.Owned(name); owned != nil {
			owned.Replicas().SetPendingReplicas(shard.InSync)
		}
	}
}

// transaction returns the write of the record, conditional on everything that the change is based on.
func (p *proposedRecord) transaction() protocol.Txn {
	epochKey := datarecovery.EpochKey + p.Record.StoreID
	txn := protocol.Txn{
		Conditions: []protocol.Condition{{Key: recordKey, Version: p.Version}},
		Then:       []protocol.Op{{Set: recordKey, Value: protocol.Encode(p.Record)}},
	}
	for _, condition := range p.Conditions {
		key := presencePrefix + condition.Node
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: key, Version: condition.Version})
	}
	if p.Version == 0 {
		txn.Then = append(txn.Then, protocol.Op{Set: epochKey, Value: []byte("{}")})
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: epochKey})
	} else if p.epochKeyVersion > 0 {
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: epochKey, Version: p.epochKeyVersion})
	}
	return txn
}

// propose tries to write a record, and adopts it if the write succeeded.
func (n *Node) propose(ctx context.Context, p *proposedRecord) error {
	revision, failed, err := n.kvStore.CommitControl(ctx, p.transaction())
	n.log.Info("membership record proposed", "term", p.Record.Term, "reason", p.ReasonText(), "err", err, "failed", failed)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil:
		n.leadership.ChangeAnswered()
		n.adopt(p.Record, revision)
	case errors.Is(err, kvstore.ErrRefused), errors.Is(err, kvstore.ErrTooLarge): // it was not executed and will not be
		n.leadership.ChangeAnswered()
		n.shards.RecordChangeSettled()
	case errors.Is(err, kvstore.ErrConflict):
		n.leadership.ChangeAnswered()
	default:
		n.leadership.ChangeUnanswered(p.Version)
	}
	return err
}

// recordChangeView implements leadership.ControllerView, the view of the controller that NextChange uses.
type recordChangeView struct{ node *Node }

var _ leadership.ControllerView = recordChangeView{}

func (r recordChangeView) Controllers() int      { return len(r.node.settings.Peers) + 1 }
func (r recordChangeView) ShardNames() []string  { return r.node.shardNames() }
func (r recordChangeView) OwnsFleet() bool       { return r.node.shards.OwnsFleet() }
func (r recordChangeView) RetainsExits() bool    { return r.node.agents.RetainsExits() }
func (r recordChangeView) HasCrowdedList() bool  { return r.node.agents.HasCrowdedList() }
func (r recordChangeView) RosterComplete() bool  { return r.node.recovery.census.rosterComplete() }
func (r recordChangeView) RandomStoreID() string { return randomStoreID() }

func (r recordChangeView) RandomTerm() uint64 { return 1<<10 + r.node.rng.Uint64N(1<<20) }

func (r recordChangeView) ShardStatuses(now time.Time) map[string]leadership.ShardStatus {
	return r.node.syncStates(now)
}

func (r recordChangeView) UnreachableMember(now time.Time) string {
	return r.node.unreachableHomes.Find(homesView{r.node}, now)
}

func (r recordChangeView) GiveUpSearch(record *leadership.Record, now time.Time) *leadership.Record {
	copyWait := settings.Seconds(r.node.options.CopyWaitSeconds)
	return datarecovery.GiveUpSearch(record, now.Sub(r.node.recovery.census.EnteredAt()), copyWait)
}

func (r recordChangeView) NeedsRaisedTerm(now time.Time) bool {
	return r.node.shards.NeedsRaisedTerm(now)
}
