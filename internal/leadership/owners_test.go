package leadership

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestReplicaHolders guards that the owner is not among the holders, that there are as many holders as reachable
// members permit, that a reachable preferred owner is among them, and that the result does not depend on the caller.
func TestReplicaHolders(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 10))
	for range 300 {
		members := 1 + rng.IntN(9)
		r := randomRecord(rng, members, 20)
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
				t.Fatalf("%s of %s: holders %v of %d reachable members", name, shard.Owner, holders, can)
			}
			if preferred := r.PreferredOwners()[name]; preferred != shard.Owner && reachable(preferred) && !slices.Contains(holders, preferred) {
				t.Fatalf("%s: the preferred owner %s is not a holder: %v", name, preferred, holders)
			}
			if again := r.Clone().ReplicaHolders(name, shard.Owner, reachable); !slices.Equal(again, holders) {
				t.Fatalf("%s: holders %v, then %v", name, holders, again)
			}
		}
	}
}

// TestSurplusReplicasRemovedLast guards that an in-sync member that should not hold a replica stays in sync until the
// members that should hold one are in sync.
func TestSurplusReplicasRemovedLast(t *testing.T) {
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
