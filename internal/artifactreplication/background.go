package artifactreplication

import (
	"context"
	"math/rand/v2"
	"time"

	"topazhollow/internal/wait"
)

// BackgroundWork configures the periodic work of a replica.
type BackgroundWork struct {
	Interval            time.Duration // pause between two rounds of maintenance
	PartialAge          time.Duration // attempts without a write for this long are ended as partial
	UnreferencedAge     time.Duration // blobs without a reference are collected after this time
	ScrubBytesPerSecond float64       // rate at which blobs are read and verified; 0: no scrub
	RepairInterval      time.Duration // mean pause between two repair runs
}

// Run performs maintenance until the context ends: it ends idle attempts, drops expired ones, compacts the log,
// collects unreferenced blobs and scrubs the rest. Failures are logged; the work is repeated in the next round.
func (w BackgroundWork) Run(ctx context.Context, n *Node) error {
	log := n.opt.Log
	for {
		began := time.Now()
		ended, err := n.EndIdleAttempts(ctx, w.PartialAge)
		expired := 0
		if err == nil {
			expired, err = n.store.Expire(ctx, n.opt.Retention.IsExpired(n.opt.Now()))
		}
		if err == nil {
			err = n.store.Compact(ctx)
		}
		var collected int
		var freed int64
		if err == nil {
			collected, freed, err = n.blobs.Collect(ctx, w.UnreferencedAge)
		}
		if ctx.Err() != nil {
			return nil
		}
		log.Info("maintenance round finished", "shelved", ended, "expired", expired, "blobs_collected", collected, "bytes_freed", freed,
			"bytes", n.blobs.Stats().Bytes, "open_attempts", n.store.OpenCount(), "took", time.Since(began), "err", err)
		if err == nil && w.ScrubBytesPerSecond > 0 {
			found, err := n.blobs.Scrub(ctx, w.ScrubBytesPerSecond)
			if ctx.Err() != nil {
				return nil
			}
			log.Info("scrub finished", "blobs", found.Blobs, "bad", found.Bad, "repaired", found.Repaired, "rotten", found.Unrepaired, "strays", found.Orphans, "err", err)
		}
		if !wait.For(ctx, w.Interval) {
			return nil
		}
	}
}

// RunRepair repeats Repair until the context ends.
func (w BackgroundWork) RunRepair(ctx context.Context, n *Node) error {
	for {
		if err := n.Repair(ctx); err != nil && ctx.Err() == nil {
			n.opt.Log.Warn("repair failed", "err", err)
		}
		every := w.RepairInterval
		if !n.InSync() { // a replica that is not in sync can't vote
			every = min(every, time.Second)
		}
		if !wait.For(ctx, every/2+rand.N(every)) {
			return nil
		}
	}
}

// EndIdleAttempts ends the open attempts that had no write for longer than age as partial: their output stays
// readable, but they can't be sealed any more. It returns how many it ended. The replicas of a task wait for
// different times, in the order of their rank, so that usually only the first one acts.
func (n *Node) EndIdleAttempts(ctx context.Context, age time.Duration) (count int, err error) {
	for _, v := range n.store.OpenAttempts() {
		names := n.opt.Members.ReplicasOf(v.Job, v.Task)
		idleLimit := age
		for i, name := range names {
			if name == n.opt.Name {
				idleLimit += time.Duration(i) * age / 10
			}
		}
		if v.Idle <= idleLimit.Seconds() {
			continue
		}
		t, err := n.taskState(ctx, v.Job, v.Task)
		if err != nil {
			return count, err
		}
		m := t.find(v.Number)
		if !t.hasQuorum || m == nil || m.Ended != "" || m.Idle <= age.Seconds() {
			continue
		}
		if _, err := n.decide(ctx, v.Attempt, true, func(promises []reply) ([]byte, error) {
			return n.buildManifest(ctx, v.Claim, nil, promises)
		}); err != nil {
			return count, err
		}
		count++
	}
	return count, ctx.Err()
}
