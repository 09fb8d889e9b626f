package jobstate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// plainWorker is a plain model of a machine's agent by the protocol.
type plainWorker struct {
	name    string
	session uint64
	seq     uint64
	token   uint64
	tasks   map[TaskID]TaskStatus
	dead    bool
	hung    bool // executes nothing and sends nothing until it resumes
}

// plainCapacity is what each machine of the model has, in CPUs.
const plainCapacity = 6

// used sums up what runs on a machine, of all teams or of the model's own.
func (m *model) used(w *plainWorker, own bool) (cpus float64) {
	for k, x := range w.tasks {
		if !w.dead && x.State != protocol.Exited && (!own || m.specs[k.Job].Team == "team") {
			cpus += m.specs[k.Job].CPUs
		}
	}
	return cpus
}

// message is a start or stop on its way; it may arrive late, even after its
// sender was replaced, as with held packets.
type message struct {
	to    *plainWorker
	term  uint64
	order Order
}

type model struct {
	t        *testing.T
	rng      *rand.Rand
	seed     uint64
	now      time.Time
	term     uint64
	team     *Team
	backup   *Replica
	workers  []*plainWorker
	flying   []message
	specs    map[string]*protocol.Submission
	active   map[string]bool
	done     map[TaskID]bool
	careless bool                      // a broken owner that takes a silent machine for gone
	memory   map[string]recollection   // what is known of a job that is over; zero: all
	last     map[string]*MachineStatus // the newest status of each machine, as the owner has it
	late     []*MachineStatus          // copies of heartbeats that are still in flight
	await    map[string]bool           // machines that a failover without memory waits for; nil: none
	since    uint64                    // the term of that failover
	met      map[string]bool           // what really happened in this run
}

// recollection is how much an owner's controller knows of a job that is over.
type recollection int

const (
	whole   recollection = iota
	unsized              // its end, and not what its tasks take
	nothing
)

// Job is what the owner's controller knows of a job.
func (m *model) Job(uid string) JobInfo {
	spec := m.specs[uid]
	switch {
	case spec == nil || m.memory[uid] == nothing:
		return JobInfo{}
	case m.memory[uid] == unsized:
		spec = &protocol.Submission{UID: uid, Team: spec.Team, Tasks: spec.Tasks}
	}
	return JobInfo{Known: true, OwnTeam: spec.Team == "team", Active: m.active[uid], Spec: spec}
}

// Unsized is what a machine has beside the listed tasks of known size.
func (m *model) UnknownSizeBound(v *MachineStatus) (cpus, gpus float64) {
	cpus = plainCapacity
	for _, x := range v.Tasks {
		if job := m.Job(x.Job); job.Known && x.State != protocol.Exited && m.memory[x.Job] == whole {
			cpus -= m.specs[x.Job].CPUs
		}
	}
	return cpus, 0
}

func (m *model) view(w *plainWorker) *MachineStatus {
	w.seq++
	v := &MachineStatus{Machine: w.name, Incarnation: w.session, Seq: w.seq, FencingToken: w.token, Term: m.term}
	for _, x := range w.tasks {
		v.Tasks = append(v.Tasks, x)
	}
	slices.SortFunc(v.Tasks, func(a, b TaskStatus) int { return int(a.Attempt) - int(b.Attempt) })
	return v
}

