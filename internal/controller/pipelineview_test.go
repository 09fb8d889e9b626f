package controller

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// TestGoldenPipeline checks the encoding of the answer to GET /pipelines/JOB, which operators' tools read. Fields may be
// added, but none changed or removed.
func TestGoldenPipeline(t *testing.T) {
	deadline, end := time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC), time.Date(2026, 12, 3, 19, 30, 15, 0, time.UTC)
	job := PipelineJob{UID: "job-000413", Team: "vision", Class: "train", State: PipelineWaiting, Needs: []string{"job-000411", "job-000412"}, WaitsFor: []string{"job-000412"},
		Priority: "high", Deadline: &deadline, Tasks: 16, Done: 3, Running: 2, ExpectedEnd: &end}
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "pipeline-full.json", Value: PipelineView{Node: "estacion-1", Job: "job-000413", Jobs: []PipelineJob{job}, Cut: true}, Full: true},
		{Name: "pipeline-empty.json", Value: PipelineView{Jobs: []PipelineJob{{}}}},
	})
}

// TestGoldenPipelineStates checks the names of the states, which operators' tools read.
func TestGoldenPipelineStates(t *testing.T) {
	for state, want := range map[PipelineState]string{PipelineWaiting: "waiting", PipelineReady: "ready", PipelineRunning: "running", PipelineDone: "done", PipelineCancelled: "withdrawn",
		PipelineUnknown: "unknown"} {
		if string(state) != want {
			t.Errorf("state %q, want %q", state, want)
		}
	}
}

