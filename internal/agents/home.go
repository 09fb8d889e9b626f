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
	order  jobstate.Order
	queued bool   // waits here
	open   bool   // a /do with it is under way
	stray  bool   // a /do with it was never answered: it may still arrive in this term
	answer bool   // sent in an answer to a report
	after  uint64 // that report: what became of the answer is known once the worker itself sent a later one
	listed bool
	barred bool // will never be sent
	forgot bool // a forget was queued: never to be sent again

	at    time.Time // when it was first sent
	known time.Time // every withdrawal confirmed before this was known here then
}

// Agent is a machine at its home.
type Agent struct {
	Report protocol.Heartbeat // the newest, from the worker itself or from its answer to a command
	Heard  time.Time          // when a report last came
	Busy   bool               // a /do is under way
	Deaf   bool               // the last /do failed: only report answers until it is heard again
	Now    time.Time          // set before commands are sent, as is Known
	Known  time.Time          // every withdrawal confirmed before it is known here

	reported uint64 // the greatest sequence number of this session that the worker itself sent
	starts   map[jobstate.AttemptRef]*start
	queue    []protocol.Command
	urgent   bool
	rev      uint64
	view     *jobstate.MachineStatus
}

// Size tells what a task of a job takes.
type Size func(job string) (cpus, gpus, memory float64)

// Registry holds the machines that report here.
type Registry struct {
	term     uint64
	machines map[string]*Agent
	capacity func(machineType string) (cpus, gpus, memory float64, ok bool)
	size     Size
}

// New is a home without machines.
func New(capacity func(string) (float64, float64, float64, bool), size Size) *Registry {
	return &Registry{machines: map[string]*Agent{}, capacity: capacity, size: size}
}

// SetTerm begins a later term: what was ordered under the earlier one is
// dropped, and no start of it will be sent any more.
func (h *Registry) SetTerm(term uint64, mine func(machine string) bool) {
	if term <= h.term {
		return
	}
	h.term = term
	for name, m := range h.machines {
		if !mine(name) {
			delete(h.machines, name)
			continue
		}
		m.starts = map[jobstate.AttemptRef]*start{}
		m.queue, m.urgent = nil, false
		m.changed()
	}
}

func (m *Agent) changed() {
	m.rev++
	m.view = nil
}

// Get finds a machine that reports here.
func (h *Registry) Get(name string) *Agent { return h.machines[name] }

// All lists the machines that report here.
func (h *Registry) All() map[string]*Agent { return h.machines }

// Drop forgets a machine that is gone or reports elsewhere.
func (h *Registry) Drop(name string) { delete(h.machines, name) }

// Heard takes in a report that the worker itself sent. It says whether it was newer than what was known and
// whether anything in it changed. A worker keeps one report in flight at a time, so it executed the commands in the
// answer to the report before, or never will.
func (h *Registry) Heard(r *protocol.Heartbeat, now time.Time) (newer, changed bool) {
	newer, changed = h.HeardAnswer(r, now)
	if m := h.machines[r.Machine]; m.Report.Incarnation == r.Incarnation {
		m.reported = max(m.reported, r.Seq)
	}
	return newer, changed
}

// HeardAnswer takes in the report in the answer to a direct command. The answer to the worker's own last report may
// still be on its way to it.
func (h *Registry) HeardAnswer(r *protocol.Heartbeat, now time.Time) (newer, changed bool) {
	m := h.machines[r.Machine]
	if m == nil {
		m = &Agent{starts: map[jobstate.AttemptRef]*start{}}
		h.machines[r.Machine] = m
	} else if r.Incarnation < m.Report.Incarnation || (r.Incarnation == m.Report.Incarnation && r.Seq <= m.Report.Seq) {
		return false, false
	}
	changed = r.Incarnation != m.Report.Incarnation || r.FencingToken != m.Report.FencingToken || (r.Notice == nil) != (m.Report.Notice == nil) ||
		!slices.Equal(r.Tasks, m.Report.Tasks)
	if r.Incarnation != m.Report.Incarnation {
		m.starts = map[jobstate.AttemptRef]*start{}
		m.queue, m.urgent, m.reported = nil, false, 0
	}
	m.Report = *r
	m.Heard = now
	m.Deaf = false
	for _, t := range r.Tasks {
		if s := m.starts[refOf(t.Task, t.Attempt)]; s != nil {
			s.listed, s.queued = true, false
		}
	}
	if changed {
		m.changed()
	}
	return true, changed
}

