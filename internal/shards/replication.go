package shards

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
)

// AcknowledgementTimeout is how long a replica may take to acknowledge before it goes out of sync.
const AcknowledgementTimeout = 1500 * time.Millisecond

// copyRetryInterval is the least time between two copies that a replica asks for.
const copyRetryInterval = 200 * time.Millisecond

// Cluster is what decisions about replicas rest on.
type Cluster struct {
	Self      string
	Record    *leadership.Record
	Connected map[string]bool // for each other controller, whether there is a connection to it
}

// Outgoing is a message that the owner is to send, in the order of the list that it stands in.
type Outgoing struct {
	To   []string
	Kind string
	Body any // Copy, CopyPart or Deltas
}

// acknowledgement is what one replica was sent and acknowledged on the present connection.
type acknowledgement struct {
	incarnation  uint64             // of the process that acknowledged
	copySent     bool               // a copy was sent, or is being sent in parts
	transfer     *jobstate.Transfer // the sending of the copy in parts; nil: none is under way
	parts        int                // of the transfer, acknowledged
	known        bool               // anything was acknowledged at all
	seq          uint64             // acknowledged
	sentSeq      uint64
	waitingSince time.Time // zero: everything sent is acknowledged
	copyAskedAt  time.Time // when it last asked for a copy that it was then sent
}

// sendCopyAnew has the whole replica sent again.
func (a *acknowledgement) sendCopyAnew() {
	a.copySent, a.known = false, false
	a.transfer, a.parts = nil, 0
}

// acknowledged notes the sequence number that the replica has.
func (a *acknowledgement) acknowledged(incarnation, seq uint64, now time.Time) {
	a.incarnation, a.known, a.seq = incarnation, true, seq
	if a.transfer != nil && a.transfer.Ended() {
		a.transfer = nil
	}
	if a.seq >= a.sentSeq {
		a.waitingSince = time.Time{}
	} else {
		a.waitingSince = now
	}
}

// nextPartDue says whether a part is to go out: a copy is being sent in parts, and the part before was acknowledged.
func (a *acknowledgement) nextPartDue() bool {
	return a.transfer != nil && !a.transfer.Ended() && a.parts >= a.transfer.PartsMade()
}

// ForgetReplica drops what a controller acknowledged, as its connection is another one now: it gets a whole copy.
func (o *Owned) ForgetReplica(replica string) { delete(o.acknowledgements, replica) }

// RequiredReplicas lists the controllers whose acknowledgement a start needs: those in sync by the record, and those
// that a pending change puts in sync.
func (o *Owned) RequiredReplicas(c *Cluster) []string {
	required := slices.Clone(c.Record.Shards[o.name].InSync)
	for _, replica := range o.addingReplicas {
		if !slices.Contains(required, replica) {
			required = append(required, replica)
		}
	}
	return slices.DeleteFunc(required, func(replica string) bool { return replica == c.Self })
}

// ReplicaHolders names the connected controllers that should hold a replica beside the owner.
func (o *Owned) ReplicaHolders(c *Cluster) []string {
	return c.Record.BackupsOf(o.name, c.Self, func(node string) bool { return c.Connected[node] })
}

// AcknowledgedByAll is the sequence number that every required replica acknowledged.
func (o *Owned) AcknowledgedByAll(c *Cluster) uint64 {
	lowest := o.team.Replica().Seq
	for _, replica := range o.RequiredReplicas(c) {
		a := o.acknowledgements[replica]
		if a == nil || !a.known || a.incarnation != c.Record.Nodes[replica] {
			return 0
		}
		lowest = min(lowest, a.seq)
	}
	return lowest
}

// Sync says which replicas have everything and which are late.
func (o *Owned) Sync(c *Cluster, now time.Time) leadership.Sync {
	s := leadership.Sync{Ready: o.MayPlace(), Whole: map[string]bool{}, Lagging: map[string]bool{}, Backups: o.ReplicaHolders(c)}
	inSync := c.Record.Shards[o.name].InSync
	for node, connected := range c.Connected {
		if !slices.Contains(s.Backups, node) && !slices.Contains(inSync, node) {
			continue
		}
		switch a := o.acknowledgements[node]; {
		case connected && o.isWhole(a, c.Record.Nodes[node]):
			s.Whole[node] = true
		case now.Sub(o.graceFrom) < AcknowledgementTimeout:
		case !connected || a == nil || a.isLate(now):
			s.Lagging[node] = true
		}
	}
	return s
}

