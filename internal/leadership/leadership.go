// Package leadership decides who may act for what: the control record, its changes
// and a controller's own lease. It does no I/O and reads no clock.
package leadership

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// FleetShard is the item that stands for renting and returning machines; every other
// item is a team.
const FleetShard = "fleet"

// Shard is one thing that a controller owns.
type Shard struct {
	Owner        string   `json:"owner"`
	SinceTerm    uint64   `json:"since"`             // term at which the owner took it
	InSync       []string `json:"in_sync"`           // backups that know every started task
	NeedsBarrier bool     `json:"barrier,omitempty"` // the owner was not in sync: full barrier first
}

// Record is the control record: the only source of who owns what.
type Record struct {
	Term        uint64            `json:"term"`
	Nodes       map[string]uint64 `json:"nodes"` // members with their incarnations
	Shards      map[string]Shard  `json:"items"`
	Unreachable []string          `json:"deaf,omitempty"` // members that workers cannot reach

	// What the state service's data are: after it lost some, the next generation begins,
	// with the term First. Store is a drawn name that no other generation has.
	Epoch            uint64 `json:"generation,omitempty"`
	FirstTerm        uint64 `json:"first,omitempty"`
	StoreID          string `json:"store,omitempty"`
	PreviousVersion  uint64 `json:"after,omitempty"`  // version of the record that this one replaced
	RosterIncomplete bool   `json:"census,omitempty"` // the roster may lack machines
	DataLost         bool   `json:"lost,omitempty"`   // jobs may be lost that nobody remembers

	preferredOwners map[string]string // Wished, once it was asked for
}

// Clone is a deep copy.
func (r *Record) Clone() *Record {
	c := new(Record)
	*c = *r
	c.preferredOwners = nil
	c.Nodes, c.Shards, c.Unreachable = maps.Clone(r.Nodes), maps.Clone(r.Shards), slices.Clone(r.Unreachable)
	for name, it := range c.Shards {
		it.InSync = slices.Clone(it.InSync)
		c.Shards[name] = it
	}
	if c.Nodes == nil {
		c.Nodes = map[string]uint64{}
	}
	if c.Shards == nil {
		c.Shards = map[string]Shard{}
	}
	return c
}

// Ranked orders nodes for a key by rendezvous hashing: best first.
func Ranked(key string, nodes []string) []string {
	type scored struct {
		node  string
		score uint64
	}
	all := make([]scored, len(nodes))
	for i, n := range nodes {
		all[i] = scored{n, xxhash.Sum64String(n + "\x00" + key)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.node < b.node:
			return -1
		}
		return 1
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.node
	}
	return out
}

// AssignOwners gives each item a wished-for owner: the rendezvous rank, with no
// node taking more than its even share.
func AssignOwners(items, nodes []string) map[string]string {
	items = slices.Sorted(slices.Values(items))
	share := (len(items) + len(nodes) - 1) / max(1, len(nodes))
	load, wish := map[string]int{}, map[string]string{}
	for _, item := range items {
		for _, n := range Ranked(item, nodes) {
			if load[n] < share {
				load[n]++
				wish[item] = n
				break
			}
		}
	}
	return wish
}

// Members is the record's nodes in order.
func (r *Record) Members() []string { return slices.Sorted(maps.Keys(r.Nodes)) }

// Home is the controller that a machine reports to. Those that workers cannot
// reach are homes only when nobody else is.
func (r *Record) Home(machine string) string {
	if best := r.home(machine, r.Unreachable); best != "" {
		return best
	}
	return r.home(machine, nil)
}

func (r *Record) home(machine string, deaf []string) string {
	best, score := "", uint64(0)
	for n := range r.Nodes {
		if slices.Contains(deaf, n) {
			continue
		}
		if s := xxhash.Sum64String(n + "\x00" + machine); best == "" || s > score || (s == score && n < best) {
			best, score = n, s
		}
	}
	return best
}

// Presence is what the state service says about the controllers' leases.
type Presence struct {
	Incarnation uint64
	Version     uint64 // of the key that the lease holds
}

// Condition is a fact that a change of the record rests on: the node's key has
// this version (0: it is gone).
type Condition struct {
	Node    string
	Version uint64
}

// Repair is the next record when members went or came, with the conditions that
// make it safe, or nil when nothing is to change. Every item of a missing owner
// goes to its highest-ranked backup in sync; without one, to the highest-ranked
// member, who then has to pass the full barrier.
func Repair(r *Record, items []string, live map[string]Presence) (*Record, []Condition) {
	if r.stands(items, live) {
		return nil, nil
	}
	next := r.Clone()
	left := next.removeMissing(r, live)
	stays := maps.Clone(next.Nodes) // members that kept their memory
	joined, came := next.addPresent(r, live)
	if len(next.Nodes) == 0 {
		return nil, nil
	}
	members := next.Members()
	wish := AssignOwners(items, members)
	next.Term = r.Term + 1
	moved := false
	for _, name := range items {
		if next.failover(name, stays, wish[name], members, len(r.Shards) > 0) {
			moved = true
		}
	}
	if len(left) == 0 && !came && !moved {
		return nil, nil
	}
	return next, append(left, joined...)
}

// stands says whether the members are just those that are present and each item is owned by one of them. Controllers
// look at that many times a second; a repair would come to the same by way of a new ranking of all items.
func (r *Record) stands(items []string, live map[string]Presence) bool {
	if len(r.Nodes) == 0 || len(live) != len(r.Nodes) {
		return false
	}
	for node, incarnation := range r.Nodes {
		if p, present := live[node]; !present || p.Incarnation != incarnation {
			return false
		}
	}
	for _, name := range items {
		it, known := r.Shards[name]
		if _, member := r.Nodes[it.Owner]; !known || !member {
			return false
		}
	}
	return true
}

