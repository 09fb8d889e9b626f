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
	Over      bool // withdrawn or done: nothing may start
	Finishing bool // the final write is under way

	avoid    map[string]time.Time // machines that failed it
	notUntil time.Time
	goals    Goals
	faulty   bool // held to fail everywhere: tried one task at a time, ever more rarely
	probes   int
	running  int
	holds    map[int]*attempt // by task, what may be on machines
	next     int              // lowest task that may be pending
	saved    *bitset.BitSet   // done tasks that the state service has
	dirty    bool
	retry    map[int]time.Time
	broken   bool // a gang that must end before its next attempt
}

// Due is when the job should be complete; far away without a deadline.
func (j *Job) Due() time.Time {
	if j.Spec.DeadlineSeconds == nil {
		return j.Submitted.Add(24 * time.Hour)
	}
	return j.Submitted.Add(time.Duration(*j.Spec.DeadlineSeconds * float64(time.Second)))
}

// attempt is a hold with what the owner knows of it beyond the replica.
type attempt struct {
	Assignment
	seq     uint64             // delta that made it; 0 after a take-over: backups have it
	state   protocol.TaskState // as last listed, "" before
	stop    bool
	grace   float64
	ordered time.Time
	starts  int // how often its start was given to its machine's home
	listed  time.Time
	asked   time.Time // when its stop was first ordered
}

// Team is the owner's account.
type Team struct {
	Name    string
	MaxCPUs float64
	MaxGPUs float64
	CPUs    float64 // guaranteed
	GPUs    float64

	rep      *Replica
	jobs     map[string]*Job
	order    []*Job // the same, most urgent first
	held     map[TaskID]*attempt
	on       map[string]map[TaskID]*attempt // by machine
	todo     map[*attempt]bool              // those that may need an order: not listed yet, or to be stopped
	moved    map[string]bool                // machines whose attempts changed since they were last asked for
	usedCPU  float64
	usedGPU  float64
	orphans  orphanAccount
	floors   map[string]float64 // by class, CPUs of the quota that others leave to it
	holdback holdback
	out      []Delta

	term    uint64
	since   uint64 // the term in which this account began: it made every later attempt of the team
	counter uint64
	log     func(event string, args ...any)
}

// slack absorbs rounding in sums of amounts.
const slack = 1e-6

// NewTeam starts an account from a replica, in a term. Attempts in the replica
// stay held until they are seen or proven off.
func NewTeam(name string, cpus, maxCPUs, gpus, maxGPUs float64, rep *Replica, term uint64, log func(string, ...any)) *Team {
	t := &Team{Name: name, CPUs: cpus, MaxCPUs: maxCPUs, GPUs: gpus, MaxGPUs: maxGPUs, rep: rep, term: term, since: term, orphans: newOrphanAccount(),
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
		t.term, t.counter = term, 0
	}
}

// Replica is the team's replicated part.
func (t *Team) Replica() *Replica { return t.rep }

// TakeDeltas gives the changes since the last call.
func (t *Team) TakeDeltas() []Delta {
	d := t.out
	t.out = nil
	return d
}

func (t *Team) emit(d Delta) uint64 {
	d.Seq = t.rep.Seq + 1
	t.rep.Seq = d.Seq
	t.out = append(t.out, d)
	return d.Seq
}

// Used is what the team's held attempts take.
func (t *Team) Used() (cpus, gpus float64) { return t.usedCPU, t.usedGPU }

// Jobs calls f for each job in order of urgency.
func (t *Team) Jobs(f func(*Job)) {
	for _, j := range t.order {
		f(j)
	}
}

// Urgency orders jobs: priority, then due time, then age, then id.
func Urgency(a, b *Job) int {
	if d := protocol.Rank(b.Spec.Priority) - protocol.Rank(a.Spec.Priority); d != 0 {
		return d
	}
	if d := a.Due().Compare(b.Due()); d != 0 {
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
		j = &Job{Spec: spec, Version: version, Submitted: submitted, saved: bitset.New(0),
			avoid: map[string]time.Time{}, retry: map[int]time.Time{}, holds: map[int]*attempt{}}
		t.jobs[spec.UID] = j
		at, _ := slices.BinarySearchFunc(t.order, j, Urgency)
		t.order = slices.Insert(t.order, at, j)
		for k, a := range t.held {
			if k.Job == spec.UID {
				j.holds[k.Index] = a
				if a.state == protocol.Running {
					j.running++
				}
			}
		}
	}
	j.Version = version
	if done != nil {
		j.saved.InPlaceUnion(done)
		for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
			t.done(TaskID{spec.UID, int(i)})
		}
	}
	if mine := t.rep.Done[spec.UID]; mine != nil && mine.Count() > j.saved.Count() {
		j.dirty = true
	}
}

