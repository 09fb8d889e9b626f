package shards

import "topazhollow/internal/jobstate"

// Kinds of the messages between a shard's owner and its replicas, and of the request to probe machines. They must not
// change, because controllers of several versions run side by side. A controller of a version that does not know
// KindCopyPart never acknowledges a part.
const (
	KindCopy            = "copy"
	KindCopyPart        = "copy_part"
	KindDeltas          = "deltas"
	KindAcknowledgement = "ack"
	KindProbe           = "knock"
)

// Message is a message from an owner to a replica: a Copy, a CopyPart or Deltas.
type Message interface {
	// Kind returns the kind of the line that carries the message.
	Kind() string
}

// Kind returns KindCopy.
func (Copy) Kind() string { return KindCopy }

// Kind returns KindCopyPart.
func (CopyPart) Kind() string { return KindCopyPart }

// Kind returns KindDeltas.
func (Deltas) Kind() string { return KindDeltas }

// Copy transfers the complete replica of a shard in one message.
type Copy struct {
	Shard     string        `json:"item"`
	SinceTerm uint64        `json:"since"` // term in which the sender acquired the shard
	Copy      jobstate.Copy `json:"copy"`
}

// CopyPart transfers one part of a replica that is too large for one message.
type CopyPart struct {
	Shard     string        `json:"item"`
	SinceTerm uint64        `json:"since"`
	Part      jobstate.Part `json:"part"`
}

// Deltas transfers changes to a replica that the receiver has or is receiving in parts.
type Deltas struct {
	Shard     string           `json:"item"`
	SinceTerm uint64           `json:"since"`
	Deltas    []jobstate.Delta `json:"deltas"`
}

// Acknowledgement is what a replica reports to the shard's owner.
type Acknowledgement struct {
	Shard     string `json:"item"`
	SinceTerm uint64 `json:"since"`
	Seq       uint64 `json:"seq"`             // last delta applied, if the fields below are empty
	Parts     int    `json:"parts,omitempty"` // number of parts received of a copy that is still incomplete
	NeedsCopy bool   `json:"again,omitempty"` // the replica needs a complete copy
}

// CopyRequest returns an acknowledgement that asks the shard's owner for a complete copy.
func CopyRequest(shard string, sinceTerm uint64) Acknowledgement {
	return Acknowledgement{Shard: shard, SinceTerm: sinceTerm, NeedsCopy: true}
}

// ProbeRequest asks the other controllers to probe those of the machines that barriers wait for that report to them.
type ProbeRequest struct {
	Addrs map[string]string `json:"addrs"` // address by machine
}
