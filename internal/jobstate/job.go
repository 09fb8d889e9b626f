package jobstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// How long a job avoids a machine, or a job or task is not placed at all, after a failed attempt.
const (
	avoidAfterMigration = 2 * time.Minute
	avoidAfterError     = 10 * time.Minute
	firstRetryPause     = 20 * time.Second        // before a machine is tried again if there is no other; doubles with each error there
	migrationRetryPause = time.Minute             // the same after a migration
	avoidWhileFull      = 1500 * time.Millisecond // the machine's next status arrives within this time
	backoffIncomplete   = 2 * time.Second         // for a gang whose tasks did not all start
	retryDelay          = 3 * time.Second         // for a task whose name is still in use on a machine
	maxRetryDoublings   = 5
)

// noDeadline is the time from submission to the assumed deadline of a job that has none.
const noDeadline = 24 * time.Hour

// Job is an active job.
type Job struct {
	Spec      *protocol.Submission
	Version   uint64 // of its key in the state service
	Submitted time.Time
	Ended     bool // cancelled or done: no task may start
	Finishing bool // the end of the job is being written to the state service

	replica       *Replica             // of its team; holds the done tasks
	avoidances    map[string]avoidance // by machine where an attempt failed
	backoffUntil  time.Time            // no task is placed before
	objectives    Objectives
	faulty        bool // assumed to fail everywhere: one task at a time is tried, with increasing backoff
	failedProbes  int
	probeSince    time.Time         // since when the next probe may start
	running       int               // tasks that were last listed as running
	attempts      map[int]*attempt  // by task; those that may be on machines
	lowestPending int               // no task with a lower index can be pending
	savedDone     *bitset.BitSet    // done tasks that are saved in the state service
	unsaved       bool              // some done tasks are not saved there
	retryAt       map[int]time.Time // by task; not placed before this time
	mustRestart   bool              // a gang whose present attempt must end before the next
	images        imageWait         // of a gang
}

// avoidance is how a job treats a machine on which an attempt failed: until retryFrom no task is placed there, and from
// then until the end only if no other machine has room.
type avoidance struct {
	retryFrom time.Time
	until     time.Time
	failures  int  // attempts that failed there: the first, and retries
	retrying  bool // a retry is under way
}

func newJob(spec *protocol.Submission, submitted time.Time, replica *Replica) *Job {
	return &Job{
		Spec:       spec,
		Submitted:  submitted,
		replica:    replica,
		savedDone:  bitset.New(0),
		avoidances: map[string]avoidance{},
		retryAt:    map[int]time.Time{},
		attempts:   map[int]*attempt{},
	}
}

// Deadline returns when the job should be complete; noDeadline after its submission if its user set none.
func (j *Job) Deadline() time.Time {
	if j.Spec.DeadlineSeconds == nil {
		return j.Submitted.Add(noDeadline)
	}
	return j.Submitted.Add(time.Duration(*j.Spec.DeadlineSeconds * float64(time.Second)))
}

// Urgency compares jobs by priority, then deadline, then age, then UID. The more urgent one is less.
func Urgency(a, b *Job) int {
	if d := protocol.Rank(b.Spec.Priority) - protocol.Rank(a.Spec.Priority); d != 0 {
		return d
	}
	if d := a.Deadline().Compare(b.Deadline()); d != 0 {
		return d
	}
	if d := a.Submitted.Compare(b.Submitted); d != 0 {
		return d
	}
	return cmp.Compare(a.Spec.UID, b.Spec.UID)
}

// done returns the set of the job's finished tasks; nil if there are none.
func (j *Job) done() *bitset.BitSet { return j.replica.Done[j.Spec.UID] }

// doneCount returns the number of the job's finished tasks.
func (j *Job) doneCount() int {
	if done := j.done(); done != nil {
		return int(done.Count())
	}
	return 0
}

// Complete reports whether all tasks of the job are done.
func (j *Job) Complete() bool {
	return j.done() != nil && j.doneCount() >= j.Spec.Tasks
}

// Pending calls f for each task that may be placed now, until f returns false.
func (j *Job) Pending(now time.Time, f func(index int) bool) {
	if j.Ended || j.Finishing || now.Before(j.backoffUntil) || (j.faulty && len(j.attempts) > 0) {
		return
	}
	first := true
	done := j.done()
	for i := j.lowestPending; i < j.Spec.Tasks; i++ {
		if j.attempts[i] != nil || (done != nil && done.Test(uint(i))) {
			continue
		}
		if first {
			j.lowestPending, first = i, false
		}
		if j.waitsForRetry(i, now) {
			continue
		}
		if !f(i) {
			return
		}
	}
	if first {
		j.lowestPending = j.Spec.Tasks
	}
}

// waitsForRetry reports whether the retry delay of a task has not passed yet.
func (j *Job) waitsForRetry(index int, now time.Time) bool {
	until, waits := j.retryAt[index]
	if waits && !now.Before(until) {
		delete(j.retryAt, index)
		return false
	}
	return waits
}

