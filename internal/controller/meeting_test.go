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

// newLongTaskCluster is a region with short times in which tasks run far longer than a cancellation may take.
func newLongTaskCluster(t *testing.T) *testCluster {
	r := openRegion(t, time.Hour, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 4, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 10})
	r.checker.Cancel = 10 * time.Second
	return r
}

// askAt sends a request to one controller.
func (r *testCluster) askAt(i int, method, path string, body any) (int, protocol.Status) {
	all := r.nodeSettings
	r.nodeSettings = all[i : i+1]
	defer func() { r.nodeSettings = all }()
	return r.request(method, path, body)
}

// withdrawAt has one controller confirm a withdrawal, and gives the time at which it did.
func (r *testCluster) withdrawAt(i int, uid string) time.Time {
	r.checker.RecordCancellation(uid)
	r.waitUntil("withdrawn", func() bool {
		status, st := r.askAt(i, "POST", protocol.PathSubmit+"/"+uid+"/withdraw", struct{}{})
		r.checker.RecordAnswer(uid, status, st.State, false)
		return status == 200 && st.State == protocol.Cancelled
	})
	return time.Now()
}

// runs waits until a machine runs a task of each job whose teams another controller owns than the machine's home, and
// gives its worker and which controller is its home.
func (r *testCluster) runs(jobs ...*protocol.Submission) (w *simulation.Agent, home int) {
	record := &leadership.Record{Nodes: map[string]uint64{}}
	for _, s := range r.nodeSettings {
		record.Nodes[s.Name] = 1
	}
	r.waitUntil("a machine of another home runs the jobs", func() bool {
		for _, o := range r.overviews() {
			for _, x := range r.cloud.Agents() {
				elsewhere := func(j *protocol.Submission) bool {
					return has(x, j.UID) && o.Owners[shards.ForTeam(j.Team)] != record.Home(x.Name())
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

// has says whether a machine runs a task of a job.
func has(w *simulation.Agent, job string) bool {
	return slices.ContainsFunc(w.RunningTasks(), func(task string) bool { uid, _, _ := protocol.SplitTask(task); return uid == job })
}

// endBehind writes a job's withdrawal to the state service, as a controller does that ends before it tells anybody.
func (r *testCluster) endBehind(job *protocol.Submission) {
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
		r.t.Fatalf("the withdrawal was not written: %d", resp.StatusCode)
	}
}

// TestRefusedLeaderThenOutage is the meeting before all others: the state service refuses one controller alone,
// another takes over and confirms a cancellation; then the service is down for all, and a machine still reports to the
// first one. That one, whose record was old, once collected the others' promises, held itself for entitled again and
// renewed the machine's lease for as long as the outage took.
func TestRefusedLeaderThenOutage(t *testing.T) {
	r := newLongTaskCluster(t)
	job := arrayJob(600, 12, "red")
	r.submit(job)
	w, a := r.runs(job)
	b := (a + 1) % 3
	w.LimitReach(r.nodeSettings[a].Name)
	r.doors[a].RefuseAll(true)
	r.waitUntil("another leads without the refused one", func() bool {
		for _, o := range r.overviews() {
			if o.Node != r.nodeSettings[a].Name && len(o.Members) == 2 {
				return true
			}
		}
		return false
	})
	r.endBehind(job) // the first one hears of it from nobody but who confirms it
	told := r.withdrawAt(b, job.UID)
	if !slices.ContainsFunc(r.overviews(), func(o overview) bool { return o.Node == r.nodeSettings[b].Name && o.Cancellations == 1 }) {
		t.Error("a withdrawal that another one wrote is confirmed without a number")
	}
	r.state.SetOutage(true)
	if len(w.RunningTasks()) == 0 {
		t.Fatal("the machine ran nothing any more when the outage began")
	}
	r.waitUntil("its tasks gone", func() bool { return len(w.RunningTasks()) == 0 })
	r.waitUntil("the time of the cancellation over", func() bool { return time.Since(told) > r.checker.Cancel+time.Second })
	r.state.SetOutage(false)
	r.doors[a].RefuseAll(false)
	w.LimitReach()
	r.waitUntil("all three are members again", func() bool { o := r.overviews(); return len(o) > 0 && len(o[0].Members) == 3 })
}

// TestRefusedOwnerHearsOfWithdrawals: refused for less than its lease a controller stays rightful owner and home, and
// its watch hangs on into the outage. It must stop what another one confirmed as withdrawn, and keep the rest
// alive through an outage far longer than a lease and a cancellation.
func TestRefusedOwnerHearsOfWithdrawals(t *testing.T) {
	r := newLongTaskCluster(t)
	job, other := arrayJob(610, 7, "red"), arrayJob(612, 5, "red")
	r.submit(job)
	r.submit(other)
	w, a := r.runs(job, other)
	w.LimitReach(r.nodeSettings[a].Name) // nobody else can keep it alive
	r.doors[a].RefuseAll(true)
	r.pipes.Isolate(a, true) // what is said meanwhile is lost with its connection, and said again
	told := r.withdrawAt((a+1)%3, job.UID)
	r.state.SetOutage(true)
	r.pipes.Isolate(a, false)
	r.waitUntil("the outage outlasts lease and cancellation", func() bool { return time.Since(told) > r.checker.Cancel+4*time.Second })
	if !has(w, other.UID) || has(w, job.UID) {
		t.Errorf("after the outage the machine runs %v, not just what was not withdrawn", w.RunningTasks())
	}
	r.state.SetOutage(false)
	r.doors[a].RefuseAll(false)
	if st := r.queryState(job.UID); st != protocol.Cancelled && st != "" {
		t.Errorf("withdrawn job is %s", st)
	}
}

// TestPromisesOfALaterRecord: promises to raise no term above a record that one does not know entitle to nothing.
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
			t.Errorf("a promise under %s entitles: %v", what, got[0])
		}
	}
	// A status that names one of this process's own that it never sent promises nothing, or it would for ever.
	noPromises()
	n.applyPromise("node-b", &statusMsg{Promise: true, RecordVersion: version(7), Received: map[string]receivedStatus{n.name: {Incarnation: n.incarnation, SentAt: 1 << 50}}}, now)
	if n.entitled(now) {
		t.Error("a promise from the future entitles")
	}
}

// TestCutLeader: a controller is cut from the state service and from the other controllers while a machine and users
// still reach it, and a job is withdrawn through another one. It must tell no user an older state, send its
// users away, and end what the machine runs in time, though nobody tells it anything.
func TestCutLeader(t *testing.T) {
	r := newLongTaskCluster(t)
	job := arrayJob(620, 12, "red")
	r.submit(job)
	w, a := r.runs(job)
	w.LimitReach(r.nodeSettings[a].Name)
	r.doors[a].RefuseAll(true)
	r.pipes.Isolate(a, true)
	told := r.withdrawAt((a+1)%3, job.UID)
	if !has(w, job.UID) {
		t.Fatal("the machine ran nothing any more when the withdrawal was confirmed")
	}
	r.state.SetOutage(true) // nobody leads any more who could return the machine to the cloud
	answers, healthy := 0, true
	r.waitUntil("its tasks gone and users sent away", func() bool {
		status, st := r.askAt(a, "GET", protocol.PathSubmit+"/"+job.UID, nil)
		r.checker.RecordAnswer(job.UID, status, st.State, false)
		if status == 503 {
			answers++
		}
		status, _ = r.askAt(a, "GET", protocol.PathHealth, nil)
		healthy = status == 200
		return !has(w, job.UID) && !healthy
	})
	if time.Since(told) > r.checker.Cancel || answers == 0 {
		t.Errorf("gone %v after the confirmation, asked %d times in vain", time.Since(told), answers)
	}
	for i := range r.nodeSettings {
		if status, _ := r.askAt(i, "GET", protocol.PathHealth, nil); i != a && status != 200 {
			t.Errorf("controller %d, which serves, sends its users away too", i)
		}
	}
	r.state.SetOutage(false)
	r.doors[a].RefuseAll(false)
	r.pipes.Isolate(a, false)
	w.LimitReach()
	r.waitUntil("all three are members again", func() bool { o := r.overviews(); return len(o) > 0 && len(o[0].Members) == 3 })
	r.waitUntil("it tells the withdrawal", func() bool {
		_, st := r.askAt(a, "GET", protocol.PathSubmit+"/"+job.UID, nil)
		return st.State == protocol.Cancelled
	})
}

// TestLateWrites: of all controllers' transactions some get no answer and are carried out seconds later, after newer
// ones, also across the end of the controller that sent them: acceptances, withdrawals, ends, pages, lists of machines,
// lease keys and the record alike.
func TestLateWrites(t *testing.T) {
	r := openRegion(t, 400*time.Millisecond, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 20, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60})
	for _, d := range r.doors {
		count := 0
		d.DelayTransactions(func() time.Duration { // one soon enough for nothing to come before it, the next one long after
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
			r.waitUntil("withdrawn or done", func() bool {
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
		applied, met := 0, 0
		for _, d := range r.doors {
			x, y := d.CountDelayed()
			applied, met = applied+x, met+y
		}
		if applied > 2 && met > 2 {
			break
		}
		if i > 40 {
			t.Fatalf("%d late transactions changed something, %d met newer ones", applied, met)
		}
		j := arrayJob(670+i, 1, "blue")
		r.submit(j)
		r.awaitAllDone([]*protocol.Submission{j})
	}
	for _, d := range r.doors {
		d.DelayTransactions(nil)
	}
	last := arrayJob(640, 4, "red")
	r.submit(last)
	r.awaitAllDone([]*protocol.Submission{last})
	for _, o := range r.overviews() {
		if o.Store.Epoch != 1 {
			t.Errorf("late transactions were taken for a loss: epoch %d", o.Store.Epoch)
		}
	}
}

// hasWritten says whether a key with a prefix was written.
func (r *testCluster) hasWritten(prefix string) bool {
	return slices.ContainsFunc(r.state.AppliedTransactions(), func(txn protocol.Txn) bool {
		return slices.ContainsFunc(txn.Then, func(o protocol.Op) bool { return strings.HasPrefix(o.Set, prefix) })
	})
}

// TestNoWriteAppliesTwice: every kind of transaction is carried out once more after newer ones, in the order in which they were
// sent and in the other one, as when the state service gave no answer. Nothing may change: each rests on a version
// that its first carrying out, or what came after, has left behind.
func TestNoWriteAppliesTwice(t *testing.T) {
	r := openRegion(t, 600*time.Millisecond, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 20, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60})
	jobs := []*protocol.Submission{arrayJob(680, 9, "red"), arrayJob(681, 3, "blue")}
	for _, j := range jobs {
		r.submit(j)
	}
	over := arrayJob(682, 20, "red")
	r.submit(over)
	r.withdraw(over.UID)
	r.awaitAllDone(jobs)
	// A page is written only if a job is partly done at that time: on a busy machine none was.
	for i := 0; !r.hasWritten("b/"); i++ {
		if i == 10 {
			t.Fatal("ten jobs were done without a page")
		}
		more := arrayJob(684+2*i, 40, "red") // more than the limit lets run at once
		r.submit(more)
		r.awaitAllDone([]*protocol.Submission{more})
	}
	for _, txn := range r.state.AppliedTransactions() { // while the record is still the same
		if r.state.RepeatTransaction(txn) {
			t.Errorf("carried out again under the same record: %s", protocol.Encode(txn))
		}
	}
	r.crash(1)
	r.start(1)
	late := arrayJob(683, 2, "blue")
	r.submit(late)
	r.awaitAllDone([]*protocol.Submission{late})
	r.waitUntil("all three are members again", func() bool { o := r.overviews(); return len(o) == 3 && len(o[0].Members) == 3 })
	for i := range r.nodes { // what is written from here on would hide what applies again
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
			t.Errorf("no write of %s was there to come again", prefix)
		}
	}
	for range 2 {
		for _, txn := range carried {
			if r.state.RepeatTransaction(txn) {
				t.Errorf("carried out again: %s", protocol.Encode(txn))
			}
		}
		slices.Reverse(carried)
	}
}

// TestLateReports: copies of reports arrive again up to well over a lease later, of sessions, attempts and machines that are
// over, and at controllers that began anew and know none of them.
func TestLateReports(t *testing.T) {
	r := openRegion(t, time.Second, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 3, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 10})
	r.checker.Cancel = 10 * time.Second
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
		r.waitUntil("tasks run", func() bool { return r.checker.CountOnMachines() > 0 })
		ws := r.cloud.Agents()
		for _, w := range ws {
			w.RepeatHeartbeats(again)
		}
		ws[i%len(ws)].BeginIncarnation()
		r.crash(i)
		r.start(i)
		before := repeats()
		r.waitUntil("copies came", func() bool { return repeats() > before+10 })
	}
	r.awaitAllDone(jobs)
	for _, o := range r.overviews() {
		if o.Store.Epoch != 1 {
			t.Errorf("late reports were taken for a loss: epoch %d", o.Store.Epoch)
		}
	}
}

// TestDeafMachineAcrossAnEnd: the answers and commands to a machine are lost while its reports arrive, its home and the
// owner of what it runs end, and the job is withdrawn. Nothing of it may stay longer than a cancellation may
// take, and what else it ran runs on elsewhere once that is proven off.
func TestDeafMachineAcrossAnEnd(t *testing.T) {
	r := openRegion(t, 6*time.Second, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 4, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 10})
	r.checker.Cancel = 10 * time.Second
	gone, stays := arrayJob(660, 7, "red"), arrayJob(662, 5, "red")
	r.submit(gone)
	r.submit(stays)
	w, a := r.runs(gone, stays)
	w.DropAnswers(true)
	r.crash(a)
	r.withdrawAt((a+1)%3, gone.UID)
	r.start(a)
	r.waitUntil("nothing withdrawn runs", func() bool { return !has(w, gone.UID) })
	r.awaitAllDone([]*protocol.Submission{stays})
	w.DropAnswers(false)
	r.waitUntil("withdrawn still", func() bool { return r.queryState(gone.UID) == protocol.Cancelled })
}

