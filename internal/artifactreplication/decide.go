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

// Seal ends an attempt with the manifest of its output. It fails with ErrIncomplete if the replicas don't hold
// exactly the output that the agent reports. Sealing again returns the same manifest. On success the manifest is
// decided and durable, and final reports whether the attempt is the task's result: the first one sealed as completed,
// unless a later attempt had begun by then.
func (n *Node) Seal(ctx context.Context, c artifactstore.Claim, end artifactstore.End) (m *artifactstore.Manifest, final bool, err error) {
	value, err := n.decide(ctx, c.Attempt, true, func(promises []reply) ([]byte, error) {
		return n.buildManifest(ctx, c, &end, promises)
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
		r, err = n.decideResult(ctx, c, blob.DigestOf(value).String())
		final = r != nil && r.Number == c.Number
	}
	return m, final, err
}

// errLaterAttempt reports that a later attempt of the task has begun.
var errLaterAttempt = errors.New("artifactreplication: a later attempt has begun")

// decideResult makes an attempt that was sealed as completed the task's result, if there is none and no later attempt
// has begun. It returns the task's result. It returns nil if there is none; the attempt can't become the result any
// more in that case.
func (n *Node) decideResult(ctx context.Context, c artifactstore.Claim, manifest string) (*artifactstore.Result, error) {
	proposal := protocol.Encode(&artifactstore.Result{Tenant: c.Tenant, Number: c.Number, Manifest: manifest})
	value, err := n.decide(ctx, artifactstore.Attempt{Job: c.Job, Task: c.Task}, false, func(promises []reply) ([]byte, error) {
		for _, p := range promises {
			if p.Promise.Latest > c.Number {
				return nil, errLaterAttempt
			}
		}
		return proposal, nil
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

// errNothingDecided reports that a register has no value.
var errNothingDecided = errors.New("artifactreplication: no value is decided")

// resolve completes a decision that another node may have left unfinished. If no value can have been decided, it
// returns nil, and its ballot lifts the freeze of an attempt that was about to end.
func (n *Node) resolve(ctx context.Context, at artifactstore.Attempt) (value []byte, err error) {
	value, err = n.decide(ctx, at, false, func([]reply) ([]byte, error) { return nil, errNothingDecided })
	if errors.Is(err, errNothingDecided) {
		return nil, nil
	}
	return value, err
}

// decide returns the value of a register and decides one if there is none yet. It calls propose for a value only if
// no majority can have accepted another one.
func (n *Node) decide(
	ctx context.Context, at artifactstore.Attempt, freeze bool, propose func(promises []reply) ([]byte, error),
) ([]byte, error) {
	d := &decision{node: n, at: at, freeze: freeze, names: n.opt.Members.ReplicasOf(at.Job, at.Task)}
	d.need = majority(len(d.names))
	for try := range maxBallots {
		if try > 0 && !wait.For(ctx, rand.N(ballotBackoff<<try)) { // another node is deciding the same register
			return nil, ctx.Err()
		}
		value, err := d.tryBallot(ctx, propose)
		if !errors.Is(err, errHigherBallot) {
			return value, err
		}
	}
	return nil, fmt.Errorf("%w: other nodes had a higher ballot in all %d tries", errBusy, maxBallots)
}

const (
	maxBallots    = 8                     // ballots tried for one decision
	ballotBackoff = 10 * time.Millisecond // upper bound of the random pause, doubled with each ballot
)

// decision holds what one node needs to decide a register.
type decision struct {
	node   *Node
	at     artifactstore.Attempt
	freeze bool
	names  []string // of the register's replicas
	need   int      // size of a majority of them
}

// tryBallot runs one ballot. It returns errHigherBallot if a replica has promised a higher ballot.
func (d *decision) tryBallot(ctx context.Context, propose func(promises []reply) ([]byte, error)) ([]byte, error) {
	n := d.node
	b := artifactstore.Ballot{Round: n.round.Add(1), By: n.ballotID}
	promises, failed := d.prepare(ctx, b)
	if decided := d.knownDecision(ctx, promises); decided != nil {
		return decided, nil
	}
	if len(promises) < d.need {
		return nil, d.failureCause(failed)
	}
	value := highestAccepted(promises)
	if value == nil {
		var err error
		if value, err = propose(promises); err != nil {
			if d.freeze { // lift the freeze, so that the agent can write to the attempt again
				_, _ = n.resolve(ctx, d.at) // if this fails, the next write to the attempt resolves it
			}
			return nil, err
		}
	}
	accepted, failed := d.accept(ctx, b, value)
	for _, r := range accepted {
		if r.Promise.Decided != nil {
			d.announce(ctx, r.Promise.Decided)
			return r.Promise.Decided, nil
		}
	}
	if len(accepted) < d.need {
		return nil, d.failureCause(failed)
	}
	d.announce(ctx, value)
	return value, nil
}

// failureCause returns errHigherBallot if a higher ballot was promised, else why too few replicas answered.
func (d *decision) failureCause(failed []reply) error {
	if sawHigherBallot(failed) {
		return errHigherBallot
	}
	return quorumError(failed)
}

// prepare requests a promise for a ballot from the replicas.
func (d *decision) prepare(ctx context.Context, b artifactstore.Ballot) (promises, failed []reply) {
	n := d.node
	return n.callReplicas(ctx, d.names, d.need, func(ctx context.Context, _ string, r replica) (*peerResponse, error) {
		a, err := r.do(ctx, &peerRequest{Op: "prepare", Attempt: d.at, Ballot: b, Freeze: d.freeze, Count: true})
		if err == nil && a.Promise.Decided == nil && a.Promise.Promised != b {
			n.advanceRound(a.Promise.Promised.Round)
			return nil, errHigherBallot
		}
		return a, err
	})
}

// accept requests the replicas to accept a value in a ballot.
func (d *decision) accept(ctx context.Context, b artifactstore.Ballot, value []byte) (accepted, failed []reply) {
	n := d.node
	return n.callReplicas(ctx, d.names, d.need, func(ctx context.Context, _ string, r replica) (*peerResponse, error) {
		a, err := r.do(ctx, &peerRequest{Op: "accept", Attempt: d.at, Ballot: b, Value: value, Count: true, From: n.opt.Name})
		if err == nil && a.Promise.Decided == nil && a.Promise.Accepted != b {
			n.advanceRound(a.Promise.Promised.Round)
			return nil, errHigherBallot
		}
		return a, err
	})
}

// announce sends a decision to the replicas. Failures are ignored: the value is decided already, and a replica that
// misses it gets it by repair or in the next ballot.
func (d *decision) announce(ctx context.Context, value []byte) {
	n := d.node
	n.callReplicas(ctx, d.names, d.need, func(ctx context.Context, _ string, r replica) (*peerResponse, error) {
		return r.do(ctx, &peerRequest{Op: "learn", Attempt: d.at, Value: value, From: n.opt.Name})
	})
}

// knownDecision returns the value that one of the replicas knows to be decided, or nil, and sends it to the replicas
// that don't know it.
func (d *decision) knownDecision(ctx context.Context, promises []reply) []byte {
	knows := func(r reply) bool { return r.Promise.Decided != nil }
	i := slices.IndexFunc(promises, knows)
	if i < 0 {
		return nil
	}
	decided := promises[i].Promise.Decided
	if slices.ContainsFunc(promises, func(r reply) bool { return !knows(r) }) {
		d.announce(ctx, decided)
	}
	return decided
}

// highestAccepted returns the value accepted in the highest ballot among the promises, or nil. That value may have
// been decided, so it must be proposed again.
func highestAccepted(promises []reply) []byte {
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

var errHigherBallot = errors.New("artifactreplication: a higher ballot was promised")

func sawHigherBallot(failed []reply) bool {
	return slices.ContainsFunc(failed, func(r reply) bool { return errors.Is(r.err, errHigherBallot) })
}

// advanceRound raises the round, so that the next ballot is higher than one that was seen.
func (n *Node) advanceRound(round uint64) {
	for {
		old := n.round.Load()
		if old >= round || n.round.CompareAndSwap(old, round) {
			return
		}
	}
}

// buildManifest builds the manifest of an attempt from the views of a majority of its replicas, and stores the
// content of its streams as blobs. end is the agent's report; nil ends the attempt as partial.
func (n *Node) buildManifest(
	ctx context.Context, c artifactstore.Claim, end *artifactstore.End, promises []reply,
) ([]byte, error) {
	g, err := mergeViews(c, promises)
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
		if err := g.checkComplete(end); err != nil {
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

// mergedViews combines the replicas' views of an attempt.
type mergedViews struct {
	longest map[string]artifactstore.Extent // longest extent by stream
	holder  map[string]string               // replica that has the longest extent, by stream
	files   map[string]map[string]bool      // digests reported, by path
}

// mergeViews merges the views in the replicas' promises.
func mergeViews(c artifactstore.Claim, promises []reply) (*mergedViews, error) {
	g := &mergedViews{
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
			if old, found := g.longest[name]; !found || x.Next > old.Next {
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

// partialFiles lists the files of an attempt that ends without a seal. If replicas have different contents for a
// path, the lowest digest is chosen, so that the choice is deterministic.
func (g *mergedViews) partialFiles() []artifactstore.FileInfo {
	files := []artifactstore.FileInfo{}
	for _, path := range slices.Sorted(maps.Keys(g.files)) {
		digest := slices.Min(slices.Collect(maps.Keys(g.files[path])))
		files = append(files, artifactstore.FileInfo{Path: path, Digest: digest})
	}
	return files
}

// checkComplete returns ErrIncomplete unless the replicas hold exactly the output that the agent reported.
func (g *mergedViews) checkComplete(end *artifactstore.End) error {
	for stream, want := range end.Records {
		if have := g.longest[stream].Next; have != want {
			gap := &artifactstore.GapError{Stream: stream, Expected: have, Received: want}
			return fmt.Errorf("%w: %w", artifactstore.ErrIncomplete, gap)
		}
	}
	for stream := range g.longest {
		if _, reported := end.Records[stream]; !reported {
			return fmt.Errorf("%w: the seal does not list stream %s", artifactstore.ErrIncomplete, stream)
		}
	}
	for path := range g.files {
		if _, reported := end.Files[path]; !reported {
			return fmt.Errorf("%w: the seal does not list file %s", artifactstore.ErrIncomplete, path)
		}
	}
	for _, path := range slices.Sorted(maps.Keys(end.Files)) {
		if !g.files[path][end.Files[path]] {
			return fmt.Errorf("%w: file %s is missing", artifactstore.ErrIncomplete, path)
		}
	}
	return nil
}

// sealStream reads a stream from the replica that reported its longest extent and stores its content as a blob.
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
		err = fmt.Errorf("%w: replica %s has %d of %d records of stream %s", artifactstore.ErrIncomplete, holder, next, extent.Next, stream)
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
