package controller

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/history"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
	"topazhollow/internal/userapi"
)

// dependent makes a job need others.
func dependent(job *protocol.Submission, on ...*protocol.Submission) *protocol.Submission {
	for _, d := range on {
		job.Dependencies = append(job.Dependencies, d.UID)
	}
	return job
}

// cancelledWithAnother returns whether a job needs another one, directly or through others, whose user requested the
// cancellation.
func (s *faultScenario) cancelledWithAnother(job *protocol.Submission) bool {
	return slices.ContainsFunc(job.Dependencies, func(uid string) bool {
		s.mu.Lock()
		cancelled := s.cancelled[uid]
		s.mu.Unlock()
		needed := s.checker.Spec(uid)
		return cancelled || needed != nil && s.cancelledWithAnother(needed)
	})
}

// reportedEnds returns the end of each job that users were told.
func (s *faultScenario) reportedEnds() map[string]protocol.JobState {
	ends := map[string]protocol.JobState{}
	for _, c := range s.users.Log().Calls() {
		if c.Status == 200 && (c.State == protocol.Done || c.State == protocol.Cancelled) {
			ends[c.Job] = c.State
		}
	}
	return ends
}

// checkDependentEnds checks that each job that needs a cancelled one was cancelled with it, and that no job was cancelled
// for any other reason than that or its own user's request.
func (s *faultScenario) checkDependentEnds() {
	s.t.Helper()
	ends := s.reportedEnds()
	for _, job := range s.accepted {
		needsCancelled := slices.ContainsFunc(job.Dependencies, func(uid string) bool { return ends[uid] == protocol.Cancelled })
		cancelled := ends[job.UID] == protocol.Cancelled
		if needsCancelled && !cancelled || cancelled && !needsCancelled && !s.cancelled[job.UID] {
			s.t.Errorf("%s, which needs %v, is %s, and the ends are %v", job.UID, job.Dependencies, ends[job.UID], ends)
		}
	}
}

// awaitStoredEnd waits until the state service has a job's end.
func (s *faultScenario) awaitStoredEnd(uid string) {
	s.t.Helper()
	s.waitUntil("the end of "+uid+" is stored", func() bool { return s.state.CountKeys(userapi.EndedJobPrefix+uid) > 0 })
}

// awaitRunning waits until tasks of a job are on machines.
func (s *faultScenario) awaitRunning(uid string) {
	s.t.Helper()
	s.waitUntil(uid+" runs", func() bool { return s.checker.CountRunningOfJob(uid) > 0 })
}

// awaitStateEverywhere waits until every controller reports a state of a job.
func (s *faultScenario) awaitStateEverywhere(uid string, state protocol.JobState) {
	s.t.Helper()
	for node := range s.nodeSettings {
		s.waitUntil(uid+" is "+string(state)+" at "+s.names[node], func() bool {
			status, got := s.users.Ask(node, uid)
			return status == 200 && got == state
		})
	}
}

// submitAll submits jobs in their order.
func (s *faultScenario) submitAll(jobs ...*protocol.Submission) {
	for _, job := range jobs {
		s.submitUntilAccepted(job)
	}
}

// chainOf returns three jobs of both teams that need one another in turn; the first is given.
func chainOf(first *protocol.Submission, number int) []*protocol.Submission {
	second := dependent(arrayJob(number, 2, "blue"), first)
	return []*protocol.Submission{first, second, dependent(arrayJob(number+1, 1, "red"), second)}
}

// TestPipelinesWithoutFaults: pipelines of every shape, across both teams, run in their order. Jobs that name one that was
// never accepted are refused by every controller, and those that name one in any other state are accepted.
func TestPipelinesWithoutFaults(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	for i, shape := range []string{"chain", "fan out", "fan in", "diamond"} {
		jobs := simulation.PipelineOf(shape, func(position int) *protocol.Submission {
			return arrayJob(10*i+position, 1+position%2, []string{"red", "blue"}[position%2])
		})
		s.inBackground(func() { s.submitAll(jobs...) })
	}
	s.background.Wait()
	for node := range s.nodeSettings {
		unknown := dependent(arrayJob(300+node, 1, "red"), arrayJob(399, 1, "red"))
		s.waitUntil("a job that needs an unknown one is refused", func() bool {
			status, _ := s.users.Submit(node, unknown)
			if status == 200 || status == 201 {
				t.Fatal("a job that needs an unknown one was accepted")
			}
			return status == 422
		})
	}
	s.awaitEndAndCheck()
	s.submitAll(dependent(arrayJob(200, 1, "blue"), s.accepted[0]))
	endless := endlessJob(0, 1, "red")
	s.submitAll(endless)
	s.cancelUntilAnswered(endless.UID)
	s.submitAll(dependent(arrayJob(201, 1, "blue"), endless))
	s.awaitEndAndCheck()
}

