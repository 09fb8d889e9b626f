package controller

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Write-back in an epoch that followed a loss: jobs and ends return to the state service.

const (
	// pageOverhead is what of a value's size is left free beside a page of ends.
	pageOverhead = 64
	// endsRetryDelay is after what time reading the single ends is tried again.
	endsRetryDelay = 300 * time.Millisecond
	// endsPageDelay parts the reads of the pages of single ends.
	endsPageDelay = 100 * time.Millisecond
	// writeRetryDelay is after what time a job whose write failed may be tried again.
	writeRetryDelay = 200 * time.Millisecond
)

// writeBackJobs gives the store the jobs of own teams that it lacks, and the ends of those that it
// has as active although they ended.
func (n *Node) writeBackJobs(now time.Time) {
	limit := 2 * n.settings.Deployment.KVStore.ChangesPerTransaction
	for _, job := range n.recovery.writeBack.StartJobs(n.unwrittenJobs(), limit) {
		n.group.Go(func() error {
			n.writeBackJob(n.ctx, userapi.ActiveJob(job))
			return nil
		})
	}
	for _, key := range n.recovery.writeBack.StartStaleKeys(now, limit, n.ownsJob, n.hasEnded) {
		final, _ := n.userAPI.KnownEnd(key.UID)
		n.group.Go(func() error {
			n.writeEndAgain(n.ctx, key, final)
			return nil
		})
	}
}

// unwrittenJobs are the active jobs of own teams that the store lacks and whose write is not under way.
func (n *Node) unwrittenJobs() []datarecovery.RememberedJob {
	var jobs []datarecovery.RememberedJob
	for uid, j := range n.jobs {
		if !j.active || j.version != 0 || n.recovery.writeBack.InFlight(uid) {
			continue
		}
		if shard := n.shards.OfTeam(j.spec.Team); shard != nil && shard.IsReady() {
			jobs = append(jobs, datarecovery.RememberedJob{Spec: j.spec, SubmittedAtMillis: j.submittedAt.UnixMilli()})
		}
	}
	return jobs
}

// ownsJob says whether this controller owns the team of a job.
func (n *Node) ownsJob(uid string) bool {
	j := n.jobs[uid]
	return j != nil && n.shards.OfTeam(j.spec.Team) != nil
}

// writeBackJob gives the store a job, unless it has the job or its end.
func (n *Node) writeBackJob(ctx context.Context, s userapi.ActiveJob) {
	uid := s.Spec.UID
	version, err := n.kvStore.Commit(ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: userapi.ActiveJobPrefix + uid}, {Key: userapi.EndedJobPrefix + uid}},
		Changes:    []protocol.Op{{Set: userapi.ActiveJobPrefix + uid, Value: protocol.Encode(s)}}})
	if errors.Is(err, kvstore.ErrConflict) {
		// Its end, if that is why; else the watch tells its version. No watch tells the
		// others of that end, since for them the store never had the job.
		if end, ended := n.userAPI.LookUpEnd(ctx, uid); ended {
			n.broadcastEnd(uid, end)
		}
	} else if err != nil {
		sleep(ctx, writeRetryDelay)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recovery.writeBack.Written(uid)
	if err == nil {
		n.learnJob(s, version)
	}
}

// writeEndAgain puts the end of a job in the place of the key that says that it is active.
func (n *Node) writeEndAgain(ctx context.Context, key datarecovery.StaleKey, final userapi.JobEnd) {
	_, err := n.kvStore.Commit(ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: userapi.ActiveJobPrefix + key.UID, Version: key.Version}},
		Changes: []protocol.Op{
			{Delete: userapi.ActiveJobPrefix + key.UID},
			{Set: userapi.EndedJobPrefix + key.UID, Value: protocol.Encode(final)},
		},
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recovery.writeBack.Written(key.UID)
	if err == nil || errors.Is(err, kvstore.ErrConflict) {
		n.recovery.writeBack.ActiveKeyDeleted(key.UID)
	}
}

