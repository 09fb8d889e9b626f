package controller

import (
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// evictFromNoticedMachines moves work off machines that the cloud announced to take away:
// what can save, gangs as a whole, and replicas. Other tasks may yet complete.
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
