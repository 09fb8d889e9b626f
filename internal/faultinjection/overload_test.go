package faultinjection_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"strings"
	"testing"

	"topazhollow/internal/faultinjection"
)

// TestOverloads submits many small urgent tasks beside large ones, with and without killed controllers. The large class
// must keep running and no rule may be broken. Without floors the large class gets almost nothing, which the trial must
// report. The bound is loose because the test may run on a slow machine; the simulate command checks how close the
// class comes to its floor.
func TestOverloads(t *testing.T) {
	for name, x := range map[string]struct {
		seed  uint64
		floor float64
	}{"alone": {0, 0.5}, "all end": {2, 0.5}, "no floors": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trials, err := faultinjection.Overloads(context.Background(), faultinjection.OverloadOptions{TrialOptions: faultinjection.TrialOptions{Program: os.Args[0], Dir: t.TempDir(), Seed: x.seed, Trials: 1, Out: io.Discard}, Floor: x.floor})
			if err != nil {
				t.Fatal(err)
			}
			got, broken := trials[0].MeanCPUs["large"], trials[0].Broken
			if strings.Contains(broken, "rules") || x.floor > 0 && got < 12 || x.floor == 0 && (got > 8 || broken == "") {
				t.Errorf("%+v: %s", trials[0].MeanCPUs, broken)
			}
			var page bytes.Buffer
			if err := faultinjection.OverloadReport(&page, trials); err != nil || strings.Count(page.String(), "<svg") != 1 {
				t.Errorf("%v\n%.1000s", err, page.String())
			}
		})
	}
}
