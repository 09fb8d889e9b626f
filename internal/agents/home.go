// Package agents is a controller's part as home of machines: it takes their
// reports, relays owners' orders to them and tells what it knows of them. It
// does no I/O and reads no clock.
package agents

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// maxQueued bounds the commands that wait for one machine.
const maxQueued = 512

// start is what became of a start command in this term.
type start struct {
	order       jobstate.Order
	queued      bool   // waits here
	inRequest   bool   // a /do with it is under way
	unanswered  bool   // a /do with it was never answered: it may still arrive in this term
	inAnswer    bool   // sent in an answer to a report
	answeredSeq uint64 // that report: what became of the answer is known once the worker itself sent a later one
	listed      bool
	neverSent   bool // will never be sent
	forgotten   bool // a forget was queued: never to be sent again

	sentAt        time.Time // when it was first sent
	sentWatermark time.Time // every withdrawal confirmed before this was known here then
}

// Agent is a machine at its home.
type Agent struct {
	Heartbeat     protocol.Heartbeat // the newest, from the worker itself or from its answer to a command
	HeartbeatAt   time.Time          // when a report last came
	requestOpen   bool               // a /do is under way
	unresponsive  bool               // the last /do failed: only report answers until it is heard again
	sendTime      time.Time          // set before commands are sent, as is Known
	sendWatermark time.Time          // every withdrawal confirmed before it is known here

	lastOwnSeq uint64 // the greatest sequence number of this session that the worker itself sent
	starts     map[jobstate.AttemptRef]*start
	queue      []protocol.Command
	sendNow    bool
	revision   uint64
	status     *jobstate.MachineStatus
}

// Size tells what a task of a job takes.
type Size func(job string) (cpus, gpus, memory float64)

// Registry holds the machines that report here.
type Registry struct {
	term     uint64
	agents   map[string]*Agent
	capacity func(machineType string) (cpus, gpus, memory float64, ok bool)
	size     Size
}

// New is a home without machines.
func New(capacity func(string) (float64, float64, float64, bool), size Size) *Registry {
	return &Registry{agents: map[string]*Agent{}, capacity: capacity, size: size}
}

// SetTerm begins a later term: what was ordered under the earlier one is
// dropped, and no start of it will be sent any more.
func (h *Registry) SetTerm(term uint64, mine func(machine string) bool) {
	if term <= h.term {
		return
	}
	h.term = term
	for name, m := range h.agents {
		if !mine(name) {
			delete(h.agents, name)
			continue
		}
		m.starts = map[jobstate.AttemptRef]*start{}
		m.queue, m.sendNow = nil, false
		m.invalidateStatus()
	}
}

func (m *Agent) invalidateStatus() {
	m.revision++
	m.status = nil
}

// Get finds a machine that reports here.
func (h *Registry) Get(name string) *Agent { return h.agents[name] }

// All lists the machines that report here.
func (h *Registry) All() map[string]*Agent { return h.agents }

// Drop forgets a machine that is gone or reports elsewhere.
func (h *Registry) Drop(name string) { delete(h.agents, name) }

// Heard takes in a report that the worker itself sent. It says whether it was newer than what was known and
// whether anything in it changed. A worker keeps one report in flight at a time, so it executed the commands in the
// answer to the report before, or never will.
func (h *Registry) ApplyHeartbeat(r *protocol.Heartbeat, now time.Time) (newer, changed bool) {
	newer, changed = h.ApplyResponse(r, now)
	if m := h.agents[r.Machine]; m.Heartbeat.Incarnation == r.Incarnation {
		m.lastOwnSeq = max(m.lastOwnSeq, r.Seq)
	}
	return newer, changed
}

// HeardAnswer takes in the report in the answer to a direct command. The answer to the worker's own last report may
// still be on its way to it.
func (h *Registry) ApplyResponse(r *protocol.Heartbeat, now time.Time) (newer, changed bool) {
	m := h.agents[r.Machine]
	if m == nil {
		m = &Agent{starts: map[jobstate.AttemptRef]*start{}}
		h.agents[r.Machine] = m
	} else if r.Incarnation < m.Heartbeat.Incarnation || (r.Incarnation == m.Heartbeat.Incarnation && r.Seq <= m.Heartbeat.Seq) {
		return false, false
	}
	changed = r.Incarnation != m.Heartbeat.Incarnation || r.FencingToken != m.Heartbeat.FencingToken || (r.NoticeSeconds == nil) != (m.Heartbeat.NoticeSeconds == nil) ||
		!slices.Equal(r.Tasks, m.Heartbeat.Tasks)
	if r.Incarnation != m.Heartbeat.Incarnation {
		m.starts = map[jobstate.AttemptRef]*start{}
		m.queue, m.sendNow, m.lastOwnSeq = nil, false, 0
	}
	m.Heartbeat = *r
	m.HeartbeatAt = now
	m.unresponsive = false
	for _, t := range r.Tasks {
		if s := m.starts[parseAttempt(t.Task, t.Attempt)]; s != nil {
			s.listed, s.queued = true, false
		}
	}
	if changed {
		m.invalidateStatus()
	}
	return true, changed
}

