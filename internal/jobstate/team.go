package jobstate

import (
	"maps"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// Team is the state of one team at its owner. It combines the team's active jobs, their assignments, the quota that
// these use, and the changes that are still to be sent to replicas, and keeps them consistent.
type Team struct {
	Name string

	jobs        jobQueue
	assignments Assignments
	quota       Quota
	changes     changeLog
	returned    ReturnedAttempts

	term        uint64 // present term of the owner
	firstTerm   uint64 // in which this Team was created; attempts of this or a later term were created by it
	lastAttempt uint64 // counter of the attempts created in this term
	log         func(event string, args ...any)
}

// maxAttemptsOfTerm is the largest attempt counter of a term.
const maxAttemptsOfTerm = 1<<termShift - 1

// Location is the machine that an attempt is created for.
type Location struct {
	Machine     string
	Zone        string
	Incarnation uint64 // of the machine's agent
}

// NewTeam creates the state of a team from a replica, in a term. Attempts in the replica stay assigned until they are
// proven to be off their machines.
func NewTeam(name string, limits Limits, replica *Replica, term uint64, log func(string, ...any)) *Team {
	t := &Team{
		Name:        name,
		jobs:        jobQueue{byUID: map[string]*Job{}},
		assignments: newAssignments(),
		changes:     changeLog{replica: replica},
		term:        term,
		firstTerm:   term,
		log:         log,
	}
	t.quota = Quota{limits: limits, orphans: newOrphanReservations(), jobs: &t.jobs}
	for _, a := range replica.Assignments {
		t.assign(&attempt{Assignment: a})
	}
	return t
}

// SetTerm sets a later term of the same owner; an earlier one is ignored. Attempts whose starts were not sent under their
// term are released, since they never will be.
func (t *Team) SetTerm(term uint64) {
	if term <= t.term {
		return
	}
	t.term, t.lastAttempt = term, 0
	for _, a := range t.assignments.neverOrdered() {
		t.release(a, "never sent")
	}
}

// FirstTerm returns the term in which this Team was created.
func (t *Team) FirstTerm() uint64 { return t.firstTerm }

// Quota returns the team's quota and its use.
func (t *Team) Quota() *Quota { return &t.quota }

// Assignments returns the set of the team's attempts that may be on machines.
func (t *Team) Assignments() *Assignments { return &t.assignments }

// Replica returns the replicated part of the state.
func (t *Team) Replica() *Replica { return t.changes.replica }

// TakeDeltas returns the changes since the last call.
func (t *Team) TakeDeltas() []Delta { return t.changes.take() }

// Jobs calls f for each active job in order of urgency.
func (t *Team) Jobs(f func(*Job)) {
	for _, j := range t.jobs.ordered {
		f(j)
	}
}

// Job returns an active job; nil if there is none with this UID.
func (t *Team) Job(uid string) *Job { return t.jobs.byUID[uid] }

// AddJob adds an active job, or updates its version and finished tasks; done holds the finished tasks that are saved in
// the state service.
func (t *Team) AddJob(spec *protocol.Submission, version uint64, submitted time.Time, done *bitset.BitSet) {
	j := t.Job(spec.UID)
	if j == nil {
		j = newJob(spec, submitted, t.changes.replica)
		t.jobs.add(j)
		t.attachAttempts(j)
	}
	j.Version = version
	if done != nil {
		j.savedDone.InPlaceUnion(done)
		for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
			t.completeTask(TaskID{spec.UID, int(i)})
		}
	}
	if all := j.done(); all != nil && all.Count() > j.savedDone.Count() {
		j.unsaved = true
	}
}

// Reschedule changes the priority and the deadline of an active job, and since when it waits.
func (t *Team) Reschedule(spec *protocol.Submission, waitingSince time.Time) {
	j := t.Job(spec.UID)
	if j == nil {
		return
	}
	t.jobs.remove(j)
	j.Spec, j.Submitted = spec, waitingSince
	t.jobs.add(j)
}

// attachAttempts adds the attempts that are already assigned to a new job.
func (t *Team) attachAttempts(j *Job) {
	for id, a := range t.assignments.byTask {
		if id.Job != j.Spec.UID {
			continue
		}
		j.attempts[id.Index] = a
		if a.state == protocol.Running {
			j.running++
		}
	}
}

// EndJob removes a job. Its attempts are stopped, and stay assigned until they are proven to be off their machines.
func (t *Team) EndJob(uid string) {
	if j := t.Job(uid); j != nil {
		j.Ended = true
		t.jobs.remove(j)
		for _, a := range j.attempts {
			t.assignments.openOrders[a] = true
		}
	}
	t.changes.dropJob(uid)
}

// Progress returns the number of done and running tasks that is shown to users.
func (t *Team) Progress(uid string) (done, running int) {
	if b := t.changes.done(uid); b != nil {
		done = int(b.Count())
	}
	if j := t.Job(uid); j != nil {
		running = j.running
	}
	return done, running
}

// FinishedTasks returns the number of an active job's tasks and the set of those that are done; 0 and nil for other
// jobs.
func (t *Team) FinishedTasks(uid string) (tasks int, done *bitset.BitSet) {
	j := t.Job(uid)
	if j == nil {
		return 0, nil
	}
	return j.Spec.Tasks, j.done()
}

// Unsaved lists the jobs with done tasks that are not saved in the state service yet.
func (t *Team) Unsaved() []*Job {
	var unsaved []*Job
	for _, j := range t.jobs.ordered {
		if j.unsaved && !j.Finishing && j.done() != nil {
			unsaved = append(unsaved, j)
		}
	}
	return unsaved
}

