package controller

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"topazhollow/internal/cancelwatermark"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
	"topazhollow/internal/userapi"
)

// newLongTaskCluster starts a cluster with short timeouts, whose tasks run far longer than a cancellation may take.
func newLongTaskCluster(t *testing.T) *testCluster {
	r := newTestClusterWith(t, time.Hour, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 4, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 10})
	r.checker.CancelTimeout = 10 * time.Second
	return r
}

// requestAt sends a request to one controller.
func (r *testCluster) requestAt(i int, method, path string, body any) (int, protocol.Status) {
	all := r.nodeSettings
	r.nodeSettings = all[i : i+1]
	defer func() { r.nodeSettings = all }()
	return r.request(method, path, body)
}

// cancelAt requests a job's cancellation from one controller until it is confirmed, and returns the time of that.
func (r *testCluster) cancelAt(i int, uid string) time.Time {
	r.checker.RecordCancellation(uid)
	r.waitUntil("cancelled", func() bool {
		status, st := r.requestAt(i, "POST", protocol.PathSubmit+"/"+uid+"/withdraw", struct{}{})
		r.checker.RecordAnswer(uid, status, st.State, false)
		return status == 200 && st.State == protocol.Cancelled
	})
	return time.Now()
}

// awaitRunningAtOtherHome waits until a machine runs a task of each job while its home owns none of the jobs' teams,
// and returns the machine's agent and the number of its home.
func (r *testCluster) awaitRunningAtOtherHome(jobs ...*protocol.Submission) (w *simulation.Agent, home int) {
	record := &leadership.Record{Nodes: map[string]uint64{}}
	for _, s := range r.nodeSettings {
		record.Nodes[s.Name] = 1
	}
	r.waitUntil("a machine with another home runs the jobs", func() bool {
		for _, o := range r.overviews() {
			for _, x := range r.cloud.Agents() {
				elsewhere := func(j *protocol.Submission) bool {
					return runsJob(x, j.UID) && o.Owners[shards.ForTeam(j.Team)] != record.Home(x.Name())
				}
				if len(o.Members) == 3 && !slices.ContainsFunc(jobs, func(j *protocol.Submission) bool { return !elsewhere(j) }) {
					w = x
					return true
				}
			}
		}
		return false
	})
	home = slices.IndexFunc(r.nodeSettings, func(s *settings.Settings) bool { return s.Name == record.Home(w.Name()) })
	return w, home
}

// runsJob returns whether a machine runs a task of a job.
func runsJob(w *simulation.Agent, job string) bool {
	return slices.ContainsFunc(w.RunningTasks(), func(task string) bool { uid, _, _ := protocol.SplitTask(task); return uid == job })
}

// writeCancellation writes a job's cancellation to the state service, as a controller does that crashes before it sends
// anyone the result.
func (r *testCluster) writeCancellation(job *protocol.Submission) {
	r.checker.RecordCancellation(job.UID)
	end := userapi.JobEnd{State: protocol.Cancelled, Tasks: job.Tasks, Team: job.Team}
	txn := protocol.Txn{Conditions: []protocol.Condition{{Key: userapi.EndedJobPrefix + job.UID}},
		Then: []protocol.Op{{Delete: userapi.ActiveJobPrefix + job.UID}, {Set: userapi.EndedJobPrefix + job.UID, Value: protocol.Encode(end)}}}
	resp, err := r.httpc.Post("http://"+r.state.Addr()+"/txn", "application/json", bytes.NewReader(protocol.Encode(txn)))
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.t.Fatalf("the cancellation was not written: %d", resp.StatusCode)
	}
}

