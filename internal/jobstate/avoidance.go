package jobstate

import (
	"time"

	"topazhollow/internal/instant"
)

// How long a job avoids a machine.
const (
	avoidAfterMigration = 2 * time.Minute
	avoidAfterError     = 10 * time.Minute
	firstRetryPause     = 20 * time.Second // before a machine is tried again if there is no other; doubles with each error there
	maxRetryDoublings   = 5
	migrationRetryPause = time.Minute             // the same after a migration
	avoidWhileFull      = 1500 * time.Millisecond // the machine's next status arrives within this time
)

// avoidance is how a job treats a machine on which an attempt failed: until retryFrom no task is placed there, and from
// then until the end only if no other machine has room.
type avoidance struct {
	retryFrom time.Time
	until     time.Time
	failures  int  // attempts that failed there: the first, and retries
	retrying  bool // a retry is under way
}

// Avoids reports whether the job should not be placed on a machine now if any other has room.
func (j *Job) Avoids(machine string, now time.Time) bool {
	x, avoided := j.avoidances[machine]
	if avoided && !now.Before(x.until) {
		delete(j.avoidances, machine)
		return false
	}
	return avoided
}

// Excludes reports whether the job must not be placed on a machine now, even if no other has room.
func (j *Job) Excludes(machine string, now time.Time) bool {
	return j.Avoids(machine, now) && now.Before(j.avoidances[machine].retryFrom)
}

// AvoidsAny reports whether the job avoids any machine.
func (j *Job) AvoidsAny() bool { return len(j.avoidances) > 0 }

// avoid extends the avoidance of a machine: it is not tried again for a pause, and used last for a time.
func (j *Job) avoid(machine string, now time.Time, pause, last time.Duration) {
	j.avoidances[machine] = j.avoidances[machine].extended(now, pause, last)
}

// extended returns the avoidance with a pause and a time that begin now, as far as these end later.
func (x avoidance) extended(now time.Time, pause, last time.Duration) avoidance {
	if x.until.Before(now) {
		x = avoidance{}
	}
	x.retryFrom = instant.Later(x.retryFrom, now.Add(pause))
	x.until = instant.Later(x.until, now.Add(last))
	return x
}

// avoidAfterFailure avoids a machine on which an attempt failed. The pause doubles with each retry that fails, so that a
// faulty machine that is the only one does not use up the attempts of the job's tasks. Attempts that fail during a pause
// began before it and do not prolong it.
func (j *Job) avoidAfterFailure(machine string, now time.Time) {
	x := j.avoidances[machine]
	if now.Before(x.retryFrom) && x.failures > 0 && !x.retrying {
		return
	}
	x = x.extended(now, x.retryPause(), avoidAfterError)
	x.retrying = false
	x.failures++
	j.avoidances[machine] = x
}

// retryPause returns the pause before the next retry on the machine.
func (x avoidance) retryPause() time.Duration {
	return min(firstRetryPause<<min(x.failures, maxRetryDoublings), avoidAfterError)
}

// RecordRetry records that a task is placed on a machine that the job avoids. The next one follows only after another
// pause, or once a task has completed there.
func (j *Job) RecordRetry(machine string, now time.Time) {
	if x := j.avoidances[machine]; x.failures > 0 {
		x.retryFrom = now.Add(firstRetryPause)
		x.retrying = true
		j.avoidances[machine] = x
	}
}
