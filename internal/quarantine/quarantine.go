// Package quarantine decides about failed tasks whether the job or the machine is at fault: a job that fails on several
// machines and succeeds on none is faulty; a machine where several jobs fail that succeed elsewhere is bad, and gets no
// task for a while. It stops and places nothing itself, does no I/O and reads no clock. A Tracker is not safe for
// concurrent use; the controller's lock guards it.
package quarantine

import (
	"maps"
	"time"
)

const (
	// minFailures is on how many machines a job must fail, or how many jobs on a machine.
	minFailures = 3
	// failureLife is how long a failure counts against a machine.
	failureLife = 5 * time.Minute
)

// Tracker remembers what failed where.
type Tracker struct {
	jobs     map[string]*job
	machines map[string]map[string]time.Time // when a job last failed on a machine
}

type job struct {
	succeeded bool
	failed    map[string]bool // machines; empty once it succeeded
}

// New returns a tracker that knows of no failure.
func New() *Tracker {
	return &Tracker{jobs: map[string]*job{}, machines: map[string]map[string]time.Time{}}
}

func (t *Tracker) job(uid string) *job {
	j := t.jobs[uid]
	if j == nil {
		j = &job{failed: map[string]bool{}}
		t.jobs[uid] = j
	}
	return j
}

// RecordFailure notes that a task of a job failed on a machine. It says whether the job became faulty by it.
func (t *Tracker) RecordFailure(uid, machine string, now time.Time) (becameFaulty bool) {
	if t.machines[machine] == nil {
		t.machines[machine] = map[string]time.Time{}
	}
	t.machines[machine][uid] = now
	j := t.job(uid)
	if j.succeeded || j.failed[machine] || len(j.failed) >= minFailures {
		return false
	}
	j.failed[machine] = true
	return len(j.failed) >= minFailures
}

// RecordSuccess notes that a task of a job succeeded on a machine, after which the job is never faulty. It says whether
// it was until then.
func (t *Tracker) RecordSuccess(uid, machine string) (wasFaulty bool) {
	delete(t.machines[machine], uid)
	j := t.job(uid)
	wasFaulty = t.IsJobFaulty(uid)
	j.succeeded, j.failed = true, nil
	return wasFaulty
}

// IsJobFaulty says whether a job failed on several machines and succeeded on none.
func (t *Tracker) IsJobFaulty(uid string) bool {
	j := t.jobs[uid]
	return j != nil && len(j.failed) >= minFailures
}

// IsMachineBad says whether several jobs lately failed on a machine that succeeded on others.
func (t *Tracker) IsMachineBad(machine string, now time.Time) bool {
	if len(t.machines[machine]) < minFailures {
		return false
	}
	failures := 0
	maps.DeleteFunc(t.machines[machine], func(uid string, at time.Time) bool {
		j := t.jobs[uid]
		if j == nil || now.Sub(at) > failureLife {
			return true
		}
		if j.succeeded {
			failures++
		}
		return false
	})
	return failures >= minFailures
}

// ForgetJob drops what is known of a job.
func (t *Tracker) ForgetJob(uid string) { delete(t.jobs, uid) }

// ForgetMachine drops what is known of a machine that is gone.
func (t *Tracker) ForgetMachine(machine string) { delete(t.machines, machine) }