// removeMissing takes the members of a record out that are gone or whose process is another.
func (r *Record) removeMissing(before *Record, live map[string]Presence) (conditions []Condition) {
	for _, n := range before.Members() {
		p, ok := live[n]
		if ok && p.Incarnation == before.Nodes[n] {
			continue
		}
		delete(r.Nodes, n)
		r.Unreachable = slices.DeleteFunc(r.Unreachable, func(d string) bool { return d == n })
		conditions = append(conditions, Condition{n, p.Version})
	}
	return conditions
}

// addPresent makes all that are present members, and says whether any was none. The conditions
// are those of nodes that the record before did not name: removeMissing has those of the others.
func (r *Record) addPresent(before *Record, live map[string]Presence) (conditions []Condition, came bool) {
	for _, n := range slices.Sorted(maps.Keys(live)) {
		if _, member := r.Nodes[n]; member {
			continue
		}
		came = true
		r.Nodes[n] = live[n].Incarnation
		if _, listed := before.Nodes[n]; !listed {
			conditions = append(conditions, Condition{n, live[n].Version})
		}
	}
	return conditions, came
}

// failover gives an item whose owner does not stay, or that is new, to another one, and says
// whether it did. First is the highest-ranked member; recorded says that there were items
// before, so that a task of a new one may be on a machine.
func (r *Record) failover(name string, stays map[string]uint64, first string, members []string, recorded bool) bool {
	it, known := r.Shards[name]
	it.InSync = slices.DeleteFunc(it.InSync, func(n string) bool { _, ok := stays[n]; return !ok })
	_, ownerStays := stays[it.Owner]
	if known && ownerStays {
		r.Shards[name] = it
		return false
	}
	blind := it.NeedsBarrier
	it.SinceTerm, it.Owner, it.NeedsBarrier = r.Term, first, known || recorded
	for _, n := range Ranked(name, members) {
		if slices.Contains(it.InSync, n) {
			it.Owner, it.NeedsBarrier = n, blind
			break
		}
	}
	it.InSync = slices.DeleteFunc(it.InSync, func(n string) bool { return n == it.Owner || it.NeedsBarrier })
	r.Shards[name] = it
	return true
}

// Sync is what an owner knows of one of its items.
type Sync struct {
	Ready   bool            // past its barrier
	Whole   map[string]bool // backups that acknowledged everything
	Lagging map[string]bool // backups that are late or unreachable
	Backups []string        // who should hold the replica, by BackupsOf; nil: any member may
}

// Upkeep is an owner's own change of the record: backups come in sync or go out
// of it, the barrier is passed, and items go back to the owner that the ranking
// wishes once that one is in sync. handed lists items given away. Nil when
// nothing is to change.
func Upkeep(r *Record, self string, syncs map[string]Sync, rebalance bool) (next *Record, handed []string) {
	wish := r.PreferredOwners()
	changed := map[string]Shard{}
	for _, name := range slices.Sorted(maps.Keys(syncs)) {
		it, known := r.Shards[name]
		s := syncs[name]
		if !known || it.Owner != self || !s.Ready {
			continue
		}
		kept, differs := it.keepInSync(r, self, &s)
		if to := wish[name]; rebalance && to != self && slices.Contains(kept.InSync, to) && s.Whole[to] {
			kept = kept.handTo(to, self, r.Term+1, &s)
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

// keepInSync gives the item as its owner would have it: the barrier passed, and in sync those backups that are whole and not
// behind. It says whether that differs.
func (it Shard) keepInSync(r *Record, self string, s *Sync) (kept Shard, differs bool) {
	kept, differs = it, it.NeedsBarrier
	kept.NeedsBarrier, kept.InSync = false, slices.Clone(it.InSync)
	for n := range s.Whole {
		if _, member := r.Nodes[n]; member && n != self && !slices.Contains(kept.InSync, n) {
			kept.InSync = append(kept.InSync, n)
			differs = true
		}
	}
	before := len(kept.InSync)
	kept.InSync = slices.DeleteFunc(kept.InSync, func(n string) bool { return s.Lagging[n] })
	kept.InSync = withoutSurplus(kept.InSync, s.Backups)
	slices.Sort(kept.InSync)
	return kept, differs || len(kept.InSync) != before
}

// handTo gives the item to another owner since a term; this controller becomes a backup.
func (it Shard) handTo(to, self string, term uint64, s *Sync) Shard {
	it.Owner, it.SinceTerm = to, term
	it.InSync = slices.DeleteFunc(it.InSync, func(n string) bool { return n == to || !s.Whole[n] })
	it.InSync = append(it.InSync, self)
	slices.Sort(it.InSync)
	return it
}

// WithReachability is the next record with a member taken out of the machines' homes, or
// back among them; nil when that changes nothing. Homes move with the term only.
func WithReachability(r *Record, node string, deaf bool) *Record {
	if _, member := r.Nodes[node]; !member || slices.Contains(r.Unreachable, node) == deaf {
		return nil
	}
	next := r.Clone()
	next.Term++
	if deaf {
		next.Unreachable = append(next.Unreachable, node)
		slices.Sort(next.Unreachable)
	} else {
		next.Unreachable = slices.DeleteFunc(next.Unreachable, func(n string) bool { return n == node })
	}
	return next
}
