package controller

import (
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// countOnMachine counts the tasks of a job that a machine runs.
func countOnMachine(w *simulation.Agent, job string) (count int) {
	for _, task := range w.RunningTasks() {
		if uid, _, _ := protocol.SplitTask(task); uid == job {
			count++
		}
	}
	return count
}

// executeOneCommand makes an agent execute one request with commands and never any later one, and drops its heartbeats.
// The agent then hangs within its lease, with its tasks running.
func executeOneCommand(w *simulation.Agent) {
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

// TestCancelledTasksOfHungMachineCountAfterFullRestart: a team's job at the team's limit is cancelled while one of its
// machines is unreachable, and all controllers crash, so that none remembers the job. The machine answers the first
// request of the new owner, which ends the barrier, and hangs before its tasks are stopped. The team's next job may use
// only the rest of the limit until these tasks are gone, and then the whole limit.
func TestCancelledTasksOfHungMachineCountAfterFullRestart(t *testing.T) {
	r := newTestClusterWith(t, time.Hour, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 12, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 30})
	first, next, other := arrayJob(700, 12, "red"), arrayJob(702, 12, "red"), arrayJob(704, 5, "blue")
	r.submit(first)
	r.waitUntil("the first job fills the limit", func() bool { return r.checker.CountRunningOfJob(first.UID) == 12 })
	r.submit(other) // its machines have room for tasks that must not start yet
	r.waitUntil("another team's job runs", func() bool { return r.checker.CountRunningOfJob(other.UID) == 5 })
	r.submit(next)
	var hung *simulation.Agent
	for _, w := range r.cloud.Agents() {
		if countOnMachine(w, first.UID) > 0 {
			hung = w
		}
	}
	left := countOnMachine(hung, first.UID)
	hung.DisconnectNetwork(true)
	r.withdraw(first.UID)
	for i := range r.nodes {
		r.crash(i)
	}
	executeOneCommand(hung)
	hung.DisconnectNetwork(false)
	for i := range r.nodes {
		r.start(i)
	}
	r.waitUntil("the next job runs beside tasks of the cancelled one", func() bool {
		return r.checker.CountRunningOfJob(next.UID) == 12-left && r.checker.CountRunningOfJob(first.UID) == left
	})
	r.waitUntil("the next job has the whole limit", func() bool { return r.checker.CountRunningOfJob(next.UID) == 12 })
}
