package shards

import "topazhollow/internal/jobstate"

// Kinds of the lines between a shard's owner and its replicas, and of the request to probe machines. They stay as
// they are while controllers of several versions run beside each other. A controller that does not know
// KindCopyPart never acknowledges a part.
const (
	KindCopy            = "copy"
	KindCopyPart        = "copy_part"
	KindDeltas          = "deltas"
	KindAcknowledgement = "ack"
	KindProbe           = "knock"
)

// Message is what an owner sends a replica: a Copy, a CopyPart or Deltas.
type Message interface {
	// Kind is the kind of the line that carries the message.
	Kind() string
}

// Kind is KindCopy.
func (Copy) Kind() string { return KindCopy }

// Kind is KindCopyPart.
func (CopyPart) Kind() string { return KindCopyPart }

// Kind is KindDeltas.
func (Deltas) Kind() string { return KindDeltas }

// Copy gives a controller the whole replica of a shard.
type Copy struct {
	Shard     string        `json:"item"`
	SinceTerm uint64        `json:"since"` // term at which the sender took the shard
	Copy      jobstate.Copy `json:"copy"`
}

// CopyPart gives it a part of a replica that is too large for one message.
type CopyPart struct {
	Shard     string        `json:"item"`
	SinceTerm uint64        `json:"since"`
	Part      jobstate.Part `json:"part"`
}

// Deltas gives it changes of a replica that it has, or is being given.
type Deltas struct {
	Shard     string           `json:"item"`
	SinceTerm uint64           `json:"since"`
	Deltas    []jobstate.Delta `json:"deltas"`
}

// Acknowledgement is what a replica reports to the shard's owner.
type Acknowledgement struct {
	Shard     string `json:"item"`
	SinceTerm uint64 `json:"since"`
	Seq       uint64 `json:"seq"`             // everything up to this delta, if the fields below are empty
	Parts     int    `json:"parts,omitempty"` // so many parts of a copy; the copy is not whole yet
	NeedsCopy bool   `json:"again,omitempty"` // the replica needs a whole copy
}

// CopyRequest asks a shard's owner for its whole replica.
func CopyRequest(shard string, sinceTerm uint64) Acknowledgement {
	return Acknowledgement{Shard: shard, SinceTerm: sinceTerm, NeedsCopy: true}
}

// ProbeRequest gives homes the addresses of machines that barriers wait for.
type ProbeRequest struct {
	Addrs map[string]string `json:"addrs"` // by machine
}
