package controller

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

// learnRecord processes a membership record that was read from the state service with the given version: it adopts the
// record, or suspects a loss.
func (n *Node) learnRecord(r *leadership.Record, version uint64) {
	switch n.leadership.CompareRecord(r, version) {
	case leadership.RecordFollows:
		n.adopt(r, version)
	case leadership.RecordOfNewerEpoch:
		n.recovery.detection.NewerEpochSeen(r.Epoch)
	case leadership.RecordOlder:
		n.recovery.detection.suspectLoss(datarecovery.SignRecordOlder)
	case leadership.RecordChainBroken:
		n.recovery.detection.RecordOutOfChain()
		n.recovery.detection.suspectLoss(datarecovery.SignRecordOutOfChain)
	}
}

// adopt replaces the known membership record and applies what changes with it.
func (n *Node) adopt(r *leadership.Record, version uint64) {
	now, before := time.Now(), n.leadership.Record()
	changes := n.leadership.Adopt(r, version, now)
	if changes == nil {
		return
	}
	if changes.TermChanged {
		n.logRecord(r, before)
		n.agents.SetTerm(r.Term, func(m string) bool { return r.Home(m) == n.name })
		n.endCommandSenders()
	}
	if changes.SearchGivenUp {
		n.recovery.detection.SearchGivenUp()
	}
	if changes.EpochBegan {
		n.recovery.detection.Entered(r.Epoch, now)
		n.recovery.epochs.epochEntered(r)
	}
	if changes.RosterCompleted {
		n.reloadShards()
	}
	n.followOwners(r, n.leadership.IsMember())
	if changes.TermChanged { // only now, after followOwners applied the shards of this record
		n.publishAllStatuses()
	}
	n.wake()
}

// logRecord logs a record of a later term; its members and shards only if they differ from those of the record before.
func (n *Node) logRecord(r, before *leadership.Record) {
	if before != nil && slices.Equal(before.Members(), r.Members()) && reflect.DeepEqual(before.Shards, r.Shards) {
		n.log.Info("term raised", "term", r.Term)
		return
	}
	n.log.Info("membership record", "term", r.Term, "members", r.Members(), "shards", r.Shards)
}

// endCommandSenders stops the goroutines that send commands to machines whose home is now another controller.
func (n *Node) endCommandSenders() {
	for name, sender := range n.commandSenders {
		if n.agents.Get(name) == nil {
			delete(n.commandSenders, name)
			close(sender.signal)
		}
	}
}

// publishAllStatuses sends the status of each machine homed here to the peers under the new term.
func (n *Node) publishAllStatuses() {
	for _, name := range slices.Sorted(maps.Keys(n.agents.All())) {
		n.publishStatus(name)
	}
}

// readRecord reads the membership record from the state service and applies it.
func (n *Node) readRecord(ctx context.Context) error {
	e, err := n.kvStore.GetControl(ctx, recordKey)
	if err != nil || e == nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyChange(protocol.Change{Set: e.Key, Value: e.Value, Version: e.Version})
	return nil
}

// requestRecordRead requests an asynchronous read of the membership record.
func (n *Node) requestRecordRead() {
	select {
	case n.recordReadRequests <- struct{}{}:
	default:
	}
}
