package controller

import (
	"context"
	"slices"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// What the state service acknowledged may be gone: its data lost, or set back to what they were.
// docs/data-recovery.md tells how that is detected, agreed on and mended. internal/datarecovery decides; the files
// recovery*.go connect it to the controller: they hold the lock, read the clock and do the I/O.

// recoveryState is what a controller knows of its state service, and of what must survive it. Node.mu guards it.
type recoveryState struct {
	detection *datarecovery.Detection
	gathering *datarecovery.Gathering
	writeBack *datarecovery.WriteBack
	census    *datarecovery.Census
	facts     factReplication

	ownKeyWritten  bool               // the own presence is thought to be in the state service
	ownKeyOutdated chan struct{}      // wakes the duty that renews the lease
	restartWatch   context.CancelFunc // ends the watch that is open
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
	// storeCheckInterval is how often a controller that does not trust its store looks what to do;
	// one that does looks trustedCheckFactor times less often.
	storeCheckInterval = 50 * time.Millisecond
	trustedCheckFactor = 4
	// relistRetryDelay is after what time a list of keys that failed may be asked for again.
	relistRetryDelay = 100 * time.Millisecond
	// maxJobsNotFound bounds what is remembered of jobs that nobody can describe.
	maxJobsNotFound = 1000
)

// watchStore is the duty that looks whether the store has what it acknowledged, and mends
// what it lost.
func (n *Node) watchStore(ctx context.Context) error {
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
		n.compareRegularly(ctx)
	case datarecovery.TaskNone:
	}
}

// continueRecovery does what is left to do in an epoch that followed a loss, and keeps what is remembered for the
// next one within bounds.
func (n *Node) continueRecovery(now time.Time) {
	if !n.trusted() || n.leadership.Record() == nil {
		return
	}
	n.endLookUps.ForgetFailures(maxJobsNotFound) // they only spare looking the same job up again
	n.recovery.gathering.ExpireProposedJobs(now)
	if n.recovery.gathering.SendDue(now, func() bool { return n.allPeersExchanged(now) }) {
		n.sendMemories(true, n.peerNames()...)
	}
	if n.leadership.Epoch() <= 1 || !n.entitled(now) || !n.memoriesGathered(now) || !n.recovery.writeBack.RoundDue(now) {
		return
	}
	n.writeBackJobs(now)
	n.writeBackConfig()
	n.writeBackEnds()
}

// trusted says whether what the store answers counts: nobody saw a sign that it lost
// anything since it was read.
func (n *Node) trusted() bool { return n.recovery.detection.Trusted() }

// storeAssessment is what peers are told of the store.
func (n *Node) storeAssessment() datarecovery.Assessment {
	return n.recovery.detection.Assessment(n.leadership.Record(), n.kvStore.LastRevision())
}

// storeStatus is what operators are told of the store.
func (n *Node) storeStatus() datarecovery.Status {
	detection := n.recovery.detection
	phase, _, sign := detection.Phase()
	suspicions, losses := detection.Counts()
	status := datarecovery.Status{
		Phase: phase.String(), Sign: sign, Epoch: n.leadership.Epoch(),
		StaleActive: n.recovery.writeBack.StaleKeys(), Ends: n.userAPI.EndCount(),
		MemoryComplete: detection.MemoryComplete(), Unreplicated: n.recovery.facts.unreplicated,
		Suspicions: suspicions, Losses: losses,
	}
	if n.leadership.Record() != nil {
		status.DataLost, status.RosterIncomplete = n.leadership.Record().DataLost, n.leadership.Record().RosterIncomplete
		status.AwaitedMemories = n.recovery.gathering.Awaited()
	}
	for _, j := range n.jobs {
		if j.active && j.version == 0 {
			status.Unwritten++
		}
	}
	status.Undescribed = n.undescribedJobs()
	return status
}

// maxUndescribed bounds the jobs that nobody can describe of which operators are told.
const maxUndescribed = 100

// undescribedJobs lists the jobs from before a loss that machines run and nobody can describe.
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
