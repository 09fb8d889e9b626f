package controller

import (
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// TestMissingTasksAreAskedForWhereTheOthersAre: what is missing of an array whose tasks share a zone is asked of the
// fleet for that zone. It was laid out on idle machines of any zone, nothing was rented, and it waited for ever.
func TestMissingTasksAreAskedForWhereTheOthersAre(t *testing.T) {
	for what, c := range map[string]struct {
		kind    protocol.JobKind
		oneZone bool
		bound   bool
	}{
		"array that shares a zone": {protocol.JobArray, true, true},
		"service that does":        {protocol.Service, true, true},
		"array anywhere":           {protocol.JobArray, false, false},
	} {
		g := newNodeHarness(2, 1) // of 32 CPUs, in a zone each
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
			t.Errorf("%s: placed in %v, asks for %q", what, zones, demands[0].Zone)
		}
		bound := specInZone(spec, demands[0].Zone)
		if (bound.Zone != nil) != c.bound || spec.Zone != nil {
			t.Errorf("%s: the fleet is told of zone %v, the job itself says %v", what, bound.Zone, spec.Zone)
		}
	}
}
