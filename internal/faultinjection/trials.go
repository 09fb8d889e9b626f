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

// TrialOptions is the choices of a simulation of drawn trials.
type TrialOptions struct {
	Program string // that runs a controller by "controller --config FILE --script FILE"
	Dir     string
	Seed    uint64
	Trials  int
	AtOnce  int       // regions at the same time; one if 0
	Out     io.Writer // told of each trial
}

// runTrials carries out trials, some at the same time, and tells what came of each.
func runTrials(ctx context.Context, trials, atOnce int, out io.Writer, trial func(ctx context.Context, i int) (told string, err error)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, atOnce))
	var telling sync.Mutex
	for i := range trials {
		group.Go(func() error {
			told, err := trial(ctx, i)
			if err != nil {
				return err
			}
			telling.Lock()
			defer telling.Unlock()
			fmt.Fprintln(out, told)
			return nil
		})
	}
	return group.Wait()
}

// verdictOf is a trial's verdict; what one that holds has written is not kept.
func verdictOf(dir, broken string) (verdict string, err error) {
	if broken != "" {
		return "BROKEN: " + broken, nil
	}
	return "holds", os.RemoveAll(dir)
}

// arrayJob is a job of small tasks, of the one team and the other in turn.
func arrayJob(number, tasks int) *protocol.Submission {
	return &protocol.Submission{UID: fmt.Sprintf("job-%06d", number), Class: "c", Team: []string{"red", "blue"}[number%2], Kind: protocol.JobArray, Priority: "standard",
		Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "img", EstimateSeconds: 1, Spot: true}
}
