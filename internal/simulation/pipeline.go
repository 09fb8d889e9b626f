package simulation

import (
	"context"
	"math/rand/v2"

	"topazhollow/internal/protocol"
)

// Pipeline is a group of jobs that need one another. Each job names only earlier ones.
type Pipeline struct {
	Jobs []*protocol.Submission
	// LastAfterOthers says that the last job is submitted only once all others have ended.
	LastAfterOthers bool
}

// pipelineShapes lists, for each shape of a pipeline, the positions of the jobs that each job needs.
var pipelineShapes = map[string][][]int{
	"chain":   {{}, {0}, {1}},
	"fan out": {{}, {0}, {0}, {0}},
	"fan in":  {{}, {}, {}, {0, 1, 2}},
	"diamond": {{}, {0}, {0}, {1, 2}},
}

// pipelineShapeNames are the shapes in a fixed order, so that draws repeat.
var pipelineShapeNames = []string{"chain", "fan out", "fan in", "diamond"}

// oneInLast is the share of pipelines, one in so many, whose last job is submitted after the others have ended.
const oneInLast = 4

// DrawPipeline returns a pipeline of a random shape; newJob returns its jobs by their positions.
func DrawPipeline(rng *rand.Rand, newJob func(position int) *protocol.Submission) *Pipeline {
	shape := pipelineShapeNames[rng.IntN(len(pipelineShapeNames))]
	p := &Pipeline{Jobs: PipelineOf(shape, newJob)}
	p.LastAfterOthers = rng.IntN(oneInLast) == 0
	return p
}

// PipelineOf returns the jobs of a pipeline of a shape: "chain", "fan out", "fan in" or "diamond".
func PipelineOf(shape string, newJob func(position int) *protocol.Submission) (jobs []*protocol.Submission) {
	for position, needed := range pipelineShapes[shape] {
		job := newJob(position)
		for _, earlier := range needed {
			job.Dependencies = append(job.Dependencies, jobs[earlier].UID)
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// SubmitPipeline submits the jobs of a pipeline in their order, each until it is accepted. It returns false if the
// context ended first.
func (u *Users) SubmitPipeline(ctx context.Context, rng *rand.Rand, p *Pipeline) bool {
	last := len(p.Jobs) - 1
	for i, job := range p.Jobs {
		if i == last && p.LastAfterOthers && !u.awaitEnds(ctx, rng, p.Jobs[:last]) {
			return false
		}
		if !u.SubmitUntil(ctx, rng, job) {
			return false
		}
	}
	return true
}

// awaitEnds queries jobs until each is done or cancelled. It returns false if the context ended first.
func (u *Users) awaitEnds(ctx context.Context, rng *rand.Rand, jobs []*protocol.Submission) bool {
	for _, job := range jobs {
		if !u.AwaitEnd(ctx, rng, job.UID) {
			return false
		}
	}
	return true
}
