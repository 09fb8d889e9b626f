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

// teamCPULimits are the limits of a cluster's teams, in CPUs; a task takes two.
var teamCPULimits = map[string]float64{"red": 24, "blue": 16}

// saturateQuotas submits endless jobs of one and two tasks, half more than each team's limit allows to run, and waits
// until both teams are at their limits.
func saturateQuotas(s *faultScenario) (jobs []*protocol.Submission) {
	s.t.Helper()
	number := 0
	for _, team := range []string{"red", "blue"} {
		for tasks := 0; tasks < int(teamCPULimits[team]*3/4); {
			job := endlessJob(number, 1+number%2, team)
			job.Spot = true // may run on every machine that the fleet acquires
			tasks, number = tasks+job.Tasks, number+1
			s.inBackground(func() { s.submitUntilAccepted(job) })
			jobs = append(jobs, job)
		}
	}
	s.background.Wait()
	s.awaitQuotasUsed()
	return jobs
}

// awaitQuotasUsed waits until both teams use their whole limits, or all that their jobs need if that is less.
func (s *faultScenario) awaitQuotasUsed() {
	s.t.Helper()
	for team, limit := range teamCPULimits {
		s.waitUntil(team+" is at its limit", func() bool { return s.usedBy(team) >= min(limit, s.wantedBy(team)) })
	}
}

// usedBy sums up the CPUs that a team's tasks take on machines.
func (s *faultScenario) usedBy(team string) (cpus float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, job := range s.accepted {
		if job.Team == team {
			cpus += job.CPUs * float64(s.checker.CountRunningOfJob(job.UID))
		}
	}
	return cpus
}

// wantedBy sums up the CPUs of a team's jobs that are not cancelled.
func (s *faultScenario) wantedBy(team string) (cpus float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, job := range s.accepted {
		if job.Team == team && !s.cancelled[job.UID] {
			cpus += job.CPUs * float64(job.Tasks)
		}
	}
	return cpus
}

// injectMachineFault impairs a machine's communication in a random way, and returns a name for that and a function that
// undoes it.
func injectMachineFault(w *simulation.Agent, rng *rand.Rand) (how string, undo func()) {
	switch rng.IntN(5) {
	case 0:
		w.Hang(true)
		return "hangs", func() { w.Hang(false) }
	case 1:
		w.DisconnectNetwork(true)
		return "disconnected", func() { w.DisconnectNetwork(false) }
	case 2:
		w.DropAnswers(true)
		return "answers dropped", func() { w.DropAnswers(false) }
	case 3:
		w.DropHeartbeats(true)
		return "heartbeats dropped", func() { w.DropHeartbeats(false) }
	}
	delay := time.Duration(500+rng.IntN(4000)) * time.Millisecond
	w.DelayCommands(func(*protocol.DirectCommands) time.Duration { return delay })
	return "slow commands", func() { w.DelayCommands(nil) }
}

// TestQuotaDuringMachineFaults: every team is at its limit, with more tasks waiting. Jobs are cancelled whose machines
// hang, are disconnected, lose answers or heartbeats, or receive commands late, and the owner changes. Waiting tasks
// must start only after the cancelled tasks have ended, and must start then.
func TestQuotaDuringMachineFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, taskRunTime)
			s.awaitMembers(3)
			jobs := saturateQuotas(s)
			rng := newRand(seed)
			machines := s.cloud.Agents()
			var undo []func()
			var impaired []*simulation.Agent
			for _, k := range rng.Perm(len(machines))[:2+rng.IntN(2)] {
				how, undoFault := injectMachineFault(machines[k], rng)
				t.Log(machines[k].Name(), how)
				undo, impaired = append(undo, undoFault), append(impaired, machines[k])
			}
			cancelled := 0
			for _, job := range jobs {
				on := s.machinesOf(job.UID)
				if len(on) > 0 && rng.IntN(2) == 0 {
					cancelled += len(on)
					s.inBackground(func() { s.cancelUntilAnswered(job.UID) })
				}
			}
			s.changeOwner(rng)
			s.background.Wait()
			time.Sleep(time.Duration(rng.IntN(3500)) * time.Millisecond)
			for _, undoFault := range undo {
				undoFault()
			}
			if cancelled == 0 || len(impaired) == 0 {
				t.Error("no job was cancelled, or no machine was impaired")
			}
			s.awaitQuotasUsed() // no job waits while there is room and its team is below its limit
			s.awaitEndAndCheck()
		})
	}
}

// changeOwner makes a shard's owner change: the owner crashes, or all controllers do, or the state service refuses the
// owner for longer than its lease.
func (s *faultScenario) changeOwner(rng *rand.Rand) {
	s.t.Helper()
	before, owner := s.term(), s.awaitReadyOwner(shards.ForTeam("red"))
	switch rng.IntN(3) {
	case 0:
		s.crash(owner)
		s.start(owner)
	case 1:
		for i := range s.nodes {
			s.crash(i)
		}
		for i := range s.nodes {
			s.start(i)
		}
	case 2:
		s.storeEndpoints[owner].RefuseAll(true)
		defer s.storeEndpoints[owner].RefuseAll(false)
	}
	s.waitUntil("a higher term", func() bool { return s.term() > before })
}
