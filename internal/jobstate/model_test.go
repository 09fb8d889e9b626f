package jobstate

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// modelAgent is a plain model of a machine's agent by the protocol.
type modelAgent struct {
	name         string
	incarnation  uint64
	seq          uint64
	fencingToken uint64
	tasks        map[TaskID]TaskStatus
	dead         bool
	hung         bool // executes nothing and sends nothing until it resumes
}

// plainCapacity is what each machine of the model has, in CPUs.
const modelMachineCPUs = 6

// used sums up what runs on a machine, of all teams or of the model's own.
func (m *model) used(w *modelAgent, own bool) (cpus float64) {
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
	to    *modelAgent
	term  uint64
	order Order
}

type model struct {
	t                    *testing.T
	rng                  *rand.Rand
	seed                 uint64
	now                  time.Time
	term                 uint64
	team                 *Team
	replica              *Replica
	agents               []*modelAgent
	inFlight             []message
	specs                map[string]*protocol.Submission
	active               map[string]bool
	done                 map[TaskID]bool
	releasesWithoutProof bool                      // a broken owner that takes a silent machine for gone
	knowledge            map[string]endKnowledge   // what is known of a job that is over; zero: all
	newestStatus         map[string]*MachineStatus // the newest status of each machine, as the owner has it
	delayedStatuses      []*MachineStatus          // copies of heartbeats that are still in flight
	barrier              map[string]bool           // machines that a failover without memory waits for; nil: none
	barrierTerm          uint64                    // the term of that failover
	reached              map[string]bool           // what really happened in this run
}

// endKnowledge is how much an owner's controller knows of a job that is over.
type endKnowledge int

const (
	endAndSize endKnowledge = iota
	endOnly                 // its end, and not what its tasks take
	unknownJob
)

// Job is what the owner's controller knows of a job.
func (m *model) Job(uid string) JobInfo {
	spec := m.specs[uid]
	switch {
	case spec == nil || m.knowledge[uid] == unknownJob:
		return JobInfo{}
	case m.knowledge[uid] == endOnly:
		spec = &protocol.Submission{UID: uid, Team: spec.Team, Tasks: spec.Tasks}
	}
	return JobInfo{Known: true, OwnTeam: spec.Team == "team", Active: m.active[uid], Spec: spec}
}

// Unsized is what a machine has beside the listed tasks of known size.
func (m *model) UnknownSizeBound(v *MachineStatus) (cpus, gpus float64) {
	cpus = modelMachineCPUs
	for _, x := range v.Tasks {
		if job := m.Job(x.Job); job.Known && x.State != protocol.Exited && m.knowledge[x.Job] == endAndSize {
			cpus -= m.specs[x.Job].CPUs
		}
	}
	return cpus, 0
}

