package agents

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// rosterStore is a plain model of the state service's lists, with the limit on values that applies at the moment.
type rosterStore struct {
	t         *testing.T
	seed      uint64
	limit     int
	revision  uint64
	lists     map[string]rosterStoreValue
	history   []string // keys in the order of their writes
	values    []rosterStoreValue
	gone      map[string]bool // machines that the cloud has confirmed to be gone
	listCount map[string]int  // by machine, number of lists that contain it
}

type rosterStoreValue struct {
	version uint64
	value   RosterValue
}

// apply makes a write if its condition holds and it fits, and checks that every name that it leaves out is on another
// list or gone.
func (s *rosterStore) apply(w RosterWrite) {
	old := s.lists[w.Key]
	if old.version != w.Version || valueSize(w.Names) > s.limit {
		return
	}
	s.revision++
	s.lists[w.Key] = rosterStoreValue{s.revision, w.Value()}
	s.history, s.values = append(s.history, w.Key), append(s.values, s.lists[w.Key])
	for _, name := range w.Names {
		s.listCount[name]++
	}
	for _, name := range old.value.Names {
		if s.listCount[name]--; s.listCount[name] == 0 && !s.gone[name] {
			s.t.Fatalf("seed %d: %s is on no list and not gone", s.seed, name)
		}
	}
}

// valueSize returns an upper bound of the size of a list's value in bytes.
func valueSize(names []string) int {
	size := emptyValueSize
	for _, name := range names {
		size += entrySize(name)
	}
	return size
}

// rosterWatcher is a controller that applies the store's writes in their order, and its own as soon as they are
// answered.
type rosterWatcher struct {
	roster *Roster
	seen   int // writes of the store's history
	known  map[string]bool
}

func (c *rosterWatcher) applyList(s *rosterStore, key string, v rosterStoreValue) {
	added, removed, err := c.roster.ApplyList(key, v.version, v.value)
	if err != nil {
		s.t.Fatalf("seed %d: %v", s.seed, err)
	}
	for _, name := range added {
		c.known[name] = true
	}
	for _, name := range removed {
		if delete(c.known, name); !s.gone[name] {
			s.t.Fatalf("seed %d: a controller takes %s for gone", s.seed, name)
		}
	}
}

// follow applies up to count more writes of the store's history.
func (c *rosterWatcher) follow(s *rosterStore, count int) {
	for ; count > 0 && c.seen < len(s.history); count-- {
		c.applyList(s, s.history[c.seen], s.values[c.seen])
		c.seen++
	}
}

// commit sends a write; its answer may be lost. As in the controller, a write that was not confirmed is followed by
// reading all changes up to then.
func (c *rosterWatcher) commit(s *rosterStore, w RosterWrite, answered bool) {
	before := s.revision
	s.apply(w)
	if s.revision > before && answered {
		c.applyList(s, w.Key, s.lists[w.Key])
	} else if answered {
		c.follow(s, len(s.history))
	}
}

// TestDeregistrationUnderFallingLimits: two controllers of an earlier version fill and rewrite lists under the present
// limit until it falls, while two of this one plan deregistrations with the lower limit at the same time. Answers are
// lost, and writes arrive late. No machine that is not gone is ever on no list or taken for gone, no value exceeds the
// limit, and in the end every machine that is gone is on no list.
func TestDeregistrationUnderFallingLimits(t *testing.T) {
	splits := 0
	for _, c := range []struct {
		present, lower int
		seeds          uint64
	}{{900, 160, 150}, {900, 90, 150}, {2 << 10, 2 << 10, 5}, {8 << 10, 2 << 10, 5}, {8 << 10, 1 << 10, 5}, {16 << 10, 2 << 10, 3}} {
		for seed := range c.seeds {
			splits += runFallingLimits(t, seed, c.present, c.lower)
		}
	}
	if splits == 0 {
		t.Error("no list was split in any run")
	}
}

// runFallingLimits runs one seed and returns how often a name was on two lists at the end of a step.
func runFallingLimits(t *testing.T, seed uint64, present, lower int) (splits int) {
	rng := rand.New(rand.NewPCG(seed, uint64(present+lower)))
	s := &rosterStore{t: t, seed: seed, limit: present, lists: map[string]rosterStoreValue{}, gone: map[string]bool{}, listCount: map[string]int{}}
	var controllers []*rosterWatcher // the first two are of the earlier version
	for _, limit := range []int{present, present, lower, lower} {
		controllers = append(controllers, &rosterWatcher{roster: NewRoster(limit), known: map[string]bool{}})
	}
	machines, fallsAt := 0, 20+rng.IntN(60)
	var late []RosterWrite
	for step := range 120 {
		if step == fallsAt {
			s.limit = lower
		}
		who := rng.IntN(4)
		if step >= fallsAt {
			who = 2 + rng.IntN(2) // the earlier version runs only until the limits may fall
		}
		c := controllers[who]
		writes := c.plan(s, rng, who, &machines, present)
		for _, w := range writes {
			if who >= 2 && valueSize(w.Names) > lower {
				t.Fatalf("seed %d: value of %d bytes, limit %d", seed, valueSize(w.Names), lower)
			}
			switch rng.IntN(6) {
			case 0:
				late = append(late, w)
			case 1:
				c.commit(s, w, false)
			default:
				c.commit(s, w, true)
			}
		}
		if len(late) > 0 && rng.IntN(3) == 0 {
			s.apply(late[0])
			late = late[1:]
		}
		controllers[rng.IntN(4)].follow(s, rng.IntN(8))
		for _, count := range c.roster.listCount {
			if count > 1 {
				splits++
			}
		}
	}
	finishDeregistration(s, controllers[2:])
	return splits
}

// plan returns writes that register machines, or that deregister machines that are gone.
func (c *rosterWatcher) plan(s *rosterStore, rng *rand.Rand, who int, machines *int, present int) []RosterWrite {
	if rng.IntN(2) == 0 {
		var fresh []string
		for range 1 + rng.IntN(present/40) {
			*machines++
			fresh = append(fresh, fmt.Sprintf("n-%06d", *machines))
		}
		return []RosterWrite{c.roster.PlanRegistration(fmt.Sprintf("m/%d/", who), fresh)}
	}
	for name := range c.known {
		if rng.IntN(30) == 0 {
			s.gone[name] = true
		}
	}
	return c.roster.PlanDeregistration(s.gone)
}

// finishDeregistration checks that a few more rounds leave no machine that is gone on any list.
func finishDeregistration(s *rosterStore, controllers []*rosterWatcher) {
	for round := range 6 {
		c := controllers[round%len(controllers)]
		c.follow(s, len(s.history))
		for _, w := range c.roster.PlanDeregistration(s.gone) {
			c.commit(s, w, true)
		}
	}
	for key, v := range s.lists {
		for _, name := range v.value.Names {
			if s.gone[name] {
				s.t.Fatalf("seed %d: %s is gone and still on %s", s.seed, name, key)
			}
		}
	}
}
