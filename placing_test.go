package topazhollow

import (
	"fmt"
	"testing"
	"time"

	"topazhollow/internal/frontend"
	"topazhollow/internal/wire"
)

// TestWarmMachinesFirst: on a full fleet a freed place went to the most urgent task,
// whose image then had to be fetched for as long as the task ran, beside a task that
// has its image there and as good as the same time. What has time is placed with
// its image first; what has none goes before it, whatever that costs.
func TestWarmMachinesFirst(t *testing.T) {
	for _, hurried := range []bool{false, true} {
		g := newGrown(2, 1)
		n := g.n
		n.set.Deployment.Objectives = nil
		n.mu.Lock()
		submit := func(uid, image string, age, deadline float64, tasks int) {
			n.learnJob(frontend.Stored{At: g.now.Add(-time.Duration(age * float64(time.Second))).UnixMilli(), Spec: &wire.Submission{UID: uid, Team: "team-0",
				Kind: wire.Batch, Priority: "standard", Tasks: tasks, CPUs: 32, Memory: 1, Image: image, ImageGB: 2, Estimate: 20, Spot: true, Deadline: &deadline}}, 1)
		}
		deadline := 300.0
		if hurried {
			deadline = 60
		}
		submit("job-000001", "cold", 10, deadline, 2)
		submit("job-000002", "warm", 5, 300, 1)
		for _, m := range n.machines {
			m.images["warm"], m.counted = true, false
		}
		n.place(g.now)
		held := func(uid string) int { return len(taskHolds(g, uid)) }
		want := [2]int{1, 1}
		if hurried {
			want = [2]int{2, 0}
		}
		if got := [2]int{held("job-000001"), held("job-000002")}; got != want {
			t.Errorf("hurried %v: %v tasks placed of the urgent and of the warm job, not %v", hurried, got, want)
		}
		n.mu.Unlock()
	}
}

// taskHolds lists where a job's tasks are held.
func taskHolds(g *grown, uid string) (at []string) {
	for _, it := range g.n.items {
		for task := range it.team.Replica().Holds {
			if task.Job == uid {
				at = append(at, fmt.Sprint(task.Index))
			}
		}
	}
	return at
}
