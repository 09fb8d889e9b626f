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

// scene is a region with short times in which a test has troubles meet while users ask at all controllers. Its close
// checks what all of them were answered.
type scene struct {
	*testCluster
	users *simulation.Users
	names []string // the controllers'

	mu        sync.Mutex
	accepted  []*protocol.Submission
	cancelled map[string]bool // by job, once its user asked for it
	behind    sync.WaitGroup  // users that go on beside the script
}

// firstEndless is the number from which on jobs have tasks that never end by themselves.
const firstEndless = 500

// firstUneven is the number from which on, up to the endless ones, jobs have tasks that end far apart.
const firstUneven = 400

// jobNumber is the number in a task's or job's name.
func jobNumber(name string) (number int) {
	_, _ = fmt.Sscanf(name, "job-%d", &number) // 0 if it has none
	return number
}

// sceneRun has tasks run for a moment or endlessly, by their job's number.
func sceneRun(task string) time.Duration {
	const brief = 300 * time.Millisecond
	_, index, _ := protocol.SplitTask(task)
	switch number := jobNumber(task); {
	case number >= firstEndless:
		return time.Hour
	case number >= firstUneven:
		return brief + time.Duration(index)*1500*time.Millisecond
	}
	return brief
}

// openScene opens a region in which a lease takes 4 s and a cancellation may take 10 s.
func openScene(t *testing.T, run func(task string) time.Duration) *scene {
	return openSceneOf(t, run, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 4, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 10})
}

// openSceneOf opens a region with other times of workers.
func openSceneOf(t *testing.T, run func(task string) time.Duration, workers settings.Agents) *scene {
	r := openRegionRunning(t, run, workers)
	r.checker.Cancel = settings.Seconds(workers.CancelSeconds)
	s := &scene{testCluster: r, cancelled: map[string]bool{}}
	var listen []string
	for _, set := range r.nodeSettings {
		listen, s.names = append(listen, set.Listen), append(s.names, set.Name)
	}
	s.users = simulation.NewUsers(listen, r.checker)
	t.Cleanup(s.users.Close)
	t.Cleanup(s.tellIfFailed)
	return s
}

// draws gives numbers of a user's or trouble's own, so that none depends on how often another one draws.
func draws(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 71)) }

// userPatience bounds what a user repeats, so that a hung test ends.
func userPatience(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), 60*time.Second)
}

// enter has a job accepted by any controller.
func (s *scene) enter(spec *protocol.Submission) {
	ctx, cancel := userPatience(s.t)
	defer cancel()
	if !s.users.SubmitUntil(ctx, draws(uint64(jobNumber(spec.UID))), spec) {
		s.t.Errorf("%s was not accepted", spec.UID)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, spec)
}

// cancel has a job's user ask for its cancellation until it is confirmed, or the job is done.
func (s *scene) cancel(uid string) {
	s.mu.Lock()
	s.cancelled[uid] = true
	s.mu.Unlock()
	ctx, cancel := userPatience(s.t)
	defer cancel()
	if !s.users.CancelUntil(ctx, draws(uint64(jobNumber(uid))+1000), uid) {
		s.t.Errorf("%s: the cancellation was not confirmed", uid)
	}
}

// beside does something while the script goes on; settle waits for it.
func (s *scene) beside(do func()) { s.behind.Go(do) }

// settle waits until every job is over at every controller and nothing is left on machines, and checks the answers.
// The troubles have to be over by then.
func (s *scene) settle() {
	s.t.Helper()
	s.behind.Wait()
	s.end()
	s.answersHold()
}

// end waits for the end of each job: cancelled ones may have been done before.
func (s *scene) end() {
	s.t.Helper()
	for _, job := range s.accepted {
		if !s.cancelled[job.UID] && jobNumber(job.UID) >= firstEndless {
			s.cancel(job.UID)
		}
		for node := range s.nodeSettings {
			s.waitUntil(fmt.Sprintf("%s is over at %s", job.UID, s.names[node]), func() bool {
				status, state := s.users.Ask(node, job.UID)
				return status == 200 && (state == protocol.Done || state == protocol.Cancelled && s.cancelled[job.UID])
			})
		}
	}
	s.waitUntil("nothing is left on machines", func() bool { return s.checker.CountOnMachines() == 0 })
	starts := s.checker.Starts()
	time.Sleep(quiet)
	if s.checker.CountOnMachines() > 0 || s.checker.Starts() > starts {
		s.t.Errorf("%d tasks started after all jobs were over", s.checker.Starts()-starts)
	}
}

