package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"

	"topazhollow/internal/protocol"
)

// pipelineExamples are the jobs of demo's pipeline. Each needs the one before, and fails if that has left no file for it
// in the directory that SHARED names.
var pipelineExamples = []*example{
	shellExample("fetch", `sleep 0.5; printf 'tile 3\ntile 1\ntile 2\n' > $SHARED/fetched; echo "fetched 3 tiles"`),
	shellExample("clean", `sleep 0.5; sort $SHARED/fetched > $SHARED/cleaned && echo "cleaned 3 tiles"`),
	shellExample("publish", `sleep 0.5; echo "published $(paste -s -d, $SHARED/cleaned)"; test -s $SHARED/cleaned`),
}

// shellExample returns a job of one small task that runs a shell script.
func shellExample(name, script string) *example {
	return &example{Name: name, Tasks: 1, CPUs: 1, Memory: 1, Estimate: 1, Command: []string{"/bin/sh", "-c", script}}
}

// demoPipeline is a pipeline in a region: each job needs the one before.
type demoPipeline struct {
	region *region
	out    io.Writer
	jobs   []*demo
}

// newDemoPipeline returns the pipeline that runs the examples, with their jobs' IDs from firstPipelineJob on.
func newDemoPipeline(region *region, out io.Writer) *demoPipeline {
	p := &demoPipeline{region: region, out: out}
	for i, e := range pipelineExamples {
		spec := e.submission(pipelineJob(i))
		if i > 0 {
			spec.Dependencies = []string{pipelineJob(i - 1)}
		}
		p.jobs = append(p.jobs, newDemo(region, out, spec))
	}
	return p
}

// pipelineJob returns the ID of a job of the pipeline.
func pipelineJob(i int) string { return fmt.Sprintf("job-%06d", firstPipelineJob+i) }

// run submits all jobs at once, shows their states until they are done, and the output of the last one.
func (p *demoPipeline) run(ctx context.Context) error {
	fmt.Fprintln(p.out, "a pipeline of three jobs, each of which needs the one before:")
	for _, job := range p.jobs {
		if err := job.submit(ctx); err != nil {
			return err
		}
	}
	if err := p.followStates(ctx); err != nil {
		return err
	}
	fmt.Fprintln(p.out, "each began only when the one before was done")
	return p.jobs[len(p.jobs)-1].showLog(ctx)
}

// followStates prints each change of a job's state until all are done. It fails if a job began before the one that it
// needs was done.
func (p *demoPipeline) followStates(ctx context.Context) error {
	var known []protocol.JobState
	allDone := func() bool {
		return !slices.ContainsFunc(known, func(s protocol.JobState) bool { return s != protocol.Done })
	}
	for known == nil || !allDone() {
		states, err := p.readStates(ctx)
		if err != nil {
			return err
		}
		for i, job := range p.jobs {
			if known == nil || known[i] != states[i] {
				fmt.Fprintf(p.out, "  %s %s: %s\n", job.spec.UID, job.spec.Class, states[i])
			}
		}
		if err := checkOrder(p.jobs, states); err != nil {
			return err
		}
		known = states
	}
	return nil
}

// readStates reads the jobs' states, last job first: if a job has begun, those before it must be read as done later.
func (p *demoPipeline) readStates(ctx context.Context) ([]protocol.JobState, error) {
	states := make([]protocol.JobState, len(p.jobs))
	for i, job := range slices.Backward(p.jobs) {
		if err := p.region.waitUntil(ctx, "the state of "+job.spec.UID, func() bool {
			status, answer := p.region.request(ctx, http.MethodGet, protocol.PathSubmit+"/"+job.spec.UID, nil)
			states[i] = answer.State
			return status == http.StatusOK
		}); err != nil {
			return nil, err
		}
	}
	return states, nil
}

// checkOrder checks states that were read last job first.
func checkOrder(jobs []*demo, states []protocol.JobState) error {
	for i, state := range states {
		switch {
		case state == protocol.Cancelled:
			return fmt.Errorf("%s is %s, but nobody cancelled it", jobs[i].spec.UID, state)
		case i > 0 && state != protocol.Pending && states[i-1] != protocol.Done:
			return fmt.Errorf("%s is %s before %s is done", jobs[i].spec.UID, state, jobs[i-1].spec.UID)
		}
	}
	return nil
}