// settled says that no start command for the attempt can still arrive.
func (m *Agent) settled(s *start) bool {
	return !s.open && !s.stray && !m.inAnswer(s)
}

// inAnswer says that the answer with the start may still be on its way to the worker.
func (m *Agent) inAnswer(s *start) bool { return s.answer && m.reported <= s.after }

// Take accepts an owner's orders for a machine under a term. It reports whether
// commands should go out at once.
func (h *Registry) Take(term uint64, machine string, orders []jobstate.Order) bool {
	m := h.machines[machine]
	if m == nil || term != h.term {
		return false
	}
	for _, o := range orders {
		if o.Incarnation != m.Report.Incarnation || len(m.queue) >= maxQueued {
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
				if !h.fits(m, o) {
					s.barred = true
				}
			case s.barred || s.forgot || s.listed || s.queued || s.open || m.inAnswer(s):
				continue // repeated only when the last sending is decided; a stray one does no harm
			}
			if !s.barred {
				s.queued = true
				m.queue = append(m.queue, cmd)
				m.urgent = true
			}
			m.changed()
		case protocol.Stop:
			if !m.lists(o.Ref()) {
				if s == nil && jobstate.TermOf(o.Attempt) != h.term {
					continue // a home of its term may have sent its start: only a report under a later one proves it off
				}
				if s == nil || (!s.barred && !s.listed && m.settled(s)) {
					m.unqueue(protocol.Start, o.Ref())
					m.starts[o.Ref()] = &start{order: o, barred: true}
					m.changed()
				}
				continue
			}
			grace := o.Grace
			cmd.Grace = &grace
			if !m.queued(protocol.Stop, o.Ref()) {
				m.queue = append(m.queue, cmd)
				m.urgent = true
			}
		case protocol.Forget:
			if s != nil && !m.settled(s) {
				continue // an unanswered start would run the task again
			}
			if s == nil {
				s = &start{order: o}
				m.starts[o.Ref()] = s
			}
			s.forgot = true
			if m.lists(o.Ref()) && !m.queued(protocol.Forget, o.Ref()) {
				m.queue = append(m.queue, cmd)
			}
		}
	}
	return m.urgent
}