// isWhole says whether a process acknowledged everything that the owner has.
func (o *Owned) isWhole(a *acknowledgement, incarnation uint64) bool {
	return a != nil && a.known && a.seq >= o.team.Replica().Seq && a.incarnation == incarnation
}

// isLate says whether what was sent has waited too long for its acknowledgement.
func (a *acknowledgement) isLate(now time.Time) bool {
	return !a.waitingSince.IsZero() && now.Sub(a.waitingSince) > AcknowledgementTimeout
}

// Replicate takes the team's changes and gives the messages that bring the replicas up to date. The caller sends them in
// order, and calls NotSent for each that surely did not go out.
func (o *Owned) Replicate(c *Cluster, now time.Time) []Outgoing {
	deltas := o.team.TakeDeltas()
	seq := o.team.Replica().Seq
	replicas := append(o.ReplicaHolders(c), o.RequiredReplicas(c)...)
	var changes Outgoing
	var copies []Outgoing
	for node, connected := range c.Connected {
		if !slices.Contains(replicas, node) {
			delete(o.acknowledgements, node) // it gets a whole copy when it is to hold a replica again
			continue
		}
		if _, member := c.Record.Nodes[node]; !member || !connected {
			continue
		}
		a := o.acknowledgementOf(node)
		if !a.copySent {
			copies = append(copies, o.beginCopy(node, a))
			a.sent(seq, now)
			continue
		}
		if len(deltas) > 0 { // they follow what was sent; a replica ignores older ones
			changes.To = append(changes.To, node)
			a.sent(seq, now)
		}
		if a.nextPartDue() {
			copies = append(copies, o.nextPart(node, a))
		}
	}
	if len(changes.To) == 0 {
		return copies
	}
	changes.Kind = KindDeltas
	changes.Body = Deltas{Shard: o.name, SinceTerm: o.sinceTerm, Deltas: deltas}
	return append([]Outgoing{changes}, copies...) // all deltas that a part's replica has go before the part
}

// acknowledgementOf is the record of a replica, a new one if there is none.
func (o *Owned) acknowledgementOf(replica string) *acknowledgement {
	a := o.acknowledgements[replica]
	if a == nil {
		a = &acknowledgement{}
		o.acknowledgements[replica] = a
	}
	return a
}

// sent notes that everything up to a sequence number was sent.
func (a *acknowledgement) sent(seq uint64, now time.Time) {
	a.sentSeq = seq
	if a.waitingSince.IsZero() {
		a.waitingSince = now
	}
}

// beginCopy is the message that begins to give a controller the whole replica: all of it, or its first part.
func (o *Owned) beginCopy(to string, a *acknowledgement) Outgoing {
	a.copySent = true
	replica := o.team.Replica()
	if replica.FitsOneMessage() {
		return Outgoing{To: []string{to}, Kind: KindCopy, Body: Copy{Shard: o.name, SinceTerm: o.sinceTerm, Copy: replica.Copy()}}
	}
	a.parts = 0
	a.transfer = jobstate.NewTransfer(replica)
	return o.nextPart(to, a)
}

// nextPart is the message with the next part of a replica that is being sent in parts.
func (o *Owned) nextPart(to string, a *acknowledgement) Outgoing {
	part := a.transfer.Next(o.team.Replica())
	return Outgoing{To: []string{to}, Kind: KindCopyPart, Body: CopyPart{Shard: o.name, SinceTerm: o.sinceTerm, Part: part}}
}

// NotSent notes that a message to a replica surely did not go out. Deltas are found missing by the replica itself.
func (o *Owned) NotSent(replica, kind string) {
	a := o.acknowledgements[replica]
	if a == nil {
		return
	}
	switch kind {
	case KindCopy:
		a.copySent = false
	case KindCopyPart:
		a.sendCopyAnew()
	}
}

// Acknowledge takes in what a process of a controller acknowledges; false if it changes nothing.
func (o *Owned) Acknowledge(replica string, incarnation uint64, m *Acknowledgement, now time.Time) bool {
	a := o.acknowledgements[replica]
	if a == nil || m.SinceTerm != o.sinceTerm {
		return false
	}
	switch {
	case m.Again:
		if !a.copyAskedAt.IsZero() && now.Sub(a.copyAskedAt) < copyRetryInterval {
			return false
		}
		a.copyAskedAt = now
		a.sendCopyAnew()
	case m.Parts > 0:
		if a.transfer != nil && m.Parts == a.transfer.PartsMade() { // else it is of an earlier transfer
			a.parts = m.Parts
		}
	default:
		a.acknowledged(incarnation, m.Seq, now)
	}
	return true
}
