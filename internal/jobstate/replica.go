// Package jobstate keeps the state of one team at the controller that owns it: its jobs, their tasks, the attempts that
// may be on machines and the quota that these use. It also defines the replica of this state that other controllers
// keep. It does no I/O and reads no clock.
package jobstate

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/bits-and-blooms/bitset"
)

// TaskID identifies a task.
type TaskID struct {
	Job   string `json:"j"`
	Index int    `json:"i"`
}

// compare orders tasks by job, then index.
func (k TaskID) compare(o TaskID) int {
	return cmp.Or(strings.Compare(k.Job, o.Job), k.Index-o.Index)
}

// AttemptRef identifies an attempt. Attempt numbers are unique only per task.
type AttemptRef struct {
	TaskID
	Attempt uint64 `json:"a"`
}

// Assignment is an attempt that may be on a machine: from before its start is sent until it is proven to be off the
// machine.
type Assignment struct {
	TaskID
	Attempt     uint64  `json:"a"`
	Machine     string  `json:"m"`
	Incarnation uint64  `json:"s"`
	Zone        string  `json:"z,omitempty"`
	CPUs        float64 `json:"c"`
	GPUs        float64 `json:"g,omitempty"`
	Memory      float64 `json:"r,omitempty"`
}

// Delta is one change of a team's replica, with its sequence number.
type Delta struct {
	Seq        uint64       `json:"seq"`
	Placed     []Assignment `json:"place,omitempty"`
	Released   []TaskID     `json:"off,omitempty"`
	Done       []TaskID     `json:"done,omitempty"`
	DroppedJob string       `json:"drop,omitempty"` // a job that has ended
}

// DoneTasks are finished tasks by job.
type DoneTasks map[string]*bitset.BitSet

// Copy is the encoding of a whole replica in messages.
type Copy struct {
	Seq         uint64       `json:"seq"`
	Assignments []Assignment `json:"holds"`
	Done        DoneTasks    `json:"done"`
}

// Replica is the replicated state of a team: its owner changes it, other controllers keep copies.
type Replica struct {
	Seq         uint64
	Assignments map[TaskID]Assignment
	Done        DoneTasks
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{Assignments: map[TaskID]Assignment{}, Done: DoneTasks{}}
}

// FromCopy returns the replica that a received copy describes.
func FromCopy(c Copy) *Replica {
	r := NewReplica()
	r.Seq = c.Seq
	r.add(c)
	return r
}

// add merges the contents of a copy into the replica.
func (r *Replica) add(c Copy) {
	for _, a := range c.Assignments {
		r.Assignments[a.TaskID] = a
	}
	for job, done := range c.Done {
		if done != nil {
			r.Done[job] = done
		}
	}
}

// Copy returns the encoding that is sent to another controller.
func (r *Replica) Copy() Copy {
	c := Copy{Seq: r.Seq, Done: r.Done, Assignments: make([]Assignment, 0, len(r.Assignments))}
	for _, a := range r.Assignments {
		c.Assignments = append(c.Assignments, a)
	}
	slices.SortFunc(c.Assignments, func(a, b Assignment) int {
		return a.compare(b.TaskID)
	})
	return c
}

// Apply applies the next delta. One that is already applied is ignored. If a delta is missing in between it returns an
// error; the replica must then be replaced by a full copy.
func (r *Replica) Apply(d Delta) error {
	if d.Seq <= r.Seq {
		return nil
	}
	if d.Seq != r.Seq+1 {
		return fmt.Errorf("jobstate: delta %d does not follow %d", d.Seq, r.Seq)
	}
	r.Seq = d.Seq
	for _, a := range d.Placed {
		r.Assignments[a.TaskID] = a
	}
	for _, k := range d.Released {
		delete(r.Assignments, k)
	}
	for _, k := range d.Done {
		r.markDone(k)
	}
	if d.DroppedJob != "" {
		delete(r.Done, d.DroppedJob)
	}
	return nil
}

// markDone records that a task is done, and reports whether it was not before.
func (r *Replica) markDone(k TaskID) bool {
	b := r.Done[k.Job]
	if b == nil {
		b = bitset.New(0)
		r.Done[k.Job] = b
	}
	if b.Test(uint(k.Index)) {
		return false
	}
	b.Set(uint(k.Index))
	return true
}
