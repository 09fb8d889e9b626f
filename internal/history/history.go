// Package history records the requests of users to the controllers and their answers, and finds answers that
// contradict earlier ones. Requests may overlap: an answer constrains only the answers to requests that were sent
// after it arrived. Order is by position in the log; no clock is read.
package history

import (
	"sync"

	"topazhollow/internal/protocol"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests in the users' protocol.
const (
	Submit Kind = "submit"
	Ask    Kind = "ask"
	Cancel Kind = "cancel"
)

// Call is one request and its answer.
type Call struct {
	Node     int // index of the controller that received the request
	Kind     Kind
	Job      string
	Invoked  uint64            // position at which the request was sent, from 1
	Returned uint64            // position at which its answer arrived; 0: no answer
	Status   int               // HTTP status
	State    protocol.JobState // the job's state in the answer

	Dependencies []string // jobs that the submission names
}

// Log records calls in the order in which they are sent and answered. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	position uint64
	calls    []Call
}

// Invoke records that a request is about to be sent, for a submission with the jobs that it names. It returns the index
// to pass to Return.
func (l *Log) Invoke(node int, kind Kind, job string, dependencies ...string) (index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.position++
	l.calls = append(l.calls, Call{Node: node, Kind: kind, Job: job, Invoked: l.position, Dependencies: dependencies})
	return len(l.calls) - 1
}

// Return records the answer to a request. It is not called for a request without an answer.
func (l *Log) Return(index, status int, state protocol.JobState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.position++
	c := &l.calls[index]
	c.Returned, c.Status, c.State = l.position, status, state
}

// Calls returns a copy of the calls recorded so far.
func (l *Log) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call(nil), l.calls...)
}
