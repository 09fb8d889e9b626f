package controller

import (
	"sync/atomic"
	"testing"
	"time"

	"topazhollow/internal/history"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/wait"
)

// TestCancellationDuringOwnershipChange: jobs are cancelled in the seconds in which a controller's teams are taken over
// by another one and return. A cancellation that either controller confirmed must hold at both, and the job's tasks
// must end in time.
func TestCancellationDuringOwnershipChange(t *testing.T) {
	t.Parallel()
	for name, pause := range map[string]time.Duration{"it returns at once": 0, "it returns later": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, taskRunTime)
			s.awaitMembers(3)
			jobs := saturateQuotas(s)
			owner := s.awaitReadyOwner(shards.ForTeam("red"))
			var answered atomic.Int64 // cancellations
			rng := newRand(9)
			for _, job := range jobs {
				after := time.Duration(rng.IntN(8000)) * time.Millisecond
				s.inBackground(func() {
					time.Sleep(after)
					s.cancelUntilAnswered(job.UID)
					answered.Add(1)
				})
			}
			before := answered.Load()
			s.crash(owner)
			time.Sleep(pause)
			s.start(owner)
			s.waitUntil("it owns the team again", func() bool { return s.ownsReadyShard(s.names[owner], shards.ForTeam("red")) })
			during := answered.Load() - before // while another controller or none owned the team
			s.awaitEndAndCheck()
			if during == 0 {
				t.Error("no job was cancelled during the change of ownership")
			}
		})
	}
}

// TestRepeatedOwnerChanges: owners change ten times in a row, in one case half of the times during an outage of the
// state service, while jobs are accepted, run and cancelled.
func TestRepeatedOwnerChanges(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]bool{"without an outage": false, "during outages": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, taskRunTime)
			s.awaitMembers(3)
			rng := newRand(11)
			crashes := map[int]int{}
			for round := range 10 {
				job, cancelled := unevenJob(round, 3, []string{"red", "blue"}[round%2]), endlessJob(round, 2, []string{"red", "blue"}[round%2])
				s.inBackground(func() { s.submitUntilAccepted(job) })
				s.inBackground(func() { s.submitUntilAccepted(cancelled); s.cancelUntilAnswered(cancelled.UID) })
				owner := s.awaitReadyOwner(shards.ForTeam([]string{"red", "blue"}[round%2]))
				out := outage && round%2 == 1
				s.state.SetOutage(out)
				s.crash(owner)
				crashes[owner]++
				time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
				s.start(owner)
				if out {
					time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
					s.state.SetOutage(false)
				}
			}
			s.awaitEndAndCheck()
			if len(crashes) < 2 {
				t.Errorf("owners crashed only at the controllers %v", crashes)
			}
		})
	}
}

// TestAllControllersDownBeyondLease: all controllers are down for longer than an agent's lease and restart at different
// times; a job is cancelled as soon as one of them answers.
func TestAllControllersDownBeyondLease(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	jobs := saturateQuotas(s)
	for i := range s.nodes {
		s.crash(i)
	}
	s.waitUntil("all leases have expired", func() bool { return s.checker.CountRunning() == 0 })
	for i := range s.nodes {
		s.start(i)
		if i == 0 {
			s.inBackground(func() { s.cancelUntilAnswered(jobs[0].UID) })
			time.Sleep(700 * time.Millisecond)
		}
	}
	s.background.Wait()
	s.awaitQuotasUsed()
	s.awaitEndAndCheck()
}

// TestHandOverThenSingleRestart: ownership changes to another controller and back, then all controllers crash, and one
// restarts within a second, alone at first, while users continue to cancel and query jobs.
func TestHandOverThenSingleRestart(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	jobs := saturateQuotas(s)
	owner := s.awaitReadyOwner(shards.ForTeam("blue"))
	s.crash(owner)
	s.start(owner)
	s.inBackground(func() { s.cancelUntilAnswered(jobs[0].UID) })
	s.waitUntil("it owns the team again", func() bool { return s.ownsReadyShard(s.names[owner], shards.ForTeam("blue")) })
	for i := range s.nodes {
		s.crash(i)
	}
	s.start(owner)
	for _, job := range jobs[1:4] {
		s.inBackground(func() { s.cancelUntilAnswered(job.UID) })
	}
	s.waitUntil("it owns all teams alone", func() bool { return s.ownsReadyShard(s.names[owner], shards.ForTeam("red")) })
	if got := len(s.overviews()); got != 1 {
		t.Errorf("%d controllers answer", got)
	}
	s.background.Wait()
	for i := range s.nodes {
		if i != owner {
			s.start(i)
		}
	}
	s.awaitMembers(3)
	s.awaitQuotasUsed()
	s.awaitEndAndCheck()
}

// cancelOnMachine submits an endless job and cancels it once its task is on a machine.
func (s *faultScenario) cancelOnMachine(job *protocol.Submission) {
	s.submitUntilAccepted(job)
	s.awaitOrFail("a task of "+job.UID+" is on a machine", func() bool { return s.checker.CountRunningOfJob(job.UID) > 0 })
	s.cancelUntilAnswered(job.UID)
}

// cancelWhenDone submits a job and requests its cancellation once a controller has answered that it is done.
func (s *faultScenario) cancelWhenDone(job *protocol.Submission) {
	s.submitUntilAccepted(job)
	s.awaitOrFail(job.UID+" is done", func() bool {
		status, state := s.users.Ask(0, job.UID)
		return status == 200 && state == protocol.Done
	})
	s.cancelUntilAnswered(job.UID)
}

