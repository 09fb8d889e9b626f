package controller

import (
	"sync/atomic"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// TestCancelledWhileWorkChangesHands: jobs are cancelled in the seconds in which a controller's teams go to another one
// and back. What was confirmed at either of them is over at both, and its tasks are gone in time.
func TestCancelledWhileWorkChangesHands(t *testing.T) {
	t.Parallel()
	for name, pause := range map[string]time.Duration{"it returns at once": 0, "it returns later": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := openScene(t, sceneRun)
			s.members(3)
			jobs := crowd(s)
			leader := s.leader(shards.ForTeam("red"))
			var between atomic.Int64 // cancellations confirmed while another one owned the team, or nobody did
			rng := draws(9)
			for _, job := range jobs {
				after := time.Duration(rng.IntN(8000)) * time.Millisecond
				s.beside(func() {
					time.Sleep(after)
					s.cancel(job.UID)
					between.Add(1)
				})
			}
			begun := between.Load()
			s.crash(leader)
			time.Sleep(pause)
			s.start(leader)
			s.waitUntil("it leads again", func() bool { return s.leads(s.names[leader], shards.ForTeam("red")) })
			confirmed := between.Load() - begun
			s.settle()
			if confirmed == 0 {
				t.Error("no job was cancelled while the work changed hands")
			}
		})
	}
}

// TestManyLeaders: leaders change ten times in a row, half of that inside an outage of the state service, while jobs are
// accepted, run and cancelled.
func TestManyLeaders(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]bool{"the service answers": false, "inside an outage": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := openScene(t, sceneRun)
			s.members(3)
			rng := draws(11)
			ended := map[int]int{}
			for round := range 10 {
				job, gone := uneven(round, 3, []string{"red", "blue"}[round%2]), endless(round, 2, []string{"red", "blue"}[round%2])
				s.beside(func() { s.enter(job) })
				s.beside(func() { s.enter(gone); s.cancel(gone.UID) })
				leader := s.leader(shards.ForTeam([]string{"red", "blue"}[round%2]))
				out := outage && round%2 == 1
				s.state.SetOutage(out)
				s.crash(leader)
				ended[leader]++
				time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
				s.start(leader)
				if out {
					time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
					s.state.SetOutage(false)
				}
			}
			s.settle()
			if len(ended) < 2 {
				t.Errorf("only %v led and ended", ended)
			}
		})
	}
}

// TestAllAwayBeyondALease: all controllers are away for longer than a worker's lease and come back at different times;
// jobs are cancelled as soon as one answers.
func TestAllAwayBeyondALease(t *testing.T) {
	t.Parallel()
	s := openScene(t, sceneRun)
	s.members(3)
	jobs := crowd(s)
	for i := range s.nodes {
		s.crash(i)
	}
	s.waitUntil("all leases are over", func() bool { return s.checker.CountOnMachines() == 0 })
	for i := range s.nodes {
		s.start(i)
		if i == 0 {
			s.beside(func() { s.cancel(jobs[0].UID) })
			time.Sleep(700 * time.Millisecond)
		}
	}
	s.behind.Wait()
	s.atLimits()
	s.settle()
}

// TestHandOverAndOneReturns: controllers hand over and back, then all end, and one returns within a second, alone at
// first, while users go on to cancel and ask.
func TestHandOverAndOneReturns(t *testing.T) {
	t.Parallel()
	s := openScene(t, sceneRun)
	s.members(3)
	jobs := crowd(s)
	leader := s.leader(shards.ForTeam("blue"))
	s.crash(leader)
	s.start(leader)
	s.beside(func() { s.cancel(jobs[0].UID) })
	s.waitUntil("it leads again", func() bool { return s.leads(s.names[leader], shards.ForTeam("blue")) })
	for i := range s.nodes {
		s.crash(i)
	}
	s.start(leader)
	for _, job := range jobs[1:4] {
		s.beside(func() { s.cancel(job.UID) })
	}
	s.waitUntil("it leads alone", func() bool { return s.leads(s.names[leader], shards.ForTeam("red")) })
	if got := len(s.overviews()); got != 1 {
		t.Errorf("%d controllers answer", got)
	}
	s.behind.Wait()
	for i := range s.nodes {
		if i != leader {
			s.start(i)
		}
	}
	s.members(3)
	s.atLimits()
	s.settle()
}

