// Package quarantine judges failed tasks: whether the job or the machine is at fault.
// Each speaks against the other only so far: a job that fails on several machines
// and succeeds on none is held to be faulty, and a machine where several jobs fail
// that succeed elsewhere is held to be bad. It does no I/O and reads no clock.
package quarantine

import (
	"maps"
	"time"
)

const (
	// enough is how many machines must fail a job, or jobs on a machine.
	minFailures = 3
	// fresh is how long a failure speaks against a machine.
	failureLife = 5 * time.Minute
)

// Judge remembers what failed where.
type Tracker struct {
	jobs     map[string]*job
	machines map[string]map[string]time.Time // when a job last failed on a machine
}

type job struct {
	succeeded bool
	failed    map[string]bool // machines; empty once it succeeded
}

// New is a judge who has seen nothing.
func New() *Tracker {
	return &Tracker{jobs: map[string]*job{}, machines: map[string]map[string]time.Time{}}
}

func (g *Tracker) job(uid string) *job {
	j := g.jobs[uid]
	if j == nil {
		j = &job{failed: map[string]bool{}}
		g.jobs[uid] = j
	}
	return j
}

// Failed books that a task of a job failed on a machine. It says whether that
// makes the job faulty, when it was not before.
func (g *Tracker) RecordFailure(uid, machine string, now time.Time) (turned bool) {
	if g.machines[machine] == nil {
		g.machines[machine] = map[string]time.Time{}
	}
	g.machines[machine][uid] = now
	j := g.job(uid)
	if j.succeeded || j.failed[machine] || len(j.failed) >= minFailures {
		return false
	}
	j.failed[machine] = true
	return len(j.failed) >= minFailures
}

// Done books that a task of a job succeeded on a machine, which lifts any doubt
// about the job for good. It says whether the job was held to be faulty.
func (g *Tracker) RecordSuccess(uid, machine string) (lifted bool) {
	delete(g.machines[machine], uid)
	j := g.job(uid)
	lifted = g.IsJobFaulty(uid)
	j.succeeded, j.failed = true, nil
	return lifted
}

// Faulty says whether a job is held to be faulty.
func (g *Tracker) IsJobFaulty(uid string) bool {
	j := g.jobs[uid]
	return j != nil && len(j.failed) >= minFailures
}

// Bad says whether a machine is held to be bad.
func (g *Tracker) IsMachineBad(machine string, now time.Time) bool {
	if len(g.machines[machine]) < minFailures {
		return false
	}
	against := 0
	maps.DeleteFunc(g.machines[machine], func(uid string, at time.Time) bool {
		j := g.jobs[uid]
		if j == nil || now.Sub(at) > failureLife {
			return true
		}
		if j.succeeded {
			against++
		}
		return false
	})
	return against >= minFailures
}

// ForgetJob drops what is known of a job.
func (g *Tracker) ForgetJob(uid string) { delete(g.jobs, uid) }

// ForgetMachine drops what is known of a machine that is gone.
func (g *Tracker) ForgetMachine(machine string) { delete(g.machines, machine) }
