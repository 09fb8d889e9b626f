// Package shards decides who owns a team or the fleet, and what an owner and its replicas do: taking a shard over
// and giving it up, the barrier that a new owner may have to pass, which replica gets a copy, a part of one or the
// changes, which replicas are in sync, and which pages of finished tasks are written next.
//
// It places no task, reads no clock and does no I/O: times, the membership record and who is connected come in,
// messages to be sent and pages to be written go out. Its types are not safe for concurrent use; the controller
// calls them under its lock.
package shards

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
)

// teamPrefix begins the names of shards that are teams.
const teamPrefix = "team/"

// ForTeam is the name of a team's shard in the membership record.
func ForTeam(team string) string { return teamPrefix + team }

// TeamOf is the team of a shard; false for the fleet.
func TeamOf(shard string) (string, bool) { return strings.CutPrefix(shard, teamPrefix) }

// Registry is the shards that one controller owns, and the replicas that it holds of others.
type Registry struct {
	owned map[string]*Owned
	held  *Held
}

// NewRegistry owns and holds nothing.
func NewRegistry() *Registry { return &Registry{owned: map[string]*Owned{}, held: NewHeld()} }

// Held is the replicas of shards that others own.
func (r *Registry) Held() *Held { return r.held }

// Owned is an owned shard by its name; nil if another controller owns it.
func (r *Registry) Owned(name string) *Owned { return r.owned[name] }

// OfTeam is a team's shard; nil if another controller owns it.
func (r *Registry) OfTeam(team string) *Owned { return r.owned[ForTeam(team)] }

// OwnsFleet says whether this controller rents and returns machines.
func (r *Registry) OwnsFleet() bool { return r.owned[leadership.FleetShard] != nil }

// All lists the owned shards, in no order.
func (r *Registry) All() iter.Seq[*Owned] { return maps.Values(r.owned) }

// InOrder lists the owned shards by name. The caller may take shards over and give them up meanwhile.
func (r *Registry) InOrder() iter.Seq[*Owned] {
	return func(yield func(*Owned) bool) {
		for _, name := range slices.Sorted(maps.Keys(r.owned)) {
			if o := r.owned[name]; o != nil && !yield(o) {
				return
			}
		}
	}
}

// Add owns a shard.
func (r *Registry) Add(o *Owned) { r.owned[o.name] = o }

// Remove no longer owns a shard.
func (r *Registry) Remove(name string) { delete(r.owned, name) }

// Owns says whether a shard is owned here, since it was taken over last.
func (r *Registry) Owns(o *Owned) bool { return r.owned[o.name] == o }

// Takeover is what a controller takes a shard over with.
type Takeover struct {
	Name      string
	Record    *leadership.Record
	NewTeam   func(replica *jobstate.Replica) *jobstate.Team
	PageBytes int // of one page of finished tasks
	Now       time.Time
}

// TakeOver begins to own a shard that the membership record gives to this controller, with the replica that was held of it.
func (r *Registry) TakeOver(t Takeover) *Owned {
	entry := t.Record.Shards[t.Name]
	replica, needsBarrier := r.startingReplica(t.Name, t.Record)
	r.held.Drop(t.Name)
	o := NewOwned(Options{
		Name:         t.Name,
		SinceTerm:    entry.SinceTerm,
		NeedsBarrier: needsBarrier,
		Team:         t.NewTeam(replica),
		PageBytes:    t.PageBytes,
		TakenAt:      t.Now,
	})
	r.Add(o)
	return o
}

// startingReplica decides with which replica an owner begins, and whether it has to pass the barrier. One that the
// record takes for in sync, but that holds no replica, must pass it too, unless the deployment's first owners
// begin.
func (r *Registry) startingReplica(name string, record *leadership.Record) (
	replica *jobstate.Replica, needsBarrier bool) {
	entry := record.Shards[name]
	replica = jobstate.NewReplica()
	needsBarrier = entry.NeedsBarrier
	if held := r.held.Replica(name); held != nil && !needsBarrier {
		replica = held
	} else if entry.SinceTerm > record.FirstTerm || record.Epoch > 1 {
		needsBarrier = true
	}
	if name == leadership.FleetShard {
		replica = jobstate.NewReplica()
	}
	return replica, needsBarrier
}

// Changes is what a new membership record changes for a controller.
type Changes struct {
	GivenUp    []*Owned // owned no more
	ToTakeOver []string // shards to be taken over by Take
}

// ApplyRecord gives up the shards that a new membership record gives to others, or to this controller anew, and names
// those to be taken over. member says whether the record names this process; only a member goes on to hold what it
// gave up, as a replica.
func (r *Registry) ApplyRecord(record *leadership.Record, self string, member bool) (c Changes) {
	for name, entry := range record.Shards {
		o := r.owned[name]
		mine := member && entry.Owner == self
		if o != nil && (!mine || o.sinceTerm != entry.SinceTerm) {
			if o.phase == Ready && member {
				r.held.Put(name, entry.SinceTerm, o.team.Replica())
			}
			r.Remove(name)
			c.GivenUp = append(c.GivenUp, o)
			o = nil
		}
		switch {
		case mine && o == nil:
			c.ToTakeOver = append(c.ToTakeOver, name)
		case mine:
			o.RecordChangeSettled()
			o.team.SetTerm(record.Term)
		}
	}
	if !member {
		r.held.DropAll()
	}
	return c
}

// RecordChangeSettled notes that no change of the record is pending for any owned shard.
func (r *Registry) RecordChangeSettled() {
	for _, o := range r.owned {
		o.RecordChangeSettled()
	}
}

// ForgetReplica drops what a controller acknowledged of any owned shard.
func (r *Registry) ForgetReplica(node string) {
	for _, o := range r.owned {
		o.replicas.Forget(node)
	}
}

// Resume counts all replicas' silence anew.
func (r *Registry) Resume(now time.Time) {
	for _, o := range r.owned {
		o.Resume(now)
	}
}

// Statuses says for each owned shard which replicas have everything and which are late.
func (r *Registry) Statuses(c *Cluster, now time.Time) map[string]leadership.ShardStatus {
	syncs := map[string]leadership.ShardStatus{}
	for name, o := range r.owned {
		syncs[name] = o.Status(c, now)
	}
	return syncs
}

// unprovenAfter is how long a start without a word from its machine is waited for before the term is raised.
const unprovenAfter = 4 * time.Second

// NeedsRaisedTerm says whether only a raised term can settle some start that went out.
func (r *Registry) NeedsRaisedTerm(now time.Time) bool {
	for _, o := range r.owned {
		if o.phase == Ready && o.team.UnconfirmedStops(now, unprovenAfter) > 0 {
			return true
		}
	}
	return false
}

// AwaitedMachines lists the machines that the barriers of owned shards wait for, in order.
func (r *Registry) AwaitedMachines() []string {
	names := map[string]bool{}
	for _, o := range r.owned {
		if o.phase == Barrier {
			maps.Copy(names, o.awaitedMachines)
		}
	}
	return slices.Sorted(maps.Keys(names))
}
