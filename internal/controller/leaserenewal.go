package controller

import (
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leasegrant"
	"topazhollow/internal/protocol"
)

// Every answer that renews an agent's lease passes here, of an entitled controller or not; internal/leasegrant decides.

// leaseGrant says whether the answer to a heartbeat may renew the agent's lease, and what it must stop then.
func (n *Node) leaseGrant(r *protocol.Heartbeat, now time.Time) (stops []protocol.Command, ok bool) {
	home := n.agents.Get(r.Machine)
	standing := leasegrant.ControllerRole{
		IsHome:        n.homeOf(r.Machine) == n.name && n.leadership.IsMember(),
		LeaseValid:    n.leadership.HoldsLease(now) && n.entitled(now),
		HomeWatermark: n.machine(r.Machine).HomeWatermark,
	}
	if home != nil {
		standing.InFlightWatermark = home.InFlightWatermark(n.jobEnded)
	}
	grant := leasegrant.Decide(r, now, standing, &leaseKnowledge{n, home})
	if grant.Unknown != nil {
		n.lookUpEnd(grant.Unknown.Job, grant.Unknown.Attempt)
	}
	return grant.Stops, grant.Renewed
}

// leaseKnowledge is the controller as leasegrant sees it.
type leaseKnowledge struct {
	n    *Node
	home *agents.Agent // nil: no heartbeat of it came here while this was its home
}

func (k *leaseKnowledge) JobState(uid string) leasegrant.JobState {
	switch {
	case k.n.jobEnded(uid):
		return leasegrant.Ended
	case k.n.jobs[uid] != nil:
		return leasegrant.Active
	}
	return leasegrant.Unknown
}

// StartOrdered trusts an owner's order until the key-value store was read after it: a job that is not known then has
// ended, since it was accepted before.
func (k *leaseKnowledge) StartOrdered(attempt jobstate.AttemptRef) bool {
	if k.home == nil {
		return false
	}
	sent, ok := k.home.StartOrdered(attempt)
	return ok && (sent.IsZero() || !k.n.cancelWatermark.LastRead().After(sent))
}

func (k *leaseKnowledge) MayBeLost(attempt uint64) bool {
	return k.n.leadership.Epoch() > 1 && jobstate.TermOf(attempt) < k.n.leadership.Record().FirstTerm
}

func (k *leaseKnowledge) MayRenew(now, bound time.Time) bool {
	return k.n.cancelWatermark.MayRenew(now, bound)
}

// jobEnded says whether a job is known to be cancelled or done.
func (n *Node) jobEnded(uid string) bool {
	j := n.jobs[uid]
	return j != nil && !j.active || n.hasEnded(uid)
}

// prepareCommands is called before an agent's commands are taken to be sent: no start of a job that has ended goes out,
// whose owner may not know it yet, and the watermark is noted with the others.
func (n *Node) prepareCommands(m *agents.Agent, now time.Time) {
	m.DropStarts(n.jobEnded)
	m.SetWatermark(now, n.cancelWatermark.KnownUntil(now))
}

// onHomeWatermarks takes in what a home says of its agents: a start that it sends from now on is sent after it last had
// a heartbeat of the agent, and one that may still arrive was sent under the watermark that it says. The status may
// have been held up, so its ages count from this process's own status that it names.
func (n *Node) onHomeWatermarks(name string, s *statusMsg, now time.Time) {
	_, sent, ok := n.ownStatusIn(s, now)
	if !ok || n.leadership.Record() == nil {
		return
	}
	for machine, age := range s.HeartbeatAges {
		m := n.machines[machine]
		if m == nil || m.gone || n.homeOf(machine) != name {
			continue
		}
		if inFlight, ok := s.InFlightAges[machine]; ok {
			age = max(age, inFlight)
		}
		m.HomeWatermark = sent.Add(-time.Duration(age) * time.Millisecond)
	}
}

// ownStatusIn returns which status of this process a peer had received when it sent its own, and when that was sent.
func (n *Node) ownStatusIn(s *statusMsg, now time.Time) (received receivedStatus, sent time.Time, ok bool) {
	received, ok = s.Received[n.name]
	if !ok || received.Incarnation != n.incarnation || !n.hasSentStatus(received.SentAt, now) {
		return received, time.Time{}, false
	}
	return received, n.startedAt.Add(time.Duration(received.SentAt) * time.Millisecond), true
}

// hasSentStatus says whether a status of this process can have been sent by now, at a time that a peer names: milliseconds
// since this process started.
func (n *Node) hasSentStatus(at int64, now time.Time) bool {
	return at > 0 && at <= now.Sub(n.startedAt).Milliseconds()
}
