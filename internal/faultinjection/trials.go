package faultinjection

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/protocol"
	"topazhollow/internal/simulation"
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

// gangImage is the image of gangs, which machines take longer or shorter to fetch.
const gangImage = "img-gang"

// gangJob returns a gang of small tasks, of the same teams as arrayJob.
func gangJob(number, tasks int) *protocol.Submission {
	job := arrayJob(number, tasks)
	job.Kind, job.Image, job.ImageGB = protocol.Gang, gangImage, 10
	return job
}

// drawnImages returns how agents fetch images and start gangs. Each machine has all images but that of gangs, which it
// has as well or takes up to twice as long to fetch as a task waits for its gang.
func drawnImages(seed uint64) *simulation.ImageConfig {
	fetch := func(machine, image string) time.Duration {
		if image != gangImage {
			return 0
		}
		digest := fnv.New64a()
		digest.Write([]byte(machine))
		drawn := rand.New(rand.NewPCG(seed, digest.Sum64()))
		if drawn.IntN(3) == 0 {
			return 0
		}
		return time.Duration(drawn.Int64N(int64(2 * gangWait)))
	}
	return &simulation.ImageConfig{Fetch: fetch, GangWait: gangWait, GangPeer: gangPeer, Gangs: simulation.NewGangs()}
}

// arrayJob returns an array job of small tasks. Even numbers belong to team red, odd ones to team blue.
func arrayJob(number, tasks int) *protocol.Submission {
	return &protocol.Submission{UID: fmt.Sprintf("job-%06d", number), Class: "c", Team: []string{"red", "blue"}[number%2], Kind: protocol.JobArray, Priority: "standard",
		Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "img", EstimateSeconds: 1, Spot: true}
}
