package leadership

import (
	"maps"
	"slices"
)

// ShardStatus is what an owner knows of one of its shards.
type ShardStatus struct {
	Ready   bool            // past its barrier
	InSync  map[string]bool // replicas that acknowledged everything
	Lagging map[string]bool // replicas that are late or unreachable
	Holders []string        // who should hold a replica, by ReplicaHolders; nil: any member may
}

// UpdateShards is an owner's own change of the record: replicas get in sync or fall behind, barriers are passed, and
// with rebalance shards are handed over to their preferred owners once those are in sync. It lists the shards handed
// over. The record is nil when nothing is to change.
func UpdateShards(
	r *Record, self string, statuses map[string]ShardStatus, rebalance bool,
) (next *Record, handed []string) {
	preferred := r.PreferredOwners()
	changed := map[string]Shard{}
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		shard, known := r.Shards[name]
		s := statuses[name]
		if !known || shard.Owner != self || !s.Ready {
			continue
		}
		kept, differs := shard.withReplicasInSync(r, self, &s)
		if to := preferred[name]; rebalance && to != self && slices.Contains(kept.InSync, to) && s.InSync[to] {
			kept = kept.handOver(to, self, r.Term+1, &s)
			handed, differs = append(handed, name), true
		}
		if differs {
			changed[name] = kept
		}
	}
	if len(changed) == 0 {
		return nil, nil
	}
	next = r.Clone()
	maps.Copy(next.Shards, changed)
	if len(handed) > 0 {
		next.Term = r.Term + 1
	}
	return next, handed
}

// withReplicasInSync is the shard as its owner sees it: the barrier passed, and in sync those replicas that
// acknowledged everything and do not lag. It says whether that differs.
func (shard Shard) withReplicasInSync(r *Record, self string, s *ShardStatus) (kept Shard, differs bool) {
	kept, differs = shard, shard.NeedsBarrier
	kept.NeedsBarrier, kept.InSync = false, slices.Clone(shard.InSync)
	for node := range s.InSync {
		if _, member := r.Nodes[node]; member && node != self && !slices.Contains(kept.InSync, node) {
			kept.InSync = append(kept.InSync, node)
			differs = true
		}
	}
	before := len(kept.InSync)
	kept.InSync = slices.DeleteFunc(kept.InSync, func(node string) bool { return s.Lagging[node] })
	kept.InSync = withoutSurplus(kept.InSync, s.Holders)
	slices.Sort(kept.InSync)
	return kept, differs || len(kept.InSync) != before
}

// handOver gives the shard to another owner since a term; this controller becomes a replica.
func (shard Shard) handOver(to, self string, term uint64, s *ShardStatus) Shard {
	shard.Owner, shard.SinceTerm = to, term
	shard.InSync = slices.DeleteFunc(shard.InSync, func(node string) bool { return node == to || !s.InSync[node] })
	shard.InSync = append(shard.InSync, self)
	slices.Sort(shard.InSync)
	return shard
}
