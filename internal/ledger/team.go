package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/wire"
)

// termShift parts an attempt number into the term that made it and a counter.
// Terms stay below 2^29, so that attempts stay below 2^53.
const termShift = 24

// AttemptID is an attempt number that no other owner or term can make.
func AttemptID(term, counter uint64) uint64 { return term<<termShift | counter&(1<<termShift-1) }

// TermOf is the term under which an attempt's start was sent.
func TermOf(attempt uint64) uint64 { return attempt >> termShift }

// Ordered is the state of a start that a machine's home has taken and that the
// worker has not listed yet.
const Ordered = "ordered"

// TaskView is a task as a machine's home sees it.
type TaskView struct {
	Key
	Attempt uint64 `json:"a"`
	State   string `json:"e"`
	Why     string `json:"w,omitempty"`
	Saved   bool   `json:"k,omitempty"`
}

// View is what a machine's home knows of it; later (Session, Seq, Rev) is newer.
type View struct {
	Machine string     `json:"m"`
	Addr    string     `json:"addr"`
	Type    string     `json:"type"`
	Zone    string     `json:"zone"`
	Spot    bool       `json:"spot,omitempty"`
	Session uint64     `json:"s"`
	Seq     uint64     `json:"q"`
	Rev     uint64     `json:"v"` // the home's own count of changes
	Token   uint64     `json:"t"` // highest term the worker has seen
	Term    uint64     `json:"h"` // the home's term
	Notice  bool       `json:"n,omitempty"`
	Tasks   []TaskView `json:"x,omitempty"`
	Barred  []Ref      `json:"b,omitempty"` // attempts that the home will never send
}

// Newer says whether v replaces old.
func (v *View) Newer(old *View) bool {
	if v.Session != old.Session {
		return v.Session > old.Session
	}
	if v.Term != old.Term {
		return v.Term > old.Term
	}
	if v.Seq != old.Seq {
		return v.Seq > old.Seq
	}
	return v.Rev > old.Rev
}

// Order is a command for a machine, given by an owner and carried by its home.
type Order struct {
	Op string `json:"o"`
	Key
	Attempt uint64  `json:"a"`
	Session uint64  `json:"s"`
	CPUs    float64 `json:"c,omitempty"`
	GPUs    float64 `json:"g,omitempty"`
	Memory  float64 `json:"r,omitempty"`
	Grace   float64 `json:"z,omitempty"`
}

// Job is an active job.
type Job struct {
	Spec      *wire.Submission
	Version   uint64 // of its key in the state service
	Submitted time.Time
	Over      bool // withdrawn or done: nothing may start
	Finishing bool // the final write is under way

	avoid    map[string]time.Time // machines that failed it
	notUntil time.Time
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
	if j.Spec.Deadline == nil {
		return j.Submitted.Add(24 * time.Hour)
	}
	return j.Submitted.Add(time.Duration(*j.Spec.Deadline * float64(time.Second)))
}

// attempt is a hold with what the owner knows of it beyond the replica.
type attempt struct {
	Hold
	seq     uint64 // delta that made it; 0 after a take-over: backups have it
	state   string // as last listed, "" before
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
	held     map[Key]*attempt
	on       map[string]map[Key]*attempt // by machine
	todo     map[*attempt]bool           // those that may need an order: not listed yet, or to be stopped
	moved    map[string]bool             // machines whose attempts changed since they were last asked for
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

// Ref is the attempt that the hold is for.
func (h Hold) Ref() Ref { return Ref{h.Key, h.Attempt} }

// Ref is the attempt that the task is listed with.
func (x TaskView) Ref() Ref { return Ref{x.Key, x.Attempt} }

// Ref is the attempt that the order is for.
func (o *Order) Ref() Ref { return Ref{o.Key, o.Attempt} }

// slack absorbs rounding in sums of amounts.
const slack = 1e-6

// NewTeam starts an account from a replica, in a term. Attempts in the replica
// stay held until they are seen or proven off.
func NewTeam(name string, cpus, maxCPUs, gpus, maxGPUs float64, rep *Replica, term uint64, log func(string, ...any)) *Team {
	t := &Team{Name: name, CPUs: cpus, MaxCPUs: maxCPUs, GPUs: gpus, MaxGPUs: maxGPUs, rep: rep, term: term, since: term, orphans: newOrphanAccount(),
		jobs: map[string]*Job{}, held: map[Key]*attempt{}, on: map[string]map[Key]*attempt{},
		todo: map[*attempt]bool{}, moved: map[string]bool{}, log: log}
	for _, h := range rep.Holds {
		t.hold(&attempt{Hold: h})
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
	if d := wire.Rank(b.Spec.Priority) - wire.Rank(a.Spec.Priority); d != 0 {
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
func (t *Team) AddJob(spec *wire.Submission, version uint64, submitted time.Time, done *bitset.BitSet) {
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
				if a.state == wire.Running {
					j.running++
				}
			}
		}
	}
	j.Version = version
	if done != nil {
		j.saved.InPlaceUnion(done)
		for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
			t.done(Key{spec.UID, int(i)})
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
		t.emit(Delta{Drop: uid})
	}
}

// Merge takes in finished tasks of an active job that were remembered elsewhere.
func (t *Team) Merge(uid string, done *bitset.BitSet) {
	if j := t.jobs[uid]; j != nil && j.Spec.Kind == wire.Service {
		return
	}
	for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
		if j := t.jobs[uid]; j == nil || int(i) < j.Spec.Tasks {
			t.markDone(Key{uid, int(i)})
		}
	}
}

