package faultinjection_test

import (
	"io"
	"os"
	"testing"

	"topazhollow/internal/faultinjection"
)

// TestLosses loses data of the state service in a dozen random trials with other faults, such as killed controller
// processes. No accepted, done or cancelled job may be forgotten, and no task may run twice.
func TestLosses(t *testing.T) {
	runTrialGroups(t, 3, 4, func(t *testing.T, group uint64) ([]faultinjection.LossTrial, error) {
		return faultinjection.Losses(t.Context(), faultinjection.TrialOptions{Program: os.Args[0], Dir: t.TempDir(), Seed: 100 * group, Trials: 4, Out: io.Discard})
	}, func(t *testing.T, x faultinjection.LossTrial) {
		if x.Broken != "" {
			t.Errorf("seed %d: %s, %s: %s", x.Seed, x.Loss, x.Fault, x.Broken)
		}
	})
}
