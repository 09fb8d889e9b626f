package controller

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/settings"
)

// goals lists when a job should be complete, by its deadline and the objectives
// for its class, in order of time; none if nobody said.
func (n *Node) goals(j *job) jobstate.Objectives {
	if j.goals != nil {
		return j.goals
	}
	j.goals = jobstate.Objectives{}
	add := func(seconds float64) { j.goals = append(j.goals, j.submittedAt.Add(settings.Seconds(seconds))) }
	if j.spec.DeadlineSeconds != nil {
		add(*j.spec.DeadlineSeconds)
	}
	for _, o := range n.settings.Deployment.Objectives {
		switch {
		case o.Class != j.spec.Class:
		case o.Kind == "finished" && o.WithinSeconds > 0:
			add(o.WithinSeconds)
		case o.Kind == "deadline" && o.Times > 0 && j.spec.DeadlineSeconds != nil:
			add(o.Times * *j.spec.DeadlineSeconds)
		}
	}
	slices.SortFunc(j.goals, time.Time.Compare)
	return j.goals
}

// far is the goal of a job of which nobody said when it should be complete.
const far = 24 * time.Hour

// goal is the next of a job's goals that it can still reach; late if there is none.
func (n *Node) goal(j *job, now time.Time) (goal time.Time, late bool) {
	goals := n.goals(j)
	if len(goals) == 0 {
		return j.submittedAt.Add(far), false
	}
	return goals.Next(now, j.spec.RunTime())
}

// startBy is when tasks of a job's class should have started; false if nobody said,
// or if it is too late for that.
func (n *Node) startBy(j *job, now time.Time) (time.Time, bool) {
	for _, o := range n.settings.Deployment.Objectives {
		if by := j.submittedAt.Add(settings.Seconds(o.WithinSeconds)); o.Kind == "wait" && o.Class == j.spec.Class && o.WithinSeconds > 0 && !now.After(by) {
			return by, true
		}
	}
	return time.Time{}, false
}

// promptly is when work within a guarantee should have started, of a job that
// came at a time; false if nobody said.
func (n *Node) promptly(came, now time.Time) (time.Time, bool) {
	for _, o := range n.settings.Deployment.Objectives {
		if by := came.Add(settings.Seconds(o.WithinSeconds)); o.Kind == "guarantee" && o.WithinSeconds > 0 && !now.After(by) {
			return by, true
		}
	}
	return time.Time{}, false
}
