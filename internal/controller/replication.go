package controller

import (
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/peer"
	"topazhollow/internal/shards"
)

// cluster returns the current view of the cluster for decisions about replicas.
func (n *Node) cluster() *shards.Cluster {
	connected := make(map[string]bool, len(n.peers))
	for name, p := range n.peers {
		connected[name] = p.connected
	}
	return &shards.Cluster{Self: n.name, Record: n.leadership.Record(), Connected: connected}
}

// syncStates returns for each owned shard which replicas are in sync and which lag behind.
func (n *Node) syncStates(now time.Time) map[string]leadership.ShardStatus {
	return n.shards.Statuses(n.cluster(), now)
}

// sendReplication sends messages that bring a shard's replicas up to date.
func (n *Node) sendReplication(shard *shards.Owned, messages []shards.Outgoing) {
	for _, m := range messages {
		line := peer.Encode(m.Message.Kind(), m.Message)
		for _, to := range m.To {
			if !n.links.SendEncoded(to, line) {
				shard.Replicas().NotSent(to, m.Message)
			}
		}
	}
}

// onCopy applies a full copy of a peer's shard to the replica here.
func (n *Node) onCopy(node string, incarnation uint64, m *shards.Copy) {
	if !n.recordNamesOwner(node, incarnation, m.Shard, m.SinceTerm) {
		n.requestCopy(node, m.Shard, m.SinceTerm)
		return
	}
	n.acknowledge(node, n.shards.Held().ReceiveCopy(m))
}

// onCopyPart applies one part of a copy of a peer's shard.
func (n *Node) onCopyPart(node string, incarnation uint64, m *shards.CopyPart) {
	if !n.recordNamesOwner(node, incarnation, m.Shard, m.SinceTerm) {
		n.requestCopy(node, m.Shard, m.SinceTerm)
		return
	}
	n.acknowledge(node, n.shards.Held().ReceivePart(m))
}

// onDeltas applies changes of a peer's shard to the replica here.
func (n *Node) onDeltas(node string, incarnation uint64, m *shards.Deltas) {
	if !n.shards.Held().Has(m.Shard) || !n.recordNamesOwner(node, incarnation, m.Shard, m.SinceTerm) {
		n.requestCopy(node, m.Shard, m.SinceTerm)
		return
	}
	if answer, due := n.shards.Held().ReceiveDeltas(m); due {
		n.acknowledge(node, answer)
	}
}

// requestCopy requests a full copy of a shard from its owner.
func (n *Node) requestCopy(owner, name string, sinceTerm uint64) {
	n.acknowledge(owner, shards.CopyRequest(name, sinceTerm))
}

// acknowledge sends the state of the replica here to the shard's owner.
func (n *Node) acknowledge(owner string, a shards.Acknowledgement) {
	n.links.Send(owner, shards.KindAcknowledgement, a)
}

// onAcknowledgement records the state that a replica of an owned shard has acknowledged.
func (n *Node) onAcknowledgement(node string, incarnation uint64, m *shards.Acknowledgement) {
	shard := n.shards.Owned(m.Shard)
	if shard != nil && shard.Replicas().HandleAcknowledgement(node, incarnation, m, time.Now()) {
		n.wake()
	}
}
