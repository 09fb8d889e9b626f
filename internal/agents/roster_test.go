package agents

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestRosterModel: controllers register and deregister machines in a simulated store, with some writes delayed or lost.
// After reading every key a controller must know exactly the machines in the store. Each machine must be reported as
// added and removed at most once, and no value may exceed its maximum size.
func TestRosterModel(t *testing.T) {
	const maxSize = 160
	type value struct {
		version, after uint64
		names          []string
	}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		store, revision := map[string]value{}, uint64(0)
		rosters := []*Roster{NewRoster(maxSize), NewRoster(maxSize), NewRoster(maxSize)}
		known := []map[string]bool{{}, {}, {}}
		read := func(who int, key string) {
			added, removed, err := rosters[who].ApplyList(key, store[key].version, RosterValue{After: store[key].after, Names: store[key].names})
			if err != nil {
				t.Fatalf("seed %d: %v although no data was lost", seed, err)
			}
			for _, name := range added {
				if known[who][name] {
					t.Fatalf("seed %d: %s added twice", seed, name)
				}
				known[who][name] = true
			}
			for _, name := range removed {
				if !known[who][name] {
					t.Fatalf("seed %d: %s removed without having been added", seed, name)
				}
				delete(known[who], name)
			}
		}
		var late []RosterWrite
		apply := func(w RosterWrite) {
			if store[w.Key].version != w.Version {
				return // the key has changed since the write was planned
			}
			size := emptyValueSize
			for _, name := range w.Names {
				size += len(name) + 3
			}
			if size > maxSize {
				t.Fatalf("seed %d: value of %d bytes", seed, size)
			}
			revision++
			store[w.Key] = value{revision, w.Version, w.Names}
		}
		machines := 0
		for range 60 {
			who := rng.IntN(3)
			var writes []RosterWrite
			if rng.IntN(2) == 0 {
				var fresh []string
				for range 1 + rng.IntN(12) {
					machines++
					fresh = append(fresh, fmt.Sprintf("n-%06d", machines))
				}
				writes = []RosterWrite{rosters[who].PlanRegistration(fmt.Sprintf("m/%d/", who), fresh)}
			} else {
				gone := map[string]bool{}
				for name := range known[who] {
					if rng.IntN(3) == 0 {
						gone[name] = true
					}
				}
				writes = rosters[who].PlanDeregistration(gone)
			}
			for _, w := range writes {
				if rng.IntN(5) == 0 {
					late = append(late, w)
					continue
				}
				apply(w)
				read(who, w.Key)
			}
			if len(late) > 0 && rng.IntN(3) == 0 {
				apply(late[0])
				late = late[1:]
			}
			for key := range store {
				if rng.IntN(2) == 0 {
					read(rng.IntN(3), key)
				}
			}
		}
		want := map[string]bool{}
		for _, v := range store {
			for _, name := range v.names {
				want[name] = true
			}
		}
		for who, r := range rosters {
			for key := range store {
				read(who, key)
			}
			all := r.All()
			if len(all) != len(want) || slices.ContainsFunc(all, func(name string) bool { return !want[name] || !known[who][name] }) {
				t.Fatalf("seed %d: controller %d knows %d machines, the store holds %d", seed, who, len(all), len(want))
			}
		}
	}
}

// TestLostListDeregistersNoMachine: if the store loses a list and a process that started afterwards writes a new one,
// the machines missing from the new list have not been deregistered.
func TestLostListDeregistersNoMachine(t *testing.T) {
	r := NewRoster(200)
	if _, _, err := r.ApplyList("m/a/0", 5, RosterValue{Names: []string{"n-1", "n-2"}}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := r.ApplyList("m/a/0", 9, RosterValue{Names: []string{"n-3"}}); !errors.Is(err, ErrRosterDataLost) || !r.Has("n-1") || r.Has("n-3") {
		t.Fatalf("%v, %v", err, r.All())
	}
	if _, removed, err := r.ApplyList("m/a/0", 9, RosterValue{After: 5, Names: []string{"n-2"}}); err != nil || len(removed) != 1 {
		t.Fatalf("%v, %v", err, removed)
	}
	old, err := DecodeRosterValue([]byte(`["n-2","n-4"]`)) // as earlier versions wrote it
	if err != nil {
		t.Fatal(err)
	}
	if added, _, err := r.ApplyList("m/a/0", 12, old); err != nil || len(added) != 1 {
		t.Fatalf("%v, %v", err, added)
	}
}
