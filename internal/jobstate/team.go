package jobstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// Job is an active job.
type Job struct {
	Spec      *protocol.Submission
	Version   uint64 // of its key in the state service
	Submitted time.Time
	Ended     bool // withdrawn or done: nothing may start
	Finishing bool // the final write is under way

	avoidUntil    map[string]time.Time // machines that failed it
	backoffUntil  time.Time
	objectives    Objectives
	faulty        bool // held to fail everywhere: tried one task at a time, ever more rarely
	failedProbes  int
	running       int
	attempts      map[int]*attempt // by task, what may be on machines
	lowestPending int              // lowest task that may be pending
	savedDone     *bitset.BitSet   // done tasks that the state service has
	unsaved       bool
	retryAt       map[int]time.Time
	mustRestart   bool // a gang that must end before its next attempt
}

// Deadline is when the job should be complete; far away without a deadline.
func (j *Job) Deadline() time.Time {
	if j.Spec.DeadlineSeconds == nil {
		return j.Submitted.Add(24 * time.Hour)
	}
	return j.Submitted.Add(time.Duration(*j.Spec.DeadlineSeconds * float64(time.Second)))
}

// attempt is a hold with what the owner knows of it beyond the replica.
type attempt struct {
	Assignment
	placedSeq      uint64             // delta that made it; 0 after a take-over: backups have it
	state          protocol.TaskState // as last listed, "" before
	stopping       bool
	graceSeconds   float64
	lastOrdered    time.Time
	startsInFlight int // how often its start was given to its machine's home
	listed         time.Time
	stopOrdered    time.Time // when its stop was first ordered
}

// Team is the owner's account.
type Team struct {
	Name           string
	MaxCPUs        float64
	MaxGPUs        float64
	GuaranteedCPUs float64 // guaranteed
	GuaranteedGPUs float64

	replica         *Replica
	jobs            map[string]*Job
	queue           []*Job // the same, most urgent first
	held            map[TaskID]*attempt
	on              map[string]map[TaskID]*attempt // by machine
	todo            map[*attempt]bool              // those that may need an order: not listed yet, or to be stopped
	moved           map[string]bool                // machines whose attempts changed since they were last asked for
	usedCPUs        float64
	usedGPUs        float64
	orphans         orphanReservations
	floors          map[string]float64 // by class, CPUs of the quota that others leave to it
	gangReservation gangReservation
	deltas          []Delta

	term        uint64
	firstTerm   uint64 // the term in which this account began: it made every later attempt of the team
	lastAttempt uint64
	log         func(event string, args ...any)
}

// slack absorbs rounding in sums of amounts.
const roundingTolerance = 1e-6

// NewTeam starts an account from a replica, in a term. Attempts in the replica
// stay held until they are seen or proven off.
func NewTeam(name string, cpus, maxCPUs, gpus, maxGPUs float64, rep *Replica, term uint64, log func(string, ...any)) *Team {
	t := &Team{Name: name, GuaranteedCPUs: cpus, MaxCPUs: maxCPUs, GuaranteedGPUs: gpus, MaxGPUs: maxGPUs, replica: rep, term: term, firstTerm: term, orphans: newOrphanReservations(),
		jobs: map[string]*Job{}, held: map[TaskID]*attempt{}, on: map[string]map[TaskID]*attempt{},
		todo: map[*attempt]bool{}, moved: map[string]bool{}, log: log}
	for _, h := range rep.Assignments {
		t.hold(&attempt{Assignment: h})
	}
	return t
}

// SetTerm moves the account to a later term of the same owner.
func (t *Team) SetTerm(term uint64) {
	if term > t.term {
		t.term, t.lastAttempt = term, 0
	}
}

// Replica is the team's replicated part.
func (t *Team) Replica() *Replica { return t.replica }

// TakeDeltas gives the changes since the last call.
func (t *Team) TakeDeltas() []Delta {
	d := t.deltas
	t.deltas = nil
	return d
}

