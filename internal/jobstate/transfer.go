package jobstate

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// A replica that is too large for one message is given to a backup in parts, while it goes on changing. Each part says
// what is held and done now of some tasks that were held, and some jobs that had finished tasks, when the transfer began.
// Changes made meanwhile go out as deltas on the same connection, in order with the parts: what came later is in a
// delta, what went is in no later part, so that after the last part the backup has exactly the owner's replica. Until then it
// keeps the one that it had.

// Sizes of what one message carries, in bytes as encoded. Messages between controllers may have 4 MiB; names that need
// escapes and rounding take less than the rest of it.
const (
	wholeBytes = 3 << 20
	partBytes  = 1 << 20
	holdBytes  = 160 // of a hold's numbers, beside its names
	wordBytes  = 11  // of 64 tasks in a set
)

// Part is one part of a replica.
type Part struct {
	Copy        // Seq is the owner's when the part was made
	Number int  `json:"number"` // from 0
	Last   bool `json:"last,omitempty"`
}

// size is about how long a hold is as encoded.
func (h *Assignment) size() int { return holdBytes + len(h.Job) + len(h.Machine) + len(h.Zone) }

// setSize is about how long a job's set of finished tasks is as encoded.
func (r *Replica) setSize(job string) int {
	return holdBytes + len(job) + wordBytes*len(r.Done[job].Words())
}

// FitsOneMessage says whether the replica may be sent as a whole.
func (r *Replica) FitsOneMessage() bool {
	size := 0
	for _, h := range r.Holds {
		size += h.size()
	}
	for job := range r.Done {
		size += r.setSize(job)
	}
	return size <= wholeBytes
}

// Transfer is the sending of a replica in parts.
type Transfer struct {
	keys []TaskID // of what was held at the beginning and is not sent yet
	jobs []string // with finished tasks then, not sent yet
	sent int      // parts
	most int      // bytes of a part
}

// NewTransfer begins to send a replica. The first part is to be made before any delta that the replica does not have yet.
func NewTransfer(r *Replica) *Transfer {
	return &Transfer{keys: slices.SortedFunc(maps.Keys(r.Holds), TaskID.compare), jobs: slices.Sorted(maps.Keys(r.Done)), most: partBytes}
}

// Sent is how many parts were made.
func (t *Transfer) Sent() int { return t.sent }

// Ended says whether the last part was made.
func (t *Transfer) Ended() bool { return t.sent > 0 && len(t.keys)+len(t.jobs) == 0 }

// Next makes the next part from the replica as it is now.
func (t *Transfer) Next(r *Replica) Part {
	part := Part{Number: t.sent}
	part.Seq = r.Seq
	size := 0
	for len(t.keys) > 0 && size < t.most {
		if h, held := r.Holds[t.keys[0]]; held {
			part.Holds = append(part.Holds, h)
			size += h.size()
		}
		t.keys = t.keys[1:]
	}
	for len(t.jobs) > 0 && size < t.most {
		job := t.jobs[0]
		if done := r.Done[job]; done != nil {
			if part.Done == nil {
				part.Done = DoneTasks{}
			}
			part.Done[job] = done
			size += r.setSize(job)
		}
		t.jobs = t.jobs[1:]
	}
	t.sent++
	part.Last = t.Ended()
	return part
}

// Incoming is a replica that a backup receives in parts.
type Incoming struct {
	replica *Replica
	next    int // number of the part that is to come
}

// NewIncoming has received nothing.
func NewIncoming() *Incoming { return &Incoming{replica: NewReplica()} }

// errPart is a part that does not follow what came before; the transfer must begin anew.
var errPart = errors.New("ledger: part out of order")

// Take takes in a part, and gives the replica once it is whole. After an error the transfer must begin anew.
func (in *Incoming) Take(p Part) (whole *Replica, err error) {
	if p.Number != in.next || p.Number > 0 && p.Seq != in.replica.Seq {
		return nil, fmt.Errorf("%w: %d at %d, want %d at %d", errPart, p.Number, p.Seq, in.next, in.replica.Seq)
	}
	in.next++
	in.replica.Seq = p.Seq
	in.replica.add(p.Copy)
	if !p.Last {
		return nil, nil
	}
	return in.replica, nil
}

// Apply carries out a delta between two parts. After an error the transfer must begin anew.
func (in *Incoming) Apply(d Delta) error { return in.replica.Apply(d) }
