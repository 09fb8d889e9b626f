// Package leasegrant decides whether the answer to an agent's heartbeat may renew the agent's lease, and which tasks
// the answer must stop.
//
// It guards one invariant: after each renewal the agent runs nothing of a job whose cancellation was confirmed before
// the controller's cancellation watermark, and the lease ends before a later cancellation runs out of time. The package
// holds no state, does no I/O and reads no clock; TestModel explores the invariant over all histories of its events.
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
	Unknown JobState = iota // never learned here: it may have been cancelled long ago
	Active
	Ended // cancelled or done, for good
)

// ControllerRole is the answering controller's relation to the agent.
type ControllerRole struct {
	// IsHome: the membership record names this process as the controller that the agent reports to.
	IsHome bool
	// LeaseValid: the controller is entitled and its own lease is valid. A raised term voids the starts that others sent.
	LeaseValid bool
	// HomeWatermark is the cancellation watermark under which the agent's home sent what may still arrive; zero if the
	// home said nothing.
	HomeWatermark time.Time
	// InFlightWatermark is the earliest cancellation watermark under which this controller sent a start that may still
	// arrive though its job has ended; zero if there is no such start.
	InFlightWatermark time.Time
}

// ControllerView is what the controller knows of jobs, and how old that may be.
type ControllerView interface {
	// JobState returns what is known of a job.
	JobState(uid string) JobState
	// StartOrdered says whether the job's owner ordered the start of an attempt here in this term, and the key-value
	// store was not read since.
	StartOrdered(attempt jobstate.AttemptRef) bool
	// MayBeLost says whether the job of an attempt may have been lost with data of the key-value store.
	MayBeLost(attempt uint64) bool
	// MayRenew says whether a lease may begin now if nothing later than bound counts as known; zero: no such bound.
	MayRenew(now, bound time.Time) bool
}

// Grant is the decision about one heartbeat.
type Grant struct {
	Renewed bool
	Stops   []protocol.Command   // not nil if the lease is renewed
	Unknown *jobstate.AttemptRef // the first task of an unknown job, because of which the lease is not renewed
}

// Decide answers a heartbeat that came now.
func Decide(heartbeat *protocol.Heartbeat, now time.Time, standing ControllerRole, known ControllerView) Grant {
	if !mayRenew(now, standing, known) {
		return Grant{}
	}
	grant := Grant{Renewed: true, Stops: []protocol.Command{}}
	for _, task := range heartbeat.Tasks {
		if task.State == protocol.Exited {
			continue
		}
		uid, index, _ := protocol.SplitTask(task.Task)
		attempt := jobstate.AttemptRef{TaskID: jobstate.TaskID{Job: uid, Index: index}, Attempt: task.Attempt}
		switch known.JobState(uid) {
		case Active:
		case Ended:
			grant.Stops = append(grant.Stops, stopAtOnce(&task))
		default:
			if !known.MayBeLost(task.Attempt) && !known.StartOrdered(attempt) {
				return Grant{Unknown: &attempt}
			}
		}
	}
	return grant
}

// stopAtOnce is the command that stops a task without a grace period.
func stopAtOnce(task *protocol.TaskStatus) protocol.Command {
	return protocol.Command{Op: protocol.Stop, Task: task.Task, Attempt: task.Attempt, GraceSeconds: new(float64)}
}

// mayRenew says whether a lease that begins now ends before a cancellation not known here runs out of time.
func mayRenew(now time.Time, standing ControllerRole, known ControllerView) bool {
	bound := standing.InFlightWatermark
	if !standing.IsHome && !standing.LeaseValid {
		// A start may be held up on its way from the agent's home, and in an outage no raised term voids it.
		if standing.HomeWatermark.IsZero() {
			return false
		}
		if bound.IsZero() || standing.HomeWatermark.Before(bound) {
			bound = standing.HomeWatermark
		}
	}
	return known.MayRenew(now, bound)
}
