package loadtest_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"topazhollow/internal/cli"
	"topazhollow/internal/loadtest"
)

// TestMain runs the test binary as topazhollowctl in the processes that a run starts.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && slices.Contains([]string{"controller", loadtest.PoolCommand}, os.Args[1]) {
		os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func smallConfig() *loadtest.Config {
	c := loadtest.Default()
	c.Agents, c.AgentsPerProcess, c.Teams, c.Zones = 30, 20, 3, 5
	c.HeartbeatInterval, c.StartsPerSecond, c.TasksPerJob, c.TaskRun = 0.5, 20, 5, 0.5
	c.Duration, c.SettleTimeout = 6, 60
	return c
}

func runExperiment(t *testing.T, c *loadtest.Config) *loadtest.Result {
	t.Helper()
	r, err := loadtest.Run(t.Context(), c, loadtest.Options{Program: os.Args[0], Controller: []string{os.Args[0], "controller"}, Dir: t.TempDir(), Out: io.Discard})
	if err != nil {
		t.Fatalf("%v; partial result %+v", err, r)
	}
	return r
}

// TestRun executes a small run of three real controllers and two agent processes, in which one controller is killed. It
// must measure every part, break no rule and render a page.
func TestRun(t *testing.T) {
	c := smallConfig()
	c.Faults.KillOneAt, c.Faults.RestartAfter = 1, 1
	r := runExperiment(t, c)
	if r.BrokenCount > 0 || !r.Settled || r.Starts == 0 || r.Heartbeats == 0 || len(r.Controllers) != 3 || len(r.AgentProcesses) != 2 || r.MachinesReturned > 0 {
		t.Fatalf("%+v", r)
	}
	for _, kind := range []string{"report", "command", "status", "views", "write", "watch", "lease"} {
		if !slices.ContainsFunc(r.Traffic, func(x loadtest.Traffic) bool { return x.Kind == kind && x.Messages > 0 }) {
			t.Errorf("no message of kind %q was counted: %+v", kind, r.Traffic)
		}
	}
	path := filepath.Join(t.TempDir(), "result.json")
	if err := r.Write(path); err != nil {
		t.Fatal(err)
	}
	again, err := loadtest.ReadResult(path)
	if err != nil || again.Starts != r.Starts {
		t.Fatalf("%v: %+v", err, again)
	}
	var page bytes.Buffer
	if err := loadtest.WritePage(&page, []*loadtest.Result{r, again}, loadtest.Agents); err != nil || !strings.Contains(page.String(), "<svg") {
		t.Errorf("%v\n%.1000s", err, page.String())
	}
}

// TestMemoryLimit: a run that exceeds its memory limit must be aborted and name the limit.
func TestMemoryLimit(t *testing.T) {
	c := smallConfig()
	c.Limits.MemoryMB, c.Duration = 64, 60
	r, err := loadtest.Run(t.Context(), c, loadtest.Options{Program: os.Args[0], Controller: []string{os.Args[0], "controller"}, Dir: t.TempDir(), Out: io.Discard})
	if err == nil || r == nil || !strings.Contains(r.Stopped, "memory_mb") {
		t.Fatalf("%v: %+v", err, r)
	}
}

// TestInvalidConfig: for an invalid experiment file, the command must exit with code 2 and name the file, the field and
// the expected value.
func TestInvalidConfig(t *testing.T) {
	for text, wanted := range map[string]string{
		"workers = 0":                   "field workers: 0 is not between 1 and 50000",
		"wrokers = 5":                   "field wrokers: no such field",
		"workers = \"many\"":            "workers",
		"[limits]\nprocesses = 1":       "field limits.processes",
		"[faults]\nall_end_s = 1000000": "field faults.all_end_s",
	} {
		path := filepath.Join(t.TempDir(), "experiment.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errs bytes.Buffer
		code := cli.Main(t.Context(), []string{"rehearse", "scale", "--config", path}, &out, &errs)
		if code != cli.ExitUsage || !strings.Contains(errs.String(), wanted) || !strings.Contains(errs.String(), path) {
			t.Errorf("%q: exit code %d, %s", text, code, errs.String())
		}
	}
}

// TestPrintConfig: the output of --print-config must be an experiment file with all defaults.
func TestPrintConfig(t *testing.T) {
	var out, errs bytes.Buffer
	if code := cli.Main(t.Context(), []string{"rehearse", "scale", "--print-config"}, &out, &errs); code != 0 {
		t.Fatal(code, errs.String())
	}
	path := filepath.Join(t.TempDir(), "experiment.toml")
	if err := os.WriteFile(path, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	if c, err := loadtest.Load(path); err != nil || *c != *loadtest.Default() {
		t.Errorf("%v: %+v", err, c)
	}
}
