package dependencies

import (
	"testing"
	"time"
)

// forecastJobs has active jobs by ID, and the outcomes of others.
type forecastJobs struct {
	active   map[string]Job
	outcomes map[string]Outcome
}

func (j forecastJobs) ActiveJob(uid string) (Job, bool) {
	job, active := j.active[uid]
	return job, active
}

func (j forecastJobs) Outcome(uid string) Outcome { return j.outcomes[uid] }

// TestExpectedEnds: a job begins when the last job that it needs ends. Nothing is expected of a job that needs a
// cancelled one or one of unknown end, unless tasks of it were started.
func TestExpectedEnds(t *testing.T) {
	jobs := forecastJobs{outcomes: map[string]Outcome{"done": Done, "cancelled": Cancelled}, active: map[string]Job{}}
	graph := New(jobs)
	for _, job := range []Job{
		{UID: "first", Duration: time.Minute},
		{UID: "slow", Duration: time.Hour},
		{UID: "after-done", Duration: 2 * time.Minute, Dependencies: []string{"done", "first"}},
		{UID: "after-both", Duration: time.Minute, Dependencies: []string{"after-done", "slow"}},
		{UID: "after-unknown", Duration: time.Minute, Dependencies: []string{"first", "unknown"}},
		{UID: "behind-unknown", Duration: time.Minute, Dependencies: []string{"after-unknown"}},
		{UID: "started", Duration: time.Minute, Dependencies: []string{"unknown"}},
		{UID: "after-cancelled", Duration: time.Minute, Dependencies: []string{"cancelled"}},
	} {
		jobs.active[job.UID] = job
		graph.Track(job)
	}
	graph.Started("started")
	now := time.Unix(1e9, 0)
	want := map[string]time.Duration{"first": time.Minute, "after-done": 3 * time.Minute, "after-both": 61 * time.Minute, "started": time.Minute}
	uids := []string{"not-tracked", "after-both", "first", "after-done", "after-unknown", "behind-unknown", "started", "after-cancelled", "done"}
	got := graph.ExpectedEnds(uids, now)
	if len(got) != len(want) {
		t.Errorf("got %v, want %v", got, want)
	}
	for uid, after := range want {
		if !got[uid].Equal(now.Add(after)) {
			t.Errorf("%s ends at %v, want %v", uid, got[uid], now.Add(after))
		}
	}
}

// TestExpectedEndsIsBounded: beyond a number of edges nothing is expected, and a long chain is followed to its begin.
func TestExpectedEndsIsBounded(t *testing.T) {
	for length, known := range map[int]bool{1000: true, maxForecastEdges + 2: false} {
		jobs := forecastJobs{active: map[string]Job{}}
		graph := New(jobs)
		uid := func(i int) string { return time.Duration(i).String() }
		for i := range length {
			job := Job{UID: uid(i), Duration: time.Second}
			if i > 0 {
				job.Dependencies = []string{uid(i - 1)}
			}
			jobs.active[job.UID] = job
			graph.Track(job)
		}
		last := uid(length - 1)
		end := graph.ExpectedEnds([]string{last}, time.Unix(0, 0))[last]
		if known != end.Equal(time.Unix(int64(length), 0)) || known == end.IsZero() {
			t.Errorf("chain of %d jobs ends at %v", length, end)
		}
	}
}