// quiet is for how long nothing may start once all is over, some reports of every worker.
const quiet = time.Second

// answersHold checks all answers against each other.
func (s *scene) answersHold() {
	s.t.Helper()
	for _, v := range history.Check(s.users.Log().Calls()) {
		s.t.Errorf("%v", v)
	}
	for _, broken := range s.checker.BrokenRules() {
		s.t.Error(broken)
	}
}

// owner gives the number of the controller that owns an item, by the record of any that knows one; -1: none.
func (s *scene) owner(item string) int {
	for _, o := range s.overviews() {
		if i := slices.Index(s.names, o.Owners[item]); i >= 0 && slices.Contains(o.Members, o.Owners[item]) {
			return i
		}
	}
	return -1
}

// leader waits for an owner of an item that is ready to act and gives its number.
func (s *scene) leader(item string) (leader int) {
	s.t.Helper()
	s.waitUntil("an owner of "+item+" is ready", func() bool {
		leader = slices.IndexFunc(s.names, func(name string) bool { return s.leads(name, item) })
		return leader >= 0
	})
	return leader
}

// leads says whether a controller owns an item, is entitled and past its barrier.
func (s *scene) leads(name, item string) bool {
	return slices.ContainsFunc(s.overviews(), func(o overview) bool {
		return o.Node == name && o.Entitled && o.Owners[item] == name && o.Shards[item].Phase == shards.Ready.String()
	})
}

// members waits until all controllers are members and hear of it.
func (s *scene) members(count int) {
	s.t.Helper()
	s.waitUntil(fmt.Sprintf("%d members", count), func() bool {
		all := s.overviews()
		return len(all) == count && !slices.ContainsFunc(all, func(o overview) bool { return len(o.Members) != count })
	})
}

// term is the highest term that any controller tells.
func (s *scene) term() (term uint64) {
	for _, o := range s.overviews() {
		term = max(term, o.Term)
	}
	return term
}

// endless is a job whose tasks run until they are stopped.
func endless(i, tasks int, team string) *protocol.Submission {
	return arrayJob(firstEndless+i, tasks, team)
}

// uneven is a job whose tasks end far apart.
func uneven(i, tasks int, team string) *protocol.Submission { return arrayJob(firstUneven+i, tasks, team) }

// machinesOf lists the machines that run a task of a job.
func (s *scene) machinesOf(uid string) (on []*simulation.Agent) {
	for _, w := range s.cloud.Agents() {
		if has(w, uid) {
			on = append(on, w)
		}
	}
	return on
}

// writes says whether a transaction sets or deletes a key below a prefix.
func writes(txn *protocol.Txn, prefix string) bool {
	return slices.ContainsFunc(txn.Then, func(o protocol.Op) bool { return strings.HasPrefix(o.Set+o.Delete, prefix) })
}

// post sends one controller a body that is not noted as any user's request, and gives the status code; 0: no answer.
func (s *scene) post(node int, path string, body []byte) int {
	resp, err := s.httpc.Post("http://"+s.nodeSettings[node].Listen+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// tellIfFailed logs what runs where, and what the controllers know, at the end of a test that failed.
func (s *scene) tellIfFailed() {
	if !s.t.Failed() {
		return
	}
	for _, w := range s.cloud.Agents() {
		zone, spot := w.Place()
		s.t.Log(w.Name(), zone, spot, w.RunningTasks())
	}
	for _, o := range s.overviews() {
		s.t.Logf("%s: term %d, entitled %v, members %v, owners %v, items %+v, machines %+v", o.Node, o.Term, o.Entitled, o.Members, o.Owners, o.Shards, o.Machines)
	}
	for _, job := range s.accepted {
		s.t.Logf("%s of %s: %d of %d tasks on machines", job.UID, job.Team, s.checker.CountOfJob(job.UID), job.Tasks)
	}
}
