package artifactstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
)

// decidedValue returns a register's value if this store knows it.
func (st *Store) decidedValue(at Attempt) (value []byte, ok bool, err error) {
	name := finalName(at)
	if at.Number > 0 {
		if name = sealedName(at); !st.hasRef(name) {
			name = partialName(at)
		}
	}
	tenant, digests, ok := st.opt.Blobs.Ref(name)
	if !ok {
		return nil, false, nil
	}
	value, err = st.opt.Blobs.Get(tenant, digests[0], maxManifestBytes)
	if err == nil && at.Number == 0 {
		var m *Manifest
		if m, err = Verify(st.opt.Key, value); err == nil {
			value = protocol.Encode(&Result{tenant, m.Number, digests[0].String()})
		}
	}
	return value, true, err
}

// Learn applies a decision: the attempt ends, or the task gets its result.
func (st *Store) Learn(ctx context.Context, at Attempt, value []byte, fetch Fetch) error {
	if at.Number == 0 {
		return st.learnResult(ctx, at, value, fetch)
	}
	if err := st.pinBlobs(ctx, at, value, fetch); err != nil {
		return err
	}
	defer st.lockAttempt(at)()
	err := st.recordDecision(at, "end", value, func() error { return st.recordEnd(ctx, at, value) })
	if err != nil {
		return err
	}
	return st.closeAttempt(ctx, at)
}

// recordDecision records a decision with the given function unless it is recorded already. It returns
// ErrConflictingDecisions if a different value is recorded. The caller holds the register's lock.
func (st *Store) recordDecision(at Attempt, what string, value []byte, record func() error) error {
	recorded, ok, err := st.decidedValue(at)
	switch {
	case err != nil:
		return err
	case ok && !bytes.Equal(recorded, value):
		return fmt.Errorf("%w: %s of %s", ErrConflictingDecisions, what, at)
	case ok:
		return nil
	}
	return record()
}

// recordEnd makes the end of an attempt durable by a reference to its manifest and blobs.
func (st *Store) recordEnd(ctx context.Context, at Attempt, value []byte) error {
	m, err := Verify(st.opt.Key, value)
	if err != nil {
		return err
	}
	digests, err := m.blobDigests(value)
	if err != nil {
		return err
	}
	name := sealedName(at)
	if m.Partial {
		name = partialName(at)
	}
	st.opt.Step("learn")
	return st.opt.Blobs.SetRef(ctx, m.Tenant, name, digests...)
}

// learnResult records the result of a task and marks the attempt that it came from as settled.
func (st *Store) learnResult(ctx context.Context, at Attempt, value []byte, fetch Fetch) error {
	var r Result
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("%w: %v", ErrForged, err)
	}
	d, err := blob.Parse(r.Manifest)
	if err == nil && !st.opt.Blobs.Has(r.Tenant, d) {
		err = st.fetchBlob(ctx, r.Tenant, d, fetch)
	}
	if err != nil {
		return err
	}
	defer st.lockAttempt(at)()
	err = st.recordDecision(at, "result", value, func() error {
		st.opt.Step("learn")
		return st.opt.Blobs.SetRef(ctx, r.Tenant, finalName(at), d)
	})
	if err != nil {
		return err
	}
	st.mu.Lock()
	delete(st.votes, at)
	st.mu.Unlock()
	return st.MarkSettled(ctx, Attempt{at.Job, at.Task, r.Number})
}

// closeAttempt removes an ended attempt from the open ones. The caller holds the attempt's lock, or the store is
// being opened.
func (st *Store) closeAttempt(ctx context.Context, at Attempt) error {
	st.mu.Lock()
	a, v := st.open[at], st.votes[at]
	st.mu.Unlock()
	resultUnknown := false
	if m, err := st.EndManifest(at); err == nil && !m.Partial && m.Exit.Completed {
		resultUnknown = !st.hasRef(finalName(at))
	}
	if a == nil && v == nil && !resultUnknown {
		return nil
	}
	st.opt.Step("close")
	if err := st.logEntry(ctx, &entry{Kind: kindClosed, Attempt: at, ResultUnknown: resultUnknown}); err != nil {
		return err
	}
	if a != nil {
		for path := range a.files {
			if err := st.opt.Blobs.DropRef(ctx, openName(at, path)); err != nil {
				return err
			}
		}
	}
	return st.opt.Blobs.DropRef(ctx, voteName(at))
}

// Unsettled lists the attempts that were sealed as completed and for which this store does not know yet whether
// they are their tasks' results.
func (st *Store) Unsettled() []Attempt {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := make([]Attempt, 0, len(st.unsettled))
	for at := range st.unsettled {
		list = append(list, at)
	}
	return list
}

// MarkSettled records that this store knows whether an attempt is its task's result, so that Unsettled no longer lists
// the attempt.
func (st *Store) MarkSettled(ctx context.Context, at Attempt) error {
	st.mu.Lock()
	unsettled := st.unsettled[at]
	st.mu.Unlock()
	if !unsettled {
		return nil
	}
	return st.logEntry(ctx, &entry{Kind: kindSettled, Attempt: at})
}
