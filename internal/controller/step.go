package controller

import (
	"context"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// minStepPause and stepPauseFactor bound how often and for how much of the time a step is
// taken: what happens meanwhile is looked at together.
const (
	minStepPause    = 20 * time.Millisecond
	stepPauseFactor = 4
)

// stallThreshold is by how much the main loop must be late to show that the process
// did not run while the clocks ran on.
const stallThreshold = time.Second

// runningReviewInterval is how often running tasks are looked over for those to be moved.
const runningReviewInterval = 500 * time.Millisecond

// runSteps is the main loop: it replicates, orders and places whenever something
// happened, and at every tick.
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

// resumedAfterStall begins to count silence anew: who did not get through while this controller was
// stalled may have sent all the time.
func (n *Node) resumedAfterStall(now time.Time, stalled time.Duration) {
	n.log.Info("stalled while the clocks ran on", "for", stalled, "entitled", n.entitled(now))
	n.leadership.ResetStableSince(now)
	n.lastStall = stalled
	n.shards.Resume(now)
}

// step does once what an owner has to do for its shards.
func (n *Node) step(now time.Time) {
	if !n.entitled(now) {
		return
	}
	n.applyTeamLimits(now)
	for shard := range n.shards.All() {
		shard.Team().Quota().SetFloors(n.classFloors(shard))
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

// stepShard does once what the owner of a shard has to do after placing: first its replicas get the changes, then
// what they have acknowledged goes out.
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
		n.moveSlowTasks(shard, now)
		n.evictFromNoticedMachines(shard)
	}
}

// sendDueOrders sends the orders that rest on nothing beyond what every required replica acknowledged.
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

// mayStartOn says whether a start may go to a machine: it is registered, and in the given incarnation.
func (n *Node) mayStartOn(machine string, incarnation uint64) bool {
	m := n.machines[machine]
	return m != nil && !m.gone && n.roster.Has(machine) && m.status != nil && m.status.Incarnation == incarnation
}