// TestRefusedOwnerThenOutage: the state service refuses one controller, another takes over and confirms a cancellation;
// then the state service is down for all, while a machine still sends heartbeats to the first controller. The first
// controller, with its outdated record, must not count the promises of the others: it would be entitled again and renew
// the machine's lease throughout the outage.
func TestRefusedOwnerThenOutage(t *testing.T) {
	r := newLongTaskCluster(t)
	job := arrayJob(600, 12, "red")
	r.submit(job)
	w, a := r.awaitRunningAtOtherHome(job)
	b := (a + 1) % 3
	w.LimitReach(r.nodeSettings[a].Name)
	r.storeEndpoints[a].RefuseAll(true)
	r.waitUntil("the refused controller is no member", func() bool {
		for _, o := range r.overviews() {
			if o.Node != r.nodeSettings[a].Name && len(o.Members) == 2 {
				return true
			}
		}
		return false
	})
	r.writeCancellation(job) // only the controller that confirms it can send it to the first one
	confirmedAt := r.cancelAt(b, job.UID)
	if !slices.ContainsFunc(r.overviews(), func(o overview) bool { return o.Node == r.nodeSettings[b].Name && o.Cancellations == 1 }) {
		t.Error("the overview does not count a confirmed cancellation that another controller had written")
	}
	r.state.SetOutage(true)
	if len(w.RunningTasks()) == 0 {
		t.Fatal("the machine ran no task when the outage began")
	}
	r.waitUntil("its tasks have ended", func() bool { return len(w.RunningTasks()) == 0 })
	r.waitUntil("the time that a cancellation may take has passed", func() bool { return time.Since(confirmedAt) > r.checker.CancelTimeout+time.Second })
	r.state.SetOutage(false)
	r.storeEndpoints[a].RefuseAll(false)
	w.LimitReach()
	r.waitUntil("all three are members again", func() bool { o := r.overviews(); return len(o) > 0 && len(o[0].Members) == 3 })
}

// TestRefusedOwnerLearnsCancellations: a controller that the state service refuses for less than the controller's lease
// remains owner and home, and its watch hangs until into the outage. It must stop the tasks of a job whose cancellation
// another controller confirmed, and keep all others alive through an outage far longer than a lease and a cancellation.
func TestRefusedOwnerLearnsCancellations(t *testing.T) {
	r := newLongTaskCluster(t)
	job, other := arrayJob(610, 7, "red"), arrayJob(612, 5, "red")
	r.submit(job)
	r.submit(other)
	w, a := r.awaitRunningAtOtherHome(job, other)
	w.LimitReach(r.nodeSettings[a].Name) // no other controller can keep it alive
	r.storeEndpoints[a].RefuseAll(true)
	r.peerPaths.Isolate(a, true) // messages are lost with the connection, and must be sent again
	confirmedAt := r.cancelAt((a+1)%3, job.UID)
	r.state.SetOutage(true)
	r.peerPaths.Isolate(a, false)
	r.waitUntil("the outage outlasts lease and cancellation", func() bool { return time.Since(confirmedAt) > r.checker.CancelTimeout+4*time.Second })
	if !runsJob(w, other.UID) || runsJob(w, job.UID) {
		t.Errorf("after the outage the machine runs %v, not just the job that was not cancelled", w.RunningTasks())
	}
	r.state.SetOutage(false)
	r.storeEndpoints[a].RefuseAll(false)
	if st := r.queryState(job.UID); st != protocol.Cancelled && st != "" {
		t.Errorf("cancelled job is %s", st)
	}
}

// TestPromisesOfALaterRecord: promises to raise no term must not entitle a controller that knows only an earlier record
// than the one that they refer to.
func TestPromisesOfALaterRecord(t *testing.T) {
	g := newNodeHarness(1, 1)
	n := g.n
	n.startedAt = n.startedAt.Add(-time.Minute)
	now := time.Now()
	noPromises := func() {
		newLeadership(n, now, "node-b")
		n.leadership.Adopt(n.leadership.Record(), 7, now)
	}
	promise := func(version *uint64) bool {
		noPromises()
		s := statusMsg{Promise: true, RecordVersion: version, Received: map[string]receivedStatus{n.name: {Incarnation: n.incarnation, SentAt: now.Sub(n.startedAt).Milliseconds()}}}
		n.applyPromise("node-b", &s, now)
		return n.entitled(now)
	}
	version := func(v uint64) *uint64 { return &v }
	for what, got := range map[string][2]bool{
		"the same record": {promise(version(7)), true}, "an earlier one": {promise(version(6)), true},
		"a later one": {promise(version(8)), false}, "none named": {promise(nil), false},
	} {
		if got[0] != got[1] {
			t.Errorf("a promise for %s entitles: %v", what, got[0])
		}
	}
	// A promise that acknowledges a status that this process has not sent yet must not count, as it would hold for
	// ever.
	noPromises()
	n.applyPromise("node-b", &statusMsg{Promise: true, RecordVersion: version(7), Received: map[string]receivedStatus{n.name: {Incarnation: n.incarnation, SentAt: 1 << 50}}}, now)
	if n.entitled(now) {
		t.Error("a promise that acknowledges a status that was never sent entitles")
	}
}

