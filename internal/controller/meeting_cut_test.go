package controller

import (
	"slices"
	"testing"
	"time"

	"topazhollow/internal/shards"
)

// TestCutZone: a controller is cut off with machines of its zone for longer than a worker's lease: from the state
// service, from its peers, and the machines from all other controllers. Jobs are cancelled meanwhile through another
// one. What was not cancelled lives on there and is started nowhere else.
func TestCutZone(t *testing.T) {
	t.Parallel()
	s := openScene(t, sceneRun)
	s.members(3)
	crowd(s)
	inside, cut := s.leader(shards.ForTeam("red")), s.cloud.Agents()[:2]
	gone := s.runningOn(cut)[0]
	for _, w := range cut {
		w.LimitReach(s.names[inside])
	}
	s.doors[inside].RefuseAll(true)
	s.pipes.Isolate(inside, true)
	began := time.Now()
	s.cancel(gone)
	s.waitUntil("the cut outlasts a lease", func() bool { return time.Since(began) > 5*time.Second })
	if living := s.runningOn(cut); len(living) == 0 || slices.Contains(living, gone) && len(living) == 1 {
		t.Errorf("nothing that was not cancelled lives on in the cut zone, but %v", living)
	}
	s.doors[inside].RefuseAll(false)
	s.pipes.Isolate(inside, false)
	for _, w := range cut {
		w.LimitReach()
	}
	s.members(3)
	s.atLimits()
	s.settle()
}

// TestMachineGoesOnWithinItsLease: a machine hangs for less than its lease while starts and stops are on their way to
// it, jobs are cancelled and the leader ends; then it executes what was held. Nothing runs twice, and nothing cancelled
// stays.
func TestMachineGoesOnWithinItsLease(t *testing.T) {
	t.Parallel()
	for name, ends := range map[string]bool{"leader lives": false, "leader ends": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := busyScene(t)
			machines := s.cloud.Agents()
			for _, w := range machines {
				w.Hang(true)
			}
			gone := s.runningOn(machines)[0]
			s.beside(func() { s.cancel(gone) })
			for i := range 2 {
				s.beside(func() { s.enter(arrayJob(40+i, 3, []string{"red", "blue"}[i])) })
			}
			s.waitUntil("commands wait at machines", func() bool { held, _ := lateCommands(machines); return held > 0 })
			if ends {
				leader := s.leader(shards.ForTeam("red"))
				s.crash(leader)
				s.start(leader)
			}
			for _, w := range machines {
				w.Hang(false)
			}
			if _, arrived := lateCommands(machines); arrived == 0 {
				t.Error("nothing that was held was met by a machine that went on")
			}
			s.settle()
		})
	}
}

// TestCancelledAsTheLeaderIsRefused: jobs are cancelled at the very moment at which the state service refuses their
// leader alone, and a second later it is out for longer than a cancellation may take.
func TestCancelledAsTheLeaderIsRefused(t *testing.T) {
	t.Parallel()
	s := openScene(t, sceneRun)
	s.members(3)
	jobs := crowd(s)
	leader := s.leader(shards.ForTeam("red"))
	s.doors[leader].RefuseAll(true)
	for i, job := range jobs {
		if i%2 == 0 {
			s.beside(func() { s.cancel(job.UID) })
		}
	}
	time.Sleep(time.Second)
	s.state.SetOutage(true)
	began := time.Now()
	confirmed := 0
	s.mu.Lock()
	for _, job := range jobs {
		if s.cancelled[job.UID] {
			confirmed++
		}
	}
	s.mu.Unlock()
	s.waitUntil("the outage outlasts a cancellation", func() bool { return time.Since(began) > s.checker.Cancel+2*time.Second })
	s.state.SetOutage(false)
	s.doors[leader].RefuseAll(false)
	if confirmed == 0 {
		t.Error("nothing was cancelled at that moment")
	}
	s.behind.Wait()
	s.members(3)
	s.atLimits()
	s.settle()
}
