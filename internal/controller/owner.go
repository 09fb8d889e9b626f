package controller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Phases of an item that this controller owns.
const (
	shardLoading = iota // reads jobs and bitmaps
	shardBarrier        // waits until every registered machine was heard or is gone
	shardReady
)

// item is a team or the fleet while this controller owns it.
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

// takeUp begins to own an item.
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

// loadAnew has items that are not ready yet look at the roster again, now that it names every machine that
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

// loaded begins an item with the jobs and machines known by now, and the finished
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

// booked takes in the pages of finished tasks, after which they can be written.
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

// passBarrier ends the barrier once every machine it waits for was heard under
// the item's term, which rules out that an earlier start still arrives, or is
// gone.
func (n *Node) passBarrier(it *shard) {
	for name := range it.awaitedMachines {
		m := n.machines[name]
		if m != nil && (m.gone || (m.status != nil && m.status.FencingToken >= it.sinceTerm)) {
			delete(it.awaitedMachines, name)
		}
	}
	if len(it.awaitedMachines) > 0 || !n.configReady() || !n.memoriesGathered(time.Now()) || (it.needsBarrier && n.record.RosterIncomplete && n.recovery.census == nil) {
		return
	}
	it.phase, it.graceFrom = shardReady, time.Now()
	if it.pagesRead {
		n.releaseUnregistered(it)
	}
	n.log.Info("item ready", "item", it.name, "term", it.sinceTerm, "after", it.graceFrom.Sub(it.takenAt))
	for _, name := range slices.Sorted(maps.Keys(n.machines)) {
		if m := n.machines[name]; m.status != nil {
			n.reconcileMachine(it, m.status)
		}
	}
}

// settleAwaited takes a machine that was heard off those that a barrier waits for. The others are looked at once a
// step: to walk them for each machine costs the square of their number.
func (n *Node) machineAnswered(it *shard, v *jobstate.MachineStatus) {
	if v.FencingToken < it.sinceTerm {
		return
	}
	delete(it.awaitedMachines, v.Machine)
	if len(it.awaitedMachines) == 0 {
		n.passBarrier(it)
	}
}

// dropUnregistered ends holds on machines that were struck off the roster before
// this controller followed it. No start goes to a machine that is not registered,
// and none is struck off before the cloud confirmed its end. The roster must be
// known up to the item's taking.
func (n *Node) releaseUnregistered(it *shard) {
	if n.record.RosterIncomplete {
		return // the roster itself was lost
	}
	for _, name := range it.team.Machines() {
		if !n.roster.Has(name) {
			it.team.Gone(name)
		}
	}
}

// observe lets an item's account see a machine and sends the orders that follow.
func (n *Node) reconcileMachine(it *shard, v *jobstate.MachineStatus) {
	if it.phase != shardReady || it.name == leadership.FleetShard {
		return
	}
	team, _ := teamOf(it.name)
	orders := it.team.Observe(v, time.Now(), teamKnowledge{n, team})
	if len(orders) > 0 {
		n.sendOrders(v.Machine, orders)
	}
	for _, ref := range it.team.Unsized(v.Machine) {
		n.lookUpEnd(ref.Job, ref.Attempt)
	}
}

// reobserve looks again at the machines that hold tasks of a job.
func (n *Node) reconcileMachinesOf(it *shard, uid string) {
	for _, name := range slices.Sorted(maps.Keys(n.machinesByJob[uid])) {
		n.reconcileMachine(it, n.machines[name].status)
	}
}

// order hands commands for a machine to its home; false if they surely went
// nowhere.
func (n *Node) sendOrders(name string, orders []jobstate.Order) bool {
	home := n.homeOf(name)
	if home == n.name {
		n.acceptOrders(name, n.record.Term, orders)
		return true
	}
	return n.links.Send(home, "orders", ordersMsg{Term: n.record.Term, Machine: name, Orders: orders})
}

// take is the home's side of order.
func (n *Node) acceptOrders(name string, term uint64, orders []jobstate.Order) {
	if n.agents.QueueOrders(term, name, orders) {
		n.wakeCommandSender(name)
	}
	n.publishStatus(name)
}

// needTerm says whether only a raised term can move something on.
func (n *Node) needsRaisedTerm(now time.Time) bool {
	for _, it := range n.shards {
		if it.phase == shardReady && it.team.Unproven(now, 4*time.Second) > 0 {
			return true
		}
	}
	return false
}

// minPause and maxShare bound how often and for how much of the time a step is
// taken: what happens meanwhile is looked at together.
const (
	minStepPause    = 20 * time.Millisecond
	stepPauseFactor = 4
)

// work is the main duty: it replicates, orders and places whenever something
// happened, and at every tick.
func (n *Node) runSteps(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		due := time.Now().Add(tick)
		select {
		case <-ctx.Done():
			return nil
		case <-n.wakeRequests:
		case <-ticker.C:
		}
		n.mu.Lock()
		began := time.Now()
		if stalled := began.Sub(due); stalled > stallThreshold {
			n.resumedAfterStall(began, stalled)
		}
		n.step(began)
		took := time.Since(began)
		n.mu.Unlock()
		if !pause(ctx, max(minStepPause, stepPauseFactor*took)) {
			return nil
		}
	}
}

// stillFor is by how much the main duty must be late to show that the process
// stood still while the clocks ran on.
const stallThreshold = time.Second

// woke begins to count silence anew: who was not heard while this controller stood
// still may have spoken all the time.
func (n *Node) resumedAfterStall(now time.Time, stalled time.Duration) {
	n.log.Info("stood still while the clocks ran on", "for", stalled, "entitled", n.entitled(now))
	n.membershipSettledAt, n.lastStall = now, stalled
	for _, it := range n.shards {
		it.graceFrom = now
	}
}

