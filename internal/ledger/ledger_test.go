package ledger

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/wire"
)

// plainWorker is a plain model of a machine's worker by the protocol.
type plainWorker struct {
	name    string
	session uint64
	seq     uint64
	token   uint64
	tasks   map[Key]TaskView
	dead    bool
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
	specs    map[string]*wire.Submission
	active   map[string]bool
	done     map[Key]bool
	careless bool // a broken owner that believes silence
}

func (m *model) mine(uid string) (*wire.Submission, bool, bool) {
	s := m.specs[uid]
	return s, m.active[uid], s != nil
}

func (m *model) view(w *plainWorker) *View {
	w.seq++
	v := &View{Machine: w.name, Session: w.session, Seq: w.seq, Token: w.token, Term: m.term}
	for _, x := range w.tasks {
		v.Tasks = append(v.Tasks, x)
	}
	slices.SortFunc(v.Tasks, func(a, b TaskView) int { return int(a.Attempt) - int(b.Attempt) })
	return v
}

// deliver executes a command at a worker, and checks the two rules that an owner
// answers for at every start.
func (m *model) deliver(x message) (broken string) {
	w := x.to
	if w.dead || x.term < w.token || x.order.Session != w.session {
		return ""
	}
	w.token = x.term
	have, there := w.tasks[x.order.Key]
	switch x.order.Op {
	case wire.Start:
		if there {
			return ""
		}
		for _, o := range m.workers {
			if t, ok := o.tasks[x.order.Key]; ok && !o.dead && t.State != wire.Exited {
				broken = fmt.Sprintf("%v on %s and %s", x.order.Key, o.name, w.name)
			}
		}
		w.tasks[x.order.Key] = TaskView{Key: x.order.Key, Attempt: x.order.Attempt, State: wire.Running}
		used := 0.0
		for _, o := range m.workers {
			for k, t := range o.tasks {
				if !o.dead && t.State != wire.Exited {
					used += m.specs[k.Job].CPUs
				}
			}
		}
		if used > m.team.MaxCPUs+slack {
			broken = fmt.Sprintf("quota: %g", used)
		}
	case wire.Stop:
		if there && have.Attempt == x.order.Attempt && have.State != wire.Exited {
			have.State, have.Why = wire.Exited, wire.WhyStopped
			w.tasks[x.order.Key] = have
		}
	case wire.Forget:
		if there && have.Attempt == x.order.Attempt && have.State == wire.Exited {
			delete(w.tasks, x.order.Key)
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
	if !reflect.DeepEqual(m.backup.Holds, m.team.Replica().Holds) {
		m.t.Fatalf("seed %d: backup holds differ", m.seed)
	}
}

func (m *model) send(w *plainWorker, orders []Order) {
	for _, o := range orders {
		if o.Op != wire.Forget { // a home withholds forgets while starts are open
			m.flying = append(m.flying, message{w, m.term, o})
		}
	}
}

func (m *model) step() (broken string) {
	m.now = m.now.Add(time.Second)
	at := m.rng.IntN(len(m.workers))
	w := m.workers[at]
	switch m.rng.IntN(10) {
	case 0: // place what may be placed, on any machine
		m.team.Jobs(func(j *Job) {
			m.team.Pending(j, m.now, func(i int) bool {
				x := m.workers[m.rng.IntN(len(m.workers))]
				return m.team.Fits(j, 1) && !x.dead && m.team.Place(j, i, Spot{x.name, "z", x.session})
			})
		})
	case 1: // write before start: orders go out only for what the backup has
		m.sync()
		for name, orders := range m.team.Due(m.backup.Seq, m.now, func(string, uint64) bool { return true }) {
			for _, x := range m.workers {
				if x.name == name {
					m.send(x, orders)
				}
			}
		}
	case 2, 3: // a message arrives, in any order
		if len(m.flying) > 0 {
			i := m.rng.IntN(len(m.flying))
			x := m.flying[i]
			m.flying = slices.Delete(m.flying, i, i+1)
			return m.deliver(x)
		}
	case 4, 5: // a report
		if !w.dead {
			v := m.view(w)
			w.token = max(w.token, m.term) // the answer brings the term, after the report
			m.send(w, m.team.Observe(v, m.now, m.mine))
		}
	case 6: // a task completes
		for k, x := range w.tasks {
			if x.State == wire.Running && !w.dead {
				x.State, x.Why = wire.Exited, wire.WhyDone
				w.tasks[k] = x
				m.done[k] = true
				break
			}
		}
	case 7: // the worker's lease runs out
		if m.rng.IntN(4) == 0 {
			w.session++
			w.tasks = map[Key]TaskView{}
		}
	case 8: // a machine dies; the cloud confirms its return
		if m.rng.IntN(12) == 0 {
			w.dead = true
			m.team.Gone(w.name)
			m.workers[at] = &plainWorker{name: w.name + "+", session: 1, tasks: map[Key]TaskView{}}
		} else if m.careless {
			m.team.Gone(w.name) // believes that a silent machine is gone
		}
	case 9: // the owner crashes; the backup takes over under a raised term
		if m.rng.IntN(5) == 0 {
			m.sync()
			m.term++
			m.takeOver()
		}
	}
	return ""
}

// account compares what the team keeps up to date as things change with a plain
// count of all that it holds: an attempt that is forgotten there would never get
// its order.
func (m *model) account() (broken string) {
	on, jobs := map[string]int{}, map[string]int{}
	cpus := 0.0
	for k, a := range m.team.held {
		on[a.Machine]++
		jobs[k.Job]++
		cpus += a.CPUs
		if j := m.team.jobs[k.Job]; (j == nil || a.stop || a.state == "") && !m.team.todo[a] {
			return fmt.Sprintf("attempt %v needs an order and is not looked at", a.Ref())
		} else if j != nil && j.holds[k.Index] != a {
			return fmt.Sprintf("attempt %v is missing at its job", a.Ref())
		}
	}
	for a := range m.team.todo {
		if m.team.held[a.Key] != a {
			return fmt.Sprintf("attempt %v is off and still looked at", a.Ref())
		}
	}
	for uid, j := range m.team.jobs {
		if len(j.holds) != jobs[uid] {
			return fmt.Sprintf("%s holds %d, plainly %d", uid, len(j.holds), jobs[uid])
		}
	}
	for machine, list := range m.team.on {
		if len(list) != on[machine] {
			return fmt.Sprintf("%s holds %d, plainly %d", machine, len(list), on[machine])
		}
	}
	if len(m.team.order) != len(m.team.jobs) || !slices.IsSortedFunc(m.team.order, Urgency) || cpus != m.team.usedCPU {
		return "jobs out of order, or quota miscounted"
	}
	return ""
}

func (m *model) takeOver() {
	rep := FromCopy(m.backup.Copy())
	m.team = NewTeam("team", 8, 12, 0, 0, rep, m.term, func(string, ...any) {})
	for uid, s := range m.specs {
		if m.active[uid] {
			m.team.AddJob(s, 1, time.Unix(0, 0), nil)
		}
	}
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, now: time.Unix(1000, 0), term: 1, backup: NewReplica(),
		specs: map[string]*wire.Submission{}, active: map[string]bool{}, done: map[Key]bool{}}
	for i := range 3 {
		m.workers = append(m.workers, &plainWorker{name: fmt.Sprintf("m%d", i), session: 1, tasks: map[Key]TaskView{}})
	}
	for i := range 3 {
		s := &wire.Submission{UID: fmt.Sprintf("job-%d", i), Team: "team", Kind: wire.Batch, Priority: "standard", Tasks: 6, CPUs: float64(1 + i)}
		m.specs[s.UID], m.active[s.UID] = s, true
	}
	m.takeOver()
	return m
}

// TestOwnerModel runs an owner's account against plain workers with messages in
// any order, leases that run out, dead machines and take-overs by an in-sync
// backup. At every start no task may be on two machines and the quota must hold;
// what the account calls done must be done.
func TestOwnerModel(t *testing.T) {
	starts := 0
	for seed := range uint64(400) {
		m := newModel(t, seed)
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
				if !m.done[Key{uid, int(i)}] {
					t.Fatalf("seed %d: %s/%d called done", seed, uid, i)
				}
				starts++
			}
		}
	}
	if starts == 0 {
		t.Fatal("the model ran nothing")
	}
}

