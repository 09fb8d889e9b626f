package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// minRunsToJudge is how many tasks of a job must have completed before others of the job can count as slow; at least a
// third of the job's tasks is required as well.
const minRunsToJudge = 3

// moveSlowTasks stops tasks that run far longer than completed tasks of their job did, as on a faulty machine. They are
// started again elsewhere once they are proven to have ended.
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

// moveIfSlow stops a task that has run longer than a limit, unless its job already avoids the machine.
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
	n.markSlow(m, assignment.Machine, now)
	n.log.Info("task moved: far slower than others of its job", "task", job.Spec.UID, "index", assignment.Index,
		"machine", assignment.Machine, "ran", now.Sub(since), "limit", limit)
}
