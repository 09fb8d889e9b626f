package artifactreplication

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
	"topazhollow/internal/wait"
)

// Seal closes an attempt with what its agent says of its end; if that is not all here,
// it is refused with what is wanted. A repeated seal gives the manifest again. When it
// returns without an error the manifest is decided and durable, and final says whether
// the attempt is the task's result: the first of the completed ones, unless a later
// attempt had begun by then.
func (n *Node) Seal(ctx context.Context, c artifactstore.Claim, end artifactstore.End) (m *artifactstore.Manifest, final bool, err error) {
	value, err := n.decide(ctx, c.Attempt, true, func(promises []reply) ([]byte, error) {
		return n.gather(ctx, c, &end, promises)
	})
	if err != nil {
		return nil, false, err
	}
	if m, err = artifactstore.Verify(n.opt.Key, value); err != nil {
		return nil, false, err
	}
	switch {
	case m.Claim != c:
		return nil, false, artifactstore.ErrClaim
	case m.Partial:
		return nil, false, artifactstore.ErrSealed
	case m.Exit.Completed:
		var r *artifactstore.Result
		r, err = n.settle(ctx, c, blob.DigestOf(value).String())
		final = r != nil && r.Number == c.Number
	}
	return m, final, err
}

// errLaterAttempt says that a later attempt had begun.
var errLaterAttempt = errors.New("keepers: a later attempt has begun")

// settle makes an attempt, sealed as completed, its task's result if there is none and no
// later attempt has begun. It gives the task's result, nil if there is none: then the
// attempt won't become it any more either.
func (n *Node) settle(ctx context.Context, c artifactstore.Claim, manifest string) (*artifactstore.Result, error) {
	want := protocol.Encode(&artifactstore.Result{Tenant: c.Tenant, Number: c.Number, Manifest: manifest})
	value, err := n.decide(ctx, artifactstore.Attempt{Job: c.Job, Task: c.Task}, false, func(promises []reply) ([]byte, error) {
		for _, p := range promises {
			if p.Promise.Latest > c.Number {
				return nil, errLaterAttempt
			}
		}
		return want, nil
	})
	if errors.Is(err, errLaterAttempt) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	r := &artifactstore.Result{}
	return r, json.Unmarshal(value, r)
}

// errNothingDecided says that a register has no value.
var errNothingDecided = errors.New("keepers: nothing is decided")

// resolve sees through what somebody began to decide, or undoes it: then there is no
// value, and an attempt that was about to end is not frozen any more.
func (n *Node) resolve(ctx context.Context, at artifactstore.Attempt) (value []byte, err error) {
	value, err = n.decide(ctx, at, false, func([]reply) ([]byte, error) { return nil, errNothingDecided })
	if errors.Is(err, errNothingDecided) {
		return nil, nil
	}
	return value, err
}

// decide has a register's value decided, if it is not yet, and gives it. propose is
// asked for one only while no majority could have decided another.
func (n *Node) decide(
	ctx context.Context, at artifactstore.Attempt, freeze bool, propose func(promises []reply) ([]byte, error),
) ([]byte, error) {
	d := &decision{node: n, at: at, freeze: freeze, names: n.opt.Members.ReplicasOf(at.Job, at.Task)}
	d.need = majority(len(d.names))
	for try := range maxBallots {
		if try > 0 && !wait.For(ctx, rand.N(ballotPause<<try)) { // somebody else is at it
			return nil, ctx.Err()
		}
		value, err := d.tryBallot(ctx, propose)
		if !errors.Is(err, errOutvoted) {
			return value, err
		}
	}
	return nil, fmt.Errorf("%w: others decide it", errBusy)
}

const (
	maxBallots  = 8                     // tries of one decision
	ballotPause = 10 * time.Millisecond // doubled with each try, at most
)

// decision is one node's tries to decide a register.
type decision struct {
	node   *Node
	at     artifactstore.Attempt
	freeze bool
	names  []string // of the replicas
	need   int      // of them, for a majority
}

