package controller

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/cancelwatermark"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/httpx"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/teamstore"
	"topazhollow/internal/userapi"
)

// Detection of a loss of data: signs and proofs of it, and comparisons of what the store acknowledged with what it has.

// lossDetector looks for a loss of data in the state service. Node.mu guards it: the methods that have a context
// parameter take it when they need it, all others are called with it held unless their comment says otherwise.
type lossDetector struct {
	*datarecovery.Detection

	host            detectionHost
	mu              sync.Locker // Node.mu
	log             *slog.Logger
	settings        *settings.Settings
	name            string // of this controller
	kvStore         *kvstore.Client
	userAPI         *userapi.Handler
	leadership      *leadership.State
	jobs            map[string]*job
	machines        map[string]*machine
	cancelWatermark *cancelwatermark.Watermark
	ownKey          *presenceKey
}

// detectionHost is what a lossDetector asks of the controller.
type detectionHost interface {
	// startTask runs a task in the background.
	startTask(task func(ctx context.Context))
	// requestStatus has this controller's status sent to its peers soon.
	requestStatus()
	// readRecord reads the membership record; it takes the lock.
	readRecord(ctx context.Context) error
	// watchedKeysListed returns whether the watched keys were listed at least once.
	watchedKeysListed() bool
	// watchedRevision returns the revision up to which the watched keys are known.
	watchedRevision() uint64
	// applyChanges applies changes of the watched keys, from a read that began at a time.
	applyChanges(changes *protocol.Changes, began time.Time)
	// currentRoster returns the roster of registered machines.
	currentRoster() *agents.Roster
	// learnJob records an active job.
	learnJob(job userapi.ActiveJob, version uint64)
	// trackDependencies adds a job that became active to the graph of dependencies.
	trackDependencies(j *job)
	// addAcknowledgedConfig adds the versions of the teams' configuration keys.
	addAcknowledgedConfig(versions map[string]uint64)
	// configVersion returns the version of a team's configuration key.
	configVersion(key string) uint64
}

func newLossDetector(n *Node, ownKey *presenceKey, leaseLife time.Duration) *lossDetector {
	var peers []string
	for _, p := range n.settings.Peers {
		peers = append(peers, p.Name)
	}
	return &lossDetector{
		Detection:       datarecovery.NewDetection(n.name, n.incarnation, peers, leaseLife),
		host:            n,
		mu:              &n.mu,
		log:             n.log,
		settings:        n.settings,
		name:            n.name,
		kvStore:         n.kvStore,
		userAPI:         n.userAPI,
		leadership:      n.leadership,
		jobs:            n.jobs,
		machines:        n.machines,
		cancelWatermark: n.cancelWatermark,
		ownKey:          ownKey,
	}
}

// watchedKeysListed returns whether the watched keys were listed at least once.
func (n *Node) watchedKeysListed() bool { return n.watchedKeysRead }

// watchedRevision returns the revision of the state service up to which the watched keys are known.
func (n *Node) watchedRevision() uint64 { return n.followedRevision }

// currentRoster returns the roster of the current epoch.
func (n *Node) currentRoster() *agents.Roster { return n.roster }

// storeReportsLoss processes a sign of loss that the store's client found. It may be called with or without the lock
// held.
func (d *lossDetector) storeReportsLoss(sign string) { d.suspectLossAsync(datarecovery.Sign(sign)) }

// suspectLossAsync calls suspectLoss in the background. It may be called with or without the lock held.
func (d *lossDetector) suspectLossAsync(sign datarecovery.Sign) {
	d.host.startTask(func(context.Context) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.suspectLoss(sign)
	})
}

// suspectLoss records a sign of loss: nothing is acknowledged or started until it was checked.
func (d *lossDetector) suspectLoss(sign datarecovery.Sign) {
	if d.Suspect(sign, time.Now()) {
		d.log.Info("data loss suspected", "sign", sign, "epoch", d.leadership.Epoch(), "revision", d.host.watchedRevision())
		d.host.requestStatus()
	}
}

// proveLoss records a proof of a loss that the store's own answers do not show.
func (d *lossDetector) proveLoss(proof datarecovery.Sign) {
	if d.Prove(proof) {
		d.suspectLoss(proof)
	}
}

// observeFencingToken checks a worker's fencing token: a token from before the store's first term proves a loss.
func (d *lossDetector) observeFencingToken(token uint64) {
	if proof := d.ObserveFencingToken(token, d.leadership.Record()); proof != "" {
		d.proveLoss(proof)
	}
}

