package jobstate

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// A replica that is too large for one message is given to a controller in parts, while it goes on changing. Each
// part says what is held and done now of some tasks that were held, and some jobs that had finished tasks, when
// the transfer began. Changes made meanwhile go out as deltas on the same connection, in order with the parts:
// what came later is in a delta, what went is in no later part, so that after the last part the controller has
// exactly the owner's replica. Until then it keeps the one that it had.

// Sizes of what one message carries, in bytes as encoded. Messages between controllers may have 4 MiB; names that
// need escapes and rounding take less than the rest of it.
const (
	maxCopyBytes    = 3 << 20
	maxPartBytes    = 1 << 20
	assignmentBytes = 160 // of an assignment's numbers, beside its names
	wordBytes       = 11  // of 64 tasks in a set
)

// Part is one part of a replica.
type Part struct {
	Copy        // Seq is the owner's when the part was made
	Number int  `json:"number"` // from 0
	Last   bool `json:"last,omitempty"`
}

// encodedSize is about how long an assignment is as encoded.
func (a *Assignment) encodedSize() int {
	return assignmentBytes + len(a.Job) + len(a.Machine) + len(a.Zone)
}

// doneSize is about how long a job's set of finished tasks is as encoded.
func (r *Replica) doneSize(job string) int {
	return assignmentBytes + len(job) + wordBytes*len(r.Done[job].Words())
}

// FitsOneMessage says whether the replica may be sent as a whole.
func (r *Replica) FitsOneMessage() bool {
	size := 0
	for _, a := range r.Assignments {
		size += a.encodedSize()
	}
	for job := range r.Done {
		size += r.doneSize(job)
	}
	return size <= maxCopyBytes
}

// Transfer is the sending of a replica in parts.
type Transfer struct {
	tasks        []TaskID // that were assigned at the beginning and are not sent yet
	jobs         []string // that had finished tasks then and are not sent yet
	partsMade    int
	maxPartBytes int
}

// NewTransfer begins to send a replica. The first part is to be made before any delta that the replica does not
// have yet.
func NewTransfer(replica *Replica) *Transfer {
	return &Transfer{
		tasks:        slices.SortedFunc(maps.Keys(replica.Assignments), TaskID.compare),
		jobs:         slices.Sorted(maps.Keys(replica.Done)),
		maxPartBytes: maxPartBytes,
	}
}

// PartsMade is how many parts were made.
func (t *Transfer) PartsMade() int { return t.partsMade }

// Ended says whether the last part was made.
func (t *Transfer) Ended() bool { return t.partsMade > 0 && len(t.tasks)+len(t.jobs) == 0 }

// Next makes the next part from the replica as it is now.
func (t *Transfer) Next(replica *Replica) Part {
	part := Part{Number: t.partsMade}
	part.Seq = replica.Seq
	size := 0
	for len(t.tasks) > 0 && size < t.maxPartBytes {
		if a, held := replica.Assignments[t.tasks[0]]; held {
			part.Assignments = append(part.Assignments, a)
			size += a.encodedSize()
		}
		t.tasks = t.tasks[1:]
	}
	for len(t.jobs) > 0 && size < t.maxPartBytes {
		job := t.jobs[0]
		if done := replica.Done[job]; done != nil {
			if part.Done == nil {
				part.Done = DoneTasks{}
			}
			part.Done[job] = done
			size += replica.doneSize(job)
		}
		t.jobs = t.jobs[1:]
	}
	t.partsMade++
	part.Last = t.Ended()
	return part
}

// Incoming is a replica that a controller receives in parts.
type Incoming struct {
	replica    *Replica
	nextNumber int // number of the part that is to come
}

// NewIncoming has received nothing.
func NewIncoming() *Incoming { return &Incoming{replica: NewReplica()} }

// errPartOrder is a part that does not follow what came before; the transfer must begin anew.
var errPartOrder = errors.New("jobstate: part out of order")

// AddPart takes in a part, and gives the replica once it is whole. After an error the transfer must begin anew.
func (in *Incoming) AddPart(p Part) (whole *Replica, err error) {
	if p.Number != in.nextNumber || p.Number > 0 && p.Seq != in.replica.Seq {
		return nil, fmt.Errorf("%w: %d at %d, want %d at %d", errPartOrder, p.Number, p.Seq, in.nextNumber, in.replica.Seq)
	}
	in.nextNumber++
	in.replica.Seq = p.Seq
	in.replica.add(p.Copy)
	if !p.Last {
		return nil, nil
	}
	return in.replica, nil
}

// Apply carries out a delta between two parts. After an error the transfer must begin anew.
func (in *Incoming) Apply(d Delta) error { return in.replica.Apply(d) }