// deliver executes a command at a worker, and checks the two rules that an owner
// answers for at every start.
func (m *model) deliver(x message) (broken string) {
	w := x.to
	if w.dead || x.term < w.token || x.order.Incarnation != w.session {
		return ""
	}
	if x.order.Op == protocol.Start && m.used(w, false)+m.specs[x.order.Job].CPUs > plainCapacity {
		if _, there := w.tasks[x.order.TaskID]; !there {
			w.token = x.term
			w.tasks[x.order.TaskID] = TaskStatus{TaskID: x.order.TaskID, Attempt: x.order.Attempt, State: protocol.Exited, Reason: protocol.ReasonFull}
		}
		return ""
	}
	w.token = x.term
	have, there := w.tasks[x.order.TaskID]
	switch x.order.Op {
	case protocol.Start:
		if there {
			return ""
		}
		for _, o := range m.workers {
			if t, ok := o.tasks[x.order.TaskID]; ok && !o.dead && t.State != protocol.Exited {
				broken = fmt.Sprintf("%v on %s and %s", x.order.TaskID, o.name, w.name)
			}
		}
		w.tasks[x.order.TaskID] = TaskStatus{TaskID: x.order.TaskID, Attempt: x.order.Attempt, State: protocol.Running}
		used := 0.0
		for _, o := range m.workers {
			used += m.used(o, true)
		}
		if used > m.team.quota.limits.Max.CPUs+roundingTolerance {
			broken = fmt.Sprintf("quota: %g", used)
		}
	case protocol.Stop:
		if there && have.Attempt == x.order.Attempt && have.State != protocol.Exited {
			have.State, have.Reason = protocol.Exited, protocol.ReasonStopped
			w.tasks[x.order.TaskID] = have
		}
	case protocol.Forget:
		if there && have.Attempt == x.order.Attempt && have.State == protocol.Exited {
			delete(w.tasks, x.order.TaskID)
		}
	}
	return broken
}

// sync gives the owner's deltas to the backup and compares the two.
func (m *model) sync() {
	for _, d := range m.team.TakeDeltas() {
		if err := m.backup.Apply(d); err != nil {
			m.t.Fatalf("seed %d: %v", m.seed, err)
		}
	}
	if !reflect.DeepEqual(m.backup.Assignments, m.team.Replica().Assignments) {
		m.t.Fatalf("seed %d: backup holds differ", m.seed)
	}
}

func (m *model) send(w *plainWorker, orders []Order) {
	for _, o := range orders {
		x := message{w, m.term, o}
		// A home withholds forgets while starts are open, and repeats a command only once the last one is decided.
		if o.Op != protocol.Forget && !slices.Contains(m.flying, x) {
			m.flying = append(m.flying, x)
		}
	}
}

func (m *model) step() (broken string) {
	m.now = m.now.Add(time.Second)
	at := m.rng.IntN(len(m.workers))
	w := m.workers[at]
	switch m.rng.IntN(24) {
	case 0, 1, 2: // place what may be placed, on any machine
		if m.await == nil {
			m.place()
		}
	case 3, 4, 5: // write before start: orders go out only for what the backup has
		m.sync()
		if m.await == nil {
			m.order()
		}
	case 6, 7, 8, 9, 10: // a message arrives, in any order
		return m.arrive()
	case 11, 12, 13: // a heartbeat
		if !w.dead && !w.hung {
			m.report(w)
		}
	case 14: // a task completes
		if m.rng.IntN(3) == 0 {
			m.complete(w)
		}
	case 15: // the agent's lease expires
		if m.rng.IntN(8) == 0 {
			w.session++
			w.tasks, w.hung = map[TaskID]TaskStatus{}, false
		}
	case 16: // a machine dies; the cloud confirms its return
		if m.rng.IntN(12) == 0 {
			w.dead = true
			m.gone(w.name)
			m.workers[at] = &plainWorker{name: w.name + "+", session: 1, tasks: map[TaskID]TaskStatus{}}
		} else if m.careless {
			m.team.MachineReturned(w.name) // believes that a silent machine is gone
		}
	case 17: // the owner crashes; the replica takes over under a raised term, or nobody remembers anything
		if m.rng.IntN(4) == 0 && (m.await == nil || m.rng.IntN(6) == 0) {
			m.sync()
			m.term++
			m.takeOver(m.rng.IntN(2) == 0)
		}
	case 18: // a machine hangs, or goes on
		w.hung = !w.hung && m.rng.IntN(2) == 0
	case 19, 20: // a user cancels a job
		m.withdraw()
	case 21: // what is known of a job that is over grows
		if m.rng.IntN(2) == 0 {
			m.remember()
		}
	case 22: // another team's task comes or goes
		m.foreign(w)
	case 23: // a copy of an old heartbeat arrives
		m.copyArrives()
	}
	return ""
}

