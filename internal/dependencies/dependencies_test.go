package dependencies

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/jobstate"
)

// chain returns jobs each of which needs the one before. The last one has a deadline.
func chain(count int) []Job {
	jobs := make([]Job, count)
	for i := range jobs {
		jobs[i] = Job{UID: fmt.Sprintf("job-%05d", i), Duration: time.Second}
		if i > 0 {
			jobs[i].Dependencies = []string{jobs[i-1].UID}
		}
	}
	jobs[count-1].Urgency.Deadline = deadlineIn(time.Hour)
	return jobs
}

// fan returns jobs that all need the first one.
func fan(count int) []Job {
	jobs := chain(count)
	for i := range jobs[1:] {
		jobs[i+1].Dependencies = []string{jobs[0].UID}
		jobs[i+1].Urgency.Deadline = deadlineIn(time.Hour)
	}
	return jobs
}

// deadlineIn returns the deadline of a job that was submitted at a fixed time.
func deadlineIn(allowed time.Duration) *jobstate.Deadline {
	return &jobstate.Deadline{SubmittedAt: time.Unix(1767225600, 0), Allowed: allowed, Class: "train"}
}

// tracked returns a graph with all the jobs active.
func tracked(jobs []Job) (*model, *Graph) {
	m := newModel(jobs)
	g := New(m)
	for _, job := range jobs {
		m.active[job.UID] = true
		g.Track(job)
	}
	return m, g
}

// end records the outcome of a job that is active and ends it.
func end(m *model, g *Graph, uid string, outcome Outcome) {
	m.recorded[uid], m.active[uid] = outcome, false
	g.Ended(uid)
}

// TestReactivatedJobWaitsAnew checks that a job that was taken for ended while it waited is ready once everything that
// it needs is done, not before and not never.
func TestReactivatedJobWaitsAnew(t *testing.T) {
	jobs := chain(3)
	m, g := tracked(jobs)
	end(m, g, jobs[1].UID, Unknown)
	if state := g.State(jobs[2].UID); state != Waiting || !slices.Equal(g.Unsettled(), []string{jobs[1].UID}) {
		t.Errorf("state %d with the unsettled jobs %v", state, g.Unsettled())
	}
	m.active[jobs[1].UID] = true
	g.Track(jobs[1])
	if state := g.State(jobs[1].UID); state != Waiting {
		t.Errorf("state %d before the first job has ended, want %d", state, Waiting)
	}
	end(m, g, jobs[0].UID, Done)
	if state := g.State(jobs[1].UID); state != Ready {
		t.Errorf("state %d after the first job has ended, want %d", state, Ready)
	}
}

// TestRecordedOutcomeTakesPrecedence checks that a job whose recorded end is done cancels no later job, although it was
// to be cancelled with another one.
func TestRecordedOutcomeTakesPrecedence(t *testing.T) {
	jobs := chain(3)
	jobs = append(jobs, Job{UID: "job-late", Dependencies: []string{jobs[1].UID}})
	m, g := tracked(jobs[:3])
	m.index["job-late"], m.jobs = 3, jobs
	end(m, g, jobs[0].UID, Cancelled)
	end(m, g, jobs[1].UID, Done)
	g.Track(jobs[3])
	if got := []State{g.State(jobs[2].UID), g.State("job-late")}; !slices.Equal(got, []State{CancelledWith, Ready}) {
		t.Errorf("states %v, want %v", got, []State{CancelledWith, Ready})
	}
}

