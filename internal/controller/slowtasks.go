package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// moveSlowTasks stops tasks that take far longer than their kin took, to start them
// anew elsewhere once they are proven off: as when a machine is faulty.
func (n *Node) moveSlowTasks(it *shards.Owned, now time.Time) {
	it.Team().Jobs(func(tj *jobstate.Job) {
		uid := tj.Spec.UID
		j := n.jobs[uid]
		if j == nil || j.completedRuns < max(3, tj.Spec.Tasks/3) || tj.Spec.Kind != protocol.JobArray {
			return
		}
		limit := max(j.longestRun, tj.Spec.RunTime()) * 5 / 2
		it.Team().Running(tj, func(h jobstate.Assignment) {
			m := n.machines[h.Machine]
			if m == nil || tj.Avoids(h.Machine, now) {
				return
			}
			since, ok := m.runningSince[h.Ref()]
			if ok && now.Sub(since) > limit && it.Team().Move(h, tj.Spec.Save, now) {
				m.slowAt = now
				n.log.Info("task slower than its kin", "task", uid, "index", h.Index, "machine", h.Machine, "ran", now.Sub(since), "kin", j.longestRun)
			}
		})
	})
}
