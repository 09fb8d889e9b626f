package faultinjection_test

import (
	"io"
	"os"
	"testing"

	"topazhollow/internal/faultinjection"
)

// TestMeetings: two or three drawn troubles overlap around one moment, below controller processes that are really
// killed and stopped, while users cancel jobs of long tasks. No rule breaks, and all that was not cancelled is done.
func TestMeetings(t *testing.T) {
	hold(t, 2, 3, func(t *testing.T, group uint64) ([]faultinjection.CombinedTrial, error) {
		return faultinjection.CombinedFaults(t.Context(), faultinjection.TrialOptions{Program: os.Args[0], Dir: t.TempDir(), Seed: 200 * group, Trials: 3, Out: io.Discard})
	}, func(t *testing.T, x faultinjection.CombinedTrial) {
		if len(x.Faults) < 2 {
			t.Errorf("seed %d: only %v met", x.Seed, x.Faults)
		}
		if x.Broken != "" {
			t.Errorf("seed %d: %v: %s", x.Seed, x.Faults, x.Broken)
		}
	})
}
