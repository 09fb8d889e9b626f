package controller

import (
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// dependentSpec returns an array of four tasks of a team of the harness that needs other jobs.
func dependentSpec(uid, team string, dependencies ...string) *protocol.Submission {
	return &protocol.Submission{UID: uid, Class: "c", Team: team, Kind: protocol.JobArray, Priority: "standard", Tasks: 4, CPUs: 4,
		MemoryGB: 4, Image: "img", EstimateSeconds: 40, Spot: true, Dependencies: dependencies}
}

// learn adds an accepted job.
func (g *nodeHarness) learn(spec *protocol.Submission) {
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	g.n.learnJob(userapi.ActiveJob{Spec: spec, SubmittedAtMillis: g.now.UnixMilli()}, 1)
}

// end records the end of a job that the state service has.
func (g *nodeHarness) end(spec *protocol.Submission, state protocol.JobState) {
	g.n.userAPI.RecordEnd(spec.UID, userapi.NewJobEnd(spec, state))
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	g.n.endJob(spec.UID)
}

// countAssigned counts the assigned tasks of a job.
func (g *nodeHarness) countAssigned(uid string) (count int) {
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	for shard := range g.n.shards.All() {
		for _, name := range g.machineNames {
			shard.Team().Assignments().On(name, func(a jobstate.Assignment) {
				if a.Job == uid {
					count++
				}
			})
		}
	}
	return count
}

// demanded returns whether capacity is demanded for a job.
func (g *nodeHarness) demanded(uid string) bool {
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	for _, d := range g.n.demands(g.now) {
		if d.Job == uid {
			return true
		}
	}
	return false
}

// TestWaitingJobHoldsNothing: a job that needs another one holds no quota and appears in no demand, not even once the
// other job's tasks are all done but its end is not known to be written, although there are machines and quota for it.
// Its objectives count from when it becomes ready.
func TestWaitingJobHoldsNothing(t *testing.T) {
	g := newNodeHarness(2, 2)
	n := g.n
	n.settings.Deployment.Objectives = []settings.Objective{{Kind: "finished", Class: "c", WithinSeconds: 100}}
	first, second := dependentSpec("job-000001", "team-0"), dependentSpec("job-000002", "team-1", "job-000001")
	second.Tasks = 40 // more than there are machines for
	g.learn(first)
	g.learn(second)
	holdsNothing := func(when string) {
		t.Helper()
		n.mu.Lock()
		team := n.shards.OfTeam("team-1").Team()
		used, listed := team.Quota().Used(), team.Job(second.UID) != nil
		n.mu.Unlock()
		if listed || used.CPUs != 0 || g.countAssigned(second.UID) > 0 || g.demanded(second.UID) {
			t.Errorf("%s: the waiting job is listed: %v, uses %g CPUs, has %d tasks, is demanded: %v", when, listed, used.CPUs, g.countAssigned(second.UID), g.demanded(second.UID))
		}
	}
	for range 3 {
		g.advanceSecond(2)
	}
	holdsNothing("while the other runs")
	if g.countAssigned(first.UID) == 0 {
		t.Fatal("the first job does not run")
	}
	n.mu.Lock()
	n.endJob(first.UID)
	n.mu.Unlock()
	g.advanceSecond(2)
	holdsNothing("before the end is known to be written")
	g.end(first, protocol.Done)
	ready := g.now
	g.advanceSecond(2)
	g.advanceSecond(2)
	if g.countAssigned(second.UID) == 0 || !g.demanded(second.UID) {
		t.Errorf("once ready, the job has %d tasks and is demanded: %v", g.countAssigned(second.UID), g.demanded(second.UID))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	objectives := n.objectives(n.jobs[second.UID])
	if len(objectives) != 1 || objectives[0].Before(ready.Add(100*time.Second)) || objectives[0].After(g.now.Add(100*time.Second)) {
		t.Errorf("ready at %v, the job has the objectives %v", ready, objectives)
	}
}

// TestUrgencyOfDependentsReachesBack: a job takes over the highest priority and the earliest deadline of the jobs behind
// it, less the time that these are expected to take, and has its own again once the last of them is cancelled.
func TestUrgencyOfDependentsReachesBack(t *testing.T) {
	g := newNodeHarness(2, 2)
	n := g.n
	deadline := 1000.0
	first, second, third := dependentSpec("job-000001", "team-0"), dependentSpec("job-000002", "team-1", "job-000001"), dependentSpec("job-000003", "team-0", "job-000002")
	first.Priority, third.Priority, third.DeadlineSeconds = "low", "prod", &deadline
	g.learn(first)
	expect := func(when, priority string, by time.Time) {
		t.Helper()
		g.advanceSecond(2)
		n.mu.Lock()
		defer n.mu.Unlock()
		job := n.jobs[first.UID]
		scheduled := n.shards.OfTeam("team-0").Team().Job(first.UID).Spec
		if job.spec.Priority != priority || scheduled.Priority != priority {
			t.Errorf("%s: the first job has the priority %s, and %s in its team", when, job.spec.Priority, scheduled.Priority)
		}
		switch objectives := n.objectives(job); {
		case by.IsZero() != (len(objectives) == 0), !by.IsZero() && !objectives[0].Equal(by):
			t.Errorf("%s: the first job has the objectives %v, not %v", when, objectives, by)
		}
		if job.accepted.Spec.Priority != "low" || job.accepted.Spec.DeadlineSeconds != nil {
			t.Errorf("%s: the description that the user submitted has changed", when)
		}
	}
	expect("alone", "low", time.Time{})
	g.learn(second)
	expect("with the second", "standard", time.Time{})
	submitted := time.UnixMilli(g.now.UnixMilli())
	g.learn(third)
	between := n.expectedDuration(second) + n.expectedDuration(third)
	expect("with the last", "prod", submitted.Add(1000*time.Second-between))
	g.end(third, protocol.Cancelled)
	expect("after the last was cancelled", "standard", time.Time{})
	g.end(second, protocol.Cancelled)
	expect("after all behind it were cancelled", "low", time.Time{})
	other, both := dependentSpec("job-000004", "team-1"), dependentSpec("job-000005", "team-1", "job-000001", "job-000004")
	both.Priority = "prod"
	g.learn(other)
	g.learn(both)
	expect("with one that needs another job too", "prod", time.Time{})
	g.end(other, protocol.Cancelled)
	expect("after that one was cancelled with the other job, before its end is written", "low", time.Time{})
}

// TestOutdatedControllerDefersDependencies: while the presence key of any controller shows that its program ignores
// dependencies, none may be accepted: that controller could start such a job at once.
func TestOutdatedControllerDefersDependencies(t *testing.T) {
	g := newNodeHarness(1, 1)
	n := g.n
	n.peers["node-b"], n.peers["node-c"] = &peerState{}, &peerState{}
	write := func(name string, value presenceValue) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if err := n.applyPresenceKey(name, protocol.Change{Set: presencePrefix + name, Value: protocol.Encode(value), Version: 5}); err != nil {
			t.Fatal(err)
		}
	}
	backend := userBackend{n}
	write("node-b", presenceValue{Incarnation: 1, Protocol: protocolDependencies})
	if !backend.AcceptsDependencies() {
		t.Error("not accepted although all controllers know dependencies")
	}
	write("node-c", presenceValue{Incarnation: 1})
	if backend.AcceptsDependencies() {
		t.Error("accepted although a controller ignores dependencies")
	}
	write("node-c", presenceValue{Incarnation: 2, Protocol: protocolDependencies})
	if !backend.AcceptsDependencies() {
		t.Error("not accepted after the controller was upgraded")
	}
}

// runsFirstTask is the status of a task that an earlier owner started.
func runsFirstTask(uid string) jobstate.TaskStatus {
	return jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: uid}, Attempt: jobstate.AttemptID(1, 1), State: protocol.Running}
}