// TestIsolatedOwner: a controller is cut off from the state service and from the other controllers, while a machine and
// users still reach it, and a job is cancelled through another controller. The isolated controller must answer no user
// with an older state, report itself as unhealthy, and let the machine's tasks end in time, although it learns of
// nothing.
func TestIsolatedOwner(t *testing.T) {
	r := newLongTaskCluster(t)
	job := arrayJob(620, 12, "red")
	r.submit(job)
	w, a := r.awaitRunningAtOtherHome(job)
	w.LimitReach(r.nodeSettings[a].Name)
	r.storeEndpoints[a].RefuseAll(true)
	r.peerPaths.Isolate(a, true)
	confirmedAt := r.cancelAt((a+1)%3, job.UID)
	if !runsJob(w, job.UID) {
		t.Fatal("the machine ran no task when the cancellation was confirmed")
	}
	r.state.SetOutage(true) // so that no fleet owner returns the machine to the cloud
	answers, healthy := 0, true
	r.waitUntil("its tasks have ended and the controller is unhealthy", func() bool {
		status, st := r.requestAt(a, "GET", protocol.PathSubmit+"/"+job.UID, nil)
		r.checker.RecordAnswer(job.UID, status, st.State, false)
		if status == 503 {
			answers++
		}
		status, _ = r.requestAt(a, "GET", protocol.PathHealth, nil)
		healthy = status == 200
		return !runsJob(w, job.UID) && !healthy
	})
	if time.Since(confirmedAt) > r.checker.CancelTimeout || answers == 0 {
		t.Errorf("the tasks ended %v after the confirmation, %d queries were answered with 503", time.Since(confirmedAt), answers)
	}
	for i := range r.nodeSettings {
		if status, _ := r.requestAt(i, "GET", protocol.PathHealth, nil); i != a && status != 200 {
			t.Errorf("controller %d, which serves, is unhealthy too", i)
		}
	}
	r.state.SetOutage(false)
	r.storeEndpoints[a].RefuseAll(false)
	r.peerPaths.Isolate(a, false)
	w.LimitReach()
	r.waitUntil("all three are members again", func() bool { o := r.overviews(); return len(o) > 0 && len(o[0].Members) == 3 })
	r.waitUntil("it reports the cancellation", func() bool {
		_, st := r.requestAt(a, "GET", protocol.PathSubmit+"/"+job.UID, nil)
		return st.State == protocol.Cancelled
	})
}

// TestLateWrites: some of all controllers' transactions get no answer and are carried out seconds later, after newer
// ones, even if the controller that sent them has crashed meanwhile. That concerns all kinds: acceptances,
// cancellations, ends, pages, rosters, lease keys and the membership record.
func TestLateWrites(t *testing.T) {
	r := newTestClusterWith(t, 400*time.Millisecond, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 20, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60})
	for _, d := range r.storeEndpoints {
		count := 0
		d.DelayTransactions(func() time.Duration { // alternately short, before any newer transaction, and long, after newer ones
			if count++; count%4 > 0 {
				return 0
			}
			return []time.Duration{300 * time.Millisecond, 5 * time.Second}[count/4%2]
		})
	}
	var jobs []*protocol.Submission
	for i := range 6 {
		j := arrayJob(630+i, 1+i%3, []string{"red", "blue"}[i%2])
		r.submit(j)
		if i == 2 {
			r.checker.RecordCancellation(j.UID)
			r.waitUntil("cancelled or done", func() bool {
				status, st := r.request("POST", protocol.PathSubmit+"/"+j.UID+"/withdraw", struct{}{})
				r.checker.RecordAnswer(j.UID, status, st.State, false)
				return status == 200
			})
			continue
		}
		jobs = append(jobs, j)
		if i == 3 {
			r.crash(0)
			r.start(0)
		}
	}
	r.awaitAllDone(jobs)
	for i := 0; ; i++ {
		applied, conflicted := 0, 0
		for _, d := range r.storeEndpoints {
			x, y := d.CountDelayed()
			applied, conflicted = applied+x, conflicted+y
		}
		if applied > 2 && conflicted > 2 {
			break
		}
		if i > 40 {
			t.Fatalf("%d late transactions were applied, %d conflicted with newer ones", applied, conflicted)
		}
		j := arrayJob(670+i, 1, "blue")
		r.submit(j)
		r.awaitAllDone([]*protocol.Submission{j})
	}
	for _, d := range r.storeEndpoints {
		d.DelayTransactions(nil)
	}
	last := arrayJob(640, 4, "red")
	r.submit(last)
	r.awaitAllDone([]*protocol.Submission{last})
	for _, o := range r.overviews() {
		if o.Store.Epoch != 1 {
			t.Errorf("late transactions were taken for a loss of data: epoch %d", o.Store.Epoch)
		}
	}
}

