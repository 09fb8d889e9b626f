package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// minRunsToJudge is how many tasks of a job must have run to completion before others of it count as slow, beside
// a third of all.
const minRunsToJudge = 3

// moveSlowTasks stops tasks that take far longer than others of their job took, to start them
// anew elsewhere once they are proven off: as when a machine is faulty.
func (n *Node) moveSlowTasks(shard *shards.Owned, now time.Time) {
	shard.Team().Jobs(func(job *jobstate.Job) {
		known := n.jobs[job.Spec.UID]
		if known == nil || known.completedRuns < max(minRunsToJudge, job.Spec.Tasks/3) || job.Spec.Kind != protocol.JobArray {
			return
		}
		limit := max(known.longestRun, job.Spec.RunTime()) * 5 / 2
		job.Running(func(assignment jobstate.Assignment) {
			n.moveIfSlow(shard, job, assignment, limit, now)
		})
	})
}

// moveIfSlow stops a task that has run longer than a limit, unless its job avoids the machine already.
func (n *Node) moveIfSlow(shard *shards.Owned, job *jobstate.Job, assignment jobstate.Assignment,
	limit time.Duration, now time.Time) {
	m := n.machines[assignment.Machine]
	if m == nil || job.Avoids(assignment.Machine, now) {
		return
	}
	since, running := n.scheduler.RunningSince(assignment.Machine, assignment.Ref())
	if !running || now.Sub(since) <= limit || !shard.Team().Migrate(assignment, job.Spec.CheckpointSeconds, now) {
		return
	}
	m.slowAt = now
	n.log.Info("task far slower than others of its job", "task", job.Spec.UID, "index", assignment.Index,
		"machine", assignment.Machine, "ran", now.Sub(since), "limit", limit)
}
