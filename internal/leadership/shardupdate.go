package leadership

import (
	"maps"
	"slices"
)

// ShardStatus is what an owner knows about one of its shards.
type ShardStatus struct {
	Ready   bool            // the owner passed the barrier
	InSync  map[string]bool // replicas that acknowledged all changes
	Lagging map[string]bool // replicas that are late to acknowledge, or unreachable
	Holders []string        // members that should hold a replica, by ReplicaHolders; nil if any member may
}

// UpdateShards returns the record with an owner's changes to its own shards: replicas become in sync or fall out of
// sync, barriers are cleared and, if rebalance is set, shards are handed over to their preferred owners once these are
// in sync. handedOver lists the shards with a new owner. The record is nil if nothing changes.
func UpdateShards(
	r *Record, self string, statuses map[string]ShardStatus, rebalance bool,
) (next *Record, handedOver []string) {
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
			handedOver, differs = append(handedOver, name), true
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
	if len(handedOver) > 0 {
		next.Term = r.Term + 1
	}
	return next, handedOver
}

// withReplicasInSync returns the shard as its owner sees it: the barrier is passed, replicas that acknowledged
// everything are in sync, and replicas that lag or are surplus no longer are. It also reports whether that differs from
// the record.
func (shard Shard) withReplicasInSync(r *Record, self string, s *ShardStatus) (kept Shard, changed bool) {
	kept, changed = shard, shard.NeedsBarrier
	kept.NeedsBarrier, kept.InSync = false, slices.Clone(shard.InSync)
	for node := range s.InSync {
		if _, member := r.Nodes[node]; member && node != self && !slices.Contains(kept.InSync, node) {
			kept.InSync = append(kept.InSync, node)
			changed = true
		}
	}
	before := len(kept.InSync)
	kept.InSync = slices.DeleteFunc(kept.InSync, func(node string) bool { return s.Lagging[node] })
	kept.InSync = withoutSurplus(kept.InSync, s.Holders)
	slices.Sort(kept.InSync)
	return kept, changed || len(kept.InSync) != before
}

// handOver returns the shard with another owner from the given term on. This controller becomes a replica.
func (shard Shard) handOver(to, self string, term uint64, s *ShardStatus) Shard {
	shard.Owner, shard.SinceTerm = to, term
	shard.InSync = slices.DeleteFunc(shard.InSync, func(node string) bool { return node == to || !s.InSync[node] })
	shard.InSync = append(shard.InSync, self)
	slices.Sort(shard.InSync)
	return shard
}