func (t *Team) emitDelta(d Delta) uint64 {
	d.Seq = t.replica.Seq + 1
	t.replica.Seq = d.Seq
	t.deltas = append(t.deltas, d)
	return d.Seq
}

// Used is what the team's held attempts take.
func (t *Team) Used() (cpus, gpus float64) { return t.usedCPUs, t.usedGPUs }

// Jobs calls f for each job in order of urgency.
func (t *Team) Jobs(f func(*Job)) {
	for _, j := range t.queue {
		f(j)
	}
}

// Urgency orders jobs: priority, then due time, then age, then id.
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

// Job finds an active job.
func (t *Team) Job(uid string) *Job { return t.jobs[uid] }

// AddJob takes up an active job; done holds the finished tasks that the state
// service knows.
func (t *Team) AddJob(spec *protocol.Submission, version uint64, submitted time.Time, done *bitset.BitSet) {
	j := t.jobs[spec.UID]
	if j == nil {
		j = &Job{Spec: spec, Version: version, Submitted: submitted, savedDone: bitset.New(0),
			avoidUntil: map[string]time.Time{}, retryAt: map[int]time.Time{}, attempts: map[int]*attempt{}}
		t.jobs[spec.UID] = j
		at, _ := slices.BinarySearchFunc(t.queue, j, Urgency)
		t.queue = slices.Insert(t.queue, at, j)
		for k, a := range t.held {
			if k.Job == spec.UID {
				j.attempts[k.Index] = a
				if a.state == protocol.Running {
					j.running++
				}
			}
		}
	}
	j.Version = version
	if done != nil {
		j.savedDone.InPlaceUnion(done)
		for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
			t.completeTask(TaskID{spec.UID, int(i)})
		}
	}
	if mine := t.replica.Done[spec.UID]; mine != nil && mine.Count() > j.savedDone.Count() {
		j.unsaved = true
	}
}

// EndJob takes a job off the account; what it holds stays held until off.
func (t *Team) EndJob(uid string) {
	if j := t.jobs[uid]; j != nil {
		j.Ended = true
		delete(t.jobs, uid)
		t.queue = slices.DeleteFunc(t.queue, func(x *Job) bool { return x == j })
		for _, a := range j.attempts {
			t.todo[a] = true
		}
	}
	if t.replica.Done[uid] != nil {
		delete(t.replica.Done, uid)
		t.emitDelta(Delta{DroppedJob: uid})
	}
}

// MergeDone takes in finished tasks of an active job that were remembered elsewhere.
func (t *Team) MergeDone(uid string, done *bitset.BitSet) {
	if j := t.jobs[uid]; j != nil && j.Spec.Kind == protocol.Service {
		return
	}
	for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
		if j := t.jobs[uid]; j == nil || int(i) < j.Spec.Tasks {
			t.markDone(TaskID{uid, int(i)})
		}
	}
}

// RecordVersion books the version that a job's key has in the state service now.
func (t *Team) RecordVersion(uid string, version uint64) {
	if j := t.jobs[uid]; j != nil {
		j.Version = max(j.Version, version)
	}
}

func (t *Team) completeTask(k TaskID) {
	j := t.jobs[k.Job]
	if j != nil && j.Spec.Kind == protocol.Service {
		return // a replica is never done
	}
	if j != nil && j.Spec.Kind == protocol.Gang { // its tasks complete together
		for i := range j.Spec.Tasks {
			t.markDone(TaskID{k.Job, i})
		}
	}
	t.markDone(k)
}

func (t *Team) markDone(k TaskID) {
	if t.replica.markDone(k) {
		t.emitDelta(Delta{Done: []TaskID{k}})
		if j := t.jobs[k.Job]; j != nil {
			j.unsaved = true
		}
	}
}

func (t *Team) isDone(k TaskID) bool {
	b := t.replica.Done[k.Job]
	return b != nil && b.Test(uint(k.Index))
}

