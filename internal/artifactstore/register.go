package artifactstore

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"topazhollow/internal/blob"
)

// Decisions that several replicas must agree on are kept in write-once registers: one for the end of each attempt and
// one for the result of each task. A value is decided once a majority of the register's replicas accepted it in one
// ballot (Lamport, "The Part-Time Parliament", 1998, for a single decree). An Attempt identifies the register of its
// end; with Number 0 it identifies the register of the task's result.

// Ballot identifies and orders the proposals in a register. No two proposals share a ballot.
type Ballot struct {
	Round uint64 `json:"n"`
	By    string `json:"by"` // replica and process that proposes
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), strings.Compare(b.By, o.By))
}

// Vote is what a store has promised and accepted in a register.
type Vote struct {
	Promised Ballot `json:"p"`
	Freeze   bool   `json:"f,omitempty"` // the attempt accepts no writes while this promise is the highest
	Accepted Ballot `json:"a"`
	Value    []byte `json:"v,omitempty"`
}

// merge combines two votes of the same register: the higher promise, and the value accepted in the higher ballot.
func (v *Vote) merge(o *Vote) *Vote {
	if v == nil {
		v = &Vote{}
	}
	n := *v
	if o.Promised.Compare(n.Promised) > 0 {
		n.Promised, n.Freeze = o.Promised, o.Freeze
	}
	if o.Value != nil && (n.Value == nil || o.Accepted.Compare(n.Accepted) > 0) {
		n.Accepted, n.Value = o.Accepted, o.Value
	}
	return &n
}

// isCurrent reports whether the log entry of vote o still contributes to the current vote.
func (v *Vote) isCurrent(o *Vote) bool {
	return v != nil && o != nil && (o.Promised == v.Promised || (o.Value != nil && o.Accepted == v.Accepted))
}

func (v *Vote) frozen() bool { return v != nil && (v.Freeze || v.Value != nil) }

// Errors of registers.
var (
	// ErrFrozen reports that a node is about to end the attempt. The node that coordinates the refused write completes
	// or undoes that, and then retries the write.
	ErrFrozen = errors.New("artifactstore: the attempt is about to end")
	// ErrConflictingDecisions reports that two different values were decided in a register, which the protocol must
	// never allow.
	ErrConflictingDecisions = errors.New("artifactstore: a register has two decided values")
)

// Promise is a store's answer to Prepare and Accept.
type Promise struct {
	Vote                 // the store's vote; a Promised above the requested ballot is a refusal
	Decided []byte       `json:"d,omitempty"` // the decided value, if this store knows it
	Latest  uint64       `json:"l,omitempty"` // in the register of a result: the highest attempt of the task that this store knows
	View    *AttemptView `json:"w,omitempty"` // in the register of an end: what this store has of the attempt
}

// Result is the value of the register of a task's result.
type Result struct {
	Tenant   string `json:"tenant"`
	Number   uint64 `json:"attempt"`
	Manifest string `json:"manifest"` // digest of the attempt's manifest
}

// Fetch reads a blob that this store lacks from another replica.
type Fetch func(ctx context.Context, tenant string, d blob.Digest) (io.ReadCloser, error)

// voteName is the reference that keeps the blobs of an accepted value from being collected.
func voteName(at Attempt) string { return "vote/" + at.String() }

func (st *Store) hasRef(name string) bool {
	_, _, ok := st.opt.Blobs.Ref(name)
	return ok
}

