package teamconfig

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/settings"
)

// model simulates a state service with entries and a membership record, controllers whose reads, statuses and missing
// changes arrive late, twice, in any order or never, and machines on which tasks of one CPU start late.
type model struct {
	rng       *rand.Rand
	now       time.Time
	revision  uint64
	record    record
	history   map[string][]Change // every committed change of a team
	nodes     [3]*node
	inFlight  []func()
	tasks     map[string]*teamTasks
	reported  map[string]uint64 // by team, version of the last change reported to be in force
	processes uint64

	inForce, withdrawn, synced, handovers int // number of events of each kind
}

type record struct {
	version       uint64
	members       map[string]uint64
	owners        map[string]string
	unknownStarts map[string]bool // teams whose owner does not know what the previous owner started
}

// teamTasks counts a team's tasks whose start is under way, and those that run.
type teamTasks struct{ starting, running int }

type node struct {
	name          string
	process       uint64
	config        *Config
	propagation   *Propagation
	record        record
	serial        uint64
	entitled      bool
	readsFail     bool              // reads fail, but it keeps its lease and receives membership records
	missesChanges bool              // while reads fail, missing changes from peers do not arrive either
	since         map[string]uint64 // by team, version of the record under which it became the owner
	ready         map[string]bool
}

var (
	nodeNames = []string{"a", "b", "c"}
	teamNames = []string{"red", "blue"}
)

const baseLimit = 6

func newModel(seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 21)), now: time.Unix(1e6, 0), history: map[string][]Change{}, tasks: map[string]*teamTasks{}, reported: map[string]uint64{}}
	for _, t := range teamNames {
		m.tasks[t] = &teamTasks{}
	}
	m.record = record{members: map[string]uint64{}, owners: map[string]string{}, unknownStarts: map[string]bool{}}
	for i := range m.nodes {
		m.restart(i)
	}
	return m
}

// restart replaces a controller's process by a new one.
func (m *model) restart(i int) {
	m.processes++
	base := []settings.Team{{Name: "red", CPUsMax: baseLimit}, {Name: "blue", CPUsMax: baseLimit}}
	m.nodes[i] = &node{name: nodeNames[i], process: m.processes, config: New(base, 10*time.Second), propagation: NewPropagation(), since: map[string]uint64{}, ready: map[string]bool{}}
}

// deliverLater queues an event, sometimes twice or not at all.
func (m *model) deliverLater(f func()) {
	for range []int{1, 1, 1, 2, 0}[m.rng.IntN(5)] {
		m.inFlight = append(m.inFlight, f)
	}
}

// deliverOne executes a random queued event.
func (m *model) deliverOne() {
	if len(m.inFlight) == 0 {
		return
	}
	i := m.rng.IntN(len(m.inFlight))
	f := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	f()
}

// commitChange commits a change of a team.
func (m *model) commitChange(team string) {
	number := uint64(len(m.history[team]) + 1)
	m.revision++
	e := Entry{Number: number, ChangeID: fmt.Sprint(number), CPUsMax: float64(1 + m.rng.IntN(9))}
	m.history[team] = append(m.history[team], Change{team, e, m.revision})
}

// readAll has a controller read all entries and the membership record.
func (m *model) readAll(n *node) {
	began, revision, r := m.now, m.revision, m.record
	var all []Change
	for _, t := range teamNames {
		if h := m.history[t]; len(h) > 0 {
			all = append(all, h[len(h)-1])
		}
	}
	m.deliverLater(func() {
		if n.readsFail {
			return
		}
		for _, x := range all {
			n.config.ApplyEntry(x.Team, x.Entry, x.Version)
		}
		m.adoptRecord(n, r)
		n.config.MarkReadUpTo(revision, began)
	})
}

// adoptRecord has a controller apply a membership record unless it knows a newer one.
func (m *model) adoptRecord(n *node, r record) {
	if r.version <= n.record.version {
		return
	}
	n.record = r
	n.entitled = r.members[n.name] == n.process
	for _, t := range teamNames {
		if r.owners[t] != n.name || !n.entitled {
			delete(n.since, t)
			continue
		}
		if _, had := n.since[t]; !had {
			n.since[t], n.ready[t] = r.version, !r.unknownStarts[t]
			n.config.RequireRevision(r.version)
		}
	}
}