// pipelineSubmission returns a job of one task of 40 s that needs others.
func pipelineSubmission(uid, team string, needs ...string) *protocol.Submission {
	return &protocol.Submission{UID: uid, Team: team, Class: "batch", Kind: protocol.JobArray, Priority: "low", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img-1", EstimateSeconds: 40, Dependencies: needs}
}

// learnLocked makes a controller know an accepted job. The caller holds its lock.
func (g *nodeHarness) learnLocked(spec *protocol.Submission) {
	g.n.learnJob(userapi.ActiveJob{Spec: spec, SubmittedAtMillis: g.now.UnixMilli()}, 1)
}

// endLocked makes a controller know the end of a job. The caller holds its lock.
func (g *nodeHarness) endLocked(uid string, state protocol.JobState) {
	g.n.userAPI.RecordEnd(uid, userapi.JobEnd{State: state, Tasks: 1, Team: "team-0"})
	g.n.endJob(uid)
	g.n.followDependencies(g.now)
}

// view returns the pipeline of a job.
func (g *nodeHarness) view(t *testing.T, uid string) (PipelineView, map[string]PipelineJob) {
	t.Helper()
	g.n.mu.Unlock()
	view, known := g.n.pipelineView(uid, g.now)
	g.n.mu.Lock()
	if !known {
		t.Fatalf("%s is not known", uid)
	}
	jobs := map[string]PipelineJob{}
	for _, job := range view.Jobs {
		jobs[job.UID] = job
	}
	if len(jobs) != len(view.Jobs) || view.Jobs[0].UID != uid {
		t.Fatalf("jobs are listed twice, or %s is not the first: %+v", uid, view.Jobs)
	}
	return view, jobs
}

// states returns the states of a pipeline's jobs.
func states(jobs map[string]PipelineJob) map[string]PipelineState {
	all := map[string]PipelineState{}
	for uid, job := range jobs {
		all[uid] = job.State
	}
	return all
}

// newPipelineHarness returns a controller with the jobs a -> b -> c, and d that needs b and e. The user of c has set its
// deadline and a high priority. The controller's lock is held.
func newPipelineHarness() *nodeHarness {
	g := newNodeHarness(1, 2)
	g.n.mu.Lock()
	deadline := 600.0
	urgent := pipelineSubmission("job-c", "team-1", "job-b")
	urgent.Priority, urgent.DeadlineSeconds = "high", &deadline
	for _, spec := range []*protocol.Submission{pipelineSubmission("job-a", "team-0"), pipelineSubmission("job-e", "team-0"), pipelineSubmission("job-b", "team-0", "job-a"), urgent,
		pipelineSubmission("job-d", "team-1", "job-b", "job-e")} {
		g.learnLocked(spec)
	}
	g.n.followDependencies(g.now)
	return g
}

// TestPipelineView checks which jobs belong to a pipeline, and what they take over.
func TestPipelineView(t *testing.T) {
	g := newPipelineHarness()
	defer g.n.mu.Unlock()
	_, jobs := g.view(t, "job-b")
	want := map[string]PipelineState{"job-a": PipelineReady, "job-b": PipelineWaiting, "job-c": PipelineWaiting, "job-d": PipelineWaiting}
	if got := states(jobs); !maps.Equal(got, want) {
		t.Errorf("states %v, want %v", got, want)
	}
	if got := jobs["job-d"]; !reflect.DeepEqual(got.Needs, []string{"job-b", "job-e"}) || !reflect.DeepEqual(got.WaitsFor, got.Needs) || got.Deadline != nil || got.Priority != "low" {
		t.Errorf("job-d: %+v", got)
	}
	const jobSeconds = spreadOfRunTimes * 40
	submitted := time.UnixMilli(g.now.UnixMilli())
	for uid, x := range map[string]struct{ end, deadline float64 }{"job-a": {jobSeconds, 600 - 2*jobSeconds}, "job-b": {2 * jobSeconds, 600 - jobSeconds}, "job-c": {3 * jobSeconds, 600}} {
		got := jobs[uid]
		end, deadline := g.now.Add(time.Duration(x.end)*time.Second), submitted.Add(time.Duration(x.deadline)*time.Second)
		if got.Priority != "high" || got.Deadline == nil || !got.Deadline.Equal(deadline.Truncate(time.Second)) || got.ExpectedEnd == nil || !got.ExpectedEnd.Equal(end.Truncate(time.Second)) {
			t.Errorf("%s: %+v; want deadline %s, end %s", uid, got, deadline, end)
		}
	}
	if o := g.overviewWaiting(); !maps.Equal(o, map[string]int{"team-0": 1, "team-1": 2}) {
		t.Errorf("waiting jobs by team: %v", o)
	}
}

// overviewWaiting returns the waiting jobs in the overview.
func (g *nodeHarness) overviewWaiting() map[string]int {
	g.n.mu.Unlock()
	defer g.n.mu.Lock()
	return g.n.overview(g.now).WaitingJobs
}

// TestPipelineViewEnds checks the states after jobs have ended, done and cancelled.
func TestPipelineViewEnds(t *testing.T) {
	g := newPipelineHarness()
	defer g.n.mu.Unlock()
	g.endLocked("job-a", protocol.Done)
	_, jobs := g.view(t, "job-b")
	want := map[string]PipelineState{"job-a": PipelineDone, "job-b": PipelineReady, "job-c": PipelineWaiting, "job-d": PipelineWaiting}
	if got := states(jobs); !maps.Equal(got, want) || jobs["job-a"].Done != 1 || len(jobs["job-b"].WaitsFor) != 0 {
		t.Errorf("states %v, want %v: %+v", got, want, jobs)
	}
	g.endLocked("job-e", protocol.Cancelled)
	_, jobs = g.view(t, "job-d")
	want = map[string]PipelineState{"job-a": PipelineDone, "job-b": PipelineReady, "job-d": PipelineCancelled, "job-e": PipelineCancelled}
	if got := states(jobs); !maps.Equal(got, want) || jobs["job-d"].ExpectedEnd != nil {
		t.Errorf("states %v, want %v: %+v", got, want, jobs)
	}
	if o := g.overviewWaiting(); !maps.Equal(o, map[string]int{"team-1": 1}) {
		t.Errorf("waiting jobs by team: %v", o)
	}
	g.endLocked("job-b", protocol.Done)
	if o := g.overviewWaiting(); o != nil {
		t.Errorf("waiting jobs by team: %v", o)
	}
}

// TestPipelineViewUnknownEnd: a job that is no longer active and whose end is not known here keeps what needs it
// waiting, and nothing is said of when that ends.
func TestPipelineViewUnknownEnd(t *testing.T) {
	g := newPipelineHarness()
	defer g.n.mu.Unlock()
	g.n.endJob("job-a")
	_, jobs := g.view(t, "job-b")
	if jobs["job-a"].State != PipelineUnknown || jobs["job-b"].State != PipelineWaiting || jobs["job-b"].ExpectedEnd != nil || jobs["job-c"].ExpectedEnd != nil {
		t.Errorf("%+v", jobs)
	}
}

// TestPipelineViewRunning: a job is running while some of its tasks are.
func TestPipelineViewRunning(t *testing.T) {
	g := newPipelineHarness()
	g.n.mu.Unlock()
	for range 3 {
		g.advanceSecond(10)
	}
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	_, jobs := g.view(t, "job-b")
	if jobs["job-a"].State != PipelineRunning || jobs["job-a"].Running != 1 || jobs["job-b"].Running != 0 || jobs["job-b"].State != PipelineWaiting {
		t.Errorf("%+v", jobs)
	}
}

// TestPipelineViewIsBounded: the answer lists a bounded number of jobs and of those that they need, and says so.
func TestPipelineViewIsBounded(t *testing.T) {
	g := newNodeHarness(1, 1)
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	var first []string
	for i := range maxPipelineJobs - 1 {
		first = append(first, fmt.Sprintf("job-%d", i))
		g.learnLocked(pipelineSubmission(first[i], "team-0"))
	}
	g.learnLocked(pipelineSubmission("job-last", "team-0", first...))
	if view, _ := g.view(t, "job-last"); len(view.Jobs) != maxPipelineJobs || view.Cut {
		t.Errorf("%d jobs, cut %v; want %d, not cut", len(view.Jobs), view.Cut, maxPipelineJobs)
	}
	for i := range 20 {
		g.learnLocked(pipelineSubmission(fmt.Sprintf("job-wide-%d", i), "team-0", first...))
	}
	for _, uid := range []string{"job-last", "job-0"} { // the second one has others with many edges behind it
		view, _ := g.view(t, uid)
		edges := 0
		for _, job := range view.Jobs {
			edges += len(job.Needs)
		}
		if len(view.Jobs) > maxPipelineJobs || edges > maxPipelineEdges || view.Cut != (uid == "job-0") {
			t.Errorf("%s: %d jobs with %d edges, cut %v", uid, len(view.Jobs), edges, view.Cut)
		}
	}
	g.learnLocked(pipelineSubmission("job-behind", "team-0", "job-last"))
	if view, _ := g.view(t, "job-last"); len(view.Jobs) != maxPipelineJobs || !view.Cut {
		t.Errorf("%d jobs, cut %v; want %d, cut", len(view.Jobs), view.Cut, maxPipelineJobs)
	}
}

// TestPipelineRequest checks the path's statuses and that the answer is a PipelineView.
func TestPipelineRequest(t *testing.T) {
	g := newPipelineHarness()
	g.n.mu.Unlock()
	for _, x := range []struct {
		method, path string
		status       int
	}{{"GET", "/pipelines/job-a", 200}, {"GET", "/pipelines/job-none", 404}, {"GET", "/pipelines/", 404}, {"POST", "/pipelines/job-a", 405}} {
		a := g.n.serveHTTP(t.Context(), nil, &httpx.Request{Method: x.method, Path: x.path})
		if a.Status != x.status || (a.Allow == "GET") != (x.status == 405) {
			t.Errorf("%s %s: %d %s, allowed %q; want %d", x.method, x.path, a.Status, a.Body, a.Allow, x.status)
		}
		var view PipelineView
		if err := protocol.Decode(a.Body, &view); err != nil || x.status == 200 && (len(view.Jobs) != 4 || view.Job != "job-a") {
			t.Errorf("%s %s: %s", x.method, x.path, a.Body)
		}
	}
}
