package controller

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"topazhollow/internal/history"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
)

// faultScenario is a test cluster with short timeouts in which a test combines faults while users send requests to all
// controllers. awaitEndAndCheck checks the answers that all users got.
type faultScenario struct {
	*testCluster
	users *simulation.Users
	names []string // of the controllers

	mu         sync.Mutex
	accepted   []*protocol.Submission
	cancelled  map[string]bool // jobs whose user has requested the cancellation
	background sync.WaitGroup  // functions that inBackground started
}

// firstEndlessJob is the lowest number of jobs whose tasks run until they are stopped.
const firstEndlessJob = 500

// firstUnevenJob is the lowest number of jobs whose tasks have widely different run times; they end at firstEndlessJob.
const firstUnevenJob = 400

// jobNumber returns the number in a task's or job's name.
func jobNumber(name string) (number int) {
	_, _ = fmt.Sscanf(name, "job-%d", &number) // 0 if it has none
	return number
}

// taskRunTime returns how long a task runs, by the number of its job.
func taskRunTime(task string) time.Duration {
	const brief = 300 * time.Millisecond
	_, index, _ := protocol.SplitTask(task)
	switch number := jobNumber(task); {
	case number >= firstEndlessJob:
		return time.Hour
	case number >= firstUnevenJob:
		return brief + time.Duration(index)*1500*time.Millisecond
	}
	return brief
}

// newFaultScenario starts a cluster in which an agent's lease lasts 4 s and a cancellation may take 10 s.
func newFaultScenario(t *testing.T, run func(task string) time.Duration) *faultScenario {
	return newFaultScenarioWith(t, run, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 4, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 10})
}

// newFaultScenarioWith starts a cluster with the given timeouts of agents.
func newFaultScenarioWith(t *testing.T, run func(task string) time.Duration, timeouts settings.Agents, prepare ...func(*testCluster)) *faultScenario {
	r := newTestClusterRunning(t, run, timeouts, prepare...)
	r.checker.CancelTimeout = settings.Seconds(timeouts.CancelSeconds)
	s := &faultScenario{testCluster: r, cancelled: map[string]bool{}}
	var listen []string
	for _, set := range r.nodeSettings {
		listen, s.names = append(listen, set.Listen), append(s.names, set.Name)
	}
	s.users = simulation.NewUsers(listen, r.checker)
	t.Cleanup(s.users.Close)
	t.Cleanup(s.logStateIfFailed)
	return s
}

// newRand returns a random source for one user or fault, so that the draws of one do not depend on those of another.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 71)) }

// userDeadline bounds how long a user retries, so that a hung test ends.
func userDeadline(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), 60*time.Second)
}

// submitUntilAccepted submits a job to random controllers until one accepts it.
func (s *faultScenario) submitUntilAccepted(spec *protocol.Submission) {
	ctx, cancel := userDeadline(s.t)
	defer cancel()
	if !s.users.SubmitUntil(ctx, newRand(uint64(jobNumber(spec.UID))), spec) {
		s.t.Errorf("%s was not accepted", spec.UID)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, spec)
}

// cancelUntilAnswered requests a job's cancellation until it is confirmed, or the job is reported as done.
func (s *faultScenario) cancelUntilAnswered(uid string) {
	s.mu.Lock()
	s.cancelled[uid] = true
	s.mu.Unlock()
	ctx, cancel := userDeadline(s.t)
	defer cancel()
	if !s.users.CancelUntil(ctx, newRand(uint64(jobNumber(uid))+1000), uid) {
		s.t.Errorf("%s: the cancellation was not confirmed", uid)
	}
}

// inBackground runs a function concurrently with the test; awaitEndAndCheck waits for it.
func (s *faultScenario) inBackground(do func()) { s.background.Go(do) }

// awaitEndAndCheck waits until every job has ended at every controller and no task is left on machines, and checks the
// answers. All faults must have been undone before the call.
func (s *faultScenario) awaitEndAndCheck() {
	s.t.Helper()
	s.background.Wait()
	s.awaitJobEnds()
	s.checkAnswers()
}

// awaitJobEnds waits until every controller reports the end of each job, and then that no task is left or started.
// Endless jobs are cancelled; a job whose cancellation was requested may also be done, and one that needs such a job may be
// cancelled with it.
func (s *faultScenario) awaitJobEnds() {
	s.t.Helper()
	for _, job := range s.accepted {
		if !s.cancelled[job.UID] && jobNumber(job.UID) >= firstEndlessJob {
			s.cancelUntilAnswered(job.UID)
		}
		for node := range s.nodeSettings {
			s.waitUntil(fmt.Sprintf("%s has ended at %s", job.UID, s.names[node]), func() bool {
				status, state := s.users.Ask(node, job.UID)
				return status == 200 && (state == protocol.Done || state == protocol.Cancelled && (s.cancelled[job.UID] || s.cancelledWithAnother(job)))
			})
		}
	}
	s.waitUntil("nothing is left on machines", func() bool { return s.checker.CountRunning() == 0 })
	starts := s.checker.Starts()
	time.Sleep(quietPeriod)
	if s.checker.CountRunning() > 0 || s.checker.Starts() > starts {
		s.t.Errorf("%d tasks started after all jobs had ended", s.checker.Starts()-starts)
	}
}

