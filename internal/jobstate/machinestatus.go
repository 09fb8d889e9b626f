package jobstate

import (
	"cmp"
	"iter"

	"topazhollow/internal/protocol"
)

// The machine statuses that homes report to owners, and the orders that owners return. A machine's home is the
// controller that its agent reports to; a team's owner is the controller that keeps the team's state.

// termShift is the number of low bits of an attempt number that hold a counter; the bits above hold the term. Terms
// stay below 2^29 and attempt numbers thus below 2^53, up to which JSON numbers are exact.
const termShift = 24

// AttemptID returns the attempt number of a term and a counter. Each term has one owner, so that numbers of different
// owners or terms differ.
func AttemptID(term, counter uint64) uint64 { return term<<termShift | counter&(1<<termShift-1) }

// TermOf returns the term that an attempt was created in, under which its start is sent.
func TermOf(attempt uint64) uint64 { return attempt >> termShift }

// MayForget reports whether an agent may be told, under a term, to forget an exited attempt. An agent that does not list an
// attempt executes any start of it, and a copy of the start may arrive at any time. Starts go out under the attempt's own
// term only, so the agent refuses all of them from the moment at which it learns a later term, at the latest together with
// the order to forget the attempt.
func MayForget(attempt, term uint64) bool { return TermOf(attempt) < term }

// Ordered is the state of a task whose start the machine's home has accepted and that the agent has not listed yet.
const Ordered = "ordered"

// TaskStatus is the state of a task on a machine, as known to the machine's home.
type TaskStatus struct {
	TaskID
	Attempt      uint64              `json:"a"`
	State        protocol.TaskState  `json:"e"`
	Reason       protocol.ExitReason `json:"w,omitempty"`
	Checkpointed bool                `json:"k,omitempty"`
}

// MachineStatus is the state of a machine as known to its home. Newer orders the statuses of one machine.
type MachineStatus struct {
	Machine      string       `json:"m"`
	Addr         string       `json:"addr"`
	Type         string       `json:"type"`
	Zone         string       `json:"zone"`
	Spot         bool         `json:"spot,omitempty"`
	Incarnation  uint64       `json:"s"`
	Seq          uint64       `json:"q"`
	Revision     uint64       `json:"v"`           // the home's counter of changes
	FencingToken uint64       `json:"t"`           // highest term that the agent has seen
	Term         uint64       `json:"h"`           // the home's term
	Notice       bool         `json:"n,omitempty"` // the cloud has announced that it will reclaim the machine
	Tasks        []TaskStatus `json:"x,omitempty"`
	Barred       []AttemptRef `json:"b,omitempty"` // attempts whose starts the home will never send
}

// HeartbeatID returns the identity of the heartbeat that the status was made from.
func (v *MachineStatus) HeartbeatID() protocol.HeartbeatID {
	return protocol.HeartbeatID{Incarnation: v.Incarnation, Seq: v.Seq}
}

// Newer reports whether v replaces old: it is made from a later heartbeat or, if both are made from the same one, by the
// home of a later term or at a later revision of the same home.
//
// The heartbeat comes before the home's term. The first heartbeat that a home receives in its term may be a copy of an
// old one, which must not hide tasks that a newer heartbeat listed to an earlier home.
func (v *MachineStatus) Newer(old *MachineStatus) bool {
	return cmp.Or(v.HeartbeatID().Compare(old.HeartbeatID()), cmp.Compare(v.Term, old.Term), cmp.Compare(v.Revision, old.Revision)) > 0
}

// NewlyExited yields the exited tasks that an earlier status of the machine, nil if there is none, does not list as exited.
func (v *MachineStatus) NewlyExited(earlier *MachineStatus) iter.Seq[TaskStatus] {
	return func(yield func(TaskStatus) bool) {
		next := 0
		for _, t := range v.Tasks {
			if t.State != protocol.Exited {
				continue
			}
			if at := earlier.findFrom(next, t.Ref()); at >= 0 && earlier.Tasks[at].State == protocol.Exited {
				next = at + 1
				continue
			}
			if !yield(t) {
				return
			}
		}
	}
}

// findFrom returns the index of the task that is listed as an attempt, -1 if there is none. It begins at an index, where
// the task is usually found, since agents keep the order of their lists.
func (v *MachineStatus) findFrom(start int, ref AttemptRef) int {
	if v == nil {
		return -1
	}
	for i := range v.Tasks {
		at := (start + i) % len(v.Tasks)
		if t := &v.Tasks[at]; t.Attempt == ref.Attempt && t.TaskID == ref.TaskID {
			return at
		}
	}
	return -1
}

// Order is a command of an owner for a machine, which the machine's home forwards.
type Order struct {
	Op protocol.CommandOp `json:"o"`
	TaskID
	Attempt      uint64  `json:"a"`
	Incarnation  uint64  `json:"s"`
	CPUs         float64 `json:"c,omitempty"`
	GPUs         float64 `json:"g,omitempty"`
	MemoryGB     float64 `json:"r,omitempty"`
	GraceSeconds float64 `json:"z,omitempty"`
}

// Ref identifies the attempt of the assignment.
func (a Assignment) Ref() AttemptRef { return AttemptRef{a.TaskID, a.Attempt} }

// Ref identifies the attempt that the task is listed with.
func (x TaskStatus) Ref() AttemptRef { return AttemptRef{x.TaskID, x.Attempt} }

// Ref identifies the attempt that the order is for.
func (o *Order) Ref() AttemptRef { return AttemptRef{o.TaskID, o.Attempt} }
