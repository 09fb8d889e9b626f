package shards

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
)

// Phase is the stage that the takeover of a shard has reached.
type Phase int

// Phases of an owned shard, in order.
const (
	Loading Phase = iota // the jobs and the bitmaps of finished tasks are being read
	Barrier              // the owner waits until every registered machine has reported or is gone
	Ready                // tasks may be placed
)

// String returns the phase as shown to operators.
func (p Phase) String() string {
	switch p {
	case Loading:
		return "loading"
	case Barrier:
		return "barrier"
	case Ready:
		return "ready"
	}
	return ""
}

// Owned is a team or the fleet while this controller owns it.
type Owned struct {
	name            string
	sinceTerm       uint64
	phase           Phase
	needsBarrier    bool
	team            *jobstate.Team
	takenAt         time.Time
	awaitedMachines map[string]bool // machines that the barrier waits for
	loadNumber      int             // number of the current load; results of earlier ones are ignored

	handingOver    bool // a pending change of the record hands the shard over
	firstStartSent bool

	replicas *Replicas
	pages    *Pages
}

// Options holds the parameters of NewOwned.
type Options struct {
	Name         string
	SinceTerm    uint64 // term in which this controller became the owner
	NeedsBarrier bool   // this controller was not in sync
	Team         *jobstate.Team
	PageSizes    jobstate.PageSizes // of the pages of finished tasks
	TakenAt      time.Time
}

// NewOwned returns an owned shard in the Loading phase.
func NewOwned(o Options) *Owned {
	return &Owned{
		name:            o.Name,
		sinceTerm:       o.SinceTerm,
		needsBarrier:    o.NeedsBarrier,
		team:            o.Team,
		takenAt:         o.TakenAt,
		awaitedMachines: map[string]bool{},
		replicas: &Replicas{
			shard:         o.Name,
			sinceTerm:     o.SinceTerm,
			team:          o.Team,
			timeoutsStart: o.TakenAt,
			states:        map[string]*replicaState{},
		},
		pages: &Pages{shard: o.Name, team: o.Team, sizes: o.PageSizes, set: jobstate.NewPageSet(o.PageSizes)},
	}
}

// Name returns the shard's name in the membership record.
func (o *Owned) Name() string { return o.name }

// IsFleet reports whether the shard is the fleet, which has no jobs and whose replica stays empty.
func (o *Owned) IsFleet() bool { return o.name == leadership.FleetShard }

// Team returns the state of the team's jobs. That of the fleet is empty.
func (o *Owned) Team() *jobstate.Team { return o.team }

// Replicas returns the state of the shard's replicas.
func (o *Owned) Replicas() *Replicas { return o.replicas }

// Pages returns the pages of the team's finished tasks.
func (o *Owned) Pages() *Pages { return o.pages }

// BeginSaving returns the pages of finished tasks to write now. due is false if nothing is unsaved, if the shard is not
// ready, or if the pages have not been read yet or are already being written. If due is true, the caller must call
// Pages.EndSaving afterwards.
func (o *Owned) BeginSaving() (pages []jobstate.Page, due bool) {
	if o.phase != Ready {
		return nil, false
	}
	return o.pages.beginSaving()
}

// Status returns whether the shard is ready, which replicas have everything and which lag.
func (o *Owned) Status(c *Cluster, now time.Time) leadership.ShardStatus {
	s := o.replicas.status(c, now)
	s.Ready = o.MayPlace()
	return s
}

// SinceTerm returns the term in which this controller became the owner.
func (o *Owned) SinceTerm() uint64 { return o.sinceTerm }

// Phase returns the shard's phase.
func (o *Owned) Phase() Phase { return o.phase }

// IsReady reports whether the barrier is passed.
func (o *Owned) IsReady() bool { return o.phase == Ready }

// NeedsBarrier reports whether this controller was not in sync when it became the owner.
func (o *Owned) NeedsBarrier() bool { return o.needsBarrier }

// TakenAt returns when this controller became the owner.
func (o *Owned) TakenAt() time.Time { return o.takenAt }

// MayPlace reports whether tasks of the shard may be placed: the barrier is passed, and no pending change of the record
// hands the shard over.
func (o *Owned) MayPlace() bool { return o.phase == Ready && !o.handingOver }

// BeginHandOver records that a pending change of the record hands the shard over.
func (o *Owned) BeginHandOver() { o.handingOver = true }

// RecordChangeSettled records that no change of the record is pending any more: it was either applied or definitely
// rejected.
func (o *Owned) RecordChangeSettled() { o.handingOver, o.replicas.pendingReplicas = false, nil }

// Resume restarts the replicas' acknowledgement timeout, after this controller was unable to receive messages for a
// while.
func (o *Owned) Resume(now time.Time) { o.replicas.timeoutsStart = now }

// MarkFirstStart records that a start is being sent, and reports whether it is the owner's first one.
func (o *Owned) MarkFirstStart() bool {
	first := !o.firstStartSent
	o.firstStartSent = true
	return first
}
