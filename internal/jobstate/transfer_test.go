package jobstate

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
)

// partBytesForTests is a part size at which a replica of a few dozen tasks needs several parts.
const partBytesForTests = 600

// transferModel is an owner and the receiver of its replica, with an ordered connection that may be lost.
type transferModel struct {
	t         *testing.T
	rng       *rand.Rand
	owner     *Replica
	transfer  *Transfer
	inFlight  []any // Part or Delta, in the order sent
	replica   *Replica
	incoming  *Incoming
	completed int // number of completely received replicas
}

// change makes a random change to the owner's replica and sends its delta while a transfer is under way.
func (m *transferModel) change() {
	key := TaskID{fmt.Sprint("job-", m.rng.IntN(5)), m.rng.IntN(12)}
	d := Delta{Seq: m.owner.Seq + 1}
	switch m.rng.IntN(5) {
	case 0, 1:
		d.Placed = []Assignment{{TaskID: key, Attempt: m.rng.Uint64N(1000), Machine: fmt.Sprint("m-", m.rng.IntN(9)), CPUs: 1}}
	case 2:
		d.Released = []TaskID{key}
	case 3:
		d.Done, d.Released = []TaskID{key}, []TaskID{key}
	default:
		if m.rng.IntN(4) == 0 {
			d.DroppedJob = key.Job
		}
	}
	if err := m.owner.Apply(d); err != nil {
		m.t.Fatal(err)
	}
	if m.transfer != nil {
		m.inFlight = append(m.inFlight, d)
	}
}

// send sends the next part, and begins a transfer if there is none.
func (m *transferModel) send() {
	if m.transfer == nil {
		m.transfer = NewTransfer(m.owner)
		m.transfer.maxPartBytes = partBytesForTests
	}
	if !m.transfer.Ended() {
		p := m.transfer.Next(m.owner)
		done := DoneTasks{}
		for job, set := range p.Done { // copied as by encoding
			done[job] = set.Clone()
		}
		p.Done = done
		m.inFlight = append(m.inFlight, p)
	}
}

// receive processes the next message.
func (m *transferModel) receive() {
	if len(m.inFlight) == 0 {
		return
	}
	next := m.inFlight[0]
	m.inFlight = m.inFlight[1:]
	var err error
	switch x := next.(type) {
	case Part:
		if x.Number == 0 {
			m.incoming = NewIncoming()
		}
		var whole *Replica
		if whole, err = m.incoming.AddPart(x); whole != nil {
			m.replica, m.incoming = whole, nil
			m.completed++
		}
	case Delta:
		if m.incoming != nil {
			err = m.incoming.Apply(x)
		} else {
			err = m.replica.Apply(x)
		}
	}
	if err != nil {
		m.t.Fatalf("receiving in order: %v", err)
	}
}

// disconnect loses the connection and all messages in flight.
func (m *transferModel) disconnect() {
	m.inFlight, m.transfer, m.incoming = nil, nil, nil
}

// sameReplica reports whether two replicas are equal.
func sameReplica(a, b *Replica) bool {
	if a.Seq != b.Seq || len(a.Assignments) != len(b.Assignments) || len(a.Done) != len(b.Done) {
		return false
	}
	for k, h := range a.Assignments {
		if b.Assignments[k] != h {
			return false
		}
	}
	for job, done := range a.Done {
		if b.Done[job] == nil || !b.Done[job].SymmetricDifference(done).None() {
			return false
		}
	}
	return true
}

