package leadership

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// FleetShard is the shard of renting and returning machines; every other shard is a team.
const FleetShard = "fleet"

// Shard is one thing that a controller owns: a team, or the fleet.
type Shard struct {
	Owner        string   `json:"owner"`
	SinceTerm    uint64   `json:"since"`             // term at which the owner took it
	InSync       []string `json:"in_sync"`           // replicas that know every started task
	NeedsBarrier bool     `json:"barrier,omitempty"` // the owner was not in sync: it waits for all machines first
}

// Record is the membership record: the only source of who owns what. It is one value of the state service.
type Record struct {
	Term        uint64            `json:"term"`
	Nodes       map[string]uint64 `json:"nodes"` // members with their incarnations
	Shards      map[string]Shard  `json:"items"`
	Unreachable []string          `json:"deaf,omitempty"` // members that agents cannot reach

	// Which data of the state service the record belongs to: after it lost some, the next epoch begins, with the
	// term FirstTerm. StoreID is a drawn name that no other epoch has.
	Epoch            uint64 `json:"generation,omitempty"`
	FirstTerm        uint64 `json:"first,omitempty"`
	StoreID          string `json:"store,omitempty"`
	PreviousVersion  uint64 `json:"after,omitempty"`  // version of the record that this one replaced
	RosterIncomplete bool   `json:"census,omitempty"` // the roster may lack machines
	DataLost         bool   `json:"lost,omitempty"`   // jobs may be lost that nobody remembers

	preferredOwners map[string]string // by PreferredOwners, once that was called
}

// Clone is a deep copy.
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

// Members is the record's nodes in order.
func (r *Record) Members() []string { return slices.Sorted(maps.Keys(r.Nodes)) }

// IsMember says whether the record names that process of a controller.
func (r *Record) IsMember(node string, incarnation uint64) bool { return r.Nodes[node] == incarnation }

// OwnerOf is the owner of a shard; "" if there is no such shard.
func (r *Record) OwnerOf(shard string) string { return r.Shards[shard].Owner }

// Home is the controller that a machine's agent reports to. Members that agents cannot reach are homes only if all are
// such.
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
