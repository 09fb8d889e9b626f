package agents

import (
	"iter"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// maxQueued bounds the commands that wait for one agent. Owners repeat an order that found no place.
const maxQueued = 512

// sizeTolerance is by how much sizes may miss a capacity when they are added up.
const sizeTolerance = 1e-6

// QueueOrders makes commands of an owner's orders for a machine under a term. It says whether commands are to be sent
// at once. Orders of another term, or for another incarnation of the agent, are ignored.
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
			a.queueForget(o)
		}
	}
	return a.sendNow
}

// queueStart queues a start, unless it was sent and may still arrive, or has no room on the machine.
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

// maySendAgain says whether a start may be repeated: only when the outcome of its last sending is decided. One in a
// request that was never answered may arrive late, which does no harm.
func (a *Agent) maySendAgain(s *start) bool {
	return !s.neverSent && !s.forgotten && !s.listed && !s.queued && !s.inRequest && !a.inOpenAnswer(s)
}

// queueStop queues the stop of a listed attempt. A start that was surely not sent is taken back instead.
func (g *Registry) queueStop(a *Agent, o jobstate.Order) {
	if !a.lists(o.Ref()) {
		g.takeBackStart(a, o)
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

// takeBackStart notes that the start of an attempt will never be sent, if that is sure.
func (g *Registry) takeBackStart(a *Agent, o jobstate.Order) {
	s := a.starts[o.Ref()]
	if s == nil && jobstate.TermOf(o.Attempt) != g.term {
		return // a home of its term may have sent its start: only a heartbeat under a later term proves it off
	}
	if s == nil || (!s.neverSent && !s.listed && a.settled(s)) {
		a.removeQueued(protocol.Start, o.Ref())
		a.starts[o.Ref()] = &start{order: o, neverSent: true}
		a.invalidateStatus()
	}
}

// queueForget queues that an agent drops what it knows of an attempt, after which the attempt is never started again.
func (a *Agent) queueForget(o jobstate.Order) {
	s := a.starts[o.Ref()]
	if s != nil && !a.settled(s) {
		return // an unanswered start would run the task again
	}
	if s == nil {
		s = &start{order: o}
		a.starts[o.Ref()] = s
	}
	s.forgotten = true
	if a.lists(o.Ref()) && !a.isQueued(protocol.Forget, o.Ref()) {
		a.queue = append(a.queue, command(o))
	}
}

func command(o jobstate.Order) protocol.Command {
	return protocol.Command{Op: o.Op, Task: protocol.TaskName(o.Job, o.Index), Attempt: o.Attempt}
}

// hasRoomFor says whether a machine has room for all that is listed and ordered there, the newest start among it.
func (g *Registry) hasRoomFor(a *Agent) bool {
	cpus, gpus, memory, ok := g.capacity(a.Heartbeat.Type)
	if !ok {
		return false
	}
	use := func(c, g, m float64) { cpus, gpus, memory = cpus-c, gpus-g, memory-m }
	for _, t := range a.Heartbeat.Tasks {
		if t.State != protocol.Exited {
			job, _, _ := protocol.SplitTask(t.Task)
			use(g.size(job))
		}
	}
	for _, s := range a.starts {
		if !s.listed && !s.neverSent && !s.forgotten && s.order.Op == protocol.Start {
			use(s.order.CPUs, s.order.GPUs, s.order.MemoryGB)
		}
	}
	return cpus >= -sizeTolerance && gpus >= -sizeTolerance && memory >= -sizeTolerance
}

// settled says that no start command for the attempt can still arrive.
func (a *Agent) settled(s *start) bool {
	return !s.inRequest && !s.unanswered && !a.inOpenAnswer(s)
}

// inOpenAnswer says that the answer with the start may still be on its way to the agent.
func (a *Agent) inOpenAnswer(s *start) bool { return s.inAnswer && a.lastOwnSeq <= s.answeredSeq }

// StartOrdered says whether an owner ordered a start here in this term, and when it was first sent; zero: not yet.
func (a *Agent) StartOrdered(ref jobstate.AttemptRef) (sent time.Time, ok bool) {
	s := a.starts[ref]
	if s == nil || s.order.Op != protocol.Start {
		return time.Time{}, false
	}
	return s.sentAt, true
}

// HasQueuedStart says whether a start waits to be sent.
func (a *Agent) HasQueuedStart() bool {
	return slices.ContainsFunc(a.queue, func(c protocol.Command) bool { return c.Op == protocol.Start })
}

func (a *Agent) isQueued(op protocol.CommandOp, ref jobstate.AttemptRef) bool {
	return slices.ContainsFunc(a.queue, func(c protocol.Command) bool { return isCommand(c, op, ref) })
}

func (a *Agent) removeQueued(op protocol.CommandOp, ref jobstate.AttemptRef) {
	a.queue = slices.DeleteFunc(a.queue, func(c protocol.Command) bool { return isCommand(c, op, ref) })
}

func isCommand(c protocol.Command, op protocol.CommandOp, ref jobstate.AttemptRef) bool {
	return c.Op == op && parseAttempt(c.Task, c.Attempt) == ref
}

// dropCommands forgets all that was ordered, as in a new term or for a new incarnation of the agent.
func (a *Agent) dropCommands() {
	a.starts = map[jobstate.AttemptRef]*start{}
	a.queue, a.sendNow = nil, false
}

// ShouldSend says whether commands wait that are to be sent by a request now.
func (a *Agent) ShouldSend() bool {
	return a.sendNow && !a.requestOpen && !a.unresponsive && len(a.queue) > 0
}

// TakeForRequest takes the queued commands for a request. FinishRequest must be called with its outcome.
func (a *Agent) TakeForRequest() []protocol.Command {
	commands := a.queue
	a.queue, a.sendNow, a.requestOpen = nil, false, true
	for s := range a.startsIn(commands) {
		s.queued, s.inRequest = false, true
		a.recordSending(s)
	}
	return commands
}

// FinishRequest notes the outcome of a request: answered (ApplyResponse is called first then), or not answered, when its
// commands may still be executed if they left this machine.
func (a *Agent) FinishRequest(commands []protocol.Command, answered, left bool) {
	a.requestOpen = false
	a.unresponsive = !answered
	for s := range a.startsIn(commands) {
		s.inRequest = false
		s.unanswered = s.unanswered || (left && !answered)
	}
	a.invalidateStatus()
}

// TakeForAnswer takes the queued commands for the answer to the newest heartbeat. Commands in an answer are executed
// before the agent's next heartbeat or never. There are none while a request is under way.
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

// startsIn yields what is known of the starts among commands.
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

// recordSending notes when a start was first sent, and what was known then.
func (a *Agent) recordSending(s *start) {
	if s.sentAt.IsZero() {
		s.sentAt, s.sentWatermark = a.sendTime, a.sendWatermark
	}
}

// SetWatermark is called before commands are taken to be sent: a start that is sent then is known to have been sent at
// a time, by a controller that knew every cancellation confirmed before the watermark.
func (a *Agent) SetWatermark(now, watermark time.Time) { a.sendTime, a.sendWatermark = now, watermark }

// DropStarts takes back the queued starts of jobs that have ended: their owner may not know yet.
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

// InFlightWatermark bounds what may still arrive of jobs that have ended: it is the earliest cancellation watermark
// under which such a start was sent, or zero if there is none.
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