// currentPromise returns the current answer for a register. The caller holds the register's lock.
func (st *Store) currentPromise(at Attempt) (*Promise, error) {
	p := &Promise{}
	var err error
	if p.Decided, _, err = st.decidedValue(at); err != nil || p.Decided != nil {
		return p, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if v := st.votes[at]; v != nil {
		p.Vote = *v
	}
	if at.Number > 0 {
		if a := st.open[at]; a != nil {
			p.View = st.viewOf(at, a)
		}
		return p, nil
	}
	p.Latest = st.latest[at.task()]
	for _, kind := range []string{"sealed/", "partial/"} {
		names, err := st.opt.Blobs.Refs(kind+at.task(), "", 100_000)
		if err != nil {
			return nil, err
		}
		if len(names) > 0 {
			last, err := ParseName(names[len(names)-1])
			if err != nil {
				return nil, err
			}
			p.Latest = max(p.Latest, last.Number)
		}
	}
	return p, nil
}

// logVote makes a vote durable.
func (st *Store) logVote(ctx context.Context, at Attempt, v *Vote) error {
	return st.logEntry(ctx, &entry{Kind: kindVote, Attempt: at, Vote: v})
}

// Prepare promises not to accept values of lower ballots than b in a register, unless b or a higher ballot was promised
// already. While a promise with freeze is the highest, the attempt accepts no writes, so that the promises of a
// majority show everything that was ever acknowledged of the attempt.
func (st *Store) Prepare(ctx context.Context, at Attempt, b Ballot, freeze bool) (*Promise, error) {
	defer st.lockAttempt(at)()
	p, err := st.currentPromise(at)
	if err != nil || p.Decided != nil || b.Compare(p.Promised) <= 0 {
		return p, err
	}
	st.opt.Step("promise")
	if err := st.logVote(ctx, at, &Vote{Promised: b, Freeze: freeze}); err != nil {
		return nil, err
	}
	return st.currentPromise(at)
}

// Accept accepts a value in a ballot, unless a higher ballot was promised. For the end of an attempt it first stores
// all blobs that the manifest names.
func (st *Store) Accept(ctx context.Context, at Attempt, b Ballot, value []byte, fetch Fetch) (*Promise, error) {
	if at.Number > 0 {
		if err := st.pinBlobs(ctx, at, value, fetch); err != nil {
			return nil, err
		}
	}
	defer st.lockAttempt(at)()
	p, err := st.currentPromise(at)
	if err != nil || p.Decided != nil || b.Compare(p.Promised) < 0 {
		return p, err
	}
	st.opt.Step("accept")
	if err := st.logVote(ctx, at, &Vote{Promised: b, Freeze: at.Number > 0, Accepted: b, Value: value}); err != nil {
		return nil, err
	}
	return st.currentPromise(at)
}

// Adopt merges a vote reported by another replica into this store's own, after this store lost its disk.
func (st *Store) Adopt(ctx context.Context, at Attempt, v *Vote, fetch Fetch) error {
	if at.Number > 0 && v.Value != nil {
		if err := st.pinBlobs(ctx, at, v.Value, fetch); err != nil {
			return err
		}
	}
	defer st.lockAttempt(at)()
	if p, err := st.currentPromise(at); err != nil || p.Decided != nil {
		return err
	}
	return st.logVote(ctx, at, v)
}

// Votes returns the store's votes in registers of which it knows no decided value.
func (st *Store) Votes() map[Attempt]Vote {
	st.mu.Lock()
	defer st.mu.Unlock()
	m := make(map[Attempt]Vote, len(st.votes))
	for at, v := range st.votes {
		m[at] = *v
	}
	return m
}

// pinBlobs stores all blobs that a manifest names, fetching those that are missing, and sets a reference that keeps
// them from being collected.
func (st *Store) pinBlobs(ctx context.Context, at Attempt, value []byte, fetch Fetch) error {
	if st.hasEnded(at) {
		return nil
	}
	m, err := Verify(st.opt.Key, value)
	if err != nil {
		return err
	}
	if m.Attempt != at {
		return fmt.Errorf("%w: it describes attempt %s, not %s", ErrForged, m.Attempt, at)
	}
	digests, err := m.blobDigests(value)
	if err != nil {
		return err
	}
	for _, s := range m.Streams {
		if st.opt.Blobs.Has(m.Tenant, s.Blob) {
			continue
		}
		content, err := st.StreamContent(at, s.Name)
		if err == nil && blob.DigestOf(content) == s.Blob {
			_, err = st.opt.Blobs.Put(ctx, m.Tenant, content, blob.UseReserve)
		} else { // this store lacks some of the records
			err = st.fetchBlob(ctx, m.Tenant, s.Blob, fetch)
		}
		if err != nil {
			return err
		}
	}
	for _, d := range digests[1:] {
		if !st.opt.Blobs.Has(m.Tenant, d) {
			if err := st.fetchBlob(ctx, m.Tenant, d, fetch); err != nil {
				return err
			}
		}
	}
	if _, err := st.opt.Blobs.Put(ctx, m.Tenant, value, blob.UseReserve); err != nil {
		return err
	}
	st.opt.Step("hold")
	return st.opt.Blobs.SetRef(ctx, m.Tenant, voteName(at), digests...)
}

// fetchBlob stores a blob that fetch reads from another replica.
func (st *Store) fetchBlob(ctx context.Context, tenant string, d blob.Digest, fetch Fetch) error {
	if fetch == nil {
		return fmt.Errorf("%w: %s", blob.ErrNotFound, d)
	}
	r, err := fetch(ctx, tenant, d)
	if err != nil {
		return err
	}
	defer r.Close()
	return st.opt.Blobs.PutReader(ctx, tenant, d, r, blob.UseReserve)
}

// Forget drops an ended attempt, or a result (Number 0), that has expired or that other replicas keep.
func (st *Store) Forget(ctx context.Context, at Attempt) error {
	defer st.lockAttempt(at)()
	st.mu.Lock()
	delete(st.votes, at) // promises of tasks that never get a result would stay for ever otherwise
	st.mu.Unlock()
	if at.Number == 0 {
		return st.opt.Blobs.DropRef(ctx, finalName(at))
	}
	if err := st.MarkSettled(ctx, at); err != nil {
		return err
	}
	return errors.Join(st.opt.Blobs.DropRef(ctx, sealedName(at)), st.opt.Blobs.DropRef(ctx, partialName(at)))
}

// Abandon drops an open attempt that other replicas keep.
func (st *Store) Abandon(ctx context.Context, at Attempt) error {
	defer st.lockAttempt(at)()
	st.mu.Lock()
	a := st.open[at]
	st.mu.Unlock()
	if a == nil {
		return nil
	}
	if err := st.logEntry(ctx, &entry{Kind: kindClosed, Attempt: at}); err != nil {
		return err
	}
	for path := range a.files {
		if err := st.opt.Blobs.DropRef(ctx, openName(at, path)); err != nil {
			return err
		}
	}
	return nil
}
