package controller

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/scheduler"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// Epochs of the state service's data: full lists of its keys, entering their epoch, and proposing the next epoch after
// a loss.

// epochManager enters and proposes epochs of the state service's data. Node.mu guards it: proposalEvidence and the
// methods that have a context parameter take it, all others are called with it held.
type epochManager struct {
	detection *lossDetector
	census    *machineCensus
	writeBack *storeWriteBack
	gathering *stateExchange
	ownKey    *presenceKey

	host             epochHost
	mu               sync.Locker // Node.mu
	log              *slog.Logger
	settings         *settings.Settings
	name             string // of this controller
	incarnation      uint64 // of this process
	kvStore          *kvstore.Client
	leadership       *leadership.State
	shards           *shards.Registry
	jobs             map[string]*job
	machines         map[string]*machine
	registration     *agents.Registration
	unreachableHomes *agents.UnreachableHomes
	scheduler        *scheduler.Scheduler

	restartWatch context.CancelFunc // cancels the open watch
}

// epochHost is what an epochManager asks of the controller.
type epochHost interface {
	// adopt replaces the membership record.
	adopt(record *leadership.Record, version uint64)
	// applyChange applies one change of a watched key.
	applyChange(change protocol.Change)
	// applyListedKeys applies a full list of the watched keys, read at a revision.
	applyListedKeys(entries []protocol.Entry, revision uint64)
	// followFrom has the changes after a revision read next.
	followFrom(revision uint64)
	// recordKeysListed records that the watched keys were listed.
	recordKeysListed()
	// recordFullRead records that all watched keys are known as of a time.
	recordFullRead(began time.Time)
	// currentRoster returns the roster of registered machines.
	currentRoster() *agents.Roster
	// startRosterEpoch replaces the roster by an empty one.
	startRosterEpoch()
	// startConfigEpoch forgets which changes of the teams' configuration the state service has.
	startConfigEpoch()
	// learnJob records an active job.
	learnJob(job userapi.ActiveJob, version uint64)
	// shardNames lists all shards.
	shardNames() []string
	// wake makes the main loop run its next step soon.
	wake()
}

func newEpochManager(
	n *Node, ownKey *presenceKey, detection *lossDetector, census *machineCensus, writeBack *storeWriteBack,
	gathering *stateExchange,
) *epochManager {
	return &epochManager{
		detection:        detection,
		census:           census,
		writeBack:        writeBack,
		gathering:        gathering,
		ownKey:           ownKey,
		host:             n,
		mu:               &n.mu,
		log:              n.log,
		settings:         n.settings,
		name:             n.name,
		incarnation:      n.incarnation,
		kvStore:          n.kvStore,
		leadership:       n.leadership,
		shards:           n.shards,
		jobs:             n.jobs,
		machines:         n.machines,
		registration:     n.registration,
		unreachableHomes: n.unreachableHomes,
		scheduler:        n.scheduler,
	}
}

// followFrom has the changes of the watched keys after a revision read next.
func (n *Node) followFrom(revision uint64) { n.followedRevision = revision }

// recordKeysListed records that the watched keys were listed.
func (n *Node) recordKeysListed() { n.watchedKeysRead = true }

// startRosterEpoch replaces the roster by an empty one when another epoch is entered.
func (n *Node) startRosterEpoch() { n.roster = newRoster(n.settings) }