// TestOwnerModelCatches shows that the model fails an owner that takes a silent
// machine's tasks for gone: the rule that only proof ends a hold matters.
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
	hold := Hold{Key: Key{"job-1", 0}, Attempt: 1, Machine: "m"}
	if err := r.Apply(Delta{Seq: 1, Place: []Hold{hold}}); err != nil {
		t.Fatal(err)
	}
	if err := r.Apply(Delta{Seq: 1, Off: []Key{hold.Key}}); err != nil || len(r.Holds) != 1 {
		t.Fatal("an older delta was applied")
	}
	if err := r.Apply(Delta{Seq: 3}); err == nil {
		t.Fatal("a gap went unnoticed")
	}
}

// TestForgetWaitsForBitmap: a worker keeps a result until the state service
// knows it; before, a crash of all controllers would run the task again.
func TestForgetWaitsForBitmap(t *testing.T) {
	m := newModel(t, 1)
	spec := m.specs["job-0"]
	j := m.team.Job(spec.UID)
	if !m.team.Place(j, 0, Spot{"m0", "z", 1}) {
		t.Fatal("not placed")
	}
	v := &View{Machine: "m0", Session: 1, Seq: 1, Token: 1, Tasks: []TaskView{{Key: Key{spec.UID, 0}, Attempt: AttemptID(1, 1), State: wire.Exited, Why: wire.WhyDone}}}
	if orders := m.team.Observe(v, m.now, m.mine); len(orders) != 0 {
		t.Fatalf("ordered %v before the bitmap was written", orders)
	}
	m.team.Saved(spec.UID, bitset.New(1).Set(0))
	if orders := m.team.Observe(v, m.now, m.mine); len(orders) != 1 || orders[0].Op != wire.Forget {
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
	team := NewTeam("t", 0, 8, 0, 0, NewReplica(), 1, func(string, ...any) {})
	team.MaxGPUs = math.Inf(1)
	spec := &wire.Submission{UID: "job-000001", Kind: wire.Batch, Priority: "standard", Tasks: 20, CPUs: 2, Estimate: 30}
	team.AddJob(spec, 1, time.Unix(1000, 0), nil)
	list := team.Demands(time.Unix(1000, 0))
	// 4 tasks fit the quota; the other 16 take it four times over, 30 s each.
	if len(list) != 2 || list[0].Count != 4 || list[0].Behind != 2*time.Minute || list[1].Count != 0 || list[1].Beyond != 32 {
		t.Fatalf("demands %+v, want 4 tasks with 2 minutes behind them, and 32 CPUs beyond the quota", list)
	}
	// A class that is kept room for is asked for within the quota, whatever is more urgent.
	urgent := &wire.Submission{UID: "job-000002", Class: "urgent", Kind: wire.Batch, Priority: "high", Tasks: 20, CPUs: 2, Estimate: 30}
	team.AddJob(urgent, 1, time.Unix(1000, 0), nil)
	team.Keep(map[string]float64{"": 4})
	counts := map[string]int{}
	for _, d := range team.Demands(time.Unix(1000, 0)) {
		counts[d.Spec.UID] += d.Count
	}
	if counts[spec.UID] != 2 || counts[urgent.UID] != 2 {
		t.Fatalf("%v tasks asked for, want two of each", counts)
	}
	team.Keep(nil)
	team.EndJob(urgent.UID)
	team.MaxCPUs = math.Inf(1)
	if list = team.Demands(time.Unix(1000, 0)); list[0].Count != 20 || list[0].Behind != 0 {
		t.Fatalf("demands %+v without a limit, want all and nothing behind", list)
	}
}
