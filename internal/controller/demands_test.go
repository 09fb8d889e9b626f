package controller

import (
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// TestMissingTasksAreDemandedInTheirZone: the unplaced tasks of an array whose tasks must share a zone are demanded
// from the fleet for that zone. Otherwise the fleet's owner counts idle machines of any zone for them, acquires none,
// and the tasks wait forever.
func TestMissingTasksAreDemandedInTheirZone(t *testing.T) {
	for what, c := range map[string]struct {
		kind    protocol.JobKind
		oneZone bool
		bound   bool
	}{
		"array that shares a zone": {protocol.JobArray, true, true},
		"service that does":        {protocol.Service, true, true},
		"array anywhere":           {protocol.JobArray, false, false},
	} {
		g := newNodeHarness(2, 1) // of 32 CPUs each, in different zones
		n := g.n
		spec := &protocol.Submission{UID: "job-000001", Team: "team-0", Kind: c.kind, Priority: "high", Tasks: 20, CPUs: 4, MemoryGB: 1, Image: "img", EstimateSeconds: 10,
			Spot: true, OneZone: c.oneZone}
		n.mu.Lock()
		n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.UnixMilli(), Spec: spec}, 1)
		n.place(g.now.Add(100 * time.Millisecond))
		team, demands := n.shards.OfTeam("team-0").Team(), n.demands(g.now)
		n.mu.Unlock()
		if len(demands) != 1 || demands[0].Count == 0 {
			t.Fatalf("%s: demands %+v", what, demands)
		}
		if zones := team.Job(spec.UID).TasksByZone(); (len(zones) == 1) != c.bound || c.bound && zones[demands[0].Zone] == 0 {
			t.Errorf("%s: placed in %v, demanded in %q", what, zones, demands[0].Zone)
		}
		bound := specInZone(spec, demands[0].Zone)
		if (bound.Zone != nil) != c.bound || spec.Zone != nil {
			t.Errorf("%s: the demand names zone %v, the job itself %v", what, bound.Zone, spec.Zone)
		}
	}
}

// TestHeldRoomIsNotAcquiredAgain: the fleet's owner acquires no machines for tasks whose room is held for them, and learns
// where that is.
func TestHeldRoomIsNotAcquiredAgain(t *testing.T) {
	g := newNodeHarness(2, 1)
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	spec := &protocol.Submission{UID: "job-000001", Team: "team-0", Kind: protocol.Gang, Priority: "high", Tasks: 4, CPUs: 4, EstimateSeconds: 10}
	g.n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.UnixMilli(), Spec: spec}, 1)
	list := g.n.appendFleetDemands(nil, []demand{{Job: spec.UID, Count: 3, Held: g.machineNames}}, g.now)
	if len(list) != 1 || list[0].Count != 1 || len(list[0].Held) != 2 {
		t.Fatalf("demands %+v, want one task and two held machines", list)
	}
}

// TestProbeIsDemandedAfterAWait guards against a faulty job that no machine is acquired for, so that it never runs once the
// machines with room for it are gone (review/4). A gang needs room for all of its tasks.
func TestProbeIsDemandedAfterAWait(t *testing.T) {
	for kind, tasks := range map[protocol.JobKind]int{protocol.Gang: 3, protocol.JobArray: 1} {
		g := newNodeHarness(3, 1)
		n := g.n
		n.mu.Lock()
		spec := &protocol.Submission{UID: "job-000001", Team: "team-0", Kind: kind, Priority: "high", Tasks: 3, CPUs: 20, MemoryGB: 1, EstimateSeconds: 10, Spot: true}
		n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.UnixMilli(), Spec: spec}, 1)
		n.place(g.now)
		for _, name := range g.machineNames {
			g.reportStatus(name, func(v *jobstate.MachineStatus) {
				n.shards.OfTeam("team-0").Team().Assignments().On(name, func(a jobstate.Assignment) {
					v.Tasks = append(v.Tasks, jobstate.TaskStatus{TaskID: a.TaskID, Attempt: a.Attempt, State: protocol.Exited, Reason: protocol.ReasonError})
				})
			})
		}
		demanded := func(after time.Duration) (count int) {
			for _, d := range n.demands(g.now.Add(after)) {
				count += d.Count
			}
			return count
		}
		soon, later := demanded(5*time.Second), demanded(time.Minute)
		if !n.quarantine.IsJobFaulty(spec.UID) || soon != 0 || later != tasks {
			t.Errorf("%s: faulty %v, %d tasks demanded after 5 s and %d after a minute, want 0 and %d", kind, n.quarantine.IsJobFaulty(spec.UID), soon, later, tasks)
		}
		n.peers = map[string]*peerState{"node-b": {entitled: true, lastMessageAt: g.now, demands: n.demands(g.now.Add(time.Minute))}}
		for range (*schedulerSnapshot)(n).PeerDemands(g.now) {
			t.Errorf("%s: room is left for the probe of a peer's faulty job", kind)
		}
		n.mu.Unlock()
	}
}