func (m *model) place() {
	m.team.Jobs(func(j *Job) {
		j.Pending(m.now, func(i int) bool {
			x := m.roomiest(j.Spec.CPUs)
			return x != nil && m.team.Quota().Fits(j, 1) && m.team.Place(j, i, Location{x.name, "z", x.session})
		})
	})
}

// roomiest is a machine with room for a task as the owner sees it, or any.
func (m *model) roomiest(cpus float64) *plainWorker {
	x := m.workers[m.rng.IntN(len(m.workers))]
	for range 8 {
		if !x.dead && m.used(x, false)+cpus <= plainCapacity {
			return x
		}
		x = m.workers[m.rng.IntN(len(m.workers))]
	}
	return nil
}

func (m *model) order() {
	for name, orders := range m.team.TakeDueOrders(m.backup.Seq, m.now, func(string, uint64) bool { return true }) {
		for _, x := range m.workers {
			if x.name == name {
				m.send(x, orders)
			}
		}
	}
}

func (m *model) arrive() (broken string) {
	if len(m.flying) == 0 {
		return ""
	}
	i := m.rng.IntN(len(m.flying))
	x := m.flying[i]
	if x.to.hung {
		m.met["a message waits at a machine that hangs"] = true
		return ""
	}
	m.flying = slices.Delete(m.flying, i, i+1)
	return m.deliver(x)
}

// report has an agent's heartbeat arrive now; a copy of it may arrive once more, any time later.
func (m *model) report(w *plainWorker) {
	v := m.view(w)
	if m.rng.IntN(4) == 0 {
		m.late = append(m.late, v)
	}
	w.token = max(w.token, m.term) // the answer brings the term, after the heartbeat
	m.see(w, v)
}

// see has the owner take in a status if it is newer than the one it has, as a controller does.
func (m *model) see(w *plainWorker, v *MachineStatus) {
	if last := m.last[v.Machine]; last != nil && !v.Newer(last) {
		return
	}
	m.last[v.Machine] = v
	if m.await != nil {
		m.passBarrier()
		return
	}
	m.observe(w, v)
}

func (m *model) observe(w *plainWorker, v *MachineStatus) {
	orders := m.team.Observe(v, m.now, m)
	if m.team.Quota().HasOrphansOn(v.Machine) {
		m.met["quota is reserved for orphaned tasks"] = true
	}
	m.send(w, orders)
}

// passBarrier ends a failover without memory once each machine has reported under its term.
func (m *model) passBarrier() {
	for name := range m.await {
		if v := m.last[name]; v != nil && v.FencingToken >= m.since {
			delete(m.await, name)
		}
	}
	if len(m.await) > 0 {
		return
	}
	m.await = nil
	m.met["a barrier is passed"] = true
	m.observeAll()
}

func (m *model) observeAll() {
	for _, w := range m.workers {
		if v := m.last[w.name]; v != nil {
			m.observe(w, v)
		}
	}
}

func (m *model) complete(w *plainWorker) {
	for k, x := range w.tasks {
		if x.State == protocol.Running && !w.dead && !w.hung && m.specs[k.Job].Team == "team" {
			x.State, x.Reason = protocol.Exited, protocol.ReasonDone
			w.tasks[k] = x
			m.done[k] = true
			break
		}
	}
}

func (m *model) gone(name string) {
	delete(m.last, name)
	if m.await == nil {
		m.team.MachineReturned(name)
		return
	}
	delete(m.await, name)
	m.passBarrier()
}

// withdraw cancels a job and has another one submitted, so that the team's limit is always asked for.
func (m *model) withdraw() {
	if m.rng.IntN(3) > 0 {
		return
	}
	var active []string
	for uid, s := range m.specs {
		if m.active[uid] && s.Team == "team" {
			active = append(active, uid)
		}
	}
	slices.Sort(active)
	uid := active[m.rng.IntN(len(active))]
	m.active[uid] = false
	m.team.EndJob(uid)
	m.submit()
	m.observeAllOrWait()
}

func (m *model) observeAllOrWait() {
	if m.await == nil {
		m.observeAll()
	}
}

