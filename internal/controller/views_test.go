package controller

import (
	"testing"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// TestBarrierSettlesTheMachineThatWasHeard: a machine heard under the item's term is waited for no longer, one heard
// under an earlier term still is, and the last one ends the barrier.
func TestBarrierSettlesTheMachineThatWasHeard(t *testing.T) {
	g := newGrown(3, 1)
	n := g.n
	n.mu.Lock()
	defer n.mu.Unlock()
	it := n.shards[teamShard("team-0")]
	it.phase, it.sinceTerm, it.awaitedMachines = shardBarrier, n.record.Term, map[string]bool{}
	var names []string
	for name := range n.machines {
		names = append(names, name)
		it.awaitedMachines[name] = true
	}
	hear := func(name string, token uint64) {
		v := *n.machines[name].status
		v.Seq++
		v.FencingToken = token
		n.applyStatus(&v, g.now)
	}
	hear(names[0], it.sinceTerm-1)
	if len(it.awaitedMachines) != len(names) || it.phase != shardBarrier {
		t.Fatalf("%d of %d are waited for after a report of an earlier term", len(it.awaitedMachines), len(names))
	}
	for i, name := range names {
		if it.phase != shardBarrier {
			t.Fatalf("the barrier ended after %d of %d machines", i, len(names))
		}
		hear(name, it.sinceTerm)
	}
	if it.phase != shardReady {
		t.Fatalf("the barrier waits for %v though all were heard", it.awaitedMachines)
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
