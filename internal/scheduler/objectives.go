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

// Kinds of objectives, as the settings name them.
const (
	objectiveFinished  = "finished"  // complete within a time
	objectiveDeadline  = "deadline"  // complete within a multiple of the job's deadline
	objectiveWait      = "wait"      // tasks of a class start within a time
	objectiveGuarantee = "guarantee" // work within a guarantee starts within a time
)

// defaultObjective is after what time a job for which nothing is stated should be complete.
const defaultObjective = 24 * time.Hour

func (s *Scheduler) serviceLevels() ServiceLevels { return s.config.Deployment.Objectives }

// CompletionTimes lists when a job should be complete, by its deadline and the objectives for its class, in order of time; it is
// empty, not nil, if nothing is stated.
func (levels ServiceLevels) CompletionTimes(spec *protocol.Submission, submittedAt time.Time) jobstate.Objectives {
	times := jobstate.Objectives{}
	add := func(seconds float64) { times = append(times, submittedAt.Add(settings.Seconds(seconds))) }
	if spec.DeadlineSeconds != nil {
		add(*spec.DeadlineSeconds)
	}
	for _, o := range levels {
		switch {
		case o.Class != spec.Class:
		case o.Kind == objectiveFinished && o.WithinSeconds > 0:
			add(o.WithinSeconds)
		case o.Kind == objectiveDeadline && o.Times > 0 && spec.DeadlineSeconds != nil:
			add(o.Times * *spec.DeadlineSeconds)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// NextObjective is the next of a job's objectives that it can still reach; late if there is none.
func (j *Job) NextObjective(now time.Time) (by time.Time, late bool) {
	if len(j.Objectives) == 0 {
		return j.SubmittedAt.Add(defaultObjective), false
	}
	return j.Objectives.Next(now, j.Spec.RunTime())
}

// classStartBy is when tasks of a job's class should have started; false if nothing is stated, or if it is too late.
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

// guaranteeStartBy is when work within a guarantee should have started, of a job submitted at a time; false if nothing
// is stated, or if it is too late.
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
