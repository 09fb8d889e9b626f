package artifactreplication

import (
	"context"
	"math/rand/v2"
	"time"

	"topazhollow/internal/wait"
)

// BackgroundWork is what a replica does by itself now and then.
type BackgroundWork struct {
	Every   time.Duration // between two rounds
	Partial time.Duration // partial attempts that nothing came for in so long are shelved
	Loose   time.Duration // blobs that nothing refers to are kept for so long
	Scrub   float64       // bytes a second read to find what went bad; 0: none
	Repair  time.Duration // between two looks at what other replicas have
}

// Run carries out the duty until the context ends. What fails is told of and tried
// again in the next round.
func (d BackgroundWork) Run(ctx context.Context, n *Node) error {
	log := n.opt.Log
	for {
		began := time.Now()
		shelved, err := n.Shelve(ctx, d.Partial)
		expired := 0
		if err == nil {
			expired, err = n.store.Expire(ctx, n.opt.Retain.IsExpired(n.opt.Now()))
		}
		if err == nil {
			err = n.store.Trim(ctx)
		}
		var blobs int
		var freed int64
		if err == nil {
			blobs, freed, err = n.blobs.Collect(ctx, d.Loose)
		}
		if ctx.Err() != nil {
			return nil
		}
		log.Info("kept in order", "shelved", shelved, "expired", expired, "blobs_collected", blobs, "bytes_freed", freed,
			"bytes", n.blobs.Stats().Bytes, "open_attempts", n.store.Opened(), "took", time.Since(began), "err", err)
		if err == nil && d.Scrub > 0 {
			found, err := n.blobs.Scrub(ctx, d.Scrub)
			if ctx.Err() != nil {
				return nil
			}
			log.Info("scrubbed", "blobs", found.Blobs, "bad", found.Bad, "repaired", found.Repaired, "rotten", found.Unrepaired, "strays", found.Orphans, "err", err)
		}
		if !wait.For(ctx, d.Every) {
			return nil
		}
	}
}

// RepairOnce looks again and again at what other replicas have and brings what is missing here,
// until the context ends.
func (d BackgroundWork) RepairOnce(ctx context.Context, n *Node) error {
	for {
		if err := n.Repair(ctx); err != nil && ctx.Err() == nil {
			n.opt.Log.Warn("repair not done", "err", err)
		}
		every := d.Repair
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
func (n *Node) Shelve(ctx context.Context, age time.Duration) (count int, err error) {
	for _, v := range n.store.Open() {
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
		t, err := n.task(ctx, v.Job, v.Task)
		if err != nil {
			return count, err
		}
		m := t.find(v.Number)
		if !t.sure || m == nil || m.Ended != "" || m.Idle <= age.Seconds() {
			continue
		}
		if _, err := n.decide(ctx, v.Attempt, true, func(promises []reply) ([]byte, error) {
			return n.gather(ctx, v.Claim, nil, promises)
		}); err != nil {
			return count, err
		}
		count++
	}
	return count, ctx.Err()
}
