package controller

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/shards"
)

// ownedShard has a controller own a shard that is still to be loaded.
func ownedShard(n *Node, name string, term uint64, needsBarrier bool, replica *jobstate.Replica) *shards.Owned {
	shard := shards.NewOwned(shards.Options{Name: name, SinceTerm: term, NeedsBarrier: needsBarrier, Team: n.newTeam(name, replica, term), PageBytes: 8 << 10})
	n.shards.Add(shard)
	return shard
}

// readyShard has a controller own a shard that may place tasks.
func readyShard(n *Node, name string, term uint64) *shards.Owned {
	shard := ownedShard(n, name, term, false, jobstate.NewReplica())
	shard.EnterBarrier(nil)
	shard.PassBarrier(time.Time{})
	return shard
}

// barrierShard has the owner of a shard wait for machines at the barrier of a term.
func barrierShard(n *Node, old *shards.Owned, term uint64, machines []string) *shards.Owned {
	shard := shards.NewOwned(shards.Options{Name: old.Name(), SinceTerm: term, NeedsBarrier: true, Team: old.Team(), PageBytes: 8 << 10})
	shard.EnterBarrier(slices.Values(machines))
	n.shards.Add(shard)
	return shard
}