// TestDependencyCancelledAsItEnds: the first of three jobs is cancelled while its last task ends. Either the end is
// written first, and the jobs behind it run, or the cancellation is, and they are cancelled with it. Nothing in between.
func TestDependencyCancelledAsItEnds(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		cancel func(s *faultScenario, uid string)
		ends   []protocol.JobState // one of which is the end
	}{
		"the end is written first": {func(s *faultScenario, uid string) {
			s.dropResponses(writeKinds["end"], 1) // its owner does not know whether it was written
			s.awaitRunning(uid)
			s.awaitStoredEnd(uid)
			s.cancelUntilAnswered(uid)
		}, []protocol.JobState{protocol.Done}},
		"the cancellation is written first": {func(s *faultScenario, uid string) {
			s.awaitRunning(uid)
			owner := s.awaitReadyOwner(shards.ForTeam("red"))
			s.storeEndpoints[owner].RefuseAll(true)
			s.waitUntil("its task has ended", func() bool { return s.checker.CountRunningOfJob(uid) == 0 })
			s.cancelUntilAnswered(uid)
			s.storeEndpoints[owner].RefuseAll(false)
		}, []protocol.JobState{protocol.Done, protocol.Cancelled}}, // the owner may write it before it is refused
		"either": {func(s *faultScenario, uid string) {
			s.awaitRunning(uid)
			s.waitUntil("its task has ended", func() bool { return s.checker.CountRunningOfJob(uid) == 0 })
			s.cancelUntilAnswered(uid)
		}, []protocol.JobState{protocol.Done, protocol.Cancelled}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, taskRunTime)
			s.awaitMembers(3)
			jobs := chainOf(unevenJob(0, 2, "red"), 10)
			s.submitAll(jobs...)
			c.cancel(s, jobs[0].UID)
			for _, job := range jobs {
				s.users.AskEveryController(job, queriesPerController)
			}
			s.awaitEndAndCheck()
			ends := s.reportedEnds()
			if !slices.Contains(c.ends, ends[jobs[0].UID]) || ends[jobs[1].UID] != ends[jobs[0].UID] || ends[jobs[2].UID] != ends[jobs[0].UID] {
				t.Errorf("the jobs ended as %v", ends)
			}
		})
	}
}

// TestCancellationWhileADependentIsSubmitted: the second of three jobs is cancelled through one controller while the
// third is submitted at another one. The third is accepted and cancelled, and the first continues.
func TestCancellationWhileADependentIsSubmitted(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	var firsts []*protocol.Submission
	for i := range 6 {
		first := endlessJob(i, 1, []string{"red", "blue"}[i%2])
		second := dependent(arrayJob(10+i, 2, "blue"), first)
		third := dependent(arrayJob(20+i, 1, "red"), second)
		firsts = append(firsts, first)
		s.inBackground(func() {
			s.submitAll(first, second)
			s.inBackground(func() { s.cancelUntilAnswered(second.UID) })
			s.submitAll(third)
			s.users.AskEveryController(third, queriesPerController)
		})
	}
	s.background.Wait()
	for i, first := range firsts {
		s.awaitStateEverywhere(arrayJob(20+i, 1, "red").UID, protocol.Cancelled)
		if _, state := s.users.Ask(i%3, first.UID); state == protocol.Cancelled {
			t.Errorf("%s was cancelled with a job that needs it", first.UID)
		}
	}
	s.awaitEndAndCheck()
}

// TestDependentsDuringOutageAfterRefusal: the state service refuses one controller, another one confirms a cancellation
// and reports the jobs behind it as cancelled; then the state service is down for longer than a cancellation may take.
// No controller reports any of these jobs as pending or running, also not the refused one, whether or not its peers
// reach it.
func TestDependentsDuringOutageAfterRefusal(t *testing.T) {
	t.Parallel()
	for name, isolated := range map[string]bool{"its peers reach it": false, "its peers do not reach it": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, taskRunTime)
			s.awaitMembers(3)
			jobs := chainOf(endlessJob(0, 1, "red"), 10)
			s.submitAll(jobs...)
			s.awaitRunning(jobs[0].UID)
			for _, job := range jobs[1:] {
				s.awaitStateEverywhere(job.UID, protocol.Pending)
			}
			refused := s.awaitReadyOwner(shards.ForTeam("blue"))
			confirming := (refused + 1) % 3
			s.storeEndpoints[refused].RefuseAll(true)
			s.peerPaths.Isolate(refused, isolated)
			s.waitUntil("the cancellation is confirmed", func() bool {
				s.mu.Lock()
				s.cancelled[jobs[0].UID] = true
				s.mu.Unlock()
				status, state := s.users.Cancel(confirming, jobs[0].UID)
				return status == 200 && state == protocol.Cancelled
			})
			for _, job := range jobs[1:] {
				s.waitUntil(job.UID+" is cancelled", func() bool {
					status, state := s.users.Ask(confirming, job.UID)
					return status == 200 && state == protocol.Cancelled
				})
			}
			s.state.SetOutage(true)
			confirmed := time.Now()
			s.waitUntil("the outage outlasts a cancellation", func() bool {
				for node := range s.nodeSettings {
					for _, job := range jobs[1:] {
						if status, state := s.users.Ask(node, job.UID); status == 200 && state != protocol.Cancelled {
							t.Fatalf("%s reports %s as %s", s.names[node], job.UID, state)
						}
					}
				}
				return time.Since(confirmed) > s.checker.CancelTimeout+2*time.Second
			})
			s.state.SetOutage(false)
			s.peerPaths.Isolate(refused, false)
			s.storeEndpoints[refused].RefuseAll(false)
			s.awaitMembers(3)
			for _, job := range jobs {
				s.awaitStateEverywhere(job.UID, protocol.Cancelled)
			}
			s.awaitEndAndCheck()
		})
	}
}

