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

// startUnderway waits until a start of a task of a team is held up on its way to a machine.
func (s *scene) startUnderway(team string) (to *simulation.Agent, job string) {
	s.t.Helper()
	s.waitUntil("a start is on its way", func() bool {
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

func (s *scene) teamOf(uid string) string {
	if spec := s.checker.Spec(uid); spec != nil {
		return spec.Team
	}
	return ""
}

// slowStarts holds commands up that start something.
func slowStarts(d *protocol.DirectCommands) time.Duration {
	if slices.ContainsFunc(d.Commands, func(c protocol.Command) bool { return c.Op == protocol.Start }) {
		return 7 * time.Second
	}
	return 0
}

// TestLateStartAtADeafMachine: a start is held up on its way to a machine that hears no answer any more, though its
// reports arrive; the leader ends, and its successor sees the machine without the task. The start arrives after that
// and counts, since the machine knows no later term. Until it is proven off, the task runs nowhere else and its room in
// the quota is not given away, also if the job is cancelled meanwhile.
func TestLateStartAtADeafMachine(t *testing.T) {
	t.Parallel()
	for name, cancels := range map[string]bool{"the job lives": false, "the job is cancelled": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := openSceneOf(t, sceneRun, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 10, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 25})
			s.members(3)
			jobs := crowd(s)
			machines := s.cloud.Agents()
			for _, w := range machines {
				w.DelayCommands(slowStarts)
			}
			first := slices.IndexFunc(jobs, func(j *protocol.Submission) bool { return j.Team == "red" && s.checker.CountOfJob(j.UID) > 0 })
			s.cancel(jobs[first].UID) // its room goes to one that waits
			deaf, job := s.startUnderway("red")
			deaf.DropAnswers(true)
			deaf.AnnounceEviction(time.Hour) // so that nothing is placed there anew
			for _, w := range machines {
				w.DelayCommands(nil)
			}
			_, arrived := lateCommands([]*simulation.Agent{deaf})
			leader, before := s.leader(shards.ForTeam("red")), s.term()
			s.crash(leader)
			s.waitUntil("another term", func() bool { return s.term() > before })
			if cancels {
				s.beside(func() { s.cancel(job) })
			}
			s.waitUntil("the start arrived", func() bool {
				_, now := lateCommands([]*simulation.Agent{deaf})
				return now > arrived && len(deaf.StartsInFlight()) == 0
			})
			if _, obeyed, _ := deaf.CountDelayedCommands(); obeyed == 0 {
				t.Error("the late start did not count at the machine")
			}
			deaf.DropAnswers(false)
			deaf.AnnounceEviction(0)
			s.start(leader)
			s.behind.Wait()
			s.atLimits()
			s.settle()
		})
	}
}
