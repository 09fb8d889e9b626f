package faultinjection

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/protocol"
)

// TrialOptions are the parameters of a series of random trials.
type TrialOptions struct {
	Program string // runs a controller when called with "controller --config FILE --script FILE"
	Dir     string
	Seed    uint64
	Trials  int
	AtOnce  int       // concurrent regions; one if 0
	Always  []string  // names of faults that every trial has, beside the drawn ones
	Out     io.Writer // receives a line about each trial
}

// runTrials runs trials, up to atOnce concurrently, and prints the outcome of each.
func runTrials(ctx context.Context, trials, atOnce int, out io.Writer, trial func(ctx context.Context, i int) (outcome string, err error)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, atOnce))
	var outMu sync.Mutex
	for i := range trials {
		group.Go(func() error {
			outcome, err := trial(ctx, i)
			if err != nil {
				return err
			}
			outMu.Lock()
			defer outMu.Unlock()
			fmt.Fprintln(out, outcome)
			return nil
		})
	}
	return group.Wait()
}

// trialVerdict returns a trial's verdict and deletes the files of a trial without violations.
func trialVerdict(dir, broken string) (verdict string, err error) {
	if broken != "" {
		return "BROKEN: " + broken, nil
	}
	return "holds", os.RemoveAll(dir)
}

// arrayJob returns an array job of small tasks. Even numbers belong to team red, odd ones to team blue.
func arrayJob(number, tasks int) *protocol.Submission {
	return &protocol.Submission{UID: fmt.Sprintf("job-%06d", number), Class: "c", Team: []string{"red", "blue"}[number%2], Kind: protocol.JobArray, Priority: "standard",
		Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "img", EstimateSeconds: 1, Spot: true}
}
