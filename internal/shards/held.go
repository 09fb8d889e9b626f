package shards

import (
	"iter"

	"topazhollow/internal/jobstate"
)

// Held is the replicas that a controller holds of shards that others own.
type Held struct {
	replicas map[string]*heldReplica
}

// heldReplica is a team's progress, held for its owner.
type heldReplica struct {
	sinceTerm         uint64             // term at which the owner took the shard
	replica           *jobstate.Replica  // nil: none is whole yet
	incoming          *jobstate.Incoming // one that is being received in parts; nil: none is
	incomingSinceTerm uint64
}

// NewHeld holds nothing.
func NewHeld() *Held { return &Held{replicas: map[string]*heldReplica{}} }

// Replica is the replica that is held of a shard; nil if none is whole.
func (h *Held) Replica(shard string) *jobstate.Replica {
	if r := h.replicas[shard]; r != nil {
		return r.replica
	}
	return nil
}

// Has says whether a replica of a shard, or a part of one, is held.
func (h *Held) Has(shard string) bool { return h.replicas[shard] != nil }

// All lists the replicas that are whole, in no order.
func (h *Held) All() iter.Seq[*jobstate.Replica] {
	return func(yield func(*jobstate.Replica) bool) {
		for _, r := range h.replicas {
			if r.replica != nil && !yield(r.replica) {
				return
			}
		}
	}
}

// Put holds a replica that this controller has as a whole, for the owner since a term.
func (h *Held) Put(shard string, sinceTerm uint64, replica *jobstate.Replica) {
	h.replicas[shard] = &heldReplica{sinceTerm: sinceTerm, replica: replica}
}

// Drop ends the holding of a shard's replica.
func (h *Held) Drop(shard string) { delete(h.replicas, shard) }

// DropAll ends the holding of all replicas.
func (h *Held) DropAll() { clear(h.replicas) }

// ReceiveCopy takes in a whole replica from the shard's owner.
func (h *Held) ReceiveCopy(m *Copy) Acknowledgement {
	h.Put(m.Shard, m.SinceTerm, jobstate.FromCopy(m.Copy))
	return Acknowledgement{Shard: m.Shard, SinceTerm: m.SinceTerm, Seq: m.Copy.Seq}
}

// ReceivePart takes in a part of a replica from the shard's owner. The replica from before is held until the new one is
// whole.
func (h *Held) ReceivePart(m *CopyPart) Acknowledgement {
	r := h.replicas[m.Shard]
	if r == nil {
		r = &heldReplica{}
		h.replicas[m.Shard] = r
	}
	if m.Part.Number == 0 {
		r.incoming, r.incomingSinceTerm = jobstate.NewIncoming(), m.SinceTerm
	}
	if !r.receives(m.SinceTerm) {
		return CopyRequest(m.Shard, m.SinceTerm)
	}
	whole, err := r.incoming.Take(m.Part)
	switch {
	case err != nil:
		r.incoming = nil
		return CopyRequest(m.Shard, m.SinceTerm)
	case whole != nil:
		h.Put(m.Shard, m.SinceTerm, whole)
		return Acknowledgement{Shard: m.Shard, SinceTerm: m.SinceTerm, Seq: whole.Seq}
	}
	return Acknowledgement{Shard: m.Shard, SinceTerm: m.SinceTerm, Parts: m.Part.Number + 1}
}

// ReceiveDeltas takes in changes from the shard's owner. No answer goes out between the parts of a replica: deltas are
// acknowledged once it is whole.
func (h *Held) ReceiveDeltas(m *Deltas) (answer Acknowledgement, due bool) {
	r := h.replicas[m.Shard]
	if r == nil {
		return CopyRequest(m.Shard, m.SinceTerm), true
	}
	if r.receives(m.SinceTerm) {
		if applyAll(m.Deltas, r.incoming.Apply) != nil {
			r.incoming = nil
			return CopyRequest(m.Shard, m.SinceTerm), true
		}
		return Acknowledgement{}, false
	}
	if r.replica == nil || r.sinceTerm != m.SinceTerm || applyAll(m.Deltas, r.replica.Apply) != nil {
		return CopyRequest(m.Shard, m.SinceTerm), true
	}
	return Acknowledgement{Shard: m.Shard, SinceTerm: m.SinceTerm, Seq: r.replica.Seq}, true
}

// receives says whether the replica of the shard's owner since a term is being received in parts.
func (r *heldReplica) receives(sinceTerm uint64) bool {
	return r.incoming != nil && r.incomingSinceTerm == sinceTerm
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
