// Package agents is a controller's part as the home of machines: the controller that a machine's agent sends its
// heartbeats to.
//
// It decides which heartbeat is newer than what is known, which of the owners' orders become commands, when a command
// is sent and what may still arrive of it (Registry, Agent); whether an agent is kept alive here because its home does
// not answer it (UnreachableHomes); and which machines are registered in the key-value store (Roster). It knows no
// quotas and places no task.
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

// Agent is what its home knows of one agent.
type Agent struct {
	Heartbeat   protocol.Heartbeat // the newest, from the agent itself or from its answer to a command
	HeartbeatAt time.Time          // when it came

	lastOwnSeq    uint64 // the greatest sequence number of this incarnation that the agent itself sent
	starts        map[jobstate.AttemptRef]*start
	queue         []protocol.Command
	sendNow       bool      // the queue is to be sent by a request, without waiting for the next heartbeat
	requestOpen   bool      // a request with commands is under way
	unresponsive  bool      // the last request failed: commands go in answers to heartbeats until one comes
	sendTime      time.Time // of what is sent next, as is sendWatermark
	sendWatermark time.Time // every cancellation confirmed before it is known here

	revision uint64
	status   *jobstate.MachineStatus // cached; nil: to be made anew
}

// start is what became of a start command in this term.
type start struct {
	order       jobstate.Order
	queued      bool   // waits here
	inRequest   bool   // a request with it is under way
	unanswered  bool   // a request with it was never answered: it may still arrive in this term
	inAnswer    bool   // sent in the answer to a heartbeat
	answeredSeq uint64 // that heartbeat: what became of the answer is known once the agent itself sent a later one
	listed      bool   // a heartbeat listed the attempt
	neverSent   bool   // refused or taken back: it will never be sent, and the owner is told so
	forgotten   bool   // a forget was queued: it is never to be sent again

	sentAt        time.Time // when it was first sent
	sentWatermark time.Time // every cancellation confirmed before was known here then
}

// Size tells what a task of a job takes: cores, GPUs and GB of memory.
type Size func(job string) (cpus, gpus, memory float64)

// Capacity tells what a machine of a type has: cores, GPUs and GB of memory. It is not ok for an unknown type.
type Capacity func(machineType string) (cpus, gpus, memory float64, ok bool)

// Registry holds the agents that have this controller as their home.
type Registry struct {
	term     uint64
	agents   map[string]*Agent
	changed  map[string]bool // machines whose status is to be sent to the peers
	capacity Capacity
	size     Size
}

// New returns a registry without agents.
func New(capacity Capacity, size Size) *Registry {
	return &Registry{agents: map[string]*Agent{}, changed: map[string]bool{}, capacity: capacity, size: size}
}

// SetTerm begins a later term and drops agents whose home is another controller. What was ordered under the earlier
// term is dropped: none of its starts will be sent any more.
func (g *Registry) SetTerm(term uint64, isHome func(machine string) bool) {
	if term <= g.term {
		return
	}
	g.term = term
	for name, a := range g.agents {
		if !isHome(name) {
			delete(g.agents, name)
			continue
		}
		a.dropCommands()
		a.invalidateStatus()
	}
}

// Get returns an agent, or nil if it has not sent a heartbeat here.
func (g *Registry) Get(machine string) *Agent { return g.agents[machine] }

// All returns the agents by machine. The caller must not change the map.
func (g *Registry) All() map[string]*Agent { return g.agents }

// Drop forgets an agent whose machine is gone or has another home.
func (g *Registry) Drop(machine string) { delete(g.agents, machine) }

// ApplyHeartbeat takes in a heartbeat that the agent itself sent. It says whether it is newer than what was known and
// whether anything in it changed. An agent keeps one heartbeat in flight at a time, so it executed the commands in the
// answer to the one before, or never will.
func (g *Registry) ApplyHeartbeat(h *protocol.Heartbeat, now time.Time) (newer, changed bool) {
	newer, changed = g.ApplyResponse(h, now)
	if a := g.agents[h.Machine]; a.Heartbeat.Incarnation == h.Incarnation {
		a.lastOwnSeq = max(a.lastOwnSeq, h.Seq)
	}
	return newer, changed
}

// ApplyResponse takes in the heartbeat in an agent's response to a request with commands. The answer to the agent's own
// last heartbeat may still be on its way to it.
func (g *Registry) ApplyResponse(h *protocol.Heartbeat, now time.Time) (newer, changed bool) {
	a := g.agents[h.Machine]
	if a == nil {
		a = &Agent{starts: map[jobstate.AttemptRef]*start{}}
		g.agents[h.Machine] = a
	} else if !isNewer(h, &a.Heartbeat) {
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
		a.invalidateStatus()
	}
	return true, changed
}

// isNewer says whether a heartbeat was sent after one that is known: by a later incarnation, or later in the same.
func isNewer(h, known *protocol.Heartbeat) bool {
	return h.Incarnation > known.Incarnation || (h.Incarnation == known.Incarnation && h.Seq > known.Seq)
}

// differs says whether a heartbeat says anything that owners are told of.
func differs(h, known *protocol.Heartbeat) bool {
	return h.Incarnation != known.Incarnation ||
		h.FencingToken != known.FencingToken ||
		(h.NoticeSeconds == nil) != (known.NoticeSeconds == nil) ||
		!slices.Equal(h.Tasks, known.Tasks)
}

// parseAttempt reads an attempt's name as an agent gave it; a malformed one matches nothing that was ever ordered.
func parseAttempt(task string, attempt uint64) jobstate.AttemptRef {
	job, index, ok := protocol.SplitTask(task)
	if !ok {
		return jobstate.AttemptRef{}
	}
	return jobstate.AttemptRef{TaskID: jobstate.TaskID{Job: job, Index: index}, Attempt: attempt}
}

// lists says whether the newest heartbeat lists an attempt.
func (a *Agent) lists(ref jobstate.AttemptRef) bool {
	return slices.ContainsFunc(a.Heartbeat.Tasks, func(t protocol.TaskStatus) bool {
		return parseAttempt(t.Task, t.Attempt) == ref
	})
}