// Unstarted returns the number of tasks that are neither assigned nor done.
func (j *Job) Unstarted() int {
	return max(0, j.Spec.Tasks-j.doneCount()-len(j.attempts))
}

// HasWaitingTasks reports whether some tasks would be placed now if there were capacity. Faulty jobs have none, nor have
// gangs that wait for an image.
func (j *Job) HasWaitingTasks(now time.Time) bool {
	return !j.images.active() && !j.Ended && !j.Finishing && !j.faulty && !now.Before(j.backoffUntil) && j.Unstarted() > 0
}

// Running calls f for each assignment that was last listed as running.
func (j *Job) Running(f func(Assignment)) {
	if j.running == 0 {
		return
	}
	for _, a := range j.attemptsByIndex() {
		if a.state == protocol.Running {
			f(a.Assignment)
		}
	}
}

// TasksByZone counts the tasks that may be on machines, by zone.
func (j *Job) TasksByZone() map[string]int {
	zones := map[string]int{}
	for _, a := range j.attempts {
		zones[a.Zone]++
	}
	return zones
}

// attemptsByIndex lists the job's attempts by task index. It iterates over the attempts, whose number the quota bounds,
// and not over the tasks, which may be very many.
func (j *Job) attemptsByIndex() []*attempt {
	list := slices.Collect(maps.Values(j.attempts))
	slices.SortFunc(list, func(a, b *attempt) int { return a.Index - b.Index })
	return list
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
	x := j.avoidances[machine]
	if x.until.Before(now) {
		x = avoidance{}
	}
	x.retryFrom, x.until = latest(x.retryFrom, now.Add(pause)), latest(x.until, now.Add(last))
	j.avoidances[machine] = x
}

// avoidAfterFailure avoids a machine on which an attempt failed. The pause doubles with each retry that fails, so that a
// faulty machine that is the only one does not use up the attempts of the job's tasks. Attempts that fail during a pause
// began before it and do not prolong it.
func (j *Job) avoidAfterFailure(machine string, now time.Time) {
	x := j.avoidances[machine]
	if now.Before(x.retryFrom) && x.failures > 0 && !x.retrying {
		return
	}
	x.retrying = false
	j.avoidances[machine] = x
	j.avoid(machine, now, x.retryPause(), avoidAfterError)
	x = j.avoidances[machine]
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

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SetObjectives records when the job should be complete. Before the first call the job counts as one without
// objectives. A nil job is ignored.
func (j *Job) SetObjectives(objectives Objectives) {
	if j != nil {
		j.objectives = objectives
	}
}

// RecordVersion records a version of the job's key in the state service; the highest one counts. A nil job is ignored.
func (j *Job) RecordVersion(version uint64) {
	if j != nil {
		j.Version = max(j.Version, version)
	}
}

// RecordSaved records that these done tasks are saved in the state service. A nil job is ignored.
func (j *Job) RecordSaved(done *bitset.BitSet) {
	if j == nil {
		return
	}
	j.savedDone.InPlaceUnion(done)
	if all := j.done(); all != nil && all.Count() <= j.savedDone.Count() {
		j.unsaved = false
	}
}

// recordExit sets the backoff that follows from the end of an attempt: for the machine, the task or the whole job.
func (j *Job) recordExit(a *attempt, reason protocol.ExitReason, now time.Time) {
	switch reason {
	case protocol.ReasonDone:
		if j.avoidances[a.Machine].retrying {
			delete(j.avoidances, a.Machine)
		}
	case protocol.ReasonError:
		if !j.faulty {
			j.avoidAfterFailure(a.Machine, now)
		} else {
			j.recordFailedProbe(now)
		}
	case protocol.ReasonFull:
		j.avoid(a.Machine, now, avoidWhileFull, avoidWhileFull)
	case protocol.ReasonIncomplete:
		if !j.images.active() {
			j.backoffUntil = now.Add(backoffIncomplete)
		}
	case protocol.ReasonInUse, protocol.ReasonNoSuch:
		j.retryAt[a.Index] = now.Add(retryDelay)
	}
}

// jobQueue holds a team's active jobs in order of urgency.
type jobQueue struct {
	byUID   map[string]*Job
	ordered []*Job // the same, by Urgency
}

// add inserts a job in order of urgency.
func (q *jobQueue) add(j *Job) {
	q.byUID[j.Spec.UID] = j
	at, _ := slices.BinarySearchFunc(q.ordered, j, Urgency)
	q.ordered = slices.Insert(q.ordered, at, j)
}

// remove deletes a job.
func (q *jobQueue) remove(j *Job) {
	delete(q.byUID, j.Spec.UID)
	q.ordered = slices.DeleteFunc(q.ordered, func(other *Job) bool { return other == j })
}
