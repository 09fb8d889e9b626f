package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// acceptanceScenario applies random changes on which it depends whether machines accept tasks.
type acceptanceScenario struct {
	*nodeHarness
	rng    *rand.Rand
	roster uint64 // version of the key that lists all machines
	jobs   int
}

func newAcceptanceScenario(seed uint64) *acceptanceScenario {
	s := &acceptanceScenario{nodeHarness: newNodeHarness(80, 2), rng: rand.New(rand.NewPCG(seed, 5)), roster: 1}
	s.changeRecord(func(record *leadership.Record) {
		record.Unreachable = nil // so that the other controllers are homes as well
		record.Shards[leadership.FleetShard] = leadership.Shard{Owner: "node-b", SinceTerm: 1}
	})
	for _, name := range []string{"node-b", "node-c"} {
		s.n.peers[name] = &peerState{connected: true, lastMessageAt: s.now}
	}
	s.n.roster = newRoster(s.n.settings)
	s.listMachines(s.machineNames)
	return s
}

// changeRecord replaces the membership record by a changed one.
func (s *acceptanceScenario) changeRecord(change func(*leadership.Record)) {
	next := s.n.leadership.Record().Clone()
	change(next)
	s.n.leadership.Adopt(next, s.n.leadership.RecordVersion()+1, s.now)
}

// listMachines applies a value of the key that lists all machines.
func (s *acceptanceScenario) listMachines(names []string) {
	s.roster++
	value, err := json.Marshal(agents.RosterValue{After: s.roster, Names: names})
	if err != nil {
		panic(err)
	}
	s.n.applyRosterList(rosterPrefix+"node-b/0", value, s.roster)
}

func (s *acceptanceScenario) pick() string { return s.machineNames[s.rng.IntN(len(s.machineNames))] }

func (s *acceptanceScenario) pickJob() string { return fmt.Sprintf("job-%06d", 1+s.rng.IntN(s.jobs+1)) }

// changeMachine changes one machine or a few.
func (s *acceptanceScenario) changeMachine() {
	switch s.rng.IntN(9) {
	case 0, 1, 2, 3:
		for range 12 {
			s.n.machines[s.pick()].HeardAt = s.now
		}
	case 4, 5:
		s.reportStatus(s.pick(), func(v *jobstate.MachineStatus) {
			v.Term, v.Notice, v.Tasks = s.n.leadership.Term(), s.rng.IntN(4) == 0, nil
			for i := range s.rng.IntN(3) {
				v.Tasks = append(v.Tasks, jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: s.pickJob(), Index: i},
					Attempt: jobstate.AttemptID(uint64(1+s.rng.IntN(4)), 1), State: protocol.Running})
			}
		})
	case 6:
		name := s.pick()
		s.n.markSlow(s.n.machines[name], name, s.now)
	case 7:
		s.n.quarantine.RecordFailure(s.pickJob(), s.machineNames[s.rng.IntN(10)], s.now)
	case 8:
		s.n.quarantine.RecordSuccess(s.pickJob(), s.pick())
	}
}

// changeRest changes what acceptance depends on besides machines.
func (s *acceptanceScenario) changeRest() {
	switch s.rng.IntN(8) {
	case 0:
		s.n.peers["node-c"].connected = s.rng.IntN(3) > 0
	case 1:
		s.n.peers["node-b"].drainingMachines = map[string]bool{s.pick(): true, s.pick(): true}
	case 2:
		s.jobs++
		spec := &protocol.Submission{UID: fmt.Sprintf("job-%06d", s.jobs), Team: "team-0", Kind: protocol.JobArray, Priority: "low", Tasks: 9, CPUs: 1}
		s.n.learnJob(userapi.ActiveJob{Spec: spec, SubmittedAtMillis: s.now.UnixMilli()}, 1)
	case 3:
		delete(s.n.jobs, s.pickJob())
	case 4:
		s.changeRecord(func(record *leadership.Record) { record.Unreachable = [][]string{nil, {"node-c"}}[s.rng.IntN(2)] })
	case 5:
		s.raiseTerm()
	case 6:
		if len(s.machineNames) > 60 {
			i := s.rng.IntN(len(s.machineNames))
			s.machineNames = slices.Delete(s.machineNames, i, i+1)
			s.listMachines(s.machineNames)
		}
	case 7:
		s.changeRecord(func(record *leadership.Record) { record.Epoch, record.FirstTerm = 2, uint64(1+s.rng.IntN(4)) })
	}
}

// hearPeers receives a message from most peers.
func (s *acceptanceScenario) hearPeers() {
	for _, name := range []string{"node-b", "node-c"} {
		if s.rng.IntN(4) > 0 {
			s.n.peers[name].lastMessageAt = s.now
		}
	}
}

// raiseTerm raises the term; most machines report under it at once.
func (s *acceptanceScenario) raiseTerm() {
	s.changeRecord(func(record *leadership.Record) { record.Term++ })
	for _, name := range s.machineNames {
		if s.rng.IntN(8) > 0 {
			s.reportStatus(name, func(v *jobstate.MachineStatus) { v.Term = s.n.leadership.Term() })
		}
	}
}

// accepts checks every condition under which a machine accepts tasks.
func (s *acceptanceScenario) accepts(name string) bool {
	n, m := s.n, s.n.machines[name]
	p := n.peers[n.homeOf(name)]
	switch {
	case m.status.Term != n.leadership.Term(), m.status.Notice, n.recovery.census.runsUndescribedJob(m.status):
		return false
	case s.now.Sub(m.HeardAt) > 11*time.Second, p != nil && (!p.connected || !p.isReachable(s.now)):
		return false
	}
	return !n.quarantine.IsMachineBad(name, s.now) && !n.isSlow(m, s.now) && !n.draining()[name] && n.roster.Has(name)
}

// TestAcceptanceModel: the scheduler checks whether a machine accepts tasks only when that may have changed. The result
// must equal a check of every machine.
func TestAcceptanceModel(t *testing.T) {
	accepted, refused := 0, 0
	for seed := range uint64(6) {
		s := newAcceptanceScenario(seed)
		s.n.mu.Lock()
		for step := range 400 {
			s.now = s.now.Add(time.Duration(s.rng.IntN(1000)) * time.Millisecond)
			s.hearPeers()
			for range s.rng.IntN(8) {
				s.changeMachine()
			}
			if s.rng.IntN(4) == 0 {
				s.changeRest()
			}
			var got, want []string
			for _, h := range s.n.scheduler.Hosts((*schedulerSnapshot)(s.n), s.now, nil) {
				got = append(got, h.Name)
			}
			for _, name := range s.machineNames {
				if s.accepts(name) {
					want = append(want, name)
				}
			}
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d, step %d: %v accept tasks, want %v", seed, step, got, want)
			}
			accepted, refused = accepted+len(want), refused+len(s.machineNames)-len(want)
		}
		s.n.mu.Unlock()
	}
	t.Logf("machines accepted tasks %d times and refused them %d times", accepted, refused)
	if accepted == 0 || refused == 0 {
		t.Error("the test exercised nothing")
	}
}
