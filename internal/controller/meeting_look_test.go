package controller

import (
	"slices"
	"testing"
	"time"

	"topazhollow/internal/history"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// looks is how many times each controller is asked after each event.
const looks = 4

// lives has a job accepted, looked at, ended or cancelled at once, and looked at again.
func (s *scene) lives(spec *protocol.Submission, cancels bool) {
	s.enter(spec)
	s.users.AskEveryController(spec, looks)
	if cancels {
		s.cancel(spec.UID)
	} else {
		ctx, cancel := userPatience(s.t)
		defer cancel()
		if !s.users.AwaitEnd(ctx, draws(uint64(jobNumber(spec.UID))), spec.UID) {
			s.t.Errorf("%s did not end", spec.UID)
		}
	}
	s.users.AskEveryController(spec, looks)
}

// looked counts the controllers that were asked after an answer of a kind had arrived, while others were asked too.
func looked(calls []history.Call, event func(c history.Call) bool) int {
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

// TestCloseLooks: users ask at all controllers within milliseconds, and repeat the submission, right after a job was
// accepted, ended or confirmed as cancelled, beside a trouble that lets controllers know different things. No
// controller answers something older than any of them did.
func TestCloseLooks(t *testing.T) {
	t.Parallel()
	for name, trouble := range map[string]func(s *scene){
		"quiet": func(*scene) {},
		"answers of the service are lost": func(s *scene) {
			for i, d := range s.doors {
				rng := draws(uint64(i))
				d.DropAnswers(func(*protocol.Txn) bool { return rng.IntN(6) == 0 })
			}
		},
		"the service answers slowly": func(s *scene) {
			for i, d := range s.doors {
				d.DelayAnswers(time.Duration(100*i) * time.Millisecond)
			}
		},
		"writes lag": func(s *scene) {
			for i, d := range s.doors {
				rng := draws(uint64(i))
				d.DelayTransactions(func() time.Duration { return time.Duration(rng.IntN(8)/7) * 600 * time.Millisecond })
			}
		},
		"controllers do not hear each other": func(s *scene) {
			for i := range s.nodeSettings {
				s.pipes.Isolate(i, true)
			}
			s.beside(func() {
				time.Sleep(3 * time.Second)
				for i := range s.nodeSettings {
					s.pipes.Isolate(i, false)
				}
			})
		},
		"a leader ends": func(s *scene) {
			leader := s.leader(shards.ForTeam("red"))
			s.beside(func() { s.crash(leader); s.start(leader) })
		},
		"the service refuses the leader": func(s *scene) {
			leader := s.leader(shards.ForTeam("red"))
			s.beside(func() {
				s.doors[leader].RefuseAll(true)
				time.Sleep(time.Second)
				s.doors[leader].RefuseAll(false)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := openScene(t, sceneRun)
			s.members(3)
			trouble(s)
			for i := range 12 {
				job, cancels := arrayJob(i, 1+i%3, []string{"red", "blue"}[i%2]), i%4 == 0
				if cancels {
					job = endless(i, 1, job.Team)
				}
				s.beside(func() { s.lives(job, cancels) })
			}
			s.behind.Wait()
			for _, d := range s.doors {
				d.DropAnswers(nil)
				d.DelayTransactions(nil)
				d.DelayAnswers(0)
			}
			s.settle()
			calls := s.users.Log().Calls()
			for event, happened := range map[string]func(c history.Call) bool{
				"accepted":  func(c history.Call) bool { return c.Status == 201 },
				"done":      func(c history.Call) bool { return c.Status == 200 && c.State == protocol.Done },
				"cancelled": func(c history.Call) bool { return c.Kind == history.Cancel && c.State == protocol.Cancelled },
			} {
				if n := looked(calls, happened); n < len(s.nodeSettings) {
					t.Errorf("after a job was %s only %d controllers told of it", event, n)
				}
			}
		})
	}
}

// TestEndMeetsUsers: a cancellation, a question and a repeated submission come at the moment at which a job's last task
// ends, with no other trouble. All answers agree on one end.
func TestEndMeetsUsers(t *testing.T) {
	t.Parallel()
	s := openScene(t, sceneRun)
	s.members(3)
	for i := range 16 {
		job := arrayJob(i, 1+i%2, []string{"red", "blue"}[i%2])
		s.beside(func() {
			s.enter(job)
			s.waitUntil(job.UID+" is on a machine", func() bool { return s.checker.CountOfJob(job.UID) > 0 })
			s.waitUntil(job.UID+" leaves its machine", func() bool { return s.checker.CountOfJob(job.UID) == 0 })
			s.beside(func() { s.users.AskEveryController(job, looks) })
			s.cancel(job.UID)
		})
	}
	s.settle()
	ends := []protocol.JobState{}
	for _, c := range s.users.Log().Calls() {
		if c.Kind == history.Cancel && c.Status == 200 {
			ends = append(ends, c.State)
		}
	}
	if !slices.Contains(ends, protocol.Done) && !slices.Contains(ends, protocol.Cancelled) {
		t.Error("no cancellation met an end")
	}
}

// TestRefusals: what can't run or lacks a field is refused with 422 or 400, the repetition of an unfinished job is not,
// whatever it says, and the cancellation of a job that is done answers so; at every controller and beside a leader's end.
func TestRefusals(t *testing.T) {
	t.Parallel()
	s := openScene(t, sceneRun)
	s.members(3)
	running, over := endless(1, 2, "red"), arrayJob(2, 1, "blue")
	s.enter(running)
	s.enter(over)
	s.waitUntil("one is over", func() bool { _, state := s.users.Ask(0, over.UID); return state == protocol.Done })
	check := func() {
		for node := range s.nodeSettings {
			s.refuses(node)
			s.waitUntil("an unfinished job's repetition is known", func() bool {
				repeated := *running
				repeated.Team, repeated.CPUs = "nobody", 900
				status, state := s.users.Submit(node, &repeated)
				return status == 200 && state != protocol.Cancelled
			})
			s.waitUntil("a job that is done can't be cancelled", func() bool {
				status, state := s.users.Cancel(node, over.UID)
				return status == 200 && state == protocol.Done
			})
		}
	}
	check()
	leader := s.leader(shards.ForTeam("red"))
	s.crash(leader)
	s.start(leader)
	check()
	s.settle()
}

// refuses sends one controller submissions that can't be accepted. A controller that can't tell yet may ask to come
// again.
func (s *scene) refuses(node int) {
	far := "nowhere"
	for what, c := range map[string]struct {
		spoil func(*protocol.Submission)
		want  int
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
		c.spoil(job)
		s.waitUntil(what+" is refused", func() bool {
			status, _ := s.users.Submit(node, job)
			if status == 200 || status == 201 {
				s.t.Fatalf("%s was accepted", what)
			}
			return status == c.want
		})
		if status, _ := s.users.Ask(node, job.UID); status == 200 {
			s.t.Errorf("a job that was refused for %s is known", what)
		}
	}
	s.lacksFields(node)
}

// lacksFields sends submissions that each lack one field.
func (s *scene) lacksFields(node int) {
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