// MergeDone adds finished tasks of a job that another source has recorded. The tasks of a service are never done.
func (t *Team) MergeDone(uid string, done *bitset.BitSet) {
	j := t.Job(uid)
	if j != nil && j.Spec.Kind == protocol.Service {
		return
	}
	for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
		if j == nil || int(i) < j.Spec.Tasks {
			t.markDone(TaskID{uid, int(i)})
		}
	}
}

// completeTask records that a task is done, and for a gang all of them, since they complete together.
func (t *Team) completeTask(id TaskID) {
	j := t.Job(id.Job)
	if j != nil && j.Spec.Kind == protocol.Service {
		return // its tasks are never done
	}
	if j != nil && j.Spec.Kind == protocol.Gang {
		for i := range j.Spec.Tasks {
			t.markDone(TaskID{id.Job, i})
		}
	}
	t.markDone(id)
}

// markDone records that one task is done.
func (t *Team) markDone(id TaskID) {
	if !t.changes.markDone(id) {
		return
	}
	if j := t.Job(id.Job); j != nil {
		j.unsaved = true
	}
}

// isPlaceable reports whether a task is neither assigned nor done.
func (t *Team) isPlaceable(id TaskID) bool {
	done := t.changes.done(id.Job)
	return t.assignments.byTask[id] == nil && (done == nil || !done.Test(uint(id.Index)))
}

// Place assigns a task to a machine and charges its quota; it returns false if the task may not be placed or the quota
// does not suffice. The start may be sent once every replica in sync has acknowledged the delta.
func (t *Team) Place(j *Job, index int, at Location) bool {
	if t.lastAttempt >= maxAttemptsOfTerm || j.Ended {
		return false
	}
	if !t.isPlaceable(TaskID{j.Spec.UID, index}) || !t.quota.Fits(j, 1) {
		return false
	}
	t.lastAttempt++
	t.placeTasks(j, AttemptID(t.term, t.lastAttempt), map[int]Location{index: at})
	return true
}

// placeTasks assigns tasks of a job to machines, under one attempt number and in one delta.
func (t *Team) placeTasks(j *Job, id uint64, at map[int]Location) {
	var placed []*attempt
	for _, index := range slices.Sorted(maps.Keys(at)) {
		a := &attempt{Assignment: Assignment{
			TaskID:      TaskID{j.Spec.UID, index},
			Attempt:     id,
			Machine:     at[index].Machine,
			Zone:        at[index].Zone,
			Incarnation: at[index].Incarnation,
			CPUs:        j.Spec.CPUs,
			GPUs:        j.Spec.GPUs,
			Memory:      j.Spec.MemoryGB,
		}}
		t.assign(a)
		placed = append(placed, a)
	}
	seq := t.changes.place(placed...)
	for _, a := range placed {
		a.placedSeq = seq
	}
}

// assign adds an attempt that may be on its machine from now on, and charges its quota.
func (t *Team) assign(a *attempt) {
	t.assignments.add(a)
	t.quota.charge(a)
	if j := t.Job(a.Job); j != nil {
		j.attempts[a.Index] = a
	}
}

// release removes an attempt that is proven to be on no machine, and refunds its quota.
func (t *Team) release(a *attempt, why protocol.ExitReason) {
	if t.assignments.byTask[a.TaskID] != a {
		return
	}
	j := t.Job(a.Job)
	if j != nil {
		j.attemptLost(a, why)
	}
	t.setState(a, "")
	t.assignments.remove(a)
	t.quota.refund(a, len(t.assignments.byTask) > 0)
	t.changes.release(a.TaskID)
	if j != nil {
		delete(j.attempts, a.Index)
		j.lowestPending = min(j.lowestPending, a.Index)
	}
	t.log("attempt released", "task", a.Job, "index", a.Index, "attempt", a.Attempt, "machine", a.Machine, "why", why)
}

// setState records the state in which an attempt was last listed.
func (t *Team) setState(a *attempt, state protocol.TaskState) {
	j := t.Job(a.Job)
	if j != nil && a.state == protocol.Running {
		j.running--
	}
	a.state = state
	if j != nil && a.state == protocol.Running {
		j.running++
	}
}

// attemptExited processes the end of an attempt that its machine lists.
func (t *Team) attemptExited(a *attempt, x *TaskStatus, now time.Time) {
	if x.Reason == protocol.ReasonDone {
		t.completeTask(a.TaskID)
	}
	j := t.Job(a.Job)
	if j != nil && j.recordIncomplete(a, x.Reason, now) {
		t.log("gang waits for its image", "task", a.Job, "attempt", a.Attempt)
	}
	t.release(a, x.Reason)
	if j == nil {
		return
	}
	j.recordExit(a, x.Reason, now)
	if x.Reason == protocol.ReasonError {
		t.log("task failed", "task", a.Job, "index", a.Index, "machine", a.Machine)
	}
}

// Stop marks an attempt to be stopped, with a grace period for a checkpoint, in seconds. It returns false if the
// attempt is not assigned or already marked.
func (t *Team) Stop(ref AttemptRef, graceSeconds float64) bool {
	a := t.assignments.find(ref)
	if a == nil || a.stopping {
		return false
	}
	a.stopping, a.graceSeconds, a.lastOrdered = true, graceSeconds, time.Time{}
	t.assignments.openOrders[a] = true
	return true
}

// Migrate marks an attempt to be stopped so that its task starts on another machine: the job avoids the present one for
// a while. It returns false if Stop does or the job is not active.
func (t *Team) Migrate(assignment Assignment, graceSeconds float64, now time.Time) bool {
	j := t.Job(assignment.Job)
	if j == nil || !t.Stop(assignment.Ref(), graceSeconds) {
		return false
	}
	j.avoid(assignment.Machine, now, migrationRetryPause, avoidAfterMigration)
	return true
}
