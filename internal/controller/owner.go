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

// followOwners takes over and gives up shards as a new membership record says; member: this process is in the record.
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

// takeOwnership begins to own a shard that the membership record gives to this controller.
func (n *Node) takeOwnership(name string) {
	n.noteTeamTakenOver()
	shard := n.shards.TakeOver(shards.Takeover{
		Name:      name,
		Record:    n.leadership.Record(),
		NewTeam:   func(replica *jobstate.Replica) *jobstate.Team { return n.newTeam(name, replica, n.leadership.Term()) },
		PageBytes: maxValueBytes(n.settings.Deployment.KVStore),
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

// startLoad begins to load a shard, in place of a load that is under way.
func (n *Node) startLoad(shard *shards.Owned) {
	load := shard.BeginLoad()
	n.group.Go(func() error {
		n.load(n.ctx, shard, load)
		return nil
	})
}

// reload has shards that are not ready yet read the roster again, now that it names every machine that
// may run something from before a loss of data. The machines that such a shard awaits were taken from a roster that
// lacked some, and the record that calls it complete may be known here before the lists that complete it: an
// owner that started after the loss once awaited no machine and started tasks again that were running.
func (n *Node) reload() {
	for shard := range n.shards.All() {
		if shard.Reload() {
			n.startLoad(shard)
		}
	}
}

// quotaLimits are a team's limits as its account takes them.
func quotaLimits(limits teamconfig.Limits) jobstate.Limits {
	return jobstate.Limits{
		Guaranteed: jobstate.Resources{CPUs: limits.CPUs, GPUs: limits.GPUs},
		Max:        jobstate.Resources{CPUs: limits.CPUsMax, GPUs: limits.GPUsMax},
	}
}

// newTeam is the account of a shard's jobs, with the limits that its team has now.
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

// load learns from the state service what a new owner needs. One in sync knows
// the team's progress already and begins with the jobs that it followed, even if
// the state service does not answer; one that is not must know every job and
// machine that was there before it took over.
func (n *Node) load(ctx context.Context, shard *shards.Owned, load int) {
	for ctx.Err() == nil {
		if !n.beginUnread(shard, load) || shard.IsFleet() {
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

// beginUnread begins a shard that need not wait for the state service; false if the load does not count any more.
func (n *Node) beginUnread(shard *shards.Owned, load int) bool {
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

// loadPages reads the state service up to now, and the shard's pages of finished tasks.
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

// pagesLoaded takes in the pages of finished tasks, after which they can be written.
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
	for uid, done := range done {
		if tj := shard.Team().Job(uid); tj != nil {
			shard.Team().AddJob(tj.Spec, tj.Version, tj.Submitted, done)
		}
	}
	n.wake()
}

// enterBarrier begins a shard with the jobs and machines known by now, and the finished
// tasks that the state service has.
func (n *Node) enterBarrier(shard *shards.Owned, done map[string]*bitset.BitSet) {
	if shard.IsFleet() {
		shard.StartFleet()
		return
	}
	team, _ := shards.TeamOf(shard.Name())
	for _, j := range n.jobs {
		if j.active && j.spec.Team == team {
			n.addJob(shard, j, done[j.spec.UID])
		}
	}
	shard.EnterBarrier(n.knownMachines())
	n.passBarrier(shard)
	n.wake()
}

// knownMachines lists all machines that an earlier owner may have started something on: those on the roster, and
// while that may lack some, those that are remembered or that the cloud lists.
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

// addJob has an own team take up an active job; done are the finished tasks that the state service has.
func (n *Node) addJob(shard *shards.Owned, j *job, done *bitset.BitSet) {
	shard.Team().AddJob(j.spec, j.version, j.submittedAt, done)
	shard.Team().Job(j.spec.UID).SetObjectives(n.objectives(j))
	shard.Team().Job(j.spec.UID).SetFaulty(n.quarantine.IsJobFaulty(j.spec.UID))
}
