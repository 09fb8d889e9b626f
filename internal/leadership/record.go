package leadership

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// FleetShard is the shard for renting and returning machines. Every other shard is a team.
const FleetShard = "fleet"

// Shard is the record's entry for a unit of ownership: a team, or the fleet.
type Shard struct {
	Owner        string   `json:"owner"`
	SinceTerm    uint64   `json:"since"`             // term in which the owner acquired the shard
	InSync       []string `json:"in_sync"`           // replicas that know every started task
	NeedsBarrier bool     `json:"barrier,omitempty"` // the owner was not in sync and first waits for all machines
}

// Record is the membership record, the only authority on who owns what. It is stored as one value in the state service.
type Record struct {
	Term        uint64            `json:"term"`
	Nodes       map[string]uint64 `json:"nodes"` // incarnation by member
	Shards      map[string]Shard  `json:"items"`
	Unreachable []string          `json:"deaf,omitempty"` // members that agents cannot reach

	// Epoch, FirstTerm and StoreID identify the state service's data that the record belongs to. After the state
	// service loses data, a new epoch begins, and FirstTerm is its first term. StoreID is a random name that no other
	// epoch has.
	Epoch            uint64 `json:"generation,omitempty"`
	FirstTerm        uint64 `json:"first,omitempty"`
	StoreID          string `json:"store,omitempty"`
	PreviousVersion  uint64 `json:"after,omitempty"`  // version of the record that this one replaced
	RosterIncomplete bool   `json:"census,omitempty"` // machines may be missing from the roster
	DataLost         bool   `json:"lost,omitempty"`   // jobs that no controller remembers may be lost

	preferredOwners map[string]string // cached by PreferredOwners
}

// Clone returns a deep copy. Nil maps of members and shards become empty ones.
func (r *Record) Clone() *Record {
	c := new(Record)
	*c = *r
	c.preferredOwners = nil
	c.Nodes, c.Shards, c.Unreachable = maps.Clone(r.Nodes), maps.Clone(r.Shards), slices.Clone(r.Unreachable)
	for name, shard := range c.Shards {
		shard.InSync = slices.Clone(shard.InSync)
		c.Shards[name] = shard
	}
	if c.Nodes == nil {
		c.Nodes = map[string]uint64{}
	}
	if c.Shards == nil {
		c.Shards = map[string]Shard{}
	}
	return c
}

// Members returns the names of the record's members in sorted order.
func (r *Record) Members() []string { return slices.Sorted(maps.Keys(r.Nodes)) }

// IsMember reports whether the record lists this incarnation of a controller.
func (r *Record) IsMember(node string, incarnation uint64) bool { return r.Nodes[node] == incarnation }

// OwnerOf returns the owner of a shard, or "" if there is no such shard.
func (r *Record) OwnerOf(shard string) string { return r.Shards[shard].Owner }

// Home returns the controller that a machine's agent reports to, chosen by rendezvous hashing. Members that agents
// cannot reach are chosen only if all members are unreachable.
func (r *Record) Home(machine string) string {
	if best := r.home(machine, r.Unreachable); best != "" {
		return best
	}
	return r.home(machine, nil)
}

func (r *Record) home(machine string, excluded []string) string {
	best, score := "", uint64(0)
	for node := range r.Nodes {
		if slices.Contains(excluded, node) {
			continue
		}
		if s := xxhash.Sum64String(node + "\x00" + machine); best == "" || s > score || (s == score && node < best) {
			best, score = node, s
		}
	}
	return best
}
