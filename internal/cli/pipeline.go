package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"topazhollow/internal/controller"
)

// Bounds of reading a pipeline from a controller.
const (
	pipelineTimeout  = 5 * time.Second
	maxPipelineBytes = 8 << 20
)

// maxNamedJobs is how many of the jobs that another one waits for are printed by name.
const maxNamedJobs = 5

// errUnknownJob means that the controllers that answered know no such job.
var errUnknownJob = errors.New("no such job")

type pipelineCmd struct {
	Show pipelineShowCmd `cmd:"" help:"Show a job, those that it needs and those that need it: state, what each waits for, deadline, priority and expected end."`
}

type pipelineShowCmd struct {
	Job         string   `arg:"" help:"Job, for example job-000412."`
	Controllers []string `arg:"" name:"host:port" help:"Public addresses of the controllers; they are asked in turn until one answers."`
	JSON        bool     `name:"json" help:"Print the answer as it came."`
}

// Run prints the pipeline as the first controller that knows the job describes it.
func (c *pipelineShowCmd) Run(r *commandContext) error {
	answer, err := c.fetch(r)
	if err != nil {
		return err
	}
	if c.JSON || r.json {
		_, err := fmt.Fprintf(r.out, "%s\n", answer)
		return err
	}
	var view controller.PipelineView
	if err := json.Unmarshal(answer, &view); err != nil {
		return err
	}
	return printPipeline(r.out, &view)
}

// fetch asks the controllers in turn until one knows the job.
func (c *pipelineShowCmd) fetch(r *commandContext) ([]byte, error) {
	unknown := false
	for _, addr := range c.Controllers {
		answer, err := fetchPipeline(r.ctx, addr, c.Job)
		if err == nil {
			return answer, nil
		}
		unknown = unknown || errors.Is(err, errUnknownJob)
		fmt.Fprintf(r.err, programName+": %s: %v\n", addr, err)
	}
	if unknown {
		return nil, fmt.Errorf("%w: %s", errUnknownJob, c.Job)
	}
	return nil, errors.New("no controller answered")
}

// fetchPipeline returns a controller's answer about the pipeline of a job.
func fetchPipeline(ctx context.Context, addr, job string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pipelineTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/pipelines/"+url.PathEscape(job), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxPipelineBytes))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusNotFound:
		return nil, errUnknownJob
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	case !json.Valid(answer):
		return nil, errors.New("the answer is not JSON")
	}
	return answer, nil
}

// printPipeline prints a line for each job, after those of the jobs that it needs and indented deeper than them.
func printPipeline(out io.Writer, view *controller.PipelineView) error {
	cut := ""
	if view.Cut {
		cut = "; there are more, or more edges between them"
	}
	fmt.Fprintf(out, "pipeline of %s as %s knows it: %d jobs%s\n", view.Job, view.Node, len(view.Jobs), cut)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "job\tstate\tteam\tclass\tdone\trunning\tpriority\tdeadline\texpected end\twaits for")
	for _, line := range pipelineLines(view.Jobs) {
		job := line.job
		fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\t%d of %d\t%d\t%s\t%s\t%s\t%s\n",
			strings.Repeat("  ", line.depth), job.UID, job.State, orDash(job.Team), orDash(job.Class), job.Done, job.Tasks, job.Running,
			orDash(job.Priority), timeOrDash(job.Deadline), timeOrDash(job.ExpectedEnd), namedJobs(job.WaitsFor))
	}
	return w.Flush()
}

// pipelineLine is a job with the length of the longest chain of listed jobs before it.
type pipelineLine struct {
	job   *controller.PipelineJob
	depth int
}

// pipelineLines orders jobs so that each follows all those that it needs, and, where that allows it, directly follows
// the last of them.
func pipelineLines(jobs []controller.PipelineJob) (lines []pipelineLine) {
	open := map[string]int{} // listed jobs that a job needs and that have no line yet
	dependents := map[string][]*pipelineLine{}
	all := make([]pipelineLine, len(jobs))
	for i := range jobs {
		open[jobs[i].UID] = 0
		all[i].job = &jobs[i]
	}
	var next []*pipelineLine // the last one is the next
	for i := range slices.Backward(all) {
		line := &all[i]
		for _, needed := range line.job.Needs {
			if _, listed := open[needed]; listed {
				open[line.job.UID]++
				dependents[needed] = append(dependents[needed], line)
			}
		}
		if open[line.job.UID] == 0 {
			next = append(next, line)
		}
	}
	for len(next) > 0 {
		line := next[len(next)-1]
		next = next[:len(next)-1]
		lines = append(lines, *line)
		for _, dependent := range dependents[line.job.UID] {
			dependent.depth = max(dependent.depth, line.depth+1)
			if open[dependent.job.UID]--; open[dependent.job.UID] == 0 {
				next = append(next, dependent)
			}
		}
	}
	return lines
}

// namedJobs lists jobs by name, only the first ones of many.
func namedJobs(uids []string) string {
	if len(uids) == 0 {
		return "-"
	}
	if more := len(uids) - maxNamedJobs; more > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(uids[:maxNamedJobs], " "), more)
	}
	return strings.Join(uids, " ")
}

// orDash returns a text, and a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// timeOrDash returns a time by RFC 3339, and a dash if there is none.
func timeOrDash(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.Format(time.RFC3339)
}
