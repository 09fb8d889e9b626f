package agents

import (
	"iter"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// maxQueued bounds the queued commands per agent. Orders beyond it are dropped; owners send them again.
const maxQueued = 512

// sizeTolerance is the tolerance for rounding errors when a sum of task sizes is compared with a capacity.
const sizeTolerance = 1e-6

// QueueOrders queues an owner's orders for a machine as commands and reports whether queued commands should be sent
// immediately. Orders of another term or for another incarnation of the agent are ignored.
func (g *Registry) QueueOrders(term uint64, machine string, orders []jobstate.Order) (sendNow bool) {
	a := g.agents[machine]
	if a == nil || term != g.term {
		return false
	}
	for _, o := range orders {
		if o.Incarnation != a.Heartbeat.Incarnation || len(a.queue) >= maxQueued {
			continue
		}
		switch o.Op {
		case protocol.Start:
			g.queueStart(a, o)
		case protocol.Stop:
			g.queueStop(a, o)
		case protocol.Forget:
			g.queueForget(a, o)
		}
	}
	return a.sendNow
}

// queueStart queues a start. A start that does not fit on the machine is refused for good; one that was sent and may
// still arrive is not queued again.
func (g *Registry) queueStart(a *Agent, o jobstate.Order) {
	s := a.starts[o.Ref()]
	if s == nil {
		s = &start{order: o}
		a.starts[o.Ref()] = s
		s.neverSent = !g.hasRoomFor(a)
	} else if !a.maySendAgain(s) {
		return
	}
	if !s.neverSent {
		s.queued = true
		a.queue = append(a.queue, command(o))
		a.sendNow = true
	}
	a.invalidateStatus()
}

// maySendAgain reports whether a start may be sent again: only after the outcome of its last transmission is known. An
// unanswered request does not prevent it, since a late duplicate is harmless.
func (a *Agent) maySendAgain(s *start) bool {
	return !s.neverSent && !s.listed && !s.queued && !s.inRequest && !a.inOpenAnswer(s)
}

// queueStop queues the stop of a listed attempt. If the attempt is not listed and its start was certainly not sent, the
// start is canceled instead.
func (g *Registry) queueStop(a *Agent, o jobstate.Order) {
	if !a.lists(o.Ref()) {
		g.cancelStart(a, o)
		return
	}
	if a.isQueued(protocol.Stop, o.Ref()) {
		return
	}
	c, grace := command(o), o.GraceSeconds
	c.GraceSeconds = &grace
	a.queue = append(a.queue, c)
	a.sendNow = true
}

// cancelStart records that the start of an attempt will never be sent, if that is certain.
func (g *Registry) cancelStart(a *Agent, o jobstate.Order) {
	s := a.starts[o.Ref()]
	if s == nil && jobstate.TermOf(o.Attempt) != g.term {
		return // the home of that term may have sent the start; only a heartbeat under a later term proves otherwise
	}
	if s == nil || (!s.neverSent && !s.listed && a.settled(s)) {
		a.removeQueued(protocol.Start, o.Ref())
		a.starts[o.Ref()] = &start{order: o, neverSent: true}
		a.invalidateStatus()
	}
}

// queueForget queues a command that makes an agent delete its record of an attempt. The order is ignored while a copy of
// the attempt's start could run the task again.
func (g *Registry) queueForget(a *Agent, o jobstate.Order) {
	if !jobstate.MayForget(o.Attempt, g.term) || !a.lists(o.Ref()) || a.isQueued(protocol.Forget, o.Ref()) {
		return
	}
	a.queue = append(a.queue, command(o))
}

// command converts an order to a command.
func command(o jobstate.Order) protocol.Command {
	return protocol.Command{Op: o.Op, Task: protocol.TaskName(o.Job, o.Index), Attempt: o.Attempt}
}

// hasRoomFor reports whether a machine, and its agent's heartbeat, have room for all listed tasks and ordered starts,
// including the newest start.
func (g *Registry) hasRoomFor(a *Agent) bool {
	cpus, gpus, memory, ok := g.capacity(a.Heartbeat.Type)
	if !ok {
		return false
	}
	use := func(c, g, m float64) { cpus, gpus, memory = cpus-c, gpus-g, memory-m }
	listedBytes := protocol.MaxListedBytes
	for _, t := range a.Heartbeat.Tasks {
		listedBytes -= protocol.ListedBytes(len(t.Task))
		if t.State != protocol.Exited {
			job, _, _ := protocol.SplitTask(t.Task)
			use(g.size(job))
		}
	}
	for _, s := range a.starts {
		if !s.listed && !s.neverSent && s.order.Op == protocol.Start {
			use(s.order.CPUs, s.order.GPUs, s.order.MemoryGB)
			listedBytes -= protocol.ListedBytes(protocol.TaskNameLength(s.order.Job, s.order.Index))
		}
	}
	return listedBytes >= 0 && cpus >= -sizeTolerance && gpus >= -sizeTolerance && memory >= -sizeTolerance
}

// settled reports whether the outcome of every transmission of the start is known. A copy of an answered start may still
// arrive, but has no effect: the agent lists the attempt until it is forgotten, or refused the request as it will the copy.
func (a *Agent) settled(s *start) bool {
	return !s.inRequest && !s.unanswered && !a.inOpenAnswer(s)
}

// inOpenAnswer reports whether the start was sent in an answer to a heartbeat and that answer may still be in transit.
func (a *Agent) inOpenAnswer(s *start) bool { return s.inAnswer && a.lastOwnSeq <= s.answeredSeq }

// StartOrdered reports whether an owner ordered the start of an attempt in this term, and when the start was first
// sent. The time is zero if it has not been sent.
func (a *Agent) StartOrdered(ref jobstate.AttemptRef) (sent time.Time, ok bool) {
	s := a.starts[ref]
	if s == nil || s.order.Op != protocol.Start {
		return time.Time{}, false
	}
	return s.sentAt, true
}

// HasQueuedStart reports whether any start is queued.
func (a *Agent) HasQueuedStart() bool {
	return slices.ContainsFunc(a.queue, func(c protocol.Command) bool { return c.Op == protocol.Start })
}

// isQueued reports whether a command for an attempt is queued.
func (a *Agent) isQueued(op protocol.CommandOp, ref jobstate.AttemptRef) bool {
	return slices.ContainsFunc(a.queue, func(c protocol.Command) bool { return isCommand(c, op, ref) })
}

// removeQueued removes a command for an attempt from the queue.
func (a *Agent) removeQueued(op protocol.CommandOp, ref jobstate.AttemptRef) {
	a.queue = slices.DeleteFunc(a.queue, func(c protocol.Command) bool { return isCommand(c, op, ref) })
}

// isCommand reports whether c is the command op for an attempt.
func isCommand(c protocol.Command, op protocol.CommandOp, ref jobstate.AttemptRef) bool {
	return c.Op == op && c.Attempt == ref.Attempt && parseAttempt(c.Task, c.Attempt) == ref
}

// dropCommands drops all orders and queued commands, as for a new incarnation of the agent.
func (a *Agent) dropCommands() {
	a.starts = map[jobstate.AttemptRef]*start{}
	a.queue, a.sendNow = nil, false
}

// beginTerm drops all orders and queued commands of the earlier term. Starts that were not sent are recorded as never sent,
// so that their owners place the tasks again without waiting for the agent.
func (a *Agent) beginTerm() {
	earlier := a.starts
	a.dropCommands()
	for ref, s := range earlier {
		if s.queued && s.sentAt.IsZero() {
			a.starts[ref] = &start{order: s.order, neverSent: true}
		}
	}
}

// ShouldSend reports whether queued commands should be sent by a request now.
func (a *Agent) ShouldSend() bool {
	return a.sendNow && !a.requestOpen && !a.unresponsive && len(a.queue) > 0
}

// TakeForRequest removes and returns the queued commands, to be sent by a request. The caller must call FinishRequest
// with the outcome.
func (a *Agent) TakeForRequest() []protocol.Command {
	commands := a.queue
	a.queue, a.sendNow, a.requestOpen = nil, false, true
	for s := range a.startsIn(commands) {
		s.queued, s.inRequest = false, true
		a.recordSending(s)
	}
	return commands
}

// FinishRequest records the outcome of a request. If it was answered, ApplyResponse must be called first. left reports
// whether the request may have been sent; if so and it was not answered, its commands may still be executed.
func (a *Agent) FinishRequest(commands []protocol.Command, answered, left bool) {
	a.requestOpen = false
	a.unresponsive = !answered
	for s := range a.startsIn(commands) {
		s.inRequest = false
		s.unanswered = s.unanswered || (left && !answered)
	}
	a.invalidateStatus()
}

// TakeForAnswer removes and returns the queued commands, to be sent in the answer to the newest heartbeat. The agent
// executes them before its next heartbeat or never. It returns none while a request is in progress.
func (a *Agent) TakeForAnswer() []protocol.Command {
	if a.requestOpen {
		return nil
	}
	commands := a.queue
	a.queue, a.sendNow = nil, false
	for s := range a.startsIn(commands) {
		s.queued, s.inAnswer, s.answeredSeq = false, true, a.Heartbeat.Seq
		a.recordSending(s)
	}
	return commands
}

// startsIn yields the records of the start commands among commands.
func (a *Agent) startsIn(commands []protocol.Command) iter.Seq[*start] {
	return func(yield func(*start) bool) {
		for _, c := range commands {
			s := a.starts[parseAttempt(c.Task, c.Attempt)]
			if c.Op == protocol.Start && s != nil && !yield(s) {
				return
			}
		}
	}
}

// recordSending records when a start was first sent, and the cancellation watermark at that time.
func (a *Agent) recordSending(s *start) {
	if s.sentAt.IsZero() {
		s.sentAt, s.sentWatermark = a.sendTime, a.sendWatermark
	}
}

// SetWatermark must be called before commands are taken for sending. Starts taken next are recorded as sent at now by a
// controller that knew every cancellation confirmed before watermark.
func (a *Agent) SetWatermark(now, watermark time.Time) { a.sendTime, a.sendWatermark = now, watermark }

// DropStarts cancels the queued starts of jobs that have ended, which their owner may not know yet.
func (a *Agent) DropStarts(ended func(job string) bool) {
	a.queue = slices.DeleteFunc(a.queue, func(c protocol.Command) bool {
		ref := parseAttempt(c.Task, c.Attempt)
		if c.Op != protocol.Start || !ended(ref.Job) {
			return false
		}
		if s := a.starts[ref]; s != nil {
			s.queued = false
			s.neverSent = a.settled(s)
		}
		a.invalidateStatus()
		return true
	})
}

// InFlightWatermark returns the earliest cancellation watermark under which a start of an ended job was sent that may
// still arrive, or zero if there is no such start.
func (a *Agent) InFlightWatermark(ended func(job string) bool) (watermark time.Time) {
	for ref, s := range a.starts {
		if s.listed || s.neverSent || s.sentAt.IsZero() || a.settled(s) || !ended(ref.Job) {
			continue
		}
		if watermark.IsZero() || s.sentWatermark.Before(watermark) {
			watermark = s.sentWatermark
		}
	}
	return watermark
}
