package controller

import (
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// activeJobChange returns the change of the state service that sets an active job's key.
func activeJobChange(uid string, version uint64) protocol.Change {
	spec := &protocol.Submission{UID: uid, Team: "team-0", Kind: protocol.JobArray, Priority: "high", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img-1", EstimateSeconds: 40}
	return protocol.Change{Set: userapi.ActiveJobPrefix + uid, Value: protocol.Encode(userapi.ActiveJob{Spec: spec, SubmittedAtMillis: time.Now().UnixMilli()}), Version: version}
}

// TestEndBeforeAcceptance: a controller may learn a job's end before it reads the job's acceptance. It must not record
// the job as active then: it would start the job's tasks and keep them alive after the confirmed cancellation,
// throughout an outage of any length.
func TestEndBeforeAcceptance(t *testing.T) {
	end := userapi.JobEnd{State: protocol.Cancelled, Tasks: 1, Team: "team-0"}
	const uid = "job-000900"
	for what, learn := range map[string]func(n *Node){
		"a peer sends the cancellation, then an earlier read arrives": func(n *Node) {
			n.recovery.facts.onReplicateFact("node-b", &replicateFactMsg{From: 1, Ends: []jobEnd{{uid, end}}})
			n.applyChange(activeJobChange(uid, 7))
		},
		"a later read arrives before an earlier one": func(n *Node) {
			n.applyChange(protocol.Change{Delete: userapi.ActiveJobPrefix + uid, Version: 9})
			n.applyChange(activeJobChange(uid, 7))
		},
		"the answer to its acceptance arrives last": func(n *Node) {
			n.applyChange(protocol.Change{Delete: userapi.ActiveJobPrefix + uid, Version: 9})
			var s userapi.ActiveJob
			if err := protocol.Decode(activeJobChange(uid, 7).Value, &s); err != nil {
				t.Fatal(err)
			}
			n.learnJob(s, 7)
		},
		"in order": func(n *Node) {
			n.applyChange(activeJobChange(uid, 7))
			n.applyChange(protocol.Change{Delete: userapi.ActiveJobPrefix + uid, Version: 9})
			n.applyChange(activeJobChange(uid, 7))
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
			t.Errorf("%s: lease renewed: %v, with %d stops", what, ok, len(stops))
		}
		n.mu.Unlock()
	}
}

// TestListOlderThanAcceptance: a job that is accepted while all keys are listed again page by page may be in no page.
// It must stay active: taken for ended, it would never run.
func TestListOlderThanAcceptance(t *testing.T) {
	g := newNodeHarness(1, 1)
	n := g.n
	n.mu.Lock()
	n.applyChange(activeJobChange("job-000901", 12))
	n.applyChange(activeJobChange("job-000902", 9))
	n.applyListedKeys(nil, 10)
	first, second := n.jobs["job-000901"], n.jobs["job-000902"]
	n.mu.Unlock()
	if !first.active {
		t.Error("a job that was accepted after the list began counts as ended")
	}
	if second.active {
		t.Error("a job that the list lacks is still active")
	}
	_ = n.group.Wait()
}
