package controller

import (
	"sync"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// firstFailingJob is the lowest number of jobs whose tasks fail at their first start. After that they run until they are
// stopped.
const firstFailingJob = firstEndlessJob + 100

// startCounts counts the starts of each task.
type startCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

// failNext counts a start of a task and reports whether it fails.
func (c *startCounts) failNext(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[task]++
	return c.fails(task)
}

// runTime returns how long the start of a task that failNext counted last runs.
func (c *startCounts) runTime(task string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fails(task) {
		return 300 * time.Millisecond
	}
	return taskRunTime(task)
}

// fails reports whether the last counted start of a task fails.
func (c *startCounts) fails(task string) bool {
	return jobNumber(task) >= firstFailingJob && c.counts[task] == 1
}

// newCommandCopyScenario starts a scenario in which a copy of each request with a start, once it was answered, is kept.
func newCommandCopyScenario(t *testing.T) *faultScenario {
	starts := &startCounts{counts: map[string]int{}}
	timeouts := settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 4, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 10}
	s := newFaultScenarioWith(t, starts.runTime, timeouts, func(r *testCluster) {
		r.taskFails, r.newAgent = starts.failNext, keepCopiesOfStarts
	})
	s.awaitMembers(3)
	return s
}

// keepCopiesOfStarts makes a machine keep a copy of each answered request that contains a start.
func keepCopiesOfStarts(a *simulation.Agent) {
	a.RepeatCommands(func(d *protocol.DirectCommands) time.Duration {
		if delayStarts(d) > 0 {
			return simulation.UntilReleased
		}
		return 0
	})
}

// releaseCopies delivers the kept copies. It fails the test if one starts a task, or if none is delivered.
func (s *faultScenario) releaseCopies() {
	s.t.Helper()
	starts, executed, rejected := s.checker.Starts(), 0, 0
	for _, w := range s.cloud.Agents() {
		w.ReleaseCommands()
		_, e, r := w.CountDelayedCommands()
		executed, rejected = executed+e, rejected+r
	}
	if copies := executed + rejected; copies == 0 {
		s.t.Error("no copy was delivered")
	}
	if started := s.checker.Starts() - starts; started > 0 {
		s.t.Errorf("copies started %d tasks: %d were executed, %d rejected", started, executed, rejected)
	}
}

// submitFailing submits a job whose tasks fail once, and waits until they run again.
func (s *faultScenario) submitFailing() {
	job := arrayJob(firstFailingJob, 4, "red")
	starts := s.checker.Starts()
	s.submitUntilAccepted(job)
	s.waitUntil("all tasks run again", func() bool { return s.checker.Starts() >= starts+2*job.Tasks && s.checker.CountRunning() == job.Tasks })
}

// TestCopiesOfAnsweredStarts: copies of requests with starts, which were executed and answered, arrive after the attempts
// have ended. None may start a task: it runs elsewhere, is done, or its job is cancelled.
func TestCopiesOfAnsweredStarts(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]func(s *faultScenario){
		"failed": func(s *faultScenario) {
			s.submitFailing()
			time.Sleep(quietPeriod)
			s.releaseCopies()
		},
		"failed, and a controller is back at once": func(s *faultScenario) {
			s.submitFailing()
			time.Sleep(quietPeriod)
			s.crash(0)
			s.start(0)
			s.releaseCopies()
			s.awaitMembers(3)
		},
		"done": func(s *faultScenario) {
			job := arrayJob(1, 4, "red")
			s.submitUntilAccepted(job)
			s.waitUntil("done", func() bool { return s.queryState(job.UID) == protocol.Done })
			time.Sleep(quietPeriod)
			s.releaseCopies()
		},
		"cancelled": func(s *faultScenario) {
			job := endlessJob(1, 4, "red")
			s.submitUntilAccepted(job)
			s.waitUntil("all tasks run", func() bool { return s.checker.CountRunningOfJob(job.UID) == job.Tasks })
			s.cancelUntilAnswered(job.UID)
			s.waitUntil("no task is left", func() bool { return s.checker.CountRunning() == 0 })
			time.Sleep(s.checker.CancelTimeout)
			s.releaseCopies()
		},
		"moved": func(s *faultScenario) {
			job := endlessJob(1, 4, "red")
			job.CheckpointEverySeconds, job.CheckpointSeconds = 1, 0.1
			s.submitUntilAccepted(job)
			s.waitUntil("all tasks run", func() bool { return s.checker.CountRunningOfJob(job.UID) == job.Tasks })
			leaving := s.machinesOf(job.UID)[0]
			leaving.AnnounceEviction(10 * time.Second)
			s.waitUntil("all tasks run on other machines", func() bool {
				return len(leaving.RunningTasks()) == 0 && s.checker.CountRunningOfJob(job.UID) == job.Tasks
			})
			time.Sleep(quietPeriod)
			s.releaseCopies()
			leaving.AnnounceEviction(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCommandCopyScenario(t)
			play(s)
			for _, w := range s.cloud.Agents() {
				w.RepeatCommands(nil)
			}
			s.awaitEndAndCheck()
		})
	}
}
