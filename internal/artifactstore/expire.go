package artifactstore

import (
	"context"
	"errors"

	"topazhollow/internal/blob"
)

// OpenCount returns the number of attempts that have not ended.
func (st *Store) OpenCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.open)
}

// Expire drops the ended attempts for which expired returns true. Together with an attempt it drops the result of its
// task, unless another attempt is the result. It returns the number of attempts dropped.
func (st *Store) Expire(ctx context.Context, expired func(*Manifest) bool) (count int, err error) {
	for _, kind := range []string{"sealed/", "partial/"} {
		after := ""
		for ctx.Err() == nil {
			names, err := st.opt.Blobs.Refs(kind, after, 500)
			if err != nil {
				return count, err
			}
			for _, name := range names {
				tenant, digests, ok := st.opt.Blobs.Ref(name)
				if !ok {
					continue
				}
				m, err := st.readManifest(tenant, digests[0])
				if errors.Is(err, blob.ErrCorrupt) {
					continue // the scrub repairs or reports it
				}
				if err != nil {
					return count, err
				}
				if !expired(m) {
					continue
				}
				final := Attempt{Job: m.Job, Task: m.Task}
				if _, f, ok := st.opt.Blobs.Ref(finalName(final)); !ok || f[0] == digests[0] {
					if err := st.Forget(ctx, final); err != nil {
						return count, err
					}
				}
				if err := st.Forget(ctx, m.Attempt); err != nil {
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