// TestManySmallJobs: one-task jobs come one right after the other for a long time, a quarter of them cancelled at a
// drawn moment, while the leader ends once and machines are taken away.
func TestManySmallJobs(t *testing.T) {
	t.Parallel()
	const jobs, every = 240, 40 * time.Millisecond
	s := openScene(t, sceneRun)
	s.members(3)
	rng := draws(12)
	for i := range jobs {
		job, cancels := arrayJob(i, 1, []string{"red", "blue"}[i%2]), i%4 == 0
		after := time.Duration(rng.IntN(900)) * time.Millisecond
		s.beside(func() {
			s.enter(job)
			if cancels {
				time.Sleep(after)
				s.cancel(job.UID)
			}
		})
		switch i {
		case jobs / 3:
			leader := s.leader(shards.ForTeam("red"))
			s.crash(leader)
			s.start(leader)
		case jobs / 2:
			s.cloud.TakeMachine(s.cloud.Agents()[0].Name())
		}
		time.Sleep(every)
	}
	s.settle()
	ends := map[protocol.JobState]int{}
	for _, c := range s.users.Log().Calls() {
		if c.Kind == "cancel" && c.Status == 200 {
			ends[c.State]++
		}
	}
	if ends[protocol.Cancelled] == 0 || ends[protocol.Done] == 0 {
		t.Errorf("cancellations met jobs in one state only: %v", ends)
	}
}

// TestOneZoneJobsLoseMachines: arrays whose tasks have to share a zone, and jobs bound to one, lose machines one after
// the other, with a change of leader between. No task starts in another zone while one is on a machine.
func TestOneZoneJobsLoseMachines(t *testing.T) {
	t.Parallel()
	for name, ends := range map[string]bool{"leader lives": false, "leader ends": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := openScene(t, sceneRun)
			s.members(3)
			west := "west"
			var jobs []*protocol.Submission
			for i := range 4 {
				job := endless(i, 3, []string{"red", "blue"}[i%2])
				job.Spot = true
				if i < 2 {
					job.OneZone = true
				} else {
					job.Zone = &west
				}
				jobs = append(jobs, job)
				s.enter(job)
			}
			s.waitUntil("all run", func() bool { return s.checker.CountOnMachines() == 12 })
			for round := range 3 {
				started := s.checker.Starts()
				machines := s.machinesOf(jobs[round%2].UID)
				if len(machines) == 0 {
					t.Fatal("a job runs nowhere")
				}
				if round == 1 {
					machines[0].DisconnectNetwork(true)
					defer machines[0].DisconnectNetwork(false)
				} else {
					s.cloud.TakeMachine(machines[0].Name())
				}
				if ends {
					leader := s.leader(shards.ForTeam("red"))
					s.crash(leader)
					s.start(leader)
				}
				s.waitUntil("all run again", func() bool { return s.checker.Starts() > started && s.checker.CountOnMachines() == 12 })
			}
			s.settle()
		})
	}
}

// TestMoreWorkThanRoom: there is more work than machines take, urgent and not, while links between controllers are slow
// and break, the leader changes and jobs are cancelled. Once that is over nothing waits beside room that it fits.
func TestMoreWorkThanRoom(t *testing.T) {
	t.Parallel()
	s := openScene(t, sceneRun)
	s.members(3)
	s.pipes.Delay(150 * time.Millisecond)
	s.beside(func() {
		defer s.pipes.Delay(0)
		for i := range 6 {
			s.pipes.Isolate(i%3, true)
			time.Sleep(400 * time.Millisecond)
			s.pipes.Isolate(i%3, false)
			time.Sleep(600 * time.Millisecond)
		}
	})
	for i := range 30 {
		job := uneven(i, 2+i%3, []string{"red", "blue"}[i%2])
		job.Priority = []string{"low", "standard", "prod"}[i%3]
		s.beside(func() {
			s.enter(job)
			if i%5 == 0 {
				s.cancel(job.UID)
			}
		})
	}
	s.waitUntil("more than there is room for", func() bool { return s.checker.CountOnMachines() >= 16 })
	leader := s.leader(shards.ForTeam("red"))
	s.crash(leader)
	s.start(leader)
	s.settle()
}