// TestTransferModel checks that a receiver of all parts and deltas has exactly the owner's replica, whatever changes
// between the parts and however often the connection is lost.
func TestTransferModel(t *testing.T) {
	parts := 0
	for seed := range uint64(2000) {
		m := &transferModel{t: t, rng: rand.New(rand.NewPCG(seed, 21)), owner: NewReplica()}
		for range 10 + m.rng.IntN(60) {
			m.change()
		}
		for range 200 {
			switch m.rng.IntN(12) {
			case 0, 1, 2, 3:
				m.change()
			case 4, 5, 6:
				m.send()
			case 7:
				if m.rng.IntN(8) == 0 {
					m.disconnect()
				}
			default:
				m.receive()
			}
		}
		for m.transfer == nil || !m.transfer.Ended() {
			m.send()
		}
		parts = max(parts, m.transfer.PartsMade())
		for len(m.inFlight) > 0 {
			m.receive()
		}
		if m.completed == 0 || !sameReplica(m.owner, m.replica) {
			t.Fatalf("seed %d: after %d complete transfers the receiver has %+v, the owner %+v", seed, m.completed, m.replica, m.owner)
		}
	}
	if parts < 4 {
		t.Errorf("the largest transfer had %d parts, want at least 4", parts)
	}
}

// TestPartsOutOfOrder checks that a missing or repeated part, and a part or delta after a missing delta, is an error.
func TestPartsOutOfOrder(t *testing.T) {
	owner := NewReplica()
	place := func(index int) Delta {
		return Delta{Seq: owner.Seq + 1, Placed: []Assignment{{TaskID: TaskID{"job-1", index}, Attempt: 1, Machine: "m"}}}
	}
	for i := range 30 {
		if err := owner.Apply(place(i)); err != nil {
			t.Fatal(err)
		}
	}
	transfer := NewTransfer(owner)
	transfer.maxPartBytes = partBytesForTests
	first, second, third := transfer.Next(owner), transfer.Next(owner), transfer.Next(owner)
	afterFirst := func() *Incoming {
		in := NewIncoming()
		if _, err := in.AddPart(first); err != nil {
			t.Fatal(err)
		}
		return in
	}
	if _, err := afterFirst().AddPart(third); err == nil {
		t.Error("the part after a missing one is accepted")
	}
	if _, err := afterFirst().AddPart(first); err == nil {
		t.Error("a part is accepted twice")
	}
	later := second
	later.Seq++
	if _, err := afterFirst().AddPart(later); err == nil {
		t.Error("a part is accepted without the delta before it")
	}
	if err := afterFirst().Apply(Delta{Seq: first.Seq + 2}); err == nil {
		t.Error("a delta is accepted without the one before it")
	}
}

// TestPartsAreBounded checks that the parts of a large replica are well below the message size limit, and that a
// replica is sent in one message exactly if it fits.
func TestPartsAreBounded(t *testing.T) {
	const maxMessageBytes = 4 << 20
	r := NewReplica()
	for i := range 40000 {
		k := TaskID{"job-000001", i}
		r.Assignments[k] = Assignment{TaskID: k, Attempt: AttemptID(1<<28, uint64(i)), Machine: "n-000001", Zone: "santiago-centro", CPUs: 1.5, GPUs: 0.5, Memory: 12.25, Incarnation: 1 << 40}
	}
	for i := range 100 {
		done := NewReplica()
		for task := range 100000 {
			done.markDone(TaskID{"job", task})
		}
		r.Done[fmt.Sprint("job-", i)] = done.Done["job"]
	}
	if r.FitsOneMessage() {
		t.Error("the large replica is considered to fit one message")
	}
	for transfer := NewTransfer(r); !transfer.Ended(); {
		if size := len(encoded(t, transfer.Next(r))); size > maxMessageBytes/2 {
			t.Fatalf("a part has %d bytes", size)
		}
	}
	small := NewReplica()
	for i := range 15000 {
		k := TaskID{"job-000001", i}
		small.Assignments[k] = r.Assignments[k]
	}
	if !small.FitsOneMessage() {
		t.Error("a replica of 15,000 tasks is considered not to fit one message")
	}
	if size := len(encoded(t, small.Copy())); size > maxMessageBytes {
		t.Errorf("a whole replica has %d bytes", size)
	}
}

// encoded returns the JSON encoding of a message.
func encoded(t *testing.T, message any) []byte {
	t.Helper()
	b, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
