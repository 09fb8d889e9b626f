package controller

import (
	"sync/atomic"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
	"topazhollow/internal/userapi"
)

// newBusyScenario starts a scenario in which both teams run endless and short jobs.
func newBusyScenario(t *testing.T) *faultScenario {
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	for i := range 4 {
		s.submitUntilAccepted(endlessJob(i, 2, []string{"red", "blue"}[i%2]))
	}
	for i := range 2 {
		s.submitUntilAccepted(arrayJob(i, 4, []string{"red", "blue"}[i%2]))
	}
	s.waitUntil("tasks run", func() bool { return s.checker.CountRunning() >= 8 })
	return s
}

// deliverAtNewOwner delivers the heartbeats that the machines' agents kept to all controllers as soon as a shard has
// another owner than the former one, and returns how many arrived.
func (s *faultScenario) deliverAtNewOwner(machines []*simulation.Agent, shard string, former int) (arrived int) {
	s.t.Helper()
	s.waitUntil("a new owner of "+shard, func() bool {
		owner := s.owner(shard)
		return owner >= 0 && owner != former
	})
	var sum atomic.Int64
	for _, w := range machines {
		s.inBackground(func() { sum.Add(int64(w.DeliverHeld(s.names...))) })
	}
	s.background.Wait()
	return int(sum.Load())
}

// knownMachines returns how many machines the controllers know, or -1 if they do not agree.
func (s *faultScenario) knownMachines() int {
	all := s.overviews()
	for _, o := range all {
		if o.Machines.Known != all[0].Machines.Known {
			return -1
		}
	}
	return all[0].Machines.Known
}

// TestOldHeartbeatsAtNewOwner: copies of old heartbeats, which list tasks and incarnations that have ended, reach every
// controller just as a new owner takes over; in the other case heartbeats that no controller has received are held back
// until then. No task runs twice, no ended job runs again, and no heartbeat is taken for a loss of data.
func TestOldHeartbeatsAtNewOwner(t *testing.T) {
	t.Parallel()
	for name, keep := range map[string]func(w *simulation.Agent){
		"copies": func(w *simulation.Agent) { w.CopyHeartbeats(true) },
		"held":   func(w *simulation.Agent) { w.HoldHeartbeats(3) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newBusyScenario(t)
			machines := s.cloud.Agents()
			for _, w := range machines {
				keep(w)
			}
			cancelled := endlessJob(0, 2, "red")
			s.waitUntil("heartbeats are kept", func() bool { return machines[0].CountHeld() > 2 && machines[1].CountHeld() > 2 })
			s.cancelUntilAnswered(cancelled.UID) // which the kept heartbeats list as running
			s.cloud.TerminateMachine(machines[1].Name())
			s.waitUntil("the machine is known to be gone", func() bool { return s.knownMachines() == len(s.cloud.Agents()) })
			machines[0].BeginIncarnation()
			s.submitUntilAccepted(arrayJob(20, 4, "red"))
			owner := s.awaitReadyOwner(shards.ForTeam("red"))
			s.crash(owner)
			if s.deliverAtNewOwner(machines[2:], shards.ForTeam("red"), owner)+machines[0].DeliverHeld(s.names...) == 0 {
				t.Error("no old heartbeat arrived at a new owner")
			}
			s.start(owner)
			s.awaitMembers(3)
			if machines[1].DeliverHeld(s.names...) == 0 { // also at a controller that never knew the machine
				t.Error("no old heartbeat of a machine that is gone arrived")
			}
			s.awaitEndAndCheck()
			for _, o := range s.overviews() {
				if o.Store.Epoch != 1 {
					t.Errorf("old heartbeats were taken for a loss of data: epoch %d", o.Store.Epoch)
				}
			}
		})
	}
}

// TestMachinesWithoutHeartbeats: machines cannot connect to any controller for longer than a lease, while direct
// commands reach them, a job is cancelled and, in one case, the owner crashes. Their tasks must be proven to have ended
// before they run elsewhere.
func TestMachinesWithoutHeartbeats(t *testing.T) {
	t.Parallel()
	for name, crashes := range map[string]bool{"the owner does not crash": false, "the owner crashes": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newBusyScenario(t)
			short := arrayJob(30, 6, "red")
			silent := s.cloud.Agents()[:2]
			for _, w := range silent {
				w.DropHeartbeats(true)
			}
			s.inBackground(func() { s.submitUntilAccepted(short) })
			on := s.runningOn(silent)
			if len(on) == 0 {
				t.Fatal("the machines without heartbeats run no endless job")
			}
			s.cancelUntilAnswered(on[0])
			if crashes {
				owner := s.awaitReadyOwner(shards.ForTeam("red"))
				s.crash(owner)
				s.start(owner)
			}
			s.waitUntil("the machines' leases have expired", func() bool { return len(s.runningOn(silent)) == 0 })
			s.waitUntil("their tasks run again", func() bool { return s.checker.CountRunning() >= 6 })
			for _, w := range silent {
				w.DropHeartbeats(false)
			}
			s.awaitEndAndCheck()
		})
	}
}

