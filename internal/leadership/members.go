package leadership

import (
	"maps"
	"slices"
)

// Presence is the state of a controller's key in the state service. The key exists while the controller's lease is
// valid.
type Presence struct {
	Incarnation uint64
	Version     uint64 // of the leased key
}

// Condition is a precondition of a change of the record: the node's key has this version (0: the key does not exist).
type Condition struct {
	Node    string
	Version uint64
}

// ReconcileMembers returns the next record when controllers left or joined or a shard has no owner, with the conditions
// under which it is safe to write; nil when nothing changes. Each shard of an absent owner fails over to its
// highest-ranked in-sync replica. Without one, it fails over to its preferred owner, which then has to pass the full
// barrier.
func ReconcileMembers(r *Record, shards []string, live map[string]Presence) (*Record, []Condition) {
	if r.matchesPresences(shards, live) {
		return nil, nil
	}
	live = r.firstChanges(live)
	next := r.Clone()
	left := next.removeAbsent(r, live)
	retained := maps.Clone(next.Nodes) // members whose process, and so its memory, is unchanged
	joined, added := next.addPresent(r, live)
	if len(next.Nodes) == 0 {
		return nil, nil
	}
	members := next.Members()
	preferred := AssignOwners(shards, members)
	next.Term = r.Term + 1
	moved := false
	for _, name := range shards {
		if next.failover(name, retained, preferred[name], members, len(r.Shards) > 0) {
			moved = true
		}
	}
	if len(left) == 0 && !added && !moved {
		return nil, nil
	}
	return next, append(left, joined...)
}

// maxMemberChanges is how many members a change adds or removes at most. Each needs a condition, and a transaction may have
// as few as 16 conditions: four per operation.
const maxMemberChanges = 12

// firstChanges returns the presences with those controllers as in the record that differ from it beyond the first
// maxMemberChanges. They are left to later changes.
func (r *Record) firstChanges(live map[string]Presence) map[string]Presence {
	names := map[string]bool{}
	for name := range live {
		names[name] = true
	}
	for name := range r.Nodes {
		names[name] = true
	}
	limited, changes := maps.Clone(live), 0
	for _, name := range slices.Sorted(maps.Keys(names)) {
		incarnation, member := r.Nodes[name]
		presence, present := live[name]
		if member == present && incarnation == presence.Incarnation {
			continue
		}
		if changes++; changes <= maxMemberChanges {
			continue
		}
		if delete(limited, name); member {
			limited[name] = Presence{Incarnation: incarnation}
		}
	}
	return limited
}

// matchesPresences reports whether the members are exactly the controllers that are present, and each shard is owned by
// one of them. Controllers call ReconcileMembers many times a second; without this check, each call would rank all
// shards.
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

// removeAbsent removes the members that are absent or whose process was replaced.
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

// addPresent makes every present controller a member, and reports whether any was added. The conditions cover only
// nodes that the previous record did not list: removeAbsent returns those of the others.
func (r *Record) addPresent(before *Record, live map[string]Presence) (conditions []Condition, added bool) {
	for _, node := range slices.Sorted(maps.Keys(live)) {
		if _, member := r.Nodes[node]; member {
			continue
		}
		added = true
		r.Nodes[node] = live[node].Incarnation
		if _, listed := before.Nodes[node]; !listed {
			conditions = append(conditions, Condition{node, live[node].Version})
		}
	}
	return conditions, added
}

// failover assigns a new owner to a shard that is new or whose owner is not in retained, and reports whether it did.
// retained holds the members whose process, and so its memory, is unchanged. If no replica is in sync, fallback becomes
// the owner. hadShards means that the previous record had shards, so that even a shard that is new in the record may
// have tasks on machines.
func (r *Record) failover(
	name string, retained map[string]uint64, fallback string, members []string, hadShards bool,
) bool {
	shard, known := r.Shards[name]
	shard.InSync = slices.DeleteFunc(shard.InSync, func(node string) bool { _, ok := retained[node]; return !ok })
	_, ownerRetained := retained[shard.Owner]
	if known && ownerRetained {
		r.Shards[name] = shard
		return false
	}
	neededBarrier := shard.NeedsBarrier
	shard.SinceTerm, shard.Owner, shard.NeedsBarrier = r.Term, fallback, known || hadShards
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

// WithReachability returns the next record with a member excluded from the agents' homes, or included again; nil if
// that changes nothing. It raises the term, because homes change only with the term.
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
