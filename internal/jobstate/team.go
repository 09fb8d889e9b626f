package jobstate

import (
	"maps"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// Team is the owner's account of one team. It composes the team's active jobs, their assignments, the quota that these
// use, and the changes that replicas are to get, and keeps them consistent.
type Team struct {
	Name string

	jobs        jobQueue
	assignments Assignments
	quota       Quota
	changes     changeLog

	term        uint64 // of the owner now
	firstTerm   uint64 // in which this account began: it made every later attempt of the team
	lastAttempt uint64 // count of the attempts made in this term
	log         func(event string, args ...any)
}

// maxAttemptsOfTerm is how many attempts the numbers of one term suffice for.
const maxAttemptsOfTerm = 1<<termShift - 1

// Location is a place on a machine that an attempt is made for.
type Location struct {
	Machine     string
	Zone        string
	Incarnation uint64 // of the machine's agent
}

// NewTeam starts an account from a replica, in a term. Attempts in the replica stay assigned until they are listed or
// proven off.
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

// SetTerm moves the account to a later term of the same owner.
func (t *Team) SetTerm(term uint64) {
	if term > t.term {
		t.term, t.lastAttempt = term, 0
	}
}

// FirstTerm is the term in which this account began.
func (t *Team) FirstTerm() uint64 { return t.firstTerm }

// Quota is the team's account of its quota.
func (t *Team) Quota() *Quota { return &t.quota }

// Assignments are the team's attempts that may be on machines.
func (t *Team) Assignments() *Assignments { return &t.assignments }

// Replica is the team's replicated part.
func (t *Team) Replica() *Replica { return t.changes.replica }

// TakeDeltas gives the changes since the last call.
func (t *Team) TakeDeltas() []Delta { return t.changes.take() }

// Jobs calls f for each active job in order of urgency.
func (t *Team) Jobs(f func(*Job)) {
	for _, j := range t.jobs.ordered {
		f(j)
	}
}

// Job finds an active job; nil if there is none.
func (t *Team) Job(uid string) *Job { return t.jobs.byUID[uid] }

// AddJob takes up an active job; done holds the finished tasks that the state service knows.
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

// attachAttempts gives a new job the attempts that the account has of it already.
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

// EndJob takes a job off the account; its attempts stay assigned until they are proven off.
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

// Progress is what users see of a job.
func (t *Team) Progress(uid string) (done, running int) {
	if b := t.changes.done(uid); b != nil {
		done = int(b.Count())
	}
	if j := t.Job(uid); j != nil {
		running = j.running
	}
	return done, running
}

// FinishedTasks gives the number of an active job's tasks and those that are done; 0 for other jobs.
func (t *Team) FinishedTasks(uid string) (tasks int, done *bitset.BitSet) {
	j := t.Job(uid)
	if j == nil {
		return 0, nil
	}
	return j.Spec.Tasks, j.done()
}

// Unsaved gives the jobs with done tasks that the state service does not know yet.
func (t *Team) Unsaved() []*Job {
	var unsaved []*Job
	for _, j := range t.jobs.ordered {
		if j.unsaved && !j.Finishing && j.done() != nil {
			unsaved = append(unsaved, j)
		}
	}
	return unsaved
}

// MergeDone takes in finished tasks of a job that were remembered elsewhere. The tasks of a service are never done.
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

// Place assigns a task to a machine and charges its quota; false if that can't be. Its start may be sent once every
// replica in sync acknowledged the delta.
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

// placeTasks assigns tasks of a job to machines as one attempt and one change.
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

// assign records an attempt that may be on its machine from now on, and charges its quota.
func (t *Team) assign(a *attempt) {
	t.assignments.add(a)
	t.quota.charge(a)
	if j := t.Job(a.Job); j != nil {
		j.attempts[a.Index] = a
	}
}

// release ends an attempt that is proven to be on no machine, and refunds its quota.
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
	t.log("attempt off", "task", a.Job, "index", a.Index, "attempt", a.Attempt, "machine", a.Machine, "why", why)
}

// setState records in which state an attempt was last listed.
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

// attemptExited records the end of an attempt.
func (t *Team) attemptExited(a *attempt, x *TaskStatus, now time.Time) {
	if x.Reason == protocol.ReasonDone {
		t.completeTask(a.TaskID)
	}
	j := t.Job(a.Job)
	t.release(a, x.Reason)
	if j == nil {
		return
	}
	j.recordExit(a, x.Reason, now)
	if x.Reason == protocol.ReasonError {
		t.log("task failed", "task", a.Job, "index", a.Index, "machine", a.Machine)
	}
}

// Stop marks an attempt to be stopped, with the grace for a checkpoint, in seconds; false if it is not assigned or is
// to be stopped already.
func (t *Team) Stop(ref AttemptRef, graceSeconds float64) bool {
	a := t.assignments.find(ref)
	if a == nil || a.stopping {
		return false
	}
	a.stopping, a.graceSeconds, a.lastOrdered = true, graceSeconds, time.Time{}
	t.assignments.openOrders[a] = true
	return true
}

// Migrate stops an attempt to start its task on another machine.
func (t *Team) Migrate(assignment Assignment, graceSeconds float64, now time.Time) bool {
	j := t.Job(assignment.Job)
	if j == nil || !t.Stop(assignment.Ref(), graceSeconds) {
		return false
	}
	j.avoidUntil[assignment.Machine] = now.Add(avoidAfterMigration)
	return true
}
