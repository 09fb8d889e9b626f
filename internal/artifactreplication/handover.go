package artifactreplication

import (
	"context"
	"errors"
	"slices"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
)

// handOver drops the tasks of which this one is no longer a replica, each once all of its replicas have everything that
// this one has of it.
func (n *Node) handOver(ctx context.Context) error {
	tasks := map[artifactstore.Attempt]bool{}
	for _, m := range n.opt.Members.List {
		if m.State != Serving || m.Name == n.opt.Name {
			continue
		}
		if err := n.eachName(m.Name, func(_ string, at artifactstore.Attempt, misplaced bool) {
			if misplaced {
				tasks[artifactstore.Attempt{Job: at.Job, Task: at.Task}] = true
			}
		}); err != nil {
			return err
		}
	}
	remaining := len(tasks)
	defer func() {
		n.mu.Lock()
		n.repair.misplaced = remaining
		n.mu.Unlock()
	}()
	for at := range tasks {
		ours, err := n.store.Task(at.Job, at.Task)
		if err != nil {
			return err
		}
		names := n.opt.Members.ReplicasOf(at.Job, at.Task)
		got, _ := n.callReplicas(ctx, names, len(names), func(ctx context.Context, _ string, r replica) (*peerResponse, error) {
			return r.do(ctx, &peerRequest{Op: "task", Attempt: at, Count: true})
		})
		complete := len(got) == len(names)
		for _, r := range got {
			complete = complete && hasAllOf(r.Task, ours)
		}
		if !complete {
			continue // the task's replicas copy what they lack by their own repair
		}
		for _, v := range ours.Attempts {
			if v.Ended == "" {
				err = n.store.Abandon(ctx, v.Attempt)
			} else {
				err = n.store.Forget(ctx, v.Attempt)
			}
			if err != nil {
				return err
			}
		}
		if err := n.store.Forget(ctx, at); err != nil {
			return err
		}
		remaining--
	}
	return nil
}

// hasAllOf reports whether theirs, the view of another replica, holds everything of a task that ours holds.
func hasAllOf(theirs, ours *artifactstore.TaskView) bool {
	if ours.Result != nil && (theirs.Result == nil || *theirs.Result != *ours.Result) {
		return false
	}
	for _, v := range ours.Attempts {
		i := slices.IndexFunc(theirs.Attempts, func(t artifactstore.AttemptView) bool { return t.Number == v.Number })
		if i < 0 {
			return false
		}
		t := theirs.Attempts[i]
		if t.Ended != "" {
			continue
		}
		if v.Ended != "" {
			return false
		}
		for stream, x := range v.Streams {
			if t.Streams[stream].Next < x.Next {
				return false
			}
		}
		for path := range v.Files {
			if t.Files[path] == "" {
				return false
			}
		}
	}
	return true
}

// finishDecisions completes decisions that another node left unfinished: ends and results that this replica accepted,
// and completed attempts for which it is not known whether they are the task's result.
func (n *Node) finishDecisions(ctx context.Context) error {
	var errs []error
	for _, at := range n.undecidedForARound() {
		_, err := n.resolve(ctx, at)
		errs = append(errs, err)
	}
	for _, at := range n.store.Unsettled() {
		m, err := n.store.EndManifest(at)
		if err == nil && n.opt.Members.IsReplica(n.opt.Name, at.Job, at.Task) {
			_, err = n.decideResult(ctx, m.Claim, blob.DigestOf(protocol.Encode(m)).String())
		}
		if err == nil {
			err = n.store.MarkSettled(ctx, at)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// undecidedForARound returns the registers with a value accepted here that was not known to be decided at the last call
// either: its proposer may have failed.
func (n *Node) undecidedForARound() (overdue []artifactstore.Attempt) {
	votes := n.store.Votes()
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := map[artifactstore.Attempt]bool{}
	for at, v := range votes {
		if v.Value == nil {
			continue
		}
		if seen[at] = true; n.repair.undecided[at] {
			overdue = append(overdue, at)
		}
	}
	n.repair.undecided = seen
	return overdue
}
