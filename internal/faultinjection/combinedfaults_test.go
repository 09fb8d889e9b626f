package faultinjection_test

import (
	"io"
	"os"
	"testing"

	"topazhollow/internal/faultinjection"
)

// TestCombinedFaults injects two or three random overlapping faults, such as killed and stopped controller processes,
// while users cancel jobs of long tasks. No rule may be broken, and all other jobs must be done.
func TestCombinedFaults(t *testing.T) {
	runTrialGroups(t, 2, 3, func(t *testing.T, group uint64) ([]faultinjection.CombinedTrial, error) {
		return faultinjection.CombinedFaults(t.Context(), faultinjection.TrialOptions{Program: os.Args[0], Dir: t.TempDir(), Seed: 200 * group, Trials: 3, Out: io.Discard})
	}, func(t *testing.T, x faultinjection.CombinedTrial) {
		if len(x.Faults) < 2 {
			t.Errorf("seed %d: only the faults %v were injected", x.Seed, x.Faults)
		}
		if x.Broken != "" {
			t.Errorf("seed %d: %v: %s", x.Seed, x.Faults, x.Broken)
		}
	})
}

// TestCopiesOfAnsweredRequests injects, beside two or three random faults, copies of direct commands and of transactions
// that were executed and answered. The copies arrive up to half as long again as an agent's lease later.
func TestCopiesOfAnsweredRequests(t *testing.T) {
	always := []string{faultinjection.RepeatedCommands, faultinjection.RepeatedWrites}
	runTrialGroups(t, 2, 2, func(t *testing.T, group uint64) ([]faultinjection.CombinedTrial, error) {
		return faultinjection.CombinedFaults(t.Context(), faultinjection.TrialOptions{Program: os.Args[0], Dir: t.TempDir(), Seed: 7001 + 200*group, Trials: 2, Always: always, Out: io.Discard})
	}, func(t *testing.T, x faultinjection.CombinedTrial) {
		if x.Broken != "" {
			t.Errorf("seed %d: %v: %s", x.Seed, x.Faults, x.Broken)
		}
	})
}
