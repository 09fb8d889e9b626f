package jobstate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// modelAgent models the agent of a machine and its tasks.
type modelAgent struct {
	name         string
	incarnation  uint64
	seq          uint64
	fencingToken uint64
	tasks        map[AttemptRef]TaskStatus
	dead         bool
	hung         bool // neither executes nor sends anything until it resumes
}

// runs reports whether an attempt of a task is on a machine.
func (a *modelAgent) runs(id TaskID) bool {
	for ref, x := range a.tasks {
		if ref.TaskID == id && !a.dead && x.State != protocol.Exited {
			return true
		}
	}
	return false
}

// modelMachineCPUs is the number of CPUs of each machine of the model.
const modelMachineCPUs = 6

// used returns the sum of the CPUs that running tasks use on a machine: of all teams, or only of the team under test.
func (m *model) used(agent *modelAgent, own bool) (cpus float64) {
	for k, x := range agent.tasks {
		if !agent.dead && x.State != protocol.Exited && (!own || m.specs[k.Job].Team == "team") {
			cpus += m.specs[k.Job].CPUs
		}
	}
	return cpus
}

// message is a command in flight. It may arrive late, even after its sender has been replaced, and once more after it was
// executed, as packets that are delayed in the network do.
type message struct {
	to    *modelAgent
	term  uint64
	order Order
}

// model connects a team's state at its owner with modelled agents by unreliable messages.
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
	tasksRunLong         bool                      // few tasks end, so that most machines run some at a failover
	releasesWithoutProof bool                      // a faulty owner that treats silent machines as returned
	knowledge            map[string]endKnowledge   // what is known of an ended job; the zero value: everything
	newestStatus         map[string]*MachineStatus // the newest status of each machine that the owner has received
	delayedStatuses      []*MachineStatus          // duplicates of heartbeats that are still in flight
	barrier              map[string]bool           // machines that a failover without a replica waits for; nil if none is under way
	barrierTerm          uint64                    // term of that failover
	reached              map[string]bool           // situations that the runs have covered
}

// endKnowledge is how much an owner's controller knows of an ended job.
type endKnowledge int

const (
	endAndSize endKnowledge = iota
	endOnly                 // that it ended, but not the size of its tasks
	unknownJob
)

// Job implements JobDirectory.
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

// UnknownSizeBound implements JobDirectory: it is what the listed tasks of known size leave of a machine.
func (m *model) UnknownSizeBound(v *MachineStatus) (cpus, gpus float64) {
	cpus = modelMachineCPUs
	for _, x := range v.Tasks {
		if job := m.Job(x.Job); job.Known && x.State != protocol.Exited && m.knowledge[x.Job] == endAndSize {
			cpus -= m.specs[x.Job].CPUs
		}
	}
	return cpus, 0
}

// status returns the next heartbeat of an agent as the status that its home reports.
func (m *model) status(agent *modelAgent) *MachineStatus {
	agent.seq++
	v := &MachineStatus{Machine: agent.name, Incarnation: agent.incarnation, Seq: agent.seq, FencingToken: agent.fencingToken, Term: m.term}
	for _, x := range agent.tasks {
		v.Tasks = append(v.Tasks, x)
	}
	slices.SortFunc(v.Tasks, func(a, b TaskStatus) int { return int(a.Attempt) - int(b.Attempt) })
	return v
}

// deliver executes an order at an agent. At every start it checks that the task runs on no other machine and that the
// team's quota is not exceeded.
func (m *model) deliver(x message) (violation string) {
	agent := x.to
	if agent.dead || x.term < agent.fencingToken || x.order.Incarnation != agent.incarnation {
		return ""
	}
	agent.fencingToken = x.term
	ref := x.order.Ref()
	have, there := agent.tasks[ref]
	switch {
	case x.order.Op == protocol.Start && !there:
		return m.start(agent, ref)
	case x.order.Op == protocol.Stop && there && have.State != protocol.Exited:
		have.State, have.Reason = protocol.Exited, protocol.ReasonStopped
		agent.tasks[ref] = have
	case x.order.Op == protocol.Forget && there && have.State == protocol.Exited:
		m.reached["an attempt is forgotten"] = true
		delete(agent.tasks, ref)
	}
	return ""
}

