package keepers

import (
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	crand "crypto/rand"

	"golang.org/x/time/rate"

	"topazhollow/internal/blob"
	"topazhollow/internal/keeper"
	"topazhollow/internal/wait"
	"topazhollow/internal/wire"
)

// Options are a node's choices.
type Options struct {
	Name     string // the own one among Members
	Dir      string // for what it must know of itself across starts
	Members  Members
	Keeper   *keeper.Keeper
	Blobs    *blob.Store
	Key      []byte
	Patience time.Duration // for another keeper's answer; 5 s if 0
	Repair   float64       // bytes a second that repair may bring; no bound if 0
	Retain   *Retention    // how long what is kept; nil: for ever
	Revoked  *Revoked      // tokens that are refused; nil: none
	HTTP     *http.Client  // for the other keepers; http.DefaultClient if nil
	Log      *slog.Logger
	Now      func() time.Time
}

// Node is one keeper among several. Whichever is asked answers for all of them.
type Node struct {
	opt    Options
	keeper *keeper.Keeper
	blobs  *blob.Store
	peers  map[string]replica // all that are not gone, the own one too
	start  string             // names this process in ballots
	round  atomic.Uint64
	busy   map[string]chan struct{} // what goes on behind callers' backs, by keeper

	mu     sync.Mutex
	id     *identity
	repair repairState
	meters *meters
	limit  *rate.Limiter // of repair; nil: none
}

