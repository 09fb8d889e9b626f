package agents

import "time"

const (
	// lookupRetryDelay is the delay before a job is looked up again if the job or its size was not found.
	lookupRetryDelay = 10 * time.Second
	// maxOpenLookups bounds the number of concurrent lookups.
	maxOpenLookups = 64
)

// JobLookups schedules the lookups of jobs that a machine lists but that no controller can describe.
type JobLookups struct {
	open     map[string]bool
	failedAt map[string]time.Time
}

// NewJobLookups returns a JobLookups with no lookup in progress.
func NewJobLookups() *JobLookups {
	return &JobLookups{open: map[string]bool{}, failedAt: map[string]time.Time{}}
}

// Begin reports whether a job should be looked up now. If so, the caller must call Finish afterwards. It returns false
// while the job is being looked up, shortly after a failed lookup, and while too many other lookups are in progress.
func (l *JobLookups) Begin(uid string, now time.Time) bool {
	if l.open[uid] || len(l.open) >= maxOpenLookups || now.Sub(l.failedAt[uid]) < lookupRetryDelay {
		return false
	}
	l.open[uid] = true
	return true
}

// Finish records that a lookup has ended.
func (l *JobLookups) Finish(uid string) { delete(l.open, uid) }

// Fail records that a job was not found or its size was not found.
func (l *JobLookups) Fail(uid string, now time.Time) { l.failedAt[uid] = now }

// Open returns the number of lookups in progress.
func (l *JobLookups) Open() int { return len(l.open) }

// ForgetFailures forgets all failed lookups if there are more than limit, so that these jobs are looked up again.
func (l *JobLookups) ForgetFailures(limit int) {
	if len(l.failedAt) > limit {
		clear(l.failedAt)
	}
}
