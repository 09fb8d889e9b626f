package controller

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

// Phases of an item that this controller owns.
const (
	shardLoading = iota // reads jobs and bitmaps
	shardBarrier        // waits until every registered machine was heard or is gone
	shardReady
)

// shard is a team or the fleet while this controller owns it.
type shard struct {
	name             string
	sinceTerm        uint64
	phase            int
	needsBarrier     bool
	team             *jobstate.Team
	handingOver      bool     // being handed over
	addingReplicas   []string // backups that a pending change of the record puts in sync
	takenAt          time.Time
	graceFrom        time.Time // or became ready, or the controller woke: backups get their time from then
	acknowledgements map[string]*replicaAck
	awaitedMachines  map[string]bool // machines that the barrier waits for
	pages            *jobstate.PageSet
	loadNumber       int  // the load under way; an earlier one's outcome no longer counts
	pagesRead        bool // the book holds what the state service has
	saving           bool
	firstStartSent   bool // a start was given to a home
}

func teamShard(team string) string { return "team/" + team }

func teamOf(name string) (string, bool) { return strings.CutPrefix(name, "team/") }

// followOwners takes over and gives up shards as a new control record says; member: this process is in the record.
func (n *Node) followOwners(r *leadership.Record, member bool) {
	for name, entry := range r.Shards {
		owned := n.shards[name]
		mine := member && entry.Owner == n.name
		if owned != nil && (!mine || owned.sinceTerm != entry.SinceTerm) {
			n.giveUpOwnership(owned, entry, member)
			owned = nil
		}
		switch {
		case mine && owned == nil:
			n.takeOwnership(name, entry)
		case mine:
			owned.handingOver = false
			owned.addingReplicas = nil
			if owned.team != nil {
				owned.team.SetTerm(r.Term)
			}
		}
	}
	if !member {
		n.replicas = map[string]*heldReplica{}
	}
}

// giveUpOwnership ends the ownership of a shard; a member of the record goes on to hold it as a replica.
func (n *Node) giveUpOwnership(it *shard, entry leadership.Shard, member bool) {
	if it.phase == shardReady && member {
		n.replicas[it.name] = &heldReplica{since: entry.SinceTerm, rep: it.team.Replica()}
	}
	n.log.Info("item given up", "item", it.name, "owner", entry.Owner, "term", n.record.Term)
	delete(n.shards, it.name)
	n.recount(slices.Values(it.team.Machines()))
}

// takeOwnership begins to own an item.
func (n *Node) takeOwnership(name string, r leadership.Shard) {
	now := time.Now()
	it := &shard{name: name, sinceTerm: r.SinceTerm, needsBarrier: r.NeedsBarrier, graceFrom: now, takenAt: now,
		acknowledgements: map[string]*replicaAck{}, pages: jobstate.NewPageSet(maxValueBytes(n.settings.Deployment.State))}
	n.shards[name] = it
	n.tookTeam()
	rep := jobstate.NewReplica()
	if kept := n.replica(name); kept != nil && !it.needsBarrier {
		rep = kept
	} else if r.SinceTerm > n.record.FirstTerm || n.record.Epoch > 1 {
		it.needsBarrier = true // the record thinks that we know everything, but we don't
	}
	delete(n.replicas, name)
	n.log.Info("item taken", "item", name, "term", r.SinceTerm, "barrier", it.needsBarrier, "held", len(rep.Holds))
	if _, ok := teamOf(name); !ok {
		rep = jobstate.NewReplica()
	}
	it.team = n.newTeam(name, rep, n.record.Term)
	if team, ok := teamOf(name); ok {
		for uid, d := range n.recovery.done {
			if j := n.jobs[uid]; j != nil && j.active && j.spec.Team == team {
				it.team.Merge(uid, d)
			}
		}
	}
	n.startLoad(it)
}

// startLoad begins to load an item, in place of a load that is under way.
func (n *Node) startLoad(it *shard) {
	it.loadNumber++
	load := it.loadNumber
	n.group.Go(func() error {
		n.load(n.ctx, it, load)
		return nil
	})
}