func (m *model) submit() {
	n := len(m.specs)
	s := &protocol.Submission{UID: fmt.Sprintf("job-%d", n), Team: "team", Kind: protocol.JobArray, Priority: "standard", Tasks: 6, CPUs: float64(2 + n%2)}
	m.specs[s.UID], m.active[s.UID] = s, true
	m.team.AddJob(s, 1, time.Unix(0, 0), nil)
}

// remember has a job that is over looked up: first how it ended, then what its tasks take.
func (m *model) remember() {
	for uid, r := range m.memory {
		if r == whole {
			continue
		}
		m.memory[uid] = r - 1
		if m.rng.IntN(2) == 0 {
			m.memory[uid] = whole
		}
		m.observeAllOrWait()
		return
	}
}

// foreign has a task of another team come to a machine or leave it.
func (m *model) foreign(w *plainWorker) {
	if w.dead || w.hung {
		return
	}
	k := TaskID{"foreign", m.rng.IntN(3)}
	if _, there := w.tasks[k]; there {
		delete(w.tasks, k)
	} else if m.used(w, false)+m.specs[k.Job].CPUs <= plainCapacity {
		w.tasks[k] = TaskStatus{TaskID: k, Attempt: AttemptID(m.term, 1<<20), State: protocol.Running}
	}
}

// copyArrives delivers a copy of an earlier heartbeat at a home that may have no memory of newer ones.
func (m *model) copyArrives() {
	if len(m.late) == 0 {
		return
	}
	i := m.rng.IntN(len(m.late))
	v := *m.late[i]
	m.late = slices.Delete(m.late, i, i+1)
	for _, w := range m.workers {
		if w.name == v.Machine {
			m.met["an old report replaces a newer one"] = m.met["an old report replaces a newer one"] || m.last[v.Machine] != nil && m.last[v.Machine].Term < m.term
			v.Term = m.term
			m.see(w, &v)
		}
	}
}

// account compares what the team keeps up to date as things change with a plain
// count of all that it holds: an attempt that is forgotten there would never get
// its order.
func (m *model) account() (broken string) {
	on, jobs := map[string]int{}, map[string]int{}
	cpus := 0.0
	for k, a := range m.team.assignments.byTask {
		on[a.Machine]++
		jobs[k.Job]++
		cpus += a.CPUs
		if j := m.team.jobs.byUID[k.Job]; (j == nil || a.stopping || a.state == "") && !m.team.assignments.openOrders[a] {
			return fmt.Sprintf("attempt %v needs an order and is not looked at", a.Ref())
		} else if j != nil && j.attempts[k.Index] != a {
			return fmt.Sprintf("attempt %v is missing at its job", a.Ref())
		}
	}
	for a := range m.team.assignments.openOrders {
		if m.team.assignments.byTask[a.TaskID] != a {
			return fmt.Sprintf("attempt %v is off and still looked at", a.Ref())
		}
	}
	for uid, j := range m.team.jobs.byUID {
		if len(j.attempts) != jobs[uid] {
			return fmt.Sprintf("%s holds %d, plainly %d", uid, len(j.attempts), jobs[uid])
		}
	}
	for machine, list := range m.team.assignments.byMachine {
		if len(list) != on[machine] {
			return fmt.Sprintf("%s holds %d, plainly %d", machine, len(list), on[machine])
		}
	}
	if len(m.team.jobs.ordered) != len(m.team.jobs.byUID) || !slices.IsSortedFunc(m.team.jobs.ordered, Urgency) || cpus != m.team.quota.used.CPUs {
		return "jobs out of order, or quota miscounted"
	}
	return ""
}

