package controller

import (
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// stored is a job's key in the state service, as the changes tell it.
func stored(uid string, version uint64) protocol.Change {
	spec := &protocol.Submission{UID: uid, Team: "team-0", Kind: protocol.JobArray, Priority: "high", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img-1", EstimateSeconds: 40}
	return protocol.Change{Set: userapi.ActiveJobPrefix + uid, Value: protocol.Encode(userapi.ActiveJob{Spec: spec, SubmittedAtMillis: time.Now().UnixMilli()}), Version: version}
}

// TestEndBeforeAcceptance: a job's end may be known before its acceptance is read. Taken up as active then, its
// tasks were started and kept alive through an outage of any length after the withdrawal had been confirmed.
func TestEndBeforeAcceptance(t *testing.T) {
	end := userapi.JobEnd{State: protocol.Cancelled, Tasks: 1, Team: "team-0"}
	const uid = "job-000900"
	for what, learn := range map[string]func(n *Node){
		"a peer tells of the withdrawal, then an earlier read comes": func(n *Node) {
			n.onReplicateFact("node-b", &replicateFactMsg{From: 1, Ends: []jobEnd{{uid, end}}})
			n.applyChange(stored(uid, 7))
		},
		"a later read comes before an earlier one": func(n *Node) {
			n.applyChange(protocol.Change{Delete: userapi.ActiveJobPrefix + uid, Version: 9})
			n.applyChange(stored(uid, 7))
		},
		"the answer to its acceptance comes last": func(n *Node) {
			n.applyChange(protocol.Change{Delete: userapi.ActiveJobPrefix + uid, Version: 9})
			var s userapi.ActiveJob
			if err := protocol.Decode(stored(uid, 7).Value, &s); err != nil {
				t.Fatal(err)
			}
			n.learnJob(s, 7)
		},
		"in order": func(n *Node) {
			n.applyChange(stored(uid, 7))
			n.applyChange(protocol.Change{Delete: userapi.ActiveJobPrefix + uid, Version: 9})
			n.applyChange(stored(uid, 7))
		},
	} {
		g := newNodeHarness(1, 1)
		n := g.n
		n.mu.Lock()
		learn(n)
		if j := n.jobs[uid]; j == nil || j.active || n.shards.OfTeam("team-0").Team().Job(uid) != nil {
			t.Errorf("%s: the job is active", what)
		}
		r := protocol.Heartbeat{Machine: g.machineNames[0], Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: 10, FencingToken: 1,
			Tasks: []protocol.TaskStatus{{Task: uid + "/0", Attempt: 1, State: protocol.Running}}}
		if stops, ok := n.leaseGrant(&r, g.now.Add(time.Second)); !ok || len(stops) != 1 {
			t.Errorf("%s: its machine is renewed %v with %d stops", what, ok, len(stops))
		}
		n.mu.Unlock()
	}
}

// TestListOlderThanAcceptance: a job accepted while all keys are read again, in pages, is in none of them and
// stays active. It was taken for ended and never ran.
func TestListOlderThanAcceptance(t *testing.T) {
	g := newNodeHarness(1, 1)
	n := g.n
	n.mu.Lock()
	n.applyChange(stored("job-000901", 12))
	n.applyChange(stored("job-000902", 9))
	n.applyListedKeys(nil, 10)
	first, second := n.jobs["job-000901"], n.jobs["job-000902"]
	n.mu.Unlock()
	if !first.active {
		t.Error("a job that was accepted after the list began is taken for ended")
	}
	if second.active {
		t.Error("a job that the list lacks is still active")
	}
	_ = n.group.Wait()
}
