package agents

import (
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// newTestRegistry returns a Registry in term 1 with the agent of machine m, which has 8 CPUs and 64 GB of memory.
func newTestRegistry(t *testing.T) (*Registry, *Agent) {
	registry := New(func(string) (float64, float64, float64, bool) { return 8, 0, 64, true }, func(string) (float64, float64, float64) { return 2, 0, 4 })
	registry.SetTerm(1, func(string) bool { return true })
	registry.ApplyHeartbeat(&protocol.Heartbeat{Machine: "m", Addr: "a", Type: "t", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: 1}, time.Unix(1, 0))
	return registry, registry.Get("m")
}

// startOf returns a start order for the first task of a job.
func startOf(job string) jobstate.Order {
	return jobstate.Order{Op: protocol.Start, TaskID: jobstate.TaskID{Job: job}, Attempt: 5, Incarnation: 1, CPUs: 2, MemoryGB: 4}
}

// testHeartbeat returns a heartbeat of machine m.
func testHeartbeat(seq uint64, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "m", Addr: "a", Type: "t", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: 1, Tasks: tasks}
}

// TestAttemptsOfTwoOwnersWithOneNumber guards against identifying starts by attempt number alone. Attempt numbers are
// unique only per task, so the second of two owners' starts with the same number would never be sent.
func TestAttemptsOfTwoOwnersWithOneNumber(t *testing.T) {
	registry, agent := newTestRegistry(t)
	registry.QueueOrders(1, "m", []jobstate.Order{startOf("job-1")})
	registry.QueueOrders(1, "m", []jobstate.Order{startOf("job-2")})
	if cmds := agent.TakeForRequest(); len(cmds) != 2 {
		t.Fatalf("sends %v, want two starts", cmds)
	}
}

// TestUnansweredStartIsNotForgotten: a start whose request was not answered may still arrive. If the agent had deleted
// its record of the attempt by then, it would run the attempt again.
func TestUnansweredStartIsNotForgotten(t *testing.T) {
	registry, agent := newTestRegistry(t)
	o := startOf("job-1")
	o.Attempt = jobstate.AttemptID(1, 5)
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	agent.FinishRequest(agent.TakeForRequest(), false, true)
	registry.ApplyHeartbeat(testHeartbeat(2, protocol.TaskStatus{Task: "job-1/0", Attempt: o.Attempt, State: protocol.Exited, Reason: protocol.ReasonDone}), time.Unix(2, 0))
	o.Op = protocol.Forget
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	if cmds := agent.TakeForAnswer(); len(cmds) != 0 {
		t.Fatalf("sends forget while a start is in flight: %v", cmds)
	}
	// Under a later term the agent refuses the old start, so the attempt may be forgotten.
	registry.SetTerm(2, func(string) bool { return true })
	registry.QueueOrders(2, "m", []jobstate.Order{o})
	if cmds := agent.TakeForAnswer(); len(cmds) != 1 || cmds[0].Op != protocol.Forget {
		t.Fatalf("answers %v under the later term", cmds)
	}
}

// TestRefusedStartIsNeverSent: a stop for a start that has not been sent cancels it permanently, and the machine's
// status reports that to the owner.
func TestRefusedStartIsNeverSent(t *testing.T) {
	registry, agent := newTestRegistry(t)
	o := startOf("job-1")
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	o.Op = protocol.Stop
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	o.Op = protocol.Start
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	if cmds := agent.TakeForRequest(); len(cmds) != 0 {
		t.Fatalf("sends %v after reporting the start as never sent", cmds)
	}
	if v := registry.Status("m"); len(v.Barred) != 1 || v.Barred[0] != o.Ref() {
		t.Fatalf("status reports as never sent %v", v.Barred)
	}
}

