package controller

import (
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// ordering is a home that gets orders for one machine and its heartbeats.
type ordering struct {
	*nodeHarness
	name string
	seq  uint64
}

func newOrdering() *ordering {
	g := newNodeHarness(1, 1)
	o := &ordering{nodeHarness: g, name: g.machineNames[0], seq: 10}
	g.n.agents.SetTerm(1, func(string) bool { return true })
	g.submit(2, 1) // job-000001
	return o
}

// report answers a heartbeat of the machine, which lists nothing.
func (o *ordering) report(at time.Time) (status int, commands []protocol.Command) {
	o.seq++
	r := protocol.Heartbeat{Machine: o.name, Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: o.seq, FencingToken: 1, Tasks: []protocol.TaskStatus{}}
	a := o.n.encodeAnswer(o.n.answerHeartbeat(&r, at))
	var answer protocol.HeartbeatAnswer
	if err := protocol.Decode(a.Body, &answer); err != nil && a.Status == 200 {
		panic(err)
	}
	return a.Status, answer.Commands
}

func (o *ordering) order(op protocol.CommandOp) {
	o.n.agents.QueueOrders(1, o.name, []jobstate.Order{{Op: op, TaskID: jobstate.TaskID{Job: "job-000001"}, Attempt: 1, Incarnation: 1, CPUs: 1, MemoryGB: 1}})
}

// TestNoStartOfAnEndedJob: an owner that the key-value store refuses may order starts of a job that its machine's home
// knows to be cancelled. The home sent them.
func TestNoStartOfAnEndedJob(t *testing.T) {
	o := newOrdering()
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
		t.Error("it is queued again")
	}
	if v := n.agents.Status(o.name); len(v.Barred) != 1 {
		t.Errorf("its owner is not told that it was never sent: %+v", v)
	}
}

// TestStartInFlightBoundsRenewals: an unanswered request may arrive late. Once the job of its start has ended, the agent is
// kept alive no longer than the watermark at the sending allows, by its home and by others, who are told of it.
func TestStartInFlightBoundsRenewals(t *testing.T) {
	o := newOrdering()
	n := o.n
	n.mu.Lock()
	defer n.mu.Unlock()
	reach := settings.Seconds(n.settings.Deployment.Agents.CancelSeconds-n.settings.Deployment.Agents.LeaseSeconds) - 2*time.Second
	o.report(o.now)
	o.order(protocol.Start)
	m := n.agents.Get(o.name)
	n.prepareCommands(m, o.now)
	m.FinishRequest(m.TakeForRequest(), false, true)
	renews := func(after time.Duration) bool {
		at := o.now.Add(after)
		n.leadership.LeaseRenewed(at)
		n.cancelWatermark.RecordRead(at) // nothing else bounds it
		status, _ := o.report(at)
		return status == 200
	}
	if !renews(reach + 5*time.Second) {
		t.Error("a start in flight of an active job bounds renewals")
	}
	n.endJob("job-000001")
	if renews(reach + 6*time.Second) {
		t.Error("a machine is kept alive for which a start of a withdrawn job may arrive")
	}
	at := o.now.Add(reach + 7*time.Second)
	s := n.status(at)
	if age, ok := s.InFlightAges[o.name]; !ok || age < (reach+7*time.Second).Milliseconds() {
		t.Errorf("the home tells of %v", s.InFlightAges)
	}
	n.agents.SetTerm(2, func(string) bool { return true })
	next := n.leadership.Record().Clone()
	next.Term = 2
	learnRecord(n, next)
	if !renews(reach + 8*time.Second) {
		t.Error("a machine is not kept alive though a raised term voids the start")
	}
	n.leadership.Record().Nodes[n.name]++ // an earlier process was its home
	n.leadership.LeaseExpired(at)
	n.machine(o.name).HomeWatermark = time.Time{}
	if status, _ := o.report(at.Add(2 * time.Second)); status == 200 {
		t.Error("a process that began anew takes itself for the home that it was")
	}
}

// TestHomeWatermark: what a home says of its agents counts from this process's status that it names, less the age of what
// it knew when it sent what may still arrive.
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
	said := func(from string, inFlight map[string]int64) time.Duration {
		s := statusMsg{HeartbeatAges: map[string]int64{name: 2000}, InFlightAges: inFlight, Received: map[string]receivedStatus{n.name: {Incarnation: n.incarnation, SentAt: 50000}}}
		n.onHomeWatermarks(from, &s, g.now)
		return g.now.Sub(n.machine(name).HomeWatermark)
	}
	if got := said("node-b", nil); got != 12*time.Second {
		t.Errorf("heard 2 s before a status that names one of 10 s ago: %v", got)
	}
	if got := said("node-b", map[string]int64{name: 5000}); got != 15*time.Second {
		t.Errorf("a start sent with what was known 5 s before: %v", got)
	}
	if got := said("node-c", nil); got != 15*time.Second {
		t.Errorf("another one's word counts: %v", got)
	}
}

// TestOrderIsTrustedUntilARead: a job that its machine's home does not know is renewed on its owner's order, for the watch
// may be behind. Once the store was read after the start, the job has ended, or it would be known.
func TestOrderIsTrustedUntilARead(t *testing.T) {
	o := newOrdering()
	n := o.n
	n.mu.Lock()
	defer n.mu.Unlock()
	o.report(o.now)
	n.agents.QueueOrders(1, o.name, []jobstate.Order{{Op: protocol.Start, TaskID: jobstate.TaskID{Job: "job-000950"}, Attempt: 1, Incarnation: 1, CPUs: 1, MemoryGB: 1}})
	if _, commands := o.report(o.now); len(commands) != 1 {
		t.Fatalf("the start does not go out: %+v", commands)
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
