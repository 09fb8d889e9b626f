package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/controller"
	"topazhollow/internal/protocol"
)

// newPipelineServer serves a controller's answer to GET /pipelines/job-b and returns its address.
func newPipelineServer(t *testing.T, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != "GET" || r.URL.Path != "/pipelines/job-b" {
			t.Errorf("request %s %s", r.Method, r.URL.Path)
		}
		w.WriteHeader(status)
		if _, err := io.WriteString(w, body); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// shownPipeline is a -> b -> d and a -> c -> d, asked for b, so that c is not listed.
func shownPipeline() controller.PipelineView {
	deadline := time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)
	end := deadline.Add(-time.Minute)
	return controller.PipelineView{Node: "estacion-1", Job: "job-b", Jobs: []controller.PipelineJob{
		{UID: "job-b", Team: "red", Class: "clean", State: controller.PipelineWaiting, Needs: []string{"job-a"}, WaitsFor: []string{"job-a"}, Priority: "high", Deadline: &deadline, Tasks: 2, ExpectedEnd: &end},
		{UID: "job-a", Team: "red", Class: "fetch", State: controller.PipelineRunning, Priority: "high", Tasks: 4, Done: 1, Running: 3},
		{UID: "job-d", Team: "red", State: controller.PipelineWaiting, Needs: []string{"job-b", "job-c"}, WaitsFor: []string{"job-b", "job-c"}, Priority: "low"},
	}}
}

// TestPipelineShow checks the text: a line for each job after those that it needs.
func TestPipelineShow(t *testing.T) {
	view := shownPipeline()
	addr := newPipelineServer(t, 200, string(protocol.Encode(view)))
	code, out, errs := runCommand("pipeline", "show", "job-b", addr)
	want := strings.Join([]string{
		"pipeline of job-b as estacion-1 knows it: 3 jobs",
		"job        state    team  class  done    running  priority  deadline              expected end          waits for",
		"job-a      running  red   fetch  1 of 4  3        high      -                     -                     -",
		"  job-b    waiting  red   clean  0 of 2  0        high      2026-12-03T20:00:00Z  2026-12-03T19:59:00Z  job-a",
		"    job-d  waiting  red   -      0 of 0  0        low       -                     -                     job-b job-c",
	}, "\n") + "\n"
	if code != 0 || out != want || errs != "" {
		t.Errorf("%d\n%s\n%s\nwant\n%s", code, out, errs, want)
	}
	view.Cut = true
	view.Jobs[2].WaitsFor = []string{"job-1", "job-2", "job-3", "job-4", "job-5", "job-6", "job-7"}
	_, out, _ = runCommand("pipeline", "show", "job-b", newPipelineServer(t, 200, string(protocol.Encode(view))))
	if !strings.Contains(out, "there are more") || !strings.Contains(out, "job-4 job-5 and 2 more\n") {
		t.Errorf("cut:\n%s", out)
	}
}

// TestPipelineShowAsks checks that the controllers are asked in turn, the output as JSON, and the exit codes.
func TestPipelineShowAsks(t *testing.T) {
	const answer = `{"node":"estacion-2","job":"job-b","jobs":[{"job":"job-b","state":"ready","done_tasks":0,"running_tasks":0}],"later":1}`
	down, err := freeAddr()
	if err != nil {
		t.Fatal(err)
	}
	serves, refuses := newPipelineServer(t, 200, answer), newPipelineServer(t, 503, `{"error":"starting"}`)
	unknown, broken := newPipelineServer(t, 404, `{"error":"no such job is known here"}`), newPipelineServer(t, 200, "<html>")
	for _, x := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"--json", "job-b", serves}, 0, answer + "\n"},
		{[]string{"--json", "job-b", down, refuses, unknown, broken, serves}, 0, answer + "\n"},
		{[]string{"job-b", down, refuses, broken}, ExitFailed, ""},
		{[]string{"job-b", down, unknown}, ExitUnknown, ""},
		{[]string{"job-b"}, ExitUsage, ""},
	} {
		code, out, errs := runCommand(append([]string{"pipeline", "show"}, x.args...)...)
		if code != x.code || out != x.out || code != 0 && !strings.HasPrefix(errs, programName+": ") {
			t.Errorf("%q: %d, %q, %q; want %d, %q", x.args, code, out, errs, x.code, x.out)
		}
	}
	if code, out, _ := runCommand("--output", "json", "pipeline", "show", "job-b", serves); code != 0 || out != answer+"\n" {
		t.Errorf("--output json: %d, %q", code, out)
	}
}

// TestPipelineLines checks the order and the depths, also of jobs that need several.
func TestPipelineLines(t *testing.T) {
	for what, x := range map[string]struct {
		needs map[string][]string
		want  []string
	}{
		"one":          {map[string][]string{"a": nil}, []string{"0 a"}},
		"chain":        {map[string][]string{"a": {"b"}, "b": {"c"}, "c": nil}, []string{"0 c", "1 b", "2 a"}},
		"diamond":      {map[string][]string{"a": nil, "b": {"a"}, "c": {"a"}, "d": {"b", "c"}}, []string{"0 a", "1 b", "1 c", "2 d"}},
		"not listed":   {map[string][]string{"a": {"z"}, "b": {"a", "y"}}, []string{"0 a", "1 b"}},
		"long and one": {map[string][]string{"a": nil, "b": {"a"}, "c": {"a", "b"}}, []string{"0 a", "1 b", "2 c"}},
		"two first":    {map[string][]string{"a": nil, "b": nil, "c": {"b"}, "d": {"a", "c"}}, []string{"0 a", "0 b", "1 c", "2 d"}},
	} {
		var jobs []controller.PipelineJob
		for _, uid := range []string{"a", "b", "c", "d"} {
			if needs, listed := x.needs[uid]; listed {
				jobs = append(jobs, controller.PipelineJob{UID: uid, Needs: needs})
			}
		}
		var got []string
		for _, line := range pipelineLines(jobs) {
			got = append(got, fmt.Sprint(line.depth, " ", line.job.UID))
		}
		if !slices.Equal(got, x.want) {
			t.Errorf("%s: %q, want %q", what, got, x.want)
		}
	}
}
