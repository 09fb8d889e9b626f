package agents

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// statusModel models one machine, three controllers that may be its home, and an owner that receives the statuses of all
// of them. Controllers restart and learn of a raised term late; copies of heartbeats arrive at any time.
type statusModel struct {
	t     *testing.T
	rng   *rand.Rand
	seed  uint64
	homes [3]*Registry
	term  uint64         // the present one
	home  map[uint64]int // by term
	agent protocol.Heartbeat
	sent  []protocol.Heartbeat
	known *jobstate.MachineStatus // the newest status that the owner has received
	newer protocol.HeartbeatID    // the latest heartbeat among those of all statuses that the owner has received
}

// newStatusModel returns a model in term 1.
func newStatusModel(t *testing.T, seed uint64) *statusModel {
	m := &statusModel{t: t, rng: rand.New(rand.NewPCG(seed, 5)), seed: seed, home: map[uint64]int{},
		agent: protocol.Heartbeat{Machine: "m", Type: "t", Incarnation: 1}}
	for i := range m.homes {
		m.homes[i] = newEmptyRegistry()
	}
	m.raiseTerm()
	return m
}

func newEmptyRegistry() *Registry {
	return New(func(string) (float64, float64, float64, bool) { return 8, 0, 64, true }, func(string) (float64, float64, float64) { return 2, 0, 4 })
}

// raiseTerm raises the term and chooses the machine's home in it. No controller has learned of it yet.
func (m *statusModel) raiseTerm() {
	m.term++
	m.home[m.term] = m.rng.IntN(len(m.homes))
}

// learnTerm makes a controller learn of the present term.
func (m *statusModel) learnTerm(i int) {
	m.homes[i].SetTerm(m.term, func(string) bool { return m.home[m.term] == i })
}

// isHome reports whether a controller is the machine's home in the term that it knows.
func (m *statusModel) isHome(i int) bool { return m.homes[i].term > 0 && m.home[m.homes[i].term] == i }

// heartbeat returns the agent's next heartbeat.
func (m *statusModel) heartbeat() protocol.Heartbeat {
	m.agent.Seq++
	h := m.agent
	h.Tasks = slices.Clone(h.Tasks)
	m.sent = append(m.sent, h)
	return h
}

// deliver delivers a heartbeat or a response to a controller, or a copy of one. Like controllers, it ignores one that knows
// a later term, and publishes a changed status to the owner.
func (m *statusModel) deliver(i int, h protocol.Heartbeat, apply func(*Registry, *protocol.Heartbeat, time.Time) (newer, changed bool)) {
	if !m.isHome(i) || h.FencingToken > m.homes[i].term {
		return
	}
	if _, changed := apply(m.homes[i], &h, time.Unix(0, 0)); changed {
		m.publish(i)
	}
}

// report makes the agent send a heartbeat to a controller, whose answer carries its term.
func (m *statusModel) report(i int) {
	m.deliver(i, m.heartbeat(), (*Registry).ApplyHeartbeat)
	if m.isHome(i) {
		m.agent.FencingToken = max(m.agent.FencingToken, m.homes[i].term)
	}
}

// command makes a controller that considers itself the home send a request to the agent, and apply the response.
func (m *statusModel) command(i int) {
	if !m.isHome(i) {
		return
	}
	m.agent.FencingToken = max(m.agent.FencingToken, m.homes[i].term)
	m.deliver(i, m.heartbeat(), (*Registry).ApplyResponse)
}

// publish makes the owner receive a home's status. The owner must always know the latest heartbeat of all.
func (m *statusModel) publish(i int) {
	v := m.homes[i].Status("m")
	if m.known == nil || v.Newer(m.known) {
		m.known = v
	}
	if v.HeartbeatID().Compare(m.newer) > 0 {
		m.newer = v.HeartbeatID()
	}
	if m.known.HeartbeatID() != m.newer {
		m.t.Fatalf("seed %d: the owner knows heartbeat %v although it received %v", m.seed, m.known.HeartbeatID(), m.newer)
	}
}

// step makes one random change.
func (m *statusModel) step() {
	i := m.rng.IntN(len(m.homes))
	switch m.rng.IntN(10) {
	case 0:
		m.raiseTerm()
	case 1: // a controller restarts, and the term is raised
		m.homes[i] = newEmptyRegistry()
		m.raiseTerm()
		m.learnTerm(i)
	case 2, 3:
		m.learnTerm(i)
	case 4, 5:
		m.report(i)
	case 6:
		m.command(i)
	case 7, 8: // a copy of a heartbeat arrives
		if len(m.sent) > 0 {
			m.deliver(i, m.sent[m.rng.IntN(len(m.sent))], (*Registry).ApplyHeartbeat)
		}
	case 9: // a task starts, or the agent's lease expires
		m.agent.Tasks = append(m.agent.Tasks, protocol.TaskStatus{Task: "job-1/0", Attempt: m.agent.Seq, State: protocol.Running})
		if m.rng.IntN(4) == 0 {
			m.agent.Tasks = nil
			m.agent.Incarnation++
		}
	}
}

// TestNewestStatusModel: whatever homes restart, learn of a term late or receive copies of, an owner never replaces what
// a later heartbeat told it (review/1); and once the agent has reported twice to the home of the present term, the owner
// knows its tasks from that home, as tasks are placed only on machines that the present home has heard.
func TestNewestStatusModel(t *testing.T) {
	for seed := range uint64(3000) {
		m := newStatusModel(t, seed)
		for range 60 {
			m.step()
		}
		for i := range m.homes {
			m.learnTerm(i)
		}
		for range 2 {
			m.report(m.home[m.term])
		}
		if m.known.Term != m.term || len(m.known.Tasks) != len(m.agent.Tasks) {
			t.Fatalf("seed %d: the owner knows %d of %d tasks from term %d, want %d",
				seed, len(m.known.Tasks), len(m.agent.Tasks), m.known.Term, m.term)
		}
	}
}
