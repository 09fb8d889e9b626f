package artifactreplication

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

// taskState is the merged state of a task over its replicas.
type taskState struct {
	attempts  []mergedAttempt
	result    *artifactstore.Result
	hasQuorum bool // a majority of the replicas answered
}

// mergedAttempt is the merged state of an attempt over several replicas.
type mergedAttempt struct {
	artifactstore.AttemptView
	nextRecord map[string]map[string]uint64 // while the attempt is open: number of the next record, by stream and replica
	voted      bool
}

// taskState merges what the replicas of a task have of it. A value that one replica accepted without knowing a
// decision is resolved first, so that an answer given to a client stays true.
func (n *Node) taskState(ctx context.Context, job string, task int) (_ *taskState, err error) {
	at := artifactstore.Attempt{Job: job, Task: task}
	names := n.opt.Members.ReplicasOf(job, task)
	for try := 0; ; try++ {
		got, failed := n.callReplicas(ctx, names, majority(len(names)), func(ctx context.Context, _ string, r replica) (*peerResponse, error) {
			return r.do(ctx, &peerRequest{Op: "task", Attempt: at, Count: true})
		})
		ts := &taskState{hasQuorum: len(got) >= majority(len(names))}
		if !ts.hasQuorum { // ask all others too, also replicas that are still joining
			more, _ := n.callReplicas(ctx, n.sources(job, task), len(names)+len(n.peers), func(ctx context.Context, _ string, r replica) (*peerResponse, error) {
				return r.do(ctx, &peerRequest{Op: "task", Attempt: at})
			})
			if got = append(got, more...); len(got) == 0 {
				return nil, quorumError(failed)
			}
		}
		unresolved := ts.merge(got)
		if !ts.hasQuorum || try > 2 {
			return ts, nil
		}
		if len(unresolved) == 0 {
			// Between the seal of an attempt and the decision on the task's result, readers must not be told that the
			// attempt is not the result.
			if last := ts.lastCompleted(); ts.result == nil && last != nil {
				if ts.result, err = n.decideResult(ctx, last.Claim, last.Ended); err != nil {
					ts.hasQuorum = false
				}
			}
			return ts, nil
		}
		for _, x := range unresolved {
			x.Job, x.Task = job, task
			if _, err := n.resolve(ctx, x); err != nil {
				ts.hasQuorum = false
				return ts, nil
			}
		}
	}
}

// merge merges the replicas' answers. It returns the registers in which a value was accepted but no replica knows a
// decision; the zero Attempt is the register of the result.
func (ts *taskState) merge(got []reply) (unresolved []artifactstore.Attempt) {
	byNumber := map[uint64]*mergedAttempt{}
	resultVoted := false
	for _, r := range got {
		if r.Task.Result != nil {
			ts.result = r.Task.Result
		}
		resultVoted = resultVoted || r.Task.Voted
		for _, a := range r.Task.Attempts {
			m := byNumber[a.Number]
			if m == nil {
				m = &mergedAttempt{AttemptView: artifactstore.AttemptView{Claim: artifactstore.Claim{Attempt: a.Attempt}, Idle: a.Idle}, nextRecord: map[string]map[string]uint64{}}
				byNumber[a.Number] = m
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
				if m.nextRecord[stream] == nil {
					m.nextRecord[stream] = map[string]uint64{}
				}
				m.nextRecord[stream][r.name] = x.Next
			}
		}
	}
	for _, number := range slices.Sorted(maps.Keys(byNumber)) {
		m := byNumber[number]
		if m.Ended == "" && m.voted {
			unresolved = append(unresolved, m.Attempt)
		}
		ts.attempts = append(ts.attempts, *m)
	}
	if ts.result == nil && resultVoted {
		unresolved = append(unresolved, artifactstore.Attempt{})
	}
	return unresolved
}

// lastCompleted returns the last attempt that was sealed as completed, or nil.
func (ts *taskState) lastCompleted() *mergedAttempt {
	for i := len(ts.attempts) - 1; i >= 0; i-- {
		if m := &ts.attempts[i]; m.Ended != "" && !m.Partial && m.Exit.Completed {
			return m
		}
	}
	return nil
}

func (ts *taskState) find(number uint64) *mergedAttempt {
	for i := range ts.attempts {
		if ts.attempts[i].Number == number {
			return &ts.attempts[i]
		}
	}
	return nil
}

