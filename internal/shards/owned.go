package shards

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
)

// Phase says how far an owner has come with a shard.
type Phase int

// Phases of an owned shard, in their order.
const (
	Loading Phase = iota // the jobs and the bitmaps of finished tasks are being read
	Barrier              // every registered machine has to answer, or to be gone
	Ready                // tasks may be placed
)

// String is the phase as operators read it.
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
	loadNumber      int             // the load under way; an earlier one's outcome no longer counts

	handingOver    bool // a pending change of the record gives the shard away
	firstStartSent bool

	replicas *Replicas
	pages    *Pages
}

// Options is what an owned shard begins with.
type Options struct {
	Name         string
	SinceTerm    uint64 // term at which this controller became the owner
	NeedsBarrier bool   // this controller was not in sync
	Team         *jobstate.Team
	PageBytes    int // of one page of finished tasks
	TakenAt      time.Time
}

// NewOwned is a shard that is to be loaded.
func NewOwned(o Options) *Owned {
	return &Owned{
		name:            o.Name,
		sinceTerm:       o.SinceTerm,
		needsBarrier:    o.NeedsBarrier,
		team:            o.Team,
		takenAt:         o.TakenAt,
		awaitedMachines: map[string]bool{},
		replicas: &Replicas{
			shard:            o.Name,
			sinceTerm:        o.SinceTerm,
			team:             o.Team,
			graceFrom:        o.TakenAt,
			acknowledgements: map[string]*acknowledgement{},
		},
		pages: &Pages{shard: o.Name, team: o.Team, set: jobstate.NewPageSet(o.PageBytes)},
	}
}

// Name is the shard's name in the membership record.
func (o *Owned) Name() string { return o.name }

// IsFleet says whether the shard is the fleet, which has no jobs and no replica to speak of.
func (o *Owned) IsFleet() bool { return o.name == leadership.FleetShard }

// Team is the account of the team's jobs; the fleet has an empty one.
func (o *Owned) Team() *jobstate.Team { return o.team }

// Replicas is what is known of the shard's replicas.
func (o *Owned) Replicas() *Replicas { return o.replicas }

// Pages is the pages of the team's finished tasks.
func (o *Owned) Pages() *Pages { return o.pages }

// BeginSaving gives the pages of finished tasks that are to be written now. due is false if nothing is unsaved, or
// if the pages cannot be written yet or are being written. The caller ends a saving that is due with
// Pages.SavingEnded.
func (o *Owned) BeginSaving() (pages []jobstate.Page, due bool) {
	if o.phase != Ready {
		return nil, false
	}
	return o.pages.beginSaving()
}

// Status says whether the shard is ready, which replicas have everything and which are late.
func (o *Owned) Status(c *Cluster, now time.Time) leadership.ShardStatus {
	s := o.replicas.sync(c, now)
	s.Ready = o.MayPlace()
	return s
}

// SinceTerm is the term at which this controller became the owner.
func (o *Owned) SinceTerm() uint64 { return o.sinceTerm }

// Phase is how far the owner has come.
func (o *Owned) Phase() Phase { return o.phase }

// IsReady says whether the barrier is passed.
func (o *Owned) IsReady() bool { return o.phase == Ready }

// NeedsBarrier says whether this controller was not in sync when it became the owner.
func (o *Owned) NeedsBarrier() bool { return o.needsBarrier }

// TakenAt is when this controller became the owner.
func (o *Owned) TakenAt() time.Time { return o.takenAt }

// MayPlace says whether tasks of the shard may be placed: the barrier is passed, and no pending change of
// the record gives the shard away.
func (o *Owned) MayPlace() bool { return o.phase == Ready && !o.handingOver }

// BeginHandOver notes that a pending change of the record gives the shard away.
func (o *Owned) BeginHandOver() { o.handingOver = true }

// RecordChangeSettled notes that no change of the record is pending any more: it is in force, or surely is not.
func (o *Owned) RecordChangeSettled() { o.handingOver, o.replicas.adding = false, nil }

// Resume counts the replicas' silence anew, after this controller could not receive anything for a while.
func (o *Owned) Resume(now time.Time) { o.replicas.graceFrom = now }

// MarkFirstStart says whether a start that is sent now is the owner's first one.
func (o *Owned) MarkFirstStart() bool {
	first := !o.firstStartSent
	o.firstStartSent = true
	return first
}
