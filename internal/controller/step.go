package controller

import (
	"context"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// minStepPause is the shortest pause after a step; a longer step is followed by a pause of stepPauseFactor times its
// duration. Events that arrive during the pause are handled together in the next step.
const (
	minStepPause    = 20 * time.Millisecond
	stepPauseFactor = 4
)

// stallThreshold is the delay of the main loop from which on the process counts as having been stalled, as when it was
// suspended while the clock ran on.
const stallThreshold = time.Second

// runningReviewInterval is how often running tasks are checked for those that must move to another machine.
const runningReviewInterval = 500 * time.Millisecond

// runSteps is the main loop: it places tasks, replicates changes and sends orders whenever it is woken, and at every
// tick.
func (n *Node) runSteps(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		due := time.Now().Add(tick)
		select {
		case <-ctx.Done():
			return nil
		case <-n.wakeRequests:
		case <-ticker.C:
		}
		n.mu.Lock()
		began := time.Now()
		if stalled := began.Sub(due); stalled > stallThreshold {
			n.resumedAfterStall(began, stalled)
		}
		n.step(began)
		took := time.Since(began)
		n.mu.Unlock()
		if !sleep(ctx, max(minStepPause, stepPauseFactor*took)) {
			return nil
		}
	}
}

// resumedAfterStall restarts the silence timeouts of peers, replicas and machines after a stall: they may have sent
// messages all the time, which this process could not read.
func (n *Node) resumedAfterStall(now time.Time, stalled time.Duration) {
	n.log.Info("process was stalled", "for", stalled, "entitled", n.entitled(now))
	n.leadership.ResetStableSince(now)
	n.lastStall = stalled
	n.shards.Resume(now)
}

// step runs one pass of the main loop over all shards that this controller owns.
func (n *Node) step(now time.Time) {
	n.followDependencies(now)
	if !n.entitled(now) {
		return
	}
	n.cancelDependents(now)
	n.applyTeamLimits(now)
	for shard := range n.shards.All() {
		shard.Team().Quota().SetFloors(n.classFloors(shard))
		shard.Team().Quota().SetFirstTaskShare(n.firstTaskShare())
		shard.Team().Quota().UpdateGangReservation(now)
	}
	n.place(now)
	reviewRunning := now.Sub(n.runningReviewedAt) > runningReviewInterval
	if reviewRunning {
		n.runningReviewedAt = now
	}
	cluster := n.cluster()
	for shard := range n.shards.InOrder() {
		n.stepShard(shard, cluster, now, reviewRunning)
	}
	n.countLateJobs(now)
	n.sendChangedStatuses()
}

// stepShard runs the part of a step that follows placement for one shard: it replicates the shard's changes, and then
// sends the orders whose changes all required replicas have acknowledged.
func (n *Node) stepShard(shard *shards.Owned, cluster *shards.Cluster, now time.Time, reviewRunning bool) {
	if shard.Phase() == shards.Barrier {
		n.passBarrier(shard)
	}
	if !shard.IsReady() {
		return
	}
	n.sendReplication(shard, shard.Replicas().Replicate(cluster, now))
	if shard.IsFleet() || !shard.MayPlace() {
		return
	}
	n.sendDueOrders(shard, shard.Replicas().AcknowledgedByAll(cluster), now)
	n.commitFinishedJobs(shard)
	if reviewRunning {
		n.recordRuns(shard, now)
		n.moveSlowTasks(shard, now)
		n.evictFromNoticedMachines(shard)
	}
}

// sendDueOrders sends the orders that depend only on changes that every required replica has acknowledged.
func (n *Node) sendDueOrders(shard *shards.Owned, acknowledged uint64, now time.Time) {
	due := shard.Team().TakeDueOrders(acknowledged, now, n.mayStartOn)
	for machine, orders := range due {
		if !n.sendOrders(machine, orders) {
			shard.Team().RetractUnsent(orders)
			continue
		}
		if orders[0].Op == protocol.Start && shard.MarkFirstStart() {
			n.log.Info("first start of the shard", "shard", shard.Name(), "after", now.Sub(shard.TakenAt()))
		}
	}
}

// mayStartOn returns whether a start may be sent to a machine: the machine is registered, and the given incarnation of
// its agent is still the current one.
func (n *Node) mayStartOn(machine string, incarnation uint64) bool {
	m := n.machines[machine]
	return m != nil && !m.gone && n.roster.Has(machine) && m.status != nil && m.status.Incarnation == incarnation
}
