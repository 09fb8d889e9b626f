package jobstate

import (
	"math"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// TestSurplusDemands checks that each class has surplus demands for the tasks that fit surplusFraction of the limit,
// and that there are none if the limit suffices for all tasks, little of it is left, or a gang waits.
func TestSurplusDemands(t *testing.T) {
	now := time.Unix(1000, 0)
	surplusByClass := func(t *testing.T, limit float64, gang bool) map[string]int {
		team := NewTeam("team", Limits{Max: Resources{CPUs: limit, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
		add := func(uid, class string, kind protocol.JobKind, tasks int, cpus float64) *Job {
			team.AddJob(&protocol.Submission{UID: uid, Class: class, Kind: kind, Priority: "standard", Tasks: tasks, CPUs: cpus, EstimateSeconds: 10}, 1, now, nil)
			return team.Job(uid)
		}
		running := add("job-running", "other", protocol.JobArray, 20, 1)
		for i := range 20 {
			if !team.Place(running, i, Location{Machine: "m", Zone: "z", Incarnation: 1}) {
				t.Fatal("not placed")
			}
		}
		add("job-large", "large", protocol.JobArray, 30, 4)
		team.Job("job-large").SetObjectives(Objectives{now.Add(time.Minute)})
		add("job-small", "small", protocol.JobArray, 3, 2)
		if gang {
			add("job-gang", "gang", protocol.Gang, 2, 4)
		}
		team.Quota().UpdateGangReservation(now)
		got := map[string]int{}
		for _, d := range team.Quota().SurplusDemands(now) {
			got[d.Spec.Class] += d.Count
		}
		return got
	}
	for _, c := range []struct {
		name         string
		limit        float64
		gang         bool
		large, small int
	}{
		{"more than the limit is demanded", 80, false, 10, 3},
		{"little left", 32, false, 1, 2},
		{"three quarters are used", 26, false, 0, 0},
		{"the limit suffices for all", 200, false, 0, 0},
		{"a gang waits", 80, true, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := surplusByClass(t, c.limit, c.gang); got["large"] != c.large || got["small"] != c.small || got["gang"] != 0 {
				t.Errorf("%v surplus tasks, want %d large and %d small", got, c.large, c.small)
			}
		})
	}
}
