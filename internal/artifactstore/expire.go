package artifactstore

import (
	"context"
	"errors"

	"topazhollow/internal/blob"
)

// Opened counts the attempts that have not ended.
func (k *Store) Opened() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.open)
}

// Expire lets go of attempts that have ended and are over by what it is told of them, the
// results of their tasks with them. It gives how many.
func (k *Store) Expire(ctx context.Context, over func(*Manifest) bool) (count int, err error) {
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
				if errors.Is(err, blob.ErrCorrupt) {
					continue // a scrub mends or tells of it
				}
				if err != nil {
					return count, err
				}
				if !over(m) {
					continue
				}
				final := Attempt{Job: m.Job, Task: m.Task}
				if _, f, ok := k.opt.Blobs.Ref(finalName(final)); !ok || f[0] == ds[0] {
					if err := k.Forget(ctx, final); err != nil {
						return count, err
					}
				}
				if err := k.Forget(ctx, m.Attempt); err != nil {
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