func (t *Team) hold(a *attempt) {
	t.held[a.TaskID] = a
	if t.on[a.Machine] == nil {
		t.on[a.Machine] = map[TaskID]*attempt{}
	}
	t.on[a.Machine][a.TaskID] = a
	t.todo[a], t.moved[a.Machine] = true, true
	t.usedCPUs += a.CPUs
	t.usedGPUs += a.GPUs
	if j := t.jobs[a.Job]; j != nil {
		j.attempts[a.Index] = a
	}
}

// Progress is what users see of a job.
func (t *Team) Progress(uid string) (done, running int) {
	if b := t.replica.Done[uid]; b != nil {
		done = int(b.Count())
	}
	if j := t.jobs[uid]; j != nil {
		running = j.running
	}
	return done, running
}

// Complete says whether all tasks of an active job are done.
func (t *Team) Complete(j *Job) bool {
	b := t.replica.Done[j.Spec.UID]
	return b != nil && int(b.Count()) >= j.Spec.Tasks
}

// Pending calls f for each task of a job that may be placed now, until f says
// false.
func (t *Team) Pending(j *Job, now time.Time, f func(index int) bool) {
	if j.Ended || j.Finishing || now.Before(j.backoffUntil) || (j.faulty && len(j.attempts) > 0) {
		return
	}
	first := true
	done := t.replica.Done[j.Spec.UID]
	for i := j.lowestPending; i < j.Spec.Tasks; i++ {
		if j.attempts[i] != nil || (done != nil && done.Test(uint(i))) {
			continue
		}
		if first {
			j.lowestPending, first = i, false
		}
		if until, ok := j.retryAt[i]; ok {
			if now.Before(until) {
				continue
			}
			delete(j.retryAt, i)
		}
		if !f(i) {
			return
		}
	}
	if first {
		j.lowestPending = j.Spec.Tasks
	}
}

// Unstarted counts the tasks of a job that are neither held nor done.
func (t *Team) Unstarted(j *Job) int {
	done, _ := t.Progress(j.Spec.UID)
	return max(0, j.Spec.Tasks-done-len(j.attempts))
}

// SetFaulty books whether a job is held to fail on every machine. Such a job asks for
// no more room than one task takes, so that it neither fills the machines nor has
// more of them rented, and is tried until its user cancels it or it succeeds.
func (t *Team) SetFaulty(uid string, faulty bool) {
	j := t.jobs[uid]
	if j == nil || j.faulty == faulty {
		return
	}
	j.faulty, j.failedProbes, j.backoffUntil = faulty, 0, time.Time{}
	clear(j.avoidUntil) // what a faulty job met on a machine says nothing about that
}

// Avoids says whether a job should not go to a machine now.
func (j *Job) Avoids(machine string, now time.Time) bool {
	until, ok := j.avoidUntil[machine]
	if ok && !now.Before(until) {
		delete(j.avoidUntil, machine)
		return false
	}
	return ok
}

// Place makes an attempt on a machine and holds task and quota for it. Its
// start may be sent once every backup in sync acknowledged the delta.
func (t *Team) Place(j *Job, index int, at Location) bool {
	k := TaskID{j.Spec.UID, index}
	if t.lastAttempt >= 1<<termShift-1 || t.held[k] != nil || t.isDone(k) || j.Ended || !t.Fits(j, 1) {
		return false
	}
	t.lastAttempt++
	t.placeTasks(j, AttemptID(t.term, t.lastAttempt), map[int]Location{index: at})
	return true
}

// Location is a place on a machine that an attempt is made for.
type Location struct {
	Machine     string
	Zone        string
	Incarnation uint64
}

