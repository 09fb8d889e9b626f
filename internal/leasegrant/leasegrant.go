// Package leasegrant decides whether the answer to an agent's heartbeat may renew the agent's lease, and which tasks
// the answer must stop.
//
// It maintains one invariant: after each renewal, the agent runs no task of a job whose cancellation was confirmed
// before the controller's cancellation watermark, and the lease ends before the time allowed for any later cancellation
// is over. The package holds no state, does no I/O and reads no clock. TestModel checks the invariant over all
// histories of its events.
package leasegrant

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// JobState is what the controller that answers the heartbeat knows about a job.
type JobState int

// States of a job.
const (
	Unknown JobState = iota // not known here: the job may have been cancelled long ago
	Active
	Ended // cancelled or finished, permanently
)

// ControllerRole describes the answering controller's relation to the agent.
type ControllerRole struct {
	// IsHome means that the membership record lists this process as the controller that the agent reports to.
	IsHome bool
	// LeaseValid means that the controller is entitled to act and its own lease is valid. A raised term invalidates the
	// starts that other controllers sent.
	LeaseValid bool
	// HomeWatermark is the cancellation watermark under which the agent's home sent commands that may still arrive. It
	// is zero if the home reported none.
	HomeWatermark time.Time
	// InFlightWatermark is the earliest cancellation watermark under which this controller sent a start that may still
	// arrive although its job has ended. It is zero if there is no such start.
	InFlightWatermark time.Time
}

// ControllerView gives access to what the controller knows of jobs and how up to date that is.
type ControllerView interface {
	// JobState returns what is known about a job.
	JobState(uid string) JobState
	// StartOrdered reports whether the job's owner ordered the start of an attempt through this controller in this
	// term, and the state service has not been read since.
	StartOrdered(attempt jobstate.AttemptRef) bool
	// MayBeLost reports whether the job of an attempt may be missing because the state service lost data.
	MayBeLost(attempt uint64) bool
	// MayRenew reports whether a lease may start now if nothing later than bound counts as known. A zero bound imposes
	// no limit.
	MayRenew(now, bound time.Time) bool
}

// Grant is the decision about one heartbeat.
type Grant struct {
	Renewed bool
	Stops   []protocol.Command   // non-nil if the lease is renewed
	Unknown *jobstate.AttemptRef // the first task of an unknown job, which prevents the renewal
}

// Decide returns the decision about a heartbeat that was received now.
func Decide(heartbeat *protocol.Heartbeat, now time.Time, role ControllerRole, view ControllerView) Grant {
	if !mayRenew(now, role, view) {
		return Grant{}
	}
	grant := Grant{Renewed: true, Stops: []protocol.Command{}}
	for _, task := range heartbeat.Tasks {
		if task.State == protocol.Exited {
			continue
		}
		uid, index, _ := protocol.SplitTask(task.Task)
		attempt := jobstate.AttemptRef{TaskID: jobstate.TaskID{Job: uid, Index: index}, Attempt: task.Attempt}
		switch view.JobState(uid) {
		case Active:
		case Ended:
			grant.Stops = append(grant.Stops, stopAtOnce(&task))
		default:
			if !view.MayBeLost(task.Attempt) && !view.StartOrdered(attempt) {
				return Grant{Unknown: &attempt}
			}
		}
	}
	return grant
}

// stopAtOnce returns the command that stops a task without a grace period.
func stopAtOnce(task *protocol.TaskStatus) protocol.Command {
	return protocol.Command{Op: protocol.Stop, Task: task.Task, Attempt: task.Attempt, GraceSeconds: new(float64)}
}

// mayRenew reports whether a lease that starts now ends before the time allowed for any cancellation that is unknown
// here is over.
func mayRenew(now time.Time, role ControllerRole, view ControllerView) bool {
	bound := role.InFlightWatermark
	if !role.IsHome && !role.LeaseValid {
		// A start may be delayed on its way from the agent's home, and during an outage no raised term invalidates it.
		if role.HomeWatermark.IsZero() {
			return false
		}
		if bound.IsZero() || role.HomeWatermark.Before(bound) {
			bound = role.HomeWatermark
		}
	}
	return view.MayRenew(now, bound)
}
