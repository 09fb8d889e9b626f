package shards

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
)

// AcknowledgementTimeout is how long a replica may take to acknowledge before it counts as lagging.
const AcknowledgementTimeout = 1500 * time.Millisecond

// copyRetryInterval is the minimum time between two copies that a replica requests.
const copyRetryInterval = 200 * time.Millisecond

// Cluster is the cluster state that decisions about replicas depend on.
type Cluster struct {
	Self      string
	Record    *leadership.Record
	Connected map[string]bool // for every other controller, whether it is connected
}

// Outgoing is a message for the owner to send. Messages must be sent in the order in which they are listed.
type Outgoing struct {
	To      []string // controllers
	Message Message
}

// Replicas is an owner's view of its shard's replicas. It decides what each of them is sent next.
type Replicas struct {
	shard           string
	sinceTerm       uint64
	team            *jobstate.Team
	pendingReplicas []string                 // that a pending change of the record puts in sync
	timeoutsStart   time.Time                // acknowledgement timeouts start then at the earliest
	states          map[string]*replicaState // by controller
}

// SetPendingReplicas sets the replicas that a pending change of the record puts in sync. From now on, starts need their
// acknowledgement.
func (r *Replicas) SetPendingReplicas(inSync []string) { r.pendingReplicas = inSync }

// replicaState tracks what one replica was sent and what it acknowledged over the current connection.
type replicaState struct {
	incarnation       uint64             // of the process that sent the acknowledgement
	copySent          bool               // a copy was sent, or is being sent in parts
	transfer          *jobstate.Transfer // of the copy in parts; nil if none is in progress
	acknowledgedParts int                // acknowledged parts of the transfer
	known             bool               // seq is valid: deltas or a copy were acknowledged
	seq               uint64             // last sequence number acknowledged
	sentSeq           uint64
	waitingSince      time.Time // zero if everything sent is acknowledged
	copyRequestedAt   time.Time // time of its last request for a copy that was granted
}

// resetCopy resets the state so that the complete replica is sent again.
func (a *replicaState) resetCopy() {
	a.copySent, a.known = false, false
	a.transfer, a.acknowledgedParts = nil, 0
}

