package controller

import (
	"testing"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// TestBarrierSettlesTheMachineThatWasHeard: a machine heard under the item's term is waited for no longer, one heard
// under an earlier term still is, and the last one ends the barrier.
func TestBarrierSettlesTheMachineThatWasHeard(t *testing.T) {
	g := newGrown(3, 1)
	n := g.n
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name := range n.machines {
		names = append(names, name)
	}
	it := barrierShard(n, n.shards.OfTeam("team-0"), n.record.Term, names)
	hear := func(name string, token uint64) {
		v := *n.machines[name].status
		v.Seq++
		v.FencingToken = token
		n.applyStatus(&v, g.now)
	}
	hear(names[0], it.SinceTerm()-1)
	if it.AwaitedCount() != len(names) || it.Phase() != shards.Barrier {
		t.Fatalf("%d of %d are waited for after a report of an earlier term", it.AwaitedCount(), len(names))
	}
	for i, name := range names {
		if it.Phase() != shards.Barrier {
			t.Fatalf("the barrier ended after %d of %d machines", i, len(names))
		}
		hear(name, it.SinceTerm())
	}
	if !it.IsReady() {
		t.Fatalf("the barrier waits for %d machines though all were heard", it.AwaitedCount())
	}
}

// TestViewsAreToldInBoundedLines: however many machines a home tells of at once, no line comes near what a link takes.
func TestStatusesAreSentInBoundedMessages(t *testing.T) {
	view := &jobstate.MachineStatus{Machine: "n-000001", Addr: "10.1.0.232:9000", Type: "mtatsminda-32", Zone: "batumi-coast", Incarnation: 1 << 20, Seq: 1 << 40, Revision: 1 << 30, FencingToken: 1 << 40, Term: 1 << 40}
	const tasks = 30
	for i := range tasks {
		view.Tasks = append(view.Tasks, jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: "job-000001", Index: 1<<16 + i}, Attempt: jobstate.AttemptID(1<<28, 1<<20), State: protocol.Running})
	}
	machines := maxStatusesPerMessage/(1+tasks) + 1
	line := protocol.Encode(view)
	const linkTakes = 4 << 20
	if size := machines * (len(line) + 1); size > linkTakes/4 {
		t.Errorf("%d machines of %d tasks take %d bytes in one line", machines, tasks, size)
	}
}