// verifyUnlistedJob looks up the end of a job whose key is not in a full list. If the store has no end either, it lost
// the job.
func (d *lossDetector) verifyUnlistedJob(uid string, j *job) {
	d.host.startTask(func(ctx context.Context) {
		_, _, absent := d.userAPI.LookUpEndOrAbsence(ctx, uid)
		d.mu.Lock()
		defer d.mu.Unlock()
		if absent && d.jobs[uid] == j && !j.active {
			j.active, j.endedAt = true, time.Time{}
			d.host.trackDependencies(j)
			d.host.learnJob(j.accepted, 0)
			d.proveLoss(datarecovery.ProofJobGone)
		}
	})
}

// checkUnregistered processes the heartbeat of a worker whose machine is not on the roster. If it has tasks, that
// proves a loss, since a machine is registered before the first start. A single heartbeat is not enough: it may have
// been delayed on its way from a machine that is gone by now. A machine that reports again exists, and a read of the
// store that began after its first heartbeat must include it.
func (d *lossDetector) checkUnregistered(r *protocol.Heartbeat, m *machine, now time.Time) {
	settle := settings.Seconds(d.settings.Deployment.Agents.HeartbeatSeconds / 2)
	if m.unregistered.Record(d.runsTasksOfThisStore(r), now, d.cancelWatermark.LastRead(), settle) {
		d.probeUnregistered(r.Machine, r.Addr, m)
	}
}

// probeUnregistered checks by a request that a machine which is not on the roster exists. Two heartbeats are no proof:
// delayed copies of heartbeats from a machine that was returned long ago may arrive one after the other at a process
// that never knew it.
func (d *lossDetector) probeUnregistered(name, addr string, m *machine) {
	if !m.unregistered.BeginProbe(time.Now(), probeTimeout) {
		return
	}
	d.host.startTask(func(ctx context.Context) {
		link := httpx.NewClientConn(addr, 1<<20)
		defer link.Close()
		resp, _, err := link.Do(ctx, "GET", protocol.PathInspect, nil, probeTimeout)
		var r protocol.Heartbeat
		exists := err == nil && resp.Status == 200 && protocol.Decode(resp.Body, &r) == nil && r.Machine == name
		d.mu.Lock()
		defer d.mu.Unlock()
		unregistered := d.machines[name] == m && !m.gone && !d.host.currentRoster().Has(name) && m.unregistered.Suspected()
		if exists && unregistered && d.runsTasksOfThisStore(&r) {
			d.proveLoss(datarecovery.ProofUnlistedMachine)
		}
	})
}

// runsTasksOfThisStore reports whether a machine has tasks that were started since the epoch of the current store
// began.
func (d *lossDetector) runsTasksOfThisStore(r *protocol.Heartbeat) bool {
	return slices.ContainsFunc(r.Tasks, func(t protocol.TaskStatus) bool {
		return t.State != protocol.Exited && jobstate.TermOf(t.Attempt) >= d.leadership.Record().FirstTerm
	})
}