// TestDependentOfUnansweredAcceptance: the acceptance of a job was written, but its answer lost, so that the controller
// that wrote it does not know. Jobs that need it are accepted or deferred by every controller, and refused by none.
func TestDependentOfUnansweredAcceptance(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	for round := range 3 {
		before := s.countUnanswered(writeKinds["acceptance"])
		s.dropResponses(writeKinds["acceptance"], 1)
		first := arrayJob(10*round, 1, "red")
		s.inBackground(func() { s.users.Submit(round, first); s.submitUntilAccepted(first) })
		s.waitUntil("an acceptance is written and not answered", func() bool { return s.countUnanswered(writeKinds["acceptance"]) > before })
		for node := range s.nodeSettings {
			s.inBackground(func() { s.submitUntilAccepted(dependent(arrayJob(10*round+node+1, 1, "blue"), first)) })
		}
		s.background.Wait()
	}
	for _, c := range s.users.Log().Calls() {
		if c.Kind == history.Submit && (c.Status == 422 || c.Status == 400) {
			t.Errorf("refused: %v", c)
		}
	}
	s.awaitEndAndCheck()
}

// TestLateEndsOfDependencies: some ends are carried out seconds late and are not answered, some are carried out at once
// and not answered. A job starts only after the end of each job that it needs is in the state service, whatever the
// owner or a machine reported before.
func TestLateEndsOfDependencies(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	for i := range 6 {
		s.submitAll(chainOf(arrayJob(100+i, 2, []string{"red", "blue"}[i%2]), 10+2*i)...)
	}
	for i, d := range s.storeEndpoints {
		rng := newRand(uint64(i))
		d.DelayTransactions(func() time.Duration {
			return time.Duration(rng.IntN(3)/2) * time.Duration(300+rng.IntN(2000)) * time.Millisecond
		})
	}
	s.dropResponses(writeKinds["end"], 4)
	s.waitUntil("ends were applied late", func() bool {
		late := 0
		for _, d := range s.storeEndpoints {
			applied, conflicted := d.CountDelayed()
			late += applied + conflicted
		}
		return late > 4 && len(s.storedEnds()) > 3
	})
	for _, d := range s.storeEndpoints {
		d.DelayTransactions(nil)
	}
	s.awaitEndAndCheck()
}

// storedEnds lists the jobs whose ends the state service has received.
func (s *faultScenario) storedEnds() []string {
	ended := map[string]bool{}
	for _, txn := range s.state.AppliedTransactions() {
		for _, o := range txn.Then {
			if uid, isEnd := strings.CutPrefix(o.Set, userapi.EndedJobPrefix); isEnd {
				ended[uid] = true
			}
		}
	}
	return slices.Collect(maps.Keys(ended))
}

// TestMachineOfAFinishedDependencyResumes: a machine hangs while it runs the task of a job, which is therefore done
// elsewhere, and resumes once a job that needs it runs. What it still reports changes neither.
func TestMachineOfAFinishedDependencyResumes(t *testing.T) {
	t.Parallel()
	s := newFaultScenario(t, taskRunTime)
	s.awaitMembers(3)
	first := unevenJob(0, 2, "red")
	second := dependent(endlessJob(0, 2, "blue"), first)
	s.submitAll(first, second)
	s.awaitRunning(first.UID)
	hung := s.machinesOf(first.UID)
	for _, w := range hung {
		w.Hang(true)
	}
	s.awaitStoredEnd(first.UID)
	s.waitUntil("the second runs", func() bool { return s.checker.CountRunningOfJob(second.UID) == second.Tasks })
	for _, w := range hung {
		w.Hang(false)
	}
	starts := s.checker.Starts()
	time.Sleep(quietPeriod)
	if s.checker.Starts() > starts || s.checker.CountRunningOfJob(second.UID) != second.Tasks {
		t.Errorf("%d tasks started after the machine resumed, %d of the second job run", s.checker.Starts()-starts, s.checker.CountRunningOfJob(second.UID))
	}
	if len(hung) == 0 {
		t.Error("no machine ran the first job")
	}
	s.awaitStateEverywhere(first.UID, protocol.Done)
	s.awaitEndAndCheck()
}
