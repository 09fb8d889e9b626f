package scheduler

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Objectives are the deployment's service-level objectives.
type Objectives []settings.Objective

// Kinds of objectives, as the settings name them.
const (
	objectiveFinished  = "finished"  // complete within a time
	objectiveDeadline  = "deadline"  // complete within a multiple of the job's deadline
	objectiveWait      = "wait"      // tasks of a class start within a time
	objectiveGuarantee = "guarantee" // work within a guarantee starts within a time
)

// defaultGoal is after what time a job for which nothing is stated should be complete.
const defaultGoal = 24 * time.Hour

func (s *Scheduler) objectives() Objectives { return s.config.Deployment.Objectives }

// Goals lists when a job should be complete, by its deadline and the objectives for its class, in order of time; it is
// empty, not nil, if nothing is stated.
func (objectives Objectives) Goals(spec *protocol.Submission, submittedAt time.Time) jobstate.Objectives {
	goals := jobstate.Objectives{}
	add := func(seconds float64) { goals = append(goals, submittedAt.Add(settings.Seconds(seconds))) }
	if spec.DeadlineSeconds != nil {
		add(*spec.DeadlineSeconds)
	}
	for _, o := range objectives {
		switch {
		case o.Class != spec.Class:
		case o.Kind == objectiveFinished && o.WithinSeconds > 0:
			add(o.WithinSeconds)
		case o.Kind == objectiveDeadline && o.Times > 0 && spec.DeadlineSeconds != nil:
			add(o.Times * *spec.DeadlineSeconds)
		}
	}
	slices.SortFunc(goals, time.Time.Compare)
	return goals
}

// NextGoal is the next of a job's goals that it can still reach; late if there is none.
func (j *Job) NextGoal(now time.Time) (goal time.Time, late bool) {
	if len(j.Goals) == 0 {
		return j.SubmittedAt.Add(defaultGoal), false
	}
	return j.Goals.Next(now, j.Spec.RunTime())
}

// classStartBy is when tasks of a job's class should have started; false if nothing is stated, or if it is too late.
func (objectives Objectives) classStartBy(j *Job, now time.Time) (time.Time, bool) {
	for _, o := range objectives {
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
func (objectives Objectives) guaranteeStartBy(submittedAt, now time.Time) (time.Time, bool) {
	for _, o := range objectives {
		if o.Kind != objectiveGuarantee || o.WithinSeconds <= 0 {
			continue
		}
		if by := submittedAt.Add(settings.Seconds(o.WithinSeconds)); !now.After(by) {
			return by, true
		}
	}
	return time.Time{}, false
}
