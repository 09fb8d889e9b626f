package agents

import "time"

const (
	// lookUpRetryAfter is after what time a job that was not found, or not with its size, is looked up again.
	lookUpRetryAfter = 10 * time.Second
	// maxLookUps bounds the look-ups under way.
	maxLookUps = 64
)

// JobLookups decides when it is looked up what became of a job that a machine lists and that nobody here can describe.
type JobLookups struct {
	open     map[string]bool
	failedAt map[string]time.Time
}

// NewJobLookups returns one with no look-up under way.
func NewJobLookups() *JobLookups {
	return &JobLookups{open: map[string]bool{}, failedAt: map[string]time.Time{}}
}

// Begin says whether a job is to be looked up now; Finish must be called then. It is not while it is being looked up,
// shortly after that failed, or while too many others are.
func (l *JobLookups) Begin(uid string, now time.Time) bool {
	if l.open[uid] || len(l.open) >= maxLookUps || now.Sub(l.failedAt[uid]) < lookUpRetryAfter {
		return false
	}
	l.open[uid] = true
	return true
}

// Finish notes that a look-up is over.
func (l *JobLookups) Finish(uid string) { delete(l.open, uid) }

// Fail notes that a job was not found, or not with its size.
func (l *JobLookups) Fail(uid string, now time.Time) { l.failedAt[uid] = now }

// Open counts the look-ups under way.
func (l *JobLookups) Open() int { return len(l.open) }

// ForgetFailures drops the jobs that were not found if they are more than most: they are looked up again then.
func (l *JobLookups) ForgetFailures(most int) {
	if len(l.failedAt) > most {
		clear(l.failedAt)
	}
}
