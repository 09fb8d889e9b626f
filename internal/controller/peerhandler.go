package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/peer"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// peerHandler handles the connections and messages of the controller's peers; it implements peer.Handler.
type peerHandler struct{ node *Node }

var _ peer.Handler = peerHandler{}

// PeerUp records a new connection to a peer, which must be sent all replicas and machine statuses and the retained
// state again.
func (h peerHandler) PeerUp(name string) {
	n := h.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[name].connected = true
	n.peers[name].halfOpen.Connected(time.Now())
	n.shards.ForgetReplica(name)
	for machine := range n.agents.All() {
		n.agents.MarkChanged(machine)
	}
	if n.leadership.Record() != nil {
		n.recovery.gathering.sendRetainedState(false, name)
	}
	n.requestStatus() // a starting peer waits for this controller's status
	n.wake()
}

// PeerDown records that the connection to a peer was lost.
func (h peerHandler) PeerDown(name string) {
	n := h.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[name].connected = false
	n.shards.ForgetReplica(name)
}

// PeerMessage passes a message to the handler of its kind, and ignores messages of unknown kinds.
func (h peerHandler) PeerMessage(name string, incarnation uint64, kind string, body []byte) {
	n := h.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	p := n.peers[name]
	p.recordMessage(incarnation, now)
	n.cancelWatermark.RecordIncarnation(name, incarnation, now)
	handle, known := messageHandlers[kind]
	if !known {
		return
	}
	if err := handle(n, &sender{name: name, incarnation: incarnation, state: p}, body, now); err != nil {
		n.log.Error("unreadable line", "peer", name, "kind", kind, "err", err)
	}
}

// sender identifies the peer process that sent a message.
type sender struct {
	name        string
	incarnation uint64
	state       *peerState
}

// messageHandler decodes and processes the body of a message. It returns an error if the body cannot be decoded.
type messageHandler func(n *Node, from *sender, body []byte, now time.Time) error

// messageHandlers maps the kinds of messages to their handlers, which are called with n.mu held.
var messageHandlers = map[string]messageHandler{
	kindStatus:          typed((*Node).onStatus),
	kindMachineStatuses: typed((*Node).onMachineStatuses),
	kindOrders:          typed((*Node).onOrders),
	kindRecord: typed(func(n *Node, _ *sender, m *recordMsg, _ time.Time) {
		n.onRecord(m)
	}),
	kindTeamConfig: typed(func(n *Node, _ *sender, m *configMsg, now time.Time) {
		n.onConfigChanges(m, now)
	}),
	kindEvict: typed(func(n *Node, _ *sender, m *evictMsg, _ time.Time) {
		n.onEvict(m)
	}),
	shards.KindProbe: typed(func(n *Node, _ *sender, m *shards.ProbeRequest, now time.Time) {
		n.onProbe(m.Addrs, now)
	}),
	shards.KindCopy: typed(func(n *Node, from *sender, m *shards.Copy, _ time.Time) {
		n.onCopy(from.name, from.incarnation, m)
	}),
	shards.KindCopyPart: typed(func(n *Node, from *sender, m *shards.CopyPart, _ time.Time) {
		n.onCopyPart(from.name, from.incarnation, m)
	}),
	shards.KindDeltas: typed(func(n *Node, from *sender, m *shards.Deltas, _ time.Time) {
		n.onDeltas(from.name, from.incarnation, m)
	}),
	shards.KindAcknowledgement: typed(func(n *Node, from *sender, m *shards.Acknowledgement, _ time.Time) {
		n.onAcknowledgement(from.name, from.incarnation, m)
	}),
	kindRetainedState: typed(func(n *Node, from *sender, m *retainedStateMsg, _ time.Time) {
		n.recovery.gathering.onRetainedState(from.name, m)
	}),
	kindMissingEnds: typed(func(n *Node, from *sender, m *missingEndsMsg, _ time.Time) {
		n.recovery.gathering.onMissingEnds(from.name, m)
	}),
	kindReplicateFact: typed(func(n *Node, from *sender, m *replicateFactMsg, _ time.Time) {
		n.recovery.facts.onReplicateFact(from.name, m)
	}),
	kindFactReplicated: typed(func(n *Node, _ *sender, m *factReplicatedMsg, _ time.Time) {
		n.recovery.facts.confirm(m.ID)
	}),
}

