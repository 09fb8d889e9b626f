package controller

import (
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// orderedMachine is a machine whose home receives orders for it and answers its heartbeats.
type orderedMachine struct {
	*nodeHarness
	name string
	seq  uint64
}

func newOrderedMachine() *orderedMachine {
	g := newNodeHarness(1, 1)
	o := &orderedMachine{nodeHarness: g, name: g.machineNames[0], seq: 10}
	g.n.agents.SetTerm(1, func(string) bool { return true })
	g.submit(2, 1) // job-000001
	return o
}

// report sends a heartbeat of the machine without tasks, and returns the answer.
func (o *orderedMachine) report(at time.Time) (status int, commands []protocol.Command) {
	o.seq++
	r := protocol.Heartbeat{Machine: o.name, Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: o.seq, FencingToken: 1, Tasks: []protocol.TaskStatus{}}
	a := o.n.encodeAnswer(o.n.answerHeartbeat(&r, at))
	var answer protocol.HeartbeatAnswer
	if err := protocol.Decode(a.Body, &answer); err != nil && a.Status == 200 {
		panic(err)
	}
	return a.Status, answer.Commands
}

func (o *orderedMachine) order(op protocol.CommandOp) {
	o.n.agents.QueueOrders(1, o.name, []jobstate.Order{{Op: op, TaskID: jobstate.TaskID{Job: "job-000001"}, Attempt: 1, Incarnation: 1, CPUs: 1, MemoryGB: 1}})
}

// TestNoStartOfAnEndedJob: an owner that the state service refuses may order starts of a job that the machine's home
// knows to be cancelled. The home sent them nevertheless.
func TestNoStartOfAnEndedJob(t *testing.T) {
	o := newOrderedMachine()
	n := o.n
	n.mu.Lock()
	defer n.mu.Unlock()
	o.report(o.now)
	o.order(protocol.Start)
	n.endJob("job-000001")
	if _, commands := o.report(o.now); len(commands) > 0 {
		t.Errorf("the answer commands %+v", commands)
	}
	o.order(protocol.Start)
	if n.agents.Get(o.name).HasQueuedStart() {
		t.Error("the start is queued again")
	}
	if v := n.agents.Status(o.name); len(v.Barred) != 1 {
		t.Errorf("the status does not report the start as never sent: %+v", v)
	}
}

// TestStartInFlightBoundsRenewals: an unanswered request may arrive late. Once the job of its start has ended, the home
// renews the agent's lease no longer than the watermark at the time of sending allows. Other controllers get that
// watermark with the home's status and are bound by it too.
func TestStartInFlightBoundsRenewals(t *testing.T) {
	o := newOrderedMachine()
	n := o.n
	n.mu.Lock()
	defer n.mu.Unlock()
	renewLimit := settings.Seconds(n.settings.Deployment.Agents.CancelSeconds-n.settings.Deployment.Agents.LeaseSeconds) - 2*time.Second
	o.report(o.now)
	o.order(protocol.Start)
	m := n.agents.Get(o.name)
	n.prepareCommands(m, o.now)
	m.FinishRequest(m.TakeForRequest(), false, true)
	renews := func(after time.Duration) bool {
		at := o.now.Add(after)
		n.leadership.LeaseRenewed(at)
		n.cancelWatermark.RecordRead(at) // renewals have no other bound
		status, _ := o.report(at)
		return status == 200
	}
	if !renews(renewLimit + 5*time.Second) {
		t.Error("a start in flight of an active job bounds renewals")
	}
	n.endJob("job-000001")
	if renews(renewLimit + 6*time.Second) {
		t.Error("a machine is kept alive although a start of a cancelled job may arrive there")
	}
	at := o.now.Add(renewLimit + 7*time.Second)
	s := n.status(at)
	if age, ok := s.InFlightAges[o.name]; !ok || age < (renewLimit+7*time.Second).Milliseconds() {
		t.Errorf("the home reports the ages %v", s.InFlightAges)
	}
	n.agents.SetTerm(2, func(string) bool { return true })
	next := n.leadership.Record().Clone()
	next.Term = 2
	learnRecord(n, next)
	if !renews(renewLimit + 8*time.Second) {
		t.Error("a machine is not kept alive although a raised term invalidates the start")
	}
	n.leadership.Record().Nodes[n.name]++ // an earlier process was its home
	n.leadership.LeaseExpired(at)
	n.machine(o.name).HomeWatermark = time.Time{}
	if status, _ := o.report(at.Add(2 * time.Second)); status == 200 {
		t.Error("a restarted process acts as the home that it was before")
	}
}

// TestHomeWatermark: the age of a home's watermark counts from the status of this process that the home acknowledges,
// plus the age of what it knew when it sent a start that may still arrive.
func TestHomeWatermark(t *testing.T) {
	g := newNodeHarness(1, 1)
	n := g.n
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startedAt = g.now.Add(-time.Minute)
	record := n.leadership.Record().Clone()
	record.Unreachable = []string{n.name, "node-c"} // the home is node-b
	learnRecord(n, record)
	name := g.machineNames[0]
	watermarkAge := func(from string, inFlight map[string]int64) time.Duration {
		s := statusMsg{HeartbeatAges: map[string]int64{name: 2000}, InFlightAges: inFlight, Received: map[string]receivedStatus{n.name: {Incarnation: n.incarnation, SentAt: 50000}}}
		n.onHomeWatermarks(from, &s, g.now)
		return g.now.Sub(n.machine(name).HomeWatermark)
	}
	if got := watermarkAge("node-b", nil); got != 12*time.Second {
		t.Errorf("heartbeat 2 s before a status that acknowledges one of 10 s ago: %v", got)
	}
	if got := watermarkAge("node-b", map[string]int64{name: 5000}); got != 15*time.Second {
		t.Errorf("a start sent under a watermark 5 s older: %v", got)
	}
	if got := watermarkAge("node-c", nil); got != 15*time.Second {
		t.Errorf("the status of a controller that is not the home counts: %v", got)
	}
}

// TestOrderIsTrustedUntilARead: the lease of an agent whose task is of a job unknown to its home is renewed based on
// the owner's order, since the watch may be behind. After a read of the store that began after the start, an unknown
// job must have ended.
func TestOrderIsTrustedUntilARead(t *testing.T) {
	o := newOrderedMachine()
	n := o.n
	n.mu.Lock()
	defer n.mu.Unlock()
	o.report(o.now)
	n.agents.QueueOrders(1, o.name, []jobstate.Order{{Op: protocol.Start, TaskID: jobstate.TaskID{Job: "job-000950"}, Attempt: 1, Incarnation: 1, CPUs: 1, MemoryGB: 1}})
	if _, commands := o.report(o.now); len(commands) != 1 {
		t.Fatalf("the start is not sent: %+v", commands)
	}
	renews := func(at time.Time) bool {
		o.seq++
		r := protocol.Heartbeat{Machine: o.name, Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: o.seq, FencingToken: 1,
			Tasks: []protocol.TaskStatus{{Task: "job-000950/0", Attempt: 1, State: protocol.Running}}}
		_, ok := n.leaseGrant(&r, at)
		return ok
	}
	if !renews(o.now.Add(time.Second)) {
		t.Error("a task that its owner ordered is not kept alive before anything was read")
	}
	n.cancelWatermark.RecordRead(o.now.Add(2 * time.Second))
	if renews(o.now.Add(3 * time.Second)) {
		t.Error("a task of a job that is not active is kept alive on an old order")
	}
}
