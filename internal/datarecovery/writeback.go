package datarecovery

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

const (
	// writeBackInterval is how often it is looked what to write back.
	writeBackInterval = 200 * time.Millisecond
	// staleKeyDelay is what the change of the store that ended a job may take to be read here. A key
	// that says that an ended job is active counts as stale after that.
	staleKeyDelay = 2 * time.Second
)

// StaleKey is the key of an ended job that the store has as active.
type StaleKey struct {
	UID     string
	Version uint64
}

type staleKey struct {
	version uint64
	seenAt  time.Time
}

// WriteBack decides what returns to the state service in an epoch that followed a loss of data, and in which order:
// the jobs that it lacks, the ends of those that it has as active, and the pages of ends. Few jobs at a time, since
// acceptances and the roster are not to wait for them. It owns its state, does no I/O and reads no clock; its owner
// guards it by a lock.
type WriteBack struct {
	roundAt  time.Time           // when it was last looked what to write back
	inFlight map[string]bool     // jobs whose key is being written
	stale    map[string]staleKey // by job

	pagesWritten bool // the ends of this epoch are on pages
	pagesWriting bool
}

// NewWriteBack has nothing to write.
func NewWriteBack() *WriteBack {
	return &WriteBack{inFlight: map[string]bool{}, stale: map[string]staleKey{}}
}

// Begin has the ends looked at anew, in an epoch that is entered now.
func (w *WriteBack) Begin() { w.pagesWritten = false }

// RoundDue says whether it is time to look what to write back, and if so takes it as done.
func (w *WriteBack) RoundDue(now time.Time) bool {
	if now.Sub(w.roundAt) < writeBackInterval {
		return false
	}
	w.roundAt = now
	return true
}

// EndedKeyActive books that the store has an ended job as active, under a version.
func (w *WriteBack) EndedKeyActive(uid string, version uint64, now time.Time) {
	w.stale[uid] = staleKey{version, now}
}

// ActiveKeyDeleted books that the store has a job as active no more.
func (w *WriteBack) ActiveKeyDeleted(uid string) { delete(w.stale, uid) }

// StaleKeys counts the ended jobs that the store has as active.
func (w *WriteBack) StaleKeys() int { return len(w.stale) }

// InFlight says whether a job's key is being written.
func (w *WriteBack) InFlight(uid string) bool { return w.inFlight[uid] }

// StartJobs picks which of the jobs that the store lacks are written now, with at most limit keys in flight. Each
// is in flight until Written.
func (w *WriteBack) StartJobs(missing []RememberedJob, limit int) []RememberedJob {
	SortForWriteBack(missing)
	room := max(0, limit-len(w.inFlight))
	started := missing[:min(room, len(missing))]
	for _, job := range started {
		w.inFlight[job.Spec.UID] = true
	}
	return started
}

// StartStaleKeys picks which ended jobs have their end written now, with at most limit keys in flight. Each is in
// flight until Written. owned tells whether this controller owns the job's team, ended whether the job's end is
// known.
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

// Written books that the write of a job's key was answered, or failed.
func (w *WriteBack) Written(uid string) { delete(w.inFlight, uid) }

// StartPages says whether the ends are to be written to pages now, and if so takes it as begun.
func (w *WriteBack) StartPages() bool {
	if w.pagesWritten || w.pagesWriting {
		return false
	}
	w.pagesWriting = true
	return true
}

// PagesDone books the outcome of writing the pages.
func (w *WriteBack) PagesDone(complete bool) { w.pagesWriting, w.pagesWritten = false, complete }

// EndsLearned books that ends came to be known that may be on no page.
func (w *WriteBack) EndsLearned() { w.pagesWritten = false }

// SortForWriteBack puts jobs in the order in which they are written back: what a user waits for
// longest by priority, then the oldest.
func SortForWriteBack(jobs []RememberedJob) {
	slices.SortFunc(jobs, func(a, b RememberedJob) int {
		return cmp.Or(
			protocol.Rank(b.Spec.Priority)-protocol.Rank(a.Spec.Priority),
			cmp.Compare(a.SubmittedAtMillis, b.SubmittedAtMillis),
			cmp.Compare(a.Spec.UID, b.Spec.UID))
	})
}
