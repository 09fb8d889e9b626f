package controller

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/peer"
)

// An item's replicas: who holds them, what was sent and acknowledged, and what the record should say of that.

// Messages between an item's owner and its backups.
type (
	// copyMsg gives a backup the whole replica.
	copyMsg struct {
		Item  string        `json:"item"`
		Since uint64        `json:"since"`
		Copy  jobstate.Copy `json:"copy"`
	}
	// copyPartMsg gives it a part of a replica that is too large for one message.
	copyPartMsg struct {
		Item  string        `json:"item"`
		Since uint64        `json:"since"`
		Part  jobstate.Part `json:"part"`
	}
	// deltasMsg gives it changes of a replica that it has, or is being given.
	deltasMsg struct {
		Item   string           `json:"item"`
		Since  uint64           `json:"since"`
		Deltas []jobstate.Delta `json:"deltas"`
	}
	// ackMsg acknowledges an item up to Seq, or so many parts of it, or asks for a copy.
	ackMsg struct {
		Item  string `json:"item"`
		Since uint64 `json:"since"`
		Seq   uint64 `json:"seq"`
		Parts int    `json:"parts,omitempty"`
		Again bool   `json:"again,omitempty"`
	}
)

// copyPartKind is the kind of a line with a part of a replica. A controller that does not know it never acknowledges one.
const copyPartKind = "copy_part"

// replicaAck is what a backup acknowledged.
type replicaAck struct {
	inc      uint64
	copied   bool               // a copy was sent on the present connection, or is being sent
	transfer *jobstate.Transfer // the sending of the copy in parts; nil: none is under way
	parts    int                // of it, acknowledged
	seq      uint64             // acknowledged
	known    bool               // acknowledged anything at all
	since    time.Time
	sent     uint64
	retry    time.Time
}

// copyAnew has the whole replica sent again.
func (a *replicaAck) copyAnew() {
	a.copied, a.known = false, false
	a.transfer, a.parts = nil, 0
}

// heldReplica is a team's progress kept for its owner.
type heldReplica struct {
	since         uint64
	rep           *jobstate.Replica  // nil: none is whole yet
	incoming      *jobstate.Incoming // one that is being received; nil: none is
	incomingSince uint64
}

// replica is the replica that a controller keeps of an item as a backup; nil if it keeps none that is whole.
func (n *Node) replica(item string) *jobstate.Replica {
	if b := n.replicas[item]; b != nil {
		return b.rep
	}
	return nil
}

// acknowledgedByAll is the sequence number that every backup in sync acknowledged.
func (n *Node) acknowledgedByAll(it *shard) uint64 {
	low := it.team.Replica().Seq
	for _, b := range n.requiredReplicas(it) {
		a := it.acknowledgements[b]
		if a == nil || !a.known || a.inc != n.record.Nodes[b] {
			return 0
		}
		low = min(low, a.seq)
	}
	return low
}

// requiredReplicas lists the backups whose acknowledgement a start needs.
func (n *Node) requiredReplicas(it *shard) []string {
	need := slices.Clone(n.record.Shards[it.name].InSync)
	for _, b := range it.addingReplicas {
		if !slices.Contains(need, b) {
			need = append(need, b)
		}
	}
	return slices.DeleteFunc(need, func(b string) bool { return b == n.name })
}

// replicaHolders names who should hold an item's replica beside this controller.
func (n *Node) replicaHolders(it *shard) []string {
	return n.record.BackupsOf(it.name, n.name, func(node string) bool {
		p := n.peers[node]
		return p != nil && p.connected
	})
}

// lateAfter is how long a backup may take to acknowledge before it goes out of
// sync.
const acknowledgementTimeout = 1500 * time.Millisecond