// tryBallot tries once, in a ballot of its own. errOutvoted says that another ballot is ahead.
func (d *decision) tryBallot(ctx context.Context, propose func(promises []reply) ([]byte, error)) ([]byte, error) {
	n := d.node
	b := artifactstore.Ballot{Round: n.round.Add(1), By: n.start}
	promises, failed := d.prepare(ctx, b)
	if decided := d.decidedAmong(ctx, promises); decided != nil {
		return decided, nil
	}
	if len(promises) < d.need {
		return nil, d.whyFailed(failed)
	}
	value := acceptedIn(promises)
	if value == nil {
		var err error
		if value, err = propose(promises); err != nil {
			if d.freeze { // it may go on
				_, _ = n.resolve(ctx, d.at) // else whoever adds to it does
			}
			return nil, err
		}
	}
	accepted, failed := d.accept(ctx, b, value)
	for _, r := range accepted {
		if r.Promise.Decided != nil {
			d.teach(ctx, r.Promise.Decided)
			return r.Promise.Decided, nil
		}
	}
	if len(accepted) < d.need {
		return nil, d.whyFailed(failed)
	}
	d.teach(ctx, value)
	return value, nil
}

// whyFailed is errOutvoted if another ballot is ahead, else why too few replicas answered.
func (d *decision) whyFailed(failed []reply) error {
	if outvoted(failed) {
		return errOutvoted
	}
	return reason(failed)
}

// prepare asks the replicas to promise a ballot.
func (d *decision) prepare(ctx context.Context, b artifactstore.Ballot) (promises, failed []reply) {
	n := d.node
	return n.callReplicas(ctx, d.names, d.need, func(ctx context.Context, _ string, r replica) (*answer, error) {
		a, err := r.do(ctx, &call{Op: "prepare", Attempt: d.at, Ballot: b, Freeze: d.freeze, Count: true})
		if err == nil && a.Promise.Decided == nil && a.Promise.Promised != b {
			n.advanceRound(a.Promise.Promised.Round)
			return nil, errOutvoted
		}
		return a, err
	})
}

// accept asks the replicas to accept a value in a ballot.
func (d *decision) accept(ctx context.Context, b artifactstore.Ballot, value []byte) (accepted, failed []reply) {
	n := d.node
	return n.callReplicas(ctx, d.names, d.need, func(ctx context.Context, _ string, r replica) (*answer, error) {
		a, err := r.do(ctx, &call{Op: "accept", Attempt: d.at, Ballot: b, Value: value, Count: true, From: n.opt.Name})
		if err == nil && a.Promise.Decided == nil && a.Promise.Accepted != b {
			n.advanceRound(a.Promise.Promised.Round)
			return nil, errOutvoted
		}
		return a, err
	})
}

// teach tells the replicas what is decided. It is decided whether they learn of it now or later.
func (d *decision) teach(ctx context.Context, value []byte) {
	n := d.node
	n.callReplicas(ctx, d.names, d.need, func(ctx context.Context, _ string, r replica) (*answer, error) {
		return r.do(ctx, &call{Op: "learn", Attempt: d.at, Value: value, From: n.opt.Name})
	})
}

// decidedAmong is what a replica knows to be decided, nil if none does. Those that do not know are told.
func (d *decision) decidedAmong(ctx context.Context, promises []reply) []byte {
	knows := func(r reply) bool { return r.Promise.Decided != nil }
	i := slices.IndexFunc(promises, knows)
	if i < 0 {
		return nil
	}
	decided := promises[i].Promise.Decided
	if slices.ContainsFunc(promises, func(r reply) bool { return !knows(r) }) {
		d.teach(ctx, decided)
	}
	return decided
}

// acceptedIn is the value that was accepted in the highest ballot, nil if none was: it may have been decided.
func acceptedIn(promises []reply) []byte {
	var best *artifactstore.Promise
	for _, r := range promises {
		if p := r.Promise; p.Value != nil && (best == nil || p.Accepted.Compare(best.Accepted) > 0) {
			best = p
		}
	}
	if best == nil {
		return nil
	}
	return best.Value
}

var errOutvoted = errors.New("keepers: a higher ballot was promised")

func outvoted(failed []reply) bool {
	return slices.ContainsFunc(failed, func(r reply) bool { return errors.Is(r.err, errOutvoted) })
}

// advanceRound lets the next ballot be higher than one that was seen.
func (n *Node) advanceRound(round uint64) {
	for {
		old := n.round.Load()
		if old >= round || n.round.CompareAndSwap(old, round) {
			return
		}
	}
}

