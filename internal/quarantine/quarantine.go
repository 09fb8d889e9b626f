// Package quarantine attributes task failures to the job or to the machine. A job that fails on several machines and
// succeeds on none is faulty, until it succeeds or, if its tasks never end, one of them has run for long. A machine is bad while several jobs that succeeded elsewhere have recently failed on it.
// The package only classifies: its callers place no tasks on bad machines, and try faulty jobs one task at a time. It
// does no I/O and reads no clock. A Tracker is not safe for concurrent use; the controller's lock guards it.
package quarantine

import (
	"iter"
	"maps"
	"time"
)

const (
	// minFailures is the number of machines that a job must fail on to be faulty, and the number of jobs that must fail
	// on a machine for it to be bad.
	minFailures = 3
	// failureTTL is how long a failure counts against a machine.
	failureTTL = 5 * time.Minute
	// provenRun is how long a task of a faulty job must have run for the job to be sound again, although the task has not
	// ended. It doubles each time that the job is sound again, up to maxProvenDoublings times.
	provenRun          = 30 * time.Second
	maxProvenDoublings = 6
)

// Tracker records on which machines each job failed.
type Tracker struct {
	jobs     map[string]*job
	machines map[string]map[string]time.Time // by machine and job: time of the last failure
	suspects map[string]bool                 // machines with at least minFailures recorded failures, and some with fewer
}

type job struct {
	succeeded bool
	failed    map[string]bool // machines that it failed on; nil once it succeeded
	recovered int             // how often it was sound again without a success
}

// New returns a Tracker without failures.
func New() *Tracker {
	return &Tracker{jobs: map[string]*job{}, machines: map[string]map[string]time.Time{}, suspects: map[string]bool{}}
}

// job returns the record of a job and creates it if necessary.
func (t *Tracker) job(uid string) *job {
	j := t.jobs[uid]
	if j == nil {
		j = &job{failed: map[string]bool{}}
		t.jobs[uid] = j
	}
	return j
}

// RecordFailure records that a task of a job failed on a machine, and reports whether this made the job faulty.
func (t *Tracker) RecordFailure(uid, machine string, now time.Time) (becameFaulty bool) {
	if t.machines[machine] == nil {
		t.machines[machine] = map[string]time.Time{}
	}
	t.machines[machine][uid] = now
	if len(t.machines[machine]) >= minFailures {
		t.suspects[machine] = true
	}
	j := t.job(uid)
	if j.succeeded || j.failed[machine] || len(j.failed) >= minFailures {
		return false
	}
	j.failed[machine] = true
	return len(j.failed) >= minFailures
}

// RecordSuccess records that a task of a job succeeded on a machine, and reports whether the job was faulty before. A
// job that has succeeded once is never faulty again.
func (t *Tracker) RecordSuccess(uid, machine string) (wasFaulty bool) {
	delete(t.machines[machine], uid)
	j := t.job(uid)
	wasFaulty = t.IsJobFaulty(uid)
	j.succeeded, j.failed = true, nil
	return wasFaulty
}

// RecordRun records that a task of a job has been running for a time, and reports whether that made a faulty job sound. It
// is meant for tasks that never end: a replica of a service cannot succeed. Such a job is faulty again if it fails on as
// many machines again.
func (t *Tracker) RecordRun(uid string, ran time.Duration) (becameSound bool) {
	if !t.IsJobFaulty(uid) {
		return false
	}
	j := t.jobs[uid]
	if ran < provenRun<<min(j.recovered, maxProvenDoublings) {
		return false
	}
	j.failed = map[string]bool{}
	j.recovered++
	return true
}

// IsJobFaulty reports whether a job failed on several machines and succeeded on none.
func (t *Tracker) IsJobFaulty(uid string) bool {
	j := t.jobs[uid]
	return j != nil && len(j.failed) >= minFailures
}

// IsMachineBad reports whether several jobs that succeeded on other machines recently failed on this one. It also
// removes expired failures.
func (t *Tracker) IsMachineBad(machine string, now time.Time) bool {
	if len(t.machines[machine]) < minFailures {
		return false
	}
	failures := 0
	maps.DeleteFunc(t.machines[machine], func(uid string, at time.Time) bool {
		j := t.jobs[uid]
		if j == nil || now.Sub(at) > failureTTL {
			return true
		}
		if j.succeeded {
			failures++
		}
		return false
	})
	return failures >= minFailures
}

// SuspectMachines yields the machines that IsMachineBad may report: those with enough failures, whether their jobs
// succeeded on other machines or not.
func (t *Tracker) SuspectMachines() iter.Seq[string] {
	maps.DeleteFunc(t.suspects, func(machine string, _ bool) bool { return len(t.machines[machine]) < minFailures })
	return maps.Keys(t.suspects)
}

// ForgetJob removes the record of a job.
func (t *Tracker) ForgetJob(uid string) { delete(t.jobs, uid) }

// ForgetMachine removes the failures on a machine that no longer exists.
func (t *Tracker) ForgetMachine(machine string) { delete(t.machines, machine) }