// recordAcknowledged records the sequence number up to which the replica has all changes.
func (a *replicaState) recordAcknowledged(incarnation, seq uint64, now time.Time) {
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

// nextPartDue reports whether the next part of a copy must be sent: a transfer in parts is in progress, and its
// previous part was acknowledged.
func (a *replicaState) nextPartDue() bool {
	return a.transfer != nil && !a.transfer.Ended() && a.acknowledgedParts >= a.transfer.PartsMade()
}

// Forget discards what a controller acknowledged, because its connection was replaced. It will be sent a complete copy.
func (r *Replicas) Forget(replica string) { delete(r.states, replica) }

// Required returns the controllers that must acknowledge a start: those in sync according to the record, and those that
// a pending change puts in sync.
func (r *Replicas) Required(c *Cluster) []string {
	required := slices.Clone(c.Record.Shards[r.shard].InSync)
	for _, replica := range r.pendingReplicas {
		if !slices.Contains(required, replica) {
			required = append(required, replica)
		}
	}
	return slices.DeleteFunc(required, func(replica string) bool { return replica == c.Self })
}

// Holders returns the connected controllers that should hold a replica besides the owner.
func (r *Replicas) Holders(c *Cluster) []string {
	return c.Record.ReplicaHolders(r.shard, c.Self, func(node string) bool { return c.Connected[node] })
}

// AcknowledgedByAll returns the highest sequence number that every required replica has acknowledged, or 0 if one of
// them has acknowledged nothing.
func (r *Replicas) AcknowledgedByAll(c *Cluster) uint64 {
	lowest := r.team.Replica().Seq
	for _, replica := range r.Required(c) {
		a := r.states[replica]
		if a == nil || !a.known || a.incarnation != c.Record.Nodes[replica] {
			return 0
		}
		lowest = min(lowest, a.seq)
	}
	return lowest
}

// status returns which replicas have everything and which lag.
func (r *Replicas) status(c *Cluster, now time.Time) leadership.ShardStatus {
	s := leadership.ShardStatus{InSync: map[string]bool{}, Lagging: map[string]bool{}, Holders: r.Holders(c)}
	inSync := c.Record.Shards[r.shard].InSync
	for node, connected := range c.Connected {
		if !slices.Contains(s.Holders, node) && !slices.Contains(inSync, node) {
			continue
		}
		switch a := r.states[node]; {
		case connected && r.isUpToDate(a, c.Record.Nodes[node]):
			s.InSync[node] = true
		case now.Sub(r.timeoutsStart) < AcknowledgementTimeout:
		case !connected || a == nil || a.isLate(now):
			s.Lagging[node] = true
		}
	}
	return s
}

// isUpToDate reports whether the given process acknowledged everything that the owner has.
func (r *Replicas) isUpToDate(a *replicaState, incarnation uint64) bool {
	return a != nil && a.known && a.seq >= r.team.Replica().Seq && a.incarnation == incarnation
}

// isLate reports whether the acknowledgement of what was sent is overdue.
func (a *replicaState) isLate(now time.Time) bool {
	return !a.waitingSince.IsZero() && now.Sub(a.waitingSince) > AcknowledgementTimeout
}

// Replicate takes the team's pending changes and returns the messages that bring the replicas up to date. The caller
// sends them in order, and calls NotSent for each that was definitely not sent.
func (r *Replicas) Replicate(c *Cluster, now time.Time) []Outgoing {
	deltas := r.team.TakeDeltas()
	seq := r.team.Replica().Seq
	replicas := append(r.Holders(c), r.Required(c)...)
	var copies []Outgoing
	var followers []string // replicas that receive the deltas
	for node, connected := range c.Connected {
		if !slices.Contains(replicas, node) {
			delete(r.states, node) // if chosen as a replica again, it is sent a complete copy
			continue
		}
		if _, member := c.Record.Nodes[node]; !member || !connected {
			continue
		}
		a := r.stateOf(node)
		if !a.copySent {
			copies = append(copies, r.beginCopy(node, a))
			a.recordSent(seq, now)
			continue
		}
		if len(deltas) > 0 { // a replica ignores those that its copy already contains
			followers = append(followers, node)
			a.recordSent(seq, now)
		}
		if a.nextPartDue() {
			copies = append(copies, r.nextPart(node, a))
		}
	}
	if len(followers) == 0 {
		return copies
	}
	changes := Outgoing{To: followers, Message: Deltas{Shard: r.shard, SinceTerm: r.sinceTerm, Deltas: deltas}}
	return append([]Outgoing{changes}, copies...) // a part includes these deltas, so they must be sent before it
}

// stateOf returns the state of a replica, and creates it if there is none.
func (r *Replicas) stateOf(replica string) *replicaState {
	a := r.states[replica]
	if a == nil {
		a = &replicaState{}
		r.states[replica] = a
	}
	return a
}

// recordSent records that everything up to a sequence number was sent.
func (a *replicaState) recordSent(seq uint64, now time.Time) {
	a.sentSeq = seq
	if a.waitingSince.IsZero() {
		a.waitingSince = now
	}
}

// beginCopy returns the first message of a transfer of the replica to a controller: the complete replica, or its first
// part.
func (r *Replicas) beginCopy(to string, a *replicaState) Outgoing {
	a.copySent = true
	replica := r.team.Replica()
	if replica.FitsOneMessage() {
		body := Copy{Shard: r.shard, SinceTerm: r.sinceTerm, Copy: replica.Copy()}
		return Outgoing{To: []string{to}, Message: body}
	}
	a.acknowledgedParts = 0
	a.transfer = jobstate.NewTransfer(replica)
	return r.nextPart(to, a)
}

// nextPart returns the message with the next part of a transfer in progress.
func (r *Replicas) nextPart(to string, a *replicaState) Outgoing {
	part := a.transfer.Next(r.team.Replica())
	body := CopyPart{Shard: r.shard, SinceTerm: r.sinceTerm, Part: part}
	return Outgoing{To: []string{to}, Message: body}
}

// NotSent records that a message to a replica was definitely not sent. Missing deltas need no action: the replica
// detects the gap itself.
func (r *Replicas) NotSent(replica string, m Message) {
	a := r.states[replica]
	if a == nil {
		return
	}
	switch m.(type) {
	case Copy:
		a.copySent = false
	case CopyPart:
		a.resetCopy()
	}
}

// HandleAcknowledgement processes an acknowledgement from a controller's process. It returns false if it ignores the
// message: the controller was sent nothing, the message is from another term of ownership, or it requests a copy too
// soon after the previous request.
func (r *Replicas) HandleAcknowledgement(replica string, incarnation uint64, m *Acknowledgement, now time.Time) bool {
	a := r.states[replica]
	if a == nil || m.SinceTerm != r.sinceTerm {
		return false
	}
	switch {
	case m.NeedsCopy:
		if !a.copyRequestedAt.IsZero() && now.Sub(a.copyRequestedAt) < copyRetryInterval {
			return false
		}
		a.copyRequestedAt = now
		a.resetCopy()
	case m.Parts > 0:
		if a.transfer != nil && m.Parts == a.transfer.PartsMade() { // otherwise it refers to an earlier transfer
			a.acknowledgedParts = m.Parts
		}
	default:
		a.recordAcknowledged(incarnation, m.Seq, now)
	}
	return true
}
