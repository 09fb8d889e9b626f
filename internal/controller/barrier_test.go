package controller

import (
	"log/slog"
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// TestBarrierSettlesTheMachineThatReported: the barrier stops awaiting a machine that reported under the shard's term,
// keeps awaiting one that reported under an earlier term, and ends with the last machine.
func TestBarrierSettlesTheMachineThatReported(t *testing.T) {
	g := newNodeHarness(3, 1)
	n := g.n
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name := range n.machines {
		names = append(names, name)
	}
	shard := barrierShard(n, n.shards.OfTeam("team-0"), n.leadership.Term(), names)
	report := func(name string, token uint64) {
		v := *n.machines[name].status
		v.Seq++
		v.FencingToken = token
		n.applyStatus(&v, g.now)
	}
	report(names[0], shard.SinceTerm()-1)
	if shard.AwaitedCount() != len(names) || shard.Phase() != shards.Barrier {
		t.Fatalf("%d of %d are awaited after a report of an earlier term", shard.AwaitedCount(), len(names))
	}
	for i, name := range names {
		if shard.Phase() != shards.Barrier {
			t.Fatalf("the barrier ended after %d of %d machines", i, len(names))
		}
		report(name, shard.SinceTerm())
	}
	if !shard.IsReady() {
		t.Fatalf("the barrier awaits %d machines although all reported", shard.AwaitedCount())
	}
}

// TestCopyOfOldHeartbeatDuringBarrier guards against an owner that starts running tasks again (review/1): a machine's home
// restarted during the owner's barrier and received a copy of a heartbeat from before the machine's task started. Under
// the later term it replaced the heartbeat that had settled the machine, so the owner never learned of the task.
func TestCopyOfOldHeartbeatDuringBarrier(t *testing.T) {
	for name, restarted := range map[string]bool{"the home restarts": true, "the home stays": false} {
		g := newNodeHarness(2, 1)
		n := g.n
		g.submit(1, 4)
		n.mu.Lock()
		task := jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: "job-000001"}, Attempt: jobstate.AttemptID(1, 1), State: protocol.Running}
		machine, awaited := g.machineNames[0], g.machineNames[1]
		old := *g.statuses[machine]
		n.leadership.Record().Term = 3
		shard := barrierShard(n, n.shards.OfTeam("team-0"), 2, g.machineNames)
		g.reportStatus(machine, func(v *jobstate.MachineStatus) {
			v.Term, v.FencingToken, v.Tasks = 2, 2, []jobstate.TaskStatus{task}
		})
		if shard.Awaits(machine) {
			t.Fatalf("%s: the barrier awaits a machine that reported under its term", name)
		}
		if restarted {
			old.Term = 3
		}
		n.applyStatus(&old, g.now)
		g.reportStatus(awaited, func(v *jobstate.MachineStatus) { v.Term, v.FencingToken = 2, 2 })
		if !shard.IsReady() {
			t.Fatalf("%s: the barrier is not passed", name)
		}
		if assigned, _ := shard.Team().Assignments().Count(); assigned != 1 {
			t.Errorf("%s: the owner knows %d of 1 running tasks after the barrier", name, assigned)
		}
		n.mu.Unlock()
	}
}

// TestCopyOfOldHeartbeatMakesNoMachineIdle guards against returning a machine that runs tasks: after a restart of all
// controllers the first heartbeat known of it is a copy from before its tasks started, and it hangs meanwhile.
func TestCopyOfOldHeartbeatMakesNoMachineIdle(t *testing.T) {
	g := newNodeHarness(1, 1)
	n, name := g.n, g.machineNames[0]
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machines[name] = &machine{} // as after a restart
	report := func(seq, token uint64) time.Time {
		v := *g.statuses[name]
		v.Seq, v.Term, v.FencingToken = seq, 2, token
		n.applyStatus(&v, g.now)
		return n.machines[name].idleSince
	}
	if idle := report(1, 1); !idle.IsZero() {
		t.Error("a heartbeat that does not know the term made the machine idle")
	}
	if idle := report(2, 2); !idle.Equal(g.now) {
		t.Errorf("idle since %v after a heartbeat under the term, want %v", idle, g.now)
	}
}

// TestResponseThatKnowsALaterTerm guards against a home of an earlier term that hides the present one: its late request got
// a response with a higher number than the last status that the present home published.
func TestResponseThatKnowsALaterTerm(t *testing.T) {
	g := newNodeHarness(1, 1)
	n, name := g.n, g.machineNames[0]
	n.mu.Lock()
	defer n.mu.Unlock()
	h := protocol.Heartbeat{Machine: name, Type: "m32", Zone: "east", Incarnation: 1, Seq: 7, FencingToken: n.leadership.Term() + 1}
	before := n.machines[name].status
	if n.applyResponse(&h, g.now); n.machines[name].status != before {
		t.Error("a response that knows a later term changed the status")
	}
	h.FencingToken = n.leadership.Term()
	if n.applyResponse(&h, g.now); n.machines[name].status.Seq != h.Seq {
		t.Error("a response that knows the present term did not change the status")
	}
}

// TestJobAcceptedDuringBarrier: a job accepted while its team's owner was at the barrier was not added to the team, and
// waited until the next owner read the state service.
func TestJobAcceptedDuringBarrier(t *testing.T) {
	s := &settings.Settings{Name: "node-a", Deployment: settings.Deployment{Teams: []settings.Team{{Name: "red", CPUsMax: 8}},
		KVStore: settings.KVStore{RequestsPerSecond: 9, ChangesPerSecond: 9, ChangesPerTransaction: 4, ValueKB: 4}, Cloud: settings.Cloud{RequestsPerSecond: 1}}}
	n := New(s, settings.DefaultOptions(), slog.New(slog.DiscardHandler))
	name := shards.ForTeam("red")
	for phase, taken := range map[shards.Phase]bool{shards.Loading: false, shards.Barrier: true, shards.Ready: true} {
		shard := ownedShard(n, name, 1, false, jobstate.NewReplica())
		if phase != shards.Loading {
			shard.EnterBarrier(nil)
		}
		if phase == shards.Ready {
			shard.PassBarrier(time.Time{})
		}
		spec := arrayJob(int(phase), 1, "red")
		n.learnJob(userapi.ActiveJob{Spec: spec}, 1)
		if (shard.Team().Job(spec.UID) != nil) != taken || n.jobs[spec.UID] == nil {
			t.Fatalf("phase %s: job in the team: %v", phase, !taken)
		}
	}
}