// start makes an agent start or refuse an attempt that it does not list.
func (m *model) start(agent *modelAgent, ref AttemptRef) (violation string) {
	refused := TaskStatus{TaskID: ref.TaskID, Attempt: ref.Attempt, State: protocol.Exited, Reason: protocol.ReasonFull}
	for _, o := range m.agents {
		switch {
		case !o.runs(ref.TaskID):
		case o == agent:
			refused.Reason = protocol.ReasonInUse
			agent.tasks[ref] = refused
			return ""
		default:
			violation = fmt.Sprintf("%v on %s and %s", ref.TaskID, o.name, agent.name)
		}
	}
	if m.used(agent, false)+m.specs[ref.Job].CPUs > modelMachineCPUs {
		agent.tasks[ref] = refused
		return ""
	}
	agent.tasks[ref] = TaskStatus{TaskID: ref.TaskID, Attempt: ref.Attempt, State: protocol.Running}
	used := 0.0
	for _, o := range m.agents {
		used += m.used(o, true)
	}
	if used > m.team.quota.limits.Max.CPUs+roundingTolerance {
		violation = fmt.Sprintf("%g CPUs used, beyond the quota", used)
	}
	return violation
}

// replicate applies the owner's deltas to the replica and compares both.
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

// send puts the orders for an agent in flight, except those that are in flight already.
func (m *model) send(agent *modelAgent, orders []Order) {
	for _, o := range orders {
		x := message{agent, m.term, o}
		if !slices.Contains(m.inFlight, x) {
			m.inFlight = append(m.inFlight, x)
		}
	}
}

// step makes one random change to the model; it returns a violation or "".
func (m *model) step() (violation string) {
	m.now = m.now.Add(time.Second)
	at := m.rng.IntN(len(m.agents))
	agent := m.agents[at]
	action := m.rng.IntN(25)
	if endsTasks := action >= 14 && action <= 16 || action == 19 || action == 20; endsTasks && m.tasksRunLong && m.rng.IntN(8) > 0 {
		action = 11
	}
	switch action {
	case 0, 1, 2: // place all pending tasks for which a machine is found
		if m.barrier == nil {
			m.place()
		}
	case 3, 4, 5: // replicate before starting: only starts that the replica contains are sent
		m.replicate()
		if m.barrier == nil {
			m.sendDueOrders()
		}
	case 6, 7, 8, 9, 10: // a random message in flight arrives
		return m.deliverAny()
	case 11, 12, 13: // a heartbeat
		if !agent.dead && !agent.hung {
			m.sendHeartbeat(agent)
		}
	case 14: // a task completes
		if m.rng.IntN(3) == 0 {
			m.complete(agent)
		}
	case 15: // the agent's lease expires
		if m.rng.IntN(8) == 0 {
			agent.incarnation++
			agent.tasks, agent.hung = map[AttemptRef]TaskStatus{}, false
		}
	case 16: // a machine dies, and the cloud confirms its return
		if m.rng.IntN(12) == 0 {
			agent.dead = true
			m.returnMachine(agent.name)
			m.agents[at] = &modelAgent{name: agent.name + "+", incarnation: 1, tasks: map[AttemptRef]TaskStatus{}}
		} else if m.releasesWithoutProof {
			m.team.MachineReturned(agent.name) // treats a silent machine as returned
		}
	case 17: // the owner crashes; the next one starts in a higher term, with the replica or without
		if m.rng.IntN(4) == 0 && (m.barrier == nil || m.rng.IntN(6) == 0) {
			m.replicate()
			m.term++
			m.failOver(m.rng.IntN(2) == 0)
		}
	case 18: // a machine hangs or resumes
		agent.hung = !agent.hung && m.rng.IntN(2) == 0
	case 19, 20: // a user cancels a job
		m.cancelJob()
	case 21: // more is learned of an ended job
		if m.rng.IntN(2) == 0 {
			m.lookUpEnd()
		}
	case 22: // a task of another team starts or ends
		m.changeForeignTask(agent)
	case 23: // a duplicate of an old heartbeat arrives
		m.receiveDelayedStatus()
	case 24: // the term is raised because another controller restarted; the owner stays
		m.raiseTerm()
	}
	return ""
}