// syncStates sums up the backups of each owned item.
func (n *Node) syncStates(now time.Time) map[string]leadership.Sync {
	out := map[string]leadership.Sync{}
	for name, it := range n.shards {
		s := leadership.Sync{Ready: it.phase == shardReady && !it.handingOver, Whole: map[string]bool{}, Lagging: map[string]bool{}}
		s.Backups = n.replicaHolders(it)
		seq := it.team.Replica().Seq
		for p, ps := range n.peers {
			a := it.acknowledgements[p]
			switch {
			case !slices.Contains(s.Backups, p) && !slices.Contains(n.record.Shards[name].InSync, p):
			case ps.connected && a != nil && a.known && a.seq >= seq && a.inc == n.record.Nodes[p]:
				s.Whole[p] = true
			case now.Sub(it.graceFrom) < acknowledgementTimeout:
			case !ps.connected || a == nil || (!a.since.IsZero() && now.Sub(a.since) > acknowledgementTimeout):
				s.Lagging[p] = true
			}
		}
		out[name] = s
	}
	return out
}

// replicate sends changes of an item to its backups.
func (n *Node) replicate(it *shard, now time.Time) {
	deltas := it.team.TakeDeltas()
	seq := it.team.Replica().Seq
	var line []byte
	backups := append(n.replicaHolders(it), n.requiredReplicas(it)...)
	for p, ps := range n.peers {
		if !slices.Contains(backups, p) {
			delete(it.acknowledgements, p) // it gets a whole copy when it is a backup again
			continue
		}
		if _, member := n.record.Nodes[p]; !member || !ps.connected {
			continue
		}
		a := it.acknowledgements[p]
		if a == nil {
			a = &replicaAck{}
			it.acknowledgements[p] = a
		}
		switch {
		case !a.copied:
			n.sendReplica(it, p, a)
		case len(deltas) == 0:
			n.sendPart(it, p, a)
			continue
		default: // whole already, so the deltas are the next ones; older ones are ignored
			if line == nil {
				line = peer.Line("deltas", deltasMsg{Item: it.name, Since: it.sinceTerm, Deltas: deltas})
			}
			n.links.SendLine(p, line)
			n.sendPart(it, p, a)
		}
		a.sent = seq
		if a.since.IsZero() {
			a.since = now
		}
	}
}

// sendReplica gives a backup an item's replica, as a whole or its first part.
func (n *Node) sendReplica(it *shard, to string, a *replicaAck) {
	replica := it.team.Replica()
	if replica.FitsOneMessage() {
		a.copied = n.links.Send(to, "copy", copyMsg{Item: it.name, Since: it.sinceTerm, Copy: replica.Copy()})
		return
	}
	a.copied, a.parts = true, 0
	a.transfer = jobstate.NewTransfer(replica)
	n.sendPart(it, to, a)
}

// sendPart gives a backup the next part of an item's replica, if one is being sent and the part before was acknowledged. All deltas
// that the replica has were sent before.
func (n *Node) sendPart(it *shard, to string, a *replicaAck) {
	if a.transfer == nil || a.transfer.Ended() || a.parts < a.transfer.Sent() {
		return
	}
	part := a.transfer.Next(it.team.Replica())
	if !n.links.Send(to, copyPartKind, copyPartMsg{Item: it.name, Since: it.sinceTerm, Part: part}) {
		a.copyAnew()
	}
}

// onCopy takes a whole replica of a peer's item.
func (n *Node) onCopy(node string, incarnation uint64, c *copyMsg) {
	if !n.owns(node, incarnation, c.Item, c.Since) {
		n.requestCopy(node, c.Item, c.Since)
		return
	}
	n.replicas[c.Item] = &heldReplica{since: c.Since, rep: jobstate.FromCopy(c.Copy)}
	n.links.Send(node, "ack", ackMsg{Item: c.Item, Since: c.Since, Seq: c.Copy.Seq})
}

