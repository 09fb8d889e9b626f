package jobstate

import "topazhollow/internal/protocol"

// What machines' homes report to owners, and the orders that go back.

// termShift splits an attempt number into the term that made it and a counter. Terms stay below 2^29, so that attempts
// stay below 2^53, which JSON numbers hold exactly.
const termShift = 24

// AttemptID is an attempt number that no other owner or term can make.
func AttemptID(term, counter uint64) uint64 { return term<<termShift | counter&(1<<termShift-1) }

// TermOf is the term under which an attempt's start was sent.
func TermOf(attempt uint64) uint64 { return attempt >> termShift }

// Ordered is the state of a start that a machine's home has accepted and that the agent has not listed yet.
const Ordered = "ordered"

// TaskStatus is a task as a machine's home knows it.
type TaskStatus struct {
	TaskID
	Attempt      uint64              `json:"a"`
	State        protocol.TaskState  `json:"e"`
	Reason       protocol.ExitReason `json:"w,omitempty"`
	Checkpointed bool                `json:"k,omitempty"`
}

// MachineStatus is what a machine's home knows of it; Newer orders the statuses of one machine.
type MachineStatus struct {
	Machine      string       `json:"m"`
	Addr         string       `json:"addr"`
	Type         string       `json:"type"`
	Zone         string       `json:"zone"`
	Spot         bool         `json:"spot,omitempty"`
	Incarnation  uint64       `json:"s"`
	Seq          uint64       `json:"q"`
	Revision     uint64       `json:"v"`           // the home's own count of changes
	FencingToken uint64       `json:"t"`           // highest term the agent has seen
	Term         uint64       `json:"h"`           // the home's term
	Notice       bool         `json:"n,omitempty"` // the cloud is about to take the machine back
	Tasks        []TaskStatus `json:"x,omitempty"`
	Barred       []AttemptRef `json:"b,omitempty"` // attempts that the home will never send
}

// Newer reports whether v replaces old: by the agent's incarnation, then the home's term, the heartbeat's sequence
// number, and the home's revision.
func (v *MachineStatus) Newer(old *MachineStatus) bool {
	if v.Incarnation != old.Incarnation {
		return v.Incarnation > old.Incarnation
	}
	if v.Term != old.Term {
		return v.Term > old.Term
	}
	if v.Seq != old.Seq {
		return v.Seq > old.Seq
	}
	return v.Revision > old.Revision
}

// Order is a command for a machine, given by an owner and carried by its home.
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

// Ref is the attempt of the assignment.
func (a Assignment) Ref() AttemptRef { return AttemptRef{a.TaskID, a.Attempt} }

// Ref is the attempt that the task is listed with.
func (x TaskStatus) Ref() AttemptRef { return AttemptRef{x.TaskID, x.Attempt} }

// Ref is the attempt that the order is for.
func (o *Order) Ref() AttemptRef { return AttemptRef{o.TaskID, o.Attempt} }