// typed returns a handler that decodes bodies of type M and passes them to handle.
func typed[M any](handle func(n *Node, from *sender, m *M, now time.Time)) messageHandler {
	return func(n *Node, from *sender, body []byte, now time.Time) error {
		var m M
		if err := protocol.Decode(body, &m); err != nil {
			return err
		}
		handle(n, from, &m, now)
		return nil
	}
}

// onMachineStatuses applies the statuses of machines whose home the sender is.
func (n *Node) onMachineStatuses(_ *sender, statuses *[]*jobstate.MachineStatus, now time.Time) {
	for _, status := range *statuses {
		if status != nil && status.Machine != "" {
			n.applyStatus(status, now)
		}
	}
}

// onStatus applies a peer's status, part by part.
func (n *Node) onStatus(from *sender, s *statusMsg, now time.Time) {
	n.applyPromise(from.name, s, now)
	n.applyPeerStatus(from.state, s, now)
	n.resetIfHalfOpen(from.name, s, now)
	n.onPeerCancellations(from.name, s, now)
	n.onHomeWatermarks(from.name, s, now)
	n.sendNewerRecord(from.name, s, now)
	n.recovery.detection.PeerAssessed(from.name, s.Store, n.leadership.Record(), now)
	n.onPlanStatus(from.name, from.incarnation, from.state, &s.Plan)
	n.onConfigStatus(from.name, from.incarnation, s.Config, now)
}

// resetIfHalfOpen resets the connection to a peer if the peer's messages arrive here, but its statuses show that this
// controller's do not arrive there.
func (n *Node) resetIfHalfOpen(node string, s *statusMsg, now time.Time) {
	received := uint64(0)
	if e := s.Received[n.name]; e.Incarnation == n.incarnation && e.SentAt > 0 {
		received = uint64(e.SentAt)
	}
	if p := n.peers[node]; p.connected && p.halfOpen.StatusReceived(now, received) {
		n.log.Info("peer link is half-open", "peer", node)
		n.links.Reset(node)
	}
}

// applyPeerStatus applies the parts of a status that concern the peer itself and the machines whose home it is.
func (n *Node) applyPeerStatus(p *peerState, s *statusMsg, now time.Time) {
	p.apply(s)
	for name, age := range s.HeartbeatAges {
		if m := n.machines[name]; m != nil && !m.gone {
			m.RecordHomeHeartbeat(now.Add(-time.Duration(age) * time.Millisecond))
		}
	}
	for _, name := range s.Misdirected {
		if m := n.machines[name]; m != nil && !m.gone {
			m.MisdirectedAt = now
		}
	}
	if n.leadership.Record() == nil || s.Term > n.leadership.Term() {
		n.requestRecordRead()
	}
}

// applyPromise records a peer's promise to raise no term, if the promise acknowledges a status that this process has
// sent.
func (n *Node) applyPromise(name string, s *statusMsg, now time.Time) {
	received, ok := s.Received[n.name]
	if !ok || !s.Promise || s.RecordVersion == nil || received.Incarnation != n.incarnation || !n.hasSentStatus(received.SentAt, now) {
		return
	}
	n.leadership.LearnPromise(name, *s.RecordVersion, n.startedAt.Add(time.Duration(received.SentAt)*time.Millisecond))
}

// onOrders queues the orders of a shard's owner for a machine whose home this controller is, if this controller may
// act.
func (n *Node) onOrders(_ *sender, o *ordersMsg, now time.Time) {
	if n.leadership.Record() == nil || !n.entitled(now) {
		return
	}
	if o.Term > n.leadership.Term() {
		n.requestRecordRead()
	}
	n.acceptOrders(o.Machine, o.Term, o.Orders)
	n.sendChangedStatuses()
}

// recordNamesOwner returns whether the membership record names the given process of a controller as a shard's owner
// since the given term. It requests a read of the record if the one known here may be outdated.
func (n *Node) recordNamesOwner(owner string, incarnation uint64, shard string, sinceTerm uint64) bool {
	record := n.leadership.Record()
	if record == nil || !record.IsMember(owner, incarnation) || !n.leadership.IsMember() {
		n.requestRecordRead()
		return false
	}
	entry := record.Shards[shard]
	if entry.SinceTerm < sinceTerm {
		n.requestRecordRead()
	}
	return entry.Owner == owner && entry.SinceTerm == sinceTerm
}
