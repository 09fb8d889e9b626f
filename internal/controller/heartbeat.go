package controller

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
)

// Processing of agents' heartbeats. internal/leasegrant decides whether the agent's lease may be renewed (see
// leaserenewal.go), agents.UnreachableHomes whether an agent with another home is kept alive here.

// handleHeartbeat decodes and checks the body of a heartbeat request, and answers it.
func (n *Node) handleHeartbeat(body []byte) httpx.Answer {
	var h protocol.Heartbeat
	if err := protocol.Decode(body, &h); err != nil {
		return httpx.Refuse(400, "body is not a report")
	}
	if err := protocol.CheckHeartbeat(&h); err != nil {
		return httpx.Refuse(400, err.Error())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.encodeAnswer(n.answerHeartbeat(&h, time.Now()))
}

// retryAfterSeconds is the pause after which an agent whose lease was not renewed should try again.
const retryAfterSeconds = 1

// encodeAnswer encodes the decision about a heartbeat as an HTTP answer.
func (n *Node) encodeAnswer(a agents.Answer) httpx.Answer {
	switch a.Outcome {
	case agents.Redirected:
		return httpx.Answer{Status: 421, Body: protocol.Encode(protocol.Redirect{Controller: a.RedirectTo})}
	case agents.KeptAlive, agents.Renewed:
		answer := protocol.HeartbeatAnswer{FencingToken: n.leadership.Term(), Commands: a.Commands}
		return httpx.Answer{Status: 200, Body: protocol.Encode(answer)}
	}
	refused := httpx.Refuse(503, "not entitled now")
	refused.RetryAfterSeconds = retryAfterSeconds
	return refused
}

// answerHeartbeat applies a heartbeat that arrived now, and decides how to answer it.
func (n *Node) answerHeartbeat(h *protocol.Heartbeat, now time.Time) agents.Answer {
	n.recovery.detection.observeFencingToken(h.FencingToken)
	if !n.entitled(now) {
		return n.answerUnentitled(h, now)
	}
	if h.FencingToken > n.leadership.Term() {
		n.requestRecordRead() // there is a membership record with a higher term
		return agents.Answer{Outcome: agents.NotEntitled}
	}
	if home := n.homeOf(h.Machine); home != n.name {
		return n.answerMisdirected(h, home, now)
	}
	if n.machine(h.Machine).gone {
		return agents.Answer{Outcome: agents.NotEntitled}
	}
	return n.answerAsHome(h, now)
}

// answerAsHome applies a heartbeat of an agent whose home this controller is, and answers with the commands to execute.
func (n *Node) answerAsHome(h *protocol.Heartbeat, now time.Time) agents.Answer {
	n.logMilestone("first heartbeat answered", now)
	n.applyHeartbeat(h, now)
	defer n.sendChangedStatuses()
	commands, ok := n.leaseGrant(h, now)
	if !ok {
		return agents.Answer{Outcome: agents.NotEntitled}
	}
	agent := n.agents.Get(h.Machine)
	if agent.Heartbeat.ID() == h.ID() { // not a late, older one
		n.prepareCommands(agent, now)
		commands = append(commands, agent.TakeForAnswer()...)
		n.logCommands("answer", h.Machine, h.Incarnation, commands)
		n.publishStatus(h.Machine)
	}
	return agents.Answer{Outcome: agents.Renewed, Commands: commands}
}

// answerMisdirected answers an agent whose home is another controller: it redirects the agent there, or renews its
// lease in place of an unreachable home.
func (n *Node) answerMisdirected(h *protocol.Heartbeat, home string, now time.Time) agents.Answer {
	n.machine(h.Machine).MisdirectedAt = now
	n.unreachableHomes.RecordMisdirected(h.Machine)
	if n.routeMisdirected(home, h.Machine, now) == agents.RedirectHome {
		return agents.Answer{Outcome: agents.Redirected, RedirectTo: home}
	}
	if stops, ok := n.leaseGrant(h, now); ok {
		return agents.Answer{Outcome: agents.KeptAlive, Commands: stops}
	}
	return agents.Answer{Outcome: agents.NotEntitled}
}

// answerUnentitled answers an agent while this controller may not act. It redirects the agent to an entitled controller
// if one is reachable, and otherwise keeps the agent alive if mayKeepAlive allows it.
func (n *Node) answerUnentitled(h *protocol.Heartbeat, now time.Time) agents.Answer {
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if p := n.peers[name]; p.entitled && p.isReachable(now) {
			return agents.Answer{Outcome: agents.Redirected, RedirectTo: name}
		}
	}
	if n.mayKeepAlive(h, now) {
		return agents.Answer{Outcome: agents.KeptAlive, Commands: []protocol.Command{}} // no task to stop
	}
	return agents.Answer{Outcome: agents.NotEntitled}
}

// mayKeepAlive returns whether a controller that is not entitled may keep an agent alive, as in a zone that is cut off.
// That is safe because owners take no agent's silence as proof that its tasks have ended. As the answer carries no
// commands, every task that the agent lists must belong to a job that is active as far as known here.
func (n *Node) mayKeepAlive(h *protocol.Heartbeat, now time.Time) bool {
	if n.leadership.Record() == nil || h.FencingToken > n.leadership.Term() || n.machine(h.Machine).gone {
		return false
	}
	for _, t := range h.Tasks {
		uid, _, _ := protocol.SplitTask(t.Task)
		if j := n.jobs[uid]; t.State != protocol.Exited && (j == nil || !j.active) {
			return false
		}
	}
	_, ok := n.leaseGrant(h, now)
	return ok
}

// applyHeartbeat applies a heartbeat request of an agent.
func (n *Node) applyHeartbeat(h *protocol.Heartbeat, now time.Time) {
	if newer, changed := n.agents.ApplyHeartbeat(h, now); newer {
		n.recordHeartbeat(h, changed, now)
	}
}

// applyResponse applies the heartbeat in an agent's response to commands, unless the agent knows a later term: its home
// of that term reports its status, which would count as outdated where one made from this response came first.
func (n *Node) applyResponse(h *protocol.Heartbeat, now time.Time) {
	if h.FencingToken > n.leadership.Term() {
		n.requestRecordRead()
		return
	}
	if newer, changed := n.agents.ApplyResponse(h, now); newer {
		n.recordHeartbeat(h, changed, now)
	}
}

// recordHeartbeat records that an agent has reached its home, registers its machine if needed, and publishes the status
// if it changed.
func (n *Node) recordHeartbeat(h *protocol.Heartbeat, changed bool, now time.Time) {
	m := n.machine(h.Machine)
	m.RecordHeartbeat(now)
	if !n.roster.Has(h.Machine) {
		n.registration.Want(h.Machine)
		n.recovery.detection.checkUnregistered(h, m, now)
	}
	if changed || m.status == nil {
		n.publishStatus(h.Machine)
	}
}
