package controller

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
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

// storeWriteBack restores jobs and job ends in the state service, and records the ends that are read there or received.
// Node.mu guards it: learnStoredEnds, broadcastEnd and the methods that have a context parameter take it when they need
// it, and readEndPages doesn't need it. All others are called with it held.
type storeWriteBack struct {
	*datarecovery.WriteBack

	host       writeBackHost
	mu         sync.Locker // Node.mu
	log        *slog.Logger
	settings   *settings.Settings
	kvStore    *kvstore.Client
	userAPI    *userapi.Handler
	leadership *leadership.State
	shards     *shards.Registry
	jobs       map[string]*job
	detection  *lossDetector
}

// writeBackHost is what a storeWriteBack asks of the controller.
type writeBackHost interface {
	// startTask runs a task in the background.
	startTask(task func(ctx context.Context))
	// watchedKeysListed returns whether the watched keys were listed at least once.
	watchedKeysListed() bool
	// learnJob records an active job.
	learnJob(job userapi.ActiveJob, version uint64)
	// endJob marks a job as ended.
	endJob(uid string)
	// hasEnded returns whether this controller has a recorded end of a job.
	hasEnded(uid string) bool
	// broadcast sends a message to all peers.
	broadcast(kind string, body any)
}

func newStoreWriteBack(n *Node, detection *lossDetector) *storeWriteBack {
	return &storeWriteBack{
		WriteBack:  datarecovery.NewWriteBack(),
		host:       n,
		mu:         &n.mu,
		log:        n.log,
		settings:   n.settings,
		kvStore:    n.kvStore,
		userAPI:    n.userAPI,
		leadership: n.leadership,
		shards:     n.shards,
		jobs:       n.jobs,
		detection:  detection,
	}
}

// writeBackJobs writes the jobs of teams owned here that the store lacks, and the ends of jobs that it still has as
// active.
func (w *storeWriteBack) writeBackJobs(now time.Time) {
	limit := 2 * w.settings.Deployment.KVStore.ChangesPerTransaction
	for _, job := range w.StartJobs(w.unwrittenJobs(), limit) {
		w.host.startTask(func(ctx context.Context) {
			w.writeBackJob(ctx, userapi.ActiveJob(job))
		})
	}
	for _, key := range w.StartStaleKeys(now, limit, w.ownsJob, w.host.hasEnded) {
		final, _ := w.userAPI.KnownEnd(key.UID)
		w.host.startTask(func(ctx context.Context) {
			w.writeEndAgain(ctx, key, final)
		})
	}
}

// unwrittenJobs returns the active jobs of teams owned here that the store lacks and that are not being written.
func (w *storeWriteBack) unwrittenJobs() []datarecovery.RememberedJob {
	var jobs []datarecovery.RememberedJob
	for uid, j := range w.jobs {
		if !j.active || j.version != 0 || w.InFlight(uid) {
			continue
		}
		if shard := w.shards.OfTeam(j.spec.Team); shard != nil && shard.IsReady() {
			jobs = append(jobs, datarecovery.RememberedJob(j.accepted))
		}
	}
	return jobs
}

// ownsJob reports whether this controller owns the team of a job.
func (w *storeWriteBack) ownsJob(uid string) bool {
	j := w.jobs[uid]
	return j != nil && w.shards.OfTeam(j.spec.Team) != nil
}

// writeBackJob writes a job to the store, unless the store has the job or its end.
func (w *storeWriteBack) writeBackJob(ctx context.Context, s userapi.ActiveJob) {
	uid := s.Spec.UID
	version, err := w.kvStore.Commit(ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: userapi.ActiveJobPrefix + uid}, {Key: userapi.EndedJobPrefix + uid}},
		Changes:    []protocol.Op{{Set: userapi.ActiveJobPrefix + uid, Value: protocol.Encode(s)}}})
	if errors.Is(err, kvstore.ErrConflict) {
		// The store has the end or the job. In the latter case the watch delivers its version. No watch delivers the
		// end to the peers, since for them the store never had the job, so the end is sent to them.
		if end, ended := w.userAPI.LookUpEnd(ctx, uid); ended {
			w.broadcastEnd(uid, end)
		}
	} else if err != nil {
		sleep(ctx, writeRetryDelay)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Written(uid)
	if err == nil {
		w.host.learnJob(s, version)
	}
}

// writeEndAgain replaces the active key of an ended job by its end.
func (w *storeWriteBack) writeEndAgain(ctx context.Context, key datarecovery.StaleKey, final userapi.JobEnd) {
	_, err := w.kvStore.Commit(ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: userapi.ActiveJobPrefix + key.UID, Version: key.Version}},
		Changes: []protocol.Op{
			{Delete: userapi.ActiveJobPrefix + key.UID},
			{Set: userapi.EndedJobPrefix + key.UID, Value: protocol.Encode(final)},
		},
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Written(key.UID)
	if err == nil || errors.Is(err, kvstore.ErrConflict) {
		w.ActiveKeyDeleted(key.UID)
	}
}

