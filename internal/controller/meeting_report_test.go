package controller

import (
	"sync/atomic"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
)

// busyScene is a scene in which both teams run endless and short work.
func busyScene(t *testing.T) *scene {
	s := openScene(t, sceneRun)
	s.members(3)
	for i := range 4 {
		s.enter(endless(i, 2, []string{"red", "blue"}[i%2]))
	}
	for i := range 2 {
		s.enter(arrayJob(i, 4, []string{"red", "blue"}[i%2]))
	}
	s.waitUntil("machines work", func() bool { return s.checker.CountOnMachines() >= 8 })
	return s
}

// deliverAt delivers what machines kept of their reports to all controllers as soon as another controller than the
// former one owns an item, and gives how many arrived.
func (s *scene) deliverAt(machines []*simulation.Agent, item string, former int) (arrived int) {
	s.t.Helper()
	s.waitUntil("a new owner of "+item, func() bool {
		owner := s.owner(item)
		return owner >= 0 && owner != former
	})
	var sum atomic.Int64
	for _, w := range machines {
		s.beside(func() { sum.Add(int64(w.DeliverHeld(s.names...))) })
	}
	s.behind.Wait()
	return int(sum.Load())
}

// known is how many machines the controllers know, or -1 if they do not agree.
func (s *scene) known() int {
	all := s.overviews()
	for _, o := range all {
		if o.Machines.Known != all[0].Machines.Known {
			return -1
		}
	}
	return all[0].Machines.Known
}

// TestOldReportsAtANewLeader: copies of old reports, of tasks that ended and sessions that are over, reach every
// controller just as a new leader begins. Or reports that nobody had are held back until it has acted. Nothing runs
// twice, nothing that ended comes back, and no report is taken for a loss of data.
func TestOldReportsAtANewLeader(t *testing.T) {
	t.Parallel()
	for name, keep := range map[string]func(w *simulation.Agent){
		"copies": func(w *simulation.Agent) { w.CopyHeartbeats(true) },
		"held":   func(w *simulation.Agent) { w.HoldHeartbeats(3) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := busyScene(t)
			machines := s.cloud.Agents()
			for _, w := range machines {
				keep(w)
			}
			gone := endless(0, 2, "red")
			s.waitUntil("reports are kept", func() bool { return machines[0].CountHeld() > 2 && machines[1].CountHeld() > 2 })
			s.cancel(gone.UID) // which the reports list as running
			s.cloud.TakeMachine(machines[1].Name())
			s.waitUntil("the machine is known to be gone", func() bool { return s.known() == len(s.cloud.Agents()) })
			machines[0].BeginIncarnation()
			s.enter(arrayJob(20, 4, "red"))
			leader := s.leader(shards.ForTeam("red"))
			s.crash(leader)
			if s.deliverAt(machines[2:], shards.ForTeam("red"), leader)+machines[0].DeliverHeld(s.names...) == 0 {
				t.Error("no old report arrived at a new leader")
			}
			s.start(leader)
			s.members(3)
			if machines[1].DeliverHeld(s.names...) == 0 { // also at one that never knew the machine
				t.Error("no old report of a machine that is gone arrived")
			}
			s.settle()
			for _, o := range s.overviews() {
				if o.Store.Epoch != 1 {
					t.Errorf("old reports were taken for a loss: epoch %d", o.Store.Epoch)
				}
			}
		})
	}
}

// TestMuteMachines: machines can open no connection to any controller for longer than a lease, while direct commands
// reach them, jobs are cancelled and the leader ends. What they ran is proven off before it runs elsewhere.
func TestMuteMachines(t *testing.T) {
	t.Parallel()
	for name, ends := range map[string]bool{"leader lives": false, "leader ends": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := busyScene(t)
			short := arrayJob(30, 6, "red")
			mute := s.cloud.Agents()[:2]
			for _, w := range mute {
				w.DropHeartbeats(true)
			}
			s.beside(func() { s.enter(short) })
			on := s.runningOn(mute)
			if len(on) == 0 {
				t.Fatal("the mute machines run nothing")
			}
			s.cancel(on[0])
			if ends {
				leader := s.leader(shards.ForTeam("red"))
				s.crash(leader)
				s.start(leader)
			}
			s.waitUntil("the mute machines' leases are over", func() bool { return len(s.runningOn(mute)) == 0 })
			s.waitUntil("what ran there runs again", func() bool { return s.checker.CountOnMachines() >= 6 })
			for _, w := range mute {
				w.DropHeartbeats(false)
			}
			s.settle()
		})
	}
}

// runningOn lists the endless jobs that run on some machines.
func (s *scene) runningOn(machines []*simulation.Agent) (jobs []string) {
	seen := map[string]bool{}
	for _, w := range machines {
		for _, task := range w.RunningTasks() {
			if uid, _, _ := protocol.SplitTask(task); jobNumber(uid) >= firstEndless && !seen[uid] {
				seen[uid] = true
				jobs = append(jobs, uid)
			}
		}
	}
	return jobs
}

// TestNewMachinesWhileWritesLag: machines are up at once and get work while writes to the state service lag, and the
// leader ends right then. Every machine that may run something is known to its successor.
func TestNewMachinesWhileWritesLag(t *testing.T) {
	t.Parallel()
	for name, all := range map[string]bool{"the leader ends": false, "all end": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := openScene(t, sceneRun)
			s.members(3)
			for i, d := range s.doors {
				rng := draws(uint64(i))
				d.DelayTransactions(func() time.Duration {
					return time.Duration(rng.IntN(2)) * time.Duration(300+rng.IntN(2500)) * time.Millisecond
				})
			}
			for i := range 4 {
				s.beside(func() { s.enter(endless(i, 3, []string{"red", "blue"}[i%2])) })
				s.beside(func() { s.enter(arrayJob(i, 3, []string{"red", "blue"}[i%2])) })
			}
			s.waitUntil("new machines work", func() bool { return s.checker.Starts() > 0 })
			leader := s.owner(shards.ForTeam("red"))
			for i := range s.nodes {
				if all || i == leader {
					s.crash(i)
				}
			}
			lagged := 0
			for i := range s.nodes {
				if s.nodes[i] == nil {
					s.start(i)
				}
				applied, met := s.doors[i].CountDelayed()
				lagged += applied + met
			}
			s.waitUntil("work goes on", func() bool { return s.checker.CountOnMachines() >= 8 })
			for _, d := range s.doors {
				d.DelayTransactions(nil)
			}
			s.settle()
			if lagged == 0 {
				t.Error("no write lagged before the leader ended")
			}
		})
	}
}
