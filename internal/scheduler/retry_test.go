package scheduler

import (
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// jobDirectory describes the jobs of a cluster with one team.
type jobDirectory struct{ *cluster }

func (d jobDirectory) Job(uid string) jobstate.JobInfo {
	j := d.jobs[uid]
	return jobstate.JobInfo{Known: j != nil, OwnTeam: true, Active: true, Spec: j.Spec}
}

func (jobDirectory) UnknownSizeBound(*jobstate.MachineStatus) (cpus, gpus float64) { return 0, 0 }

// TestJobAvoidsFailingMachine guards against a job that waits for ten minutes beside the only machine that fits it, after
// one error there (review/3). The machine is tried again after a pause that grows while it fails, one task at a time; as
// long as another machine has room, it is not.
func TestJobAvoidsFailingMachine(t *testing.T) {
	east := "east" // the zone of the first machine
	for name, c := range map[string]struct {
		zone                 *string
		soundAfter           time.Duration
		minStarts, maxStarts int // on the first machine, within ten minutes
		doneWithin           time.Duration
	}{
		"the only machine recovers":   {&east, time.Second, 6, 6, 30 * time.Second},
		"the only machine fails":      {&east, time.Hour, 6, 9, 0},
		"another machine has room":    {nil, time.Hour, 0, 3, 30 * time.Second},
		"the only one recovers later": {&east, 50 * time.Second, 7, 9, 2 * time.Minute},
	} {
		g := newCluster(t, 2, 1)
		g.submit(0, 0, protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "standard", Tasks: 3, CPUs: 4, MemoryGB: 4, Image: "img",
			EstimateSeconds: 5, Spot: true, Zone: c.zone})
		began, starts, done := g.now, 0, map[int]time.Duration{}
		for g.now.Sub(began) < 10*time.Minute {
			g.now = g.now.Add(500 * time.Millisecond)
			g.pass()
			for i, machine := range g.machines {
				var exited []jobstate.TaskStatus
				for _, task := range g.runningOn(machine) {
					task.State, task.Reason = protocol.Exited, protocol.ReasonDone
					if i == 0 {
						starts++
					}
					if i == 0 && g.now.Sub(began) < c.soundAfter {
						task.Reason = protocol.ReasonError
					} else {
						done[task.Index] = g.now.Sub(began)
					}
					exited = append(exited, task)
				}
				status := &jobstate.MachineStatus{Machine: machine, Type: "m32", Zone: g.settings.Zones[i], Spot: i > 0, Incarnation: 1, Tasks: exited}
				g.teams[0].Observe(status, g.now, jobDirectory{g})
				g.observe(i)
			}
		}
		if starts < c.minStarts || starts > c.maxStarts {
			t.Errorf("%s: %d tasks started on the first machine, want %d to %d", name, starts, c.minStarts, c.maxStarts)
		}
		for i := range 3 {
			if at, ended := done[i]; ended != (c.doneWithin > 0) || at > c.doneWithin {
				t.Errorf("%s: task %d was done after %v (%v), want within %v", name, i, at, ended, c.doneWithin)
			}
		}
	}
}
