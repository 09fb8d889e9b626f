package artifactreplication

import (
	"context"
	"math/rand/v2"
	"time"

	"topazhollow/internal/wait"
)

// BackgroundWork is what a replica does by itself now and then.
type BackgroundWork struct {
	Interval            time.Duration // between two rounds
	PartialAge          time.Duration // partial attempts that nothing came for in so long are shelved
	UnreferencedAge     time.Duration // blobs that nothing refers to are kept for so long
	ScrubBytesPerSecond float64       // bytes a second read to find what went bad; 0: none
	RepairInterval      time.Duration // between two looks at what other replicas have
}

// Run carries out the duty until the context ends. What fails is told of and tried
// again in the next round.
func (d BackgroundWork) Run(ctx context.Context, n *Node) error {
	log := n.opt.Log
	for {
		began := time.Now()
		shelved, err := n.EndIdleAttempts(ctx, d.PartialAge)
		expired := 0
		if err == nil {
			expired, err = n.store.Expire(ctx, n.opt.Retention.IsExpired(n.opt.Now()))
		}
		if err == nil {
			err = n.store.Compact(ctx)
		}
		var blobs int
		var freed int64
		if err == nil {
			blobs, freed, err = n.blobs.Collect(ctx, d.UnreferencedAge)
		}
		if ctx.Err() != nil {
			return nil
		}
		log.Info("kept in order", "shelved", shelved, "expired", expired, "blobs_collected", blobs, "bytes_freed", freed,
			"bytes", n.blobs.Stats().Bytes, "open_attempts", n.store.OpenCount(), "took", time.Since(began), "err", err)
		if err == nil && d.ScrubBytesPerSecond > 0 {
			found, err := n.blobs.Scrub(ctx, d.ScrubBytesPerSecond)
			if ctx.Err() != nil {
				return nil
			}
			log.Info("scrubbed", "blobs", found.Blobs, "bad", found.Bad, "repaired", found.Repaired, "rotten", found.Rotten, "strays", found.Strays, "err", err)
		}
		if !wait.For(ctx, d.Interval) {
			return nil
		}
	}
}

// RepairOnce looks again and again at what other replicas have and brings what is missing here,
// until the context ends.
func (d BackgroundWork) RunRepair(ctx context.Context, n *Node) error {
	for {
		if err := n.Repair(ctx); err != nil && ctx.Err() == nil {
			n.opt.Log.Warn("repair not done", "err", err)
		}
		every := d.RepairInterval
		if !n.InSync() { // until then it can't vote
			every = min(every, time.Second)
		}
		if !wait.For(ctx, every/2+rand.N(every)) {
			return nil
		}
	}
}

// Shelve ends partial attempts that nothing came for in an age: their output stays
// readable, and they can never be sealed any more. It gives how many. The replicas of a
// task are in turn at it, the first of them first.
func (n *Node) EndIdleAttempts(ctx context.Context, age time.Duration) (count int, err error) {
	for _, v := range n.store.OpenAttempts() {
		names := n.opt.Members.ReplicasOf(v.Job, v.Task)
		wait := age
		for i, name := range names {
			if name == n.opt.Name {
				wait += time.Duration(i) * age / 10
			}
		}
		if v.Idle <= wait.Seconds() {
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
