package controller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/httpx"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/teamstore"
	"topazhollow/internal/userapi"
)

// Detection of a loss of data: signs and proofs of it, and comparisons of what the store acknowledged with what it has.

// storeReportsLoss processes a sign of loss that the store's client found.
func (n *Node) storeReportsLoss(sign string) { n.suspectLossAsync(datarecovery.Sign(sign)) }

// suspectLossAsync calls suspectLoss in the background. It may be called with or without the lock held.
func (n *Node) suspectLossAsync(sign datarecovery.Sign) {
	n.group.Go(func() error {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.suspectLoss(sign)
		return nil
	})
}

// suspectLoss records a sign of loss: nothing is acknowledged or started until it was checked.
func (n *Node) suspectLoss(sign datarecovery.Sign) {
	if n.recovery.detection.Suspect(sign, time.Now()) {
		n.log.Info("data loss suspected", "sign", sign, "epoch", n.leadership.Epoch(), "revision", n.followedRevision)
		n.requestStatus()
	}
}

// proveLoss records a proof of a loss that the store's own answers do not show.
func (n *Node) proveLoss(proof datarecovery.Sign) {
	if n.recovery.detection.Prove(proof) {
		n.suspectLoss(proof)
	}
}

// observeFencingToken checks a worker's fencing token: a token from before the store's first term proves a loss.
func (n *Node) observeFencingToken(token uint64) {
	if proof := n.recovery.detection.ObserveFencingToken(token, n.leadership.Record()); proof != "" {
		n.proveLoss(proof)
	}
}

// verifyUnlistedJob looks up the end of a job whose key is not in a full list. If the store has no end either, it lost
// the job.
func (n *Node) verifyUnlistedJob(uid string, j *job) {
	n.group.Go(func() error {
		_, _, absent := n.userAPI.LookUpEndOrAbsence(n.ctx, uid)
		n.mu.Lock()
		defer n.mu.Unlock()
		if absent && n.jobs[uid] == j && !j.active {
			j.active, j.endedAt = true, time.Time{}
			n.trackDependencies(j)
			n.learnJob(j.accepted, 0)
			n.proveLoss(datarecovery.ProofJobGone)
		}
		return nil
	})
}

// checkUnregistered processes the heartbeat of a worker whose machine is not on the roster. If it has tasks, that
// proves a loss, since a machine is registered before the first start. A single heartbeat is not enough: it may have
// been delayed on its way from a machine that is gone by now. A machine that reports again exists, and a read of the
// store that began after its first heartbeat must include it.
func (n *Node) checkUnregistered(r *protocol.Heartbeat, m *machine, now time.Time) {
	settle := settings.Seconds(n.settings.Deployment.Agents.HeartbeatSeconds / 2)
	if m.unregistered.Record(n.runsTasksOfThisStore(r), now, n.cancelWatermark.LastRead(), settle) {
		n.probeUnregistered(r.Machine, r.Addr, m)
	}
}

// probeUnregistered checks by a request that a machine which is not on the roster exists. Two heartbeats are no proof:
// delayed copies of heartbeats from a machine that was returned long ago may arrive one after the other at a process
// that never knew it.
func (n *Node) probeUnregistered(name, addr string, m *machine) {
	if !m.unregistered.BeginProbe(time.Now(), probeTimeout) {
		return
	}
	n.group.Go(func() error {
		link := httpx.NewClientConn(addr, 1<<20)
		defer link.Close()
		resp, _, err := link.Do(n.ctx, "GET", protocol.PathInspect, nil, probeTimeout)
		var r protocol.Heartbeat
		exists := err == nil && resp.Status == 200 && protocol.Decode(resp.Body, &r) == nil && r.Machine == name
		n.mu.Lock()
		defer n.mu.Unlock()
		unregistered := n.machines[name] == m && !m.gone && !n.roster.Has(name) && m.unregistered.Suspected()
		if exists && unregistered && n.runsTasksOfThisStore(&r) {
			n.proveLoss(datarecovery.ProofUnlistedMachine)
		}
		return nil
	})
}

// runsTasksOfThisStore reports whether a machine has tasks that were started since the epoch of the current store
// began.
func (n *Node) runsTasksOfThisStore(r *protocol.Heartbeat) bool {
	return slices.ContainsFunc(r.Tasks, func(t protocol.TaskStatus) bool {
		return t.State != protocol.Exited && jobstate.TermOf(t.Attempt) >= n.leadership.Record().FirstTerm
	})
}

