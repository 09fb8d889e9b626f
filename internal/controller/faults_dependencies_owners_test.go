package controller

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// endAllOnEnd ends all controllers in the moment in which the state service receives the end of a job, before it
// answers, so that none of them can act on it.
func (s *faultScenario) endAllOnEnd(uid string) {
	running := append([]*process(nil), s.nodes...)
	var once sync.Once
	s.state.ObserveSets(func(key string, _ json.RawMessage) {
		if key != userapi.EndedJobPrefix+uid {
			return
		}
		once.Do(func() {
			for _, p := range running {
				p.cancel()
			}
		})
	})
}

// TestOwnersChangeWhileAJobWaits: the owners of both teams crash, one after the other, while a job of one team waits for a
// job of the other. The waiting job starts under its new owner, once the other one is done under its own.
func TestOwnersChangeWhileAJobWaits(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	jobs := chainOf(unevenJob(0, 4, "red"), 10)
	s.submitAll(jobs...)
	s.awaitRunning(jobs[0].UID)
	for _, team := range []string{"red", "blue"} {
		owner, before := s.awaitReadyOwner(shards.ForTeam(team)), s.term()
		s.crash(owner)
		s.waitUntil("a higher term", func() bool { return s.term() > before })
		s.start(owner)
		s.awaitMembers(3)
	}
	s.awaitEndAndCheck()
}

// TestAllControllersEndBeforeADependentStarts: all controllers end after a job's end was written and before the job that
// needs it starts. Restarted, they read that it is ready.
func TestAllControllersEndBeforeADependentStarts(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	jobs := chainOf(arrayJob(1, 1, "red"), 10)
	s.submitAll(jobs...)
	s.endAllOnEnd(jobs[0].UID)
	s.awaitStoredEnd(jobs[0].UID)
	for i := range s.nodes {
		s.crash(i)
	}
	if started := s.checker.CountRunningOfJob(jobs[1].UID); started > 0 {
		t.Errorf("%d tasks of the second job run although all controllers have ended", started)
	}
	for i := range s.nodes {
		s.start(i)
	}
	s.awaitEndAndCheck()
	if ends := s.reportedEnds(); ends[jobs[2].UID] != protocol.Done {
		t.Errorf("the last job is %s", ends[jobs[2].UID])
	}
}

// TestRestartWithRunningDependents: all controllers end and restart while tasks of a job run whose dependency is done.
// The state service answers slowly at first. The tasks continue, none is stopped or repeated, and none of the tasks of
// the job behind it starts.
func TestRestartWithRunningDependents(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	first := arrayJob(1, 1, "red")
	second := dependent(endlessJob(0, 3, "blue"), first)
	third := dependent(arrayJob(2, 1, "red"), second)
	s.submitAll(first, second, third)
	s.waitUntil("the second runs", func() bool { return s.checker.CountRunningOfJob(second.UID) == second.Tasks })
	starts := s.checker.Starts()
	for i := range s.nodes {
		s.crash(i)
	}
	for i, d := range s.storeEndpoints {
		d.DelayAnswers(time.Duration(200*(i+1)) * time.Millisecond)
	}
	for i := range s.nodes {
		s.start(i)
	}
	for _, team := range []string{"red", "blue"} {
		s.awaitReadyOwner(shards.ForTeam(team))
	}
	for _, d := range s.storeEndpoints {
		d.DelayAnswers(0)
	}
	for _, job := range []string{second.UID, third.UID} {
		s.waitUntil(job+" is active everywhere", func() bool {
			for node := range s.nodeSettings {
				if status, state := s.users.Ask(node, job); status != 200 || state == protocol.Cancelled || state == protocol.Done {
					return false
				}
			}
			return true
		})
	}
	if s.checker.Starts() != starts || s.checker.CountRunningOfJob(second.UID) != second.Tasks {
		t.Errorf("%d more tasks were started, %d of the second job run: %s", s.checker.Starts()-starts, s.checker.CountRunningOfJob(second.UID), strings.Join(s.names, ", "))
	}
	s.awaitEndAndCheck()
}
