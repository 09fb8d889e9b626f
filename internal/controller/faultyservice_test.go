package controller

import (
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// TestServiceIsWholeAgainAfterFailures guards against a service that runs with one replica for ever after three of its
// machines failed (review/5): a replica never completes, which alone ended the quarantine of a job.
func TestServiceIsWholeAgainAfterFailures(t *testing.T) {
	g := newNodeHarness(8, 1)
	n := g.n
	n.mu.Lock()
	defer n.mu.Unlock()
	spec := &protocol.Submission{UID: "job-000001", Team: "team-0", Kind: protocol.Service, Priority: "standard", Tasks: 4, CPUs: 20, MemoryGB: 1, Spot: true}
	n.learnJob(userapi.ActiveJob{Spec: spec, SubmittedAtMillis: g.now.UnixMilli()}, 1)
	team := n.shards.OfTeam("team-0").Team()
	step := func(fails func(replica int) bool) (running int) {
		g.now = g.now.Add(time.Second)
		n.leadership.LeaseRenewed(g.now)
		for _, name := range g.machineNames {
			n.machines[name].HeardAt = g.now
			team.Assignments().On(name, func(a jobstate.Assignment) {
				status := jobstate.TaskStatus{TaskID: a.TaskID, Attempt: a.Attempt, State: protocol.Running}
				if fails(a.Index) {
					status.State, status.Reason = protocol.Exited, protocol.ReasonError
				} else {
					running++
				}
				defer g.reportStatus(name, func(v *jobstate.MachineStatus) { v.Tasks = []jobstate.TaskStatus{status} })
			})
		}
		n.step(g.now)
		return running
	}
	none := func(int) bool { return false }
	for range 5 {
		step(none)
	}
	step(func(replica int) bool { return replica > 0 })
	if !n.quarantine.IsJobFaulty(spec.UID) {
		t.Fatal("the service is not quarantined after failures on three machines")
	}
	for second := 0; step(none) < 4; second++ {
		if second == 60 {
			t.Fatal("not all replicas run a minute after the failures")
		}
	}
}