// takeOver begins a new owner's account: of what the replica has, or without memory, when all controllers ended. Then
// the ends of jobs are known to nobody until they are looked up, and every machine has to report first.
func (m *model) takeOver(blind bool) {
	if blind {
		m.met["a take-over without memory"] = true
		m.backup = NewReplica()
		for uid := range m.specs {
			if !m.active[uid] {
				m.memory[uid] = unsized + recollection(m.rng.IntN(2))
			}
		}
		m.await, m.since = map[string]bool{}, m.term
		for _, w := range m.workers {
			m.await[w.name] = true
		}
		m.last = map[string]*MachineStatus{}
	}
	rep := FromCopy(m.backup.Copy())
	m.team = NewTeam("team", Limits{Guaranteed: Resources{CPUs: 8}, Max: Resources{CPUs: 12}}, rep, m.term, func(string, ...any) {})
	for uid, s := range m.specs {
		if m.active[uid] && s.Team == "team" {
			m.team.AddJob(s, 1, time.Unix(0, 0), nil)
		}
	}
	m.observeAllOrWait()
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, now: time.Unix(1000, 0), term: 1, backup: NewReplica(),
		specs: map[string]*protocol.Submission{}, active: map[string]bool{}, done: map[TaskID]bool{}}
	for i := range 4 {
		m.workers = append(m.workers, &plainWorker{name: fmt.Sprintf("m%d", i), session: 1, tasks: map[TaskID]TaskStatus{}})
	}
	m.memory, m.last, m.met = map[string]recollection{}, map[string]*MachineStatus{}, map[string]bool{}
	for i := range 3 {
		s := &protocol.Submission{UID: fmt.Sprintf("job-%d", i), Team: "team", Kind: protocol.JobArray, Priority: "standard", Tasks: 6, CPUs: float64(2 + i%2)}
		m.specs[s.UID], m.active[s.UID] = s, true
	}
	m.specs["foreign"] = &protocol.Submission{UID: "foreign", Team: "other", Kind: protocol.JobArray, Priority: "standard", Tasks: 3, CPUs: 2}
	m.takeOver(false)
	return m
}

// TestOwnerModel runs an owner's account against plain agents with messages in
// any order, leases that run out, machines that hang or die, jobs that are cancelled, old heartbeats, and failovers to an in-sync
// replica or without memory, when nobody knows the jobs that are over. At every start no task may be on two machines and the quota must hold;
// what the account calls done must be done.
func TestOwnerModel(t *testing.T) {
	starts := 0
	met := map[string]bool{}
	for seed := range uint64(1500) {
		m := newModel(t, seed)
		m.met = met
		for range 400 {
			broken := m.step()
			if broken == "" {
				broken = m.account()
			}
			if broken != "" {
				t.Fatalf("seed %d: %s", seed, broken)
			}
		}
		for uid, b := range m.team.Replica().Done {
			for i, ok := b.NextSet(0); ok; i, ok = b.NextSet(i + 1) {
				if !m.done[TaskID{uid, int(i)}] {
					t.Fatalf("seed %d: %s/%d called done", seed, uid, i)
				}
				starts++
			}
		}
	}
	if starts == 0 {
		t.Fatal("the model ran nothing")
	}
	for _, what := range []string{"a message waits at a machine that hangs", "quota is reserved for orphaned tasks", "a barrier is passed",
		"a take-over without memory", "an old report replaces a newer one"} {
		if !met[what] {
			t.Errorf("never happened: %s", what)
		}
	}
}

// TestOwnerModelCatches shows that the model fails an owner that takes a silent
// machine's tasks for gone: the rule that only proof releases an assignment matters.
func TestOwnerModelCatches(t *testing.T) {
	for seed := range uint64(400) {
		m := newModel(t, seed)
		m.careless = true
		for range 400 {
			if m.step() != "" {
				return
			}
		}
	}
	t.Fatal("a careless owner was not caught")
}

// TestReplicaIgnoresOldAndRefusesGaps: older deltas change nothing, a gap needs a
// full copy.
func TestReplicaIgnoresOldAndRefusesGaps(t *testing.T) {
	r := NewReplica()
	hold := Assignment{TaskID: TaskID{"job-1", 0}, Attempt: 1, Machine: "m"}
	if err := r.Apply(Delta{Seq: 1, Placed: []Assignment{hold}}); err != nil {
		t.Fatal(err)
	}
	if err := r.Apply(Delta{Seq: 1, Released: []TaskID{hold.TaskID}}); err != nil || len(r.Assignments) != 1 {
		t.Fatal("an older delta was applied")
	}
	if err := r.Apply(Delta{Seq: 3}); err == nil {
		t.Fatal("a gap went unnoticed")
	}
}

