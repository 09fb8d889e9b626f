package scheduler

import (
	"slices"
	"testing"

	"topazhollow/internal/protocol"
)

// TestZoneRestrictions: tasks of a one-zone job stay in their zone even if another zone has room, and no zone gets more
// than half of the tasks of a spread job even if it has room for all.
func TestZoneRestrictions(t *testing.T) {
	for _, x := range []struct {
		name            string
		oneZone, spread bool
		machines, tasks int
		want            []int // tasks by zone, fewest first
	}{
		{"anywhere", false, false, 2, 16, []int{8, 8}},
		{"in one zone", true, false, 2, 16, []int{8}},
		{"spread over two zones", false, true, 2, 8, []int{4, 4}},
		{"spread where there is one zone", false, true, 1, 8, []int{4}},
	} {
		c := newCluster(t, x.machines, 1) // 32 CPUs each; two machines are in different zones
		c.submit(0, 0, protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "high", Tasks: x.tasks, CPUs: 4,
			MemoryGB: 1, Image: "img", EstimateSeconds: 40, Spot: true, OneZone: x.oneZone, Spread: x.spread})
		c.pass()
		c.pass() // the remaining tasks depend on the zones of the placed ones
		tasks := map[string]int{}
		for _, a := range c.teams[0].Replica().Assignments {
			tasks[a.Zone]++
		}
		var got []int
		for _, count := range tasks {
			got = append(got, count)
		}
		slices.Sort(got)
		if !slices.Equal(got, x.want) {
			t.Errorf("%s: %d tasks placed as %v, want %v", x.name, x.tasks, got, x.want)
		}
	}
}
