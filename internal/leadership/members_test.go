package leadership

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// world models the state service: leases, controllers' keys, the record with its version, and writes that are delayed
// and applied late.
type world struct {
	record  *Record
	version uint64
	keys    map[string]Presence
	next    uint64 // the last version that was assigned
	late    []write
}

type write struct {
	next       *Record
	base       uint64
	conditions []Condition
}

func (w *world) apply(x write) bool {
	if x.base != w.version {
		return false
	}
	for _, c := range x.conditions {
		if w.keys[c.Node].Version != c.Version {
			return false
		}
	}
	w.next++
	w.record, w.version = x.next, w.next
	return true
}

// TestRecordModel runs the membership record through expired leases, restarts, outdated reads and late writes. It
// guards that every change of owner raises the term, that a successor without a barrier is a process that was in sync,
// and that no replica counts as in sync without its memory.
func TestRecordModel(t *testing.T) {
	shardNames := []string{FleetShard, "team/a", "team/b", "team/c"}
	nodes := []string{"n0", "n1", "n2"}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := &world{record: (&Record{}).Clone(), keys: map[string]Presence{}}
		inc := map[string]uint64{}
		type reader struct {
			record  *Record
			version uint64
			keys    map[string]Presence
		}
		views := map[string]reader{}
		copyKeys := func() map[string]Presence {
			m := map[string]Presence{}
			for k, v := range w.keys {
				m[k] = v
			}
			return m
		}
		for range 200 {
			n := nodes[rng.IntN(3)]
			before := w.record
			switch rng.IntN(8) {
			case 0: // restart: a new incarnation acquires the key
				inc[n]++
				w.next++
				w.keys[n] = Presence{inc[n], w.next}
			case 1: // the lease expires; the process may return with its memory
				delete(w.keys, n)
			case 2:
				if inc[n] > 0 {
					w.next++
					w.keys[n] = Presence{inc[n], w.next}
				}
			case 3, 4: // read
				views[n] = reader{w.record, w.version, copyKeys()}
			default: // propose a change based on the last read, applied now or late
				v, ok := views[n]
				if !ok {
					continue
				}
				next, conditions := ReconcileMembers(v.record, shardNames, v.keys)
				if next == nil {
					statuses := map[string]ShardStatus{}
					for name := range v.record.Shards {
						s := ShardStatus{Ready: rng.IntN(4) > 0, InSync: map[string]bool{}, Lagging: map[string]bool{}}
						for _, p := range nodes {
							if p != n && v.record.Nodes[p] != 0 {
								s.InSync[p] = rng.IntN(2) == 0
								s.Lagging[p] = !s.InSync[p] && rng.IntN(3) == 0
								if !s.InSync[p] {
									delete(s.InSync, p)
								}
							}
						}
						statuses[name] = s
					}
					next, _ = UpdateShards(v.record, n, statuses, rng.IntN(2) == 0)
				}
				if next == nil {
					continue
				}
				x := write{next, v.version, conditions}
				if rng.IntN(3) == 0 {
					w.late = append(w.late, x)
					continue
				}
				w.apply(x)
			}
			if len(w.late) > 0 && rng.IntN(4) == 0 {
				w.apply(w.late[0])
				w.late = w.late[1:]
			}
			after := w.record
			for name, shard := range after.Shards {
				old, had := before.Shards[name]
				if !had || before == after {
					continue
				}
				if shard.Owner != old.Owner || shard.SinceTerm != old.SinceTerm {
					if after.Term <= before.Term || shard.SinceTerm != after.Term {
						t.Fatalf("seed %d: the owner of %s changed without a raised term", seed, name)
					}
					oldAlive := after.Nodes[old.Owner] == before.Nodes[old.Owner] && before.Nodes[old.Owner] != 0
					if !shard.NeedsBarrier && (!slices.Contains(old.InSync, shard.Owner) && !oldAlive) {
						t.Fatalf("seed %d: %s was assigned to %s, which was not in sync, without a barrier", seed, name, shard.Owner)
					}
					if !shard.NeedsBarrier && after.Nodes[shard.Owner] != before.Nodes[shard.Owner] {
						t.Fatalf("seed %d: %s was assigned to a new process without a barrier", seed, name)
					}
				}
				if slices.Contains(shard.InSync, shard.Owner) {
					t.Fatalf("seed %d: %s: the owner is among the replicas in sync", seed, name)
				}
				for _, b := range shard.InSync {
					if after.Nodes[b] == 0 || (slices.Contains(old.InSync, b) && before.Nodes[b] != after.Nodes[b]) {
						t.Fatalf("seed %d: %s: %s counts as in sync after a restart", seed, name, b)
					}
				}
			}
		}
	}
}

// TestFailoverPicksHighestRanked guards that a shard fails over to the highest-ranked replica in sync.
func TestFailoverPicksHighestRanked(t *testing.T) {
	all := []string{"n0", "n1", "n2"}
	r := &Record{Term: 4, Nodes: map[string]uint64{"n0": 1, "n1": 1, "n2": 1}, Shards: map[string]Shard{}}
	r.Shards["team/a"] = Shard{Owner: "n0", SinceTerm: 2, InSync: []string{"n1", "n2"}}
	next, conditions := ReconcileMembers(r, []string{"team/a"}, map[string]Presence{"n1": {1, 8}, "n2": {1, 9}})
	want := Ranked("team/a", slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == "n0" }))[0]
	shard := next.Shards["team/a"]
	if shard.Owner != want || shard.NeedsBarrier || next.Term != 5 || shard.SinceTerm != 5 {
		t.Fatalf("after the failover: %+v in term %d, want owner %s", shard, next.Term, want)
	}
	if !slices.Contains(conditions, Condition{"n0", 0}) {
		t.Fatalf("no condition that the absent owner's key does not exist: %v", conditions)
	}
}

// TestMembersReconciledAfterEachChange checks that every change of the members or the shards is reconciled, and that
// otherwise no change is proposed.
func TestMembersReconciledAfterEachChange(t *testing.T) {
	shardNames := []string{FleetShard, "team/a", "team/b"}
	live := func(nodes ...string) map[string]Presence {
		m := map[string]Presence{}
		for _, n := range nodes {
			m[n] = Presence{Incarnation: 1, Version: 1}
		}
		return m
	}
	whole, _ := ReconcileMembers((&Record{Term: 1}).Clone(), shardNames, live("n0", "n1", "n2"))
	restarted := live("n0", "n1", "n2")
	restarted["n1"] = Presence{Incarnation: 2, Version: 2}
	unowned := whole.Clone()
	unowned.Shards[FleetShard] = Shard{Owner: "n9", SinceTerm: 1}
	for _, c := range []struct {
		name       string
		record     *Record
		shardNames []string
		live       map[string]Presence
		want       bool
	}{
		{"nothing", whole, shardNames, live("n0", "n1", "n2"), false},
		{"a member is absent", whole, shardNames, live("n0", "n1"), true},
		{"a member restarted", whole, shardNames, restarted, true},
		{"a new controller is present", whole, shardNames, live("n0", "n1", "n2", "n3"), true},
		{"a member left and another controller joined", whole, shardNames, live("n0", "n1", "n3"), true},
		{"a new shard", whole, append([]string{"team/c"}, shardNames...), live("n0", "n1", "n2"), true},
		{"a shard's owner is not a member", unowned, shardNames, live("n0", "n1", "n2"), true},
	} {
		if next, _ := ReconcileMembers(c.record, c.shardNames, c.live); (next != nil) != c.want {
			t.Errorf("%s: reconciled %v, want %v", c.name, next != nil, c.want)
		}
	}
}
