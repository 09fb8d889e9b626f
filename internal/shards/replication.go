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
	To      []string // controllers
	Message Message
}

// Replicas is what the owner of a shard knows of its replicas, and decides which of them gets what next.
type Replicas struct {
	shard            string
	sinceTerm        uint64
	team             *jobstate.Team
	adding           []string                    // replicas that a pending change of the record puts in sync
	graceFrom        time.Time                   // replicas get their time to acknowledge from then
	acknowledgements map[string]*acknowledgement // by controller
}

// SetPendingReplicas notes which replicas a pending change of the record puts in sync: starts need their acknowledgement from now
// on.
func (r *Replicas) SetPendingReplicas(inSync []string) { r.adding = inSync }

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

// Forget drops what a controller acknowledged, as its connection is another one now: it gets a whole copy.
func (r *Replicas) Forget(replica string) { delete(r.acknowledgements, replica) }

// Required lists the controllers whose acknowledgement a start needs: those in sync by the record, and those
// that a pending change puts in sync.
func (r *Replicas) Required(c *Cluster) []string {
	required := slices.Clone(c.Record.Shards[r.shard].InSync)
	for _, replica := range r.adding {
		if !slices.Contains(required, replica) {
			required = append(required, replica)
		}
	}
	return slices.DeleteFunc(required, func(replica string) bool { return replica == c.Self })
}

// Holders names the connected controllers that should hold a replica beside the owner.
func (r *Replicas) Holders(c *Cluster) []string {
	return c.Record.ReplicaHolders(r.shard, c.Self, func(node string) bool { return c.Connected[node] })
}

// AcknowledgedByAll is the sequence number that every required replica acknowledged.
func (r *Replicas) AcknowledgedByAll(c *Cluster) uint64 {
	lowest := r.team.Replica().Seq
	for _, replica := range r.Required(c) {
		a := r.acknowledgements[replica]
		if a == nil || !a.known || a.incarnation != c.Record.Nodes[replica] {
			return 0
		}
		lowest = min(lowest, a.seq)
	}
	return lowest
}

// sync says which replicas have everything and which are late.
func (r *Replicas) sync(c *Cluster, now time.Time) leadership.ShardStatus {
	s := leadership.ShardStatus{InSync: map[string]bool{}, Lagging: map[string]bool{}, Holders: r.Holders(c)}
	inSync := c.Record.Shards[r.shard].InSync
	for node, connected := range c.Connected {
		if !slices.Contains(s.Holders, node) && !slices.Contains(inSync, node) {
			continue
		}
		switch a := r.acknowledgements[node]; {
		case connected && r.isWhole(a, c.Record.Nodes[node]):
			s.InSync[node] = true
		case now.Sub(r.graceFrom) < AcknowledgementTimeout:
		case !connected || a == nil || a.isLate(now):
			s.Lagging[node] = true
		}
	}
	return s
}

// isWhole says whether a process acknowledged everything that the owner has.
func (r *Replicas) isWhole(a *acknowledgement, incarnation uint64) bool {
	return a != nil && a.known && a.seq >= r.team.Replica().Seq && a.incarnation == incarnation
}

// isLate says whether what was sent has waited too long for its acknowledgement.
func (a *acknowledgement) isLate(now time.Time) bool {
	return !a.waitingSince.IsZero() && now.Sub(a.waitingSince) > AcknowledgementTimeout
}

// Replicate takes the team's changes and gives the messages that bring the replicas up to date. The caller sends
// them in order, and calls NotSent for each that surely did not go out.
func (r *Replicas) Replicate(c *Cluster, now time.Time) []Outgoing {
	deltas := r.team.TakeDeltas()
	seq := r.team.Replica().Seq
	replicas := append(r.Holders(c), r.Required(c)...)
	var copies []Outgoing
	var followers []string // replicas that the deltas go to
	for node, connected := range c.Connected {
		if !slices.Contains(replicas, node) {
			delete(r.acknowledgements, node) // it gets a whole copy when it is to hold a replica again
			continue
		}
		if _, member := c.Record.Nodes[node]; !member || !connected {
			continue
		}
		a := r.acknowledgementOf(node)
		if !a.copySent {
			copies = append(copies, r.beginCopy(node, a))
			a.sent(seq, now)
			continue
		}
		if len(deltas) > 0 { // they follow what was sent; a replica ignores older ones
			followers = append(followers, node)
			a.sent(seq, now)
		}
		if a.nextPartDue() {
			copies = append(copies, r.nextPart(node, a))
		}
	}
	if len(followers) == 0 {
		return copies
	}
	changes := Outgoing{To: followers, Message: Deltas{Shard: r.shard, SinceTerm: r.sinceTerm, Deltas: deltas}}
	return append([]Outgoing{changes}, copies...) // all deltas that a part's replica has go before the part
}

// acknowledgementOf is the record of a replica, a new one if there is none.
func (r *Replicas) acknowledgementOf(replica string) *acknowledgement {
	a := r.acknowledgements[replica]
	if a == nil {
		a = &acknowledgement{}
		r.acknowledgements[replica] = a
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
func (r *Replicas) beginCopy(to string, a *acknowledgement) Outgoing {
	a.copySent = true
	replica := r.team.Replica()
	if replica.FitsOneMessage() {
		body := Copy{Shard: r.shard, SinceTerm: r.sinceTerm, Copy: replica.Copy()}
		return Outgoing{To: []string{to}, Message: body}
	}
	a.parts = 0
	a.transfer = jobstate.NewTransfer(replica)
	return r.nextPart(to, a)
}

// nextPart is the message with the next part of a replica that is being sent in parts.
func (r *Replicas) nextPart(to string, a *acknowledgement) Outgoing {
	part := a.transfer.Next(r.team.Replica())
	body := CopyPart{Shard: r.shard, SinceTerm: r.sinceTerm, Part: part}
	return Outgoing{To: []string{to}, Message: body}
}

// NotSent notes that a message to a replica surely did not go out. Deltas are found missing by the replica itself.
func (r *Replicas) NotSent(replica string, m Message) {
	a := r.acknowledgements[replica]
	if a == nil {
		return
	}
	switch m.(type) {
	case Copy:
		a.copySent = false
	case CopyPart:
		a.sendCopyAnew()
	}
}

// HandleAcknowledgement takes in what a process of a controller acknowledges; false if it changes nothing.
func (r *Replicas) HandleAcknowledgement(replica string, incarnation uint64, m *Acknowledgement, now time.Time) bool {
	a := r.acknowledgements[replica]
	if a == nil || m.SinceTerm != r.sinceTerm {
		return false
	}
	switch {
	case m.NeedsCopy:
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
