package scheduler

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// ServiceLevels are the deployment's service-level objectives.
type ServiceLevels []settings.Objective

// Kinds of objectives, as spelled in the settings.
const (
	objectiveFinished  = "finished"  // jobs complete within a time
	objectiveDeadline  = "deadline"  // jobs complete within a multiple of their deadline
	objectiveWait      = "wait"      // tasks of a class start within a time
	objectiveGuarantee = "guarantee" // work within a guarantee starts within a time
)

// defaultObjective is the target completion time, counted from submission, of a job without objectives or deadline.
const defaultObjective = 24 * time.Hour

func (s *Scheduler) serviceLevels() ServiceLevels { return s.config.Deployment.Objectives }

// CompletionTimes returns the target completion times of a job from its deadline and the objectives of its class,
// sorted by time. waitingSince is when its tasks could first start. deadline is nil if there is none; it may be that of
// a job that needs this one. It returns an empty slice, not nil, if there are none.
func (levels ServiceLevels) CompletionTimes(class string, waitingSince time.Time, deadline *jobstate.Deadline) jobstate.Objectives {
	times := jobstate.Objectives{}
	if deadline != nil {
		times = append(times, deadline.At(1))
	}
	for _, o := range levels {
		switch {
		case o.Kind == objectiveFinished && o.Class == class && o.WithinSeconds > 0:
			times = append(times, waitingSince.Add(settings.Seconds(o.WithinSeconds)))
		case o.Kind == objectiveDeadline && o.DeadlineFactor > 0 && deadline != nil && o.Class == deadline.Class:
			times = append(times, deadline.At(o.DeadlineFactor))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// DeadlineOf returns the deadline that a job's own user has set; nil if there is none.
func DeadlineOf(spec *protocol.Submission, submittedAt time.Time) *jobstate.Deadline {
	if spec.DeadlineSeconds == nil {
		return nil
	}
	return &jobstate.Deadline{SubmittedAt: submittedAt, Allowed: settings.Seconds(*spec.DeadlineSeconds), Class: spec.Class}
}

// NextObjective returns the next target completion time that a job can still meet. late is true if there is none.
func (j *Job) NextObjective(now time.Time) (by time.Time, late bool) {
	if len(j.Objectives) == 0 {
		return j.SubmittedAt.Add(defaultObjective), false
	}
	return j.Objectives.Next(now, j.Spec.RunTime())
}

// classStartBy returns the time by which a job's tasks should start according to the objective of its class, and false
// if there is no such objective or the time has passed.
func (levels ServiceLevels) classStartBy(j *Job, now time.Time) (time.Time, bool) {
	for _, o := range levels {
		if o.Kind != objectiveWait || o.Class != j.Spec.Class || o.WithinSeconds <= 0 {
			continue
		}
		if by := j.SubmittedAt.Add(settings.Seconds(o.WithinSeconds)); !now.After(by) {
			return by, true
		}
	}
	return time.Time{}, false
}

// guaranteeStartBy returns the time by which work within a team's guarantee should start if it was submitted at
// submittedAt, and false if there is no such objective or the time has passed.
func (levels ServiceLevels) guaranteeStartBy(submittedAt, now time.Time) (time.Time, bool) {
	for _, o := range levels {
		if o.Kind != objectiveGuarantee || o.WithinSeconds <= 0 {
			continue
		}
		if by := submittedAt.Add(settings.Seconds(o.WithinSeconds)); !now.After(by) {
			return by, true
		}
	}
	return time.Time{}, false
}