// TestForgetWaitsForBitmap: an agent keeps a result until the state service
// knows it; before, a crash of all controllers would run the task again.
func TestForgetWaitsForBitmap(t *testing.T) {
	m := newModel(t, 1)
	spec := m.specs["job-0"]
	j := m.team.Job(spec.UID)
	if !m.team.Place(j, 0, Location{"m0", "z", 1}) {
		t.Fatal("not placed")
	}
	v := &MachineStatus{Machine: "m0", Incarnation: 1, Seq: 1, FencingToken: 1, Tasks: []TaskStatus{{TaskID: TaskID{spec.UID, 0}, Attempt: AttemptID(1, 1), State: protocol.Exited, Reason: protocol.ReasonDone}}}
	if orders := m.team.Observe(v, m.now, m); len(orders) != 0 {
		t.Fatalf("ordered %v before the bitmap was written", orders)
	}
	m.team.Job(spec.UID).RecordSaved(bitset.New(1).Set(0))
	if orders := m.team.Observe(v, m.now, m); len(orders) != 1 || orders[0].Op != protocol.Forget {
		t.Fatalf("ordered %v after the bitmap was written", orders)
	}
}

// TestAttemptsStayBelow2to53 guards the numbers that travel as JSON.
func TestAttemptsStayBelow2to53(t *testing.T) {
	if a := AttemptID(1<<29-1, 1<<24-1); a >= 1<<53 || TermOf(a) != 1<<29-1 {
		t.Fatal(a)
	}
	if AttemptID(2, 1) <= AttemptID(1, 1<<24-1) {
		t.Fatal("a later term made an earlier number")
	}
}

// TestQuotaBacklogIsUrgent: a demand says how long the whole quota takes for what
// waits beyond it. Without that a team at a few tasks of its quota seemed to be in
// no hurry, and its quota stood empty while a long line waited behind it.
func TestQuotaBacklogIsUrgent(t *testing.T) {
	team := NewTeam("t", Limits{Max: Resources{CPUs: 8}}, NewReplica(), 1, func(string, ...any) {})
	team.quota.limits.Max.GPUs = math.Inf(1)
	spec := &protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "standard", Tasks: 20, CPUs: 2, EstimateSeconds: 30}
	team.AddJob(spec, 1, time.Unix(1000, 0), nil)
	list := team.Quota().Demands(time.Unix(1000, 0))
	// 4 tasks fit the quota; the other 16 take it four times over, 30 s each.
	if len(list) != 2 || list[0].Count != 4 || list[0].Backlog != 2*time.Minute || list[1].Count != 0 || list[1].BeyondQuotaCPUs != 32 {
		t.Fatalf("demands %+v, want 4 tasks with 2 minutes behind them, and 32 CPUs beyond the quota", list)
	}
	// A class that is kept room for is asked for within the quota, whatever is more urgent.
	urgent := &protocol.Submission{UID: "job-000002", Class: "urgent", Kind: protocol.JobArray, Priority: "high", Tasks: 20, CPUs: 2, EstimateSeconds: 30}
	team.AddJob(urgent, 1, time.Unix(1000, 0), nil)
	team.Quota().SetFloors(map[string]float64{"": 4})
	counts := map[string]int{}
	for _, d := range team.Quota().Demands(time.Unix(1000, 0)) {
		counts[d.Spec.UID] += d.Count
	}
	if counts[spec.UID] != 2 || counts[urgent.UID] != 2 {
		t.Fatalf("%v tasks asked for, want two of each", counts)
	}
	team.Quota().SetFloors(nil)
	team.EndJob(urgent.UID)
	team.quota.limits.Max.CPUs = math.Inf(1)
	if list = team.Quota().Demands(time.Unix(1000, 0)); list[0].Count != 20 || list[0].Backlog != 0 {
		t.Fatalf("demands %+v without a limit, want all and nothing behind", list)
	}
}