// TestSentStartIsNotReportedAsNeverSent: a start that was sent without a response may still arrive.
func TestSentStartIsNotReportedAsNeverSent(t *testing.T) {
	registry, agent := newTestRegistry(t)
	o := startOf("job-1")
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	agent.FinishRequest(agent.TakeForRequest(), false, true)
	o.Op = protocol.Stop
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	registry.ApplyHeartbeat(testHeartbeat(2), time.Unix(2, 0))
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	if v := registry.Status("m"); len(v.Barred) != 0 {
		t.Fatalf("status reports as never sent %v, which may still arrive", v.Barred)
	}
}

// TestStartOfAnEarlierTermIsNotReportedAsNeverSent: if a stop refers to an attempt of an earlier term that the machine
// does not list, its start may still have been sent by the home of that term and may still arrive.
func TestStartOfAnEarlierTermIsNotReportedAsNeverSent(t *testing.T) {
	registry, agent := newTestRegistry(t)
	o := startOf("job-1")
	o.Attempt = jobstate.AttemptID(1, 5)
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	agent.FinishRequest(agent.TakeForRequest(), false, true)
	registry.SetTerm(2, func(string) bool { return true })
	o.Op = protocol.Stop
	registry.QueueOrders(2, "m", []jobstate.Order{o})
	if v := registry.Status("m"); len(v.Barred) != 0 {
		t.Fatalf("status reports as never sent %v, which the home of an earlier term sent", v.Barred)
	}
	// If the attempt is of this home's own term and no start was ordered, the start was certainly never sent.
	o.Attempt = jobstate.AttemptID(2, 1)
	registry.QueueOrders(2, "m", []jobstate.Order{o})
	if v := registry.Status("m"); len(v.Barred) != 1 {
		t.Fatalf("status reports as never sent %v, want the attempt that this home never sent", v.Barred)
	}
}

// TestStartInAnAnswerIsSettledByTheNextHeartbeat: a start sent in the answer to a heartbeat may be overtaken by a
// request with commands. Only the agent's own next heartbeat determines whether the answer arrived.
func TestStartInAnAnswerIsSettledByTheNextHeartbeat(t *testing.T) {
	registry, agent := newTestRegistry(t)
	o := startOf("job-1")
	o.Attempt = jobstate.AttemptID(1, 5)
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	if cmds := agent.TakeForAnswer(); len(cmds) != 1 {
		t.Fatalf("answers %v", cmds)
	}
	registry.ApplyResponse(testHeartbeat(2), time.Unix(2, 0))
	o.Op = protocol.Stop
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	if v := registry.Status("m"); len(v.Barred) != 0 {
		t.Fatalf("status reports as never sent %v, which may still arrive", v.Barred)
	}
	forget := o
	forget.Op = protocol.Forget
	registry.ApplyResponse(testHeartbeat(3, protocol.TaskStatus{Task: "job-1/0", Attempt: o.Attempt, State: protocol.Exited, Reason: protocol.ReasonError}), time.Unix(3, 0))
	registry.QueueOrders(1, "m", []jobstate.Order{forget})
	if cmds := agent.TakeForAnswer(); len(cmds) != 0 {
		t.Fatalf("answers %v while a start is in flight", cmds)
	}
}

// TestStartInALostAnswerIsNeverSent: if the agent's own next heartbeat does not list the task, the answer with its
// start was lost, and the home may report that it will never be sent.
func TestStartInALostAnswerIsNeverSent(t *testing.T) {
	registry, agent := newTestRegistry(t)
	o := startOf("job-1")
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	agent.TakeForAnswer()
	registry.ApplyHeartbeat(testHeartbeat(2), time.Unix(2, 0))
	o.Op = protocol.Stop
	registry.QueueOrders(1, "m", []jobstate.Order{o})
	if v := registry.Status("m"); len(v.Barred) != 1 {
		t.Fatalf("status reports as never sent %v, want the lost start", v.Barred)
	}
}

// TestOrdersOfAnotherTermAreIgnored: a home sends no orders of another term, so that a replaced owner's starts are not
// sent after the end of their term.
func TestOrdersOfAnotherTermAreIgnored(t *testing.T) {
	registry, agent := newTestRegistry(t)
	registry.SetTerm(2, func(string) bool { return true })
	registry.QueueOrders(1, "m", []jobstate.Order{startOf("job-1")})
	if cmds := agent.TakeForRequest(); len(cmds) != 0 {
		t.Fatalf("sends %v", cmds)
	}
}

