package controller

import (
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// onMachine counts the tasks of a job that a machine runs.
func onMachine(w *simulation.Agent, job string) (count int) {
	for _, task := range w.RunningTasks() {
		if uid, _, _ := protocol.SplitTask(task); uid == job {
			count++
		}
	}
	return count
}

// answerOnce has a machine execute one direct command and hold up all later ones for good, with no report getting
// through: it then hangs within its lease, with its tasks on it.
func answerOnce(w *simulation.Agent) {
	w.DropHeartbeats(true)
	answered := false
	w.DelayCommands(func(*protocol.DirectCommands) time.Duration {
		if answered {
			return time.Hour
		}
		answered = true
		return 0
	})
}

// TestCancelledTasksOfAHungMachineCountAfterAllEnded: a team's job at its limit is cancelled while one of its machines
// can't be reached, and all controllers end. Nobody remembers the job. The machine answers the first direct command of the
// new owner, which ends the barrier, and hangs before its tasks are stopped. The team's next job may use only what
// is left of the limit until they are gone, and all of it then.
func TestCancelledTasksOfAHungMachineCountAfterAllEnded(t *testing.T) {
	r := openRegion(t, time.Hour, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 12, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 30})
	first, next, other := arrayJob(700, 12, "red"), arrayJob(702, 12, "red"), arrayJob(704, 5, "blue")
	r.submit(first)
	r.waitUntil("the first job fills the limit", func() bool { return r.checker.CountOfJob(first.UID) == 12 })
	r.submit(other) // its machines have room for what should not start yet
	r.waitUntil("another team's job runs", func() bool { return r.checker.CountOfJob(other.UID) == 5 })
	r.submit(next)
	var hung *simulation.Agent
	for _, w := range r.cloud.Agents() {
		if onMachine(w, first.UID) > 0 {
			hung = w
		}
	}
	left := onMachine(hung, first.UID)
	hung.DisconnectNetwork(true)
	r.withdraw(first.UID)
	for i := range r.nodes {
		r.crash(i)
	}
	answerOnce(hung)
	hung.DisconnectNetwork(false)
	for i := range r.nodes {
		r.start(i)
	}
	r.waitUntil("the next job runs beside tasks of the cancelled one", func() bool {
		return r.checker.CountOfJob(next.UID) == 12-left && r.checker.CountOfJob(first.UID) == left
	})
	r.waitUntil("the next job has the whole limit", func() bool { return r.checker.CountOfJob(next.UID) == 12 })
}
