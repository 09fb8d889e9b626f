package controller

import (
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leasegrant"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Every answer that renews a worker's lease passes here, entitled or not; internal/leasegrant decides.

// renewal decides about the answer to a report: whether it may renew the machine's lease, and
// what it must stop with it.
func (n *Node) leaseGrant(r *protocol.Heartbeat, now time.Time) (stops []protocol.Command, ok bool) {
	home := n.agents.Get(r.Machine)
	position := leasegrant.Standing{
		IsHome:        n.homeOf(r.Machine) == n.name && n.leadership.IsMember(),
		LeaseValid:    n.leadership.HoldsLease(now) && n.entitled(now),
		HomeWatermark: n.machine(r.Machine).HomeWatermark,
	}
	if home != nil {
		position.InFlightWatermark = home.InFlightWatermark(n.jobEnded)
	}
	grant := leasegrant.Decide(r, now, position, &leaseKnowledge{n, home})
	if grant.Unknown != nil {
		n.lookUpEnd(grant.Unknown.Job, grant.Unknown.Attempt)
	}
	return grant.Stops, grant.Renewed
}

// leaseKnowledge is the controller as leasegrant sees it.
type leaseKnowledge struct {
	n    *Node
	home *agents.Agent // as its home knows the machine; nil: it never reported here
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

// Ordered trusts an owner's order until the state service was read after it: a job that is not known then is over,
// since it was accepted before.
func (k *leaseKnowledge) StartOrdered(attempt jobstate.AttemptRef) bool {
	if k.home == nil {
		return false
	}
	sent, ok := k.home.StartOrdered(attempt)
	return ok && (sent.IsZero() || !k.n.cancelWatermark.LastRead().After(sent))
}

func (k *leaseKnowledge) MayBeLost(attempt uint64) bool {
	return k.n.epoch() > 1 && jobstate.TermOf(attempt) < k.n.leadership.Record().FirstTerm
}

func (k *leaseKnowledge) MayRenew(now, since time.Time) bool {
	return k.n.cancelWatermark.MayRenew(now, since)
}

// over says whether a job is known to be withdrawn or done.
func (n *Node) jobEnded(uid string) bool {
	j := n.jobs[uid]
	return j != nil && !j.active || n.hasEnded(uid)
}

// readyToSend prepares a home's commands for a machine: no start of a job that is over goes out, whose owner may not
// know it yet, and what is known by now is noted with the others.
func (n *Node) prepareCommands(m *agents.Agent, now time.Time) {
	m.DropStarts(n.jobEnded)
	m.SetWatermark(now, n.cancelWatermark.KnownUntil(now))
}

// confirming tells the peers of a withdrawal before a user is told of it for the first time here.
func (n *Node) announceCancellation(uid string, end userapi.JobEnd) {
	m := replicateFactMsg{Ends: []jobEnd{{uid, end}}}
	if n.numberCancellation(&m); m.From == 0 {
		return
	}
	n.broadcast(kindReplicateFact, m)
}

// number gives the withdrawal that a line tells of its number.
func (n *Node) numberCancellation(m *replicateFactMsg) {
	if len(m.Ends) == 1 && m.Ends[0].State == protocol.Cancelled {
		m.From = n.cancelWatermark.RecordCancellation(m.Ends[0].UID)
	}
}

// retellMost is how many withdrawals one line tells again.
const maxResentCancellations = 500

// retell tells a peer again what it may not have of the withdrawals confirmed here, as after a lost connection.
func (n *Node) resendCancellations(name string, now time.Time) {
	from, uids := n.cancelWatermark.TakeUnacknowledged(name, now, maxResentCancellations)
	if len(uids) == 0 {
		return
	}
	m := replicateFactMsg{From: from}
	for _, uid := range uids {
		end, _ := n.front.KnownEnd(uid) // ends are never forgotten
		m.Ends = append(m.Ends, jobEnd{uid, end})
	}
	n.links.Send(name, kindReplicateFact, m)
}

// onHorizon takes in what a status says of withdrawals.
func (n *Node) onPeerCancellations(name string, s *statusMsg, now time.Time) {
	e, heard := s.Received[n.name]
	if !heard || e.Incarnation != n.incarnation || s.Cancellations == nil || !n.sentBy(e.SentAt, now) {
		return
	}
	n.cancelWatermark.RecordConfirmedBy(name, *s.Cancellations, n.startedAt.Add(time.Duration(e.SentAt)*time.Millisecond))
	if e.Cancellations != nil {
		n.cancelWatermark.RecordAcknowledgedBy(name, *e.Cancellations)
	}
	n.resendCancellations(name, now)
}

// onHomeWord takes in what a home says of its machines: a start that it sends from now on is sent after it last heard the
// machine, and one that may still arrive was sent knowing what it says. The status may have been held up, so its
// ages count from this process's own status that it names.
func (n *Node) onHomeWatermarks(name string, s *statusMsg, now time.Time) {
	e, heard := s.Received[n.name]
	if !heard || e.Incarnation != n.incarnation || !n.sentBy(e.SentAt, now) || n.leadership.Record() == nil {
		return
	}
	sent := n.startedAt.Add(time.Duration(e.SentAt) * time.Millisecond)
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

// sentBy says whether a status of this process that a peer names can have been sent by now.
func (n *Node) sentBy(at int64, now time.Time) bool {
	return at > 0 && at <= now.Sub(n.startedAt).Milliseconds()
}

// readAfter is how old the last read of the state service may be before another one is made, if nobody asks for one.
const maxReadAge = 3 * time.Second

// readOn keeps the horizon moving while the state service answers: a watch alone may wait for ten seconds, and
// hangs where the service refuses this controller.
func (n *Node) requestStaleRead(now time.Time) {
	if now.Sub(n.cancelWatermark.LastRead()) < maxReadAge {
		return
	}
	select {
	case n.syncRequests <- struct{}{}:
	default:
	}
}
