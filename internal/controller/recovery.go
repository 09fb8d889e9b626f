package controller

import (
	"context"
	"sync"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/userapi"
)

// The state service may lose data that it acknowledged, or be reset to an earlier state. docs/data-recovery.md
// describes how that is detected, agreed on and repaired. internal/datarecovery makes the decisions; the files
// recovery*.go connect it to the controller: they hold the lock, read the clock and do the I/O.

// recoveryDriver decides when the parts of data recovery act, and reports on them. Node.mu guards it and its parts: their
// methods are called with it held, except for those that do I/O, which have a context parameter, are called without it
// and take it when they need it.
type recoveryDriver struct {
	detection *lossDetector   // whether the state service lost data
	epochs    *epochManager   // which epoch of its data the controller relies on
	gathering *stateExchange  // what the controllers know and the state service may lack
	facts     *factReplicator // what a peer has to remember before a user gets an answer
	writeBack *storeWriteBack // what is written to the state service again
	census    *machineCensus  // which machines may run tasks from before a loss
	ownKey    *presenceKey

	host       recoveryHost
	mu         sync.Locker // Node.mu
	kvStore    *kvstore.Client
	userAPI    *userapi.Handler
	leadership *leadership.State
	jobs       map[string]*job
	endLookUps *agents.JobLookups
}

// recoveryHost is what a recoveryDriver asks of the controller.
type recoveryHost interface {
	// entitled returns whether this controller may act.
	entitled(now time.Time) bool
	// peerNames lists the peers.
	peerNames() []string
	// writeBackConfig writes remembered changes of the teams' configuration to the state service.
	writeBackConfig()
}

// newRecoveryDriver creates the data recovery of a controller whose other parts exist. Life is how long the
// controller's lease lasts.
func newRecoveryDriver(n *Node, life time.Duration) *recoveryDriver {
	ownKey := newPresenceKey()
	detection := newLossDetector(n, ownKey, life)
	census := newMachineCensus(n, detection)
	writeBack := newStoreWriteBack(n, detection)
	gathering := newStateExchange(n, detection, writeBack)
	return &recoveryDriver{
		detection:  detection,
		epochs:     newEpochManager(n, ownKey, detection, census, writeBack, gathering),
		gathering:  gathering,
		facts:      newFactReplicator(n, gathering, writeBack),
		writeBack:  writeBack,
		census:     census,
		ownKey:     ownKey,
		host:       n,
		mu:         &n.mu,
		kvStore:    n.kvStore,
		userAPI:    n.userAPI,
		leadership: n.leadership,
		jobs:       n.jobs,
		endLookUps: n.endLookUps,
	}
}

// startTask runs a task in the background. Its context ends with the controller.
func (n *Node) startTask(task func(ctx context.Context)) {
	n.group.Go(func() error {
		task(n.ctx)
		return nil
	})
}

const (
	// storeCheckInterval is how often a controller that does not trust its store decides what to do; one that does
	// checks trustedCheckFactor times less often.
	storeCheckInterval = 50 * time.Millisecond
	trustedCheckFactor = 4
	// relistRetryDelay is the delay before a failed list of the keys is retried.
	relistRetryDelay = 100 * time.Millisecond
	// maxJobsNotFound bounds the number of jobs remembered because their look-up found nothing.
	maxJobsNotFound = 1000
)

// monitorStore is the background task that checks whether the store still has what it acknowledged, and recovers what
// it lost.
func (r *recoveryDriver) monitorStore(ctx context.Context) error {
	r.mu.Lock()
	r.detection.Started(time.Now())
	r.mu.Unlock()
	interval := storeCheckInterval
	for sleep(ctx, interval) {
		decision := r.decideOnStore(time.Now())
		r.performStoreTask(ctx, decision.Task)
		interval = storeCheckInterval
		if decision.Phase == datarecovery.Trusted {
			interval *= trustedCheckFactor
		}
	}
	return nil
}

// decideOnStore returns the decision of the detection and advances the recovery.
func (r *recoveryDriver) decideOnStore(now time.Time) datarecovery.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	decision := r.detection.Decide(now, r.leadership.Record())
	if decision.LossConfirmed {
		r.detection.lossConfirmed()
	}
	r.continueRecovery(now)
	return decision
}

// performStoreTask carries out a task of the detection.
func (r *recoveryDriver) performStoreTask(ctx context.Context, task datarecovery.Task) {
	switch task {
	case datarecovery.TaskConfirmSuspicion:
		r.detection.confirmSuspicion(ctx)
	case datarecovery.TaskRelist:
		r.epochs.relistKeys(ctx)
	case datarecovery.TaskProposeEpoch:
		r.epochs.proposeEpoch(ctx)
	case datarecovery.TaskRefreshRecord:
		r.detection.checkLaterTerm(ctx)
	case datarecovery.TaskPeriodicCompare:
		r.detection.comparePeriodically(ctx)
	case datarecovery.TaskNone:
	}
}

// continueRecovery performs the remaining steps in an epoch that followed a loss, and limits how much is retained in
// case of another loss.
func (r *recoveryDriver) continueRecovery(now time.Time) {
	if !r.detection.Trusted() || r.leadership.Record() == nil {
		return
	}
	r.endLookUps.ForgetFailures(maxJobsNotFound) // the failures only avoid repeated look-ups of the same job
	r.gathering.ExpireProposedJobs(now)
	if r.gathering.SendDue(now, func() bool { return r.gathering.allPeersExchanged(now) }) {
		r.gathering.sendRetainedState(true, r.host.peerNames()...)
	}
	if r.leadership.Epoch() <= 1 || !r.host.entitled(now) || !r.gathering.retainedStateGathered(now) || !r.writeBack.RoundDue(now) {
		return
	}
	r.writeBack.writeBackJobs(now)
	r.host.writeBackConfig()
	r.writeBack.writeBackEnds()
}

// storeAssessment returns the view of the store that is sent to peers.
func (r *recoveryDriver) storeAssessment() datarecovery.Assessment {
	return r.detection.Assessment(r.leadership.Record(), r.kvStore.LastRevision())
}

// storeStatus returns the view of the store for the overview.
func (r *recoveryDriver) storeStatus() datarecovery.Status {
	detection := r.detection
	phase, _, sign := detection.Phase()
	suspicions, losses := detection.Counts()
	status := datarecovery.Status{
		Phase: phase.String(), Sign: sign, Epoch: r.leadership.Epoch(),
		StaleActive: r.writeBack.StaleKeys(), Ends: r.userAPI.EndCount(),
		HistoryComplete: detection.HistoryComplete(), Unreplicated: r.facts.unreplicated,
		Suspicions: suspicions, Losses: losses,
	}
	if r.leadership.Record() != nil {
		status.DataLost, status.RosterIncomplete = r.leadership.Record().DataLost, r.leadership.Record().RosterIncomplete
		status.AwaitedMembers = r.gathering.Awaited()
	}
	for _, j := range r.jobs {
		if j.active && j.version == 0 {
			status.Unwritten++
		}
	}
	status.Undescribed = r.census.undescribedJobs()
	return status
}

// maxUndescribed bounds the list of jobs without a known specification in the overview.
const maxUndescribed = 100
