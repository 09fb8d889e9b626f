package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// A faulty job is assumed to fail on every machine. Its next attempt, a probe, waits for room on the machines that there
// are: of an array or service one task is tried, of a gang all of them, which cannot start otherwise.

const (
	maxProbeBackoff   = time.Minute // between probes
	maxProbeDoublings = 6
	// firstProbeWait is how long a probe waits before machines are acquired for it, so that a job which is sound runs even
	// if no machine has room for it any more. It doubles with each probe that fails, up to maxProbeDoublings times.
	firstProbeWait = 5 * time.Second
)

// SetFaulty records whether the job is assumed to fail on every machine. Such a job requests capacity for one task or gang
// only, and late, so that it neither fills the machines nor causes many more of them to be rented. It is retried until its
// user cancels it or a task succeeds. A nil job is ignored.
func (j *Job) SetFaulty(faulty bool, now time.Time) {
	if j == nil || j.faulty == faulty {
		return
	}
	j.faulty, j.failedProbes, j.backoffUntil, j.probeSince = faulty, 0, time.Time{}, now
	clear(j.avoidances) // failures of a faulty job are no evidence against machines
}

// recordFailedProbe sets the backoff until the next probe. Further tasks of the same probe do not prolong it.
func (j *Job) recordFailedProbe(now time.Time) {
	if now.Before(j.backoffUntil) {
		return
	}
	j.failedProbes++
	backoff := time.Second << min(j.failedProbes, maxProbeDoublings)
	j.backoffUntil = now.Add(min(maxProbeBackoff, backoff))
	j.probeSince = j.backoffUntil
}

// addProbe adds a demand for the probe of a faulty job, unless it has an attempt already.
func (p *demandPlan) addProbe(j *Job) {
	if len(j.attempts) > 0 {
		return
	}
	p.trailing = append(p.trailing, Demand{Spec: j.Spec, Probe: true, ProbeTasks: p.probeTasks(j), Borrowed: true, Count: 1})
}

// probeTasks returns the number of tasks that machines are to be acquired for, so that a probe can start: 0 while it may
// still find room, or exceeds the quota.
func (p *demandPlan) probeTasks(j *Job) int {
	tasks := 1
	if j.Spec.Kind == protocol.Gang {
		tasks = j.Spec.Tasks
	}
	if p.now.Sub(j.probeSince) < firstProbeWait<<min(j.failedProbes, maxProbeDoublings) || !p.quota.Fits(j, tasks) {
		return 0
	}
	return tasks
}
