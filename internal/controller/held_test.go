package controller

import (
	"math"
	"testing"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// TestLeftoverRoomOfHeldMachines: a small job waited for minutes beside room on machines that were held for a class whose
// larger tasks did not fit there. After a while it has that room, and never what the held class could use.
func TestLeftoverRoomOfHeldMachines(t *testing.T) {
	for _, c := range []struct {
		name       string
		begun      int // small tasks of 2 CPUs on the machine of 32
		age        time.Duration
		wantPlaced int
	}{
		{"a job that has just come", 15, time.Second, 0},
		{"a job that has waited", 15, leftoverAfter + time.Second, 1},
		{"a job that has waited, beside room for the held class", 14, leftoverAfter + time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGrown(1, 1)
			n := g.n
			n.mu.Lock()
			defer n.mu.Unlock()
			learn := func(uid, class string, tasks int, cpus float64, age time.Duration) {
				n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.Add(-age).UnixMilli(), Spec: &protocol.Submission{UID: uid, Team: "team-0", Class: class, Kind: protocol.JobArray,
					Priority: "standard", Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "img", EstimateSeconds: 40, Spot: true}}, 1)
			}
			team := n.shards.OfTeam("team-0").Team()
			learn("job-000001", "small", c.begun, 2, 0)
			n.place(g.now)
			plan := &admission.Plan{ID: admission.ID{SinceTerm: 1, Number: 1}, Reserved: map[string]string{g.names[0]: "large"}}
			n.admission.agreement.Apply(1, admission.PlanStatus{InForce: plan})
			team.Job("job-000001").Finishing = true // it asks for nothing more
			learn("job-000002", "small", 1, 2, c.age)
			learn("job-000003", "large", 1, 4, 0)
			if c.begun < 15 {
				elsewhere := "west" // where no machine is, so that the room stays free
				n.jobs["job-000003"].spec.Zone = &elsewhere
			}
			n.place(g.now)
			if placed := 1 - team.Unstarted(team.Job("job-000002")); placed != c.wantPlaced {
				t.Errorf("%d tasks placed, want %d", placed, c.wantPlaced)
			}
		})
	}
}

// TestSmallTasksTakeRoomThatTheirTeamCannotUse: large tasks that found no room asked for all that a team's limit left, and small
// ones without a goal waited for minutes beside room that they fit.
func TestSmallTasksTakeRoomThatTheirTeamCannotUse(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit float64
		want  int
	}{
		{"limit with room", 58, 1},
		{"limit nearly used up", 38, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGrown(1, 1) // of 32 CPUs
			n := g.n
			n.mu.Lock()
			defer n.mu.Unlock()
			team := n.shards.OfTeam("team-0").Team()
			team.SetLimits(0, c.limit, 0, math.Inf(1))
			deadline := 500.0
			learn := func(uid, class string, tasks int, cpus float64, deadline *float64) {
				n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.UnixMilli(), Spec: &protocol.Submission{UID: uid, Team: "team-0", Class: class, Kind: protocol.JobArray,
					Priority: "standard", Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "img", EstimateSeconds: 40, Spot: true, DeadlineSeconds: deadline}}, 1)
			}
			learn("job-000001", "other", 15, 2, nil)
			n.place(g.now)
			learn("job-000002", "large", 100, 4, &deadline)
			learn("job-000003", "small", 1, 2, nil)
			for _, d := range team.Demands(g.now) {
				if d.Spec.Class == "small" && d.Count > 0 {
					t.Fatal("the small job is asked for anyway")
				}
			}
			n.place(g.now)
			if placed := 1 - team.Unstarted(team.Job("job-000003")); placed != c.want {
				t.Errorf("%d small tasks placed, want %d", placed, c.want)
			}
		})
	}
}
