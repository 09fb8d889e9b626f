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

// view is what all replicas together know of a task.
type view struct {
	attempts []merged
	result   *artifactstore.Result
	sure     bool // a majority answered
}

// merged is an attempt as several replicas have it.
type merged struct {
	artifactstore.View
	next  map[string]map[string]uint64 // of open ones: by stream and replica
	voted bool
}

// task asks a task's replicas what they have. What one of them accepted and nobody knows
// to be decided is resolved first, so that what is told of stays true.
func (n *Node) task(ctx context.Context, job string, task int) (_ *view, err error) {
	at := artifactstore.Attempt{Job: job, Task: task}
	names := n.opt.Members.ReplicasOf(job, task)
	for try := 0; ; try++ {
		got, failed := n.callReplicas(ctx, names, majority(len(names)), func(ctx context.Context, _ string, r replica) (*answer, error) {
			return r.do(ctx, &call{Op: "task", Attempt: at, Count: true})
		})
		v := &view{sure: len(got) >= majority(len(names))}
		if !v.sure { // whoever is left, also one that is still joining
			more, _ := n.callReplicas(ctx, n.sources(job, task), len(names)+len(n.peers), func(ctx context.Context, _ string, r replica) (*answer, error) {
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

// merge puts together what replicas have, and lists the registers that may be decided
// without one of them knowing.
func (v *view) merge(got []reply) (voted []artifactstore.Attempt) {
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
				m = &merged{View: artifactstore.View{Claim: artifactstore.Claim{Attempt: a.Attempt}, Idle: a.Idle}, next: map[string]map[string]uint64{}}
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
		voted = append(voted, artifactstore.Attempt{})
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

// state is what an attempt is, as artifactstore.Line has it.
func (v *view) state(m *merged) string {
	switch {
	case v.result != nil && v.result.Number == m.Number:
		return artifactstore.StateFinal
	case m.Ended != "" && m.Partial:
		return artifactstore.StatePartial
	case !v.sure:
		return artifactstore.StateUnsure
	case m.Ended != "":
		return artifactstore.StateSealed
	}
	return artifactstore.StateGoesOn
}

// Attempts lists a task's attempts in their order. sure says whether enough replicas
// answered for all that was ever acknowledged to be in it.
func (n *Node) Attempts(ctx context.Context, job string, task int) (list []artifactstore.Known, sure bool, err error) {
	v, err := n.task(ctx, job, task)
	if err != nil {
		return nil, false, err
	}
	for i := range v.attempts {
		m := &v.attempts[i]
		list = append(list, artifactstore.Known{Attempt: m.Attempt, Machine: m.Machine, State: v.state(m), Exit: m.Exit})
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
	return nil, nil, artifactstore.ErrUnknown
}

// Manifest gives the manifest of an attempt that has ended, and its state; for number 0
// the final one's, else the latest's.
func (n *Node) Manifest(ctx context.Context, job string, task int, number uint64) (*artifactstore.Manifest, string, error) {
	v, m, err := n.choose(ctx, job, task, number)
	if err != nil {
		return nil, "", err
	}
	if m.Ended == "" {
		return nil, "", fmt.Errorf("%w: attempt %d has not ended", artifactstore.ErrUnknown, m.Number)
	}
	man, err := n.manifest(ctx, m)
	return man, v.state(m), err
}

func (n *Node) manifest(ctx context.Context, m *merged) (*artifactstore.Manifest, error) {
	d, err := blob.Parse(m.Ended)
	if err != nil {
		return nil, err
	}
	b, err := n.readWhole(ctx, m.Job, m.Task, m.Tenant, d)
	if err != nil {
		return nil, err
	}
	return artifactstore.Verify(n.opt.Key, b)
}

// readWhole reads a blob of a task from whoever has it.
func (n *Node) readWhole(ctx context.Context, job string, task int, tenant string, d blob.Digest) ([]byte, error) {
	r, err := n.open(ctx, n.sources(job, task), tenant, d, 0)
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

// Tasks lists the tasks of a job of which something is kept. sure says whether enough
// replicas answered for none that was acknowledged to be missing.
func (n *Node) Tasks(ctx context.Context, job string) (list []int, sure bool, err error) {
	names := slices.Sorted(maps.Keys(n.peers))
	got, failed := n.callReplicas(ctx, names, len(names), func(ctx context.Context, _ string, r replica) (*answer, error) {
		return r.do(ctx, &call{Op: "tasks", Attempt: artifactstore.Attempt{Job: job}})
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
	return slices.Sorted(maps.Keys(found)), len(failed) < n.opt.Members.acknowledgementsNeeded(n.opt.Members.Copies), nil
}
