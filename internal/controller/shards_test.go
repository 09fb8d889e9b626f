package controller

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/shards"
)

// ownedShard makes a controller the owner of a shard that is not loaded yet.
func ownedShard(n *Node, name string, term uint64, needsBarrier bool, replica *jobstate.Replica) *shards.Owned {
	shard := shards.NewOwned(shards.Options{Name: name, SinceTerm: term, NeedsBarrier: needsBarrier, Team: n.newTeam(name, replica, term), PageSizes: jobstate.PageSizes{Present: 8 << 10, Lowest: 8 << 10}})
	n.shards.Add(shard)
	return shard
}

// readyShard makes a controller the owner of a shard that may place tasks.
func readyShard(n *Node, name string, term uint64) *shards.Owned {
	shard := ownedShard(n, name, term, false, jobstate.NewReplica())
	shard.EnterBarrier(nil)
	shard.PassBarrier(time.Time{})
	return shard
}

// barrierShard replaces a shard by one whose owner awaits the given machines at the barrier of a term.
func barrierShard(n *Node, old *shards.Owned, term uint64, machines []string) *shards.Owned {
	shard := shards.NewOwned(shards.Options{Name: old.Name(), SinceTerm: term, NeedsBarrier: true, Team: old.Team(), PageSizes: jobstate.PageSizes{Present: 8 << 10, Lowest: 8 << 10}})
	shard.EnterBarrier(slices.Values(machines))
	n.shards.Add(shard)
	return shard
}
