package leadership

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestReplicaHolders: the owner is none of them, there are as many as there should be if so many can be reached, the
// preferred owner is among them, and they do not depend on who asks.
func TestReplicaHolders(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 10))
	for range 300 {
		members := 1 + rng.IntN(9)
		r := drawnRecord(rng, members, 20)
		down := map[string]bool{}
		for _, node := range r.Members() {
			down[node] = rng.IntN(5) == 0
		}
		reachable := func(node string) bool { return !down[node] }
		for name, shard := range r.Shards {
			holders := r.ReplicaHolders(name, shard.Owner, reachable)
			can := 0
			for _, node := range r.Members() {
				if node != shard.Owner && reachable(node) {
					can++
				}
			}
			if len(holders) != min(can, ReplicasPerShard) || slices.Contains(holders, shard.Owner) || slices.ContainsFunc(holders, func(b string) bool { return down[b] }) {
				t.Fatalf("%s of %s: backups %v of %d reachable", name, shard.Owner, holders, can)
			}
			if preferred := r.PreferredOwners()[name]; preferred != shard.Owner && reachable(preferred) && !slices.Contains(holders, preferred) {
				t.Fatalf("%s: the wished-for owner %s is no backup: %v", name, preferred, holders)
			}
			if again := r.Clone().ReplicaHolders(name, shard.Owner, reachable); !slices.Equal(again, holders) {
				t.Fatalf("%s: %v, then %v", name, holders, again)
			}
		}
	}
}

// TestSurplusReplicasLeaveLast: a member in sync that should hold no replica keeps it until those that should are in
// sync.
func TestSurplusReplicasLeaveLast(t *testing.T) {
	r := (&Record{Term: 5}).Clone()
	for _, node := range []string{"a", "b", "c", "d"} {
		r.Nodes[node] = 1
	}
	r.Shards["team/x"] = Shard{Owner: "a", SinceTerm: 5, InSync: []string{"d"}}
	status := ShardStatus{Ready: true, InSync: map[string]bool{"b": true, "d": true}, Holders: []string{"b", "c"}}
	next, _ := UpdateShards(r, "a", map[string]ShardStatus{"team/x": status}, false)
	if next == nil || !slices.Equal(next.Shards["team/x"].InSync, []string{"b", "d"}) {
		t.Fatalf("with one of two in sync: %+v", next)
	}
	status.InSync["c"] = true
	next, _ = UpdateShards(next, "a", map[string]ShardStatus{"team/x": status}, false)
	if next == nil || !slices.Equal(next.Shards["team/x"].InSync, []string{"b", "c"}) {
		t.Fatalf("with both in sync: %+v", next)
	}
}