// settled says that no start command for the attempt can still arrive.
func (m *Agent) settled(s *start) bool {
	return !s.inRequest && !s.unanswered && !m.inOpenAnswer(s)
}

// inAnswer says that the answer with the start may still be on its way to the worker.
func (m *Agent) inOpenAnswer(s *start) bool { return s.inAnswer && m.lastOwnSeq <= s.answeredSeq }

// Take accepts an owner's orders for a machine under a term. It reports whether
// commands should go out at once.
func (h *Registry) QueueOrders(term uint64, machine string, orders []jobstate.Order) bool {
	m := h.agents[machine]
	if m == nil || term != h.term {
		return false
	}
	for _, o := range orders {
		if o.Incarnation != m.Heartbeat.Incarnation || len(m.queue) >= maxQueued {
			continue
		}
		s := m.starts[o.Ref()]
		cmd := protocol.Command{Op: o.Op, Task: protocol.TaskName(o.Job, o.Index), Attempt: o.Attempt}
		switch o.Op {
		case protocol.Start:
			switch {
			case s == nil:
				s = &start{order: o}
				m.starts[o.Ref()] = s
				if !h.hasRoomFor(m, o) {
					s.neverSent = true
				}
			case s.neverSent || s.forgotten || s.listed || s.queued || s.inRequest || m.inOpenAnswer(s):
				continue // repeated only when the last sending is decided; a stray one does no harm
			}
			if !s.neverSent {
				s.queued = true
				m.queue = append(m.queue, cmd)
				m.sendNow = true
			}
			m.invalidateStatus()
		case protocol.Stop:
			if !m.lists(o.Ref()) {
				if s == nil && jobstate.TermOf(o.Attempt) != h.term {
					continue // a home of its term may have sent its start: only a report under a later one proves it off
				}
				if s == nil || (!s.neverSent && !s.listed && m.settled(s)) {
					m.removeQueued(protocol.Start, o.Ref())
					m.starts[o.Ref()] = &start{order: o, neverSent: true}
					m.invalidateStatus()
				}
				continue
			}
			grace := o.Grace
			cmd.GraceSeconds = &grace
			if !m.isQueued(protocol.Stop, o.Ref()) {
				m.queue = append(m.queue, cmd)
				m.sendNow = true
			}
		case protocol.Forget:
			if s != nil && !m.settled(s) {
				continue // an unanswered start would run the task again
			}
			if s == nil {
				s = &start{order: o}
				m.starts[o.Ref()] = s
			}
			s.forgotten = true
			if m.lists(o.Ref()) && !m.isQueued(protocol.Forget, o.Ref()) {
				m.queue = append(m.queue, cmd)
			}
		}
	}
	return m.sendNow
}

// fits says whether a start has room beside what is listed and ordered.
func (h *Registry) hasRoomFor(m *Agent, o jobstate.Order) bool {
	cpus, gpus, memory, ok := h.capacity(m.Heartbeat.Type)
	if !ok {
		return false
	}
	use := func(c, g, r float64) { cpus, gpus, memory = cpus-c, gpus-g, memory-r }
	for _, t := range m.Heartbeat.Tasks {
		if t.State != protocol.Exited {
			job, _, _ := protocol.SplitTask(t.Task)
			use(h.size(job))
		}
	}
	for _, s := range m.starts {
		if !s.listed && !s.neverSent && !s.forgotten && s.order.Op == protocol.Start {
			use(s.order.CPUs, s.order.GPUs, s.order.Memory)
		}
	}
	const slack = 1e-6
	if s := m.starts[o.Ref()]; s != nil { // counted above already
		return cpus >= -slack && gpus >= -slack && memory >= -slack
	}
	return cpus+slack >= o.CPUs && gpus+slack >= o.GPUs && memory+slack >= o.Memory
}

// refOf reads an attempt's name from a worker's words; a malformed one matches
// nothing that was ever ordered.
func parseAttempt(task string, attempt uint64) jobstate.AttemptRef {
	job, index, ok := protocol.SplitTask(task)
	if !ok {
		return jobstate.AttemptRef{}
	}
	return jobstate.AttemptRef{TaskID: jobstate.TaskID{Job: job, Index: index}, Attempt: attempt}
}

func (m *Agent) lists(ref jobstate.AttemptRef) bool {
	return slices.ContainsFunc(m.Heartbeat.Tasks, func(t protocol.TaskStatus) bool { return parseAttempt(t.Task, t.Attempt) == ref })
}

// Ordered says whether an owner ordered a start here in this term, and when it was first sent; zero: not yet.
func (m *Agent) StartOrdered(ref jobstate.AttemptRef) (sent time.Time, ok bool) {
	s := m.starts[ref]
	if s == nil || s.order.Op != protocol.Start {
		return time.Time{}, false
	}
	return s.sentAt, true
}

// Starts says whether a start waits to be sent.
func (m *Agent) HasQueuedStart() bool {
	return slices.ContainsFunc(m.queue, func(c protocol.Command) bool { return c.Op == protocol.Start })
}