// confirmSuspicion compares acknowledged keys after a sign of loss.
func (d *lossDetector) confirmSuspicion(ctx context.Context) {
	outcome := d.compareAcknowledged(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Compared(outcome, time.Now()) {
		d.log.Info("no data loss: the state service has all compared keys")
	}
}

// comparePeriodically performs one periodic comparison of acknowledged keys while no loss is suspected.
func (d *lossDetector) comparePeriodically(ctx context.Context) {
	outcome := d.compareAcknowledged(ctx)
	if outcome == datarecovery.Missing {
		d.suspectLossAsync(datarecovery.SignAcknowledgedGone)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.PeriodicCompared(outcome)
}

// checkLaterTerm reads the membership record again when a worker or peer knows a later term. The record known here may
// just be out of date; a read that begins now settles that.
func (d *lossDetector) checkLaterTerm(ctx context.Context) {
	if d.host.readRecord(ctx) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if proof := d.RecordRefreshed(d.leadership.Record()); proof != "" {
		d.proveLoss(proof)
	}
}

// comparedJobs is the maximum number of jobs in one comparison.
const comparedJobs = 8

// acknowledgedKeys returns keys that must have the versions known here unless they were changed since.
func (d *lossDetector) acknowledgedKeys() map[string]uint64 {
	keys := map[string]uint64{}
	if d.leadership.RecordVersion() > 0 {
		keys[recordKey] = d.leadership.RecordVersion()
	}
	maps.Copy(keys, d.host.currentRoster().Versions())
	d.host.addAcknowledgedConfig(keys)
	left := comparedJobs
	for uid, j := range d.jobs {
		if left == 0 {
			break
		}
		if j.active && j.version > 0 {
			keys[userapi.ActiveJobPrefix+uid] = j.version
			left--
		}
	}
	return keys
}

// knownVersion returns the version of a watched key according to the changes applied here; 0: the key does not exist.
func (d *lossDetector) knownVersion(key string) uint64 {
	switch {
	case key == recordKey:
		return d.leadership.RecordVersion()
	case strings.HasPrefix(key, datarecovery.EpochKey):
		return d.EpochKeyVersion(key)
	case strings.HasPrefix(key, userapi.ActiveJobPrefix):
		if j := d.jobs[key[len(userapi.ActiveJobPrefix):]]; j != nil && j.active {
			return j.version
		}
		return 0
	case strings.HasPrefix(key, rosterPrefix):
		return d.host.currentRoster().Versions()[key]
	case strings.HasPrefix(key, teamstore.Prefix):
		return d.host.configVersion(key)
	}
	return 0
}

// compareAcknowledged compares acknowledged keys with the store. If a key has another version, it must have been
// changed since: the changes are read, and if they do not show that, the key is missing.
func (d *lossDetector) compareAcknowledged(ctx context.Context) datarecovery.Comparison {
	plan, outcome, ready := d.planComparison()
	if !ready {
		return outcome
	}
	limit := 4*d.settings.Deployment.KVStore.ChangesPerTransaction - 1
	revision, failed, err := d.kvStore.CompareVersions(ctx, plan.Conditions(limit))
	conflict := errors.Is(err, kvstore.ErrConflict)
	switch {
	case errors.Is(err, kvstore.ErrRevisionDecreased):
		d.lossSeenHere()
		return datarecovery.Missing
	case (err == nil || conflict) && revision < plan.SeenRevision:
		d.log.Info("state service is behind a revision seen by a peer", "seen", plan.SeenRevision, "revision", revision)
		return datarecovery.Missing
	case err == nil:
		return datarecovery.Intact
	case !conflict:
		return datarecovery.Unanswered
	}
	return d.evaluateFailedKeys(ctx, plan, failed)
}

// planComparison returns the next comparison, or its outcome if that is known without a request. It takes the lock.
func (d *lossDetector) planComparison() (plan datarecovery.ComparisonPlan, outcome datarecovery.Comparison, ready bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	plan, outcome, ready = d.PlanComparison(d.acknowledgedKeys(), d.host.watchedKeysListed())
	plan.OwnKey, plan.OwnVersion = presencePrefix+d.name, d.leadership.Presence(d.name).Version
	return plan, outcome, ready
}

// evaluateFailedKeys reads all changes and decides from them whether the keys that failed the comparison are missing.
func (d *lossDetector) evaluateFailedKeys(
	ctx context.Context, plan datarecovery.ComparisonPlan, failed []string,
) datarecovery.Comparison {
	d.mu.Lock()
	after := d.host.watchedRevision()
	d.mu.Unlock()
	began := time.Now()
	changes, err := d.kvStore.Changes(ctx, userapi.WatchedPrefix, after)
	if errors.Is(err, kvstore.ErrRevisionDecreased) {
		d.lossSeenHere()
		return datarecovery.Missing
	} else if err != nil {
		return datarecovery.Unanswered
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.host.applyChanges(changes, began)
	result := d.EvaluateFailedKeys(plan, failed, d.leadership.Presence(d.name).Version, d.knownVersion)
	if result.OwnKeyGone {
		d.ownKey.rewrite()
	}
	if result.MissingKey != "" {
		d.log.Info("acknowledged key is missing", "key", result.MissingKey, "version", plan.Keys[result.MissingKey])
	}
	return result.Comparison
}

// lossSeenHere records that this process saw the loss itself. It takes the lock.
func (d *lossDetector) lossSeenHere() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.LossSeenHere()
}

// lossConfirmed starts the recovery once the controllers agree that the store lost data.
func (d *lossDetector) lossConfirmed() {
	_, _, sign := d.Phase()
	active := 0
	for _, j := range d.jobs {
		if j.active {
			active++
		}
	}
	d.log.Error("state service lost data", "sign", sign, "epoch", d.leadership.Epoch(), "revision", d.host.watchedRevision(),
		"jobs_remembered", active, "ends_remembered", d.userAPI.EndCount(),
		"memory_complete", d.HistoryComplete(), "machines_remembered", len(d.host.currentRoster().All()))
	d.kvStore.HoldUpdates(true)
	d.kvStore.ForgetRevisions()
	d.ownKey.rewrite()
}

// sinceLoss returns the time since the last loss was confirmed, for the log.
func (d *lossDetector) sinceLoss(now time.Time) time.Duration {
	return now.Sub(d.ConfirmedAt()).Round(time.Millisecond)
}
