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

// What must be decided once by several replicas lies in write-once registers, one for
// each attempt's end and one for each task's result. A value is decided once a
// majority of the register's replicas accepted it in one ballot (Lamport, "The Part-Time
// Parliament", 1998, for a single decree). An attempt names its end's register, and
// with Number 0 its task's result's.

// Ballot orders the tries to decide a register. No two tries share one.
type Ballot struct {
	Round uint64 `json:"n"`
	By    string `json:"by"` // store and start of its process
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), strings.Compare(b.By, o.By))
}

// Vote is what a store is bound to in a register.
type Vote struct {
	Promised Ballot `json:"p"`
	Freeze   bool   `json:"f,omitempty"` // nothing is added to the attempt while this promise stands
	Accepted Ballot `json:"a"`
	Value    []byte `json:"v,omitempty"`
}

// add is a vote with what another, later or earlier one binds to.
func (v *Vote) add(o *Vote) *Vote {
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

// needs says whether a vote read from the log still counts.
func (v *Vote) needs(o *Vote) bool {
	return v != nil && o != nil && (o.Promised == v.Promised || (o.Value != nil && o.Accepted == v.Accepted))
}

func (v *Vote) frozen() bool { return v != nil && (v.Freeze || v.Value != nil) }

// Errors of registers.
var (
	// ErrFrozen says that somebody is about to end the attempt; Keepers' front sees
	// that through or undoes it.
	ErrFrozen = errors.New("keeper: the attempt is about to end")
	// ErrSplit says that a register was decided twice. It must never be seen.
	ErrSplit = errors.New("keeper: a register has two values")
)

// Promise is a store's answer in a register.
type Promise struct {
	Vote           // what it is bound to; Promised above the ballot asked for is a refusal
	Decided []byte `json:"d,omitempty"` // the register's value, if it is known here
	Latest  uint64 `json:"l,omitempty"` // for a result: the highest attempt of the task known here
	View    *View  `json:"w,omitempty"` // for an end: what is here of the attempt
}

// Result is the value of a task's result.
type Result struct {
	Tenant   string `json:"tenant"`
	Number   uint64 `json:"attempt"`
	Manifest string `json:"manifest"` // its digest
}

// Fetch gets a blob that is not here from somewhere else.
type Fetch func(ctx context.Context, tenant string, d blob.Digest) (io.ReadCloser, error)

// voteName is the reference that keeps what an accepted value needs.
func voteName(at Attempt) string { return "vote/" + at.String() }

func (k *Store) there(name string) bool {
	_, _, ok := k.opt.Blobs.Ref(name)
	return ok
}

// promise is what is to be answered in a register now. Its gate is held.
func (k *Store) promise(at Attempt) (*Promise, error) {
	p := &Promise{}
	var err error
	if p.Decided, _, err = k.decided(at); err != nil || p.Decided != nil {
		return p, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if v := k.votes[at]; v != nil {
		p.Vote = *v
	}
	if at.Number > 0 {
		if a := k.open[at]; a != nil {
			p.View = k.view(at, a)
		}
		return p, nil
	}
	p.Latest = k.latest[at.task()]
	for _, kind := range []string{"sealed/", "partial/"} {
		names, err := k.opt.Blobs.Refs(kind+at.task(), "", 100_000)
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

// vote makes a vote durable.
func (k *Store) vote(ctx context.Context, at Attempt, v *Vote) error {
	return k.write(ctx, &entry{Kind: kindVote, Attempt: at, Vote: v})
}

// Prepare promises that nothing of a lower ballot is accepted in a register any more,
// unless a higher one was promised already. While a promise with freeze is the highest,
// nothing is added to the attempt, so that what the answers show of it is all that a
// majority ever acknowledged.
func (k *Store) Prepare(ctx context.Context, at Attempt, b Ballot, freeze bool) (*Promise, error) {
	defer k.enter(at)()
	p, err := k.promise(at)
	if err != nil || p.Decided != nil || b.Compare(p.Promised) <= 0 {
		return p, err
	}
	k.opt.Step("promise")
	if err := k.vote(ctx, at, &Vote{Promised: b, Freeze: freeze}); err != nil {
		return nil, err
	}
	return k.promise(at)
}

// Accept takes a value in a ballot, unless a higher one was promised. Of an end it
// first gets hold of all that the manifest names.
func (k *Store) Accept(ctx context.Context, at Attempt, b Ballot, value []byte, fetch Fetch) (*Promise, error) {
	if at.Number > 0 {
		if err := k.hold(ctx, at, value, fetch); err != nil {
			return nil, err
		}
	}
	defer k.enter(at)()
	p, err := k.promise(at)
	if err != nil || p.Decided != nil || b.Compare(p.Promised) < 0 {
		return p, err
	}
	k.opt.Step("accept")
	if err := k.vote(ctx, at, &Vote{Promised: b, Freeze: at.Number > 0, Accepted: b, Value: value}); err != nil {
		return nil, err
	}
	return k.promise(at)
}

// Adopt binds the store to what others are bound to, after its disk was lost.
func (k *Store) Adopt(ctx context.Context, at Attempt, v *Vote, fetch Fetch) error {
	if at.Number > 0 && v.Value != nil {
		if err := k.hold(ctx, at, v.Value, fetch); err != nil {
			return err
		}
	}
	defer k.enter(at)()
	if p, err := k.promise(at); err != nil || p.Decided != nil {
		return err
	}
	return k.vote(ctx, at, v)
}

// Votes lists what the store is bound to in registers that are not decided here.
func (k *Store) Votes() map[Attempt]Vote {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := make(map[Attempt]Vote, len(k.votes))
	for at, v := range k.votes {
		m[at] = *v
	}
	return m
}

// hold gets hold of all that a manifest names, and keeps it from being collected.
func (k *Store) hold(ctx context.Context, at Attempt, value []byte, fetch Fetch) error {
	if k.over(at) {
		return nil
	}
	m, err := Verify(k.opt.Key, value)
	if err != nil {
		return err
	}
	if m.Attempt != at {
		return fmt.Errorf("%w: %s for %s", ErrForged, m.Attempt, at)
	}
	keep, err := m.keeps(value)
	if err != nil {
		return err
	}
	for _, s := range m.Streams {
		if k.opt.Blobs.Has(m.Tenant, s.Blob) {
			continue
		}
		content, err := k.Content(at, s.Name)
		if err == nil && blob.DigestOf(content) == s.Blob {
			_, err = k.opt.Blobs.Put(ctx, m.Tenant, content, blob.UseReserve)
		} else { // not all of it is here
			err = k.bring(ctx, m.Tenant, s.Blob, fetch)
		}
		if err != nil {
			return err
		}
	}
	for _, d := range keep[1:] {
		if !k.opt.Blobs.Has(m.Tenant, d) {
			if err := k.bring(ctx, m.Tenant, d, fetch); err != nil {
				return err
			}
		}
	}
	if _, err := k.opt.Blobs.Put(ctx, m.Tenant, value, blob.UseReserve); err != nil {
		return err
	}
	k.opt.Step("hold")
	return k.opt.Blobs.SetRef(ctx, m.Tenant, voteName(at), keep...)
}

// bring fetches a blob.
func (k *Store) bring(ctx context.Context, tenant string, d blob.Digest, fetch Fetch) error {
	if fetch == nil {
		return fmt.Errorf("%w: %s", blob.ErrNotFound, d)
	}
	r, err := fetch(ctx, tenant, d)
	if err != nil {
		return err
	}
	defer r.Close()
	return k.opt.Blobs.PutReader(ctx, tenant, d, r, blob.UseReserve)
}

// Forget lets go of an ended attempt or a result (Number 0), which others keep.
func (k *Store) Forget(ctx context.Context, at Attempt) error {
	defer k.enter(at)()
	k.mu.Lock()
	delete(k.votes, at) // else what was promised of tasks without a result stayed for ever
	k.mu.Unlock()
	if at.Number == 0 {
		return k.opt.Blobs.DropRef(ctx, finalName(at))
	}
	if err := k.Settled(ctx, at); err != nil {
		return err
	}
	return errors.Join(k.opt.Blobs.DropRef(ctx, sealedName(at)), k.opt.Blobs.DropRef(ctx, shelvedName(at)))
}

// Abandon lets go of an open attempt, which others keep.
func (k *Store) Abandon(ctx context.Context, at Attempt) error {
	defer k.enter(at)()
	k.mu.Lock()
	a := k.open[at]
	k.mu.Unlock()
	if a == nil {
		return nil
	}
	if err := k.write(ctx, &entry{Kind: kindClosed, Attempt: at}); err != nil {
		return err
	}
	for path := range a.files {
		if err := k.opt.Blobs.DropRef(ctx, openName(at, path)); err != nil {
			return err
		}
	}
	return nil
}