// TestStartWithoutRoomIsRefused: if several owners place tasks into the same free capacity, the last start is refused.
func TestStartWithoutRoomIsRefused(t *testing.T) {
	registry, _ := newTestRegistry(t)
	for i, job := range []string{"job-1", "job-2", "job-3", "job-4", "job-5"} {
		registry.QueueOrders(1, "m", []jobstate.Order{startOf(job)})
		if barred := len(registry.Status("m").Barred); (i < 4 && barred != 0) || (i == 4 && barred != 1) {
			t.Fatalf("after %d starts %d are refused, want only the fifth", i+1, barred)
		}
	}
}

// TestOlderHeartbeatIsIgnored: a duplicate of an earlier heartbeat, or one of an earlier incarnation, that arrives
// after newer ones changes neither the listed tasks nor the time of the last heartbeat.
func TestOlderHeartbeatIsIgnored(t *testing.T) {
	registry, agent := newTestRegistry(t)
	registry.QueueOrders(1, "m", []jobstate.Order{startOf("job-1")})
	agent.FinishRequest(agent.TakeForRequest(), true, true)
	running := protocol.TaskStatus{Task: "job-1/0", Attempt: 5, State: protocol.Running}
	registry.ApplyHeartbeat(testHeartbeat(4, running), time.Unix(4, 0))
	next := testHeartbeat(1, running)
	next.Incarnation = 2
	for what, r := range map[string]*protocol.Heartbeat{"an earlier heartbeat": testHeartbeat(3), "the same heartbeat": testHeartbeat(4), "an earlier one without tasks": testHeartbeat(1)} {
		if newer, changed := registry.ApplyHeartbeat(r, time.Unix(9, 0)); newer || changed || len(agent.Heartbeat.Tasks) != 1 || agent.HeartbeatAt != time.Unix(4, 0) {
			t.Errorf("%s is accepted as the newest", what)
		}
	}
	if newer, _ := registry.ApplyHeartbeat(next, time.Unix(5, 0)); !newer {
		t.Fatal("the first heartbeat of the next incarnation is not accepted")
	}
	if newer, _ := registry.ApplyHeartbeat(testHeartbeat(90), time.Unix(9, 0)); newer || agent.Heartbeat.Incarnation != 2 {
		t.Error("a heartbeat of an earlier incarnation is accepted as the newest")
	}
}

// TestStartThatTheHeartbeatCannotListIsRefused: owners do not know what others order, so a machine's home refuses a start
// that would make the heartbeat longer than controllers accept (review/2).
func TestStartThatTheHeartbeatCannotListIsRefused(t *testing.T) {
	registry := New(func(string) (float64, float64, float64, bool) { return 8, 0, 64, true }, func(string) (float64, float64, float64) { return 0, 0, 0 })
	registry.SetTerm(1, func(string) bool { return true })
	h := testHeartbeat(1)
	room := protocol.MaxListedBytes
	for name := "job-000001/0"; room >= 3*protocol.ListedBytes(len(name)); room -= protocol.ListedBytes(len(name)) {
		h.Tasks = append(h.Tasks, protocol.TaskStatus{Task: name, Attempt: uint64(len(h.Tasks) + 10), State: protocol.Exited, Reason: protocol.ReasonDone})
	}
	registry.ApplyHeartbeat(h, time.Unix(1, 0))
	for i, job := range []string{"job-000002", "job-000003", "job-000004"} {
		registry.QueueOrders(1, "m", []jobstate.Order{startOf(job)})
		if barred := len(registry.Status("m").Barred); barred != max(0, i-1) {
			t.Errorf("%d of %d starts are refused beside %d listed tasks", barred, i+1, len(h.Tasks))
		}
	}
}
