package artifactstore

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Extent is the length of a stream as far as a store has it.
type Extent struct {
	Next  uint64 `json:"next"` // number of the next record
	Bytes int64  `json:"bytes"`
	Lost  int64  `json:"lost,omitempty"` // bytes of dropped output
}

// AttemptView is what one store has of an attempt.
type AttemptView struct {
	Claim
	Ended   string            `json:"ended,omitempty"` // digest of its manifest; empty while the attempt is open
	Partial bool              `json:"partial,omitempty"`
	Exit    *Exit             `json:"exit,omitempty"`
	Voted   bool              `json:"voted,omitempty"` // this store accepted a value for its end, which may be decided
	Idle    float64           `json:"idle,omitempty"`  // seconds since the last write to it
	Streams map[string]Extent `json:"streams,omitempty"`
	Files   map[string]string `json:"files,omitempty"` // digests by path
}

// TaskView is what one store has of a task.
type TaskView struct {
	Attempts []AttemptView `json:"attempts"`
	Result   *Result       `json:"result,omitempty"`
	Voted    bool          `json:"voted,omitempty"` // this store accepted a result, which may be decided
}

// viewOf returns the view of an open attempt. The caller holds st.mu.
func (st *Store) viewOf(at Attempt, a *openAttempt) *AttemptView {
	v := &AttemptView{Claim: a.claim, Idle: st.opt.Now().Sub(a.lastWrite).Seconds(), Streams: map[string]Extent{}, Files: map[string]string{}}
	v.Voted = st.votes[at] != nil && st.votes[at].Value != nil
	for name, s := range a.streams {
		v.Streams[name] = Extent{s.next, s.bytes, s.lost}
	}
	for path, d := range a.files {
		v.Files[path] = d.String()
	}
	return v
}

// Task returns what this store has of a task, its attempts ordered by number.
func (st *Store) Task(job string, task int) (*TaskView, error) {
	at := Attempt{Job: job, Task: task}
	t := &TaskView{}
	st.mu.Lock()
	open := map[uint64]*AttemptView{}
	for x, a := range st.open {
		if x.Job == job && x.Task == task {
			open[x.Number] = st.viewOf(x, a)
		}
	}
	for x, v := range st.votes { // an end may have been accepted for an attempt that this store does not have
		if x.Job == job && x.Task == task && x.Number > 0 && open[x.Number] == nil && v.Value != nil {
			open[x.Number] = &AttemptView{Claim: Claim{Attempt: x}, Voted: true}
		}
	}
	t.Voted = st.votes[at] != nil && st.votes[at].Value != nil
	st.mu.Unlock()
	for _, kind := range []string{"sealed/", "partial/"} {
		names, err := st.opt.Blobs.Refs(kind+at.task(), "", 100_000)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			x, err := ParseName(name)
			if err != nil {
				return nil, err
			}
			tenant, digests, ok := st.opt.Blobs.Ref(name)
			if !ok {
				continue
			}
			m, err := st.readManifest(tenant, digests[0])
			if err != nil {
				return nil, err
			}
			delete(open, x.Number)
			t.Attempts = append(t.Attempts, AttemptView{Claim: m.Claim, Ended: digests[0].String(), Partial: m.Partial, Exit: &m.Exit})
		}
	}
	for _, v := range open {
		t.Attempts = append(t.Attempts, *v)
	}
	slices.SortFunc(t.Attempts, func(a, b AttemptView) int { return cmp.Compare(a.Number, b.Number) })
	value, there, err := st.decidedValue(at)
	if err != nil || !there {
		return t, err
	}
	t.Result = &Result{}
	return t, json.Unmarshal(value, t.Result)
}

// OpenAttempts lists the attempts that are open in this store.
func (st *Store) OpenAttempts() []AttemptView {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := make([]AttemptView, 0, len(st.open))
	for at, a := range st.open {
		list = append(list, *st.viewOf(at, a))
	}
	return list
}

// RefNames lists up to limit names of references of ended attempts and results, in order, beginning after the given
// name.
func (st *Store) RefNames(after string, limit int) ([]string, error) {
	var list []string
	for _, kind := range []string{"final/", "partial/", "sealed/"} { // sorted
		names, err := st.opt.Blobs.Refs(kind, after, limit-len(list))
		if list = append(list, names...); err != nil || len(list) >= limit {
			return list, err
		}
	}
	return list, nil
}

// Tasks lists the tasks of a job of which this store has an attempt.
func (st *Store) Tasks(job string) ([]int, error) {
	found := map[int]bool{}
	for _, kind := range []string{"partial/", "sealed/"} {
		for after := ""; ; {
			names, err := st.opt.Blobs.Refs(kind+job+"/", after, 1000)
			if err != nil {
				return nil, err
			}
			for _, name := range names {
				at, err := ParseName(name)
				if err != nil {
					return nil, err
				}
				found[at.Task] = true
			}
			if len(names) < 1000 {
				break
			}
			after = names[len(names)-1]
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for at := range st.open {
		if at.Job == job {
			found[at.Task] = true
		}
	}
	list := make([]int, 0, len(found))
	for n := range found {
		list = append(list, n)
	}
	slices.Sort(list)
	return list, nil
}

// ParseName parses a reference name as listed by RefNames. The name of a result gives an Attempt with Number 0.
func ParseName(name string) (Attempt, error) {
	parts := strings.Split(name, "/")
	var at Attempt
	if len(parts) != 4 {
		return at, fmt.Errorf("%w: %.100q", ErrName, name)
	}
	at.Job = parts[1]
	if _, err := fmt.Sscanf(parts[2], "%d", &at.Task); err != nil {
		return at, fmt.Errorf("%w: %.100q", ErrName, name)
	}
	if parts[3] != "" {
		if _, err := fmt.Sscanf(parts[3], "%d", &at.Number); err != nil {
			return at, fmt.Errorf("%w: %.100q", ErrName, name)
		}
	}
	return at, nil
}