// awaitOrFail waits in the background until a condition holds, and fails the test if a user would no longer wait.
func (s *faultScenario) awaitOrFail(what string, holds func() bool) {
	ctx, cancel := userDeadline(s.t)
	defer cancel()
	for !holds() {
		if !wait.For(ctx, 20*time.Millisecond) {
			s.t.Errorf("timed out waiting for: %s", what)
			return
		}
	}
}

// cancellationAnswers returns the states with which the cancellations of some jobs were answered, and their numbers.
func (s *faultScenario) cancellationAnswers(of func(uid string) bool) map[protocol.JobState]int {
	answers := map[protocol.JobState]int{}
	for _, c := range s.users.Log().Calls() {
		if c.Kind == history.Cancel && c.Status == 200 && of(c.Job) {
			answers[c.State]++
		}
	}
	return answers
}

// TestManySmallJobs: jobs of one task are submitted in quick succession, and a quarter of them are cancelled at random
// times, while the owner crashes once and the cloud takes a machine away. Some more are cancelled when they are done,
// and endless ones when they are on a machine.
func TestManySmallJobs(t *testing.T) {
	t.Parallel()
	const jobs, every = 240, 40 * time.Millisecond
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	rng := newRand(12)
	done := map[string]bool{} // jobs that are cancelled when they are done
	for i := range jobs {
		job, cancels := arrayJob(i, 1, []string{"red", "blue"}[i%2]), i%4 == 0
		after := time.Duration(rng.IntN(900)) * time.Millisecond
		switch {
		case i%24 == 1:
			done[job.UID] = true
			s.inBackground(func() { s.cancelWhenDone(job) })
		default:
			s.inBackground(func() {
				s.submitUntilAccepted(job)
				if cancels {
					time.Sleep(after)
					s.cancelUntilAnswered(job.UID)
				}
			})
		}
		switch i {
		case jobs / 3:
			owner := s.awaitReadyOwner(shards.ForTeam("red"))
			s.crash(owner)
			s.start(owner)
		case jobs / 2:
			s.cloud.TerminateMachine(s.cloud.Agents()[0].Name())
		}
		if i%24 == 13 {
			s.inBackground(func() { s.cancelOnMachine(endlessJob(i, 1, "blue")) })
		}
		time.Sleep(every)
	}
	s.awaitEndAndCheck()
	endless := func(uid string) bool { return jobNumber(uid) >= firstEndlessJob }
	if got := s.cancellationAnswers(endless); got[protocol.Cancelled] < jobs/24 || len(got) != 1 {
		t.Errorf("the cancellations of jobs with a task on a machine were answered with %v", got)
	}
	if got := s.cancellationAnswers(func(uid string) bool { return done[uid] }); got[protocol.Done] < jobs/24 || len(got) != 1 {
		t.Errorf("the cancellations of jobs that were done were answered with %v", got)
	}
}

// TestOneZoneJobsLoseMachines: arrays whose tasks must share a zone, and jobs bound to one, lose machines one after the
// other, in one case with a change of owner each time. No task may start in another zone while one is on a machine.
func TestOneZoneJobsLoseMachines(t *testing.T) {
	t.Parallel()
	for name, crashes := range map[string]bool{"the owner does not crash": false, "the owner crashes": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, taskRunTime)
			s.awaitMembers(3)
			west := "west"
			var jobs []*protocol.Submission
			for i := range 4 {
				job := endlessJob(i, 3, []string{"red", "blue"}[i%2])
				job.Spot = true
				if i < 2 {
					job.OneZone = true
				} else {
					job.Zone = &west
				}
				jobs = append(jobs, job)
				s.submitUntilAccepted(job)
			}
			s.waitUntil("all run", func() bool { return s.checker.CountRunning() == 12 })
			for round := range 3 {
				started := s.checker.Starts()
				machines := s.machinesOf(jobs[round%2].UID)
				if len(machines) == 0 {
					t.Fatal("a job runs on no machine")
				}
				if round == 1 {
					machines[0].DisconnectNetwork(true)
					defer machines[0].DisconnectNetwork(false)
				} else {
					s.cloud.TerminateMachine(machines[0].Name())
				}
				if crashes {
					owner := s.awaitReadyOwner(shards.ForTeam("red"))
					s.crash(owner)
					s.start(owner)
				}
				s.waitUntil("all run again", func() bool { return s.checker.Starts() > started && s.checker.CountRunning() == 12 })
			}
			s.awaitEndAndCheck()
		})
	}
}

// TestMoreWorkThanCapacity: there is more work of all priorities than the machines can run, while links between
// controllers are slow and break, the owner changes and jobs are cancelled. Once the faults end, no task waits while
// there is room for it.
func TestMoreWorkThanCapacity(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	s.peerPaths.Delay(150 * time.Millisecond)
	s.inBackground(func() {
		defer s.peerPaths.Delay(0)
		for i := range 6 {
			s.peerPaths.Isolate(i%3, true)
			time.Sleep(400 * time.Millisecond)
			s.peerPaths.Isolate(i%3, false)
			time.Sleep(600 * time.Millisecond)
		}
	})
	for i := range 30 {
		job := unevenJob(i, 2+i%3, []string{"red", "blue"}[i%2])
		job.Priority = []string{"low", "standard", "prod"}[i%3]
		s.inBackground(func() {
			s.submitUntilAccepted(job)
			if i%5 == 0 {
				s.cancelUntilAnswered(job.UID)
			}
		})
	}
	s.waitUntil("the machines are full", func() bool { return s.checker.CountRunning() >= 16 })
	owner := s.awaitReadyOwner(shards.ForTeam("red"))
	s.crash(owner)
	s.start(owner)
	s.awaitEndAndCheck()
}
