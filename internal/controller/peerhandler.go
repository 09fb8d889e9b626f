package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// peerHandler is the controller as its links see it.
type peerHandler Node

func (h *peerHandler) PeerUp(node string) {
	n := (*Node)(h)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[node].connected = true
	n.peers[node].delivery.Up(time.Now())
	n.shards.ForgetReplica(node)
	for name := range n.agents.All() {
		n.changedMachines[name] = true
	}
	if n.record != nil {
		n.sendMemories(false, node)
	}
	n.requestStatus() // one that starts waits for this one's word
	n.wake()
}

func (h *peerHandler) PeerDown(node string) {
	n := (*Node)(h)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[node].connected = false
	n.shards.ForgetReplica(node)
}

func (h *peerHandler) PeerMessage(node string, incarnation uint64, kind string, body []byte) {
	n := (*Node)(h)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	p := n.peers[node]
	if p.incarnation != incarnation {
		p.incarnation, p.statusSentAt = incarnation, 0
	}
	n.cancelWatermark.RecordIncarnation(node, incarnation, now)
	p.lastMessageAt = now
	var err error
	switch kind {
	case "status":
		var s statusMsg
		if err = protocol.Decode(body, &s); err == nil {
			n.onStatus(p, &s, now)
			n.resetIfHalfOpen(node, &s, now)
			n.onPeerCancellations(node, &s, now)
			n.onHomeWatermarks(node, &s, now)
			n.sendNewerRecord(node, &s, now)
			n.recovery.detection.PeerAssessed(node, s.Store, n.record, now)
			n.onPlan(node, incarnation, p, &s.Plan)
			n.onConfigWord(node, incarnation, s.Config, now)
		}
	case "views":
		var views []*jobstate.MachineStatus
		if err = protocol.Decode(body, &views); err == nil {
			for _, v := range views {
				if v != nil && v.Machine != "" {
					n.applyStatus(v, now)
				}
			}
		}
	case "orders":
		var o ordersMsg
		if err = protocol.Decode(body, &o); err == nil {
			n.onOrders(&o, now)
		}
	case shards.KindProbe:
		var m shards.ProbeRequest
		if err = protocol.Decode(body, &m); err == nil {
			n.onProbe(m.Addrs, now)
		}
	case "record":
		var m recordMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onRecord(&m)
		}
	case "config":
		var m configMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onConfig(&m)
		}
	case "evict":
		var e evictMsg
		if err = protocol.Decode(body, &e); err == nil {
			n.onEvict(&e)
		}
	case shards.KindCopy:
		var c shards.Copy
		if err = protocol.Decode(body, &c); err == nil {
			n.onCopy(node, incarnation, &c)
		}
	case shards.KindCopyPart:
		var m shards.CopyPart
		if err = protocol.Decode(body, &m); err == nil {
			n.onCopyPart(node, incarnation, &m)
		}
	case shards.KindDeltas:
		var d shards.Deltas
		if err = protocol.Decode(body, &d); err == nil {
			n.onDeltas(node, incarnation, &d)
		}
	case kindMemories:
		var m memoriesMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onMemories(node, &m)
		}
	case kindMissingEnds:
		var m missingEndsMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onMissingEnds(node, &m)
		}
	case kindReplicateFact:
		var m replicateFactMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onReplicateFact(node, &m)
		}
	case kindFactReplicated:
		var m factReplicatedMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onFactReplicated(&m)
		}
	case shards.KindAcknowledgement:
		var a shards.Acknowledgement
		if err = protocol.Decode(body, &a); err == nil {
			n.onAcknowledgement(node, incarnation, &a)
		}
	}
	if err != nil {
		n.log.Error("unreadable line", "peer", node, "kind", kind, "err", err)
	}
}

// resetIfHalfOpen has the connection to a peer dialled anew if the peer, which is heard, does not get what is sent on it.
func (n *Node) resetIfHalfOpen(node string, s *statusMsg, now time.Time) {
	received := uint64(0)
	if e := s.Received[n.name]; e.Incarnation == n.incarnation && e.SentAt > 0 {
		received = uint64(e.SentAt)
	}
	if p := n.peers[node]; p.connected && p.delivery.Heard(now, received) {
		n.log.Info("peer link is half-open", "peer", node)
		n.links.Reset(node)
	}
}

func (n *Node) onStatus(p *peerState, s *statusMsg, now time.Time) {
	p.holdsLease, p.statusSentAt = s.HoldsLease, s.SentAt
	if e, ok := s.Received[n.name]; ok && s.Promise && s.RecordVersion != nil && e.Incarnation == n.incarnation && n.sentBy(e.SentAt, now) {
		// The promise runs from when the peer sent it, which was after our own
		// status that it names: counted from then, and less the clocks' drift, it
		// ends here first.
		until := n.startedAt.Add(time.Duration(e.SentAt)*time.Millisecond + promiseLife - promiseLife/500)
		if until.After(p.promisedUntil) {
			p.promisedUntil, p.promisedVersion = until, *s.RecordVersion
		}
	}
	p.entitled, p.demands = s.Entitled, s.Demands
	if s.Progress != nil {
		p.progress = s.Progress
	}
	p.drainingMachines = map[string]bool{}
	for _, m := range s.Draining {
		p.drainingMachines[m] = true
	}
	p.awaitedMachines, p.unansweredMachines, p.wantedWrites = s.Awaited, s.Unanswered, -1
	if s.WantedWrites != nil {
		p.wantedWrites = *s.WantedWrites
	}
	for name, age := range s.HeartbeatAges {
		if m := n.machines[name]; m != nil && !m.gone {
			t := now.Add(-time.Duration(age) * time.Millisecond)
			m.heardAt, m.homeHeardAt = later(m.heardAt, t), later(m.homeHeardAt, t)
		}
	}
	for _, name := range s.Misdirected {
		if m := n.machines[name]; m != nil && !m.gone {
			m.misdirectedAt = now
		}
	}
	if n.record == nil || s.Term > n.record.Term {
		n.hint()
	}
}

func (n *Node) onOrders(o *ordersMsg, now time.Time) {
	if n.record == nil || !n.entitled(now) {
		return
	}
	if o.Term > n.record.Term {
		n.hint()
	}
	n.acceptOrders(o.Machine, o.Term, o.Orders)
	n.sendChangedStatuses()
}

// owns says whether the record names that process of a node as an item's owner
// since that term.
func (n *Node) recordNamesOwner(node string, incarnation uint64, item string, since uint64) bool {
	if n.record == nil || n.record.Nodes[node] != incarnation || n.record.Nodes[n.name] != n.incarnation {
		n.hint()
		return false
	}
	entry := n.record.Shards[item]
	if entry.SinceTerm < since {
		n.hint()
	}
	return entry.Owner == node && entry.SinceTerm == since
}
