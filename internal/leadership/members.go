package leadership

import (
	"maps"
	"slices"
)

// Presence is a controller's key in the state service, which is there while its lease lives.
type Presence struct {
	Incarnation uint64
	Version     uint64 // of the key that the lease holds
}

// Condition is a fact that a change of the record rests on: the node's key has this version (0: it is not there).
type Condition struct {
	Node    string
	Version uint64
}

// ReconcileMembers is the next record when controllers left or joined or a shard has no owner, with the conditions that
// make it safe; nil when nothing is to change. Each shard of an absent owner fails over to its highest-ranked replica
// in sync; without one, to its preferred owner, who then has to pass the full barrier.
func ReconcileMembers(r *Record, shards []string, live map[string]Presence) (*Record, []Condition) {
	if r.matchesPresences(shards, live) {
		return nil, nil
	}
	next := r.Clone()
	left := next.removeAbsent(r, live)
	stays := maps.Clone(next.Nodes) // members that kept their memory
	joined, came := next.addPresent(r, live)
	if len(next.Nodes) == 0 {
		return nil, nil
	}
	members := next.Members()
	preferred := AssignOwners(shards, members)
	next.Term = r.Term + 1
	moved := false
	for _, name := range shards {
		if next.failover(name, stays, preferred[name], members, len(r.Shards) > 0) {
			moved = true
		}
	}
	if len(left) == 0 && !came && !moved {
		return nil, nil
	}
	return next, append(left, joined...)
}

// matchesPresences says whether the members are just those that are present and each shard is owned by one of them.
// Controllers look at that many times a second; without it each look would rank all shards.
func (r *Record) matchesPresences(shards []string, live map[string]Presence) bool {
	if len(r.Nodes) == 0 || len(live) != len(r.Nodes) {
		return false
	}
	for node, incarnation := range r.Nodes {
		if p, present := live[node]; !present || p.Incarnation != incarnation {
			return false
		}
	}
	for _, name := range shards {
		shard, known := r.Shards[name]
		if _, member := r.Nodes[shard.Owner]; !known || !member {
			return false
		}
	}
	return true
}

// removeAbsent takes the members of a record out that are gone or whose process is another.
func (r *Record) removeAbsent(before *Record, live map[string]Presence) (conditions []Condition) {
	for _, node := range before.Members() {
		p, ok := live[node]
		if ok && p.Incarnation == before.Nodes[node] {
			continue
		}
		delete(r.Nodes, node)
		r.Unreachable = slices.DeleteFunc(r.Unreachable, func(d string) bool { return d == node })
		conditions = append(conditions, Condition{node, p.Version})
	}
	return conditions
}

// addPresent makes all that are present members, and says whether any was none. The conditions
// are those of nodes that the record before did not name: removeAbsent has those of the others.
func (r *Record) addPresent(before *Record, live map[string]Presence) (conditions []Condition, came bool) {
	for _, node := range slices.Sorted(maps.Keys(live)) {
		if _, member := r.Nodes[node]; member {
			continue
		}
		came = true
		r.Nodes[node] = live[node].Incarnation
		if _, listed := before.Nodes[node]; !listed {
			conditions = append(conditions, Condition{node, live[node].Version})
		}
	}
	return conditions, came
}

// failover gives a shard whose owner does not stay, or that is new, to another one, and says whether it did. Stays has
// the members that kept their memory. First owns it if no replica is in sync; recorded says that there were shards
// before, so that a task of a new one may be on a machine.
func (r *Record) failover(name string, stays map[string]uint64, first string, members []string, recorded bool) bool {
	shard, known := r.Shards[name]
	shard.InSync = slices.DeleteFunc(shard.InSync, func(node string) bool { _, ok := stays[node]; return !ok })
	_, ownerStays := stays[shard.Owner]
	if known && ownerStays {
		r.Shards[name] = shard
		return false
	}
	neededBarrier := shard.NeedsBarrier
	shard.SinceTerm, shard.Owner, shard.NeedsBarrier = r.Term, first, known || recorded
	for _, node := range Ranked(name, members) {
		if slices.Contains(shard.InSync, node) {
			shard.Owner, shard.NeedsBarrier = node, neededBarrier
			break
		}
	}
	shard.InSync = slices.DeleteFunc(shard.InSync, func(node string) bool {
		return node == shard.Owner || shard.NeedsBarrier
	})
	r.Shards[name] = shard
	return true
}

// WithReachability is the next record with a member taken out of the agents' homes, or back among them; nil when that
// changes nothing. Homes move with the term only.
func WithReachability(r *Record, node string, unreachable bool) *Record {
	if _, member := r.Nodes[node]; !member || slices.Contains(r.Unreachable, node) == unreachable {
		return nil
	}
	next := r.Clone()
	next.Term++
	if unreachable {
		next.Unreachable = append(next.Unreachable, node)
		slices.Sort(next.Unreachable)
	} else {
		next.Unreachable = slices.DeleteFunc(next.Unreachable, func(name string) bool { return name == node })
	}
	return next
}
