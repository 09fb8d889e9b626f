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
	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Write-back in an epoch that followed a loss: jobs and job ends are written to the state service again.

const (
	// pageOverhead is the part of the maximum value size, in bytes, that a page of ends leaves unused.
	pageOverhead = 64
	// endsRetryDelay is the delay before a failed read of individual ends is retried.
	endsRetryDelay = 300 * time.Millisecond
	// endsPageDelay is the delay between two reads of individual ends.
	endsPageDelay = 100 * time.Millisecond
	// writeRetryDelay is the delay before a failed write of a job may be retried.
	writeRetryDelay = 200 * time.Millisecond
)

// writeBackJobs writes the jobs of teams owned here that the store lacks, and the ends of jobs that it still has as
// active.
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

// unwrittenJobs returns the active jobs of teams owned here that the store lacks and that are not being written.
func (n *Node) unwrittenJobs() []datarecovery.RememberedJob {
	var jobs []datarecovery.RememberedJob
	for uid, j := range n.jobs {
		if !j.active || j.version != 0 || n.recovery.writeBack.InFlight(uid) {
			continue
		}
		if shard := n.shards.OfTeam(j.spec.Team); shard != nil && shard.IsReady() {
			jobs = append(jobs, datarecovery.RememberedJob(j.accepted))
		}
	}
	return jobs
}

// ownsJob reports whether this controller owns the team of a job.
func (n *Node) ownsJob(uid string) bool {
	j := n.jobs[uid]
	return j != nil && n.shards.OfTeam(j.spec.Team) != nil
}

// writeBackJob writes a job to the store, unless the store has the job or its end.
func (n *Node) writeBackJob(ctx context.Context, s userapi.ActiveJob) {
	uid := s.Spec.UID
	version, err := n.kvStore.Commit(ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: userapi.ActiveJobPrefix + uid}, {Key: userapi.EndedJobPrefix + uid}},
		Changes:    []protocol.Op{{Set: userapi.ActiveJobPrefix + uid, Value: protocol.Encode(s)}}})
	if errors.Is(err, kvstore.ErrConflict) {
		// The store has the end or the job. In the latter case the watch delivers its version. No watch delivers the
		// end to the peers, since for them the store never had the job, so the end is sent to them.
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

// writeEndAgain replaces the active key of an ended job by its end.
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

// writeBackEnds writes the known ends to pages if this controller owns the fleet: once in an epoch, and again after
// more ends became known.
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

// writeEndPages writes the known ends that are on no page to new pages. It reports whether all are written.
func (n *Node) writeEndPages(ctx context.Context) bool {
	entries, _, err := n.kvStore.List(ctx, datarecovery.EndsKey)
	if err != nil {
		return false
	}
	written, next := n.readEndPages(entries)
	missing, err := n.userAPI.EndsMissingFrom(written.Digest())
	if err != nil {
		return false
	}
	pages := datarecovery.Pages(missing, maxValueBytes(n.settings.Deployment.KVStore)-pageOverhead)
	for i, page := range pages {
		key := datarecovery.EndsKey + strconv.Itoa(next+i)
		_, err := n.kvStore.Commit(ctx, kvstore.Update{Deferrable: true,
			Conditions: []protocol.Condition{{Key: key}},
			Changes:    []protocol.Op{{Set: key, Value: protocol.Encode(page)}}})
		if err != nil {
			return false // the caller tries again from the start
		}
	}
	n.log.Info("ends written back", "ends", len(missing), "pages", len(pages))
	return true
}

// readEndPages returns the ends on the pages in the store and the number of the next page.
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
			written.Add(end)
		}
	}
	return written, next
}

// loadStoredEnds is the background task that reads all individual ends in the store, so that they survive a loss there.
// The pages of ends are watched like the other keys.
func (n *Node) loadStoredEnds(ctx context.Context) error {
	for after, more := "", true; more; {
		n.mu.Lock()
		// Before the first record no job has ended, but the epoch of what is read is unknown. Processes that had read
		// everything before the first record was written counted their history as incomplete for good.
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

// learnStoredEnds records individual ends read from the store.
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

// learnRecoveryPage records a page of ends or of finished tasks read from the store.
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
	n.mergeFinishedTasks(jobstate.JoinFinished(finished))
	return nil
}