func (n *Node) step(now time.Time) {
	if !n.entitled(now) {
		return
	}
	n.configure(now)
	for _, it := range n.shards {
		it.team.SetFloors(n.floorsOf(it))
		it.team.TurnHoldback(now)
	}
	n.place(now)
	seldom := now.Sub(n.runningReviewedAt) > runningReviewInterval
	if seldom {
		n.runningReviewedAt = now
	}
	for _, name := range slices.Sorted(maps.Keys(n.shards)) {
		it := n.shards[name]
		if it.phase == shardBarrier {
			n.passBarrier(it)
		}
		if it.phase != shardReady {
			continue
		}
		n.replicate(it, now)
		if name == leadership.FleetShard || it.handingOver {
			continue
		}
		due := it.team.Due(n.acknowledgedByAll(it), now, func(m string, session uint64) bool {
			x := n.machines[m]
			return x != nil && !x.gone && n.roster.Has(m) && x.status != nil && x.status.Incarnation == session
		})
		for m, orders := range due {
			if !n.sendOrders(m, orders) {
				it.team.Unsent(orders)
			} else if !it.firstStartSent && orders[0].Op == protocol.Start {
				it.firstStartSent = true
				n.log.Info("item's first start", "item", name, "after", now.Sub(it.takenAt))
			}
		}
		n.commitFinishedJobs(it)
		if seldom {
			n.moveSlowTasks(it, now)
			n.evictFromNoticedMachines(it)
		}
	}
	n.countLate(now)
	n.sendChangedStatuses()
}

// lookEvery is how often running tasks are looked over for those to be moved.
const runningReviewInterval = 500 * time.Millisecond

// moveSlow stops tasks that take far longer than their kin took, to start them
// anew elsewhere once they are proven off: as when a machine is faulty.
func (n *Node) moveSlowTasks(it *shard, now time.Time) {
	it.team.Jobs(func(tj *jobstate.Job) {
		uid := tj.Spec.UID
		j := n.jobs[uid]
		if j == nil || j.completedRuns < max(3, tj.Spec.Tasks/3) || tj.Spec.Kind != protocol.JobArray {
			return
		}
		limit := max(j.longestRun, tj.Spec.RunTime()) * 5 / 2
		it.team.Running(tj, func(h jobstate.Assignment) {
			m := n.machines[h.Machine]
			if m == nil || tj.Avoids(h.Machine, now) {
				return
			}
			since, ok := m.runningSince[h.Ref()]
			if ok && now.Sub(since) > limit && it.team.Move(h, tj.Spec.Save, now) {
				m.slowAt = now
				n.log.Info("task slower than its kin", "task", uid, "index", h.Index, "machine", h.Machine, "ran", now.Sub(since), "kin", j.longestRun)
			}
		})
	})
}

// leaveNoticed moves work off machines that the cloud announced to take away:
// what can save, gangs as a whole, and replicas. Other tasks may yet complete.
func (n *Node) evictFromNoticedMachines(it *shard) {
	for _, name := range it.team.Machines() {
		m := n.machines[name]
		if m == nil || m.status == nil || !m.status.Notice {
			continue
		}
		it.team.On(name, func(h jobstate.Assignment) {
			j := it.team.Job(h.Job)
			switch {
			case j == nil:
			case j.Spec.Kind == protocol.Gang:
				it.team.StopJob(j, j.Spec.Save)
			case j.Spec.Kind == protocol.Service || j.Spec.Checkpoint > 0:
				it.team.Stop(h.Ref(), j.Spec.Save)
			}
		})
	}
}

// finish commits the end of jobs whose tasks are all done.
func (n *Node) commitFinishedJobs(it *shard) {
	it.team.Jobs(func(j *jobstate.Job) {
		if j.Spec.Kind == protocol.Service || j.Finishing || !it.team.Complete(j) {
			return
		}
		if j.Version == 0 {
			return // after a loss: the store gets it back first
		}
		j.Finishing = true
		version, written := n.recordVersion, j.Version
		n.group.Go(func() error {
			n.commitJobEnd(n.ctx, it, j, version, written)
			return nil
		})
	})
}

func (n *Node) commitJobEnd(ctx context.Context, it *shard, j *jobstate.Job, version, written uint64) {
	uid := j.Spec.UID
	team, _ := teamOf(it.name)
	end := userapi.EndOf(j.Spec, protocol.Done)
	_, err := n.kvStore.Commit(ctx, kvstore.Update{
		Guards: []protocol.Condition{{Key: userapi.JobKey + uid, Version: written}, {Key: controlKey, Version: version}},
		Ops:    []protocol.Op{{Delete: userapi.JobKey + uid}, {Set: userapi.FinalKey + uid, Value: protocol.Encode(end)}}})
	if c := (*kvstore.Conflict)(nil); errors.As(err, &c) && slices.Contains(c.Keys, userapi.JobKey+uid) {
		(*userBackend)(n).Missing(uid) // or just withdrawn; the record may have changed as well, which says nothing
	}
	if err == nil {
		n.replicateFact(ctx, replicateFactMsg{Ends: []jobEnd{{uid, end}}})
		n.front.Learn(uid, end)
	} else {
		n.log.Debug("end of job not written yet", "job", uid, "err", err)
		pause(ctx, 200*time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.log.Info("job done", "job", uid, "team", team)
		n.ranOut(j.Spec, time.Now())
		n.endJob(uid)
	}
	j.Finishing = false
	n.wake()
}