// hasWritten returns whether a key with a prefix has been set.
func (r *testCluster) hasWritten(prefix string) bool {
	return slices.ContainsFunc(r.state.AppliedTransactions(), func(txn protocol.Txn) bool {
		return slices.ContainsFunc(txn.Then, func(o protocol.Op) bool { return strings.HasPrefix(o.Set, prefix) })
	})
}

// TestNoWriteAppliesTwice: transactions of every kind are repeated after newer ones, in the order in which they were
// sent and in reverse, as when the state service gave no answer. None may be applied again: each has a condition on a
// version that its first application, or a later transaction, has changed.
func TestNoWriteAppliesTwice(t *testing.T) {
	r := newTestClusterWith(t, 600*time.Millisecond, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 20, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60})
	jobs := []*protocol.Submission{arrayJob(680, 9, "red"), arrayJob(681, 3, "blue")}
	for _, j := range jobs {
		r.submit(j)
	}
	over := arrayJob(682, 20, "red")
	r.submit(over)
	r.withdraw(over.UID)
	r.awaitAllDone(jobs)
	// A page is written only while a job is partly done, which never happened in some runs under load.
	for i := 0; !r.hasWritten("b/"); i++ {
		if i == 10 {
			t.Fatal("ten jobs were done, and no page was written")
		}
		more := arrayJob(684+2*i, 40, "red") // more than the limit lets run at once
		r.submit(more)
		r.awaitAllDone([]*protocol.Submission{more})
	}
	for _, txn := range r.state.AppliedTransactions() { // while the record is still the same
		if r.state.RepeatTransaction(txn) {
			t.Errorf("applied again under the same record: %s", protocol.Encode(txn))
		}
	}
	r.crash(1)
	r.start(1)
	late := arrayJob(683, 2, "blue")
	r.submit(late)
	r.awaitAllDone([]*protocol.Submission{late})
	r.waitUntil("all three are members again", func() bool { o := r.overviews(); return len(o) == 3 && len(o[0].Members) == 3 })
	for i := range r.nodes { // later writes would hide a transaction that is applied again
		r.crash(i)
	}
	carried := r.state.AppliedTransactions()
	kinds := map[string]int{recordKey: 0, presencePrefix: 0, rosterPrefix: 0, userapi.ActiveJobPrefix: 0, userapi.EndedJobPrefix: 0, "b/": 0, datarecovery.EpochKey: 0}
	for _, txn := range carried {
		for _, o := range txn.Then {
			for prefix := range kinds {
				if strings.HasPrefix(o.Set+o.Delete, prefix) {
					kinds[prefix]++
				}
			}
		}
	}
	for prefix, n := range kinds {
		if n == 0 {
			t.Errorf("no write of %s could be repeated", prefix)
		}
	}
	for range 2 {
		for _, txn := range carried {
			if r.state.RepeatTransaction(txn) {
				t.Errorf("applied again: %s", protocol.Encode(txn))
			}
		}
		slices.Reverse(carried)
	}
}

