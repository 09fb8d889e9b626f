package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/protocol"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

const (
	// pipelinesPerTrial is the number of users that submit a pipeline during the faults.
	pipelinesPerTrial = 3
	// firstPipelineJob is the lowest number of a job in a pipeline.
	firstPipelineJob = 100
	// firstPipelineUser separates the random sources of these users from those of the others.
	firstPipelineUser = 60
)

// pipelineUser submits a small pipeline during the faults and may cancel one of its jobs.
type pipelineUser struct {
	pipeline  *simulation.Pipeline
	rng       *rand.Rand
	cancels   int // position of the job that the user cancels; -1: none
	startWait time.Duration
	waits     time.Duration // from the start of the submissions to the cancellation
}

// newPipelineUser draws what a user does.
func (f *combinedFaults) newPipelineUser(number int) *pipelineUser {
	u := &pipelineUser{rng: f.userRand(uint64(firstPipelineUser + number)), cancels: -1}
	u.pipeline = simulation.DrawPipeline(u.rng, func(position int) *protocol.Submission {
		return arrayJob(firstPipelineJob+10*number+position, 1+position%2)
	})
	if u.rng.IntN(2) == 0 {
		u.cancels = u.rng.IntN(len(u.pipeline.Jobs))
	}
	u.startWait = time.Duration(u.rng.IntN(4000)) * time.Millisecond
	u.waits = time.Duration(u.rng.IntN(5000)) * time.Millisecond
	return u
}

// startPipelines starts the users that submit pipelines.
func (f *combinedFaults) startPipelines(ctx context.Context, group *errgroup.Group) {
	for number := range pipelinesPerTrial {
		user := f.newPipelineUser(number)
		f.pipelines = append(f.pipelines, user)
		group.Go(func() error {
			wait.For(ctx, user.startWait)
			return f.runPipeline(ctx, user)
		})
	}
}

// runPipeline submits a user's pipeline, cancels one of its jobs meanwhile if the user does, and then queries all
// controllers about all of the jobs.
func (f *combinedFaults) runPipeline(ctx context.Context, user *pipelineUser) error {
	group, during := errgroup.WithContext(ctx)
	first := user.pipeline.Jobs[0].UID
	group.Go(func() error {
		return f.withUserTimeout(during, "the pipeline of "+first+" is accepted", func(ctx context.Context) bool {
			return f.users.SubmitPipeline(ctx, user.rng, user.pipeline)
		})
	})
	if user.cancels >= 0 {
		group.Go(func() error { return f.cancelInPipeline(during, user) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, job := range user.pipeline.Jobs {
		f.users.AskEveryController(job, 1)
	}
	return nil
}

// cancelInPipeline cancels a job of a pipeline. The job may not be submitted yet when the cancellation is first
// requested; the request is then repeated.
func (f *combinedFaults) cancelInPipeline(ctx context.Context, user *pipelineUser) error {
	wait.For(ctx, user.waits)
	uid := user.pipeline.Jobs[user.cancels].UID
	rng := f.userRand(uint64(firstPipelineUser + pipelinesPerTrial + user.cancels))
	return f.withUserTimeout(ctx, uid+" is cancelled", func(ctx context.Context) bool { return f.users.CancelUntil(ctx, rng, uid) })
}

// countCancelledPipelines counts the pipelines of which a job was reported as cancelled.
func (f *combinedFaults) countCancelledPipelines() (count int) {
	ends := f.reportedEnds()
	for _, user := range f.pipelines {
		if slices.ContainsFunc(user.pipeline.Jobs, func(job *protocol.Submission) bool { return ends[job.UID] == protocol.Cancelled }) {
			count++
		}
	}
	return count
}

// reportedEnds returns the final state that users were told of each job.
func (f *combinedFaults) reportedEnds() map[string]protocol.JobState {
	ends := map[string]protocol.JobState{}
	for _, call := range f.users.Log().Calls() {
		if call.Status == 200 && (call.State == protocol.Done || call.State == protocol.Cancelled) {
			ends[call.Job] = call.State
		}
	}
	return ends
}

// checkPipelineEnds checks that a job that needs a cancelled one was cancelled too, and that one whose dependencies are
// done was not, unless its own user cancelled it.
func (f *combinedFaults) checkPipelineEnds() error {
	ends := f.reportedEnds()
	for _, user := range f.pipelines {
		for position, job := range user.pipeline.Jobs {
			needsCancelled := slices.ContainsFunc(job.Dependencies, func(uid string) bool { return ends[uid] == protocol.Cancelled })
			cancelled := ends[job.UID] == protocol.Cancelled
			if needsCancelled && !cancelled || cancelled && !needsCancelled && position != user.cancels {
				return fmt.Errorf("%s, which needs %v, is %s, and they are %v", job.UID, job.Dependencies, ends[job.UID], ends)
			}
		}
	}
	return nil
}
