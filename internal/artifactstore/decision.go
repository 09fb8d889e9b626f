package artifactstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
)

// decided gives a register's value, if it is known here.
func (k *Store) decided(at Attempt) (value []byte, ok bool, err error) {
	name := finalName(at)
	if at.Number > 0 {
		if name = sealedName(at); !k.there(name) {
			name = shelvedName(at)
		}
	}
	tenant, ds, ok := k.opt.Blobs.Ref(name)
	if !ok {
		return nil, false, nil
	}
	value, err = k.opt.Blobs.Get(tenant, ds[0], maxManifest)
	if err == nil && at.Number == 0 {
		var m *Manifest
		if m, err = Verify(k.opt.Key, value); err == nil {
			value = protocol.Encode(&Result{tenant, m.Number, ds[0].String()})
		}
	}
	return value, true, err
}

// Learn carries out what was decided: the attempt ends, or its task has its result.
func (k *Store) Learn(ctx context.Context, at Attempt, value []byte, fetch Fetch) error {
	if at.Number == 0 {
		return k.learnResult(ctx, at, value, fetch)
	}
	if err := k.hold(ctx, at, value, fetch); err != nil {
		return err
	}
	defer k.enter(at)()
	err := k.keepDecision(at, "end", value, func() error { return k.keepEnd(ctx, at, value) })
	if err != nil {
		return err
	}
	return k.close(ctx, at)
}

// keepDecision keeps what was decided of an attempt or a task, if it is not kept already.
// Another decision of the same is ErrSplit. The attempt's gate is held.
func (k *Store) keepDecision(at Attempt, what string, value []byte, keep func() error) error {
	was, there, err := k.decided(at)
	switch {
	case err != nil:
		return err
	case there && !bytes.Equal(was, value):
		return fmt.Errorf("%w: %s of %s", ErrSplit, what, at)
	case there:
		return nil
	}
	return keep()
}

// keepEnd makes the end of an attempt durable.
func (k *Store) keepEnd(ctx context.Context, at Attempt, value []byte) error {
	m, err := Verify(k.opt.Key, value)
	if err != nil {
		return err
	}
	keep, err := m.keeps(value)
	if err != nil {
		return err
	}
	name := sealedName(at)
	if m.Partial {
		name = shelvedName(at)
	}
	k.opt.Step("learn")
	return k.opt.Blobs.SetRef(ctx, m.Tenant, name, keep...)
}

// learnResult keeps the result of a task, and settles the attempt that it came from.
func (k *Store) learnResult(ctx context.Context, at Attempt, value []byte, fetch Fetch) error {
	var r Result
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("%w: %v", ErrForged, err)
	}
	d, err := blob.Parse(r.Manifest)
	if err == nil && !k.opt.Blobs.Has(r.Tenant, d) {
		err = k.bring(ctx, r.Tenant, d, fetch)
	}
	if err != nil {
		return err
	}
	defer k.enter(at)()
	err = k.keepDecision(at, "result", value, func() error {
		k.opt.Step("learn")
		return k.opt.Blobs.SetRef(ctx, r.Tenant, finalName(at), d)
	})
	if err != nil {
		return err
	}
	k.mu.Lock()
	delete(k.votes, at)
	k.mu.Unlock()
	return k.Settled(ctx, Attempt{at.Job, at.Task, r.Number})
}

// close takes an attempt that has ended out of what is open. Its gate is held, or the
// store is being opened.
func (k *Store) close(ctx context.Context, at Attempt) error {
	k.mu.Lock()
	a, v := k.open[at], k.votes[at]
	k.mu.Unlock()
	settle := false
	if m, err := k.Ended(at); err == nil && !m.Partial && m.Exit.Completed {
		settle = !k.there(finalName(at))
	}
	if a == nil && v == nil && !settle {
		return nil
	}
	k.opt.Step("close")
	if err := k.write(ctx, &entry{Kind: kindClosed, Attempt: at, Settle: settle}); err != nil {
		return err
	}
	if a != nil {
		for path := range a.files {
			if err := k.opt.Blobs.DropRef(ctx, openName(at, path)); err != nil {
				return err
			}
		}
	}
	return k.opt.Blobs.DropRef(ctx, voteName(at))
}

// Unsettled lists the attempts that were sealed as completed, and of which it is not
// known here whether they are their tasks' results.
func (k *Store) Unsettled() []Attempt {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Attempt, 0, len(k.unsettled))
	for at := range k.unsettled {
		list = append(list, at)
	}
	return list
}

// Settled says that it is known whether an attempt is its task's result.
func (k *Store) Settled(ctx context.Context, at Attempt) error {
	k.mu.Lock()
	there := k.unsettled[at]
	k.mu.Unlock()
	if !there {
		return nil
	}
	return k.write(ctx, &entry{Kind: kindSettle, Attempt: at})
}
