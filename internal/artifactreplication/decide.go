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
		r, err = n.settle(ctx, c, blob.Of(value).String())
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
func (n *Node) decide(ctx context.Context, at artifactstore.Attempt, freeze bool, propose func(promises []reply) ([]byte, error)) ([]byte, error) {
	names := n.opt.Members.ReplicasOf(at.Job, at.Task)
	need := majority(len(names))
	learn := func(value []byte) {
		// The value is decided whether they learn of it now or later.
		n.callReplicas(ctx, names, need, func(ctx context.Context, _ string, r replica) (*answer, error) {
			return r.do(ctx, &call{Op: "learn", Attempt: at, Value: value, From: n.opt.Name})
		})
	}
	for try := 0; try < 8; try++ {
		if try > 0 { // somebody else is at it
			if !wait.For(ctx, rand.N(10*time.Millisecond<<try)) {
				return nil, ctx.Err()
			}
		}
		b := artifactstore.Ballot{Round: n.round.Add(1), By: n.start}
		got, failed := n.callReplicas(ctx, names, need, func(ctx context.Context, _ string, r replica) (*answer, error) {
			a, err := r.do(ctx, &call{Op: "prepare", Attempt: at, Ballot: b, Freeze: freeze, Count: true})
			if err == nil && a.Promise.Decided == nil && a.Promise.Promised != b {
				n.advanceRound(a.Promise.Promised.Round)
				return nil, errOutvoted
			}
			return a, err
		})
		var best *artifactstore.Promise
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
		got, failed = n.callReplicas(ctx, names, need, func(ctx context.Context, _ string, r replica) (*answer, error) {
			a, err := r.do(ctx, &call{Op: "accept", Attempt: at, Ballot: b, Value: value, Count: true, From: n.opt.Name})
			if err == nil && a.Promise.Decided == nil && a.Promise.Accepted != b {
				n.advanceRound(a.Promise.Promised.Round)
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
func (n *Node) gather(ctx context.Context, c artifactstore.Claim, end *artifactstore.End, promises []reply) ([]byte, error) {
	most := map[string]artifactstore.Extent{}
	at := map[string]string{} // replica that has so much of a stream
	files := map[string]map[string]bool{}
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
		return nil, artifactstore.ErrUnknown
	}
	m := &artifactstore.Manifest{Claim: c, Sealed: n.opt.Now().UTC(), Streams: []artifactstore.StreamInfo{}, Files: []artifactstore.FileInfo{}}
	if end == nil {
		m.Partial, m.Exit = true, artifactstore.Exit{Reason: "never sealed"}
		for _, path := range slices.Sorted(maps.Keys(files)) {
			m.Files = append(m.Files, artifactstore.FileInfo{Path: path, Digest: slices.Min(slices.Collect(maps.Keys(files[path])))})
		}
	} else {
		m.Exit = end.Exit
		for stream, want := range end.Records {
			if have := most[stream].Next; have != want {
				return nil, fmt.Errorf("%w: %w", artifactstore.ErrNotWhole, &artifactstore.GapError{Stream: stream, Want: have, Have: want})
			}
		}
		for stream := range most {
			if _, said := end.Records[stream]; !said {
				return nil, fmt.Errorf("%w: nothing was said of stream %s", artifactstore.ErrNotWhole, stream)
			}
		}
		for path := range files {
			if _, said := end.Files[path]; !said {
				return nil, fmt.Errorf("%w: nothing was said of file %s", artifactstore.ErrNotWhole, path)
			}
		}
		for _, path := range slices.Sorted(maps.Keys(end.Files)) {
			if !files[path][end.Files[path]] {
				return nil, fmt.Errorf("%w: file %s is not here", artifactstore.ErrNotWhole, path)
			}
			m.Files = append(m.Files, artifactstore.FileInfo{Path: path, Digest: end.Files[path]})
		}
	}
	for _, stream := range slices.Sorted(maps.Keys(most)) {
		var content []byte
		x := most[stream]
		next, _, err := n.peers[at[stream]].read(ctx, c.Attempt, stream, 0, false, func(r artifactstore.Record) error {
			content = artifactstore.AppendRecord(content, r)
			return nil
		})
		if err == nil && next != x.Next {
			err = fmt.Errorf("%w: stream %s", artifactstore.ErrNotWhole, stream)
		}
		if err != nil {
			return nil, err
		}
		d, err := n.blobs.Put(ctx, c.Tenant, content, blob.Urgent)
		if err != nil {
			return nil, err
		}
		m.Streams = append(m.Streams, artifactstore.StreamInfo{Name: stream, Records: x.Next, Bytes: x.Bytes, Lost: x.Lost, Blob: d, Digest: d.String()})
	}
	return m.Sign(n.opt.Key), nil
}