// EndJob takes a job off the account; what it holds stays held until off.
func (t *Team) EndJob(uid string) {
	if j := t.jobs[uid]; j != nil {
		j.Over = true
		delete(t.jobs, uid)
		t.order = slices.DeleteFunc(t.order, func(x *Job) bool { return x == j })
		for _, a := range j.holds {
			t.todo[a] = true
		}
	}
	if t.rep.Done[uid] != nil {
		delete(t.rep.Done, uid)
		t.emit(Delta{DroppedJob: uid})
	}
}

// Merge takes in finished tasks of an active job that were remembered elsewhere.
func (t *Team) Merge(uid string, done *bitset.BitSet) {
	if j := t.jobs[uid]; j != nil && j.Spec.Kind == protocol.Service {
		return
	}
	for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
		if j := t.jobs[uid]; j == nil || int(i) < j.Spec.Tasks {
			t.markDone(TaskID{uid, int(i)})
		}
	}
}

// Written books the version that a job's key has in the state service now.
func (t *Team) Written(uid string, version uint64) {
	if j := t.jobs[uid]; j != nil {
		j.Version = max(j.Version, version)
	}
}

func (t *Team) done(k TaskID) {
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
	if t.rep.markDone(k) {
		t.emit(Delta{Done: []TaskID{k}})
		if j := t.jobs[k.Job]; j != nil {
			j.dirty = true
		}
	}
}

func (t *Team) isDone(k TaskID) bool {
	b := t.rep.Done[k.Job]
	return b != nil && b.Test(uint(k.Index))
}

func (t *Team) hold(a *attempt) {
	t.held[a.TaskID] = a
	if t.on[a.Machine] == nil {
		t.on[a.Machine] = map[TaskID]*attempt{}
	}
	t.on[a.Machine][a.TaskID] = a
	t.todo[a], t.moved[a.Machine] = true, true
	t.usedCPU += a.CPUs
	t.usedGPU += a.GPUs
	if j := t.jobs[a.Job]; j != nil {
		j.holds[a.Index] = a
	}
}

// Progress is what users see of a job.
func (t *Team) Progress(uid string) (done, running int) {
	if b := t.rep.Done[uid]; b != nil {
		done = int(b.Count())
	}
	if j := t.jobs[uid]; j != nil {
		running = j.running
	}
	return done, running
}

// Complete says whether all tasks of an active job are done.
func (t *Team) Complete(j *Job) bool {
	b := t.rep.Done[j.Spec.UID]
	return b != nil && int(b.Count()) >= j.Spec.Tasks
}

// Pending calls f for each task of a job that may be placed now, until f says
// false.
func (t *Team) Pending(j *Job, now time.Time, f func(index int) bool) {
	if j.Over || j.Finishing || now.Before(j.notUntil) || (j.faulty && len(j.holds) > 0) {
		return
	}
	first := true
	done := t.rep.Done[j.Spec.UID]
	for i := j.next; i < j.Spec.Tasks; i++ {
		if j.holds[i] != nil || (done != nil && done.Test(uint(i))) {
			continue
		}
		if first {
			j.next, first = i, false
		}
		if until, ok := j.retry[i]; ok {
			if now.Before(until) {
				continue
			}
			delete(j.retry, i)
		}
		if !f(i) {
			return
		}
	}
	if first {
		j.next = j.Spec.Tasks
	}
}

// Unstarted counts the tasks of a job that are neither held nor done.
func (t *Team) Unstarted(j *Job) int {
	done, _ := t.Progress(j.Spec.UID)
	return max(0, j.Spec.Tasks-done-len(j.holds))
}

// SetFaulty books whether a job is held to fail on every machine. Such a job asks for
// no more room than one task takes, so that it neither fills the machines nor has
// more of them rented, and is tried until its user cancels it or it succeeds.
func (t *Team) SetFaulty(uid string, faulty bool) {
	j := t.jobs[uid]
	if j == nil || j.faulty == faulty {
		return
	}
	j.faulty, j.probes, j.notUntil = faulty, 0, time.Time{}
	clear(j.avoid) // what a faulty job met on a machine says nothing about that
}

