package controller

import (
	"slices"
	"testing"
	"time"

	"topazhollow/internal/history"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// queriesPerController is how many times each controller is queried after each event.
const queriesPerController = 4

// runJobLifecycle submits a job, queries it, waits for its end or cancels it, and queries it again at once.
func (s *faultScenario) runJobLifecycle(spec *protocol.Submission, cancels bool) {
	s.submitUntilAccepted(spec)
	s.users.AskEveryController(spec, queriesPerController)
	if cancels {
		s.cancelUntilAnswered(spec.UID)
	} else {
		ctx, cancel := userDeadline(s.t)
		defer cancel()
		if !s.users.AwaitEnd(ctx, newRand(uint64(jobNumber(spec.UID))), spec.UID) {
			s.t.Errorf("%s did not end", spec.UID)
		}
	}
	s.users.AskEveryController(spec, queriesPerController)
}

// countQueriedControllers counts the controllers that answered a query that was sent after an answer with the event.
func countQueriedControllers(calls []history.Call, event func(c history.Call) bool) int {
	nodes := map[int]bool{}
	for _, e := range calls {
		if !event(e) {
			continue
		}
		for _, c := range calls {
			if c.Job == e.Job && c.Invoked > e.Returned && c.Kind == history.Ask && c.Status == 200 {
				nodes[c.Node] = true
			}
		}
	}
	return len(nodes)
}

// TestQueriesNeverGoBackwards: users query all controllers within milliseconds, and repeat the submission, right after
// a job was accepted, ended or confirmed as cancelled, during faults that make the controllers' knowledge differ. No
// controller may answer with an older state than any of them did before.
func TestQueriesNeverGoBackwards(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(s *faultScenario){
		"no fault": func(*faultScenario) {},
		"answers of the state service are lost": func(s *faultScenario) {
			for i, d := range s.storeEndpoints {
				rng := newRand(uint64(i))
				d.DropAnswers(func(*protocol.Txn) bool { return rng.IntN(6) == 0 })
			}
		},
		"the state service answers slowly": func(s *faultScenario) {
			for i, d := range s.storeEndpoints {
				d.DelayAnswers(time.Duration(100*i) * time.Millisecond)
			}
		},
		"writes lag": func(s *faultScenario) {
			for i, d := range s.storeEndpoints {
				rng := newRand(uint64(i))
				d.DelayTransactions(func() time.Duration { return time.Duration(rng.IntN(8)/7) * 600 * time.Millisecond })
			}
		},
		"links between controllers are down": func(s *faultScenario) {
			for i := range s.nodeSettings {
				s.peerPaths.Isolate(i, true)
			}
			s.inBackground(func() {
				time.Sleep(3 * time.Second)
				for i := range s.nodeSettings {
					s.peerPaths.Isolate(i, false)
				}
			})
		},
		"an owner crashes": func(s *faultScenario) {
			owner := s.awaitReadyOwner(shards.ForTeam("red"))
			s.inBackground(func() { s.crash(owner); s.start(owner) })
		},
		"the state service refuses the owner": func(s *faultScenario) {
			owner := s.awaitReadyOwner(shards.ForTeam("red"))
			s.inBackground(func() {
				s.storeEndpoints[owner].RefuseAll(true)
				time.Sleep(time.Second)
				s.storeEndpoints[owner].RefuseAll(false)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, taskRunTime)
			s.awaitMembers(3)
			fault(s)
			for i := range 12 {
				job, cancels := arrayJob(i, 1+i%3, []string{"red", "blue"}[i%2]), i%4 == 0
				if cancels {
					job = endlessJob(i, 1, job.Team)
				}
				s.inBackground(func() { s.runJobLifecycle(job, cancels) })
			}
			s.background.Wait()
			for _, d := range s.storeEndpoints {
				d.DropAnswers(nil)
				d.DelayTransactions(nil)
				d.DelayAnswers(0)
			}
			s.awaitEndAndCheck()
			calls := s.users.Log().Calls()
			for event, happened := range map[string]func(c history.Call) bool{
				"accepted":  func(c history.Call) bool { return c.Status == 201 },
				"done":      func(c history.Call) bool { return c.Status == 200 && c.State == protocol.Done },
				"cancelled": func(c history.Call) bool { return c.Kind == history.Cancel && c.State == protocol.Cancelled },
			} {
				if n := countQueriedControllers(calls, happened); n < len(s.nodeSettings) {
					t.Errorf("after a job was %s only %d controllers were queried", event, n)
				}
			}
		})
	}
}

// TestRequestsAtJobEnd: a cancellation, queries and repeated submissions arrive just as a job's last task ends, without
// any fault. All answers must agree on one end.
func TestRequestsAtJobEnd(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	for i := range 16 {
		job := arrayJob(i, 1+i%2, []string{"red", "blue"}[i%2])
		s.inBackground(func() {
			s.submitUntilAccepted(job)
			s.waitUntil(job.UID+" is on a machine", func() bool { return s.checker.CountRunningOfJob(job.UID) > 0 })
			s.waitUntil(job.UID+" leaves its machine", func() bool { return s.checker.CountRunningOfJob(job.UID) == 0 })
			s.inBackground(func() { s.users.AskEveryController(job, queriesPerController) })
			s.cancelUntilAnswered(job.UID)
		})
	}
	s.awaitEndAndCheck()
	ends := []protocol.JobState{}
	for _, c := range s.users.Log().Calls() {
		if c.Kind == history.Cancel && c.Status == 200 {
			ends = append(ends, c.State)
		}
	}
	if !slices.Contains(ends, protocol.Done) && !slices.Contains(ends, protocol.Cancelled) {
		t.Error("no cancellation was answered with an end")
	}
}

// TestRefusals: a submission that cannot run is refused with 422, one that lacks a field with 400. The repeated
// submission of an unfinished job is not refused, whatever its body, and the cancellation of a job that is done answers
// "done". All that holds at every controller, before and after a crash of the owner.
func TestRefusals(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	running, completed := endlessJob(1, 2, "red"), arrayJob(2, 1, "blue")
	s.submitUntilAccepted(running)
	s.submitUntilAccepted(completed)
	s.waitUntil("the short job is done", func() bool { _, state := s.users.Ask(0, completed.UID); return state == protocol.Done })
	check := func() {
		for node := range s.nodeSettings {
			s.checkRejections(node)
			s.waitUntil("an unfinished job's repetition is known", func() bool {
				repeated := *running
				repeated.Team, repeated.CPUs = "nobody", 900
				status, state := s.users.Submit(node, &repeated)
				return status == 200 && state != protocol.Cancelled
			})
			s.waitUntil("a job that is done can't be cancelled", func() bool {
				status, state := s.users.Cancel(node, completed.UID)
				return status == 200 && state == protocol.Done
			})
		}
	}
	check()
	owner := s.awaitReadyOwner(shards.ForTeam("red"))
	s.crash(owner)
	s.start(owner)
	check()
	s.awaitEndAndCheck()
}

// checkRejections sends a controller submissions that must be refused. A controller that cannot decide yet may ask the
// user to retry.
func (s *faultScenario) checkRejections(node int) {
	far := "nowhere"
	for what, c := range map[string]struct {
		change func(*protocol.Submission)
		want   int
	}{
		"unknown team":          {func(j *protocol.Submission) { j.Team = "nobody" }, 422},
		"too large a task":      {func(j *protocol.Submission) { j.CPUs = 9 }, 422},
		"no such zone":          {func(j *protocol.Submission) { j.Zone = &far }, 422},
		"no such type":          {func(j *protocol.Submission) { j.Types = []string{"m9"} }, 422},
		"gang beyond the limit": {func(j *protocol.Submission) { j.Kind, j.Tasks = protocol.Gang, 13 }, 422},
		"no image":              {func(j *protocol.Submission) { j.Image = "" }, 400},
		"unknown kind":          {func(j *protocol.Submission) { j.Kind = "other" }, 400},
		"no tasks":              {func(j *protocol.Submission) { j.Tasks = 0 }, 400},
	} {
		job := arrayJob(900+node, 2, "red")
		c.change(job)
		s.waitUntil(what+" is refused", func() bool {
			status, _ := s.users.Submit(node, job)
			if status == 200 || status == 201 {
				s.t.Fatalf("%s was accepted", what)
			}
			return status == c.want
		})
		if status, _ := s.users.Ask(node, job.UID); status == 200 {
			s.t.Errorf("a job that was refused (%s) is known", what)
		}
	}
	s.checkMissingFields(node)
}

// checkMissingFields sends a controller submissions that each lack one field, which must be refused.
func (s *faultScenario) checkMissingFields(node int) {
	var whole map[string]any
	if err := protocol.Decode(protocol.Encode(arrayJob(910+node, 2, "red")), &whole); err != nil {
		s.t.Fatal(err)
	}
	for field := range whole {
		part := map[string]any{}
		for name, value := range whole {
			if name != field {
				part[name] = value
			}
		}
		s.waitUntil("without "+field+" it is refused", func() bool { return s.post(node, protocol.PathSubmit, protocol.Encode(part)) == 400 })
	}
}