// New makes a node of a keeper and its store.
func New(opt Options) (*Node, error) {
	if opt.Patience <= 0 {
		opt.Patience = 5 * time.Second
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.HTTP == nil {
		opt.HTTP = http.DefaultClient
	}
	if err := opt.Members.check(opt.Name); err != nil {
		return nil, err
	}
	id, err := openIdentity(opt.Dir, &opt.Members)
	if err != nil {
		return nil, err
	}
	var r [6]byte
	_, _ = crand.Read(r[:]) // never fails
	n := &Node{opt: opt, keeper: opt.Keeper, blobs: opt.Blobs, id: id, peers: map[string]replica{}, busy: map[string]chan struct{}{},
		start: fmt.Sprintf("%s.%d.%s", opt.Name, id.Incarnation, hex.EncodeToString(r[:]))}
	n.repair.noticed = map[string]time.Time{}
	n.meters, n.limit = newMeters(n), newLimit(opt.Repair)
	for _, m := range opt.Members.List {
		if m.State == Gone {
			continue
		}
		n.peers[m.Name] = &remote{n: n, name: m.Name, url: m.URL, http: opt.HTTP}
		n.busy[m.Name] = make(chan struct{}, callsAtOnce)
	}
	n.peers[opt.Name] = local{n}
	return n, nil
}

func (n *Node) counts(job string, task int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.id.counts(n.opt.Name, job, task)
}

// callsAtOnce bounds the calls that one keeper has open to another. Beyond it that one
// counts as failed for the call; if enough do, the caller is told to come back.
const callsAtOnce = 4096

// reply is one keeper's.
type reply struct {
	name string
	*answer
	err error
}

// ask puts a call to some keepers at once and gives the answers as soon as so many are
// there, or all have answered. What is still on its way then is seen through behind
// the caller's back; a keeper that lets too much of that pile up is left to repair.
func (n *Node) ask(ctx context.Context, names []string, need int, do func(ctx context.Context, name string, r replica) (*answer, error)) (got []reply, failed []reply) {
	replies := make(chan reply, len(names))
	late := context.WithoutCancel(ctx)
	for _, name := range names {
		p := n.peers[name]
		if p == nil {
			replies <- reply{name: name, err: ErrTooFew}
			continue
		}
		select {
		case n.busy[name] <- struct{}{}:
		default:
			replies <- reply{name: name, err: errBusy}
			continue
		}
		go func() {
			defer func() { <-n.busy[name] }()
			ctx, cancel := context.WithTimeout(late, n.opt.Patience)
			defer cancel()
			a, err := do(ctx, name, p)
			replies <- reply{name, a, err}
		}()
	}
	for range names {
		var r reply
		select {
		case r = <-replies:
		case <-ctx.Done():
			return got, append(failed, reply{err: ctx.Err()})
		}
		if r.err != nil {
			failed = append(failed, r)
		} else if got = append(got, r); len(got) >= need {
			break
		}
	}
	return got, failed
}

// reason is the error that says most about why too few keepers did something.
func reason(failed []reply) error {
	var errs []error
	for _, f := range failed {
		errs = append(errs, f.err)
	}
	for _, e := range []error{keeper.ErrSealed, keeper.ErrClaim, keeper.ErrFrozen, keeper.ErrTooMuch, keeper.ErrName, keeper.ErrUnknown, blob.ErrNotFound, blob.ErrTenant} {
		for _, err := range errs {
			if errors.Is(err, e) {
				return err
			}
		}
	}
	for _, err := range errs {
		var gap *keeper.GapError
		var full *blob.FullError
		if errors.As(err, &gap) || errors.As(err, &full) {
			return err
		}
	}
	return fmt.Errorf("%w: %w", ErrTooFew, errors.Join(errs...))
}

// write has a call carried out by as many of a task's keepers as must have it. An end
// that somebody began and left open is seen through or undone first.
func (n *Node) write(ctx context.Context, at keeper.Attempt, do func(ctx context.Context, name string, r replica) (*answer, error)) ([]reply, error) {
	names := n.opt.Members.Place(at.Job, at.Task)
	need := n.opt.Members.acks(len(names))
	for try := 0; ; try++ {
		got, failed := n.ask(ctx, names, need, do)
		if len(got) >= need {
			return got, nil
		}
		err := reason(failed)
		if !errors.Is(err, keeper.ErrFrozen) || try > 2 {
			return nil, err
		}
		if _, rerr := n.resolve(ctx, at); rerr != nil {
			return nil, errors.Join(err, rerr)
		}
	}
}

// Begin opens an attempt for its machine and session. Repeated by the same it has no
// effect.
func (n *Node) Begin(ctx context.Context, c keeper.Claim) error {
	_, err := n.write(ctx, c.Attempt, func(ctx context.Context, _ string, r replica) (*answer, error) {
		return r.do(ctx, &call{Op: "begin", Claim: c})
	})
	return err
}

// Append adds records to a stream, the first of them under a number. next is the number
// of the record wanted next; all before it are durable on enough keepers.
func (n *Node) Append(ctx context.Context, c keeper.Claim, stream string, first uint64, records []keeper.Record) (next uint64, err error) {
	begun := n.opt.Now()
	got, err := n.write(ctx, c.Attempt, func(ctx context.Context, name string, r replica) (*answer, error) {
		a, err := r.do(ctx, &call{Op: "append", Claim: c, Stream: stream, First: first, Records: records})
		var gap *keeper.GapError
		if errors.As(err, &gap) && n.fill(ctx, c, stream, gap.Want, first, name, r) {
			a, err = r.do(ctx, &call{Op: "append", Claim: c, Stream: stream, First: first, Records: records})
		}
		return a, err
	})
	if err != nil {
		var gap *keeper.GapError
		if errors.As(err, &gap) {
			next = gap.Want
		}
		return next, err
	}
	n.meters.appended(records, n.opt.Now().Sub(begun))
	nexts := make([]uint64, 0, len(got))
	for _, r := range got {
		nexts = append(nexts, r.Next)
	}
	return slices.Min(nexts), nil
}

// fill brings a keeper the records of a stream that it missed, from another that has
// them.
func (n *Node) fill(ctx context.Context, c keeper.Claim, stream string, from, to uint64, name string, r replica) bool {
	for _, other := range n.opt.Members.Place(c.Job, c.Task) {
		p := n.peers[other]
		if other == name || p == nil || from >= to {
			continue
		}
		if next, err := n.copyRecords(ctx, c, stream, from, to, p, r); err == nil {
			from = next
		}
	}
	return from >= to
}

// atOnce bounds the records that go from one keeper to another in one call.
const (
	atOnce      = 500
	atOnceBytes = 1 << 20
)

// copyRecords brings records from one keeper to another, up to a number, or all if it
// is 0, and gives the number of the next.
func (n *Node) copyRecords(ctx context.Context, c keeper.Claim, stream string, from, to uint64, src, dst replica) (uint64, error) {
	var batch []keeper.Record
	size := 0
	send := func() error {
		if len(batch) == 0 {
			return nil
		}
		_, err := dst.do(ctx, &call{Op: "append", Claim: c, Stream: stream, First: from, Records: batch})
		if err == nil {
			from += uint64(len(batch))
			batch, size = nil, 0
		}
		return err
	}
	_, _, err := src.read(ctx, c.Attempt, stream, from, false, func(rec keeper.Record) error {
		if to > 0 && from+uint64(len(batch)) >= to {
			return nil
		}
		batch = append(batch, rec)
		if size += len(rec.Data); len(batch) < atOnce && size < atOnceBytes {
			return nil
		}
		return send()
	})
	return from, errors.Join(err, send())
}

// Attach adds a file, whose content one of the keepers has from the same tenant. A path
// that was attached before gets the new content.
func (n *Node) Attach(ctx context.Context, c keeper.Claim, path string, d blob.Digest) error {
	_, err := n.write(ctx, c.Attempt, func(ctx context.Context, name string, r replica) (*answer, error) {
		ask := &call{Op: "attach", Claim: c, Path: path, Digest: d.String()}
		a, err := r.do(ctx, ask)
		if !errors.Is(err, blob.ErrNotFound) && !errors.Is(err, blob.ErrTenant) {
			return a, err
		}
		content, oerr := n.open(ctx, n.sources(c.Job, c.Task), c.Tenant, d, 0)
		if oerr != nil {
			return nil, oerr
		}
		defer content.Close()
		if err := r.put(ctx, c.Tenant, d, content); err != nil {
			return nil, err
		}
		return r.do(ctx, ask)
	})
	return err
}

// Seal closes an attempt with what its worker says of its end; if that is not all here,
// it is refused with what is wanted. A repeated seal gives the manifest again. When it
// returns without an error the manifest is decided and durable, and final says whether
// the attempt is the task's result: the first of the completed ones, unless a later
// attempt had begun by then.
func (n *Node) Seal(ctx context.Context, c keeper.Claim, end keeper.End) (m *keeper.Manifest, final bool, err error) {
	value, err := n.decide(ctx, c.Attempt, true, func(promises []reply) ([]byte, error) {
		return n.gather(ctx, c, &end, promises)
	})
	if err != nil {
		return nil, false, err
	}
	if m, err = keeper.Verify(n.opt.Key, value); err != nil {
		return nil, false, err
	}
	switch {
	case m.Claim != c:
		return nil, false, keeper.ErrClaim
	case m.Partial:
		return nil, false, keeper.ErrSealed
	case m.Exit.Completed:
		var r *keeper.Result
		r, err = n.settle(ctx, c, blob.Of(value).String())
		final = r != nil && r.Number == c.Number
	}
	return m, final, err
}

// errOvertaken says that a later attempt had begun.
var errOvertaken = errors.New("keepers: a later attempt has begun")

// settle makes an attempt, sealed as completed, its task's result if there is none and no
// later attempt has begun. It gives the task's result, nil if there is none: then the
// attempt won't become it any more either.
func (n *Node) settle(ctx context.Context, c keeper.Claim, manifest string) (*keeper.Result, error) {
	want := wire.Encode(&keeper.Result{Tenant: c.Tenant, Number: c.Number, Manifest: manifest})
	value, err := n.decide(ctx, keeper.Attempt{Job: c.Job, Task: c.Task}, false, func(promises []reply) ([]byte, error) {
		for _, p := range promises {
			if p.Promise.Latest > c.Number {
				return nil, errOvertaken
			}
		}
		return want, nil
	})
	if errors.Is(err, errOvertaken) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	r := &keeper.Result{}
	return r, json.Unmarshal(value, r)
}

// errNothing says that a register has no value.
var errNothing = errors.New("keepers: nothing is decided")

// resolve sees through what somebody began to decide, or undoes it: then there is no
// value, and an attempt that was about to end is not frozen any more.
func (n *Node) resolve(ctx context.Context, at keeper.Attempt) (value []byte, err error) {
	value, err = n.decide(ctx, at, false, func([]reply) ([]byte, error) { return nil, errNothing })
	if errors.Is(err, errNothing) {
		return nil, nil
	}
	return value, err
}

// decide has a register's value decided, if it is not yet, and gives it. propose is
// asked for one only while no majority could have decided another.
func (n *Node) decide(ctx context.Context, at keeper.Attempt, freeze bool, propose func(promises []reply) ([]byte, error)) ([]byte, error) {
	names := n.opt.Members.Place(at.Job, at.Task)
	need := majority(len(names))
	learn := func(value []byte) {
		// The value is decided whether they learn of it now or later.
		n.ask(ctx, names, need, func(ctx context.Context, _ string, r replica) (*answer, error) {
			return r.do(ctx, &call{Op: "learn", Attempt: at, Value: value, From: n.opt.Name})
		})
	}
	for try := 0; try < 8; try++ {
		if try > 0 { // somebody else is at it
			if !wait.For(ctx, rand.N(10*time.Millisecond<<try)) {
				return nil, ctx.Err()
			}
		}
		b := keeper.Ballot{Round: n.round.Add(1), By: n.start}
		got, failed := n.ask(ctx, names, need, func(ctx context.Context, _ string, r replica) (*answer, error) {
			a, err := r.do(ctx, &call{Op: "prepare", Attempt: at, Ballot: b, Freeze: freeze, Count: true})
			if err == nil && a.Promise.Decided == nil && a.Promise.Promised != b {
				n.beyond(a.Promise.Promised.Round)
				return nil, errOutvoted
			}
			return a, err
		})
		var best *keeper.Promise
		for _, r := range got {
			p := r.Promise
			if p.Decided != nil {
				if slices.ContainsFunc(got, func(o reply) bool { return o.Promise.Decided == nil }) {
					learn(p.Decided)
				}
				return p.Decided, nil
			}
			if p.Value != nil && (best == nil || p.Accepted.Compare(best.Accepted) > 0) {
				best = p
			}
		}
		if len(got) < need {
			if outvoted(failed) {
				continue
			}
			return nil, reason(failed)
		}
		var value []byte
		if best != nil {
			value = best.Value
		} else {
			var err error
			if value, err = propose(got); err != nil {
				if freeze { // it may go on
					_, _ = n.resolve(ctx, at) // else whoever adds to it does
				}
				return nil, err
			}
		}
		got, failed = n.ask(ctx, names, need, func(ctx context.Context, _ string, r replica) (*answer, error) {
			a, err := r.do(ctx, &call{Op: "accept", Attempt: at, Ballot: b, Value: value, Count: true, From: n.opt.Name})
			if err == nil && a.Promise.Decided == nil && a.Promise.Accepted != b {
				n.beyond(a.Promise.Promised.Round)
				return nil, errOutvoted
			}
			return a, err
		})
		for _, r := range got {
			if r.Promise.Decided != nil {
				value = r.Promise.Decided
				learn(value)
				return value, nil
			}
		}
		if len(got) >= need {
			learn(value)
			return value, nil
		}
		if !outvoted(failed) {
			return nil, reason(failed)
		}
	}
	return nil, fmt.Errorf("%w: others decide it", errBusy)
}

var errOutvoted = errors.New("keepers: a higher ballot was promised")

func outvoted(failed []reply) bool {
	return slices.ContainsFunc(failed, func(r reply) bool { return errors.Is(r.err, errOutvoted) })
}

// beyond lets the next ballot be higher than one that was seen.
func (n *Node) beyond(round uint64) {
	for {
		old := n.round.Load()
		if old >= round || n.round.CompareAndSwap(old, round) {
			return
		}
	}
}

// gather makes a manifest of what a majority of keepers has of an attempt, and has its
// streams' content at hand. end is what its worker says of it, or nil if it is to be
// shelved.
func (n *Node) gather(ctx context.Context, c keeper.Claim, end *keeper.End, promises []reply) ([]byte, error) {
	most := map[string]keeper.Extent{}
	at := map[string]string{} // keeper that has so much of a stream
	files := map[string]map[string]bool{}
	known := false
	for _, p := range promises {
		v := p.Promise.View
		if v == nil {
			continue
		}
		if v.Claim != c {
			return nil, keeper.ErrClaim
		}
		known = true
		for name, x := range v.Streams {
			if old, there := most[name]; !there || x.Next > old.Next {
				most[name], at[name] = x, p.name
			}
		}
		for path, d := range v.Files {
			if files[path] == nil {
				files[path] = map[string]bool{}
			}
			files[path][d] = true
		}
	}
	if !known {
		return nil, keeper.ErrUnknown
	}
	m := &keeper.Manifest{Claim: c, Sealed: n.opt.Now().UTC(), Streams: []keeper.StreamInfo{}, Files: []keeper.FileInfo{}}
	if end == nil {
		m.Partial, m.Exit = true, keeper.Exit{Reason: "never sealed"}
		for _, path := range slices.Sorted(maps.Keys(files)) {
			m.Files = append(m.Files, keeper.FileInfo{Path: path, Digest: slices.Min(slices.Collect(maps.Keys(files[path])))})
		}
	} else {
		m.Exit = end.Exit
		for stream, want := range end.Records {
			if have := most[stream].Next; have != want {
				return nil, fmt.Errorf("%w: %w", keeper.ErrNotWhole, &keeper.GapError{Stream: stream, Want: have, Have: want})
			}
		}
		for stream := range most {
			if _, said := end.Records[stream]; !said {
				return nil, fmt.Errorf("%w: nothing was said of stream %s", keeper.ErrNotWhole, stream)
			}
		}
		for path := range files {
			if _, said := end.Files[path]; !said {
				return nil, fmt.Errorf("%w: nothing was said of file %s", keeper.ErrNotWhole, path)
			}
		}
		for _, path := range slices.Sorted(maps.Keys(end.Files)) {
			if !files[path][end.Files[path]] {
				return nil, fmt.Errorf("%w: file %s is not here", keeper.ErrNotWhole, path)
			}
			m.Files = append(m.Files, keeper.FileInfo{Path: path, Digest: end.Files[path]})
		}
	}
	for _, stream := range slices.Sorted(maps.Keys(most)) {
		var content []byte
		x := most[stream]
		next, _, err := n.peers[at[stream]].read(ctx, c.Attempt, stream, 0, false, func(r keeper.Record) error {
			content = keeper.AppendRecord(content, r)
			return nil
		})
		if err == nil && next != x.Next {
			err = fmt.Errorf("%w: stream %s", keeper.ErrNotWhole, stream)
		}
		if err != nil {
			return nil, err
		}
		d, err := n.blobs.Put(ctx, c.Tenant, content, blob.Urgent)
		if err != nil {
			return nil, err
		}
		m.Streams = append(m.Streams, keeper.StreamInfo{Name: stream, Records: x.Next, Bytes: x.Bytes, Lost: x.Lost, Blob: d, Digest: d.String()})
	}
	return m.Sign(n.opt.Key), nil
}

// view is what all keepers together know of a task.
type view struct {
	attempts []merged
	result   *keeper.Result
	sure     bool // a majority answered
}

// merged is an attempt as several keepers have it.
type merged struct {
	keeper.View
	next  map[string]map[string]uint64 // of open ones: by stream and keeper
	voted bool
}

// task asks a task's keepers what they have. What one of them accepted and nobody knows
// to be decided is resolved first, so that what is told of stays true.
func (n *Node) task(ctx context.Context, job string, task int) (_ *view, err error) {
	at := keeper.Attempt{Job: job, Task: task}
	names := n.opt.Members.Place(job, task)
	for try := 0; ; try++ {
		got, failed := n.ask(ctx, names, majority(len(names)), func(ctx context.Context, _ string, r replica) (*answer, error) {
			return r.do(ctx, &call{Op: "task", Attempt: at, Count: true})
		})
		v := &view{sure: len(got) >= majority(len(names))}
		if !v.sure { // whoever is left, also one that is still joining
			more, _ := n.ask(ctx, n.sources(job, task), len(names)+len(n.peers), func(ctx context.Context, _ string, r replica) (*answer, error) {
				return r.do(ctx, &call{Op: "task", Attempt: at})
			})
			if got = append(got, more...); len(got) == 0 {
				return nil, reason(failed)
			}
		}
		voted := v.merge(got)
		if !v.sure || try > 2 {
			return v, nil
		}
		if len(voted) == 0 {
			// Between an attempt's seal and the word whether it is the result nobody
			// must be told that it is not.
			if last := v.completed(); v.result == nil && last != nil {
				if v.result, err = n.settle(ctx, last.Claim, last.Ended); err != nil {
					v.sure = false
				}
			}
			return v, nil
		}
		for _, x := range voted {
			x.Job, x.Task = job, task
			if _, err := n.resolve(ctx, x); err != nil {
				v.sure = false
				return v, nil
			}
		}
	}
}

// merge puts together what keepers have, and lists the registers that may be decided
// without one of them knowing.
func (v *view) merge(got []reply) (voted []keeper.Attempt) {
	by := map[uint64]*merged{}
	resultVoted := false
	for _, r := range got {
		if r.Task.Result != nil {
			v.result = r.Task.Result
		}
		resultVoted = resultVoted || r.Task.Voted
		for _, a := range r.Task.Attempts {
			m := by[a.Number]
			if m == nil {
				m = &merged{View: keeper.View{Claim: keeper.Claim{Attempt: a.Attempt}, Idle: a.Idle}, next: map[string]map[string]uint64{}}
				by[a.Number] = m
			}
			if m.Machine == "" && a.Machine != "" {
				m.Claim = a.Claim
			}
			m.Idle = min(m.Idle, a.Idle)
			m.voted = m.voted || a.Voted
			if a.Ended != "" {
				m.Ended, m.Partial, m.Exit, m.Claim = a.Ended, a.Partial, a.Exit, a.Claim
			}
			for stream, x := range a.Streams {
				if m.next[stream] == nil {
					m.next[stream] = map[string]uint64{}
				}
				m.next[stream][r.name] = x.Next
			}
		}
	}
	for _, number := range slices.Sorted(maps.Keys(by)) {
		m := by[number]
		if m.Ended == "" && m.voted {
			voted = append(voted, m.Attempt)
		}
		v.attempts = append(v.attempts, *m)
	}
	if v.result == nil && resultVoted {
		voted = append(voted, keeper.Attempt{})
	}
	return voted
}

// completed is the last attempt that was sealed as completed.
func (v *view) completed() *merged {
	for i := len(v.attempts) - 1; i >= 0; i-- {
		if m := &v.attempts[i]; m.Ended != "" && !m.Partial && m.Exit.Completed {
			return m
		}
	}
	return nil
}

func (v *view) find(number uint64) *merged {
	for i := range v.attempts {
		if v.attempts[i].Number == number {
			return &v.attempts[i]
		}
	}
	return nil
}

// state is what an attempt is, as keeper.Line has it.
func (v *view) state(m *merged) string {
	switch {
	case v.result != nil && v.result.Number == m.Number:
		return keeper.StateFinal
	case m.Ended != "" && m.Partial:
		return keeper.StatePartial
	case !v.sure:
		return keeper.StateUnsure
	case m.Ended != "":
		return keeper.StateSealed
	}
	return keeper.StateGoesOn
}

// Attempts lists a task's attempts in their order. sure says whether enough keepers
// answered for all that was ever acknowledged to be in it.
func (n *Node) Attempts(ctx context.Context, job string, task int) (list []keeper.Known, sure bool, err error) {
	v, err := n.task(ctx, job, task)
	if err != nil {
		return nil, false, err
	}
	for i := range v.attempts {
		m := &v.attempts[i]
		list = append(list, keeper.Known{Attempt: m.Attempt, Machine: m.Machine, State: v.state(m), Exit: m.Exit})
	}
	return list, v.sure, nil
}

// choose finds an attempt by number; for 0 the final one, else the latest.
func (n *Node) choose(ctx context.Context, job string, task int, number uint64) (*view, *merged, error) {
	v, err := n.task(ctx, job, task)
	if err != nil {
		return nil, nil, err
	}
	if number == 0 && v.result != nil {
		number = v.result.Number
	}
	var m *merged
	if number > 0 {
		m = v.find(number)
	} else if len(v.attempts) > 0 {
		m = &v.attempts[len(v.attempts)-1]
	}
	switch {
	case m != nil:
		return v, m, nil
	case !v.sure:
		return nil, nil, ErrTooFew
	}
	return nil, nil, keeper.ErrUnknown
}

// Manifest gives the manifest of an attempt that has ended, and its state; for number 0
// the final one's, else the latest's.
func (n *Node) Manifest(ctx context.Context, job string, task int, number uint64) (*keeper.Manifest, string, error) {
	v, m, err := n.choose(ctx, job, task, number)
	if err != nil {
		return nil, "", err
	}
	if m.Ended == "" {
		return nil, "", fmt.Errorf("%w: attempt %d has not ended", keeper.ErrUnknown, m.Number)
	}
	man, err := n.manifest(ctx, m)
	return man, v.state(m), err
}

func (n *Node) manifest(ctx context.Context, m *merged) (*keeper.Manifest, error) {
	d, err := blob.Parse(m.Ended)
	if err != nil {
		return nil, err
	}
	b, err := n.whole(ctx, m.Job, m.Task, m.Tenant, d)
	if err != nil {
		return nil, err
	}
	return keeper.Verify(n.opt.Key, b)
}

// whole reads a blob of a task from whoever has it.
func (n *Node) whole(ctx context.Context, job string, task int, tenant string, d blob.Digest) ([]byte, error) {
	r, err := n.open(ctx, n.sources(job, task), tenant, d, 0)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, d.Size+1))
	if err == nil && blob.Of(b) != d {
		err = fmt.Errorf("%w: %s", blob.ErrMismatch, d)
	}
	return b, err
}

