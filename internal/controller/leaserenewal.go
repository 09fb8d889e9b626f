package controller

import (
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leasegrant"
	"topazhollow/internal/protocol"
)

// Every answer that may renew an agent's lease is decided here, whether this controller is entitled or not; the rules
// are in internal/leasegrant.

// leaseGrant reports whether the answer to a heartbeat may renew the agent's lease, and returns the stop commands that
// the answer must then contain.
func (n *Node) leaseGrant(r *protocol.Heartbeat, now time.Time) (stops []protocol.Command, ok bool) {
	home := n.agents.Get(r.Machine)
	role := leasegrant.ControllerRole{
		IsHome:        n.homeOf(r.Machine) == n.name && n.leadership.IsMember(),
		LeaseValid:    n.leadership.HoldsLease(now) && n.entitled(now),
		HomeWatermark: n.machine(r.Machine).HomeWatermark,
	}
	if home != nil {
		role.InFlightWatermark = home.InFlightWatermark(n.jobEnded)
	}
	grant := leasegrant.Decide(r, now, role, &leaseKnowledge{n, home})
	if grant.Unknown != nil {
		n.lookUpEnd(grant.Unknown.Job, grant.Unknown.Attempt)
	}
	return grant.Stops, grant.Renewed
}

// leaseKnowledge implements leasegrant's view of the controller.
type leaseKnowledge struct {
	n    *Node
	home *agents.Agent // nil: no heartbeat of the agent was received while this controller was its home
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

// StartOrdered reports whether the owner's order to start an attempt can be relied on. It can until the state service
// was read after the order: a job that is unknown after that read has ended, since it was accepted before the order.
func (k *leaseKnowledge) StartOrdered(attempt jobstate.AttemptRef) bool {
	if k.home == nil {
		return false
	}
	sent, ok := k.home.StartOrdered(attempt)
	return ok && (sent.IsZero() || !k.n.cancelWatermark.LastRead().After(sent))
}

// MayBeLost reports whether the job of an attempt may be one that the state service lost: the attempt was started
// before the current epoch began.
func (k *leaseKnowledge) MayBeLost(attempt uint64) bool {
	return k.n.leadership.Epoch() > 1 && jobstate.TermOf(attempt) < k.n.leadership.Record().FirstTerm
}

func (k *leaseKnowledge) MayRenew(now, bound time.Time) bool {
	return k.n.cancelWatermark.MayRenew(now, bound)
}

// jobEnded reports whether a job is known to be cancelled or done.
func (n *Node) jobEnded(uid string) bool {
	j := n.jobs[uid]
	return j != nil && !j.active || n.hasEnded(uid)
}

// prepareCommands is called before an agent's queued commands are sent. It drops starts of jobs that are known to have
// ended, which the owner may not know yet, and stores the current cancellation watermark for the remaining ones.
func (n *Node) prepareCommands(m *agents.Agent, now time.Time) {
	m.DropStarts(n.jobEnded)
	m.SetWatermark(now, n.cancelWatermark.KnownUntil(now))
}

// onHomeWatermarks updates the watermarks of a home controller's agents from its status. A start that the home sends
// from now on is sent after the last heartbeat that it received from the agent; one still in flight was sent under the
// watermark named in the status. The status may have been delayed, so its ages are counted from the status of this
// process that it acknowledges.
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

// ownStatusIn returns the latest status of this process that a peer had received when it sent its own, and when that
// status was sent.
func (n *Node) ownStatusIn(s *statusMsg, now time.Time) (received receivedStatus, sent time.Time, ok bool) {
	received, ok = s.Received[n.name]
	if !ok || received.Incarnation != n.incarnation || !n.hasSentStatus(received.SentAt, now) {
		return received, time.Time{}, false
	}
	return received, n.startedAt.Add(time.Duration(received.SentAt) * time.Millisecond), true
}

// hasSentStatus reports whether this process can have sent a status at the given time, which a peer names in
// milliseconds since this process started.
func (n *Node) hasSentStatus(at int64, now time.Time) bool {
	return at > 0 && at <= now.Sub(n.startedAt).Milliseconds()
}
