// Package shards implements the ownership and replication of shards, each of which is a team or the fleet. It covers
// taking a shard over and giving it up, the barrier that a new owner may have to pass, which replica is sent a full
// copy, a part of one or only the changes, which replicas are in sync, and which pages of finished tasks are written
// next.
//
// The package places no tasks, reads no clock and does no I/O: times, the membership record and the set of connections
// are passed in, and messages to send and pages to write are returned. Its types are not safe for concurrent use; the
// controller calls them under its lock.
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

// teamPrefix is the prefix of the names of team shards.
const teamPrefix = "team/"

// ForTeam returns the name of a team's shard in the membership record.
func ForTeam(team string) string { return teamPrefix + team }

// TeamOf returns the team of a shard, or false for the fleet.
func TeamOf(shard string) (string, bool) { return strings.CutPrefix(shard, teamPrefix) }

// Registry holds the shards that one controller owns and the replicas that it holds of other controllers' shards.
type Registry struct {
	owned map[string]*Owned
	held  *Held
}

// NewRegistry returns a registry without shards or replicas.
func NewRegistry() *Registry { return &Registry{owned: map[string]*Owned{}, held: NewHeld()} }

// Held returns the replicas of shards that other controllers own.
func (r *Registry) Held() *Held { return r.held }

// Owned returns an owned shard by name, or nil if this controller does not own it.
func (r *Registry) Owned(name string) *Owned { return r.owned[name] }

// OfTeam returns a team's shard, or nil if this controller does not own it.
func (r *Registry) OfTeam(team string) *Owned { return r.owned[ForTeam(team)] }

// OwnsFleet reports whether this controller owns the fleet, and so rents and returns machines.
func (r *Registry) OwnsFleet() bool { return r.owned[leadership.FleetShard] != nil }

// All iterates over the owned shards in no particular order.
func (r *Registry) All() iter.Seq[*Owned] { return maps.Values(r.owned) }

// InOrder iterates over the owned shards by name. The caller may take over and give up shards during the iteration.
func (r *Registry) InOrder() iter.Seq[*Owned] {
	return func(yield func(*Owned) bool) {
		for _, name := range slices.Sorted(maps.Keys(r.owned)) {
			if o := r.owned[name]; o != nil && !yield(o) {
				return
			}
		}
	}
}

// Add adds an owned shard.
func (r *Registry) Add(o *Owned) { r.owned[o.name] = o }

// Remove removes an owned shard.
func (r *Registry) Remove(name string) { delete(r.owned, name) }

// Owns reports whether o is the current instance of an owned shard, not one from an earlier takeover.
func (r *Registry) Owns(o *Owned) bool { return r.owned[o.name] == o }

// Takeover holds the parameters of Registry.TakeOver.
type Takeover struct {
	Name      string
	Record    *leadership.Record
	NewTeam   func(replica *jobstate.Replica) *jobstate.Team
	PageSizes jobstate.PageSizes // of the pages of finished tasks
	Now       time.Time
}

// TakeOver makes this controller the owner of a shard that the membership record assigns to it, starting from the
// replica that it held, if any.
func (r *Registry) TakeOver(t Takeover) *Owned {
	entry := t.Record.Shards[t.Name]
	replica, needsBarrier := r.initialReplica(t.Name, t.Record)
	r.held.Drop(t.Name)
	o := NewOwned(Options{
		Name:         t.Name,
		SinceTerm:    entry.SinceTerm,
		NeedsBarrier: needsBarrier,
		Team:         t.NewTeam(replica),
		PageSizes:    t.PageSizes,
		TakenAt:      t.Now,
	})
	r.Add(o)
	return o
}

// initialReplica decides which replica an owner starts with and whether it has to pass the barrier. An owner that is in
// sync according to the record but holds no replica must pass the barrier too, unless it is one of the deployment's
// first owners.
func (r *Registry) initialReplica(name string, record *leadership.Record) (
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

// Changes lists the ownership changes that a new membership record requires of a controller.
type Changes struct {
	GivenUp    []*Owned // no longer owned
	ToTakeOver []string // shards to pass to TakeOver
}

// ApplyRecord gives up the shards that a new membership record assigns to other controllers, or to this one in a new
// term, and lists those to take over. member means that the record lists this process; only a member keeps what it gave
// up as a replica.
func (r *Registry) ApplyRecord(record *leadership.Record, self string, member bool) (c Changes) {
	for name, entry := range record.Shards {
		o := r.owned[name]
		owned := member && entry.Owner == self
		if o != nil && (!owned || o.sinceTerm != entry.SinceTerm) {
			if o.phase == Ready && member {
				r.held.Keep(name, o.team.Replica())
			}
			r.Remove(name)
			c.GivenUp = append(c.GivenUp, o)
			o = nil
		}
		switch {
		case owned && o == nil:
			c.ToTakeOver = append(c.ToTakeOver, name)
		case owned:
			o.RecordChangeSettled()
			o.team.SetTerm(record.Term)
		}
	}
	if !member {
		r.held.DropAll()
	}
	return c
}

// RecordChangeSettled records for every owned shard that no change of the record is pending.
func (r *Registry) RecordChangeSettled() {
	for _, o := range r.owned {
		o.RecordChangeSettled()
	}
}

// ForgetReplica discards what a controller acknowledged for any owned shard.
func (r *Registry) ForgetReplica(node string) {
	for _, o := range r.owned {
		o.replicas.Forget(node)
	}
}

// Resume restarts all replicas' acknowledgement timeouts.
func (r *Registry) Resume(now time.Time) {
	for _, o := range r.owned {
		o.Resume(now)
	}
}

// Statuses returns for each owned shard whether it is ready, which replicas are in sync and which lag.
func (r *Registry) Statuses(c *Cluster, now time.Time) map[string]leadership.ShardStatus {
	statuses := map[string]leadership.ShardStatus{}
	for name, o := range r.owned {
		statuses[name] = o.Status(c, now)
	}
	return statuses
}

// unconfirmedStopTimeout is how long after the first stop command for an attempt the owner waits for a heartbeat that
// lists the attempt, before the term is raised.
const unconfirmedStopTimeout = 4 * time.Second

// NeedsRaisedTerm reports whether some stopped attempt that no heartbeat has listed can be settled only by raising the
// term.
func (r *Registry) NeedsRaisedTerm(now time.Time) bool {
	for _, o := range r.owned {
		if o.phase == Ready && o.team.UnconfirmedStops(now, unconfirmedStopTimeout) > 0 {
			return true
		}
	}
	return false
}

// AwaitedMachines returns the sorted names of the machines that the barriers of owned shards wait for.
func (r *Registry) AwaitedMachines() []string {
	names := map[string]bool{}
	for _, o := range r.owned {
		if o.phase == Barrier {
			maps.Copy(names, o.awaitedMachines)
		}
	}
	return slices.Sorted(maps.Keys(names))
}
