package shards

import (
	"iter"

	"topazhollow/internal/jobstate"
)

// Held holds a controller's replicas of shards that other controllers own.
type Held struct {
	replicas map[string]*heldReplica
}

// heldReplica is a replica of a team's progress, held on behalf of the shard's owner.
type heldReplica struct {
	sinceTerm         uint64             // term in which the owner that sent it acquired the shard; 0: no owner sent it
	replica           *jobstate.Replica  // nil if there is no complete one yet
	incoming          *jobstate.Incoming // the replica being received in parts; nil if none
	incomingSinceTerm uint64
}

// NewHeld returns an empty set of replicas.
func NewHeld() *Held { return &Held{replicas: map[string]*heldReplica{}} }

// Replica returns the replica of a shard, or nil if there is no complete one.
func (h *Held) Replica(shard string) *jobstate.Replica {
	if r := h.replicas[shard]; r != nil {
		return r.replica
	}
	return nil
}

// Has reports whether a complete or partial replica of a shard is held.
func (h *Held) Has(shard string) bool { return h.replicas[shard] != nil }

// All iterates over the complete replicas in no particular order.
func (h *Held) All() iter.Seq[*jobstate.Replica] {
	return func(yield func(*jobstate.Replica) bool) {
		for _, r := range h.replicas {
			if r.replica != nil && !yield(r.replica) {
				return
			}
		}
	}
}

// Put stores a complete replica. sinceTerm is the term in which the owner that will update it acquired the shard.
func (h *Held) Put(shard string, sinceTerm uint64, replica *jobstate.Replica) {
	h.replicas[shard] = &heldReplica{sinceTerm: sinceTerm, replica: replica}
}

// Keep stores the state that this controller had of a shard that it gave up. It may have changes that the new owner
// lacks, so no delta of that owner follows it: the next message that is applied is a copy.
func (h *Held) Keep(shard string, replica *jobstate.Replica) {
	h.replicas[shard] = &heldReplica{replica: replica}
}

// Drop discards the replica of a shard.
func (h *Held) Drop(shard string) { delete(h.replicas, shard) }

// DropAll discards all replicas.
func (h *Held) DropAll() { clear(h.replicas) }

// ReceiveCopy stores a complete replica sent by the shard's owner.
func (h *Held) ReceiveCopy(m *Copy) Acknowledgement {
	h.Put(m.Shard, m.SinceTerm, jobstate.FromCopy(m.Copy))
	return Acknowledgement{Shard: m.Shard, SinceTerm: m.SinceTerm, Seq: m.Copy.Seq}
}

// ReceivePart handles one part of a replica sent by the shard's owner. The previous replica is kept until the new one
// is complete.
func (h *Held) ReceivePart(m *CopyPart) Acknowledgement {
	r := h.replicas[m.Shard]
	if r == nil {
		r = &heldReplica{}
		h.replicas[m.Shard] = r
	}
	if m.Part.Number == 0 {
		r.incoming, r.incomingSinceTerm = jobstate.NewIncoming(), m.SinceTerm
	}
	if !r.isReceiving(m.SinceTerm) {
		return CopyRequest(m.Shard, m.SinceTerm)
	}
	complete, err := r.incoming.AddPart(m.Part)
	switch {
	case err != nil:
		r.incoming = nil
		return CopyRequest(m.Shard, m.SinceTerm)
	case complete != nil:
		h.Put(m.Shard, m.SinceTerm, complete)
		return Acknowledgement{Shard: m.Shard, SinceTerm: m.SinceTerm, Seq: complete.Seq}
	}
	return Acknowledgement{Shard: m.Shard, SinceTerm: m.SinceTerm, Parts: m.Part.Number + 1}
}

// ReceiveDeltas applies changes sent by the shard's owner. While a replica is being received in parts, deltas are not
// answered: they are acknowledged once the replica is complete.
func (h *Held) ReceiveDeltas(m *Deltas) (answer Acknowledgement, due bool) {
	r := h.replicas[m.Shard]
	if r == nil {
		return CopyRequest(m.Shard, m.SinceTerm), true
	}
	if r.isReceiving(m.SinceTerm) {
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

// isReceiving reports whether a replica from the owner of the given term is being received in parts.
func (r *heldReplica) isReceiving(sinceTerm uint64) bool {
	return r.incoming != nil && r.incomingSinceTerm == sinceTerm
}

// applyAll applies deltas up to the first that fails.
func applyAll(deltas []jobstate.Delta, apply func(jobstate.Delta) error) error {
	for _, d := range deltas {
		if err := apply(d); err != nil {
			return err
		}
	}
	return nil
}