// onCopyPart takes a part of a replica of a peer's item. The replica from before is kept until the new one is whole.
func (n *Node) onCopyPart(node string, incarnation uint64, m *copyPartMsg) {
	if !n.owns(node, incarnation, m.Item, m.Since) {
		n.requestCopy(node, m.Item, m.Since)
		return
	}
	b := n.replicas[m.Item]
	if b == nil {
		b = &heldReplica{}
		n.replicas[m.Item] = b
	}
	if m.Part.Number == 0 {
		b.incoming, b.incomingSince = jobstate.NewIncoming(), m.Since
	}
	if !b.receives(m.Since) {
		n.requestCopy(node, m.Item, m.Since)
		return
	}
	whole, err := b.incoming.Take(m.Part)
	switch {
	case err != nil:
		b.incoming = nil
		n.requestCopy(node, m.Item, m.Since)
	case whole != nil:
		n.replicas[m.Item] = &heldReplica{since: m.Since, rep: whole}
		n.links.Send(node, "ack", ackMsg{Item: m.Item, Since: m.Since, Seq: whole.Seq})
	default:
		n.links.Send(node, "ack", ackMsg{Item: m.Item, Since: m.Since, Parts: m.Part.Number + 1})
	}
}

// requestCopy asks an item's owner for its whole replica.
func (n *Node) requestCopy(owner, item string, since uint64) {
	n.links.Send(owner, "ack", ackMsg{Item: item, Since: since, Again: true})
}

// onDeltas takes changes of a peer's item.
func (n *Node) onDeltas(node string, incarnation uint64, d *deltasMsg) {
	b := n.replicas[d.Item]
	if b == nil || !n.owns(node, incarnation, d.Item, d.Since) {
		n.requestCopy(node, d.Item, d.Since)
		return
	}
	if b.receives(d.Since) {
		if applyAll(d.Deltas, b.incoming.Apply) != nil {
			b.incoming = nil
			n.requestCopy(node, d.Item, d.Since)
		}
		return // acknowledged once the replica is whole
	}
	if b.rep == nil || b.since != d.Since || applyAll(d.Deltas, b.rep.Apply) != nil {
		n.requestCopy(node, d.Item, d.Since)
		return
	}
	n.links.Send(node, "ack", ackMsg{Item: d.Item, Since: d.Since, Seq: b.rep.Seq})
}

// receives says whether the replica of the item's owner since a term is being received in parts.
func (b *heldReplica) receives(since uint64) bool {
	return b.incoming != nil && b.incomingSince == since
}

// applyAll carries out deltas up to the first that fails.
func applyAll(deltas []jobstate.Delta, apply func(jobstate.Delta) error) error {
	for _, d := range deltas {
		if err := apply(d); err != nil {
			return err
		}
	}
	return nil
}

// copyRetryEvery is the least time between two copies that a backup asks for.
const copyRetryEvery = 200 * time.Millisecond

// onAck takes what a backup acknowledges of an own item.
func (n *Node) onAck(node string, incarnation uint64, m *ackMsg) {
	it := n.shards[m.Item]
	if it == nil || it.sinceTerm != m.Since {
		return
	}
	a := it.acknowledgements[node]
	if a == nil {
		return
	}
	switch {
	case m.Again:
		if !a.retry.IsZero() && time.Since(a.retry) < copyRetryEvery {
			return
		}
		a.retry = time.Now()
		a.copyAnew()
	case m.Parts > 0:
		if a.transfer != nil && m.Parts == a.transfer.Sent() { // else it is of an earlier transfer
			a.parts = m.Parts
		}
	default:
		a.take(incarnation, m.Seq)
	}
	n.wake()
}

// take books the sequence number that a backup acknowledged.
func (a *replicaAck) take(incarnation, seq uint64) {
	a.inc, a.known, a.seq = incarnation, true, seq
	if a.transfer != nil && a.transfer.Ended() {
		a.transfer = nil
	}
	if a.seq >= a.sent {
		a.since = time.Time{}
	} else {
		a.since = time.Now()
	}
}
