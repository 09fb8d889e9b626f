package controller

import (
	"context"
	"slices"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// The state service may lose data that it acknowledged, or be reset to an earlier state. docs/data-recovery.md
// describes how that is detected, agreed on and repaired. internal/datarecovery makes the decisions; the files
// recovery*.go connect it to the controller: they hold the lock, read the clock and do the I/O.

// recoveryState is what a controller knows about its state service and about the data that has to survive a loss there.
// Node.mu guards it.
type recoveryState struct {
	detection *datarecovery.Detection
	gathering *datarecovery.Gathering
	writeBack *datarecovery.WriteBack
	census    *datarecovery.Census
	facts     factReplication

	ownKeyWritten  bool               // this controller's presence key is assumed to be in the state service
	ownKeyOutdated chan struct{}      // wakes maintainLease
	restartWatch   context.CancelFunc // cancels the open watch
}

func newRecoveryState(s *settings.Settings, incarnation uint64, leaseLife time.Duration) *recoveryState {
	var peers []string
	for _, p := range s.Peers {
		peers = append(peers, p.Name)
	}
	return &recoveryState{
		detection:      datarecovery.NewDetection(s.Name, incarnation, peers, leaseLife),
		gathering:      datarecovery.NewGathering(),
		writeBack:      datarecovery.NewWriteBack(),
		census:         datarecovery.NewCensus(),
		facts:          newFactReplication(),
		ownKeyOutdated: make(chan struct{}, 1),
	}
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
func (n *Node) monitorStore(ctx context.Context) error {
	n.mu.Lock()
	n.recovery.detection.Started(time.Now())
	n.mu.Unlock()
	interval := storeCheckInterval
	for sleep(ctx, interval) {
		decision := n.decideOnStore(time.Now())
		n.performStoreTask(ctx, decision.Task)
		interval = storeCheckInterval
		if decision.Phase == datarecovery.Trusted {
			interval *= trustedCheckFactor
		}
	}
	return nil
}

// decideOnStore returns the decision of the detection and advances the recovery.
func (n *Node) decideOnStore(now time.Time) datarecovery.Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	decision := n.recovery.detection.Decide(now, n.leadership.Record())
	if decision.LossConfirmed {
		n.lossConfirmed()
	}
	n.continueRecovery(now)
	return decision
}

// performStoreTask carries out a task of the detection.
func (n *Node) performStoreTask(ctx context.Context, task datarecovery.Task) {
	switch task {
	case datarecovery.TaskConfirmSuspicion:
		n.confirmSuspicion(ctx)
	case datarecovery.TaskRelist:
		n.relistKeys(ctx)
	case datarecovery.TaskProposeEpoch:
		n.proposeEpoch(ctx)
	case datarecovery.TaskRefreshRecord:
		n.checkLaterTerm(ctx)
	case datarecovery.TaskPeriodicCompare:
		n.comparePeriodically(ctx)
	case datarecovery.TaskNone:
	}
}

// continueRecovery performs the remaining steps in an epoch that followed a loss, and limits how much is retained in
// case of another loss.
func (n *Node) continueRecovery(now time.Time) {
	if !n.trusted() || n.leadership.Record() == nil {
		return
	}
	n.endLookUps.ForgetFailures(maxJobsNotFound) // the failures only avoid repeated look-ups of the same job
	n.recovery.gathering.ExpireProposedJobs(now)
	if n.recovery.gathering.SendDue(now, func() bool { return n.allPeersExchanged(now) }) {
		n.sendRetainedState(true, n.peerNames()...)
	}
	if n.leadership.Epoch() <= 1 || !n.entitled(now) || !n.retainedStateGathered(now) || !n.recovery.writeBack.RoundDue(now) {
		return
	}
	n.writeBackJobs(now)
	n.writeBackConfig()
	n.writeBackEnds()
}

// trusted reports whether the store's answers can be relied on: no sign of loss was seen since the store was read.
func (n *Node) trusted() bool { return n.recovery.detection.Trusted() }

// storeAssessment returns the view of the store that is sent to peers.
func (n *Node) storeAssessment() datarecovery.Assessment {
	return n.recovery.detection.Assessment(n.leadership.Record(), n.kvStore.LastRevision())
}

// storeStatus returns the view of the store for the overview.
func (n *Node) storeStatus() datarecovery.Status {
	detection := n.recovery.detection
	phase, _, sign := detection.Phase()
	suspicions, losses := detection.Counts()
	status := datarecovery.Status{
		Phase: phase.String(), Sign: sign, Epoch: n.leadership.Epoch(),
		StaleActive: n.recovery.writeBack.StaleKeys(), Ends: n.userAPI.EndCount(),
		HistoryComplete: detection.HistoryComplete(), Unreplicated: n.recovery.facts.unreplicated,
		Suspicions: suspicions, Losses: losses,
	}
	if n.leadership.Record() != nil {
		status.DataLost, status.RosterIncomplete = n.leadership.Record().DataLost, n.leadership.Record().RosterIncomplete
		status.AwaitedMembers = n.recovery.gathering.Awaited()
	}
	for _, j := range n.jobs {
		if j.active && j.version == 0 {
			status.Unwritten++
		}
	}
	status.Undescribed = n.undescribedJobs()
	return status
}

// maxUndescribed bounds the list of jobs without a known specification in the overview.
const maxUndescribed = 100

// undescribedJobs lists the jobs from before a loss that run on machines although no controller knows their
// specification.
func (n *Node) undescribedJobs() []string {
	var jobs []string
	for _, m := range n.machines {
		if m.gone || m.status == nil || !n.runsUndescribedJob(m.status) || len(jobs) >= maxUndescribed {
			continue
		}
		for _, t := range m.status.Tasks {
			if n.jobs[t.Job] == nil && t.State != protocol.Exited && !slices.Contains(jobs, t.Job) {
				jobs = append(jobs, t.Job)
			}
		}
	}
	slices.Sort(jobs)
	return jobs
}
