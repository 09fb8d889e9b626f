package controller

import (
	"slices"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
)

// awaitStartInFlight waits until a delayed start of a task of a team is in flight, and returns the agent that it goes
// to and the task's job.
func (s *faultScenario) awaitStartInFlight(team string) (to *simulation.Agent, job string) {
	s.t.Helper()
	s.waitUntil("a start is in flight", func() bool {
		for _, w := range s.cloud.Agents() {
			for _, task := range w.StartsInFlight() {
				if uid, _, _ := protocol.SplitTask(task); s.teamOf(uid) == team {
					to, job = w, uid
					return true
				}
			}
		}
		return false
	})
	return to, job
}

// teamOf returns the team of a submitted job; "" if the job is unknown.
func (s *faultScenario) teamOf(uid string) string {
	if spec := s.checker.Spec(uid); spec != nil {
		return spec.Team
	}
	return ""
}

// delayStarts delays the requests that contain a start.
func delayStarts(d *protocol.DirectCommands) time.Duration {
	if slices.ContainsFunc(d.Commands, func(c protocol.Command) bool { return c.Op == protocol.Start }) {
		return 7 * time.Second
	}
	return 0
}

// TestLateStartAtMachineWithoutAnswers: a start is delayed in flight to a machine whose heartbeats arrive but which
// receives no answers any more. The owner crashes, and its successor receives the machine's heartbeat without the task.
// The start arrives afterwards and is executed, as the machine knows no higher term. Until the task is proven to have
// ended, it must run nowhere else, and its share of the quota must not be given away, even if the job is cancelled
// meanwhile.
func TestLateStartAtMachineWithoutAnswers(t *testing.T) {
	t.Parallel()
	for name, cancels := range map[string]bool{"the job is not cancelled": false, "the job is cancelled": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenarioWith(t, taskRunTime, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 10, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 25})
			s.awaitMembers(3)
			jobs := saturateQuotas(s)
			machines := s.cloud.Agents()
			for _, w := range machines {
				w.DelayCommands(delayStarts)
			}
			first := slices.IndexFunc(jobs, func(j *protocol.Submission) bool { return j.Team == "red" && s.checker.CountRunningOfJob(j.UID) > 0 })
			s.cancelUntilAnswered(jobs[first].UID) // a waiting job takes its share of the quota
			impaired, job := s.awaitStartInFlight("red")
			impaired.DropAnswers(true)
			impaired.AnnounceEviction(time.Hour) // so that no other task is placed there
			for _, w := range machines {
				w.DelayCommands(nil)
			}
			_, arrived := countDelayedCommands([]*simulation.Agent{impaired})
			owner, before := s.awaitReadyOwner(shards.ForTeam("red")), s.term()
			s.crash(owner)
			s.waitUntil("a higher term", func() bool { return s.term() > before })
			if cancels {
				s.inBackground(func() { s.cancelUntilAnswered(job) })
			}
			s.waitUntil("the start arrived", func() bool {
				_, now := countDelayedCommands([]*simulation.Agent{impaired})
				return now > arrived && len(impaired.StartsInFlight()) == 0
			})
			if _, executed, _ := impaired.CountDelayedCommands(); executed == 0 {
				t.Error("the machine did not execute the late start")
			}
			impaired.DropAnswers(false)
			impaired.AnnounceEviction(0)
			s.start(owner)
			s.background.Wait()
			s.awaitQuotasUsed()
			s.awaitEndAndCheck()
		})
	}
}