// relistKeys lists all watched keys, to enter the epoch found there or to record what a store that lost data still has.
func (em *epochManager) relistKeys(ctx context.Context) {
	began := time.Now()
	entries, revision, err := em.kvStore.List(ctx, userapi.WatchedPrefix)
	if errors.Is(err, kvstore.ErrRevisionDecreased) {
		em.kvStore.ForgetRevisions()
	}
	if err != nil {
		sleep(ctx, relistRetryDelay)
		return
	}
	em.mu.Lock()
	defer em.mu.Unlock()
	if em.applyFullList(entries, revision) {
		em.host.recordFullRead(began)
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
func (em *epochManager) applyFullList(entries []protocol.Entry, revision uint64) bool {
	contents := parseStoreContents(entries)
	evaluation := em.detection.EvaluateList(contents, em.leadership.Record(), em.leadership.RecordVersion())
	if evaluation.Proof != "" {
		em.detection.proveLoss(evaluation.Proof)
	}
	if evaluation.Suspicion != "" {
		em.detection.suspectLoss(evaluation.Suspicion)
	}
	switch evaluation.Verdict {
	case datarecovery.ListOfOtherEpoch:
		em.enterEpoch(entries, contents, revision)
		return true
	case datarecovery.ListCurrent:
		em.host.applyListedKeys(entries, revision)
		return true
	}
	if contents.Presences[em.name].Incarnation != em.incarnation {
		em.ownKey.rewrite()
	}
	return false
}

// enterEpoch starts to rely on the listed store contents, at the start of the process and after a loss. What this
// controller remembers is kept, and is written back where the store lacks it.
func (em *epochManager) enterEpoch(entries []protocol.Entry, contents datarecovery.StoreContents, revision uint64) {
	now := time.Now()
	if em.leadership.Record() != nil {
		em.leaveEpoch(now)
	}
	em.detection.ListAccepted()
	em.census.Begin(now)
	em.writeBack.Begin()
	em.kvStore.ForgetRevisions()
	em.kvStore.HoldUpdates(false)
	em.host.followFrom(revision)
	if em.restartWatch != nil {
		em.restartWatch()
	}
	if contents.Record != nil {
		em.host.adopt(contents.Record, contents.RecordVersion)
	}
	for _, e := range entries {
		em.host.applyChange(protocol.Change{Set: e.Key, Value: e.Value, Version: e.Version})
	}
	em.host.recordKeysListed()
	em.detection.Entered(em.leadership.Epoch(), now)
	if !em.leadership.IsPresent() {
		em.ownKey.rewrite()
	}
	em.scheduler.InvalidateAllMachines()
	em.host.wake()
}

// leaveEpoch moves what is known of the store to what is remembered from before the loss, before another epoch is
// entered.
func (em *epochManager) leaveEpoch(now time.Time) {
	for _, name := range em.host.currentRoster().All() {
		if m := em.machines[name]; m == nil || !m.gone {
			em.census.Remember(name)
		}
	}
	em.gathering.rememberFinishedTasks()
	em.shards.RecordChangeSettled()
	for _, j := range em.jobs {
		j.version = 0
	}
	for _, job := range em.gathering.ProposedJobs(now) {
		em.host.learnJob(userapi.ActiveJob(job), 0)
	}
	em.host.startRosterEpoch()
	em.host.startConfigEpoch()
	em.leadership.ResetForNewEpoch()
	em.detection.LeaveEpoch()
}

// epochEntered is called after a membership record of another epoch was adopted.
func (em *epochManager) epochEntered(record *leadership.Record) {
	em.fenceOnEpochKey()
	if record.Epoch <= 1 {
		return
	}
	em.log.Info("epoch entered", "epoch", record.Epoch, "term", record.Term, "lost_for_good", record.DataLost,
		"since_loss", em.detection.sinceLoss(time.Now()))
	var members []string
	for name := range record.Nodes {
		if name != em.name {
			members = append(members, name)
		}
	}
	em.gathering.Begin(record.Epoch, members)
	em.leadership.ResetStableSince(time.Now()) // machines could not reach their homes while no controller was entitled
	em.unreachableHomes.ForgetAttempts()
	for name := range em.census.Remembered() {
		if record.Home(name) == em.name {
			em.registration.Want(name)
		}
	}
}

// fenceOnEpochKey makes every update conditional on the epoch key.
func (em *epochManager) fenceOnEpochKey() {
	if em.leadership.Record() == nil || em.leadership.Record().StoreID == "" {
		return
	}
	key := datarecovery.EpochKey + em.leadership.Record().StoreID
	if version := em.detection.EpochKeyVersion(key); version > 0 {
		em.kvStore.SetFence(protocol.Condition{Key: key, Version: version})
	}
}

// proposeEpoch creates the next epoch, unless another controller has.
func (em *epochManager) proposeEpoch(ctx context.Context) {
	em.relistKeys(ctx)
	evidence, contents, ready := em.proposalEvidence()
	if !ready {
		return
	}
	next := evidence.NextEpoch()
	txn := next.Transaction(recordKey, presencePrefix, contents, em.settings.Deployment.KVStore.ChangesPerTransaction)
	_, failed, err := em.kvStore.CommitControl(ctx, txn)
	em.log.Info("epoch proposed", "epoch", next.Record.Epoch, "term", next.Record.Term, "accounts_kept", next.WithoutBarrier,
		"lost_for_good", next.Record.DataLost, "members", next.Record.Members(), "failed", failed, "err", err)
	em.relistKeys(ctx)
}

// proposalEvidence collects the evidence for the next epoch; ready is false while this controller may not propose.
func (em *epochManager) proposalEvidence() (evidence datarecovery.Evidence, contents datarecovery.StoreContents, ready bool) {
	em.mu.Lock()
	defer em.mu.Unlock()
	evidence, contents, ready = em.detection.Proposal(em.leadership.Record(), em.kvStore.LastRevision(), time.Now())
	evidence.Controllers = em.settings.ControllerNames()
	evidence.Shards = em.host.shardNames()
	evidence.ChangeUnanswered = em.leadership.ChangeOpen()
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
