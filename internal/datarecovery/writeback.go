package datarecovery

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

const (
	// writeBackInterval is the time between two checks for what to write back.
	writeBackInterval = 200 * time.Millisecond
	// staleKeyDelay is the time after which the active key of an ended job counts as stale. Before, the change that
	// ended the job may not have been read here yet.
	staleKeyDelay = 2 * time.Second
)

// StaleKey is the active key that the store still has of an ended job.
type StaleKey struct {
	UID     string
	Version uint64
}

type staleKey struct {
	version uint64
	seenAt  time.Time
}

// WriteBack decides what is written back to the state service in an epoch that followed a loss of data, and in which
// order: the jobs that it lacks, the ends of jobs that it has as active, and the pages of ends. Only a few jobs are in
// flight at a time, so that writes of accepted jobs and of the roster are not delayed. WriteBack does no I/O and reads
// no clock; the caller guards it by a lock.
type WriteBack struct {
	roundAt  time.Time           // when the last check for what to write back began
	inFlight map[string]bool     // jobs whose key is being written
	stale    map[string]staleKey // by job

	pagesWritten  bool // all known ends are on pages in this epoch
	pagesWriting  bool
	pagesOutdated bool // ends became known, or an epoch was entered, since the write in progress began
}

// NewWriteBack returns a write-back with nothing to write.
func NewWriteBack() *WriteBack {
	return &WriteBack{inFlight: map[string]bool{}, stale: map[string]staleKey{}}
}

// Begin requests that the pages of ends are checked again, in an epoch that is entered now.
func (w *WriteBack) Begin() { w.pagesWritten, w.pagesOutdated = false, true }

// RoundDue reports whether to check now for what to write back; if so, it restarts the interval.
func (w *WriteBack) RoundDue(now time.Time) bool {
	if now.Sub(w.roundAt) < writeBackInterval {
		return false
	}
	w.roundAt = now
	return true
}

// EndedKeyActive records that the store has an ended job as active, with the version of that key.
func (w *WriteBack) EndedKeyActive(uid string, version uint64, now time.Time) {
	w.stale[uid] = staleKey{version, now}
}

// ActiveKeyDeleted records that the store no longer has a job as active.
func (w *WriteBack) ActiveKeyDeleted(uid string) { delete(w.stale, uid) }

// StaleKeys returns the number of ended jobs that the store has as active.
func (w *WriteBack) StaleKeys() int { return len(w.stale) }

// InFlight reports whether a job's key is being written.
func (w *WriteBack) InFlight(uid string) bool { return w.inFlight[uid] }

// StartJobs selects which of the jobs that the store lacks are written now, with at most limit keys in flight. Each
// stays in flight until Written is called.
func (w *WriteBack) StartJobs(missing []RememberedJob, limit int) []RememberedJob {
	SortForWriteBack(missing)
	room := max(0, limit-len(w.inFlight))
	started := missing[:min(room, len(missing))]
	for _, job := range started {
		w.inFlight[job.Spec.UID] = true
	}
	return started
}

// StartStaleKeys selects which ended jobs have their end written now, with at most limit keys in flight. Each stays in
// flight until Written is called. owned reports whether this controller owns the job's team, ended whether the job's
// end is known.
func (w *WriteBack) StartStaleKeys(now time.Time, limit int, owned, ended func(uid string) bool) []StaleKey {
	var started []StaleKey
	for uid, key := range w.stale {
		if now.Sub(key.seenAt) < staleKeyDelay || w.inFlight[uid] || len(w.inFlight) >= limit || !owned(uid) {
			continue
		}
		if !ended(uid) {
			delete(w.stale, uid)
			continue
		}
		w.inFlight[uid] = true
		started = append(started, StaleKey{uid, key.version})
	}
	return started
}

// Written records that the write of a job's key completed or failed.
func (w *WriteBack) Written(uid string) { delete(w.inFlight, uid) }

// StartPages reports whether to write the ends to pages now; if so, the write counts as in progress until PagesDone is
// called.
func (w *WriteBack) StartPages() bool {
	if w.pagesWritten || w.pagesWriting {
		return false
	}
	w.pagesWriting, w.pagesOutdated = true, false
	return true
}

// PagesDone records the outcome of writing the pages. Ends that became known since the write began may be on no page.
func (w *WriteBack) PagesDone(complete bool) {
	w.pagesWriting = false
	w.pagesWritten = complete && !w.pagesOutdated
}

// EndsLearned records that ends became known that may be on no page.
func (w *WriteBack) EndsLearned() { w.pagesWritten, w.pagesOutdated = false, true }

// SortForWriteBack sorts jobs in the order in which they are written back: by priority, highest first, then by
// submission time, oldest first.
func SortForWriteBack(jobs []RememberedJob) {
	slices.SortFunc(jobs, func(a, b RememberedJob) int {
		return cmp.Or(
			protocol.Rank(b.Spec.Priority)-protocol.Rank(a.Spec.Priority),
			cmp.Compare(a.SubmittedAtMillis, b.SubmittedAtMillis),
			cmp.Compare(a.Spec.UID, b.Spec.UID))
	})
}