// reload has items that are not ready yet look at the roster again, now that it names every machine that
// may run something from before a loss. Whom such an item waited for until then came from a roster with
// holes, and the record that calls it whole may be known here before the lists that fill them: an
// owner that started after the loss once waited for nobody and started again what still ran.
func (n *Node) reload() {
	for _, it := range n.shards {
		if it.phase == shardReady {
			continue
		}
		it.pagesRead = false
		if it.needsBarrier {
			it.phase = shardLoading
		}
		n.startLoad(it)
	}
}

func (n *Node) newTeam(name string, rep *jobstate.Replica, term uint64) *jobstate.Team {
	log := func(event string, args ...any) { n.log.Debug(event, append(args, "item", name)...) }
	team, _ := teamOf(name)
	for _, t := range n.teams() {
		if t.Name == team {
			return jobstate.NewTeam(name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax, rep, term, log)
		}
	}
	return jobstate.NewTeam(name, 0, 0, 0, 0, rep, term, log)
}

// load learns from the state service what a new owner needs. One in sync knows
// the team's progress already and begins with the jobs that it followed, even if
// the state service does not answer; one that is not must know every job and
// machine that was there before it took over.
func (n *Node) load(ctx context.Context, it *shard, load int) {
	for ctx.Err() == nil {
		n.mu.Lock()
		current := n.shards[it.name] == it && it.loadNumber == load
		if current && it.phase == shardLoading && (!it.needsBarrier || it.name == leadership.FleetShard) {
			n.enterBarrier(it, nil)
		}
		n.mu.Unlock()
		if !current || it.name == leadership.FleetShard {
			return
		}
		err := n.waitForChanges(ctx)
		if err == nil {
			var pages []protocol.Entry
			if pages, _, err = n.kvStore.List(ctx, pagesPrefix(it.name)); err == nil {
				n.mu.Lock()
				if it.loadNumber == load {
					n.pagesLoaded(it, pages)
				}
				n.mu.Unlock()
				return
			}
		}
		n.log.Info("item waits for the state service", "item", it.name, "err", err)
		pause(ctx, 300*time.Millisecond)
	}
}

// enterBarrier begins an item with the jobs and machines known by now, and the finished
// tasks that the state service has.
func (n *Node) enterBarrier(it *shard, done map[string]*bitset.BitSet) {
	if it.name == leadership.FleetShard {
		it.phase = shardReady
		return
	}
	team, _ := teamOf(it.name)
	for _, j := range n.jobs {
		if j.active && j.spec.Team == team {
			n.addJob(it, j, done[j.spec.UID])
		}
	}
	it.phase = shardBarrier
	it.awaitedMachines = map[string]bool{}
	if it.needsBarrier {
		for _, name := range n.roster.All() {
			it.awaitedMachines[name] = true
		}
		if n.record.RosterIncomplete {
			maps.Copy(it.awaitedMachines, n.recovery.names)
			maps.Copy(it.awaitedMachines, n.recovery.census)
		}
	}
	n.passBarrier(it)
	n.wake()
}

// addJob has an own team take up an active job; done are the finished tasks that the state service has.
func (n *Node) addJob(it *shard, j *job, done *bitset.BitSet) {
	it.team.AddJob(j.spec, j.version, j.submittedAt, done)
	it.team.SetGoals(j.spec.UID, n.goals(j))
	it.team.SetFaulty(j.spec.UID, n.quarantine.IsJobFaulty(j.spec.UID))
}

// pagesLoaded takes in the pages of finished tasks, after which they can be written.
func (n *Node) pagesLoaded(it *shard, pages []protocol.Entry) {
	if n.shards[it.name] != it {
		return
	}
	done := n.readPages(it, pages)
	it.pagesRead = true
	if it.phase == shardLoading {
		n.enterBarrier(it, done)
		return
	}
	n.releaseUnregistered(it)
	for uid, done := range done {
		if tj := it.team.Job(uid); tj != nil {
			it.team.AddJob(tj.Spec, tj.Version, tj.Submitted, done)
		}
	}
	n.wake()
}
