// Package history records what users asked the controllers and what they were answered, and finds answers that
// contradict an earlier one. Requests may overlap: only an answer that arrived before another request was sent
// binds that request's answer. Order is by position in the record; no clock is read.
package history

import (
	"sync"

	"topazhollow/internal/protocol"
)

// Kind is what a request asks for.
type Kind string

// The requests of the users' protocol.
const (
	Submit Kind = "submit"
	Ask    Kind = "ask"
	Cancel Kind = "cancel"
)

// Call is one request and its answer.
type Call struct {
	Node     int // the controller that was asked
	Kind     Kind
	Job      string
	Invoked  uint64            // position at which the request was sent; counts from 1
	Returned uint64            // position at which its answer arrived; 0: no answer
	Status   int               // HTTP status
	State    protocol.JobState // the job's state, as the answer tells it
}

// Log records calls in the order in which they are sent and answered. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	position uint64
	calls    []Call
}

// Invoke records that a request is about to be sent and gives its index for Return.
func (l *Log) Invoke(node int, kind Kind, job string) (index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.position++
	l.calls = append(l.calls, Call{Node: node, Kind: kind, Job: job, Invoked: l.position})
	return len(l.calls) - 1
}

// Return records the answer to a request. A request that gets none is never returned.
func (l *Log) Return(index, status int, state protocol.JobState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.position++
	c := &l.calls[index]
	c.Returned, c.Status, c.State = l.position, status, state
}

// Calls copies what was recorded so far.
func (l *Log) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call(nil), l.calls...)
}