func (m *model) status(w *modelAgent) *MachineStatus {
	w.seq++
	v := &MachineStatus{Machine: w.name, Incarnation: w.incarnation, Seq: w.seq, FencingToken: w.fencingToken, Term: m.term}
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
	if w.dead || x.term < w.fencingToken || x.order.Incarnation != w.incarnation {
		return ""
	}
	if x.order.Op == protocol.Start && m.used(w, false)+m.specs[x.order.Job].CPUs > modelMachineCPUs {
		if _, there := w.tasks[x.order.TaskID]; !there {
			w.fencingToken = x.term
			w.tasks[x.order.TaskID] = TaskStatus{TaskID: x.order.TaskID, Attempt: x.order.Attempt, State: protocol.Exited, Reason: protocol.ReasonFull}
		}
		return ""
	}
	w.fencingToken = x.term
	have, there := w.tasks[x.order.TaskID]
	switch x.order.Op {
	case protocol.Start:
		if there {
			return ""
		}
		for _, o := range m.agents {
			if t, ok := o.tasks[x.order.TaskID]; ok && !o.dead && t.State != protocol.Exited {
				broken = fmt.Sprintf("%v on %s and %s", x.order.TaskID, o.name, w.name)
			}
		}
		w.tasks[x.order.TaskID] = TaskStatus{TaskID: x.order.TaskID, Attempt: x.order.Attempt, State: protocol.Running}
		used := 0.0
		for _, o := range m.agents {
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

// replicate gives the owner's deltas to the replica and compares the two.
func (m *model) replicate() {
	for _, d := range m.team.TakeDeltas() {
		if err := m.replica.Apply(d); err != nil {
			m.t.Fatalf("seed %d: %v", m.seed, err)
		}
	}
	if !reflect.DeepEqual(m.replica.Assignments, m.team.Replica().Assignments) {
		m.t.Fatalf("seed %d: replica differs", m.seed)
	}
}

func (m *model) send(w *modelAgent, orders []Order) {
	for _, o := range orders {
		x := message{w, m.term, o}
		// A home withholds forgets while starts are open, and repeats a command only once the last one is decided.
		if o.Op != protocol.Forget && !slices.Contains(m.inFlight, x) {
			m.inFlight = append(m.inFlight, x)
		}
	}
}

func (m *model) step() (broken string) {
	m.now = m.now.Add(time.Second)
	at := m.rng.IntN(len(m.agents))
	w := m.agents[at]
	switch m.rng.IntN(24) {
	case 0, 1, 2: // place what may be placed, on any machine
		if m.barrier == nil {
			m.place()
		}
	case 3, 4, 5: // write before start: orders go out only for what the replica has
		m.replicate()
		if m.barrier == nil {
			m.sendDueOrders()
		}
	case 6, 7, 8, 9, 10: // a message arrives, in any order
		return m.deliverAny()
	case 11, 12, 13: // a heartbeat
		if !w.dead && !w.hung {
			m.sendHeartbeat(w)
		}
	case 14: // a task completes
		if m.rng.IntN(3) == 0 {
			m.complete(w)
		}
	case 15: // the agent's lease expires
		if m.rng.IntN(8) == 0 {
			w.incarnation++
			w.tasks, w.hung = map[TaskID]TaskStatus{}, false
		}
	case 16: // a machine dies; the cloud confirms its return
		if m.rng.IntN(12) == 0 {
			w.dead = true
			m.returnMachine(w.name)
			m.agents[at] = &modelAgent{name: w.name + "+", incarnation: 1, tasks: map[TaskID]TaskStatus{}}
		} else if m.releasesWithoutProof {
			m.team.MachineReturned(w.name) // believes that a silent machine is gone
		}
	case 17: // the owner crashes; the replica takes over under a raised term, or nobody remembers anything
		if m.rng.IntN(4) == 0 && (m.barrier == nil || m.rng.IntN(6) == 0) {
			m.replicate()
			m.term++
			m.failOver(m.rng.IntN(2) == 0)
		}
	case 18: // a machine hangs, or goes on
		w.hung = !w.hung && m.rng.IntN(2) == 0
	case 19, 20: // a user cancels a job
		m.cancelJob()
	case 21: // what is known of a job that is over grows
		if m.rng.IntN(2) == 0 {
			m.lookUpEnd()
		}
	case 22: // another team's task comes or goes
		m.changeForeignTask(w)
	case 23: // a copy of an old heartbeat arrives
		m.receiveDelayedStatus()
	}
	return ""
}

func (m *model) place() {
	m.team.Jobs(func(j *Job) {
		j.Pending(m.now, func(i int) bool {
			x := m.machineWithRoom(j.Spec.CPUs)
			return x != nil && m.team.Quota().Fits(j, 1) && m.team.Place(j, i, Location{x.name, "z", x.incarnation})
		})
	})
}

// machineWithRoom is a machine with room for a task as the owner sees it, or any.
func (m *model) machineWithRoom(cpus float64) *modelAgent {
	x := m.agents[m.rng.IntN(len(m.agents))]
	for range 8 {
		if !x.dead && m.used(x, false)+cpus <= modelMachineCPUs {
			return x
		}
		x = m.agents[m.rng.IntN(len(m.agents))]
	}
	return nil
}

func (m *model) sendDueOrders() {
	for name, orders := range m.team.TakeDueOrders(m.replica.Seq, m.now, func(string, uint64) bool { return true }) {
		for _, x := range m.agents {
			if x.name == name {
				m.send(x, orders)
			}
		}
	}
}

func (m *model) deliverAny() (broken string) {
	if len(m.inFlight) == 0 {
		return ""
	}
	i := m.rng.IntN(len(m.inFlight))
	x := m.inFlight[i]
	if x.to.hung {
		m.reached["a message waits at a machine that hangs"] = true
		return ""
	}
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	return m.deliver(x)
}

// sendHeartbeat has an agent's heartbeat arrive now; a copy of it may arrive once more, any time later.
func (m *model) sendHeartbeat(w *modelAgent) {
	v := m.status(w)
	if m.rng.IntN(4) == 0 {
		m.delayedStatuses = append(m.delayedStatuses, v)
	}
	w.fencingToken = max(w.fencingToken, m.term) // the answer brings the term, after the heartbeat
	m.receiveStatus(w, v)
}

// receiveStatus has the owner take in a status if it is newer than the one it has, as a controller does.
func (m *model) receiveStatus(w *modelAgent, v *MachineStatus) {
	if last := m.newestStatus[v.Machine]; last != nil && !v.Newer(last) {
		return
	}
	m.newestStatus[v.Machine] = v
	if m.barrier != nil {
		m.passBarrier()
		return
	}
	m.observe(w, v)
}

func (m *model) observe(w *modelAgent, v *MachineStatus) {
	orders := m.team.Observe(v, m.now, m)
	if m.team.Quota().HasOrphansOn(v.Machine) {
		m.reached["quota is reserved for orphaned tasks"] = true
	}
	m.send(w, orders)
}

// passBarrier ends a failover without memory once each machine has reported under its term.
func (m *model) passBarrier() {
	for name := range m.barrier {
		if v := m.newestStatus[name]; v != nil && v.FencingToken >= m.barrierTerm {
			delete(m.barrier, name)
		}
	}
	if len(m.barrier) > 0 {
		return
	}
	m.barrier = nil
	m.reached["a barrier is passed"] = true
	m.observeAll()
}

func (m *model) observeAll() {
	for _, w := range m.agents {
		if v := m.newestStatus[w.name]; v != nil {
			m.observe(w, v)
		}
	}
}

func (m *model) complete(w *modelAgent) {
	for k, x := range w.tasks {
		if x.State == protocol.Running && !w.dead && !w.hung && m.specs[k.Job].Team == "team" {
			x.State, x.Reason = protocol.Exited, protocol.ReasonDone
			w.tasks[k] = x
			m.done[k] = true
			break
		}
	}
}

func (m *model) returnMachine(name string) {
	delete(m.newestStatus, name)
	if m.barrier == nil {
		m.team.MachineReturned(name)
		return
	}
	delete(m.barrier, name)
	m.passBarrier()
}

// cancelJob cancels a job and has another one submitted, so that the team's limit is always asked for.
func (m *model) cancelJob() {
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
	m.observeAllUnlessAtBarrier()
}

func (m *model) observeAllUnlessAtBarrier() {
	if m.barrier == nil {
		m.observeAll()
	}
}

func (m *model) submit() {
	n := len(m.specs)
	s := &protocol.Submission{UID: fmt.Sprintf("job-%d", n), Team: "team", Kind: protocol.JobArray, Priority: "standard", Tasks: 6, CPUs: float64(2 + n%2)}
	m.specs[s.UID], m.active[s.UID] = s, true
	m.team.AddJob(s, 1, time.Unix(0, 0), nil)
}

// lookUpEnd has a job that is over looked up: first how it ended, then what its tasks take.
func (m *model) lookUpEnd() {
	for uid, r := range m.knowledge {
		if r == endAndSize {
			continue
		}
		m.knowledge[uid] = r - 1
		if m.rng.IntN(2) == 0 {
			m.knowledge[uid] = endAndSize
		}
		m.observeAllUnlessAtBarrier()
		return
	}
}

// changeForeignTask has a task of another team come to a machine or leave it.
func (m *model) changeForeignTask(w *modelAgent) {
	if w.dead || w.hung {
		return
	}
	k := TaskID{"foreign", m.rng.IntN(3)}
	if _, there := w.tasks[k]; there {
		delete(w.tasks, k)
	} else if m.used(w, false)+m.specs[k.Job].CPUs <= modelMachineCPUs {
		w.tasks[k] = TaskStatus{TaskID: k, Attempt: AttemptID(m.term, 1<<20), State: protocol.Running}
	}
}

// receiveDelayedStatus delivers a copy of an earlier heartbeat at a home that may have no memory of newer ones.
func (m *model) receiveDelayedStatus() {
	if len(m.delayedStatuses) == 0 {
		return
	}
	i := m.rng.IntN(len(m.delayedStatuses))
	v := *m.delayedStatuses[i]
	m.delayedStatuses = slices.Delete(m.delayedStatuses, i, i+1)
	for _, w := range m.agents {
		if w.name == v.Machine {
			m.reached["an old heartbeat replaces a newer one"] = m.reached["an old heartbeat replaces a newer one"] || m.newestStatus[v.Machine] != nil && m.newestStatus[v.Machine].Term < m.term
			v.Term = m.term
			m.receiveStatus(w, &v)
		}
	}
}

// failOver begins a new owner's account: of what the replica has, or without memory, when all controllers ended. Then
// the ends of jobs are known to nobody until they are looked up, and every machine has to report first.
func (m *model) failOver(withoutReplica bool) {
	if withoutReplica {
		m.reached["a failover without memory"] = true
		m.replica = NewReplica()
		for uid := range m.specs {
			if !m.active[uid] {
				m.knowledge[uid] = endOnly + endKnowledge(m.rng.IntN(2))
			}
		}
		m.barrier, m.barrierTerm = map[string]bool{}, m.term
		for _, w := range m.agents {
			m.barrier[w.name] = true
		}
		m.newestStatus = map[string]*MachineStatus{}
	}
	rep := FromCopy(m.replica.Copy())
	m.team = NewTeam("team", Limits{Guaranteed: Resources{CPUs: 8}, Max: Resources{CPUs: 12}}, rep, m.term, func(string, ...any) {})
	for uid, s := range m.specs {
		if m.active[uid] && s.Team == "team" {
			m.team.AddJob(s, 1, time.Unix(0, 0), nil)
		}
	}
	m.observeAllUnlessAtBarrier()
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, now: time.Unix(1000, 0), term: 1, replica: NewReplica(),
		specs: map[string]*protocol.Submission{}, active: map[string]bool{}, done: map[TaskID]bool{}}
	for i := range 4 {
		m.agents = append(m.agents, &modelAgent{name: fmt.Sprintf("m%d", i), incarnation: 1, tasks: map[TaskID]TaskStatus{}})
	}
	m.knowledge, m.newestStatus, m.reached = map[string]endKnowledge{}, map[string]*MachineStatus{}, map[string]bool{}
	for i := range 3 {
		s := &protocol.Submission{UID: fmt.Sprintf("job-%d", i), Team: "team", Kind: protocol.JobArray, Priority: "standard", Tasks: 6, CPUs: float64(2 + i%2)}
		m.specs[s.UID], m.active[s.UID] = s, true
	}
	m.specs["foreign"] = &protocol.Submission{UID: "foreign", Team: "other", Kind: protocol.JobArray, Priority: "standard", Tasks: 3, CPUs: 2}
	m.failOver(false)
	return m
}