// TestLateHeartbeats: copies of heartbeats arrive up to well over a lease later: of incarnations, attempts and machines
// that have ended, and at restarted controllers that know none of them.
func TestLateHeartbeats(t *testing.T) {
	r := newTestClusterWith(t, time.Second, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 3, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 10})
	r.checker.CancelTimeout = 10 * time.Second
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(8, 8))
	again := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if rng.IntN(2) == 0 {
			return 0
		}
		return 300*time.Millisecond + time.Duration(rng.IntN(6000))*time.Millisecond
	}
	repeats := func() (sum int) {
		for _, w := range r.cloud.Agents() {
			sum += w.CountRepeated()
		}
		return sum
	}
	var jobs []*protocol.Submission
	for i := range 3 {
		j := arrayJob(650+2*i, 8, []string{"red", "blue"}[i%2])
		jobs = append(jobs, j)
		r.submit(j)
		r.waitUntil("tasks run", func() bool { return r.checker.CountRunning() > 0 })
		ws := r.cloud.Agents()
		for _, w := range ws {
			w.RepeatHeartbeats(again)
		}
		ws[i%len(ws)].BeginIncarnation()
		r.crash(i)
		r.start(i)
		before := repeats()
		r.waitUntil("copies arrived", func() bool { return repeats() > before+10 })
	}
	r.awaitAllDone(jobs)
	for _, o := range r.overviews() {
		if o.Store.Epoch != 1 {
			t.Errorf("late heartbeats were taken for a loss of data: epoch %d", o.Store.Epoch)
		}
	}
}

// TestMachineWithoutAnswersAcrossCrash: a machine's heartbeats arrive but the answers and commands to it are lost, its
// home crashes, and one of its jobs is cancelled. No task of that job may run for longer than a cancellation may take,
// and the machine's other job continues elsewhere once its tasks there are proven to have ended.
func TestMachineWithoutAnswersAcrossCrash(t *testing.T) {
	r := newTestClusterWith(t, 6*time.Second, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 4, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 10})
	r.checker.CancelTimeout = 10 * time.Second
	cancelled, other := arrayJob(660, 7, "red"), arrayJob(662, 5, "red")
	r.submit(cancelled)
	r.submit(other)
	w, a := r.awaitRunningAtOtherHome(cancelled, other)
	w.DropAnswers(true)
	r.crash(a)
	r.cancelAt((a+1)%3, cancelled.UID)
	r.start(a)
	r.waitUntil("no task of the cancelled job runs", func() bool { return !runsJob(w, cancelled.UID) })
	r.awaitAllDone([]*protocol.Submission{other})
	w.DropAnswers(false)
	r.waitUntil("still cancelled", func() bool { return r.queryState(cancelled.UID) == protocol.Cancelled })
}

