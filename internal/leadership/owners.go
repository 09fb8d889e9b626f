package leadership

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ReplicasPerShard is the number of members besides the owner that hold a replica of a shard. Work is lost only if the
// owner and all of them fail within one lease.
const ReplicasPerShard = 2

// Ranked orders nodes for a key by rendezvous hashing, best first.
func Ranked(key string, nodes []string) []string {
	type scored struct {
		node  string
		score uint64
	}
	all := make([]scored, len(nodes))
	for i, node := range nodes {
		all[i] = scored{node, xxhash.Sum64String(node + "\x00" + key)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.node < b.node:
			return -1
		}
		return 1
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.node
	}
	return out
}

// AssignOwners returns the preferred owner of each shard: the highest-ranked node by rendezvous hashing that does not
// yet own its even share of the shards.
func AssignOwners(shards, nodes []string) map[string]string {
	shards = slices.Sorted(slices.Values(shards))
	share := (len(shards) + len(nodes) - 1) / max(1, len(nodes))
	load, preferred := map[string]int{}, map[string]string{}
	for _, shard := range shards {
		for _, node := range Ranked(shard, nodes) {
			if load[node] < share {
				load[node]++
				preferred[shard] = node
				break
			}
		}
	}
	return preferred
}

// PreferredOwners returns the owner that AssignOwners gives each shard of the record. The result is cached: callers
// must not modify it, and the record must not change after the first call.
func (r *Record) PreferredOwners() map[string]string {
	if r.preferredOwners == nil {
		r.preferredOwners = AssignOwners(slices.Collect(maps.Keys(r.Shards)), r.Members())
	}
	return r.preferredOwners
}

// ReplicaHolders returns the members that should hold a replica of a shard besides its owner: the preferred owner, so
// that the shard can be handed over to it, then the highest-ranked reachable members. It returns ReplicasPerShard
// members, or all reachable ones if there are fewer.
func (r *Record) ReplicaHolders(name, owner string, reachable func(node string) bool) []string {
	var others []string
	for _, node := range r.Members() {
		if node != owner && reachable(node) {
			others = append(others, node)
		}
	}
	if len(others) <= ReplicasPerShard {
		return others
	}
	others = Ranked(name, others)
	if at := slices.Index(others, r.PreferredOwners()[name]); at >= ReplicasPerShard {
		others[0], others[at] = others[at], others[0]
	}
	return others[:ReplicasPerShard]
}

// withoutSurplus removes the members that are not holders from those in sync, but only once all holders are in sync. No
// holders means that any member may hold a replica.
func withoutSurplus(inSync, holders []string) []string {
	if len(holders) == 0 {
		return inSync
	}
	for _, holder := range holders {
		if !slices.Contains(inSync, holder) {
			return inSync
		}
	}
	return slices.DeleteFunc(inSync, func(node string) bool { return !slices.Contains(holders, node) })
}
