package scheduler

import (
	"slices"
	"testing"

	"topazhollow/internal/protocol"
)

// TestZonesOfAJob: tasks that share a zone stay in it although another has room, and of tasks that are spread no more
// than half are in one zone although that has room for all.
func TestZonesOfAJob(t *testing.T) {
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
		c := newCluster(t, x.machines, 1) // of 32 CPUs, in a zone each
		c.submit(0, 0, protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "high", Tasks: x.tasks, CPUs: 4,
			MemoryGB: 1, Image: "img", EstimateSeconds: 40, Spot: true, OneZone: x.oneZone, Spread: x.spread})
		c.pass()
		c.pass() // what is missing goes by where the others are
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
