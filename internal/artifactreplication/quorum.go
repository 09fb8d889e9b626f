package artifactreplication

import (
	"context"
	"errors"
	"fmt"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

// maxCallsPerPeer is the maximum number of calls in progress from one replica to another. Further calls fail with
// errBusy; if too few replicas are left for a quorum, the client gets a response with Retry-After.
const maxCallsPerPeer = 4096

// reply is one replica's response to a call, or its error.
type reply struct {
	name string
	*peerResponse
	err error
}

// callReplicas calls several replicas concurrently and returns as soon as need of them have succeeded, all have
// answered, or the context has ended. Calls that are still in progress then continue in the background. A replica with
// too many of them is skipped and catches up by repair.
func (n *Node) callReplicas(ctx context.Context, names []string, need int, do func(ctx context.Context, name string, r replica) (*peerResponse, error)) (got []reply, failed []reply) {
	replies := make(chan reply, len(names))
	background := context.WithoutCancel(ctx)
	for _, name := range names {
		p := n.peers[name]
		if p == nil {
			replies <- reply{name: name, err: ErrNoQuorum}
			continue
		}
		select {
		case n.inFlight[name] <- struct{}{}:
		default:
			replies <- reply{name: name, err: errBusy}
			continue
		}
		go func() {
			defer func() { <-n.inFlight[name] }()
			ctx, cancel := context.WithTimeout(background, n.opt.PeerTimeout)
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

// quorumError returns the most specific error among the failed calls.
func quorumError(failed []reply) error {
	var errs []error
	for _, f := range failed {
		errs = append(errs, f.err)
	}
	for _, e := range []error{artifactstore.ErrSealed, artifactstore.ErrClaim, artifactstore.ErrFrozen, artifactstore.ErrLimit, artifactstore.ErrName, artifactstore.ErrUnknown, blob.ErrNotFound, blob.ErrTenant} {
		for _, err := range errs {
			if errors.Is(err, e) {
				return err
			}
		}
	}
	for _, err := range errs {
		var gap *artifactstore.GapError
		var full *blob.FullError
		if errors.As(err, &gap) || errors.As(err, &full) {
			return err
		}
	}
	return fmt.Errorf("%w: %w", ErrNoQuorum, errors.Join(errs...))
}

// writeToQuorum sends a write to all replicas of a task and returns once as many as needed have acknowledged it. If the
// attempt is frozen, it first completes or undoes the end that another node has begun.
func (n *Node) writeToQuorum(ctx context.Context, at artifactstore.Attempt, do func(ctx context.Context, name string, r replica) (*peerResponse, error)) ([]reply, error) {
	names := n.opt.Members.ReplicasOf(at.Job, at.Task)
	need := n.opt.Members.acknowledgementsNeeded(len(names))
	for try := 0; ; try++ {
		got, failed := n.callReplicas(ctx, names, need, do)
		if len(got) >= need {
			return got, nil
		}
		err := quorumError(failed)
		if !errors.Is(err, artifactstore.ErrFrozen) || try > 2 {
			return nil, err
		}
		if _, rerr := n.resolve(ctx, at); rerr != nil {
			return nil, errors.Join(err, rerr)
		}
	}
}