// confirmSuspicion compares acknowledged keys after a sign of loss.
func (n *Node) confirmSuspicion(ctx context.Context) {
	outcome := n.compareAcknowledged(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.recovery.detection.Compared(outcome, time.Now()) {
		n.log.Info("no data loss: the state service has all compared keys")
	}
}

// comparePeriodically performs one periodic comparison of acknowledged keys while no loss is suspected.
func (n *Node) comparePeriodically(ctx context.Context) {
	outcome := n.compareAcknowledged(ctx)
	if outcome == datarecovery.Missing {
		n.suspectLossAsync(datarecovery.SignAcknowledgedGone)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recovery.detection.PeriodicCompared(outcome)
}

// checkLaterTerm reads the membership record again when a worker or peer knows a later term. The record known here may
// just be out of date; a read that begins now settles that.
func (n *Node) checkLaterTerm(ctx context.Context) {
	if n.readRecord(ctx) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if proof := n.recovery.detection.RecordRefreshed(n.leadership.Record()); proof != "" {
		n.proveLoss(proof)
	}
}

// comparedJobs is the maximum number of jobs in one comparison.
const comparedJobs = 8

// acknowledgedKeys returns keys that must have the versions known here unless they were changed since.
func (n *Node) acknowledgedKeys() map[string]uint64 {
	keys := map[string]uint64{}
	if n.leadership.RecordVersion() > 0 {
		keys[recordKey] = n.leadership.RecordVersion()
	}
	maps.Copy(keys, n.roster.Versions())
	n.addAcknowledgedConfig(keys)
	left := comparedJobs
	for uid, j := range n.jobs {
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
func (n *Node) knownVersion(key string) uint64 {
	switch {
	case key == recordKey:
		return n.leadership.RecordVersion()
	case strings.HasPrefix(key, datarecovery.EpochKey):
		return n.recovery.detection.EpochKeyVersion(key)
	case strings.HasPrefix(key, userapi.ActiveJobPrefix):
		if j := n.jobs[key[len(userapi.ActiveJobPrefix):]]; j != nil && j.active {
			return j.version
		}
		return 0
	case strings.HasPrefix(key, rosterPrefix):
		return n.roster.Versions()[key]
	case strings.HasPrefix(key, teamstore.Prefix):
		return n.configVersion(key)
	}
	return 0
}

// compareAcknowledged compares acknowledged keys with the store. If a key has another version, it must have been
// changed since: the changes are read, and if they do not show that, the key is missing.
func (n *Node) compareAcknowledged(ctx context.Context) datarecovery.Comparison {
	plan, outcome, ready := n.planComparison()
	if !ready {
		return outcome
	}
	limit := 4*n.settings.Deployment.KVStore.ChangesPerTransaction - 1
	revision, failed, err := n.kvStore.CompareVersions(ctx, plan.Conditions(limit))
	conflict := errors.Is(err, kvstore.ErrConflict)
	switch {
	case errors.Is(err, kvstore.ErrRevisionDecreased):
		n.lossSeenHere()
		return datarecovery.Missing
	case (err == nil || conflict) && revision < plan.SeenRevision:
		n.log.Info("state service is behind a revision seen by a peer", "seen", plan.SeenRevision, "revision", revision)
		return datarecovery.Missing
	case err == nil:
		return datarecovery.Intact
	case !conflict:
		return datarecovery.Unanswered
	}
	return n.evaluateFailedKeys(ctx, plan, failed)
}

// planComparison returns the next comparison, or its outcome if that is known without a request.
func (n *Node) planComparison() (plan datarecovery.ComparisonPlan, outcome datarecovery.Comparison, ready bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	plan, outcome, ready = n.recovery.detection.PlanComparison(n.acknowledgedKeys(), n.watchedKeysRead)
	plan.OwnKey, plan.OwnVersion = presencePrefix+n.name, n.leadership.Presence(n.name).Version
	return plan, outcome, ready
}

// evaluateFailedKeys reads all changes and decides from them whether the keys that failed the comparison are missing.
func (n *Node) evaluateFailedKeys(
	ctx context.Context, plan datarecovery.ComparisonPlan, failed []string,
) datarecovery.Comparison {
	n.mu.Lock()
	after := n.followedRevision
	n.mu.Unlock()
	began := time.Now()
	changes, err := n.kvStore.Changes(ctx, userapi.WatchedPrefix, after)
	if errors.Is(err, kvstore.ErrRevisionDecreased) {
		n.lossSeenHere()
		return datarecovery.Missing
	} else if err != nil {
		return datarecovery.Unanswered
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyChanges(changes, began)
	result := n.recovery.detection.EvaluateFailedKeys(plan, failed, n.leadership.Presence(n.name).Version, n.knownVersion)
	if result.OwnKeyGone {
		n.rewriteOwnKey()
	}
	if result.MissingKey != "" {
		n.log.Info("acknowledged key is missing", "key", result.MissingKey, "version", plan.Keys[result.MissingKey])
	}
	return result.Comparison
}

// lossSeenHere records that this process saw the loss itself.
func (n *Node) lossSeenHere() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recovery.detection.LossSeenHere()
}

// rewriteOwnKey makes maintainLease write this controller's presence key again.
func (n *Node) rewriteOwnKey() {
	n.recovery.ownKeyWritten = false
	select {
	case n.recovery.ownKeyOutdated <- struct{}{}:
	default:
	}
}

// lossConfirmed starts the recovery once the controllers agree that the store lost data.
func (n *Node) lossConfirmed() {
	_, _, sign := n.recovery.detection.Phase()
	active := 0
	for _, j := range n.jobs {
		if j.active {
			active++
		}
	}
	n.log.Error("state service lost data", "sign", sign, "epoch", n.leadership.Epoch(), "revision", n.followedRevision,
		"jobs_remembered", active, "ends_remembered", n.userAPI.EndCount(),
		"memory_complete", n.recovery.detection.HistoryComplete(), "machines_remembered", len(n.roster.All()))
	n.kvStore.HoldUpdates(true)
	n.kvStore.ForgetRevisions()
	n.rewriteOwnKey()
}
