package faultinjection_test

import (
	"fmt"
	"testing"
)

// runTrialGroups runs groups of trials in parallel, each with its own seed, and passes each trial to check.
func runTrialGroups[T any](t *testing.T, groups, trials int, runGroup func(t *testing.T, group uint64) ([]T, error), check func(t *testing.T, trial T)) {
	for i := range uint64(groups) {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			got, err := runGroup(t, i)
			if err != nil || len(got) != trials {
				t.Fatal(len(got), err)
			}
			for _, x := range got {
				check(t, x)
			}
		})
	}
}
