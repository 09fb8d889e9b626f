package controller

import (
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/provisioning"
	"topazhollow/internal/settings"
)

// TestAgentsOfACutZoneAreKeptAlive: a controller that is cut off together with its zone loses its lease. The agents in
// that zone lost theirs too: a cut longer than their lease ended everything that ran there. Such agents must be kept
// alive, but no longer than the deadline for a cancellation that this controller cannot learn of, and not if they run a
// job that had ended before.
func TestAgentsOfACutZoneAreKeptAlive(t *testing.T) {
	g := newNodeHarness(8, 1)
	n := g.n
	newLeadership(n, g.now, "node-b") // the lease has expired, and no peer gives a promise
	n.peers["node-b"] = &peerState{lastMessageAt: g.now.Add(-time.Minute)}
	w := n.settings.Deployment.Agents
	g.submit(1, 4)
	n.cancelWatermark.RecordRead(g.now)
	report := func(name string, token uint64, state protocol.TaskState, task string) []byte {
		return protocol.Encode(protocol.Heartbeat{Machine: name, Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: 9, FencingToken: token,
			Tasks: []protocol.TaskStatus{{Task: task, Attempt: 1, State: state, Reason: protocol.ReasonDone}}})
	}
	answer := func(at time.Time, name string, token uint64, state protocol.TaskState, task string) int {
		var r protocol.Heartbeat
		if err := protocol.Decode(report(name, token, state, task), &r); err != nil {
			t.Fatal(err)
		}
		return n.encodeAnswer(n.answerUnentitled(&r, at)).Status
	}
	name, later := g.machineNames[0], g.now.Add(10*time.Second)
	if n.entitled(later) {
		t.Fatal("entitled without lease and promises")
	}
	for what, got := range map[string][2]int{
		"a machine with an active job's task": {answer(later, name, 1, protocol.Running, "job-000001/0"), 200},
		"one whose task has exited":           {answer(later, name, 1, protocol.Exited, "job-000009/0"), 200},
		"one that runs a job not known here":  {answer(later, name, 1, protocol.Running, "job-000009/0"), 503},
		"one that saw a later term":           {answer(later, name, 2, protocol.Running, "job-000001/0"), 503},
	} {
		if got[0] != got[1] {
			t.Errorf("%s is answered by %d, not %d", what, got[0], got[1])
		}
	}
	// No renewal may let a task run beyond the deadline of a cancellation that was made right after the last read.
	last := g.now
	for at := g.now; at.Before(g.now.Add(3 * time.Minute)); at = at.Add(time.Second) {
		if answer(at, name, 1, protocol.Running, "job-000001/0") == 200 {
			last = at
		}
	}
	gone := last.Add(settings.Seconds(w.LeaseSeconds)).Sub(g.now)
	if cancel := settings.Seconds(w.CancelSeconds); gone >= cancel || gone < cancel-4*time.Second {
		t.Errorf("kept alive until %v after the last read, the deadline of a cancellation is %v", gone, cancel)
	}
	n.endJob("job-000001")
	if got := answer(later, name, 1, protocol.Running, "job-000001/0"); got != 503 {
		t.Errorf("a machine that runs a cancelled job is answered by %d", got)
	}
	record := n.leadership.Record().Clone()
	record.Unreachable = nil
	learnRecord(n, record)
	for _, name := range g.machineNames {
		if n.leadership.Record().Home(name) != n.name {
			if got := answer(later, name, 1, protocol.Exited, "job-000001/0"); got != 503 {
				t.Errorf("a machine is kept alive although its home's watermark is unknown: %d", got)
			}
			n.machine(name).HomeHeardAt, n.machine(name).HomeWatermark = g.now, g.now
			if got := answer(later, name, 1, protocol.Exited, "job-000001/0"); got != 200 {
				t.Errorf("a machine of another home is answered by %d", got)
			}
		}
	}
	n.peers["node-b"].lastMessageAt, n.peers["node-b"].entitled = later, true
	if got := answer(later, name, 1, protocol.Exited, "job-000001/0"); got != 421 {
		t.Errorf("with a reachable entitled peer the answer is %d, not a redirect", got)
	}
}

// TestRefusedLinks: with connections between controllers refused, the fleet's owner received no status of machines with
// another home, treated two thirds of the fleet as silent and returned them; starts for them were held for as long as
// the refusal lasted. A machine whose home is alive but unreachable is not silent, and no task may be placed on it.
func TestRefusedLinks(t *testing.T) {
	g := newNodeHarness(40, 1)
	n := g.n
	n.leadership.Record().Unreachable = nil
	homed := map[string]bool{}
	for _, name := range g.machineNames {
		homed[name] = n.leadership.Record().Home(name) == n.name
	}
	for _, p := range []string{"node-b", "node-c"} {
		n.peers[p] = &peerState{connected: true, lastMessageAt: g.now}
		n.leadership.LearnPresence(p, leadership.Presence{Incarnation: 1, Version: 1})
	}
	if hosts := n.scheduler.Hosts((*schedulerSnapshot)(n), g.now, nil); len(hosts) != 40 {
		t.Fatalf("%d of 40 machines may take tasks", len(hosts))
	}
	n.leadership.LeaseRenewed(g.now)
	for p := range n.peers {
		n.peers[p].connected = false
	}
	now := g.now.Add(4 * time.Second)
	n.leadership.LeaseRenewed(now)
	for _, h := range n.scheduler.Hosts((*schedulerSnapshot)(n), now, nil) {
		if !homed[h.Name] {
			t.Errorf("%s may take tasks, although no order reaches its home", h.Name)
		}
	}
	account := provisioning.New(provisioning.Options{}, g.now)
	for _, m := range n.fleetMachines(account, now) {
		if m.HomeUnreachable == homed[m.Name] {
			t.Errorf("%s, homed here: %v, home unreachable: %v", m.Name, homed[m.Name], m.HomeUnreachable)
		}
	}
	n.leadership.LearnAbsence("node-b", 1) // its lease expired, so it is gone
	for _, m := range n.fleetMachines(account, now) {
		if m.HomeUnreachable && n.leadership.Record().Home(m.Name) == "node-b" {
			t.Errorf("%s counts as having an unreachable home, although that controller is gone", m.Name)
		}
	}
	// A start that was not sent may be placed elsewhere; one that may have been sent stays assigned.
	shard := n.shards.OfTeam("team-0")
	g.submit(1, 4)
	spec := n.jobs["job-000001"].spec
	place := func() []jobstate.Order {
		tj := shard.Team().Job(spec.UID)
		if !shard.Team().Place(tj, 0, jobstate.Location{Machine: g.machineNames[0], Incarnation: 1}) {
			t.Fatal("the task was not placed")
		}
		return shard.Team().TakeDueOrders(shard.Team().Replica().Seq, now, func(string, uint64) bool { return true })[g.machineNames[0]]
	}
	shard.Team().RetractUnsent(place())
	if held, _ := shard.Team().Assignments().Count(); held != 0 {
		t.Error("a start that was not sent is still assigned")
	}
	place()
	now = now.Add(5 * time.Second)
	shard.Team().RetractUnsent(shard.Team().TakeDueOrders(shard.Team().Replica().Seq, now, func(string, uint64) bool { return true })[g.machineNames[0]])
	if held, _ := shard.Team().Assignments().Count(); held != 1 {
		t.Error("a start that may be in flight is no longer assigned")
	}
}