// changeRecord writes a new membership record in which some members and owners of teams have changed.
func (m *model) changeRecord() {
	next := record{version: m.revision + 1, members: map[string]uint64{}, owners: map[string]string{}, unknownStarts: map[string]bool{}}
	for _, n := range m.nodes {
		member := m.record.members[n.name] == n.process
		out := member && m.rng.IntN(8) == 0 || n.readsFail && m.rng.IntN(4) > 0
		if out {
			n.entitled = false // its lease must have ended before it is removed
		}
		if !out && n.config.KnownRevision() > 0 {
			next.members[n.name] = n.process
		}
	}
	if len(next.members) == 0 {
		return
	}
	m.revision++
	names := slices.Sorted(maps.Keys(next.members))
	for _, t := range teamNames {
		owner := m.record.owners[t]
		stays := m.record.members[owner] != 0 && m.record.members[owner] == next.members[owner]
		if !stays || m.rng.IntN(2) == 0 {
			owner = names[m.rng.IntN(len(names))]
			next.unknownStarts[t] = m.record.members[owner] != next.members[owner]
			m.handovers++
		} else {
			next.unknownStarts[t] = m.record.unknownStarts[t]
		}
		next.owners[t] = owner
	}
	m.record = next
}

// owner returns the process that may start a team's tasks: the one that the present record names if it knows that
// record, otherwise one that an older record names, until the new owner starts and rejects the starts of the old one.
func (m *model) owner(team string) *node {
	for _, n := range m.nodes {
		if n.entitled && n.record.owners[team] == n.name && n.record.version == m.record.version {
			return n
		}
	}
	for _, n := range m.nodes {
		if n.entitled && n.record.owners[team] == n.name {
			return n
		}
	}
	return nil
}

func (m *model) limit(n *node, team string) int {
	l, _ := n.config.Limits(team, m.now)
	return int(l.CPUsMax)
}

// runOwner has a team's owner start a task within the limit, or withdraw a start under way beyond it.
func (m *model) runOwner(team string) {
	n, a := m.owner(team), m.tasks[team]
	if n == nil {
		return
	}
	if !n.ready[team] { // the barrier: no start of the previous owner is under way any more
		if a.starting == 0 && n.config.Ready() {
			n.ready[team] = true
		}
		return
	}
	switch limit := m.limit(n, team); {
	case !n.config.Ready():
	case a.starting+a.running < limit:
		a.starting++
	case a.starting+a.running > limit && a.starting > 0:
		a.starting--
		m.withdrawn++
	}
}

// startTask has a task start whose start is under way. The number of running tasks must not exceed the largest limit
// among the last change reported to be in force and the changes committed after it.
func (m *model) startTask(t *testing.T, seed uint64, team string) {
	a := m.tasks[team]
	if a.starting == 0 {
		return
	}
	a.starting--
	a.running++
	allowed := 0.0
	if m.reported[team] == 0 {
		allowed = baseLimit
	}
	for _, x := range m.history[team] {
		if x.Version >= m.reported[team] {
			allowed = max(allowed, x.Entry.CPUsMax)
		}
	}
	if float64(a.running) > allowed {
		t.Fatalf("seed %d: %d tasks of %s run, the limit is %g since change %d is in force", seed, a.running, team, allowed, m.reported[team])
	}
}

func (n *node) asRecord() *MembershipRecord {
	return &MembershipRecord{Version: n.record.version, Members: n.record.members, Owner: func(team string) string { return n.record.owners[team] }}
}

