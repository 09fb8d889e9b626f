package keeper

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"topazhollow/internal/blob"
	"topazhollow/internal/wire"
)

// What must be decided once by several keepers lies in write-once registers, one for
// each attempt's end and one for each task's result. A value is decided once a
// majority of the register's keepers accepted it in one ballot (Lamport, "The Part-Time
// Parliament", 1998, for a single decree). An attempt names its end's register, and
// with Number 0 its task's result's.

// Ballot orders the tries to decide a register. No two tries share one.
type Ballot struct {
	Round uint64 `json:"n"`
	By    string `json:"by"` // keeper and start of its process
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), strings.Compare(b.By, o.By))
}

// Vote is what a keeper is bound to in a register.
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

// Promise is a keeper's answer in a register.
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

// decided gives a register's value, if it is known here.
func (k *Keeper) decided(at Attempt) (value []byte, ok bool, err error) {
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
			value = wire.Encode(&Result{tenant, m.Number, ds[0].String()})
		}
	}
	return value, true, err
}

func (k *Keeper) there(name string) bool {
	_, _, ok := k.opt.Blobs.Ref(name)
	return ok
}

// promise is what is to be answered in a register now. Its gate is held.
func (k *Keeper) promise(at Attempt) (*Promise, error) {
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
func (k *Keeper) vote(ctx context.Context, at Attempt, v *Vote) error {
	return k.write(ctx, &entry{Kind: kindVote, Attempt: at, Vote: v})
}

// Prepare promises that nothing of a lower ballot is accepted in a register any more,
// unless a higher one was promised already. While a promise with freeze is the highest,
// nothing is added to the attempt, so that what the answers show of it is all that a
// majority ever acknowledged.
func (k *Keeper) Prepare(ctx context.Context, at Attempt, b Ballot, freeze bool) (*Promise, error) {
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
func (k *Keeper) Accept(ctx context.Context, at Attempt, b Ballot, value []byte, fetch Fetch) (*Promise, error) {
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

// Adopt binds the keeper to what others are bound to, after its disk was lost.
func (k *Keeper) Adopt(ctx context.Context, at Attempt, v *Vote, fetch Fetch) error {
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

// Votes lists what the keeper is bound to in registers that are not decided here.
func (k *Keeper) Votes() map[Attempt]Vote {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := make(map[Attempt]Vote, len(k.votes))
	for at, v := range k.votes {
		m[at] = *v
	}
	return m
}

// Learn carries out what was decided: the attempt ends, or its task has its result.
func (k *Keeper) Learn(ctx context.Context, at Attempt, value []byte, fetch Fetch) error {
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
func (k *Keeper) keepDecision(at Attempt, what string, value []byte, keep func() error) error {
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
func (k *Keeper) keepEnd(ctx context.Context, at Attempt, value []byte) error {
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
func (k *Keeper) learnResult(ctx context.Context, at Attempt, value []byte, fetch Fetch) error {
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
// keeper is being opened.
func (k *Keeper) close(ctx context.Context, at Attempt) error {
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
func (k *Keeper) Unsettled() []Attempt {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Attempt, 0, len(k.unsettled))
	for at := range k.unsettled {
		list = append(list, at)
	}
	return list
}

// Settled says that it is known whether an attempt is its task's result.
func (k *Keeper) Settled(ctx context.Context, at Attempt) error {
	k.mu.Lock()
	there := k.unsettled[at]
	k.mu.Unlock()
	if !there {
		return nil
	}
	return k.write(ctx, &entry{Kind: kindSettle, Attempt: at})
}

// hold gets hold of all that a manifest names, and keeps it from being collected.
func (k *Keeper) hold(ctx context.Context, at Attempt, value []byte, fetch Fetch) error {
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
		if err == nil && blob.Of(content) == s.Blob {
			_, err = k.opt.Blobs.Put(ctx, m.Tenant, content, blob.Urgent)
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
	if _, err := k.opt.Blobs.Put(ctx, m.Tenant, value, blob.Urgent); err != nil {
		return err
	}
	k.opt.Step("hold")
	return k.opt.Blobs.SetRef(ctx, m.Tenant, voteName(at), keep...)
}

// bring fetches a blob.
func (k *Keeper) bring(ctx context.Context, tenant string, d blob.Digest, fetch Fetch) error {
	if fetch == nil {
		return fmt.Errorf("%w: %s", blob.ErrNotFound, d)
	}
	r, err := fetch(ctx, tenant, d)
	if err != nil {
		return err
	}
	defer r.Close()
	return k.opt.Blobs.Take(ctx, tenant, d, r, blob.Urgent)
}

// Extent is how much of a stream is there.
type Extent struct {
	Next  uint64 `json:"next"` // number of the next record
	Bytes int64  `json:"bytes"`
	Lost  int64  `json:"lost,omitempty"`
}

// View is what one keeper has of an attempt.
type View struct {
	Claim
	Ended   string            `json:"ended,omitempty"` // digest of its manifest; empty: open
	Partial bool              `json:"partial,omitempty"`
	Exit    *Exit             `json:"exit,omitempty"`
	Voted   bool              `json:"voted,omitempty"` // an end was accepted, and perhaps decided
	Idle    float64           `json:"idle,omitempty"`  // seconds since something came for it
	Streams map[string]Extent `json:"streams,omitempty"`
	Files   map[string]string `json:"files,omitempty"`
}

// TaskView is what one keeper has of a task.
type TaskView struct {
	Attempts []View  `json:"attempts"`
	Result   *Result `json:"result,omitempty"`
	Voted    bool    `json:"voted,omitempty"` // a result was accepted, and perhaps decided
}

// view is what is here of an open attempt. k.mu is held.
func (k *Keeper) view(at Attempt, a *attempt) *View {
	v := &View{Claim: a.claim, Idle: k.opt.Now().Sub(a.touched).Seconds(), Streams: map[string]Extent{}, Files: map[string]string{}}
	v.Voted = k.votes[at] != nil && k.votes[at].Value != nil
	for name, s := range a.streams {
		v.Streams[name] = Extent{s.next, s.bytes, s.lost}
	}
	for path, d := range a.files {
		v.Files[path] = d.String()
	}
	return v
}

// Task gives what is here of a task, its attempts in their order.
func (k *Keeper) Task(job string, task int) (*TaskView, error) {
	at := Attempt{Job: job, Task: task}
	t := &TaskView{}
	k.mu.Lock()
	open := map[uint64]*View{}
	for x, a := range k.open {
		if x.Job == job && x.Task == task {
			open[x.Number] = k.view(x, a)
		}
	}
	for x, v := range k.votes { // an end may be accepted of an attempt that is not known else
		if x.Job == job && x.Task == task && x.Number > 0 && open[x.Number] == nil && v.Value != nil {
			open[x.Number] = &View{Claim: Claim{Attempt: x}, Voted: true}
		}
	}
	t.Voted = k.votes[at] != nil && k.votes[at].Value != nil
	k.mu.Unlock()
	for _, kind := range []string{"sealed/", "partial/"} {
		names, err := k.opt.Blobs.Refs(kind+at.task(), "", 100_000)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			x, err := ParseName(name)
			if err != nil {
				return nil, err
			}
			tenant, ds, ok := k.opt.Blobs.Ref(name)
			if !ok {
				continue
			}
			m, err := k.manifest(tenant, ds[0])
			if err != nil {
				return nil, err
			}
			delete(open, x.Number)
			t.Attempts = append(t.Attempts, View{Claim: m.Claim, Ended: ds[0].String(), Partial: m.Partial, Exit: &m.Exit})
		}
	}
	for _, v := range open {
		t.Attempts = append(t.Attempts, *v)
	}
	slices.SortFunc(t.Attempts, func(a, b View) int { return cmp.Compare(a.Number, b.Number) })
	value, there, err := k.decided(at)
	if err != nil || !there {
		return t, err
	}
	t.Result = &Result{}
	return t, json.Unmarshal(value, t.Result)
}

// Open lists the attempts that have not ended here, with what is there of them.
func (k *Keeper) Open() []View {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]View, 0, len(k.open))
	for at, a := range k.open {
		list = append(list, *k.view(at, a))
	}
	return list
}

// Names lists the references of ended attempts and results, in order, after a name.
func (k *Keeper) Names(after string, most int) ([]string, error) {
	var list []string
	for _, kind := range []string{"final/", "partial/", "sealed/"} { // in the order of names
		names, err := k.opt.Blobs.Refs(kind, after, most-len(list))
		if list = append(list, names...); err != nil || len(list) >= most {
			return list, err
		}
	}
	return list, nil
}

// Tasks lists the tasks of a job of which something is here.
func (k *Keeper) Tasks(job string) ([]int, error) {
	found := map[int]bool{}
	for _, kind := range []string{"partial/", "sealed/"} {
		for after := ""; ; {
			names, err := k.opt.Blobs.Refs(kind+job+"/", after, 1000)
			if err != nil {
				return nil, err
			}
			for _, name := range names {
				at, err := ParseName(name)
				if err != nil {
					return nil, err
				}
				found[at.Task] = true
			}
			if len(names) < 1000 {
				break
			}
			after = names[len(names)-1]
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for at := range k.open {
		if at.Job == job {
			found[at.Task] = true
		}
	}
	list := make([]int, 0, len(found))
	for n := range found {
		list = append(list, n)
	}
	slices.Sort(list)
	return list, nil
}

// ParseName reads the name of a reference, as Names gives them.
func ParseName(name string) (Attempt, error) {
	parts := strings.Split(name, "/")
	var at Attempt
	if len(parts) != 4 {
		return at, fmt.Errorf("%w: %.100q", ErrName, name)
	}
	at.Job = parts[1]
	if _, err := fmt.Sscanf(parts[2], "%d", &at.Task); err != nil {
		return at, fmt.Errorf("%w: %.100q", ErrName, name)
	}
	if parts[3] != "" {
		if _, err := fmt.Sscanf(parts[3], "%d", &at.Number); err != nil {
			return at, fmt.Errorf("%w: %.100q", ErrName, name)
		}
	}
	return at, nil
}

// Forget lets go of an ended attempt or a result (Number 0), which others keep.
func (k *Keeper) Forget(ctx context.Context, at Attempt) error {
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
func (k *Keeper) Abandon(ctx context.Context, at Attempt) error {
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