func (t *Team) placeTasks(j *Job, id uint64, spots map[int]Location) {
	var made []*attempt
	var holds []Assignment
	for _, index := range slices.Sorted(maps.Keys(spots)) {
		at := spots[index]
		a := &attempt{Assignment: Assignment{TaskID: TaskID{j.Spec.UID, index}, Attempt: id, Machine: at.Machine, Zone: at.Zone, Incarnation: at.Incarnation,
			CPUs: j.Spec.CPUs, GPUs: j.Spec.GPUs, Memory: j.Spec.MemoryGB}}
		t.hold(a)
		t.replica.Assignments[a.TaskID] = a.Assignment
		made, holds = append(made, a), append(holds, a.Assignment)
	}
	seq := t.emitDelta(Delta{Placed: holds})
	for _, a := range made {
		a.placedSeq = seq
	}
}

// Stop marks an attempt to be stopped, with the grace to save.
func (t *Team) Stop(ref AttemptRef, grace float64) bool {
	a := t.held[ref.TaskID]
	if a == nil || a.Attempt != ref.Attempt || a.stopping {
		return false
	}
	a.stopping, a.graceSeconds, a.lastOrdered = true, grace, time.Time{}
	t.todo[a] = true
	return true
}

// Running calls f for each attempt of a job that was last listed as running.
func (t *Team) Running(j *Job, f func(Assignment)) {
	if j.running == 0 {
		return
	}
	for _, a := range t.attemptsOf(j) {
		if a.state == protocol.Running {
			f(a.Assignment)
		}
	}
}

// heldOf lists the attempts of a job in order. What is held is bounded by the
// quota, while a job may have very many tasks.
func (t *Team) attemptsOf(j *Job) []*attempt {
	list := slices.Collect(maps.Values(j.attempts))
	slices.SortFunc(list, func(a, b *attempt) int { return a.Index - b.Index })
	return list
}

// Migrate stops an attempt to start its task on another machine.
func (t *Team) Migrate(h Assignment, grace float64, now time.Time) bool {
	j := t.jobs[h.Job]
	if j == nil || !t.Stop(h.Ref(), grace) {
		return false
	}
	j.avoidUntil[h.Machine] = now.Add(2 * time.Minute)
	return true
}

// AssignmentsOn calls f for each attempt held on a machine.
func (t *Team) AssignmentsOn(machine string, f func(Assignment)) {
	for _, a := range t.on[machine] {
		f(a.Assignment)
	}
}

// TakeChangedMachines gives the machines whose attempts changed since the last call.
func (t *Team) TakeChangedMachines() map[string]bool {
	if len(t.moved) == 0 {
		return nil
	}
	m := t.moved
	t.moved = map[string]bool{}
	return m
}

// HasAssignmentsOn says whether any attempt is held on a machine.
func (t *Team) HasAssignmentsOn(machine string) bool { return len(t.on[machine]) > 0 }

// Machines lists the machines that hold attempts.
func (t *Team) Machines() []string {
	names := make([]string, 0, len(t.on))
	for m := range t.on {
		names = append(names, m)
	}
	slices.Sort(names)
	return names
}

// Unsaved gives the jobs with done tasks that the state service does not know
// yet.
func (t *Team) Unsaved() []*Job {
	var out []*Job
	for _, j := range t.queue {
		if j.unsaved && !j.Finishing && t.replica.Done[j.Spec.UID] != nil {
			out = append(out, j)
		}
	}
	return out
}

// FinishedTasks gives the size of an active job and its done tasks; 0 for others.
func (t *Team) FinishedTasks(uid string) (tasks int, done *bitset.BitSet) {
	j := t.jobs[uid]
	if j == nil {
		return 0, nil
	}
	return j.Spec.Tasks, t.replica.Done[uid]
}

// RecordSaved books that the state service has these done tasks of a job.
func (t *Team) RecordSaved(uid string, done *bitset.BitSet) {
	j := t.jobs[uid]
	if j == nil {
		return
	}
	j.savedDone.InPlaceUnion(done)
	if b := t.replica.Done[uid]; b != nil && b.Count() <= j.savedDone.Count() {
		j.unsaved = false
	}
}
