package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"topazhollow"
	"topazhollow/internal/artifactstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/tomlfile"
)

// controllerCmd runs a controller as cmd/topazhollow does, so that demo needs no other program than its own.
type controllerCmd struct {
	Config string `required:""`
	Script string
}

func (c *controllerCmd) Run(r *commandContext) error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	o, err := settings.LoadScript(c.Script)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return topazhollow.Run(r.ctx, s, o, logger(r.err))
}

type demoCmd struct {
	Job         string        `default:"examples/grades.toml" help:"Job to run (TOML)."`
	KeepRunning bool          `name:"stay" help:"Keep running afterwards, and print addresses and commands to try."`
	Timeout     time.Duration `name:"most" default:"2m" help:"Give up after this time."`
}

// example is a job that demo runs.
type example struct {
	Name     string   `toml:"name"`
	Tasks    int      `toml:"tasks"`
	CPUs     float64  `toml:"cpus"`
	Memory   float64  `toml:"memory_gb"`
	Estimate float64  `toml:"estimate_s"`
	Command  []string `toml:"command"`
	Files    []string `toml:"files"`
}

func loadExample(path string) (*example, error) {
	e := &example{Tasks: 1, CPUs: 1, Memory: 1, Estimate: 10}
	if err := tomlfile.Load(path, e); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	switch {
	case len(e.Command) == 0:
		return nil, fmt.Errorf("%w: %s: field command: a program and its arguments are expected", errUsage, path)
	case e.Tasks < 1 || e.Tasks > 100 || !(e.CPUs > 0 && e.CPUs <= 8) || !(e.Memory > 0 && e.Memory <= 64):
		return nil, fmt.Errorf("%w: %s: 1 to 100 tasks of up to 8 CPUs and 64 GB are expected", errUsage, path)
	}
	return e, nil
}

// Run runs the example's job and shows its acceptance, output, end and files as a user would see them, and then a
// pipeline of small jobs.
func (c *demoCmd) Run(r *commandContext) (err error) {
	e, err := loadExample(c.Job)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, c.Timeout)
	defer cancel()
	region, err := newRegion(ctx, demoExamples(e))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, region.close()) }()
	fmt.Fprintf(r.out, "three controllers at %s, artifact store at %s\n", strings.Join(region.listen, ", "), region.storeURL)
	d, pipeline := newDemo(region, r.out, e.submission(demoJob)), newDemoPipeline(region, r.out)
	for _, step := range []func(context.Context) error{d.submit, d.showLog, d.waitUntilDone, d.showFiles, pipeline.run} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if violations := region.checker.BrokenRules(); len(violations) > 0 {
		return fmt.Errorf("rules violated: %v", violations)
	}
	if c.KeepRunning {
		cancel()
		d.printNextSteps()
		<-r.ctx.Done()
	}
	return nil
}

// IDs of demo's jobs.
const (
	demoJob          = "job-000001"
	firstPipelineJob = 2 // the number in the ID
)

// demoExamples returns what demo's jobs run, by their IDs: the given example, then those of the pipeline.
func demoExamples(e *example) map[string]*example {
	examples := map[string]*example{demoJob: e}
	for i, step := range pipelineExamples {
		examples[pipelineJob(i)] = step
	}
	return examples
}

// submission returns the example as a user submits it.
func (e *example) submission(uid string) *protocol.Submission {
	return &protocol.Submission{
		UID:             uid,
		Class:           e.Name,
		Team:            demoTeam,
		Kind:            protocol.JobArray,
		Priority:        "standard",
		Tasks:           e.Tasks,
		CPUs:            e.CPUs,
		MemoryGB:        e.Memory,
		Image:           e.Name,
		EstimateSeconds: e.Estimate,
		Spot:            true,
	}
}

// demo is a job in a region, with a reader of its output.
type demo struct {
	region *region
	out    io.Writer
	spec   *protocol.Submission
	reader *artifactstore.Reader
}

// newDemo returns a job in a region, with a token to read its output.
func newDemo(region *region, out io.Writer, spec *protocol.Submission) *demo {
	read := artifactstore.Grant{Right: artifactstore.Read, Job: spec.UID, Until: time.Now().Add(24 * time.Hour)}
	reader := &artifactstore.Reader{URL: region.storeURL, Token: read.Token(region.key)}
	return &demo{region: region, out: out, spec: spec, reader: reader}
}

// submit submits the job and waits until a controller has accepted it.
func (d *demo) submit(ctx context.Context) error {
	d.region.checker.RecordSubmission(d.spec)
	if err := d.region.waitUntil(ctx, "the job to be accepted", func() bool {
		status, _ := d.region.request(ctx, "POST", protocol.PathSubmit, d.spec)
		return status == 200 || status == 201
	}); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%s accepted: %d tasks of %s\n", d.spec.UID, d.spec.Tasks, d.spec.Class)
	return nil
}

// showLog prints the output of the job's first task until the task ends.
func (d *demo) showLog(ctx context.Context) error {
	if err := d.region.waitUntil(ctx, "output of its first task", func() bool {
		list, err := d.reader.Attempts(ctx, d.spec.UID, 0)
		return err == nil && len(list) > 0
	}); err != nil {
		return err
	}
	printLine := func(l artifactstore.Line) error {
		_, err := fmt.Fprintf(d.out, "  %s/0 | %s\n", d.spec.UID, l.Record.Data)
		return err
	}
	end, err := d.reader.Logs(ctx, d.spec.UID, 0, artifactstore.Query{Follow: true}, printLine)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "end of its log: attempt %d is %s\n", end.Attempt, end.State)
	return nil
}

// waitUntilDone waits until a controller reports the job as done.
func (d *demo) waitUntilDone(ctx context.Context) error {
	if err := d.region.waitUntil(ctx, "the job to be done", func() bool {
		status, st := d.region.request(ctx, "GET", protocol.PathSubmit+"/"+d.spec.UID, nil)
		return status == 200 && st.State == protocol.Done
	}); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%s is done\n", d.spec.UID)
	return nil
}

// showFiles fetches the files that each task produced and prints them.
func (d *demo) showFiles(ctx context.Context) error {
	for task := range d.spec.Tasks {
		m, final, err := d.reader.Manifest(ctx, d.spec.UID, task, 0)
		if err != nil {
			return err
		}
		if !final {
			return fmt.Errorf("task %d is done without a final result", task)
		}
		for _, f := range m.Files {
			to := filepath.Join(d.region.dir, "fetched", f.Path)
			if err := d.reader.Fetch(ctx, m, f, to, nil); err != nil {
				return err
			}
			content, err := os.ReadFile(to)
			if err != nil {
				return err
			}
			fmt.Fprintf(d.out, "  %s/%d %s: %s\n", d.spec.UID, task, f.Path, bytes.TrimSpace(content))
		}
	}
	return nil
}

// printNextSteps prints commands to try while the region keeps running.
func (d *demo) printNextSteps() {
	uid := d.spec.UID
	fmt.Fprintf(d.out, "\nstill running; stop with Ctrl-C. Commands to try:\n  export TOPAZ_KEEPER=%s TOPAZ_TOKEN=%s\n",
		d.region.storeURL, d.reader.Token)
	fmt.Fprintf(d.out, "  topazhollowctl logs %s/1\n  topazhollowctl attempts %s/1\n", uid, uid)
	fmt.Fprintf(d.out, "  topazhollowctl fetch %s/1 /tmp/profiles\n  topazhollowctl pipeline show %s %s\n  curl http://%s/overview\n",
		uid, pipelineJob(1), d.region.listen[0], d.region.listen[0])
}