// Avoids says whether a job should not go to a machine now.
func (j *Job) Avoids(machine string, now time.Time) bool {
	until, ok := j.avoid[machine]
	if ok && !now.Before(until) {
		delete(j.avoid, machine)
		return false
	}
	return ok
}

// Place makes an attempt on a machine and holds task and quota for it. Its
// start may be sent once every backup in sync acknowledged the delta.
func (t *Team) Place(j *Job, index int, at Location) bool {
	k := TaskID{j.Spec.UID, index}
	if t.counter >= 1<<termShift-1 || t.held[k] != nil || t.isDone(k) || j.Over || !t.Fits(j, 1) {
		return false
	}
	t.counter++
	t.start(j, AttemptID(t.term, t.counter), map[int]Location{index: at})
	return true
}

// Location is a place on a machine that an attempt is made for.
type Location struct {
	Machine string
	Zone    string
	Session uint64
}

func (t *Team) start(j *Job, id uint64, spots map[int]Location) {
	var made []*attempt
	var holds []Assignment
	for _, index := range slices.Sorted(maps.Keys(spots)) {
		at := spots[index]
		a := &attempt{Assignment: Assignment{TaskID: TaskID{j.Spec.UID, index}, Attempt: id, Machine: at.Machine, Zone: at.Zone, Incarnation: at.Session,
			CPUs: j.Spec.CPUs, GPUs: j.Spec.GPUs, Memory: j.Spec.MemoryGB}}
		t.hold(a)
		t.rep.Assignments[a.TaskID] = a.Assignment
		made, holds = append(made, a), append(holds, a.Assignment)
	}
	seq := t.emit(Delta{Placed: holds})
	for _, a := range made {
		a.seq = seq
	}
}

// Stop marks an attempt to be stopped, with the grace to save.
func (t *Team) Stop(ref AttemptRef, grace float64) bool {
	a := t.held[ref.TaskID]
	if a == nil || a.Attempt != ref.Attempt || a.stop {
		return false
	}
	a.stop, a.grace, a.ordered = true, grace, time.Time{}
	t.todo[a] = true
	return true
}

// Running calls f for each attempt of a job that was last listed as running.
func (t *Team) Running(j *Job, f func(Assignment)) {
	if j.running == 0 {
		return
	}
	for _, a := range t.heldOf(j) {
		if a.state == protocol.Running {
			f(a.Assignment)
		}
	}
}

// heldOf lists the attempts of a job in order. What is held is bounded by the
// quota, while a job may have very many tasks.
func (t *Team) heldOf(j *Job) []*attempt {
	list := slices.Collect(maps.Values(j.holds))
	slices.SortFunc(list, func(a, b *attempt) int { return a.Index - b.Index })
	return list
}

// Move stops an attempt to start its task on another machine.
func (t *Team) Move(h Assignment, grace float64, now time.Time) bool {
	j := t.jobs[h.Job]
	if j == nil || !t.Stop(h.Ref(), grace) {
		return false
	}
	j.avoid[h.Machine] = now.Add(2 * time.Minute)
	return true
}

// On calls f for each attempt held on a machine.
func (t *Team) On(machine string, f func(Assignment)) {
	for _, a := range t.on[machine] {
		f(a.Assignment)
	}
}

// TakeMoved gives the machines whose attempts changed since the last call.
func (t *Team) TakeMoved() map[string]bool {
	if len(t.moved) == 0 {
		return nil
	}
	m := t.moved
	t.moved = map[string]bool{}
	return m
}

// Holds says whether any attempt is held on a machine.
func (t *Team) Holds(machine string) bool { return len(t.on[machine]) > 0 }

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
	for _, j := range t.order {
		if j.dirty && !j.Finishing && t.rep.Done[j.Spec.UID] != nil {
			out = append(out, j)
		}
	}
	return out
}

// Finished gives the size of an active job and its done tasks; 0 for others.
func (t *Team) Finished(uid string) (tasks int, done *bitset.BitSet) {
	j := t.jobs[uid]
	if j == nil {
		return 0, nil
	}
	return j.Spec.Tasks, t.rep.Done[uid]
}

// Saved books that the state service has these done tasks of a job.
func (t *Team) Saved(uid string, done *bitset.BitSet) {
	j := t.jobs[uid]
	if j == nil {
		return
	}
	j.saved.InPlaceUnion(done)
	if b := t.rep.Done[uid]; b != nil && b.Count() <= j.saved.Count() {
		j.dirty = false
	}
}