func (m *Agent) isQueued(op protocol.CommandOp, ref jobstate.AttemptRef) bool {
	return slices.ContainsFunc(m.queue, func(c protocol.Command) bool { return c.Op == op && parseAttempt(c.Task, c.Attempt) == ref })
}

func (m *Agent) removeQueued(op protocol.CommandOp, ref jobstate.AttemptRef) {
	m.queue = slices.DeleteFunc(m.queue, func(c protocol.Command) bool { return c.Op == op && parseAttempt(c.Task, c.Attempt) == ref })
}

// Urgent says whether commands wait that should go out by /do now.
func (m *Agent) ShouldSend() bool {
	return m.sendNow && !m.requestOpen && !m.unresponsive && len(m.queue) > 0
}

// Send takes the queued commands for a /do.
func (m *Agent) TakeForRequest() []protocol.Command {
	cmds := m.queue
	m.queue, m.sendNow, m.requestOpen = nil, false, true
	for _, c := range cmds {
		if s := m.starts[parseAttempt(c.Task, c.Attempt)]; c.Op == protocol.Start && s != nil {
			s.queued, s.inRequest = false, true
			m.recordSending(s)
		}
	}
	return cmds
}

// Sent books the outcome of a /do: answered (then its report is to be given to
// Heard first), or not, when its commands may still be executed if left is true.
func (m *Agent) FinishRequest(cmds []protocol.Command, answered, left bool) {
	m.requestOpen = false
	m.unresponsive = !answered
	for _, c := range cmds {
		if s := m.starts[parseAttempt(c.Task, c.Attempt)]; c.Op == protocol.Start && s != nil {
			s.inRequest = false
			s.unanswered = s.unanswered || (left && !answered)
		}
	}
	m.invalidateStatus()
}

// Answer takes the queued commands for the answer to the newest report. Commands
// in an answer are executed before the worker's next report or never.
func (m *Agent) TakeForAnswer() []protocol.Command {
	if m.requestOpen {
		return nil
	}
	cmds := m.queue
	m.queue, m.sendNow = nil, false
	for _, c := range cmds {
		if s := m.starts[parseAttempt(c.Task, c.Attempt)]; c.Op == protocol.Start && s != nil {
			s.queued, s.inAnswer, s.answeredSeq = false, true, m.Heartbeat.Seq
			m.recordSending(s)
		}
	}
	return cmds
}

// stamp notes what was known when a start was first sent.
func (m *Agent) recordSending(s *start) {
	if s.sentAt.IsZero() {
		s.sentAt, s.sentWatermark = m.sendTime, m.sendWatermark
	}
}

// SetWatermark is called before commands are taken to be sent: a start that is sent then is known to have been sent at
// a time, by a controller that knew every cancellation confirmed before the watermark.
func (m *Agent) SetWatermark(now, watermark time.Time) { m.sendTime, m.sendWatermark = now, watermark }

// DropStarts takes the queued starts of jobs that are over back: their owner may not know yet.
func (m *Agent) DropStarts(over func(job string) bool) {
	m.queue = slices.DeleteFunc(m.queue, func(c protocol.Command) bool {
		ref := parseAttempt(c.Task, c.Attempt)
		if c.Op != protocol.Start || !over(ref.Job) {
			return false
		}
		if s := m.starts[ref]; s != nil {
			s.queued = false
			s.neverSent = m.settled(s)
		}
		m.invalidateStatus()
		return true
	})
}

// InFlight tells since when a start may be on its way whose job is over: the earliest moment up to which all
// withdrawals were known when such a start was sent. It is zero if there is none.
func (m *Agent) InFlightWatermark(over func(job string) bool) (known time.Time) {
	for ref, s := range m.starts {
		if s.listed || s.neverSent || s.sentAt.IsZero() || m.settled(s) || !over(ref.Job) {
			continue
		}
		if known.IsZero() || s.sentWatermark.Before(known) {
			known = s.sentWatermark
		}
	}
	return known
}

// View is what owners are told of a machine.
func (h *Registry) Status(name string) *jobstate.MachineStatus {
	m := h.agents[name]
	if m == nil {
		return nil
	}
	if m.status != nil {
		return m.status
	}
	r := &m.Heartbeat
	v := &jobstate.MachineStatus{Machine: name, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Incarnation: r.Incarnation, Seq: r.Seq,
		Revision: m.revision, FencingToken: r.FencingToken, Term: h.term, Notice: r.NoticeSeconds != nil}
	for _, t := range r.Tasks {
		job, index, ok := protocol.SplitTask(t.Task)
		if ok {
			v.Tasks = append(v.Tasks, jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: job, Index: index}, Attempt: t.Attempt, State: t.State, Why: t.Reason, Saved: t.Checkpointed})
		}
	}
	for ref, s := range m.starts {
		switch {
		case s.neverSent:
			v.Barred = append(v.Barred, ref)
		case !s.listed && !s.forgotten && s.order.Op == protocol.Start:
			v.Tasks = append(v.Tasks, jobstate.TaskStatus{TaskID: s.order.TaskID, Attempt: ref.Attempt, State: jobstate.Ordered})
		}
	}
	m.status = v
	return v
}
