package controller

import (
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// evictFromNoticedMachines moves work off machines that the cloud announced to take away:
// what can save, gangs as a whole, and replicas. Other tasks may yet complete.
func (n *Node) evictFromNoticedMachines(it *shard) {
	for _, name := range it.team.Machines() {
		m := n.machines[name]
		if m == nil || m.status == nil || !m.status.Notice {
			continue
		}
		it.team.On(name, func(h jobstate.Assignment) {
			j := it.team.Job(h.Job)
			switch {
			case j == nil:
			case j.Spec.Kind == protocol.Gang:
				it.team.StopJob(j, j.Spec.Save)
			case j.Spec.Kind == protocol.Service || j.Spec.Checkpoint > 0:
				it.team.Stop(h.Ref(), j.Spec.Save)
			}
		})
	}
}
