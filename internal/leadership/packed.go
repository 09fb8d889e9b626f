package leadership

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// The membership record is one value of the state service, whose size is bounded. With many shards the plain form,
// which repeats the members' names and the term for each, outgrows it: 950 shards and three members take 106 KB of 64.
// From packedFrom shards on the record is written in a packed form, which names members by their index; a record of
// either form is read. Controllers that know the plain form alone can't read the packed one, so a deployment grows past
// packedFrom shards only once all of its controllers do.

// packedFrom is the number of shards from which on the packed form is written.
const packedFrom = 64

// plainRecord has the record's fields and none of its methods.
type plainRecord Record

// storedRecord is the record as it is written: with Items, or with Packed in their place.
type storedRecord struct {
	*plainRecord
	Items  map[string]Shard       `json:"items,omitempty"`
	Packed map[string]packedShard `json:"packed,omitempty"`
}

// packedShard is a shard by the indices of its members among the record's, in order.
type packedShard struct {
	owner        int
	age          uint64 // terms since the owner took it
	needsBarrier bool
	inSync       []int
}

// nobody is the index of an owner that is no member.
const noMember = -1

// MarshalJSON gives the plain form, or the packed one if there are many shards.
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

// UnmarshalJSON reads either form.
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

// pack gives the shards in packed form; false if one of them names an owner or a replica that is no member.
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

// unpack takes shards in from the packed form.
func (r *Record) unpack(packed map[string]packedShard) error {
	members := r.Members()
	r.Shards = make(map[string]Shard, len(packed))
	for _, name := range slices.Sorted(maps.Keys(packed)) {
		p := packed[name]
		if p.age > r.Term {
			return fmt.Errorf("membership record: shard %q was taken before the first term", name)
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

// barrierMark is the second number of a packed shard whose owner has to pass the barrier; others have 0 there.
const barrierMark = 1

// MarshalJSON gives [owner, barrier, age, replicas in sync ...].
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

// fixedNumbers is how many numbers a packed shard has before its replicas.
const fixedNumbers = 3

// UnmarshalJSON reads what MarshalJSON gives.
func (p *packedShard) UnmarshalJSON(data []byte) error {
	var numbers []uint64
	if err := json.Unmarshal(data, &numbers); err != nil {
		return err
	}
	if len(numbers) < fixedNumbers {
		return fmt.Errorf("membership record: packed shard of %d numbers, at least %d expected",
			len(numbers), fixedNumbers)
	}
	const most = 1 << 30 // indices beyond are refused by unpack, and fit an int
	*p = packedShard{
		owner:        int(min(numbers[0], most)),
		needsBarrier: numbers[1] == barrierMark,
		age:          numbers[2],
		inSync:       []int{},
	}
	for _, index := range numbers[fixedNumbers:] {
		p.inSync = append(p.inSync, int(min(index, most)))
	}
	return nil
}