// place places pending tasks on machines with enough free CPUs.
func (m *model) place() {
	m.team.Jobs(func(j *Job) {
		j.Pending(m.now, func(i int) bool {
			x := m.machineWithRoom(j.Spec.CPUs)
			return x != nil && m.team.Quota().Fits(j, 1) && m.team.Place(j, i, Location{x.name, "z", x.incarnation})
		})
	})
}

// machineWithRoom returns a random living agent with enough free CPUs; nil if a few random tries find none.
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

// sendDueOrders sends the stops that are due, and those starts that the replica contains.
func (m *model) sendDueOrders() {
	for name, orders := range m.team.TakeDueOrders(m.replica.Seq, m.now, func(string, uint64) bool { return true }) {
		for _, x := range m.agents {
			if x.name == name {
				m.send(x, orders)
			}
		}
	}
}

// deliverAny delivers a random message in flight, unless its machine hangs.
func (m *model) deliverAny() (violation string) {
	if len(m.inFlight) == 0 {
		return ""
	}
	i := m.rng.IntN(len(m.inFlight))
	x := m.inFlight[i]
	if x.to.hung {
		m.reached["a message waits for a hung machine"] = true
		return ""
	}
	if m.rng.IntN(3) > 0 { // otherwise a copy of it arrives once more
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
	return m.deliver(x)
}

// sendHeartbeat delivers a heartbeat of an agent. A duplicate may arrive at any later time.
func (m *model) sendHeartbeat(agent *modelAgent) {
	v := m.status(agent)
	if v.Seq == 1 || m.rng.IntN(4) == 0 {
		m.delayedStatuses = append(m.delayedStatuses, v)
	}
	agent.fencingToken = max(agent.fencingToken, m.term) // the response to the heartbeat carries the present term
	m.receiveStatus(agent, v)
}

// receiveStatus has the owner process a status if it is newer than the last one, as controllers do.
func (m *model) receiveStatus(agent *modelAgent, v *MachineStatus) {
	if last := m.newestStatus[v.Machine]; last != nil && !v.Newer(last) {
		return
	}
	m.newestStatus[v.Machine] = v
	if m.barrier != nil {
		m.passBarrier()
		return
	}
	m.observe(agent, v)
}

// observe has the owner process a status, and sends the resulting orders.
func (m *model) observe(agent *modelAgent, v *MachineStatus) {
	orders := m.team.Observe(v, m.now, m)
	if m.team.Quota().HasOrphansOn(v.Machine) {
		m.reached["quota is reserved for orphaned tasks"] = true
	}
	m.send(agent, orders)
}

// passBarrier ends a failover without a replica once every machine has sent a heartbeat under its term.
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

// observeAll processes the newest status of every machine again.
func (m *model) observeAll() {
	for _, agent := range m.agents {
		if v := m.newestStatus[agent.name]; v != nil {
			m.observe(agent, v)
		}
	}
}

// complete ends a running task of the team under test as done.
func (m *model) complete(agent *modelAgent) {
	for k, x := range agent.tasks {
		if x.State == protocol.Running && !agent.dead && !agent.hung && m.specs[k.Job].Team == "team" {
			x.State, x.Reason = protocol.Exited, protocol.ReasonDone
			agent.tasks[k] = x
			m.done[k.TaskID] = true
			break
		}
	}
}

// returnMachine confirms the return of a machine to the owner.
func (m *model) returnMachine(name string) {
	delete(m.newestStatus, name)
	if m.barrier == nil {
		m.team.MachineReturned(name)
		return
	}
	delete(m.barrier, name)
	m.passBarrier()
}

// cancelJob cancels a random job with a probability of one third, and submits another one, so that the team always
// demands its limit.
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

// observeAllUnlessAtBarrier calls observeAll, except during a failover without a replica.
func (m *model) observeAllUnlessAtBarrier() {
	if m.barrier == nil {
		m.observeAll()
	}
}

// submit adds a job of the team under test.
func (m *model) submit() {
	n := len(m.specs)
	s := &protocol.Submission{UID: fmt.Sprintf("job-%d", n), Team: "team", Kind: protocol.JobArray, Priority: "standard", Tasks: 6, CPUs: float64(2 + n%2)}
	m.specs[s.UID], m.active[s.UID] = s, true
	m.team.AddJob(s, 1, time.Unix(0, 0), nil)
}

// lookUpEnd increases what is known of an ended job: first that it ended, then the size of its tasks.
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

// changeForeignTask starts or ends a task of another team on a machine.
func (m *model) changeForeignTask(agent *modelAgent) {
	if agent.dead || agent.hung {
		return
	}
	k := TaskID{"foreign", m.rng.IntN(3)}
	if agent.runs(k) {
		maps.DeleteFunc(agent.tasks, func(ref AttemptRef, _ TaskStatus) bool { return ref.TaskID == k })
	} else if m.used(agent, false)+m.specs[k.Job].CPUs <= modelMachineCPUs {
		ref := AttemptRef{k, AttemptID(m.term, 1<<20)}
		agent.tasks[ref] = TaskStatus{TaskID: k, Attempt: ref.Attempt, State: protocol.Running}
	}
}

// raiseTerm raises the term without a change of the owner, which may be at its barrier. Homes that restarted report what
// they receive first under the new term, which may be the duplicate of an agent's first heartbeat.
func (m *model) raiseTerm() {
	m.term++
	m.team.SetTerm(m.term)
	m.reached["the term is raised during a barrier"] = m.reached["the term is raised during a barrier"] || m.barrier != nil
	for _, agent := range m.agents {
		first := slices.IndexFunc(m.delayedStatuses, func(v *MachineStatus) bool {
			return v.Machine == agent.name && v.Incarnation == agent.incarnation
		})
		if first >= 0 && m.rng.IntN(2) == 0 {
			m.receiveDelayed(first)
		}
	}
}

// receiveDelayedStatus delivers a random duplicate of an earlier heartbeat.
func (m *model) receiveDelayedStatus() {
	if len(m.delayedStatuses) > 0 {
		m.receiveDelayed(m.rng.IntN(len(m.delayedStatuses)))
	}
}

// receiveDelayed delivers duplicate i of an earlier heartbeat to a home that may not have received newer ones.
func (m *model) receiveDelayed(i int) {
	v := *m.delayedStatuses[i]
	if m.rng.IntN(2) == 0 { // it may arrive again
		m.delayedStatuses = slices.Delete(m.delayedStatuses, i, i+1)
	}
	for _, agent := range m.agents {
		if agent.name == v.Machine {
			known := m.newestStatus[v.Machine]
			if known != nil && known.Term < m.term && v.HeartbeatID().Compare(known.HeartbeatID()) < 0 {
				m.reached["an old heartbeat arrives under a later term than a newer one"] = true
			}
			v.Term = m.term
			m.receiveStatus(agent, &v)
		}
	}
}

// failOver starts a new owner: from the replica, or without one, as after a crash of all controllers. In that case the
// ends of jobs are unknown until they are looked up, and the owner waits for a heartbeat of every machine first.
func (m *model) failOver(withoutReplica bool) {
	if withoutReplica {
		m.reached["a failover without a replica"] = true
		m.replica = NewReplica()
		for uid := range m.specs {
			if !m.active[uid] {
				m.knowledge[uid] = endOnly + endKnowledge(m.rng.IntN(2))
			}
		}
		m.barrier, m.barrierTerm = map[string]bool{}, m.term
		for _, agent := range m.agents {
			m.barrier[agent.name] = true
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

// newModel returns a model with four machines, three jobs of the team under test and one of another team.
func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, now: time.Unix(1000, 0), term: 1, replica: NewReplica(),
		specs: map[string]*protocol.Submission{}, active: map[string]bool{}, done: map[TaskID]bool{}}
	for i := range 4 {
		m.agents = append(m.agents, &modelAgent{name: fmt.Sprintf("m%d", i), incarnation: 1, tasks: map[AttemptRef]TaskStatus{}})
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