// writeBackEnds has the fleet's owner write the ends to pages, once in an epoch and after it learned more.
func (n *Node) writeBackEnds() {
	if !n.shards.OwnsFleet() || !n.recovery.writeBack.StartPages() {
		return
	}
	epoch := n.leadership.Epoch()
	n.group.Go(func() error {
		complete := n.writeEndPages(n.ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.recovery.writeBack.PagesDone(complete && epoch == n.leadership.Epoch())
		return nil
	})
}

// writeEndPages writes the ends that are remembered to pages, as far as they are not on any. It says whether all are.
func (n *Node) writeEndPages(ctx context.Context) bool {
	entries, _, err := n.kvStore.List(ctx, datarecovery.EndsKey)
	if err != nil {
		return false
	}
	written, next := n.readEndPages(entries)
	left, err := n.userAPI.EndsMissingFrom(written.Digest())
	if err != nil {
		return false
	}
	pages := datarecovery.Pages(left, maxValueBytes(n.settings.Deployment.KVStore)-pageOverhead)
	for i, page := range pages {
		key := datarecovery.EndsKey + strconv.Itoa(next+i)
		_, err := n.kvStore.Commit(ctx, kvstore.Update{Deferrable: true,
			Conditions: []protocol.Condition{{Key: key}},
			Changes:    []protocol.Op{{Set: key, Value: protocol.Encode(page)}}})
		if err != nil {
			return false // looked at again from the start
		}
	}
	n.log.Info("ends written back", "ends", len(left), "pages", len(pages))
	return true
}

// readEndPages collects the ends on the pages that the store has, and finds the number of the next page.
func (n *Node) readEndPages(entries []protocol.Entry) (written *datarecovery.Ends, next int) {
	written = datarecovery.NewEnds()
	for _, e := range entries {
		if number, err := strconv.Atoi(e.Key[len(datarecovery.EndsKey):]); err == nil {
			next = max(next, number+1)
		}
		ends, err := datarecovery.ReadPage(e.Value)
		if err != nil {
			n.log.Error("unreadable key in the state service", "key", e.Key, "err", err)
			continue
		}
		for _, end := range ends {
			written.Learn(end)
		}
	}
	return written, next
}

// loadStoredEnds is the duty that loads all single ends that the store has, so that they outlive it. The pages
// of ends are followed like all that is watched.
func (n *Node) loadStoredEnds(ctx context.Context) error {
	for after, more := "", true; more; {
		n.mu.Lock()
		// Before the first record nothing ever ended, but it can't be said yet of which epoch what is
		// read is: processes that were quicker than the first record counted their memory as in part for good.
		ready := n.watchedKeysRead && n.trusted() && n.leadership.Record() != nil
		n.mu.Unlock()
		var entries []protocol.Entry
		err := error(nil)
		if ready {
			entries, more, err = n.kvStore.Page(ctx, userapi.EndedJobPrefix, after)
		}
		if !ready || err != nil {
			more = true
			if !sleep(ctx, endsRetryDelay) {
				return nil
			}
			continue
		}
		if len(entries) > 0 {
			after = entries[len(entries)-1].Key
		}
		n.learnStoredEnds(entries)
		if !sleep(ctx, endsPageDelay) {
			return nil
		}
	}
	n.mu.Lock()
	n.recovery.detection.EndsRead(n.leadership.Record())
	n.mu.Unlock()
	<-ctx.Done()
	return nil
}

// learnStoredEnds takes in single ends that the store has.
func (n *Node) learnStoredEnds(entries []protocol.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range entries {
		var final userapi.JobEnd
		if json.Unmarshal(e.Value, &final) == nil && final.State != "" {
			uid := e.Key[len(userapi.EndedJobPrefix):]
			n.userAPI.RecordEnd(uid, final)
			n.applyRememberedEnd(uid)
		}
	}
}

// learnRecoveryPage takes in a page of ends, or of finished tasks, from the store.
func (n *Node) learnRecoveryPage(key string, value []byte) error {
	if strings.HasPrefix(key, datarecovery.EndsKey) {
		ends, err := datarecovery.ReadPage(value)
		if err != nil {
			return err
		}
		n.learnEnds(ends)
		return nil
	}
	var finished map[string]*bitset.BitSet
	if err := json.Unmarshal(value, &finished); err != nil {
		return err
	}
	n.mergeFinishedTasks(finished)
	return nil
}