// fits says whether a start has room beside what is listed and ordered.
func (h *Registry) fits(m *Agent, o jobstate.Order) bool {
	cpus, gpus, memory, ok := h.capacity(m.Report.Type)
	if !ok {
		return false
	}
	use := func(c, g, r float64) { cpus, gpus, memory = cpus-c, gpus-g, memory-r }
	for _, t := range m.Report.Tasks {
		if t.State != protocol.Exited {
			job, _, _ := protocol.SplitTask(t.Task)
			use(h.size(job))
		}
	}
	for _, s := range m.starts {
		if !s.listed && !s.barred && !s.forgot && s.order.Op == protocol.Start {
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
func refOf(task string, attempt uint64) jobstate.AttemptRef {
	job, index, ok := protocol.SplitTask(task)
	if !ok {
		return jobstate.AttemptRef{}
	}
	return jobstate.AttemptRef{TaskID: jobstate.TaskID{Job: job, Index: index}, Attempt: attempt}
}

func (m *Agent) lists(ref jobstate.AttemptRef) bool {
	return slices.ContainsFunc(m.Report.Tasks, func(t protocol.TaskStatus) bool { return refOf(t.Task, t.Attempt) == ref })
}

// Ordered says whether an owner ordered a start here in this term, and when it was first sent; zero: not yet.
func (m *Agent) Ordered(ref jobstate.AttemptRef) (sent time.Time, ok bool) {
	s := m.starts[ref]
	if s == nil || s.order.Op != protocol.Start {
		return time.Time{}, false
	}
	return s.at, true
}

// Starts says whether a start waits to be sent.
func (m *Agent) Starts() bool {
	return slices.ContainsFunc(m.queue, func(c protocol.Command) bool { return c.Op == protocol.Start })
}

func (m *Agent) queued(op string, ref jobstate.AttemptRef) bool {
	return slices.ContainsFunc(m.queue, func(c protocol.Command) bool { return c.Op == op && refOf(c.Task, c.Attempt) == ref })
}

func (m *Agent) unqueue(op string, ref jobstate.AttemptRef) {
	m.queue = slices.DeleteFunc(m.queue, func(c protocol.Command) bool { return c.Op == op && refOf(c.Task, c.Attempt) == ref })
}

// Urgent says whether commands wait that should go out by /do now.
func (m *Agent) Urgent() bool { return m.urgent && !m.Busy && !m.Deaf && len(m.queue) > 0 }

// Send takes the queued commands for a /do.
func (m *Agent) Send() []protocol.Command {
	cmds := m.queue
	m.queue, m.urgent, m.Busy = nil, false, true
	for _, c := range cmds {
		if s := m.starts[refOf(c.Task, c.Attempt)]; c.Op == protocol.Start && s != nil {
			s.queued, s.open = false, true
			m.stamp(s)
		}
	}
	return cmds
}

// Sent books the outcome of a /do: answered (then its report is to be given to
// Heard first), or not, when its commands may still be executed if left is true.
func (m *Agent) Sent(cmds []protocol.Command, answered, left bool) {
	m.Busy = false
	m.Deaf = !answered
	for _, c := range cmds {
		if s := m.starts[refOf(c.Task, c.Attempt)]; c.Op == protocol.Start && s != nil {
			s.open = false
			s.stray = s.stray || (left && !answered)
		}
	}
	m.changed()
}

// Answer takes the queued commands for the answer to the newest report. Commands
// in an answer are executed before the worker's next report or never.
func (m *Agent) Answer() []protocol.Command {
	if m.Busy {
		return nil
	}
	cmds := m.queue
	m.queue, m.urgent = nil, false
	for _, c := range cmds {
		if s := m.starts[refOf(c.Task, c.Attempt)]; c.Op == protocol.Start && s != nil {
			s.queued, s.answer, s.after = false, true, m.Report.Seq
			m.stamp(s)
		}
	}
	return cmds
}

// stamp notes what was known when a start was first sent.
func (m *Agent) stamp(s *start) {
	if s.at.IsZero() {
		s.at, s.known = m.Now, m.Known
	}
}

// DropStarts takes the queued starts of jobs that are over back: their owner may not know yet.
func (m *Agent) DropStarts(over func(job string) bool) {
	m.queue = slices.DeleteFunc(m.queue, func(c protocol.Command) bool {
		ref := refOf(c.Task, c.Attempt)
		if c.Op != protocol.Start || !over(ref.Job) {
			return false
		}
		if s := m.starts[ref]; s != nil {
			s.queued = false
			s.barred = m.settled(s)
		}
		m.changed()
		return true
	})
}

// InFlight tells since when a start may be on its way whose job is over: the earliest moment up to which all
// withdrawals were known when such a start was sent. It is zero if there is none.
func (m *Agent) InFlight(over func(job string) bool) (known time.Time) {
	for ref, s := range m.starts {
		if s.listed || s.barred || s.at.IsZero() || m.settled(s) || !over(ref.Job) {
			continue
		}
		if known.IsZero() || s.known.Before(known) {
			known = s.known
		}
	}
	return known
}

// View is what owners are told of a machine.
func (h *Registry) View(name string) *jobstate.MachineStatus {
	m := h.machines[name]
	if m == nil {
		return nil
	}
	if m.view != nil {
		return m.view
	}
	r := &m.Report
	v := &jobstate.MachineStatus{Machine: name, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Incarnation: r.Incarnation, Seq: r.Seq,
		Revision: m.rev, FencingToken: r.FencingToken, Term: h.term, Notice: r.Notice != nil}
	for _, t := range r.Tasks {
		job, index, ok := protocol.SplitTask(t.Task)
		if ok {
			v.Tasks = append(v.Tasks, jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: job, Index: index}, Attempt: t.Attempt, State: t.State, Why: t.Why, Saved: t.Saved})
		}
	}
	for ref, s := range m.starts {
		switch {
		case s.barred:
			v.Barred = append(v.Barred, ref)
		case !s.listed && !s.forgot && s.order.Op == protocol.Start:
			v.Tasks = append(v.Tasks, jobstate.TaskStatus{TaskID: s.order.TaskID, Attempt: ref.Attempt, State: jobstate.Ordered})
		}
	}
	m.view = v
	return v
}
