package artifactreplication

import (
	"context"
	"errors"
	"fmt"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

// maxCalls bounds the calls that one replica has open to another. Beyond it that one
// counts as failed for the call; if enough do, the caller is told to come back.
const maxCallsPerPeer = 4096

// reply is one replica's.
type reply struct {
	name string
	*peerResponse
	err error
}

// callReplicas puts a call to some replicas at once and gives the answers as soon as so many are
// there, or all have answered. What is still on its way then is seen through behind
// the caller's back; a replica that lets too much of that pile up is left to repair.
func (n *Node) callReplicas(ctx context.Context, names []string, need int, do func(ctx context.Context, name string, r replica) (*peerResponse, error)) (got []reply, failed []reply) {
	replies := make(chan reply, len(names))
	late := context.WithoutCancel(ctx)
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
			ctx, cancel := context.WithTimeout(late, n.opt.PeerTimeout)
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

// reason is the error that says most about why too few replicas did something.
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

// writeToQuorum has a call carried out by as many of a task's replicas as must have it. An end
// that somebody began and left open is seen through or undone first.
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
