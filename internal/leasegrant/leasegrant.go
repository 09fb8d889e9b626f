// Package leasegrant decides whether the answer to a worker's report may renew the worker's lease, and which tasks the
// answer must stop. After each renewal a machine runs nothing of a job whose withdrawal was confirmed before the
// controller's horizon, and the lease ends before a later withdrawal runs out of time. It does no I/O and reads no clock.
package leasegrant

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// JobState is what the answering controller knows of a job.
type JobState int

// The states of a job.
const (
	Unknown JobState = iota // nobody told of it: it may have been withdrawn long ago
	Active
	Over // withdrawn or done, for good
)

// Position is the answering controller's part towards the machine.
type Position struct {
	Home     bool      // its present process is the machine's home by the control record
	Leased   bool      // it is entitled and its own lease lives: a raised term voids the starts of others
	HomeWord time.Time // every withdrawal confirmed before was known when the home sent what may still arrive; zero: it said nothing
	// InFlight bounds what a start sent from here that may still arrive, of a job that is over, was sent with: every
	// withdrawal confirmed before was known then. Zero: no such start.
	InFlight time.Time
}

// Knowledge is what the controller knows of jobs and of how old its knowledge may be.
type Knowledge interface {
	// Job is a job's state.
	Job(uid string) JobState
	// Ordered says whether the job's owner ordered the start of an attempt here in this term, and the state service was
	// not read since.
	Ordered(attempt jobstate.AttemptRef) bool
	// Lost says whether the job of an attempt may have been lost with data of the state service.
	Lost(attempt uint64) bool
	// Renews says whether a lease may begin now if nothing later than since counts as known; since zero: no such bound.
	Renews(now, since time.Time) bool
}

// Grant is the decision about one report.
type Grant struct {
	Renew   bool
	Stops   []protocol.Command   // not nil if the lease is renewed
	Unknown *jobstate.AttemptRef // the first task of an unknown job, because of which the lease is not renewed
}

// Decide answers a report that came now.
func Decide(report *protocol.Heartbeat, now time.Time, position Position, known Knowledge) Grant {
	if !mayBegin(now, position, known) {
		return Grant{}
	}
	grant := Grant{Renew: true, Stops: []protocol.Command{}}
	for _, task := range report.Tasks {
		if task.State == protocol.Exited {
			continue
		}
		uid, index, _ := protocol.SplitTask(task.Task)
		attempt := jobstate.AttemptRef{TaskID: jobstate.TaskID{Job: uid, Index: index}, Attempt: task.Attempt}
		switch known.Job(uid) {
		case Active:
		case Over:
			grant.Stops = append(grant.Stops, protocol.Command{Op: protocol.Stop, Task: task.Task, Attempt: task.Attempt, Grace: new(float64)})
		default:
			if !known.Lost(task.Attempt) && !known.Ordered(attempt) {
				return Grant{Unknown: &attempt}
			}
		}
	}
	return grant
}

// mayBegin says whether a lease that begins now ends before a withdrawal not known here runs out of time.
func mayBegin(now time.Time, position Position, known Knowledge) bool {
	since := position.InFlight
	if !position.Home && !position.Leased {
		// A start may be held up on its way from the machine's home, and in an outage no raised term voids it.
		if position.HomeWord.IsZero() {
			return false
		}
		if since.IsZero() || position.HomeWord.Before(since) {
			since = position.HomeWord
		}
	}
	return known.Renews(now, since)
}
