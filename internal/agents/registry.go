// Package agents implements a controller's role as the home of machines. The home of a machine is the controller to
// which the machine's agent sends its heartbeats.
//
// Registry and Agent decide which heartbeat is the newest, which orders of owners become commands, when a command is
// sent and whether it may still arrive. UnreachableHomes decides whether this controller renews the lease of an agent
// whose home does not answer it. Roster holds the machines that are registered in the state service. The package knows
// no quotas and places no tasks.
//
// It does no I/O and reads no clock: the time is passed in. Its types are not safe for concurrent use; the controller's
// lock guards them.
package agents

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// Agent is the state that a home keeps of one agent.
type Agent struct {
	Heartbeat   protocol.Heartbeat // the newest, sent by the agent itself or contained in its response to a request
	HeartbeatAt time.Time          // when it was received

	lastOwnSeq    uint64 // highest sequence number of this incarnation in a heartbeat that the agent itself sent
	starts        map[jobstate.AttemptRef]*start
	queue         []protocol.Command
	sendNow       bool      // send the queue by a request instead of waiting for the next heartbeat
	requestOpen   bool      // a request with commands is in progress
	unresponsive  bool      // the last request failed; until the next heartbeat, commands are sent only in answers
	sendTime      time.Time // recorded for the commands sent next, as is sendWatermark
	sendWatermark time.Time // every cancellation confirmed before this time is known here

	revision uint64
	status   *jobstate.MachineStatus // cached; nil if it must be rebuilt
}

// start is the state of a start order in this term.
type start struct {
	order       jobstate.Order
	queued      bool   // the command is in the queue
	inRequest   bool   // a request with it is in progress
	unanswered  bool   // a request with it was never answered, so it may still arrive in this term
	inAnswer    bool   // it was sent in the answer to a heartbeat
	answeredSeq uint64 // sequence number of that heartbeat; a later one from the agent itself settles the answer's outcome
	listed      bool   // a heartbeat listed the attempt
	neverSent   bool   // refused or canceled: it will never be sent, and the owner is informed

	sentAt        time.Time // when it was first sent
	sentWatermark time.Time // every cancellation confirmed before this time was known here then
}

// Size returns the resources that a task of a job uses: CPUs, GPUs and GB of memory.
type Size func(job string) (cpus, gpus, memory float64)

// Capacity returns the resources of a machine of a type: CPUs, GPUs and GB of memory. ok is false for an unknown type.
type Capacity func(machineType string) (cpus, gpus, memory float64, ok bool)

// Registry holds the agents whose home is this controller.
type Registry struct {
	term     uint64
	agents   map[string]*Agent
	retained map[string]int  // by machine: size of the list's exited attempts that must not be forgotten in this term
	changed  map[string]bool // machines whose status is to be sent to the peers
	capacity Capacity
	size     Size
}

// New returns a Registry without agents.
func New(capacity Capacity, size Size) *Registry {
	return &Registry{agents: map[string]*Agent{}, retained: map[string]int{}, changed: map[string]bool{}, capacity: capacity, size: size}
}

// SetTerm begins a later term. It drops the agents whose home is another controller and all orders of the earlier term,
// so that none of its starts is sent any more.
func (g *Registry) SetTerm(term uint64, isHome func(machine string) bool) {
	if term <= g.term {
		return
	}
	g.term = term
	for name, a := range g.agents {
		if !isHome(name) {
			g.Drop(name)
			continue
		}
		a.beginTerm()
		a.invalidateStatus()
		g.updateRetained(name, a)
	}
}

// Get returns an agent, or nil if it has not sent a heartbeat here.
func (g *Registry) Get(machine string) *Agent { return g.agents[machine] }

// All returns the agents by machine. The caller must not change the map.
func (g *Registry) All() map[string]*Agent { return g.agents }

// Drop removes an agent whose machine is gone or has another home.
func (g *Registry) Drop(machine string) {
	delete(g.agents, machine)
	delete(g.retained, machine)
}

// ApplyHeartbeat applies a heartbeat that the agent itself sent. It reports whether the heartbeat is newer than the
// last known one and whether its contents changed. An agent has at most one heartbeat in flight, so it has executed the
// commands in the answer to the previous one or never will.
func (g *Registry) ApplyHeartbeat(h *protocol.Heartbeat, now time.Time) (newer, changed bool) {
	newer, changed = g.ApplyResponse(h, now)
	if a := g.agents[h.Machine]; a.Heartbeat.Incarnation == h.Incarnation {
		a.lastOwnSeq = max(a.lastOwnSeq, h.Seq)
	}
	return newer, changed
}

// ApplyResponse applies the heartbeat in an agent's response to a request with commands. Unlike with ApplyHeartbeat,
// the answer to the agent's own last heartbeat may still be in transit.
func (g *Registry) ApplyResponse(h *protocol.Heartbeat, now time.Time) (newer, changed bool) {
	a := g.agents[h.Machine]
	if a == nil {
		a = &Agent{starts: map[jobstate.AttemptRef]*start{}}
		g.agents[h.Machine] = a
	} else if h.ID().Compare(a.Heartbeat.ID()) <= 0 {
		return false, false
	}
	changed = differs(h, &a.Heartbeat)
	if h.Incarnation != a.Heartbeat.Incarnation {
		a.dropCommands()
		a.lastOwnSeq = 0
	}
	a.Heartbeat, a.HeartbeatAt, a.unresponsive = *h, now, false
	for _, t := range h.Tasks {
		if s := a.starts[parseAttempt(t.Task, t.Attempt)]; s != nil {
			s.listed, s.queued = true, false
		}
	}
	if changed {
		g.updateRetained(h.Machine, a)
		a.invalidateStatus()
	}
	return true, changed
}

// differs reports whether two heartbeats differ in anything that is reported to owners.
func differs(h, known *protocol.Heartbeat) bool {
	return h.Incarnation != known.Incarnation ||
		h.FencingToken != known.FencingToken ||
		(h.NoticeSeconds == nil) != (known.NoticeSeconds == nil) ||
		!slices.Equal(h.Tasks, known.Tasks)
}

// parseAttempt parses the name of an attempt sent by an agent. For a malformed name it returns the zero value, which
// matches no attempt that was ever ordered.
func parseAttempt(task string, attempt uint64) jobstate.AttemptRef {
	job, index, ok := protocol.SplitTask(task)
	if !ok {
		return jobstate.AttemptRef{}
	}
	return jobstate.AttemptRef{TaskID: jobstate.TaskID{Job: job, Index: index}, Attempt: attempt}
}

// lists reports whether the newest heartbeat lists an attempt.
func (a *Agent) lists(ref jobstate.AttemptRef) bool {
	return slices.ContainsFunc(a.Heartbeat.Tasks, func(t protocol.TaskStatus) bool {
		return t.Attempt == ref.Attempt && parseAttempt(t.Task, t.Attempt) == ref
	})
}
