package leadership

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// The membership record is one value in the state service, which limits the size of a value. With many shards the plain
// form, which repeats the members' names and the term for each shard, exceeds the limit: 950 shards and three members
// need 106 KB. The limit may be as low as 2 KB, which the plain form exceeds with about 20 shards and the packed one with
// about 60. Records with packedFrom shards or more are therefore written in a packed form, which refers to members by
// index. Both forms can be read. Controllers of versions that know only the plain form cannot read the packed one, so a
// deployment may have packedFrom shards only once all of its controllers can.

// packedFrom is the number of shards from which the packed form is written.
const packedFrom = 12

// plainRecord has the record's fields but none of its methods, so that encoding it does not recurse.
type plainRecord Record

// storedRecord is the encoded form of a record, with either Items or Packed set.
type storedRecord struct {
	*plainRecord
	Items  map[string]Shard       `json:"items,omitempty"`
	Packed map[string]packedShard `json:"packed,omitempty"`
}

// packedShard is a shard whose members are indices into the record's sorted members.
type packedShard struct {
	owner        int
	age          uint64 // number of terms since the owner acquired the shard
	needsBarrier bool
	inSync       []int
}

// noMember is the index of a node that is not a member, as slices.Index returns it.
const noMember = -1

// MarshalJSON encodes the plain form, or the packed form if there are many shards.
func (r *Record) MarshalJSON() ([]byte, error) {
	stored := storedRecord{plainRecord: (*plainRecord)(r), Items: r.Shards}
	if len(r.Shards) >= packedFrom {
		packed, ok := r.pack()
		if ok {
			stored.Items, stored.Packed = nil, packed
		}
	}
	return json.Marshal(stored)
}

// UnmarshalJSON decodes either form.
func (r *Record) UnmarshalJSON(data []byte) error {
	stored := storedRecord{plainRecord: (*plainRecord)(r)}
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	r.Shards = stored.Items
	if stored.Packed == nil {
		return nil
	}
	return r.unpack(stored.Packed)
}

// pack returns the shards in packed form. It returns false if a shard names an owner or a replica that is not a member,
// or a term later than the record's.
func (r *Record) pack() (map[string]packedShard, bool) {
	members := r.Members()
	packed := make(map[string]packedShard, len(r.Shards))
	for name, shard := range r.Shards {
		if shard.SinceTerm > r.Term {
			return nil, false
		}
		p := packedShard{
			owner:        slices.Index(members, shard.Owner),
			age:          r.Term - shard.SinceTerm,
			needsBarrier: shard.NeedsBarrier,
			inSync:       []int{},
		}
		if p.owner == noMember {
			return nil, false
		}
		for _, node := range shard.InSync {
			index := slices.Index(members, node)
			if index == noMember {
				return nil, false
			}
			p.inSync = append(p.inSync, index)
		}
		packed[name] = p
	}
	return packed, true
}

// unpack replaces the record's shards with those of the packed form.
func (r *Record) unpack(packed map[string]packedShard) error {
	members := r.Members()
	r.Shards = make(map[string]Shard, len(packed))
	for _, name := range slices.Sorted(maps.Keys(packed)) {
		p := packed[name]
		if p.age > r.Term {
			return fmt.Errorf("membership record: shard %q was acquired before the first term", name)
		}
		shard := Shard{SinceTerm: r.Term - p.age, NeedsBarrier: p.needsBarrier, InSync: []string{}}
		for _, index := range append([]int{p.owner}, p.inSync...) {
			if index < 0 || index >= len(members) {
				return fmt.Errorf("membership record: shard %q names member %d of %d", name, index, len(members))
			}
		}
		shard.Owner = members[p.owner]
		for _, index := range p.inSync {
			shard.InSync = append(shard.InSync, members[index])
		}
		r.Shards[name] = shard
	}
	return nil
}

// barrierMark is the second number of a packed shard whose owner has to pass the barrier. It is 0 for other shards.
const barrierMark = 1

// MarshalJSON encodes a shard as [owner, barrier, age, in-sync replica ...].
func (p packedShard) MarshalJSON() ([]byte, error) {
	mark := uint64(0)
	if p.needsBarrier {
		mark = barrierMark
	}
	numbers := []uint64{uint64(p.owner), mark, p.age}
	for _, index := range p.inSync {
		numbers = append(numbers, uint64(index))
	}
	return json.Marshal(numbers)
}

// fixedNumbers is how many numbers precede the replicas in a packed shard.
const fixedNumbers = 3

// UnmarshalJSON decodes the form that MarshalJSON writes.
func (p *packedShard) UnmarshalJSON(data []byte) error {
	var numbers []uint64
	if err := json.Unmarshal(data, &numbers); err != nil {
		return err
	}
	if len(numbers) < fixedNumbers {
		return fmt.Errorf("membership record: packed shard of %d numbers, at least %d expected",
			len(numbers), fixedNumbers)
	}
	const maxIndex = 1 << 30 // larger indices are clamped to it: it fits an int, and unpack rejects it
	*p = packedShard{
		owner:        int(min(numbers[0], maxIndex)),
		needsBarrier: numbers[1] == barrierMark,
		age:          numbers[2],
		inSync:       []int{},
	}
	for _, index := range numbers[fixedNumbers:] {
		p.inSync = append(p.inSync, int(min(index, maxIndex)))
	}
	return nil
}
