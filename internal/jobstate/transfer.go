package jobstate

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// A replica that is too large for one message is sent to a controller in parts, while it keeps changing. The tasks that
// were assigned and the jobs that had finished tasks when the transfer began are divided among the parts. Each part has
// the present assignments and finished tasks of its share. Changes during the transfer are sent as deltas on the same
// connection, in order with the parts: what is added later is in a delta, and what is removed is in no later part.
// After the last part the receiver therefore has exactly the owner's replica. Until then it keeps its previous one.

// Encoded sizes in bytes. Messages between controllers may have up to 4 MiB; the difference to maxCopyBytes is for the
// escaping of names and for the error of the estimates.
const (
	maxCopyBytes    = 3 << 20
	maxPartBytes    = 1 << 20
	assignmentBytes = 160 // of an assignment, without its names
	wordBytes       = 11  // of each 64 tasks in a set of finished tasks
)

// Part is one part of a replica that is sent in parts.
type Part struct {
	Copy        // Seq is the owner's sequence number when the part was created
	Number int  `json:"number"` // counted from 0
	Last   bool `json:"last,omitempty"`
}

// encodedSize estimates the encoded size of an assignment.
func (a *Assignment) encodedSize() int {
	return assignmentBytes + len(a.Job) + len(a.Machine) + len(a.Zone)
}

// doneSize estimates the encoded size of a job's set of finished tasks.
func (r *Replica) doneSize(job string) int {
	return assignmentBytes + len(job) + wordBytes*len(r.Done[job].Words())
}

// FitsOneMessage reports whether the replica may be sent in one message.
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

// Transfer is the sender's state of a transfer of a replica in parts.
type Transfer struct {
	tasks        []TaskID // tasks that were assigned at the beginning and are in no part yet
	jobs         []string // jobs that had finished tasks then and are in no part yet
	partsMade    int
	maxPartBytes int
}

// NewTransfer begins the transfer of a replica. The first part must be created before the replica changes again.
func NewTransfer(replica *Replica) *Transfer {
	return &Transfer{
		tasks:        slices.SortedFunc(maps.Keys(replica.Assignments), TaskID.compare),
		jobs:         slices.Sorted(maps.Keys(replica.Done)),
		maxPartBytes: maxPartBytes,
	}
}

// PartsMade returns the number of parts created so far.
func (t *Transfer) PartsMade() int { return t.partsMade }

// Ended reports whether the last part was created.
func (t *Transfer) Ended() bool { return t.partsMade > 0 && len(t.tasks)+len(t.jobs) == 0 }

// Next creates the next part from the present state of the replica.
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

// Incoming is the receiver's state of a transfer of a replica in parts.
type Incoming struct {
	replica    *Replica
	nextNumber int // number of the next part
}

// NewIncoming returns an Incoming that has received no part.
func NewIncoming() *Incoming { return &Incoming{replica: NewReplica()} }

// errPartOrder reports a part that does not follow the parts and deltas received before; the transfer must be
// restarted.
var errPartOrder = errors.New("jobstate: part out of order")

// AddPart adds the next part, and returns the replica after the last one. After an error the transfer must be
// restarted.
func (in *Incoming) AddPart(p Part) (whole *Replica, err error) {
	if p.Number != in.nextNumber || p.Number > 0 && p.Seq != in.replica.Seq {
		return nil, fmt.Errorf("%w: got part %d at sequence number %d, want part %d at %d", errPartOrder, p.Number, p.Seq, in.nextNumber, in.replica.Seq)
	}
	in.nextNumber++
	in.replica.Seq = p.Seq
	in.replica.add(p.Copy)
	if !p.Last {
		return nil, nil
	}
	return in.replica, nil
}

// Apply applies a delta that arrives between two parts. After an error the transfer must be restarted.
func (in *Incoming) Apply(d Delta) error { return in.replica.Apply(d) }