// quietPeriod is how long no task may start after all jobs have ended: several heartbeats of every agent.
const quietPeriod = time.Second

// checkAnswers checks all answers to users for consistency, and the rules that the checker observed.
func (s *faultScenario) checkAnswers() {
	s.t.Helper()
	for _, v := range history.Check(s.users.Log().Calls()) {
		s.t.Errorf("%v", v)
	}
	for _, broken := range s.checker.BrokenRules() {
		s.t.Error(broken)
	}
	s.checkDependentEnds()
}

// owner returns the number of the controller that owns a shard according to any controller's record; -1: none.
func (s *faultScenario) owner(shard string) int {
	for _, o := range s.overviews() {
		if i := slices.Index(s.names, o.Owners[shard]); i >= 0 && slices.Contains(o.Members, o.Owners[shard]) {
			return i
		}
	}
	return -1
}

// awaitReadyOwner waits until a shard has an owner that may act on it, and returns the owner's number.
func (s *faultScenario) awaitReadyOwner(shard string) (owner int) {
	s.t.Helper()
	s.waitUntil("an owner of "+shard+" is ready", func() bool {
		owner = slices.IndexFunc(s.names, func(name string) bool { return s.ownsReadyShard(name, shard) })
		return owner >= 0
	})
	return owner
}

// ownsReadyShard returns whether a controller is entitled and owns a shard that has passed its barrier.
func (s *faultScenario) ownsReadyShard(name, shard string) bool {
	return slices.ContainsFunc(s.overviews(), func(o overview) bool {
		return o.Node == name && o.Entitled && o.Owners[shard] == name && o.Shards[shard].Phase == shards.Ready.String()
	})
}

// awaitMembers waits until so many controllers answer, and each knows a record with so many members.
func (s *faultScenario) awaitMembers(count int) {
	s.t.Helper()
	s.waitUntil(fmt.Sprintf("%d members", count), func() bool {
		all := s.overviews()
		return len(all) == count && !slices.ContainsFunc(all, func(o overview) bool { return len(o.Members) != count })
	})
}

// term returns the highest term that any controller reports.
func (s *faultScenario) term() (term uint64) {
	for _, o := range s.overviews() {
		term = max(term, o.Term)
	}
	return term
}

// endlessJob returns a job whose tasks run until they are stopped.
func endlessJob(i, tasks int, team string) *protocol.Submission {
	return arrayJob(firstEndlessJob+i, tasks, team)
}

// unevenJob returns a job whose tasks have widely different run times.
func unevenJob(i, tasks int, team string) *protocol.Submission {
	return arrayJob(firstUnevenJob+i, tasks, team)
}

// machinesOf lists the agents of the machines that run a task of a job.
func (s *faultScenario) machinesOf(uid string) (on []*simulation.Agent) {
	for _, w := range s.cloud.Agents() {
		if runsJob(w, uid) {
			on = append(on, w)
		}
	}
	return on
}

// writesKey returns whether a transaction sets or deletes a key with a prefix.
func writesKey(txn *protocol.Txn, prefix string) bool {
	return slices.ContainsFunc(txn.Then, func(o protocol.Op) bool { return strings.HasPrefix(o.Set+o.Delete, prefix) })
}

// post sends a controller a body without recording it as a user's request, and returns the status code; 0: no answer.
func (s *faultScenario) post(node int, path string, body []byte) int {
	resp, err := s.httpc.Post("http://"+s.nodeSettings[node].Listen+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// logStateIfFailed logs the running tasks of all machines and the controllers' overviews if the test has failed.
func (s *faultScenario) logStateIfFailed() {
	if !s.t.Failed() {
		return
	}
	for _, w := range s.cloud.Agents() {
		zone, spot := w.Place()
		s.t.Log(w.Name(), zone, spot, w.RunningTasks())
	}
	for _, o := range s.overviews() {
		s.t.Logf("%s: term %d, entitled %v, members %v, owners %v, shards %+v, machines %+v", o.Node, o.Term, o.Entitled, o.Members, o.Owners, o.Shards, o.Machines)
	}
	for _, job := range s.accepted {
		s.t.Logf("%s of %s: %d of %d tasks on machines", job.UID, job.Team, s.checker.CountRunningOfJob(job.UID), job.Tasks)
	}
}