// attemptState returns the state of an attempt, as in artifactstore.Line.
func (ts *taskState) attemptState(m *mergedAttempt) string {
	switch {
	case ts.result != nil && ts.result.Number == m.Number:
		return artifactstore.StateFinal
	case m.Ended != "" && m.Partial:
		return artifactstore.StatePartial
	case !ts.hasQuorum:
		return artifactstore.StateUnsure
	case m.Ended != "":
		return artifactstore.StateSealed
	}
	return artifactstore.StateOpen
}

// Attempts lists a task's attempts, ordered by number. sure reports whether a majority answered, so that the list
// holds every acknowledged attempt.
func (n *Node) Attempts(ctx context.Context, job string, task int) (list []artifactstore.AttemptSummary, sure bool, err error) {
	ts, err := n.taskState(ctx, job, task)
	if err != nil {
		return nil, false, err
	}
	for i := range ts.attempts {
		m := &ts.attempts[i]
		list = append(list, artifactstore.AttemptSummary{Attempt: m.Attempt, Machine: m.Machine, State: ts.attemptState(m), Exit: m.Exit})
	}
	return list, ts.hasQuorum, nil
}

// findAttempt returns an attempt by number; number 0 selects the task's result, or the latest attempt if there is
// none.
func (n *Node) findAttempt(ctx context.Context, job string, task int, number uint64) (*taskState, *mergedAttempt, error) {
	ts, err := n.taskState(ctx, job, task)
	if err != nil {
		return nil, nil, err
	}
	if number == 0 && ts.result != nil {
		number = ts.result.Number
	}
	var m *mergedAttempt
	if number > 0 {
		m = ts.find(number)
	} else if len(ts.attempts) > 0 {
		m = &ts.attempts[len(ts.attempts)-1]
	}
	switch {
	case m != nil:
		return ts, m, nil
	case !ts.hasQuorum:
		return nil, nil, ErrNoQuorum
	}
	return nil, nil, artifactstore.ErrUnknown
}

// Manifest returns the manifest and state of an attempt that has ended; number 0 selects the task's result, or the
// latest attempt if there is none.
func (n *Node) Manifest(ctx context.Context, job string, task int, number uint64) (*artifactstore.Manifest, string, error) {
	ts, m, err := n.findAttempt(ctx, job, task, number)
	if err != nil {
		return nil, "", err
	}
	if m.Ended == "" {
		return nil, "", fmt.Errorf("%w: attempt %d has not ended", artifactstore.ErrUnknown, m.Number)
	}
	man, err := n.readManifest(ctx, m)
	return man, ts.attemptState(m), err
}

func (n *Node) readManifest(ctx context.Context, m *mergedAttempt) (*artifactstore.Manifest, error) {
	d, err := blob.Parse(m.Ended)
	if err != nil {
		return nil, err
	}
	b, err := n.readBlob(ctx, m.Job, m.Task, m.Tenant, d)
	if err != nil {
		return nil, err
	}
	return artifactstore.Verify(n.opt.Key, b)
}

// readBlob reads a blob of a task from any replica that has it and verifies it.
func (n *Node) readBlob(ctx context.Context, job string, task int, tenant string, d blob.Digest) ([]byte, error) {
	r, err := n.openBlob(ctx, n.sources(job, task), tenant, d, 0)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, d.Size+1))
	if err == nil && blob.DigestOf(b) != d {
		err = fmt.Errorf("%w: %s", blob.ErrMismatch, d)
	}
	return b, err
}

// Tasks lists the tasks of a job of which a replica has an attempt. sure reports whether enough replicas answered for
// the list to hold every acknowledged task.
func (n *Node) Tasks(ctx context.Context, job string) (list []int, sure bool, err error) {
	names := slices.Sorted(maps.Keys(n.peers))
	got, failed := n.callReplicas(ctx, names, len(names), func(ctx context.Context, _ string, r replica) (*peerResponse, error) {
		return r.do(ctx, &peerRequest{Op: "tasks", Attempt: artifactstore.Attempt{Job: job}})
	})
	if len(got) == 0 {
		return nil, false, quorumError(failed)
	}
	found := map[int]bool{}
	for _, r := range got {
		for _, t := range r.Tasks {
			found[t] = true
		}
	}
	return slices.Sorted(maps.Keys(found)), len(failed) < n.opt.Members.acknowledgementsNeeded(n.opt.Members.Copies), nil
}
