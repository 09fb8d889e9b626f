package controller

import (
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// evictFromNoticedMachines moves work off machines that the cloud announced to take away:
// what can save, gangs as a whole, and replicas. Other tasks may yet complete.
func (n *Node) evictFromNoticedMachines(it *shards.Owned) {
	for _, name := range it.Team().Machines() {
		m := n.machines[name]
		if m == nil || m.status == nil || !m.status.Notice {
			continue
		}
		it.Team().On(name, func(h jobstate.Assignment) {
			j := it.Team().Job(h.Job)
			switch {
			case j == nil:
			case j.Spec.Kind == protocol.Gang:
				it.Team().StopJob(j, j.Spec.Save)
			case j.Spec.Kind == protocol.Service || j.Spec.Checkpoint > 0:
				it.Team().Stop(h.Ref(), j.Spec.Save)
			}
		})
	}
}
