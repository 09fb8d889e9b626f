package controller

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// What is done in a generation that followed a loss: jobs, ends and machines return to the
// state service.

// writeEvery is how often it is looked what is to be written back.
const writeBackInterval = 200 * time.Millisecond

// burial is an ended job that the store has as active, by a version, as was seen at a time.
type staleActiveKey struct {
	version uint64
	seen    time.Time
}

// buryAfter is what the change of the store that ended the job may take to be seen here.
const staleKeyDelay = 2 * time.Second

// remember takes down the finished tasks that this controller knows as owner or backup.
func (n *Node) rememberFinishedTasks() {
	old := n.recovery.done
	n.recovery.done = nil
	n.mergeFinishedTasks(old)
	for it := range n.shards.All() {
		n.mergeFinishedTasks(it.Team().Replica().Done)
	}
	for replica := range n.shards.Held().All() {
		n.mergeFinishedTasks(replica.Done)
	}
}

// restore does what is left to do in a generation that followed a loss.
func (n *Node) continueRecovery(now time.Time) {
	if !n.trusted() || n.record == nil {
		return
	}
	if len(n.recovery.unknown) > 1000 {
		clear(n.recovery.unknown) // only spares looking the same job up again
	}
	if len(n.recovery.tentative) > 0 {
		maps.DeleteFunc(n.recovery.tentative, func(_ string, t proposedJob) bool { return now.Sub(t.at) > proposedJobLife })
	}
	if now.Sub(n.recovery.told) > memoriesResendInterval && (n.recovery.gather != nil || !n.allPeersExchanged(now)) {
		n.recovery.told = now
		n.sendMemories(true, slices.Sorted(maps.Keys(n.peers))...)
	}
	if n.epoch() <= 1 || !n.entitled(now) || !n.memoriesGathered(now) || now.Sub(n.recovery.wrote) < writeBackInterval {
		return
	}
	n.recovery.wrote = now
	n.writeBackJobs(now)
	n.writeBackConfig()
	if n.shards.OwnsFleet() && !n.recovery.sealed && !n.recovery.sealing {
		n.recovery.sealing = true
		generation := n.epoch()
		n.group.Go(func() error {
			ok := n.writeEndPages(n.ctx)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.recovery.sealing = false
			n.recovery.sealed = ok && generation == n.epoch()
			return nil
		})
	}
}

// writeBack gives the store the jobs of own teams that it lacks, and buries those that it
// has as active. Few at a time: acceptances and the roster are not to wait for them.
func (n *Node) writeBackJobs(now time.Time) {
	var jobs []datarecovery.Unwritten
	for uid, j := range n.jobs {
		if it := n.shards.OfTeam(j.spec.Team); j.active && j.version == 0 && it != nil && it.IsReady() && !n.recovery.writing[uid] {
			jobs = append(jobs, datarecovery.Unwritten{Spec: j.spec, At: j.submittedAt.UnixMilli()})
		}
	}
	datarecovery.SortForWriteBack(jobs)
	most := 2 * n.settings.Deployment.State.TxnOps
	for _, u := range jobs {
		if len(n.recovery.writing) >= most {
			return
		}
		uid := u.Spec.UID
		n.recovery.writing[uid] = true
		n.group.Go(func() error {
			n.writeBackJob(n.ctx, userapi.Stored{Spec: u.Spec, At: u.At})
			return nil
		})
	}
	for uid, b := range n.recovery.bury {
		j := n.jobs[uid]
		if j == nil || now.Sub(b.seen) < staleKeyDelay || n.shards.OfTeam(j.spec.Team) == nil || n.recovery.writing[uid] || len(n.recovery.writing) >= most {
			continue
		}
		final, ended := n.front.Final(uid)
		if !ended {
			delete(n.recovery.bury, uid)
			continue
		}
		n.recovery.writing[uid] = true
		n.group.Go(func() error {
			_, err := n.kvStore.Commit(n.ctx, kvstore.Update{Guards: []protocol.Condition{{Key: userapi.JobKey + uid, Version: b.version}},
				Ops: []protocol.Op{{Delete: userapi.JobKey + uid}, {Set: userapi.FinalKey + uid, Value: protocol.Encode(final)}}})
			n.mu.Lock()
			defer n.mu.Unlock()
			delete(n.recovery.writing, uid)
			if err == nil || errors.Is(err, kvstore.ErrConflict) {
				delete(n.recovery.bury, uid)
			}
			return nil
		})
	}
}

