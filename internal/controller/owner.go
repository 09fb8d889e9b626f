package controller

import (
	"context"
	"iter"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/teamconfig"
)

// followOwners takes over and gives up shards according to a new membership record. member reports whether the record
// names this process.
func (n *Node) followOwners(r *leadership.Record, member bool) {
	changes := n.shards.ApplyRecord(r, n.name, member)
	for _, shard := range changes.GivenUp {
		n.log.Info("shard given up", "shard", shard.Name(), "owner", r.Shards[shard.Name()].Owner, "term", r.Term)
		n.scheduler.InvalidateMachines(slices.Values(shard.Team().Assignments().Machines()))
	}
	for _, name := range changes.ToTakeOver {
		n.takeOwnership(name)
	}
}

// takeOwnership takes over a shard that the membership record assigns to this controller.
func (n *Node) takeOwnership(name string) {
	n.recordTeamTakeover()
	shard := n.shards.TakeOver(shards.Takeover{
		Name:      name,
		Record:    n.leadership.Record(),
		NewTeam:   func(replica *jobstate.Replica) *jobstate.Team { return n.newTeam(name, replica, n.leadership.Term()) },
		PageSizes: pageSizes(n.settings.Deployment.KVStore),
		Now:       time.Now(),
	})
	n.log.Info("shard taken over", "shard", name, "term", shard.SinceTerm(),
		"barrier", shard.NeedsBarrier(), "held", len(shard.Team().Replica().Assignments))
	if team, ok := shards.TeamOf(name); ok {
		for uid, d := range n.recovery.gathering.FinishedByJob() {
			if j := n.jobs[uid]; j != nil && j.active && j.spec.Team == team {
				shard.Team().MergeDone(uid, d)
			}
		}
	}
	n.startLoad(shard)
}

// startLoad starts to load a shard and supersedes a load in progress.
func (n *Node) startLoad(shard *shards.Owned) {
	load := shard.BeginLoad()
	n.group.Go(func() error {
		n.loadShard(n.ctx, shard, load)
		return nil
	})
}

// reloadShards makes shards that are not ready read the roster again after it became complete, that is, after it names
// every machine that may run tasks from before a loss of data. Such a shard awaits the machines of an incomplete
// roster, and the record that marks the roster complete may arrive before the roster lists do. Without the reload, an
// owner that started after a loss awaited no machine and started tasks again that were running.
func (n *Node) reloadShards() {
	for shard := range n.shards.All() {
		if shard.Reload() {
			n.startLoad(shard)
		}
	}
}

// quotaLimits converts a team's limits to the type used by jobstate.
func quotaLimits(limits teamconfig.Limits) jobstate.Limits {
	return jobstate.Limits{
		Guaranteed: jobstate.Resources{CPUs: limits.CPUs, GPUs: limits.GPUs},
		Max:        jobstate.Resources{CPUs: limits.CPUsMax, GPUs: limits.GPUsMax},
	}
}

// newTeam returns the state of a shard's jobs and assignments, with the current limits of its team.
func (n *Node) newTeam(name string, rep *jobstate.Replica, term uint64) *jobstate.Team {
	log := func(event string, args ...any) { n.log.Debug(event, append(args, "shard", name)...) }
	team, _ := shards.TeamOf(name)
	for _, t := range n.teams() {
		if t.Name == team {
			limits := teamconfig.Limits{CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax}
			return jobstate.NewTeam(name, quotaLimits(limits), rep, term, log)
		}
	}
	return jobstate.NewTeam(name, jobstate.Limits{}, rep, term, log)
}

// loadShard reads what a new owner needs from the state service. An owner whose replica is in sync knows the team's
// progress already and begins with the jobs that it watched, even if the state service does not answer. One that is not
// in sync must know every job and machine from before the takeover.
func (n *Node) loadShard(ctx context.Context, shard *shards.Owned, load int) {
	for ctx.Err() == nil {
		if !n.beginWithoutStore(shard, load) || shard.IsFleet() {
			return
		}
		err := n.loadPages(ctx, shard, load)
		if err == nil {
			return
		}
		n.log.Info("shard waits for the state service", "shard", shard.Name(), "err", err)
		sleep(ctx, 300*time.Millisecond)
	}
}

// beginWithoutStore enters the barrier of a shard that need not wait for the state service. It returns false if the
// load was superseded.
func (n *Node) beginWithoutStore(shard *shards.Owned, load int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.shards.Owns(shard) || !shard.LoadIsCurrent(load) {
		return false
	}
	if shard.CanStartBeforeRead() {
		n.enterBarrier(shard, nil)
	}
	return true
}

// loadPages reads all changes of the state service up to now, and the shard's pages of finished tasks.
func (n *Node) loadPages(ctx context.Context, shard *shards.Owned, load int) error {
	if err := n.waitForChanges(ctx); err != nil {
		return err
	}
	pages, _, err := n.kvStore.List(ctx, shards.PagesPrefix(shard.Name()))
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if shard.LoadIsCurrent(load) {
		n.pagesLoaded(shard, pages)
	}
	return nil
}

// pagesLoaded applies the pages of finished tasks that were read; from then on they can be written.
func (n *Node) pagesLoaded(shard *shards.Owned, pages []protocol.Entry) {
	if !n.shards.Owns(shard) {
		return
	}
	done := n.readPages(shard, pages)
	shard.Pages().MarkRead()
	if shard.Phase() == shards.Loading {
		n.enterBarrier(shard, done)
		return
	}
	n.releaseUnregistered(shard)
	n.recordStartedJobs(shard, done)
	for uid, done := range done {
		if tj := shard.Team().Job(uid); tj != nil {
			shard.Team().AddJob(tj.Spec, tj.Version, tj.Submitted, done)
		}
	}
	n.wake()
}

// enterBarrier starts a shard's barrier with the jobs and machines known by now and the finished tasks read from the
// state service.
func (n *Node) enterBarrier(shard *shards.Owned, done map[string]*bitset.BitSet) {
	if shard.IsFleet() {
		shard.StartFleet()
		return
	}
	team, _ := shards.TeamOf(shard.Name())
	n.recordStartedJobs(shard, done)
	for _, j := range n.jobs {
		if j.active && !j.waits && j.spec.Team == team {
			n.addJob(shard, j, done[j.spec.UID])
		}
	}
	shard.EnterBarrier(n.knownMachines())
	n.passBarrier(shard)
	n.wake()
}

// knownMachines returns all machines on which an earlier owner may have started tasks: those on the roster and, while
// it may be incomplete, those remembered from before the loss and those that the cloud lists.
func (n *Node) knownMachines() iter.Seq[string] {
	return func(yield func(string) bool) {
		lists := []iter.Seq[string]{slices.Values(n.roster.All())}
		if n.leadership.Record().RosterIncomplete {
			lists = append(lists, n.recovery.census.Remembered(), n.recovery.census.Listed())
		}
		for _, list := range lists {
			for name := range list {
				if !yield(name) {
					return
				}
			}
		}
	}
}

// addJob adds an active job to the team of an owned shard; done are its finished tasks in the state service.
func (n *Node) addJob(shard *shards.Owned, j *job, done *bitset.BitSet) {
	shard.Team().AddJob(j.spec, j.version, j.waitingSince, done)
	shard.Team().Job(j.spec.UID).SetObjectives(n.objectives(j))
	shard.Team().Job(j.spec.UID).SetFaulty(n.quarantine.IsJobFaulty(j.spec.UID), time.Now())
}
