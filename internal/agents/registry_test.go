package agents

import (
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

func home(t *testing.T) (*Registry, *Agent) {
	h := New(func(string) (float64, float64, float64, bool) { return 8, 0, 64, true }, func(string) (float64, float64, float64) { return 2, 0, 4 })
	h.SetTerm(1, func(string) bool { return true })
	h.ApplyHeartbeat(&protocol.Heartbeat{Machine: "m", Addr: "a", Type: "t", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: 1}, time.Unix(1, 0))
	return h, h.Get("m")
}

func startOf(job string) jobstate.Order {
	return jobstate.Order{Op: protocol.Start, TaskID: jobstate.TaskID{Job: job}, Attempt: 5, Incarnation: 1, CPUs: 2, MemoryGB: 4}
}

func report(seq uint64, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "m", Addr: "a", Type: "t", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: 1, Tasks: tasks}
}

// TestAttemptsOfTwoOwnersWithOneNumber: attempt numbers are unique only for a task. Two
// owners' attempts of one term once met in one entry, and the second start was
// never sent.
func TestAttemptsOfTwoOwnersWithOneNumber(t *testing.T) {
	h, m := home(t)
	h.QueueOrders(1, "m", []jobstate.Order{startOf("job-1")})
	h.QueueOrders(1, "m", []jobstate.Order{startOf("job-2")})
	if cmds := m.TakeForRequest(); len(cmds) != 2 {
		t.Fatalf("sends %v", cmds)
	}
}

// TestUnansweredStartIsNotForgotten: a start whose request got no answer may still
// arrive; once the agent forgot the attempt, it would run again.
func TestUnansweredStartIsNotForgotten(t *testing.T) {
	h, m := home(t)
	o := startOf("job-1")
	h.QueueOrders(1, "m", []jobstate.Order{o})
	m.FinishRequest(m.TakeForRequest(), false, true)
	h.ApplyHeartbeat(report(2, protocol.TaskStatus{Task: "job-1/0", Attempt: 5, State: protocol.Exited, Reason: protocol.ReasonDone}), time.Unix(2, 0))
	o.Op = protocol.Forget
	h.QueueOrders(1, "m", []jobstate.Order{o})
	if cmds := m.TakeForAnswer(); len(cmds) != 0 {
		t.Fatalf("forgets beside a start in flight: %v", cmds)
	}
	// Under a later term the agent refuses the old start, so it may be forgotten.
	h.SetTerm(2, func(string) bool { return true })
	h.QueueOrders(2, "m", []jobstate.Order{o})
	if cmds := m.TakeForAnswer(); len(cmds) != 1 || cmds[0].Op != protocol.Forget {
		t.Fatalf("answers %v under the later term", cmds)
	}
}

// TestRefusedStartIsNeverSent: a stop for a start that was not sent takes it back for good, and the owner may count on it.
func TestRefusedStartIsNeverSent(t *testing.T) {
	h, m := home(t)
	o := startOf("job-1")
	h.QueueOrders(1, "m", []jobstate.Order{o})
	o.Op = protocol.Stop
	h.QueueOrders(1, "m", []jobstate.Order{o})
	o.Op = protocol.Start
	h.QueueOrders(1, "m", []jobstate.Order{o})
	if cmds := m.TakeForRequest(); len(cmds) != 0 {
		t.Fatalf("sends %v after the owner was told never", cmds)
	}
	if v := h.Status("m"); len(v.Barred) != 1 || v.Barred[0] != o.Ref() {
		t.Fatalf("status has as never sent %v", v.Barred)
	}
}

// TestSentStartIsNotReportedAsNeverSent: what was sent without an answer may still arrive.
func TestSentStartIsNotReportedAsNeverSent(t *testing.T) {
	h, m := home(t)
	o := startOf("job-1")
	h.QueueOrders(1, "m", []jobstate.Order{o})
	m.FinishRequest(m.TakeForRequest(), false, true)
	o.Op = protocol.Stop
	h.QueueOrders(1, "m", []jobstate.Order{o})
	h.ApplyHeartbeat(report(2), time.Unix(2, 0))
	h.QueueOrders(1, "m", []jobstate.Order{o})
	if v := h.Status("m"); len(v.Barred) != 0 {
		t.Fatalf("status has as never sent %v, which may still arrive", v.Barred)
	}
}

// TestStartOfAnEarlierTermIsNotReportedAsNeverSent: a stop for an attempt of an earlier term that the machine does not list is no
// proof that its start was never sent: the home of that term may have sent it, and it may still arrive.
func TestStartOfAnEarlierTermIsNotReportedAsNeverSent(t *testing.T) {
	h, m := home(t)
	o := startOf("job-1")
	o.Attempt = jobstate.AttemptID(1, 5)
	h.QueueOrders(1, "m", []jobstate.Order{o})
	m.FinishRequest(m.TakeForRequest(), false, true)
	h.SetTerm(2, func(string) bool { return true })
	o.Op = protocol.Stop
	h.QueueOrders(2, "m", []jobstate.Order{o})
	if v := h.Status("m"); len(v.Barred) != 0 {
		t.Fatalf("status has as never sent %v, which the home of an earlier term sent", v.Barred)
	}
	// The same stop for an attempt of the home's own term, of which no start came, is proof.
	o.Attempt = jobstate.AttemptID(2, 1)
	h.QueueOrders(2, "m", []jobstate.Order{o})
	if v := h.Status("m"); len(v.Barred) != 1 {
		t.Fatalf("status has as never sent %v, want the attempt that this home never sent", v.Barred)
	}
}