// sendStatus has a controller send its status to all others, which answer with the changes that it lacks.
func (m *model) sendStatus(n *node) {
	n.serial++
	status := Status{Serial: n.serial, RecordVersion: n.record.version, KnownRevision: n.config.KnownRevision()}
	for _, t := range teamNames {
		a := m.tasks[t]
		over := a.starting+a.running > m.limit(n, t)
		if n.record.owners[t] == n.name && (!n.ready[t] || over && a.starting > 0) {
			status.Unsettled = append(status.Unsettled, t)
		}
	}
	n.propagation.Apply(n.name, n.process, status)
	process := n.process
	for i := range m.nodes {
		to := m.nodes[i]
		if to == n {
			continue
		}
		m.deliverLater(func() {
			to.propagation.Apply(n.name, process, status)
			if status.KnownRevision < to.config.LatestVersion() {
				after, known, rec, missing := status.KnownRevision, to.config.KnownRevision(), to.record.version, to.config.ChangesAfter(status.KnownRevision)
				m.deliverLater(func() {
					if n.readsFail && n.missesChanges {
						return
					}
					before := n.config.KnownRevision()
					n.config.ApplyMissing(missing, after, known, rec, n.record.version)
					if n.config.KnownRevision() > before {
						m.synced++
					}
				})
			}
		})
	}
}

// markInForce has a controller determine which changes are in force. From then on the model holds them to be.
func (m *model) markInForce(n *node) {
	for _, x := range n.propagation.Propagated(n.asRecord(), n.config.NotInForce()) {
		n.config.MarkInForce(x.Team, x.Version)
		m.reported[x.Team] = max(m.reported[x.Team], x.Version)
		m.inForce++
	}
}

// TestQuotaModel: under random events no task starts beyond the limits, and once the faults are over every committed
// change comes into force.
func TestQuotaModel(t *testing.T) {
	var inForce, withdrawn, synced, handovers int
	for seed := range uint64(1500) {
		m := newModel(seed)
		for range 1500 {
			m.now = m.now.Add(time.Duration(m.rng.IntN(400)) * time.Millisecond)
			n, team := m.nodes[m.rng.IntN(3)], teamNames[m.rng.IntN(2)]
			switch x := m.rng.IntN(100); {
			case x < 4:
				m.commitChange(team)
			case x < 6:
				if m.rng.IntN(2) == 0 {
					m.changeRecord()
				}
			case x < 7:
				m.restart(m.rng.IntN(3))
			case x < 14:
				r := m.record // from a read of the record alone, or from a peer
				m.deliverLater(func() { m.adoptRecord(n, r) })
			case x < 15:
				n.readsFail, n.missesChanges = !n.readsFail && m.rng.IntN(3) == 0, m.rng.IntN(2) == 0
			case x < 25:
				m.readAll(n)
			case x < 37:
				m.sendStatus(n)
			case x < 46:
				m.markInForce(n)
			case x < 65:
				m.runOwner(team)
			case x < 75:
				m.startTask(t, seed, team)
			case x < 80:
				m.tasks[team].running = max(0, m.tasks[team].running-1)
			default:
				m.deliverOne()
			}
		}
		m.settle(t, seed)
		inForce, withdrawn, synced, handovers = inForce+m.inForce, withdrawn+m.withdrawn, synced+m.synced, handovers+m.handovers
	}
	if min(inForce, withdrawn, synced, handovers) < 100 {
		t.Errorf("too few events: %d changes in force, %d starts withdrawn, %d times missing changes applied, %d handovers", inForce, withdrawn, synced, handovers)
	}
}

// settle ends all faults, delivers all events and checks that the last change of each team is in force.
func (m *model) settle(t *testing.T, seed uint64) {
	m.inFlight = nil
	for _, n := range m.nodes {
		n.readsFail = false
	}
	for range 3 {
		for _, n := range m.nodes {
			m.readAll(n)
		}
		for len(m.inFlight) > 0 {
			m.deliverOne()
		}
	}
	m.changeRecord()
	for range 200 {
		for _, n := range m.nodes {
			m.readAll(n)
			m.sendStatus(n)
			m.markInForce(n)
		}
		for len(m.inFlight) > 0 {
			m.deliverOne()
		}
		for _, team := range teamNames {
			m.runOwner(team)
			m.startTask(t, seed, team)
		}
	}
	for _, team := range teamNames {
		h := m.history[team]
		if len(h) > 0 && m.reported[team] != h[len(h)-1].Version {
			t.Fatalf("seed %d: the last change of %s has version %d, but the last one in force has version %d", seed, team, h[len(h)-1].Version, m.reported[team])
		}
	}
}