func (n *Node) writeBackJob(ctx context.Context, s userapi.Stored) {
	uid := s.Spec.UID
	version, err := n.kvStore.Commit(ctx, kvstore.Update{
		Guards: []protocol.Condition{{Key: userapi.JobKey + uid}, {Key: userapi.FinalKey + uid}},
		Ops:    []protocol.Op{{Set: userapi.JobKey + uid, Value: protocol.Encode(s)}}})
	if errors.Is(err, kvstore.ErrConflict) {
		// Its end, if that is why; else the watch tells its version. No watch tells the
		// others of that end, since for them the store never had the job.
		if end, ended := n.front.Ended(ctx, uid); ended {
			n.broadcastEnd(uid, end)
		}
	} else if err != nil {
		sleep(ctx, 200*time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.recovery.writing, uid)
	if err == nil {
		n.learnJob(s, version)
	}
}

// seal writes the ends that are remembered to pages, as far as they are not on any.
func (n *Node) writeEndPages(ctx context.Context) bool {
	entries, _, err := n.kvStore.List(ctx, datarecovery.EndsKey)
	if err != nil {
		return false
	}
	on, next := datarecovery.NewEnds(), 0
	for _, e := range entries {
		if number, err := strconv.Atoi(e.Key[len(datarecovery.EndsKey):]); err == nil {
			next = max(next, number+1)
		}
		ends, err := datarecovery.ReadPage(e.Value)
		if err != nil {
			n.log.Error("unreadable key in the state service", "key", e.Key, "err", err)
			continue
		}
		for _, x := range ends {
			on.Learn(x)
		}
	}
	left, err := n.front.Lacking(on.Digest())
	if err != nil {
		return false
	}
	pages := datarecovery.Pages(left, maxValueBytes(n.settings.Deployment.State)-64)
	for _, p := range pages {
		key := datarecovery.EndsKey + strconv.Itoa(next)
		if _, err := n.kvStore.Commit(ctx, kvstore.Update{Later: true, Guards: []protocol.Condition{{Key: key}}, Ops: []protocol.Op{{Set: key, Value: protocol.Encode(p)}}}); err != nil {
			return false // looked at again from the start
		}
		next++
	}
	n.log.Info("ends written back", "ends", len(left), "pages", len(pages))
	return true
}

// readEnds loads all single ends that the store has, so that they outlive it. The pages
// of ends are followed like all that is watched.
func (n *Node) loadStoredEnds(ctx context.Context) error {
	for after, more := "", true; more; {
		n.mu.Lock()
		// Before the first record nothing ever ended, but it can't be said yet of which generation what is
		// read is: processes that were quicker than the first record counted their memory as in part for good.
		ready := n.watchedKeysRead && n.trusted() && n.record != nil
		n.mu.Unlock()
		var entries []protocol.Entry
		err := error(nil)
		if ready {
			entries, more, err = n.kvStore.Page(ctx, userapi.FinalKey, after)
		}
		if !ready || err != nil {
			more = true
			if !sleep(ctx, 300*time.Millisecond) {
				return nil
			}
			continue
		}
		n.mu.Lock()
		for _, e := range entries {
			after = e.Key
			var final userapi.Final
			if json.Unmarshal(e.Value, &final) == nil && final.State != "" {
				uid := e.Key[len(userapi.FinalKey):]
				n.front.Learn(uid, final)
				n.applyRememberedEnd(uid)
			}
		}
		n.mu.Unlock()
		if !sleep(ctx, 100*time.Millisecond) {
			return nil
		}
	}
	n.mu.Lock()
	n.recovery.read = true
	n.recovery.whole = n.recovery.proof == "" && n.record != nil && !n.record.DataLost
	n.mu.Unlock()
	<-ctx.Done()
	return nil
}

// learnPage takes in a page of ends, or of finished tasks, from the store.
func (n *Node) learnRecoveryPage(key string, value []byte) error {
	if strings.HasPrefix(key, datarecovery.EndsKey) {
		ends, err := datarecovery.ReadPage(value)
		if err != nil {
			return err
		}
		n.learnEnds(ends)
		return nil
	}
	var done map[string]*bitset.BitSet
	if err := json.Unmarshal(value, &done); err != nil {
		return err
	}
	n.mergeFinishedTasks(done)
	return nil
}

// learnDone takes in finished tasks that were remembered elsewhere, of jobs that may be
// known only later.
func (n *Node) mergeFinishedTasks(done map[string]*bitset.BitSet) {
	if n.recovery.done == nil {
		n.recovery.done = map[string]*bitset.BitSet{}
	}
	for uid, d := range done {
		j := n.jobs[uid]
		if d == nil || n.hasEnded(uid) || j != nil && (!j.active || j.spec.Kind == protocol.Service) {
			continue
		}
		if n.recovery.done[uid] == nil {
			n.recovery.done[uid] = bitset.New(0)
		}
		n.recovery.done[uid].InPlaceUnion(d)
		if j == nil {
			continue
		}
		if it := n.shards.OfTeam(j.spec.Team); it != nil && it.Phase() != shards.Loading {
			it.Team().Merge(uid, d)
		}
	}
	n.wake()
}

// takeCensus reads the cloud's list once it must name every machine that was rented
// before the generation began. The roster may have lost some of them.
func (n *Node) countMachines(ctx context.Context) error {
	for sleep(ctx, 200*time.Millisecond) {
		n.mu.Lock()
		entered := n.recovery.entered
		due := n.record != nil && n.record.RosterIncomplete && n.recovery.census == nil && n.trusted() &&
			time.Since(entered) > settings.Seconds(2*n.settings.Deployment.Cloud.ListLag)
		n.mu.Unlock()
		if !due {
			continue
		}
		hosts, err := n.cloud.List(ctx)
		if err != nil {
			n.log.Info("cloud list not read", "err", err)
			continue
		}
		n.mu.Lock()
		if n.recovery.entered.Equal(entered) {
			n.applyCensus(hosts)
		}
		n.mu.Unlock()
	}
	return nil
}

// counted takes in the census. A machine that is still booting in a list that old has run
// nothing before the loss.
func (n *Node) applyCensus(hosts []protocol.Host) {
	n.recovery.census = map[string]bool{}
	addrs := map[string]protocol.Host{}
	for _, h := range hosts {
		if h.State == protocol.HostBooting || n.machine(h.UID).gone {
			continue
		}
		n.recovery.census[h.UID] = true
		addrs[h.UID] = h
		if n.shards.OwnsFleet() && !n.roster.Has(h.UID) {
			n.unregistered[h.UID] = true
		}
	}
	awaited := map[string]bool{}
	for it := range n.shards.All() {
		if it.Phase() == shards.Barrier && it.NeedsBarrier() {
			it.AwaitMachines(maps.Keys(n.recovery.census))
			n.passBarrier(it)
			for name := range it.AwaitedMachines() {
				awaited[name] = true
			}
		}
	}
	n.log.Info("machines counted", "listed", len(n.recovery.census), "remembered", len(n.recovery.names), "awaited", len(awaited))
	n.probeAwaited(addrs, awaited)
	n.wake()
}

// rosterWhole says whether every machine that may run something from before the loss is
// on the roster again.
func (n *Node) rosterComplete() bool {
	if n.recovery.census == nil {
		return false
	}
	for _, names := range []map[string]bool{n.recovery.census, n.recovery.names} {
		for name := range names {
			if m := n.machines[name]; !n.roster.Has(name) && (m == nil || !m.gone) {
				n.unregistered[name] = true
				return false
			}
		}
	}
	return true
}

// undescribed says whether a machine runs a task from before a loss of a job that nobody can
// describe. Nothing is placed beside it, since nobody knows what it takes; that stays so
// when the search for what was lost has been given up.
func (n *Node) runsUndescribedJob(v *jobstate.MachineStatus) bool {
	if n.epoch() <= 1 {
		return false
	}
	return slices.ContainsFunc(v.Tasks, func(t jobstate.TaskStatus) bool {
		return t.State != protocol.Exited && n.jobs[t.Job] == nil && jobstate.TermOf(t.Attempt) < n.record.FirstTerm
	})
}

func (n *Node) storeStatus() datarecovery.Status {
	phase, _, sign := n.recovery.watch.Phase()
	signs, losses := n.recovery.watch.Counts()
	o := datarecovery.Status{Phase: phase.String(), Sign: sign, Epoch: n.epoch(), StaleActive: len(n.recovery.bury), Ends: n.front.Ends(),
		MemoryComplete: n.recovery.whole, Unreplicated: n.recovery.alone, Suspicions: signs, Losses: losses}
	if n.record != nil {
		o.DataLost, o.RosterIncomplete = n.record.DataLost, n.record.RosterIncomplete
		o.AwaitedMemories = n.recovery.gather.Awaited()
	}
	for _, j := range n.jobs {
		if j.active && j.version == 0 {
			o.Unwritten++
		}
	}
	for _, m := range n.machines {
		if m.gone || m.status == nil || !n.runsUndescribedJob(m.status) || len(o.Undescribed) >= 100 {
			continue
		}
		for _, t := range m.status.Tasks {
			if n.jobs[t.Job] == nil && t.State != protocol.Exited && !slices.Contains(o.Undescribed, t.Job) {
				o.Undescribed = append(o.Undescribed, t.Job)
			}
		}
	}
	slices.Sort(o.Undescribed)
	return o
}
