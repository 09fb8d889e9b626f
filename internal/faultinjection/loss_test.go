package faultinjection_test

import (
	"io"
	"os"
	"testing"

	"topazhollow/internal/faultinjection"
)

// TestLosses: the key-value store loses data in a dozen drawn ways, with troubles beside it,
// below three controller processes that are really killed. Nothing that was accepted, done
// or cancelled is forgotten, and nothing runs twice.
func TestLosses(t *testing.T) {
	hold(t, 3, 4, func(t *testing.T, group uint64) ([]faultinjection.LossTrial, error) {
		return faultinjection.Losses(t.Context(), faultinjection.TrialOptions{Program: os.Args[0], Dir: t.TempDir(), Seed: 100 * group, Trials: 4, Out: io.Discard})
	}, func(t *testing.T, x faultinjection.LossTrial) {
		if x.Broken != "" {
			t.Errorf("seed %d: %s, %s: %s", x.Seed, x.Loss, x.Trouble, x.Broken)
		}
	})
}