// runningOn lists the endless jobs that have tasks running on any of some machines.
func (s *faultScenario) runningOn(machines []*simulation.Agent) (jobs []string) {
	seen := map[string]bool{}
	for _, w := range machines {
		for _, task := range w.RunningTasks() {
			if uid, _, _ := protocol.SplitTask(task); jobNumber(uid) >= firstEndlessJob && !seen[uid] {
				seen[uid] = true
				jobs = append(jobs, uid)
			}
		}
	}
	return jobs
}

// firstWriteDelay is the delay of each controller's first write, so that a write is certain to be applied late.
const firstWriteDelay = 300 * time.Millisecond

// delayWrites makes the state service apply the first write of each controller, and a random half of the others, late.
func (s *faultScenario) delayWrites() {
	for i, d := range s.storeEndpoints {
		rng := newRand(uint64(i))
		first := true
		d.DelayTransactions(func() time.Duration {
			if first {
				first = false
				return firstWriteDelay
			}
			return time.Duration(rng.IntN(2)) * time.Duration(300+rng.IntN(2500)) * time.Millisecond
		})
	}
}

// countLateWrites counts the delayed writes that the state service has applied, or rejected because of newer ones.
func (s *faultScenario) countLateWrites() (late int) {
	for _, d := range s.storeEndpoints {
		applied, conflicted := d.CountDelayed()
		late += applied + conflicted
	}
	return late
}

// crashBeforeWrite crashes controllers while the first of them accepts a job. The state service applies the acceptance
// once they have ended.
func (s *faultScenario) crashBeforeWrite(job *protocol.Submission, crashing ...int) {
	s.t.Helper()
	first := crashing[0]
	endpoint := s.storeEndpoints[first]
	endpoint.HoldTransactions(func(txn *protocol.Txn) bool { return writesKey(txn, userapi.ActiveJobPrefix+job.UID) })
	s.waitUntil("the acceptance is under way", func() bool {
		s.inBackground(func() { s.users.Submit(first, job) })
		return endpoint.CountHeld() > 0
	})
	for _, i := range crashing {
		s.crash(i)
	}
	endpoint.HoldTransactions(nil)
	if endpoint.ReleaseTransactions() == 0 {
		s.t.Error("no write was applied late after the owner crashed")
	}
	s.inBackground(func() { s.submitUntilAccepted(job) })
}

// TestNewMachinesWhileWritesLag: new machines, which boot at once, are given tasks while writes to the state service
// are applied late, and the owner, or all controllers, crash just then, before a write of the owner is applied. The
// successor must know every machine that may run a task.
func TestNewMachinesWhileWritesLag(t *testing.T) {
	t.Parallel()
	for name, all := range map[string]bool{"the owner crashes": false, "all controllers crash": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, taskRunTime)
			s.awaitMembers(3)
			s.delayWrites()
			for i := range 4 {
				s.inBackground(func() { s.submitUntilAccepted(endlessJob(i, 3, []string{"red", "blue"}[i%2])) })
				s.inBackground(func() { s.submitUntilAccepted(arrayJob(i, 3, []string{"red", "blue"}[i%2])) })
			}
			s.waitUntil("tasks run on new machines and a write was applied late", func() bool {
				return s.checker.Starts() > 0 && s.countLateWrites() > 0
			})
			owner := s.awaitReadyOwner(shards.ForTeam("red"))
			crashing := []int{owner}
			if all {
				crashing = append(crashing, (owner+1)%3, (owner+2)%3)
			}
			s.crashBeforeWrite(arrayJob(4, 3, "red"), crashing...)
			s.delayWrites()
			for _, i := range crashing {
				s.start(i)
			}
			s.waitUntil("tasks run again", func() bool { return s.checker.CountRunning() >= 8 })
			for _, d := range s.storeEndpoints {
				d.DelayTransactions(nil)
			}
			s.awaitEndAndCheck()
		})
	}
}