// Written books the version that a job's key has in the state service now.
func (t *Team) Written(uid string, version uint64) {
	if j := t.jobs[uid]; j != nil {
		j.Version = max(j.Version, version)
	}
}

func (t *Team) done(k Key) {
	j := t.jobs[k.Job]
	if j != nil && j.Spec.Kind == wire.Service {
		return // a replica is never done
	}
	if j != nil && j.Spec.Kind == wire.Gang { // its tasks complete together
		for i := range j.Spec.Tasks {
			t.markDone(Key{k.Job, i})
		}
	}
	t.markDone(k)
}

func (t *Team) markDone(k Key) {
	if t.rep.markDone(k) {
		t.emit(Delta{Done: []Key{k}})
		if j := t.jobs[k.Job]; j != nil {
			j.dirty = true
		}
	}
}

func (t *Team) isDone(k Key) bool {
	b := t.rep.Done[k.Job]
	return b != nil && b.Test(uint(k.Index))
}

func (t *Team) hold(a *attempt) {
	t.held[a.Key] = a
	if t.on[a.Machine] == nil {
		t.on[a.Machine] = map[Key]*attempt{}
	}
	t.on[a.Machine][a.Key] = a
	t.todo[a], t.moved[a.Machine] = true, true
	t.usedCPU += a.CPUs
	t.usedGPU += a.GPUs
	if j := t.jobs[a.Job]; j != nil {
		j.holds[a.Index] = a
	}
}

// off releases an attempt that is proven to be on no machine.
func (t *Team) off(a *attempt, why string) {
	if t.held[a.Key] != a {
		return
	}
	j := t.jobs[a.Job]
	if j != nil {
		j.lost(a, why)
	}
	t.setState(a, "")
	delete(t.held, a.Key)
	delete(t.on[a.Machine], a.Key)
	if len(t.on[a.Machine]) == 0 {
		delete(t.on, a.Machine)
	}
	delete(t.todo, a)
	t.moved[a.Machine] = true
	t.usedCPU -= a.CPUs
	t.usedGPU -= a.GPUs
	if len(t.held) == 0 {
		t.usedCPU, t.usedGPU = 0, 0
	}
	delete(t.rep.Holds, a.Key)
	t.emit(Delta{Off: []Key{a.Key}})
	if j != nil {
		delete(j.holds, a.Index)
		j.next = min(j.next, a.Index)
	}
	t.log("attempt off", "task", a.Job, "index", a.Index, "attempt", a.Attempt, "machine", a.Machine, "why", why)
}

