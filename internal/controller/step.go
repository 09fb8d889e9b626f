package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

// needsRaisedTerm says whether only a raised term can move something on.
func (n *Node) needsRaisedTerm(now time.Time) bool {
	for _, it := range n.shards {
		if it.phase == shardReady && it.team.Unproven(now, 4*time.Second) > 0 {
			return true
		}
	}
	return false
}

// minPause and maxShare bound how often and for how much of the time a step is
// taken: what happens meanwhile is looked at together.
const (
	minStepPause    = 20 * time.Millisecond
	stepPauseFactor = 4
)

// runSteps is the main duty: it replicates, orders and places whenever something
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
		if !pause(ctx, max(minStepPause, stepPauseFactor*took)) {
			return nil
		}
	}
}

// stillFor is by how much the main duty must be late to show that the process
// stood still while the clocks ran on.
const stallThreshold = time.Second

// resumedAfterStall begins to count silence anew: who was not heard while this controller stood
// still may have spoken all the time.
func (n *Node) resumedAfterStall(now time.Time, stalled time.Duration) {
	n.log.Info("stood still while the clocks ran on", "for", stalled, "entitled", n.entitled(now))
	n.membershipSettledAt, n.lastStall = now, stalled
	for _, it := range n.shards {
		it.graceFrom = now
	}
}

func (n *Node) step(now time.Time) {
	if !n.entitled(now) {
		return
	}
	n.configure(now)
	for _, it := range n.shards {
		it.team.SetFloors(n.floorsOf(it))
		it.team.TurnHoldback(now)
	}
	n.place(now)
	seldom := now.Sub(n.runningReviewedAt) > runningReviewInterval
	if seldom {
		n.runningReviewedAt = now
	}
	for _, name := range slices.Sorted(maps.Keys(n.shards)) {
		it := n.shards[name]
		if it.phase == shardBarrier {
			n.passBarrier(it)
		}
		if it.phase != shardReady {
			continue
		}
		n.replicate(it, now)
		if name == leadership.FleetShard || it.handingOver {
			continue
		}
		due := it.team.Due(n.acknowledgedByAll(it), now, func(m string, session uint64) bool {
			x := n.machines[m]
			return x != nil && !x.gone && n.roster.Has(m) && x.status != nil && x.status.Incarnation == session
		})
		for m, orders := range due {
			if !n.sendOrders(m, orders) {
				it.team.Unsent(orders)
			} else if !it.firstStartSent && orders[0].Op == protocol.Start {
				it.firstStartSent = true
				n.log.Info("item's first start", "item", name, "after", now.Sub(it.takenAt))
			}
		}
		n.commitFinishedJobs(it)
		if seldom {
			n.moveSlowTasks(it, now)
			n.evictFromNoticedMachines(it)
		}
	}
	n.countLate(now)
	n.sendChangedStatuses()
}
