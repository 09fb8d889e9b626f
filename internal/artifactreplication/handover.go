package artifactreplication

import (
	"context"
	"errors"
	"slices"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
)

// handOver lets go of what does not belong here once all of its replicas have it.
func (n *Node) handOver(ctx context.Context) error {
	tasks := map[artifactstore.Attempt]bool{}
	for _, m := range n.opt.Members.List {
		if m.State != Serving || m.Name == n.opt.Name {
			continue
		}
		if err := n.eachName(m.Name, func(_ string, at artifactstore.Attempt, stray bool) {
			if stray {
				tasks[artifactstore.Attempt{Job: at.Job, Task: at.Task}] = true
			}
		}); err != nil {
			return err
		}
	}
	left := len(tasks)
	defer func() {
		n.mu.Lock()
		n.repair.strays = left
		n.mu.Unlock()
	}()
	for at := range tasks {
		mine, err := n.store.Task(at.Job, at.Task)
		if err != nil {
			return err
		}
		names := n.opt.Members.ReplicasOf(at.Job, at.Task)
		got, _ := n.callReplicas(ctx, names, len(names), func(ctx context.Context, _ string, r replica) (*answer, error) {
			return r.do(ctx, &call{Op: "task", Attempt: at, Count: true})
		})
		whole := len(got) == len(names)
		for _, r := range got {
			whole = whole && covers(r.Task, mine)
		}
		if !whole {
			continue // they bring it themselves
		}
		for _, v := range mine.Attempts {
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
		left--
	}
	return nil
}

// covers says whether a replica has all that another has of a task.
func covers(theirs, mine *artifactstore.TaskView) bool {
	if mine.Result != nil && (theirs.Result == nil || *theirs.Result != *mine.Result) {
		return false
	}
	for _, v := range mine.Attempts {
		i := slices.IndexFunc(theirs.Attempts, func(t artifactstore.View) bool { return t.Number == v.Number })
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

// finishDecisions finishes what somebody left half decided: ends and results that were
// accepted here, and completed attempts of which nobody said whether they are the
// result.
func (n *Node) finishDecisions(ctx context.Context) error {
	var errs []error
	seen := map[artifactstore.Attempt]bool{}
	for at, v := range n.store.Votes() {
		if v.Value == nil {
			continue
		}
		if seen[at] = true; n.repair.voted[at] { // since the last round
			_, err := n.resolve(ctx, at)
			errs = append(errs, err)
		}
	}
	n.repair.voted = seen
	for _, at := range n.store.Unsettled() {
		m, err := n.store.Ended(at)
		if err == nil && n.opt.Members.IsReplica(n.opt.Name, at.Job, at.Task) {
			_, err = n.settle(ctx, m.Claim, blob.DigestOf(protocol.Encode(m)).String())
		}
		if err == nil {
			err = n.store.Settled(ctx, at)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