// TestOldHeartbeatsProveNoLoss: two late copies of the heartbeats of a machine that is gone by now reach a controller
// that never knew the machine. They must not count as proof that the state service lost a roster, which would begin a
// new epoch.
func TestOldHeartbeatsProveNoLoss(t *testing.T) {
	g := newNodeHarness(1, 1)
	n := g.n
	g.submit(1, 4)
	gone, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := gone.Addr().String()
	gone.Close()
	n.ctx = context.Background()
	at := g.now
	for seq := range uint64(6) {
		n.mu.Lock()
		r := protocol.Heartbeat{Machine: "n-000900", Addr: addr, Type: "m32", Zone: "east", Incarnation: 1, Seq: seq + 1, FencingToken: 1,
			Tasks: []protocol.TaskStatus{{Task: "job-000001/0", Attempt: 1, State: protocol.Running}}}
		n.applyHeartbeat(&r, at)
		at = at.Add(settings.Seconds(n.settings.Deployment.Agents.HeartbeatSeconds))
		n.cancelWatermark.RecordRead(at)
		n.mu.Unlock()
		_ = n.group.Wait() // for the probe of the machine
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.machine("n-000900"); !m.unregistered.Suspected() || !m.unregistered.Probed() {
		t.Error("the machine was not probed")
	}
	if proof, proved := n.recovery.detection.Proved(); proved {
		t.Errorf("counted as proof of a loss: %s", proof)
	}
}

// TestRenewal: a controller may renew a lease only while its knowledge of cancellations is recent enough, also if it is
// entitled. Without that bound an entitled controller renews leases whatever the machine runs, and however long ago it
// last received cancellations.
func TestRenewal(t *testing.T) {
	g := newNodeHarness(2, 1)
	n := g.n
	g.submit(4, 4) // job-000001
	g.submit(4, 4)
	n.endJob("job-000002")
	n.userAPI.RecordEnd("job-000003", userapi.JobEnd{State: protocol.Cancelled, Tasks: 1, Team: "team-0"})
	n.mu.Lock() // lookups in the background take it too
	reach := settings.Seconds(n.settings.Deployment.Agents.CancelSeconds - n.settings.Deployment.Agents.LeaseSeconds)
	seq := uint64(10)
	ask := func(at time.Time, state protocol.TaskState, tasks ...string) (status int, stopped []string) {
		seq++
		r := protocol.Heartbeat{Machine: g.machineNames[0], Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: seq, FencingToken: 1, Tasks: []protocol.TaskStatus{}}
		for _, task := range tasks {
			r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: task, Attempt: 1, State: state, Reason: protocol.ReasonDone})
		}
		n.leadership.LeaseRenewed(at)
		a := n.encodeAnswer(n.answerHeartbeat(&r, at))
		var answer protocol.HeartbeatAnswer
		if err := protocol.Decode(a.Body, &answer); err != nil {
			t.Fatal(err)
		}
		for _, c := range answer.Commands {
			if c.Op == protocol.Stop {
				stopped = append(stopped, c.Task)
			}
		}
		return a.Status, stopped
	}
	for what, c := range map[string]struct {
		after  time.Duration
		state  protocol.TaskState
		task   string
		status int
		stop   bool
	}{
		"an active job":                  {time.Second, protocol.Running, "job-000001/0", 200, false},
		"a job that was cancelled":       {time.Second, protocol.Running, "job-000002/0", 200, true},
		"one known only by its end":      {time.Second, protocol.Running, "job-000003/0", 200, true},
		"an unknown job":                 {time.Second, protocol.Running, "job-000009/0", 503, false},
		"an exited task of it":           {time.Second, protocol.Exited, "job-000009/0", 200, false},
		"shortly before the bound":       {reach - 3*time.Second, protocol.Running, "job-000001/0", 200, false},
		"after it":                       {reach, protocol.Running, "job-000001/0", 503, false},
		"after it, with nothing running": {reach, protocol.Exited, "job-000001/0", 503, false},
	} {
		status, stopped := ask(g.now.Add(c.after), c.state, c.task)
		if status != c.status || slices.Contains(stopped, c.task) != c.stop {
			t.Errorf("%s: answered with %d, stops %v", what, status, stopped)
		}
	}
	// An owner's order proves that the job is active before the watch delivers its key.
	n.agents.SetTerm(1, func(string) bool { return true })
	o := jobstate.Order{Op: protocol.Start, TaskID: jobstate.TaskID{Job: "job-000008"}, Attempt: 1, Incarnation: 1, CPUs: 1, MemoryGB: 1}
	n.agents.QueueOrders(1, g.machineNames[0], []jobstate.Order{o})
	if status, _ := ask(g.now.Add(time.Second), protocol.Running, "job-000008/0"); status != 200 {
		t.Errorf("a task that its owner ordered here is answered with %d", status)
	}
	// A start is held back for as long as the machine's lease may not be renewed.
	n.peers["node-b"] = &peerState{}
	n.leadership.LeaseRenewed(time.Now())
	o.TaskID.Job = "job-000007"
	n.agents.QueueOrders(1, g.machineNames[0], []jobstate.Order{o})
	if m := n.agents.Get(g.machineNames[0]); !m.HasQueuedStart() {
		t.Fatal("no start is queued")
	}
	n.mu.Unlock()
	sender := &commandSender{machine: g.machineNames[0]}
	n.mu.Lock()
	*n.cancelWatermark = *cancelwatermark.New([]string{"node-b"}, 0, 0)
	n.cancelWatermark.RecordRead(time.Now().Add(-time.Minute))
	n.mu.Unlock()
	if n.sendCommandsOnce(n.ctx, sender) || sender.conn != nil {
		t.Error("a start is sent though the knowledge of cancellations is too old")
	}
	n.mu.Lock()
	n.cancelWatermark.RecordRead(time.Now())
	n.mu.Unlock()
	if n.sendCommandsOnce(n.ctx, sender); sender.conn == nil {
		t.Error("a start is not sent though the knowledge of cancellations is recent")
	}
}
