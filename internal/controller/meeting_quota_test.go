package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
)

// The limits of a scene's teams, in CPUs; a task takes two of them.
var sceneLimits = map[string]float64{"red": 24, "blue": 16}

// crowd enters endless jobs of one and two tasks, half as many again as each team's limit takes, and waits until both
// teams are at their limits.
func crowd(s *scene) (jobs []*protocol.Submission) {
	s.t.Helper()
	number := 0
	for _, team := range []string{"red", "blue"} {
		for tasks := 0; tasks < int(sceneLimits[team]*3/4); {
			job := endless(number, 1+number%2, team)
			job.Spot = true // whatever the fleet rents takes it
			tasks, number = tasks+job.Tasks, number+1
			s.beside(func() { s.enter(job) })
			jobs = append(jobs, job)
		}
	}
	s.behind.Wait()
	s.atLimits()
	return jobs
}

// atLimits waits until both teams use all that they may, as long as there is work for it.
func (s *scene) atLimits() {
	s.t.Helper()
	for team, limit := range sceneLimits {
		s.waitUntil(team+" is at its limit", func() bool { return s.usedBy(team) >= min(limit, s.wantedBy(team)) })
	}
}

// usedBy sums up the CPUs that a team's tasks take on machines.
func (s *scene) usedBy(team string) (cpus float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, job := range s.accepted {
		if job.Team == team {
			cpus += job.CPUs * float64(s.checker.CountOfJob(job.UID))
		}
	}
	return cpus
}

// wantedBy sums up the CPUs of a team's jobs that are not cancelled.
func (s *scene) wantedBy(team string) (cpus float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, job := range s.accepted {
		if job.Team == team && !s.cancelled[job.UID] {
			cpus += job.CPUs * float64(job.Tasks)
		}
	}
	return cpus
}

// withhold keeps a machine from what goes on around it, in a drawn way, and gives what ends that.
func withhold(w *simulation.Agent, rng *rand.Rand) (how string, undo func()) {
	switch rng.IntN(5) {
	case 0:
		w.Hang(true)
		return "hangs", func() { w.Hang(false) }
	case 1:
		w.DisconnectNetwork(true)
		return "cut", func() { w.DisconnectNetwork(false) }
	case 2:
		w.DropAnswers(true)
		return "deaf", func() { w.DropAnswers(false) }
	case 3:
		w.DropHeartbeats(true)
		return "mute", func() { w.DropHeartbeats(false) }
	}
	held := time.Duration(500+rng.IntN(4000)) * time.Millisecond
	w.DelayCommands(func(*protocol.DirectCommands) time.Duration { return held })
	return "slow commands", func() { w.DelayCommands(nil) }
}

// TestQuotaWhileMachinesAreWithheld: every team is at its limit, with work waiting, while jobs are cancelled whose
// machines hang, are cut off, deaf or mute, or get commands late, and the leader changes. What waits starts only once
// the cancelled tasks are off, and does start then.
func TestQuotaWhileMachinesAreWithheld(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := openScene(t, sceneRun)
			s.members(3)
			jobs := crowd(s)
			rng := draws(seed)
			machines := s.cloud.Agents()
			var undo []func()
			var withheld []*simulation.Agent
			for _, k := range rng.Perm(len(machines))[:2+rng.IntN(2)] {
				how, back := withhold(machines[k], rng)
				t.Log(machines[k].Name(), how)
				undo, withheld = append(undo, back), append(withheld, machines[k])
			}
			cancelled := 0
			for _, job := range jobs {
				on := s.machinesOf(job.UID)
				if len(on) > 0 && rng.IntN(2) == 0 {
					cancelled += len(on)
					s.beside(func() { s.cancel(job.UID) })
				}
			}
			s.depose(rng)
			s.behind.Wait()
			time.Sleep(time.Duration(rng.IntN(3500)) * time.Millisecond)
			for _, back := range undo {
				back()
			}
			if cancelled == 0 || len(withheld) == 0 {
				t.Error("nothing met")
			}
			s.atLimits() // no job waits while there is room and its team is below its limit
			s.settle()
		})
	}
}

// depose changes who leads: one controller ends, or all, or the service refuses one for longer than its lease.
func (s *scene) depose(rng *rand.Rand) {
	s.t.Helper()
	before, leader := s.term(), s.leader(shards.ForTeam("red"))
	switch rng.IntN(3) {
	case 0:
		s.crash(leader)
		s.start(leader)
	case 1:
		for i := range s.nodes {
			s.crash(i)
		}
		for i := range s.nodes {
			s.start(i)
		}
	case 2:
		s.doors[leader].RefuseAll(true)
		defer s.doors[leader].RefuseAll(false)
	}
	s.waitUntil("another term", func() bool { return s.term() > before })
}
