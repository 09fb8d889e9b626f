package controller

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Epochs of the state service's data: full lists of its keys, entering their epoch, and proposing the next epoch after
// a loss.

// relistKeys lists all watched keys, to enter the epoch found there or to record what a store that lost data still has.
func (n *Node) relistKeys(ctx context.Context) {
	began := time.Now()
	entries, revision, err := n.kvStore.List(ctx, userapi.WatchedPrefix)
	if errors.Is(err, kvstore.ErrRevisionDecreased) {
		n.kvStore.ForgetRevisions()
	}
	if err != nil {
		sleep(ctx, relistRetryDelay)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.applyFullList(entries, revision) {
		n.recordFullRead(began)
	}
}

// parseStoreContents extracts the control data from a full list that was read just now.
func parseStoreContents(entries []protocol.Entry) datarecovery.StoreContents {
	contents := datarecovery.StoreContents{
		Presences: map[string]leadership.Presence{},
		EpochKeys: map[string]uint64{},
		ReadAt:    time.Now(),
	}
	for _, e := range entries {
		switch {
		case e.Key == recordKey:
			var record leadership.Record
			if json.Unmarshal(e.Value, &record) == nil {
				contents.Record, contents.RecordVersion = &record, e.Version
			}
		case strings.HasPrefix(e.Key, datarecovery.EpochKey):
			contents.EpochKeys[e.Key] = e.Version
		case strings.HasPrefix(e.Key, presencePrefix):
			var p presenceValue
			if json.Unmarshal(e.Value, &p) == nil {
				contents.Presences[e.Key[len(presencePrefix):]] = leadership.Presence{Incarnation: p.Incarnation, Version: e.Version}
			}
		}
	}
	return contents
}

// applyFullList applies a full list of the watched keys if the store that it was read from is reliable, and reports
// whether it is.
func (n *Node) applyFullList(entries []protocol.Entry, revision uint64) bool {
	contents := parseStoreContents(entries)
	evaluation := n.recovery.detection.EvaluateList(contents, n.leadership.Record(), n.leadership.RecordVersion())
	if evaluation.Proof != "" {
		n.proveLoss(evaluation.Proof)
	}
	if evaluation.Suspicion != "" {
		n.suspectLoss(evaluation.Suspicion)
	}
	switch evaluation.Verdict {
	case datarecovery.ListOfOtherEpoch:
		n.enterEpoch(entries, contents, revision)
		return true
	case datarecovery.ListCurrent:
		n.applyListedKeys(entries, revision)
		return true
	}
	if contents.Presences[n.name].Incarnation != n.incarnation {
		n.rewriteOwnKey()
	}
	return false
}

// enterEpoch starts to rely on the listed store contents, at the start of the process and after a loss. What this
// controller remembers is kept, and is written back where the store lacks it.
func (n *Node) enterEpoch(entries []protocol.Entry, contents datarecovery.StoreContents, revision uint64) {
	now := time.Now()
	if n.leadership.Record() != nil {
		n.leaveEpoch(now)
	}
	n.recovery.detection.ListAccepted()
	n.recovery.census.Begin(now)
	n.recovery.writeBack.Begin()
	n.kvStore.ForgetRevisions()
	n.kvStore.HoldUpdates(false)
	n.followedRevision = revision
	if n.recovery.restartWatch != nil {
		n.recovery.restartWatch()
	}
	if contents.Record != nil {
		n.adopt(contents.Record, contents.RecordVersion)
	}
	for _, e := range entries {
		n.applyChange(protocol.Change{Set: e.Key, Value: e.Value, Version: e.Version})
	}
	n.watchedKeysRead = true
	n.recovery.detection.Entered(n.leadership.Epoch(), now)
	if !n.leadership.IsPresent() {
		n.rewriteOwnKey()
	}
	n.scheduler.InvalidateAllMachines()
	n.wake()
}

// leaveEpoch moves what is known of the store to what is remembered from before the loss, before another epoch is
// entered.
func (n *Node) leaveEpoch(now time.Time) {
	for _, name := range n.roster.All() {
		if m := n.machines[name]; m == nil || !m.gone {
			n.recovery.census.Remember(name)
		}
	}
	n.rememberFinishedTasks()
	n.shards.RecordChangeSettled()
	for _, j := range n.jobs {
		j.version = 0
	}
	for _, job := range n.recovery.gathering.ProposedJobs(now) {
		n.learnJob(userapi.ActiveJob(job), 0)
	}
	n.roster = newRoster(n.settings)
	n.startConfigEpoch()
	n.leadership.ResetForNewEpoch()
	n.recovery.detection.LeaveEpoch()
}

// epochEntered is called after a membership record of another epoch was adopted.
func (n *Node) epochEntered(record *leadership.Record) {
	n.fenceOnEpochKey()
	if record.Epoch <= 1 {
		return
	}
	n.log.Info("epoch entered", "epoch", record.Epoch, "term", record.Term, "lost_for_good", record.DataLost,
		"since_loss", n.sinceLoss(time.Now()))
	var members []string
	for name := range record.Nodes {
		if name != n.name {
			members = append(members, name)
		}
	}
	n.recovery.gathering.Begin(record.Epoch, members)
	n.leadership.ResetStableSince(time.Now()) // machines could not reach their homes while no controller was entitled
	n.unreachableHomes.ForgetAttempts()
	for name := range n.recovery.census.Remembered() {
		if record.Home(name) == n.name {
			n.registration.Want(name)
		}
	}
}

// sinceLoss returns the time since the last loss was confirmed, for the log.
func (n *Node) sinceLoss(now time.Time) time.Duration {
	return now.Sub(n.recovery.detection.ConfirmedAt()).Round(time.Millisecond)
}

// fenceOnEpochKey makes every update conditional on the epoch key.
func (n *Node) fenceOnEpochKey() {
	if n.leadership.Record() == nil || n.leadership.Record().StoreID == "" {
		return
	}
	key := datarecovery.EpochKey + n.leadership.Record().StoreID
	if version := n.recovery.detection.EpochKeyVersion(key); version > 0 {
		n.kvStore.SetFence(protocol.Condition{Key: key, Version: version})
	}
}

// proposeEpoch creates the next epoch, unless another controller has.
func (n *Node) proposeEpoch(ctx context.Context) {
	n.relistKeys(ctx)
	evidence, contents, ready := n.proposalEvidence()
	if !ready {
		return
	}
	next := evidence.NextEpoch()
	txn := next.Transaction(recordKey, presencePrefix, contents, n.settings.Deployment.KVStore.ChangesPerTransaction)
	_, failed, err := n.kvStore.CommitControl(ctx, txn)
	n.log.Info("epoch proposed", "epoch", next.Record.Epoch, "term", next.Record.Term, "accounts_kept", next.WithoutBarrier,
		"lost_for_good", next.Record.DataLost, "members", next.Record.Members(), "failed", failed, "err", err)
	n.relistKeys(ctx)
}

// proposalEvidence collects the evidence for the next epoch; ready is false while this controller may not propose.
func (n *Node) proposalEvidence() (evidence datarecovery.Evidence, contents datarecovery.StoreContents, ready bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	evidence, contents, ready = n.recovery.detection.Proposal(n.leadership.Record(), n.kvStore.LastRevision(), time.Now())
	evidence.Controllers = n.settings.ControllerNames()
	evidence.Shards = n.shardNames()
	evidence.ChangeUnanswered = n.leadership.ChangeOpen()
	evidence.StoreID = randomStoreID()
	return evidence, contents, ready
}

// randomStoreID returns a random ID that is unique with high probability.
func randomStoreID() string {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b)
}