func (t *Team) setState(a *attempt, state string) {
	j := t.jobs[a.Job]
	if j != nil && a.state == wire.Running {
		j.running--
	}
	a.state = state
	if j != nil && a.state == wire.Running {
		j.running++
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

// Fits says whether the quota has room for so many more tasks of a job.
func (t *Team) Fits(j *Job, tasks int) bool {
	n := float64(tasks)
	cpus, gpus := t.charged()
	return cpus+n*j.Spec.CPUs <= t.MaxCPUs+slack && gpus+n*j.Spec.GPUs <= t.MaxGPUs+slack
}

// Doubt books whether a job is held to fail on every machine. Such a job asks for
// no more room than one task takes, so that it neither fills the machines nor has
// more of them rented, and is tried until its user cancels it or it succeeds.
func (t *Team) Doubt(uid string, faulty bool) {
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
func (t *Team) Place(j *Job, index int, at Spot) bool {
	k := Key{j.Spec.UID, index}
	if t.counter >= 1<<termShift-1 || t.held[k] != nil || t.isDone(k) || j.Over || !t.Fits(j, 1) {
		return false
	}
	t.counter++
	t.start(j, AttemptID(t.term, t.counter), map[int]Spot{index: at})
	return true
}

// Spot is a place on a machine that an attempt is made for.
type Spot struct {
	Machine string
	Zone    string
	Session uint64
}

func (t *Team) start(j *Job, id uint64, spots map[int]Spot) {
	var made []*attempt
	var holds []Hold
	for _, index := range slices.Sorted(maps.Keys(spots)) {
		at := spots[index]
		a := &attempt{Hold: Hold{Key: Key{j.Spec.UID, index}, Attempt: id, Machine: at.Machine, Zone: at.Zone, Session: at.Session,
			CPUs: j.Spec.CPUs, GPUs: j.Spec.GPUs, Memory: j.Spec.Memory}}
		t.hold(a)
		t.rep.Holds[a.Key] = a.Hold
		made, holds = append(made, a), append(holds, a.Hold)
	}
	seq := t.emit(Delta{Place: holds})
	for _, a := range made {
		a.seq = seq
	}
}

// Stop marks an attempt to be stopped, with the grace to save.
func (t *Team) Stop(ref Ref, grace float64) bool {
	a := t.held[ref.Key]
	if a == nil || a.Attempt != ref.Attempt || a.stop {
		return false
	}
	a.stop, a.grace, a.ordered = true, grace, time.Time{}
	t.todo[a] = true
	return true
}

// Running calls f for each attempt of a job that was last listed as running.
func (t *Team) Running(j *Job, f func(Hold)) {
	if j.running == 0 {
		return
	}
	for _, a := range t.heldOf(j) {
		if a.state == wire.Running {
			f(a.Hold)
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
func (t *Team) Move(h Hold, grace float64, now time.Time) bool {
	j := t.jobs[h.Job]
	if j == nil || !t.Stop(h.Ref(), grace) {
		return false
	}
	j.avoid[h.Machine] = now.Add(2 * time.Minute)
	return true
}

// On calls f for each attempt held on a machine.
func (t *Team) On(machine string, f func(Hold)) {
	for _, a := range t.on[machine] {
		f(a.Hold)
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

// HeldBy sums up the CPUs that attempts of active jobs hold, by class.
func (t *Team) HeldBy() map[string]float64 {
	sum := map[string]float64{}
	for _, j := range t.order {
		if len(j.holds) > 0 {
			sum[j.Spec.Class] += float64(len(j.holds)) * j.Spec.CPUs
		}
	}
	return sum
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

// Observe takes in a machine's view and gives the orders that follow from it. Whatever the view lists and this
// account may have to answer for counts against the team's limit from then on, until it is proven off.
func (t *Team) Observe(v *View, now time.Time, known Knowledge) []Order {
	var orders []Order
	seen := map[Key]bool{}
	var left orphanCount
	for i := range v.Tasks {
		x := &v.Tasks[i]
		if t.listed(v, x, now) {
			seen[x.Key] = true
			if x.State != wire.Exited {
				continue
			}
		}
		if x.State == Ordered {
			continue
		}
		job := known.Job(x.Job)
		if job.Known && !job.Mine {
			continue
		}
		if !job.Known {
			t.countUnknown(&left, x)
			continue
		}
		order := Order{Key: x.Key, Attempt: x.Attempt, Session: v.Session}
		switch {
		case x.State == wire.Exited:
			if x.Why == wire.WhyDone && job.Active && x.Index < job.Spec.Tasks {
				t.done(x.Key)
				if j := t.jobs[x.Job]; j == nil || !j.saved.Test(uint(x.Index)) {
					continue // forgotten only once the state service knows
				}
			}
			order.Op = wire.Forget
			orders = append(orders, order)
		case job.Active && t.held[x.Key] == nil && !t.isDone(x.Key) && x.Index < job.Spec.Tasks:
			t.adopt(v, x, job.Spec, now)
			seen[x.Key] = true
		default:
			if t.holdOrphan(&left, v, x, job.Spec, now) {
				seen[x.Key] = true
			}
			order.Op = wire.Stop
			orders = append(orders, order)
		}
	}
	t.orphans.observe(v, left, known)
	t.releaseProven(v, seen)
	return orders
}

// listed takes in what a view says of an attempt that this account holds there; false if it holds none.
func (t *Team) listed(v *View, x *TaskView, now time.Time) bool {
	a := t.held[x.Key]
	if a == nil || a.Machine != v.Machine || a.Attempt != x.Attempt || a.Session != v.Session {
		return false
	}
	switch x.State {
	case Ordered:
	case wire.Exited:
		t.exited(a, x, now)
	default:
		if a.listed.IsZero() {
			a.listed = now
		}
		t.setState(a, x.State)
	}
	return true
}

// releaseProven ends the holds on a machine that its view proves to be off.
func (t *Team) releaseProven(v *View, seen map[Key]bool) {
	for _, a := range t.sortedOn(v.Machine) {
		switch {
		case v.Session < a.Session || seen[a.Key]:
		case v.Session > a.Session:
			t.off(a, "newer session")
		case slices.Contains(v.Barred, a.Ref()):
			t.off(a, "never sent")
		case v.Token > TermOf(a.Attempt):
			// The worker knows a later term and does not list the attempt: its start
			// can no longer arrive.
			t.off(a, "later term")
		}
	}
}

func (t *Team) sortedOn(machine string) []*attempt {
	list := make([]*attempt, 0, len(t.on[machine]))
	for _, a := range t.on[machine] {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return a.compare(b.Key)
	})
	return list
}

// adopt takes up an attempt found on a machine that the account did not hold,
// as after a full barrier.
func (t *Team) adopt(v *View, x *TaskView, spec *wire.Submission, now time.Time) *attempt {
	a := &attempt{Hold: Hold{Key: x.Key, Attempt: x.Attempt, Machine: v.Machine, Zone: v.Zone, Session: v.Session,
		CPUs: spec.CPUs, GPUs: spec.GPUs, Memory: spec.Memory}, listed: now}
	t.hold(a)
	t.rep.Holds[a.Key] = a.Hold
	a.seq = t.emit(Delta{Place: []Hold{a.Hold}})
	t.setState(a, x.State)
	t.log("attempt adopted", "task", a.Job, "index", a.Index, "attempt", a.Attempt, "machine", a.Machine)
	return a
}

// exited books the end of an attempt.
func (t *Team) exited(a *attempt, x *TaskView, now time.Time) {
	if x.Why == wire.WhyDone {
		t.done(a.Key)
	}
	j := t.jobs[a.Job]
	t.off(a, x.Why)
	if j == nil {
		return
	}
	switch x.Why {
	case wire.WhyError:
		if !j.faulty {
			j.avoid[a.Machine] = now.Add(10 * time.Minute)
		} else if !now.Before(j.notUntil) {
			j.probes++
			j.notUntil = now.Add(min(time.Minute, time.Second<<min(j.probes, 6)))
		}
		t.log("task failed", "task", a.Job, "index", a.Index, "machine", a.Machine)
	case wire.WhyFull:
		j.avoid[a.Machine] = now.Add(1500 * time.Millisecond)
	case wire.WhyIncomplete:
		j.notUntil = now.Add(2 * time.Second)
	case wire.WhyInUse, wire.WhyNoSuch:
		j.retry[a.Index] = now.Add(3 * time.Second)
	}
}

// Gone books that the cloud confirmed the end of a machine.
func (t *Team) Gone(machine string) {
	for _, a := range t.sortedOn(machine) {
		t.off(a, "machine returned")
	}
	t.orphans.gone(machine)
}

// resend is how long an order may take before it is given again.
const resend = 1500 * time.Millisecond

// Due gives the starts and stops to send now. acked is the sequence number that
// every backup in sync acknowledged; ready says whether a machine's home and
// registration allow a start under the term. Only attempts made in this term
// are started: older ones wait until they are listed or proven off.
func (t *Team) Due(acked uint64, now time.Time, ready func(machine string, session uint64) bool) map[string][]Order {
	due := map[string][]Order{}
	t.breakGangs()
	for a := range t.todo {
		if now.Sub(a.ordered) < resend {
			continue
		}
		order := Order{Key: a.Key, Attempt: a.Attempt, Session: a.Session, CPUs: a.CPUs, GPUs: a.GPUs, Memory: a.Memory}
		j := t.jobs[a.Job]
		switch {
		case j == nil || a.stop:
			order.Op, order.Grace = wire.Stop, a.grace
			if a.asked.IsZero() {
				a.asked = now
			}
		case a.state != "":
			delete(t.todo, a)
			continue
		case a.seq <= acked && TermOf(a.Attempt) == t.term && ready(a.Machine, a.Session):
			order.Op = wire.Start
			a.starts++
		default:
			continue
		}
		a.ordered = now
		due[a.Machine] = append(due[a.Machine], order)
	}
	for _, orders := range due {
		slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Attempt, b.Attempt) })
	}
	return due
}

// Unsent takes back orders that surely went nowhere, as when there is no connection
// to the machine's home. An attempt whose start never left is on no machine, and
// its task is free to be placed elsewhere.
func (t *Team) Unsent(orders []Order) {
	for _, o := range orders {
		a := t.held[o.Key]
		if a == nil || a.Attempt != o.Attempt || o.Op != wire.Start {
			continue
		}
		if a.starts--; a.starts == 0 && a.state == "" {
			t.off(a, "never sent")
		}
	}
}

// Held counts the attempts that may be on machines, and those of them that no
// report has listed yet.
func (t *Team) Held() (held, unlisted int) {
	for _, a := range t.held {
		if a.state == "" {
			unlisted++
		}
	}
	return len(t.held), unlisted
}

// Unproven counts attempts of this term whose stop was ordered long ago and
// that are still in no list: only a later term can prove them off.
func (t *Team) Unproven(now time.Time, after time.Duration) int {
	n := 0
	for a := range t.todo {
		if a.state == "" && !a.asked.IsZero() && now.Sub(a.asked) > after && TermOf(a.Attempt) == t.term {
			n++
		}
	}
	return n
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

// Demand is the room that pending tasks of a job ask for now, within the quota.
type Demand struct {
	Spec     *wire.Submission
	Count    int
	Borrowed bool          // beyond the team's guarantee
	Probe    bool          // to see whether a faulty job still fails
	Beyond   float64       // CPUs that the job's class asks for beyond the quota; then Count is 0
	Behind   time.Duration // that the whole quota takes for what waits beyond it
}

// most is how many tasks that take so much each find room.
func most(room, each float64) int {
	if each <= 0 || math.IsInf(room, 1) {
		if room < -slack {
			return 0
		}
		return math.MaxInt
	}
	return max(0, int(math.Floor((room+slack)/each)))
}

// Keep has the quota leave room to classes that have less than their floors, in CPUs.
func (t *Team) Keep(floors map[string]float64) { t.floors = floors }

// lacking is how many CPUs classes have less than their floors. If less than all of that is left of the quota, each
// class lacks the same part of it, so that none waits for quota that another one lacks. Classes whose gangs made no use of what was
// held back for them lack nothing for a while.
func (t *Team) lacking(left float64) (by map[string]float64, all float64) {
	if len(t.floors) == 0 {
		return nil, 0
	}
	by = map[string]float64{}
	held, unused := t.HeldBy(), t.releasedClasses()
	for class, floor := range t.floors {
		if unused[class] {
			continue
		}
		if lacks := floor - held[class]; lacks > 0 {
			by[class] = lacks
			all += lacks
		}
	}
	if all > 0 && all > left {
		part := max(left, 0) / all
		for class := range by {
			by[class] *= part
		}
		all *= part
	}
	return by, all
}

// startsAtOnce is how many of a job's unstarted tasks need quota at the same time for it to begin; 0 once it has begun.
func (j *Job) startsAtOnce(left int) int {
	switch {
	case len(j.holds) > 0:
		return 0
	case j.Spec.Kind == wire.Gang:
		return left
	default:
		return min(left, 1)
	}
}

// quota is a part of a team's quota, in CPUs and GPUs.
type quota struct{ cpus, gpus float64 }

// add takes what so many tasks of a job need.
func (q *quota) add(s *wire.Submission, tasks int) {
	q.cpus += float64(tasks) * s.CPUs
	q.gpus += float64(tasks) * s.GPUs
}

// reserve takes what so many tasks of a job need, or as much of it as the limits leave. Else less urgent jobs with smaller
// tasks would take each piece that comes free, and the job would never have enough at once.
func (q *quota) reserve(s *wire.Submission, tasks int, mostCPUs, mostGPUs float64) {
	q.cpus = min(q.cpus+float64(tasks)*s.CPUs, max(q.cpus, mostCPUs))
	q.gpus = min(q.gpus+float64(tasks)*s.GPUs, max(q.gpus, mostGPUs))
}

// quotaFor is how many CPUs are left of the quota for a job whose class lacks so much of its floor, while kept is what
// all classes lack. A class under its floor has room for one task at least, if there is any.
func (t *Team) quotaFor(j *Job, used, lacks, kept float64) float64 {
	left := t.MaxCPUs - used
	if lacks <= 0 {
		return left - kept
	}
	return max(left-(kept-lacks), min(left, max(lacks, j.Spec.CPUs)))
}

// Demands lists what the team would place if there were room, most urgent first, and for each
// class what is beyond the quota. Of the gangs that wait to begin only the most urgent one reserves quota: they may
// wait for machines for minutes, and all of them together would keep it from everybody. An array that can't begin
// reserves it from lower priorities alone, since jobs of its own priority that fit would otherwise wait beside free quota.
func (t *Team) Demands(now time.Time) []Demand {
	cpus, gpus := t.charged()
	var out, probes []Demand
	beyond := 0.0 // CPU seconds that the quota has no room for now
	over := map[string]int{}
	lacks, kept := t.lacking(t.MaxCPUs - cpus)
	taken := quota{cpus, gpus} // what more urgent jobs leave nothing of
	reserved := false          // part of it is reserved for a job that can't begin
	var blocked *Job           // an array that can't begin: less urgent priorities wait for it
	for _, j := range t.order {
		if j.Over || j.Finishing || now.Before(j.notUntil) {
			continue
		}
		if blocked != nil && !reserved && wire.Rank(j.Spec.Priority) < wire.Rank(blocked.Spec.Priority) {
			reserved = true
			taken.reserve(blocked.Spec, 1, t.MaxCPUs-(kept-lacks[blocked.Spec.Class]), t.MaxGPUs)
		}
		d := Demand{Spec: j.Spec}
		if j.faulty {
			if len(j.holds) == 0 && t.Unstarted(j) > 0 {
				d.Probe, d.Borrowed, d.Count = true, true, 1
				probes = append(probes, d)
			}
			continue
		}
		left := t.Unstarted(j)
		own := lacks[j.Spec.Class]
		fit := min(left, most(t.quotaFor(j, taken.cpus, own, kept), j.Spec.CPUs), most(t.MaxGPUs-taken.gpus, j.Spec.GPUs))
		within := min(fit, most(t.CPUs-cpus, j.Spec.CPUs), most(t.GPUs-gpus, j.Spec.GPUs))
		cpus += float64(fit) * j.Spec.CPUs
		gpus += float64(fit) * j.Spec.GPUs
		switch atOnce := j.startsAtOnce(left); {
		case atOnce > 0 && j.Spec.Kind == wire.Gang:
			if !reserved {
				reserved = true
				if !t.HoldsQuota() {
					atOnce = 0 // it made no use of it
				}
				taken.reserve(j.Spec, atOnce, t.MaxCPUs-(kept-own), t.MaxGPUs)
			}
		case fit < atOnce && blocked == nil:
			blocked = j
		default:
			taken.add(j.Spec, fit)
		}
		if own > 0 {
			used := min(own, float64(fit)*j.Spec.CPUs)
			lacks[j.Spec.Class] -= used
			kept -= used
		}
		beyond += float64(left-fit) * j.Spec.CPUs * j.Spec.Estimate
		if left > fit {
			i, ok := over[j.Spec.Class]
			if !ok {
				i = len(probes)
				over[j.Spec.Class] = i
				probes = append(probes, Demand{Spec: j.Spec})
			}
			probes[i].Beyond += float64(left-fit) * j.Spec.CPUs
		}
		if within > 0 {
			d.Count = within
			out = append(out, d)
		}
		d.Borrowed, d.Count = true, fit-within
		if d.Count > 0 {
			out = append(out, d)
		}
	}
	for i := range out {
		out[i].Behind = time.Duration(beyond / t.MaxCPUs * float64(time.Second))
	}
	return append(out, probes...)
}
