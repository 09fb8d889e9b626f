// Package jobstate is an owner's account of one team: its jobs, their tasks, the
// attempts that may be on machines and the quota these hold; and the replica of
// it that other controllers keep. It does no I/O and reads no clock.
package jobstate

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/bits-and-blooms/bitset"
)

// TaskID names a task.
type TaskID struct {
	Job   string `json:"j"`
	Index int    `json:"i"`
}

func (k TaskID) compare(o TaskID) int {
	return cmp.Or(strings.Compare(k.Job, o.Job), k.Index-o.Index)
}

// AttemptRef names an attempt: its number alone is unique only for its task.
type AttemptRef struct {
	TaskID
	Attempt uint64 `json:"a"`
}

// Assignment is an attempt that may be on a machine: from before its start is sent
// until it is proven off.
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

// Delta is one sequenced change of a team's progress.
type Delta struct {
	Seq        uint64       `json:"seq"`
	Placed     []Assignment `json:"place,omitempty"`
	Released   []TaskID     `json:"off,omitempty"`
	Done       []TaskID     `json:"done,omitempty"`
	DroppedJob string       `json:"drop,omitempty"` // a job that is over
}

// DoneTasks are finished tasks by job.
type DoneTasks map[string]*bitset.BitSet

// Copy is a whole replica on the wire.
type Copy struct {
	Seq         uint64       `json:"seq"`
	Assignments []Assignment `json:"holds"`
	Done        DoneTasks    `json:"done"`
}

// Replica is a team's progress, as its owner has it and other controllers keep it.
type Replica struct {
	Seq         uint64
	Assignments map[TaskID]Assignment
	Done        DoneTasks
}

// NewReplica is an empty replica.
func NewReplica() *Replica {
	return &Replica{Assignments: map[TaskID]Assignment{}, Done: DoneTasks{}}
}

// FromCopy makes a replica of a received copy.
func FromCopy(c Copy) *Replica {
	r := NewReplica()
	r.Seq = c.Seq
	r.add(c)
	return r
}

// add takes in what a copy holds.
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

// Copy is the replica as sent to another controller.
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

// Apply carries out a delta. An older one is ignored; a gap is an error, which
// a full copy mends.
func (r *Replica) Apply(d Delta) error {
	if d.Seq <= r.Seq {
		return nil
	}
	if d.Seq != r.Seq+1 {
		return fmt.Errorf("jobstate: delta %d after %d", d.Seq, r.Seq)
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