// TestLongestReserveOfALadder checks the reserve over many diamonds with a long and a short side, with the times that
// make the number of steps exponential if changes are followed along each path.
func TestLongestReserveOfALadder(t *testing.T) {
	const rungs = 28
	jobs := []Job{{UID: "first"}}
	last := func() string { return jobs[len(jobs)-1].UID }
	for i := range rungs {
		short, long := fmt.Sprintf("short-%d", i), fmt.Sprintf("long-%d", i)
		before := last()
		jobs = append(jobs, Job{UID: long, Dependencies: []string{before}, Duration: time.Second << i},
			Job{UID: short, Dependencies: []string{before}},
			Job{UID: fmt.Sprintf("join-%d", i), Dependencies: []string{long, short}},
		)
	}
	jobs = append(jobs, Job{UID: "end", Dependencies: []string{last()}, Urgency: Urgency{Deadline: deadlineIn(time.Hour)}})
	_, g := tracked(jobs)
	urgency, _ := g.Urgency("first")
	if want := time.Second<<rungs - time.Second; urgency.Deadline == nil || urgency.Deadline.Reserve != want {
		t.Errorf("urgency %s, want a reserve of %v", describeUrgency(urgency), want)
	}
	g.Ended("end")
	if urgency, _ := g.Urgency("first"); urgency.Deadline != nil {
		t.Errorf("urgency %s without a deadline", describeUrgency(urgency))
	}
}

// TestReservesDoNotOverflow checks that the reserve for many very long jobs makes a deadline earlier, not later.
func TestReservesDoNotOverflow(t *testing.T) {
	jobs := chain(20)
	for i := range jobs {
		jobs[i].Duration = MaxDuration * 2
	}
	_, g := tracked(jobs)
	urgency, _ := g.Urgency(jobs[0].UID)
	if urgency.Deadline == nil || urgency.Deadline.Reserve != MaxDuration {
		t.Errorf("urgency %s, want a reserve of %v", describeUrgency(urgency), MaxDuration)
	}
}

// TestEqualDeadlines checks that of deadlines at the same time every controller chooses the same one, whatever the order
// in which it learned of the jobs.
func TestEqualDeadlines(t *testing.T) {
	jobs := []Job{{UID: "first"}}
	for _, class := range []string{"build", "serve", "train"} {
		deadline := deadlineIn(time.Hour)
		deadline.Class = class
		jobs = append(jobs, Job{UID: class, Dependencies: []string{"first"}, Urgency: Urgency{Deadline: deadline}})
	}
	for _, order := range [][]int{{0, 1, 2, 3}, {0, 3, 2, 1}, {2, 0, 3, 1}} {
		var learned []Job
		for _, i := range order {
			learned = append(learned, jobs[i])
		}
		_, g := tracked(learned)
		if urgency, _ := g.Urgency("first"); urgency.Deadline == nil || urgency.Deadline.Class != "build" {
			t.Errorf("order %v: urgency %s, want the deadline of the class build", order, describeUrgency(urgency))
		}
	}
}

// TestCycles checks that jobs that need each other, or themselves, wait and that every call returns. Only corrupt data
// contains them.
func TestCycles(t *testing.T) {
	for _, size := range []int{1, 2, 3, 10} {
		jobs := chain(size)
		last := &jobs[size-1]
		jobs[0].Dependencies = []string{last.UID, last.UID} // twice
		m, g := tracked(jobs)
		for _, job := range jobs {
			if state := g.State(job.UID); state != Waiting {
				t.Errorf("cycle of %d: job %s has state %d, want %d", size, job.UID, state, Waiting)
			}
			g.UnsettledBefore(job.UID)
			g.Urgency(job.UID)
		}
		end(m, g, last.UID, Cancelled)
		g.Settle()
		for _, job := range jobs[:size-1] {
			if state := g.State(job.UID); state != CancelledWith {
				t.Errorf("cycle of %d: job %s has state %d, want %d", size, job.UID, state, CancelledWith)
			}
			g.Ended(job.UID)
		}
		if len(g.nodes) > 0 {
			t.Errorf("cycle of %d: %d nodes are left", size, len(g.nodes))
		}
	}
}

// TestDuplicateDependency checks that a dependency that is listed twice counts once.
func TestDuplicateDependency(t *testing.T) {
	jobs := chain(2)
	jobs[1].Dependencies = append(jobs[1].Dependencies, jobs[0].UID)
	m, g := tracked(jobs)
	end(m, g, jobs[0].UID, Done)
	if state := g.State(jobs[1].UID); state != Ready {
		t.Errorf("state %d, want %d", state, Ready)
	}
}