// TestStartedJobDoesNotWaitAgain: a restarted controller, or a new owner of a team, has not read the end of the job that
// a running one needed. Whatever shows that the job was started, it continues: its tasks are neither stopped nor
// repeated, and the others start.
func TestStartedJobDoesNotWaitAgain(t *testing.T) {
	const machine = "n-000000"
	spec := dependentSpec("job-000002", "team-0", "job-000001")
	list := func(g *nodeHarness) {
		g.n.mu.Lock()
		defer g.n.mu.Unlock()
		g.reportStatus(machine, func(v *jobstate.MachineStatus) { v.Tasks = append(v.Tasks, runsFirstTask(spec.UID)) })
		g.ends[runsFirstTask(spec.UID).Ref()] = g.now.Add(time.Hour)
	}
	reload := func(g *nodeHarness, replica *jobstate.Replica, done map[string]*bitset.BitSet) {
		g.n.mu.Lock()
		defer g.n.mu.Unlock()
		shard := ownedShard(g.n, shards.ForTeam("team-0"), 1, false, replica)
		g.n.enterBarrier(shard, done)
		shard.PassBarrier(time.Time{})
	}
	assignment := jobstate.Assignment{TaskID: jobstate.TaskID{Job: spec.UID}, Attempt: jobstate.AttemptID(1, 1), Machine: machine, Zone: "east", Incarnation: 1, CPUs: 4, Memory: 4}
	for name, c := range map[string]struct {
		happens func(g *nodeHarness)
		tasks   int // assigned in the end
	}{
		"a machine lists a task":                         {func(g *nodeHarness) { g.learn(spec); list(g) }, 4},
		"a machine lists a task before the job is known": {func(g *nodeHarness) { list(g); g.learn(spec); reportAgain(g, machine) }, 4},
		"a replica contains a task": {func(g *nodeHarness) {
			g.learn(spec)
			replica := jobstate.NewReplica()
			replica.Assignments[assignment.TaskID] = assignment
			reload(g, replica, nil)
			list(g)
		}, 4},
		"a page contains a finished task": {func(g *nodeHarness) {
			g.learn(spec)
			reload(g, jobstate.NewReplica(), map[string]*bitset.BitSet{spec.UID: bitset.New(4).Set(0)})
		}, 3},
	} {
		g := newNodeHarness(2, 1)
		c.happens(g)
		for range 4 {
			g.advanceSecond(2)
		}
		g.n.mu.Lock()
		waits := g.n.jobs[spec.UID].waits
		g.n.mu.Unlock()
		if got := g.countAssigned(spec.UID); waits || got != c.tasks {
			t.Errorf("%s: the job waits: %v, and has %d tasks, not %d", name, waits, got, c.tasks)
		}
		kept := false
		for _, task := range g.statuses[machine].Tasks {
			kept = kept || task.Ref() == runsFirstTask(spec.UID).Ref()
		}
		if c.tasks == 4 && !kept {
			t.Errorf("%s: the running task was stopped", name)
		}
	}
}

// reportAgain has a machine report its status once more.
func reportAgain(g *nodeHarness, machine string) {
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	g.reportStatus(machine, func(*jobstate.MachineStatus) {})
}