// TestStartInAnAnswerIsSettledByTheNextHeartbeat: a start that went out with the answer to a heartbeat may be on its way
// while a request with commands overtakes it. Only the agent's own next heartbeat tells what became of the answer.
func TestStartInAnAnswerIsSettledByTheNextHeartbeat(t *testing.T) {
	h, m := home(t)
	o := startOf("job-1")
	h.QueueOrders(1, "m", []jobstate.Order{o})
	if cmds := m.TakeForAnswer(); len(cmds) != 1 {
		t.Fatalf("answers %v", cmds)
	}
	h.ApplyResponse(report(2), time.Unix(2, 0))
	o.Op = protocol.Stop
	h.QueueOrders(1, "m", []jobstate.Order{o})
	if v := h.Status("m"); len(v.Barred) != 0 {
		t.Fatalf("status has as never sent %v, which may still arrive", v.Barred)
	}
	forget := o
	forget.Op = protocol.Forget
	h.ApplyResponse(report(3, protocol.TaskStatus{Task: "job-1/0", Attempt: 5, State: protocol.Exited, Reason: protocol.ReasonError}), time.Unix(3, 0))
	h.QueueOrders(1, "m", []jobstate.Order{forget})
	if cmds := m.TakeForAnswer(); len(cmds) != 0 {
		t.Fatalf("answers %v beside a start in flight", cmds)
	}
}

// TestStartInALostAnswerIsNeverSent: once the agent itself sent a heartbeat again without the task, the answer with its start was lost,
// and the home can say that it will never be sent.
func TestStartInALostAnswerIsNeverSent(t *testing.T) {
	h, m := home(t)
	o := startOf("job-1")
	h.QueueOrders(1, "m", []jobstate.Order{o})
	m.TakeForAnswer()
	h.ApplyHeartbeat(report(2), time.Unix(2, 0))
	o.Op = protocol.Stop
	h.QueueOrders(1, "m", []jobstate.Order{o})
	if v := h.Status("m"); len(v.Barred) != 1 {
		t.Fatalf("status has as never sent %v, want the lost start", v.Barred)
	}
}

// TestOrdersOfAnotherTermAreIgnored: a home sends no order of another term, so that a
// replaced owner's starts end with their term.
func TestOrdersOfAnotherTermAreIgnored(t *testing.T) {
	h, m := home(t)
	h.SetTerm(2, func(string) bool { return true })
	h.QueueOrders(1, "m", []jobstate.Order{startOf("job-1")})
	if cmds := m.TakeForRequest(); len(cmds) != 0 {
		t.Fatalf("sends %v", cmds)
	}
}

// TestStartWithoutRoomIsRefused: of owners that place on the same room, the last is refused.
func TestStartWithoutRoomIsRefused(t *testing.T) {
	h, _ := home(t)
	for i, job := range []string{"job-1", "job-2", "job-3", "job-4", "job-5"} {
		h.QueueOrders(1, "m", []jobstate.Order{startOf(job)})
		if barred := len(h.Status("m").Barred); (i < 4 && barred != 0) || (i == 4 && barred != 1) {
			t.Fatalf("after %d starts %d are refused", i+1, barred)
		}
	}
}

// TestOlderHeartbeatIsIgnored: a copy of an earlier heartbeat, also of an earlier incarnation, that comes after newer ones
// changes nothing: not what the machine lists, nor when it was last heard.
func TestOlderHeartbeatIsIgnored(t *testing.T) {
	h, m := home(t)
	h.QueueOrders(1, "m", []jobstate.Order{startOf("job-1")})
	m.FinishRequest(m.TakeForRequest(), true, true)
	running := protocol.TaskStatus{Task: "job-1/0", Attempt: 5, State: protocol.Running}
	h.ApplyHeartbeat(report(4, running), time.Unix(4, 0))
	next := report(1, running)
	next.Incarnation = 2
	for what, r := range map[string]*protocol.Heartbeat{"an earlier heartbeat": report(3), "the same one": report(4), "one that listed nothing": report(1)} {
		if newer, changed := h.ApplyHeartbeat(r, time.Unix(9, 0)); newer || changed || len(m.Heartbeat.Tasks) != 1 || m.HeartbeatAt != time.Unix(4, 0) {
			t.Errorf("%s is taken for the newest", what)
		}
	}
	if newer, _ := h.ApplyHeartbeat(next, time.Unix(5, 0)); !newer {
		t.Fatal("the first heartbeat of the next incarnation is not taken")
	}
	if newer, _ := h.ApplyHeartbeat(report(90), time.Unix(9, 0)); newer || m.Heartbeat.Incarnation != 2 {
		t.Error("a heartbeat of an earlier incarnation is taken for the newest")
	}
}
