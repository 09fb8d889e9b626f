package jobstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// How long a job or task is not placed after a failed attempt.
const (
	backoffIncomplete = 2 * time.Second // for a gang whose tasks did not all start
	retryDelay        = 3 * time.Second // for a task whose name is still in use on a machine
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

// HasBegun reports whether a task of the job is assigned or done.
func (j *Job) HasBegun() bool { return j.Unstarted() < j.Spec.Tasks }

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
