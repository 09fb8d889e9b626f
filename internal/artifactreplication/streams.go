package artifactreplication

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/wait"
)

// Begin opens an attempt for a machine and session. Repeating it with the same claim has no effect.
func (n *Node) Begin(ctx context.Context, c artifactstore.Claim) error {
	_, err := n.writeToQuorum(ctx, c.Attempt, func(ctx context.Context, _ string, r replica) (*peerResponse, error) {
		return r.do(ctx, &peerRequest{Op: "begin", Claim: c})
	})
	return err
}

// Append adds records to a stream; first is the number of the first of them. next is the number of the next record
// expected; all records before it are durable on enough replicas.
func (n *Node) Append(ctx context.Context, c artifactstore.Claim, stream string, first uint64, records []artifactstore.Record) (next uint64, err error) {
	begun := n.opt.Now()
	got, err := n.writeToQuorum(ctx, c.Attempt, func(ctx context.Context, name string, r replica) (*peerResponse, error) {
		a, err := r.do(ctx, &peerRequest{Op: "append", Claim: c, Stream: stream, First: first, Records: records})
		var gap *artifactstore.GapError
		if errors.As(err, &gap) && n.fillGap(ctx, c, stream, gap.Expected, first, name, r) {
			a, err = r.do(ctx, &peerRequest{Op: "append", Claim: c, Stream: stream, First: first, Records: records})
		}
		return a, err
	})
	if err != nil {
		var gap *artifactstore.GapError
		if errors.As(err, &gap) {
			next = gap.Expected
		}
		return next, err
	}
	n.metrics.appended(records, n.opt.Now().Sub(begun))
	nexts := make([]uint64, 0, len(got))
	for _, r := range got {
		nexts = append(nexts, r.Next)
	}
	return slices.Min(nexts), nil
}

// fillGap copies the records of a stream that the replica r, called name, has missed, numbers from to to-1, to it from
// the task's other replicas. It reports whether r now has all of them.
func (n *Node) fillGap(ctx context.Context, c artifactstore.Claim, stream string, from, to uint64, name string, r replica) bool {
	for _, other := range n.opt.Members.ReplicasOf(c.Job, c.Task) {
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

// Maximum size of a batch of records copied between replicas in one call.
const (
	maxBatchRecords = 500
	maxBatchBytes   = 1 << 20
)

// copyRecords copies records of a stream from one replica to another, up to number to, or all if to is 0. It returns
// the number of the next record.
func (n *Node) copyRecords(ctx context.Context, c artifactstore.Claim, stream string, from, to uint64, src, dst replica) (uint64, error) {
	var batch []artifactstore.Record
	size := 0
	send := func() error {
		if len(batch) == 0 {
			return nil
		}
		_, err := dst.do(ctx, &peerRequest{Op: "append", Claim: c, Stream: stream, First: from, Records: batch})
		if err == nil {
			from += uint64(len(batch))
			batch, size = nil, 0
		}
		return err
	}
	_, _, err := src.read(ctx, c.Attempt, stream, from, false, func(rec artifactstore.Record) error {
		if to > 0 && from+uint64(len(batch)) >= to {
			return nil
		}
		batch = append(batch, rec)
		if size += len(rec.Data); len(batch) < maxBatchRecords && size < maxBatchBytes {
			return nil
		}
		return send()
	})
	return from, errors.Join(err, send())
}

// Attach adds a file whose content one of the replicas holds for the same tenant. If the path is attached already,
// its content is replaced.
func (n *Node) Attach(ctx context.Context, c artifactstore.Claim, path string, d blob.Digest) error {
	_, err := n.writeToQuorum(ctx, c.Attempt, func(ctx context.Context, name string, r replica) (*peerResponse, error) {
		attach := &peerRequest{Op: "attach", Claim: c, Path: path, Digest: d.String()}
		a, err := r.do(ctx, attach)
		if !errors.Is(err, blob.ErrNotFound) && !errors.Is(err, blob.ErrTenant) {
			return a, err
		}
		content, oerr := n.openBlob(ctx, n.sources(c.Job, c.Task), c.Tenant, d, 0)
		if oerr != nil {
			return nil, oerr
		}
		defer content.Close()
		if err := r.put(ctx, c.Tenant, d, content); err != nil {
			return nil, err
		}
		return r.do(ctx, attach)
	})
	return err
}

// followTurn is how long a follower reads from one replica before it checks whether another has more records.
const followTurn = 5 * time.Second

// Read calls each for the records of a stream, beginning with number from, and returns the number of the next record
// and the attempt's state. If follow is set, it waits for more records until the attempt or the context ends. If a
// replica fails, it continues with another.
func (n *Node) Read(ctx context.Context, at artifactstore.Attempt, stream string, from uint64, follow bool, each func(uint64, artifactstore.Record) error) (next uint64, state string, err error) {
	next = from
	var eachErr error // error returned by each
	deliver := func(r artifactstore.Record) error {
		if eachErr = each(next, r); eachErr == nil {
			next++
		}
		return eachErr
	}
	failures := 0
	for {
		ts, m, err := n.findAttempt(ctx, at.Job, at.Task, at.Number)
		if err != nil {
			return next, "", err
		}
		state = ts.attemptState(m)
		names := n.sources(at.Job, at.Task)
		rank := func(name string) uint64 { return m.nextRecord[stream][name] }
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
		needed := uint64(0) // number of records that the reader must receive
		if m.Ended != "" {
			man, err := n.readManifest(ctx, m)
			if err != nil {
				return next, "", err
			}
			for _, s := range man.Streams {
				if s.Name == stream {
					needed = s.Records
				}
			}
		} else if len(names) > 0 {
			needed = rank(names[0])
		}
		following := follow && m.Ended == ""
		var readErr error
		for _, name := range names {
			p := n.peers[name]
			if p == nil || (next >= needed && !following) {
				continue
			}
			turn, cancel := ctx, context.CancelFunc(func() {})
			if following {
				turn, cancel = context.WithTimeout(ctx, followTurn)
			}
			_, _, readErr = p.read(turn, m.Attempt, stream, next, following, deliver)
			turnOver := turn.Err() != nil
			cancel()
			if eachErr != nil {
				return next, "", eachErr
			}
			if turnOver || (readErr == nil && (following || next >= needed)) {
				readErr = nil
				break
			}
		}
		switch {
		case ctx.Err() != nil:
			return next, state, nil
		case readErr == nil && !following && next >= needed:
			return next, state, nil
		case readErr == nil && !following:
			readErr = fmt.Errorf("%w: only %d of %d records could be read", artifactstore.ErrIncomplete, next, needed)
		}
		if readErr != nil {
			if failures++; failures > 3 {
				return next, "", readErr
			}
			wait.For(ctx, rand.N(100*time.Millisecond<<failures)) // the next iteration checks the context
		}
	}
}