// writeBackEnds writes the known ends to pages if this controller owns the fleet: once in an epoch, and again after
// more ends became known.
func (w *storeWriteBack) writeBackEnds() {
	if !w.shards.OwnsFleet() || !w.StartPages() {
		return
	}
	epoch := w.leadership.Epoch()
	w.host.startTask(func(ctx context.Context) {
		complete := w.writeEndPages(ctx)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.PagesDone(complete && epoch == w.leadership.Epoch())
	})
}

// writeEndPages writes the known ends that are on no page to new pages. It reports whether all are written.
func (w *storeWriteBack) writeEndPages(ctx context.Context) bool {
	entries, _, err := w.kvStore.List(ctx, datarecovery.EndsKey)
	if err != nil {
		return false
	}
	written, next := w.readEndPages(entries)
	missing, err := w.userAPI.EndsMissingFrom(written.Digest())
	if err != nil {
		return false
	}
	pages := datarecovery.Pages(missing, maxValueBytes(w.settings.Deployment.KVStore)-pageOverhead)
	for i, page := range pages {
		key := datarecovery.EndsKey + strconv.Itoa(next+i)
		_, err := w.kvStore.Commit(ctx, kvstore.Update{Deferrable: true,
			Conditions: []protocol.Condition{{Key: key}},
			Changes:    []protocol.Op{{Set: key, Value: protocol.Encode(page)}}})
		if err != nil {
			return false // the caller tries again from the start
		}
	}
	w.log.Info("ends written back", "ends", len(missing), "pages", len(pages))
	return true
}

// readEndPages returns the ends on the pages in the store and the number of the next page.
func (w *storeWriteBack) readEndPages(entries []protocol.Entry) (written *datarecovery.Ends, next int) {
	written = datarecovery.NewEnds()
	for _, e := range entries {
		if number, err := strconv.Atoi(e.Key[len(datarecovery.EndsKey):]); err == nil {
			next = max(next, number+1)
		}
		ends, err := datarecovery.ReadPage(e.Value)
		if err != nil {
			w.log.Error("unreadable key in the state service", "key", e.Key, "err", err)
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
func (w *storeWriteBack) loadStoredEnds(ctx context.Context) error {
	for after, more := "", true; more; {
		w.mu.Lock()
		// Before the first record no job has ended, but the epoch of what is read is unknown. Processes that had read
		// everything before the first record was written counted their history as incomplete for good.
		ready := w.host.watchedKeysListed() && w.detection.Trusted() && w.leadership.Record() != nil
		w.mu.Unlock()
		var entries []protocol.Entry
		err := error(nil)
		if ready {
			entries, more, err = w.kvStore.Page(ctx, userapi.EndedJobPrefix, after)
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
		w.learnStoredEnds(entries)
		if !sleep(ctx, endsPageDelay) {
			return nil
		}
	}
	w.mu.Lock()
	w.detection.EndsRead(w.leadership.Record())
	w.mu.Unlock()
	<-ctx.Done()
	return nil
}

// learnStoredEnds records individual ends read from the store.
func (w *storeWriteBack) learnStoredEnds(entries []protocol.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range entries {
		var final userapi.JobEnd
		if json.Unmarshal(e.Value, &final) == nil && final.State != "" {
			uid := e.Key[len(userapi.EndedJobPrefix):]
			w.userAPI.RecordEnd(uid, final)
			w.applyRememberedEnd(uid)
		}
	}
}

// learnEnds records ends received from peers or read from pages.
func (w *storeWriteBack) learnEnds(ends []datarecovery.End) {
	for _, end := range ends {
		w.userAPI.RecordEnd(end.UID, userapi.JobEndFrom(end))
		w.applyRememberedEnd(end.UID)
	}
}

// applyRememberedEnd ends an active job whose end is known. If the store still has the job as active, its end has to be
// written there again.
func (w *storeWriteBack) applyRememberedEnd(uid string) {
	if j := w.jobs[uid]; j != nil && j.active {
		if j.version > 0 && w.leadership.Epoch() > 1 {
			w.EndedKeyActive(uid, j.version, time.Now())
		}
		w.host.endJob(uid)
	}
}

// broadcastEnd sends an end that was found in the store to the peers.
func (w *storeWriteBack) broadcastEnd(uid string, end userapi.JobEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.host.broadcast(kindReplicateFact, replicateFactMsg{Ends: []jobEnd{{uid, end}}})
}
