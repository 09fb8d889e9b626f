package keeper

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"topazhollow/internal/blob"
)

// Duty is what a keeper does by itself now and then.
type Duty struct {
	Every   time.Duration // between two rounds
	Partial time.Duration // partial attempts that nothing came for in so long are shelved
	Keep    time.Duration // attempts are kept for so long after their end; 0: for ever
	Loose   time.Duration // blobs that nothing refers to are kept for so long
	Scrub   float64       // bytes a second read to find what went bad; 0: none
}

// Run carries out the duty until the context ends. What fails is told of and tried
// again in the next round.
func (d Duty) Run(ctx context.Context, k *Keeper, b *blob.Store, log *slog.Logger) error {
	for {
		began := time.Now()
		shelved, err := k.Shelve(ctx, d.Partial)
		expired := 0
		if err == nil && d.Keep > 0 {
			expired, err = k.Expire(ctx, d.Keep)
		}
		if err == nil {
			err = k.Trim(ctx)
		}
		var blobs int
		var freed int64
		if err == nil {
			blobs, freed, err = b.Collect(ctx, d.Loose)
		}
		if ctx.Err() != nil {
			return nil
		}
		st := b.Stats()
		log.Info("kept in order", "shelved", shelved, "expired", expired, "blobs_collected", blobs, "bytes_freed", freed,
			"bytes", st.Bytes, "open_attempts", k.Opened(), "took", time.Since(began), "err", err)
		if err == nil && d.Scrub > 0 {
			found, err := b.Scrub(ctx, d.Scrub)
			if ctx.Err() != nil {
				return nil
			}
			log.Info("scrubbed", "blobs", found.Blobs, "bad", found.Bad, "repaired", found.Repaired, "rotten", found.Rotten, "strays", found.Strays, "err", err)
		}
		t := time.NewTimer(d.Every)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil
		}
	}
}

// Opened counts the attempts that are not sealed.
func (k *Keeper) Opened() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.open)
}

// Expire lets go of attempts that ended longer than an age ago, the results of their
// tasks with them. It gives how many.
func (k *Keeper) Expire(ctx context.Context, age time.Duration) (count int, err error) {
	limit := k.opt.Now().Add(-age)
	for _, kind := range []string{"sealed/", "partial/"} {
		after := ""
		for ctx.Err() == nil {
			names, err := k.opt.Blobs.Refs(kind, after, 500)
			if err != nil {
				return count, err
			}
			for _, name := range names {
				tenant, ds, ok := k.opt.Blobs.Ref(name)
				if !ok {
					continue
				}
				m, err := k.manifest(tenant, ds[0])
				if errors.Is(err, blob.ErrRotten) {
					continue // a scrub mends or tells of it
				}
				if err != nil {
					return count, err
				}
				if !m.Sealed.Before(limit) {
					continue
				}
				final := finalName(m.Attempt)
				if _, f, ok := k.opt.Blobs.Ref(final); ok && f[0] == ds[0] {
					if err := k.opt.Blobs.DropRef(ctx, final); err != nil {
						return count, err
					}
				}
				if err := k.opt.Blobs.DropRef(ctx, name); err != nil {
					return count, err
				}
				count++
			}
			if len(names) < 500 {
				break
			}
			after = names[len(names)-1]
		}
	}
	return count, ctx.Err()
}
