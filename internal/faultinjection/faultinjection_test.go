package faultinjection_test

import (
	"bytes"
	"context"
	"os"
	"slices"
	"strings"
	"testing"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/cli"
	"topazhollow/internal/faultinjection"
)

// TestMain runs the test binary as topazhollowctl in the processes that a test starts.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && slices.Contains([]string{"artifact-store", "fault-injection-agent", "controller"}, os.Args[1]) {
		os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func run(t *testing.T, kills int, corrupt func(a *artifactstore.AttemptSummary, lines []string, file string) ([]string, string)) *faultinjection.Report {
	t.Helper()
	r, err := faultinjection.Run(context.Background(), faultinjection.Options{Program: os.Args[0], Dir: t.TempDir(), Seed: 3, Kills: kills, Key: []byte("0123456789abcdef"), CorruptRead: corrupt})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestKills kills agents and replicas at random moments. All acknowledged data must then be readable from each replica
// under its own attempt, and the report must show no violation.
func TestKills(t *testing.T) {
	r := run(t, 40, nil)
	if r.BrokenInTotal > 0 || len(r.Kills) < 40 || r.Lines == 0 || r.Files == 0 {
		t.Fatalf("%d kills, %d lines, %d files, broken: %s", len(r.Kills), r.Lines, r.Files, strings.Join(r.Broken, "\n"))
	}
	var page bytes.Buffer
	if err := r.HTML(&page); err != nil || !strings.Contains(page.String(), "<svg") || strings.Contains(page.String(), "broken") {
		t.Errorf("%v\n%.2000s", err, page.String())
	}
}

// TestCheckDetectsCorruption corrupts what readers get: lost, duplicated or reordered lines, another attempt's file,
// and a result that is withdrawn or occurs twice. The check must detect each; otherwise TestKills would pass on a
// faulty build.
func TestCheckDetectsCorruption(t *testing.T) {
	for what, corrupt := range map[string]func(a *artifactstore.AttemptSummary, lines []string, file string) ([]string, string){
		"loses the last line": func(_ *artifactstore.AttemptSummary, l []string, f string) ([]string, string) {
			return l[:max(0, len(l)-1)], f
		},
		"duplicates a line": func(_ *artifactstore.AttemptSummary, l []string, f string) ([]string, string) {
			return append(slices.Clone(l[:min(1, len(l))]), l...), f
		},
		"reorders lines": func(_ *artifactstore.AttemptSummary, l []string, f string) ([]string, string) {
			slices.Reverse(l)
			return l, f
		},
		"returns another attempt's file": func(_ *artifactstore.AttemptSummary, l []string, f string) ([]string, string) {
			return l, strings.Replace(f, "/", "/9", 1)
		},
		"withdraws a result": func(a *artifactstore.AttemptSummary, l []string, f string) ([]string, string) {
			a.State = artifactstore.StateSealed
			return l, f
		},
		"returns a second result": func(a *artifactstore.AttemptSummary, l []string, f string) ([]string, string) {
			a.State = artifactstore.StateFinal
			return l, f
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			if r := run(t, 2, corrupt); r.BrokenInTotal == 0 {
				t.Errorf("a build that %s was not detected", what)
			}
		})
	}
}
