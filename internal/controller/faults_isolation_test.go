package controller

import (
	"slices"
	"testing"
	"time"

	"topazhollow/internal/shards"
)

// TestIsolatedZone: a zone is cut off for longer than an agent's lease: its controller from the state service and from
// its peers, and its machines from all other controllers. A job is cancelled meanwhile through another controller. The
// tasks of the other jobs continue in the zone and are started nowhere else.
func TestIsolatedZone(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	saturateQuotas(s)
	inside, cut := s.awaitReadyOwner(shards.ForTeam("red")), s.cloud.Agents()[:2]
	cancelled := s.runningOn(cut)[0]
	for _, w := range cut {
		w.LimitReach(s.names[inside])
	}
	s.storeEndpoints[inside].RefuseAll(true)
	s.peerPaths.Isolate(inside, true)
	began := time.Now()
	s.cancelUntilAnswered(cancelled)
	s.waitUntil("the cut outlasts a lease", func() bool { return time.Since(began) > 5*time.Second })
	if living := s.runningOn(cut); len(living) == 0 || slices.Contains(living, cancelled) && len(living) == 1 {
		t.Errorf("no uncancelled job continues in the isolated zone, which runs %v", living)
	}
	s.storeEndpoints[inside].RefuseAll(false)
	s.peerPaths.Isolate(inside, false)
	for _, w := range cut {
		w.LimitReach()
	}
	s.awaitMembers(3)
	s.awaitQuotasUsed()
	s.awaitEndAndCheck()
}

// TestMachineResumesWithinItsLease: machines hang for less than their lease while starts and stops are in flight to
// them, jobs are cancelled and the owner crashes; then they execute the delayed commands. No task runs twice, and no
// task of a cancelled job remains.
func TestMachineResumesWithinItsLease(t *testing.T) {
	t.Parallel()
	for name, crashes := range map[string]bool{"the owner does not crash": false, "the owner crashes": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newBusyScenario(t)
			machines := s.cloud.Agents()
			for _, w := range machines {
				w.Hang(true)
			}
			cancelled := s.runningOn(machines)[0]
			s.inBackground(func() { s.cancelUntilAnswered(cancelled) })
			for i := range 2 {
				s.inBackground(func() { s.submitUntilAccepted(arrayJob(40+i, 3, []string{"red", "blue"}[i])) })
			}
			s.waitUntil("commands wait at machines", func() bool { delayed, _ := countDelayedCommands(machines); return delayed > 0 })
			if crashes {
				owner := s.awaitReadyOwner(shards.ForTeam("red"))
				s.crash(owner)
				s.start(owner)
			}
			for _, w := range machines {
				w.Hang(false)
			}
			if _, arrived := countDelayedCommands(machines); arrived == 0 {
				t.Error("no delayed command arrived at a machine that resumed")
			}
			s.awaitEndAndCheck()
		})
	}
}

// TestCancellationAsOwnerIsRefused: jobs are cancelled just as the state service refuses their owner, and a second
// later the state service is down for all, for longer than a cancellation may take.
func TestCancellationAsOwnerIsRefused(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	jobs := saturateQuotas(s)
	owner := s.awaitReadyOwner(shards.ForTeam("red"))
	s.storeEndpoints[owner].RefuseAll(true)
	for i, job := range jobs {
		if i%2 == 0 {
			s.inBackground(func() { s.cancelUntilAnswered(job.UID) })
		}
	}
	time.Sleep(time.Second)
	s.state.SetOutage(true)
	began := time.Now()
	requested := 0
	s.mu.Lock()
	for _, job := range jobs {
		if s.cancelled[job.UID] {
			requested++
		}
	}
	s.mu.Unlock()
	s.waitUntil("the outage outlasts a cancellation", func() bool { return time.Since(began) > s.checker.CancelTimeout+2*time.Second })
	s.state.SetOutage(false)
	s.storeEndpoints[owner].RefuseAll(false)
	if requested == 0 {
		t.Error("no cancellation was requested before the outage")
	}
	s.background.Wait()
	s.awaitMembers(3)
	s.awaitQuotasUsed()
	s.awaitEndAndCheck()
}
