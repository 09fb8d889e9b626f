package controller

import (
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// evictFromNoticedMachines stops tasks on machines whose eviction the cloud has announced, so that the tasks start
// elsewhere: tasks with checkpoints, gangs as a whole, and replicas of services. Other tasks may still complete in
// time.
func (n *Node) evictFromNoticedMachines(shard *shards.Owned) {
	for _, name := range shard.Team().Assignments().Machines() {
		m := n.machines[name]
		if m == nil || m.status == nil || !m.status.Notice {
			continue
		}
		shard.Team().Assignments().On(name, func(assignment jobstate.Assignment) {
			job := shard.Team().Job(assignment.Job)
			switch {
			case job == nil:
			case job.Spec.Kind == protocol.Gang:
				shard.Team().StopJob(job, job.Spec.CheckpointSeconds)
			case job.Spec.Kind == protocol.Service || job.Spec.CheckpointEverySeconds > 0:
				shard.Team().Stop(assignment.Ref(), job.Spec.CheckpointSeconds)
			}
		})
	}
}