// gather makes a manifest of what a majority of replicas has of an attempt, and has its
// streams' content at hand. end is what its agent says of it, or nil if it is to be
// shelved.
func (n *Node) gather(
	ctx context.Context, c artifactstore.Claim, end *artifactstore.End, promises []reply,
) ([]byte, error) {
	g, err := gatherViews(c, promises)
	if err != nil {
		return nil, err
	}
	m := &artifactstore.Manifest{
		Claim:   c,
		Sealed:  n.opt.Now().UTC(),
		Streams: []artifactstore.StreamInfo{},
		Files:   []artifactstore.FileInfo{},
	}
	if end == nil {
		m.Partial, m.Exit = true, artifactstore.Exit{Reason: "never sealed"}
		m.Files = g.partialFiles()
	} else {
		if err := g.checkWhole(end); err != nil {
			return nil, err
		}
		m.Exit = end.Exit
		for _, path := range slices.Sorted(maps.Keys(end.Files)) {
			m.Files = append(m.Files, artifactstore.FileInfo{Path: path, Digest: end.Files[path]})
		}
	}
	for _, stream := range slices.Sorted(maps.Keys(g.longest)) {
		info, err := n.sealStream(ctx, c, stream, g.longest[stream], g.holder[stream])
		if err != nil {
			return nil, err
		}
		m.Streams = append(m.Streams, info)
	}
	return m.Sign(n.opt.Key), nil
}

// gathered is what replicas have of an attempt.
type gathered struct {
	longest map[string]artifactstore.Extent // by stream
	holder  map[string]string               // replica that has so much of a stream
	files   map[string]map[string]bool      // digests by path
}

// gatherViews joins what replicas told with their promises.
func gatherViews(c artifactstore.Claim, promises []reply) (*gathered, error) {
	g := &gathered{
		longest: map[string]artifactstore.Extent{},
		holder:  map[string]string{},
		files:   map[string]map[string]bool{},
	}
	known := false
	for _, p := range promises {
		v := p.Promise.View
		if v == nil {
			continue
		}
		if v.Claim != c {
			return nil, artifactstore.ErrClaim
		}
		known = true
		for name, x := range v.Streams {
			if old, there := g.longest[name]; !there || x.Next > old.Next {
				g.longest[name], g.holder[name] = x, p.name
			}
		}
		for path, d := range v.Files {
			if g.files[path] == nil {
				g.files[path] = map[string]bool{}
			}
			g.files[path][d] = true
		}
	}
	if !known {
		return nil, artifactstore.ErrUnknown
	}
	return g, nil
}

// partialFiles are the files of an attempt that was never sealed; of several contents the same one is taken each time.
func (g *gathered) partialFiles() []artifactstore.FileInfo {
	files := []artifactstore.FileInfo{}
	for _, path := range slices.Sorted(maps.Keys(g.files)) {
		digest := slices.Min(slices.Collect(maps.Keys(g.files[path])))
		files = append(files, artifactstore.FileInfo{Path: path, Digest: digest})
	}
	return files
}

// checkWhole is ErrNotWhole unless all that the agent says it put out is here, and nothing else.
func (g *gathered) checkWhole(end *artifactstore.End) error {
	for stream, want := range end.Records {
		if have := g.longest[stream].Next; have != want {
			gap := &artifactstore.GapError{Stream: stream, Want: have, Have: want}
			return fmt.Errorf("%w: %w", artifactstore.ErrNotWhole, gap)
		}
	}
	for stream := range g.longest {
		if _, said := end.Records[stream]; !said {
			return fmt.Errorf("%w: nothing was said of stream %s", artifactstore.ErrNotWhole, stream)
		}
	}
	for path := range g.files {
		if _, said := end.Files[path]; !said {
			return fmt.Errorf("%w: nothing was said of file %s", artifactstore.ErrNotWhole, path)
		}
	}
	for _, path := range slices.Sorted(maps.Keys(end.Files)) {
		if !g.files[path][end.Files[path]] {
			return fmt.Errorf("%w: file %s is not here", artifactstore.ErrNotWhole, path)
		}
	}
	return nil
}

// sealStream puts a stream's content into the store of blobs, as a replica has it.
func (n *Node) sealStream(
	ctx context.Context, c artifactstore.Claim, stream string, extent artifactstore.Extent, holder string,
) (artifactstore.StreamInfo, error) {
	var content []byte
	add := func(r artifactstore.Record) error {
		content = artifactstore.AppendRecord(content, r)
		return nil
	}
	next, _, err := n.peers[holder].read(ctx, c.Attempt, stream, 0, false, add)
	if err == nil && next != extent.Next {
		err = fmt.Errorf("%w: stream %s", artifactstore.ErrNotWhole, stream)
	}
	if err != nil {
		return artifactstore.StreamInfo{}, err
	}
	d, err := n.blobs.Put(ctx, c.Tenant, content, blob.UseReserve)
	if err != nil {
		return artifactstore.StreamInfo{}, err
	}
	return artifactstore.StreamInfo{
		Name: stream, Records: extent.Next, Bytes: extent.Bytes, Lost: extent.Lost, Blob: d, Digest: d.String(),
	}, nil
}