// turn is for how long a follower stays with one keeper before it looks whether another
// has more.
const turn = 5 * time.Second

// Read hands over the records of an attempt's stream from a number on, and gives the
// number of the next and the attempt's state. A follower is served for as long as the
// attempt goes on and the context allows. A keeper that fails meanwhile is replaced by
// another.
func (n *Node) Read(ctx context.Context, at keeper.Attempt, stream string, from uint64, follow bool, each func(uint64, keeper.Record) error) (next uint64, state string, err error) {
	next = from
	var broken error // each's own
	pass := func(r keeper.Record) error {
		if broken = each(next, r); broken == nil {
			next++
		}
		return broken
	}
	failures := 0
	for {
		v, m, err := n.choose(ctx, at.Job, at.Task, at.Number)
		if err != nil {
			return next, "", err
		}
		state = v.state(m)
		names := n.sources(at.Job, at.Task)
		rank := func(name string) uint64 { return m.next[stream][name] }
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
		want := uint64(0) // records that must come before this is whole
		if m.Ended != "" {
			man, err := n.manifest(ctx, m)
			if err != nil {
				return next, "", err
			}
			for _, s := range man.Streams {
				if s.Name == stream {
					want = s.Records
				}
			}
		} else if len(names) > 0 {
			want = rank(names[0])
		}
		following := follow && m.Ended == ""
		var last error
		for _, name := range names {
			p := n.peers[name]
			if p == nil || (next >= want && !following) {
				continue
			}
			slice, cancel := ctx, context.CancelFunc(func() {})
			if following {
				slice, cancel = context.WithTimeout(ctx, turn)
			}
			_, _, last = p.read(slice, m.Attempt, stream, next, following, pass)
			over := slice.Err() != nil
			cancel()
			if broken != nil {
				return next, "", broken
			}
			if over || (last == nil && (following || next >= want)) {
				last = nil
				break
			}
		}
		switch {
		case ctx.Err() != nil:
			return next, state, nil
		case last == nil && !following && next >= want:
			return next, state, nil
		case last == nil && !following:
			last = fmt.Errorf("%w: %d of %d records", keeper.ErrNotWhole, next, want)
		}
		if last != nil {
			if failures++; failures > 3 {
				return next, "", last
			}
			wait.For(ctx, rand.N(100*time.Millisecond<<failures)) // the next try sees whether the context ended
		}
	}
}

// Tasks lists the tasks of a job of which something is kept. sure says whether enough
// keepers answered for none that was acknowledged to be missing.
func (n *Node) Tasks(ctx context.Context, job string) (list []int, sure bool, err error) {
	names := slices.Sorted(maps.Keys(n.peers))
	got, failed := n.ask(ctx, names, len(names), func(ctx context.Context, _ string, r replica) (*answer, error) {
		return r.do(ctx, &call{Op: "tasks", Attempt: keeper.Attempt{Job: job}})
	})
	if len(got) == 0 {
		return nil, false, reason(failed)
	}
	found := map[int]bool{}
	for _, r := range got {
		for _, t := range r.Tasks {
			found[t] = true
		}
	}
	return slices.Sorted(maps.Keys(found)), len(failed) < n.opt.Members.acks(n.opt.Members.Copies), nil
}