// TestOldReportsProveNothing: two late copies of what a machine sent that is gone by now come to a controller that never knew it, and
// are no proof that the store lost a list of machines. Taken for one they began a new epoch.
func TestOldReportsProveNothing(t *testing.T) {
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
		_ = n.group.Wait() // what is asked of the machine
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.machine("n-000900"); !m.unregistered.Suspected() || !m.unregistered.Probed() {
		t.Error("the machine was not asked")
	}
	if proof, proved := n.recovery.detection.Proved(); proved {
		t.Errorf("taken for a proof: %s", proof)
	}
}

// TestRenewal: every answer that renews a lease, of an entitled controller too, rests on knowledge that is still
// current. An entitled one renewed without a bound, whatever the machine ran and however long ago it had last heard of
// withdrawals.
func TestRenewal(t *testing.T) {
	g := newNodeHarness(2, 1)
	n := g.n
	g.submit(4, 4) // job-000001
	g.submit(4, 4)
	n.endJob("job-000002")
	n.userAPI.RecordEnd("job-000003", userapi.JobEnd{State: protocol.Cancelled, Tasks: 1, Team: "team-0"})
	n.mu.Lock() // what is looked up beside it takes it too
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
		"a job that was withdrawn":       {time.Second, protocol.Running, "job-000002/0", 200, true},
		"one known only by its end":      {time.Second, protocol.Running, "job-000003/0", 200, true},
		"one that nobody knows":          {time.Second, protocol.Running, "job-000009/0", 503, false},
		"what is over of one":            {time.Second, protocol.Exited, "job-000009/0", 200, false},
		"shortly before the bound":       {reach - 3*time.Second, protocol.Running, "job-000001/0", 200, false},
		"after it":                       {reach, protocol.Running, "job-000001/0", 503, false},
		"after it, with nothing running": {reach, protocol.Exited, "job-000001/0", 503, false},
	} {
		status, stopped := ask(g.now.Add(c.after), c.state, c.task)
		if status != c.status || slices.Contains(stopped, c.task) != c.stop {
			t.Errorf("%s: answered by %d, stops %v", what, status, stopped)
		}
	}
	// An owner's order tells that the job is there before the watch does.
	n.agents.SetTerm(1, func(string) bool { return true })
	o := jobstate.Order{Op: protocol.Start, TaskID: jobstate.TaskID{Job: "job-000008"}, Attempt: 1, Incarnation: 1, CPUs: 1, MemoryGB: 1}
	n.agents.QueueOrders(1, g.machineNames[0], []jobstate.Order{o})
	if status, _ := ask(g.now.Add(time.Second), protocol.Running, "job-000008/0"); status != 200 {
		t.Errorf("a task that its owner ordered here is answered by %d", status)
	}
	// A start is held back as long as the answer that would renew the machine's lease.
	n.peers["node-b"] = &peerState{}
	n.leadership.LeaseRenewed(time.Now())
	o.TaskID.Job = "job-000007"
	n.agents.QueueOrders(1, g.machineNames[0], []jobstate.Order{o})
	if m := n.agents.Get(g.machineNames[0]); !m.HasQueuedStart() {
		t.Fatal("no start waits")
	}
	n.mu.Unlock()
	sender := &commandSender{machine: g.machineNames[0]}
	n.mu.Lock()
	n.cancelWatermark = cancelwatermark.New([]string{"node-b"}, 0, 0)
	n.cancelWatermark.RecordRead(time.Now().Add(-time.Minute))
	n.mu.Unlock()
	if n.sendCommandsOnce(n.ctx, sender) || sender.conn != nil {
		t.Error("a start goes out that may land after what is known has run out")
	}
	n.mu.Lock()
	n.cancelWatermark.RecordRead(time.Now())
	n.mu.Unlock()
	if n.sendCommandsOnce(n.ctx, sender); sender.conn == nil {
		t.Error("a start does not go out while what is known is current")
	}
}
