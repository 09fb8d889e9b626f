// Package cli implements the command topazhollowctl: it parses the command line, calls the packages that do the work,
// prints their results and maps their errors to exit codes. No other package sets an exit code.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/schollz/progressbar/v3"

	"topazhollow/internal/artifactreplication"
	"topazhollow/internal/artifactstore"
	"topazhollow/internal/snapshot"
)

// programName appears in the help and prefixes error messages.
const programName = "topazhollowctl"

// Exit codes; --help lists them too.
const (
	ExitFailed  = 1
	ExitUsage   = 2
	ExitPartial = 3
	ExitUnknown = 4
	ExitRefused = 5
	ExitUnsure  = 6
)

const about = `Operators' and users' command line of topazhollow.

Exit codes: 0 done; 1 failed; 2 invalid arguments or settings; 3 the output is partial because its agent never sealed it; 4 no such job, task, attempt or file; 5 the token was refused; 6 too few replicas answered for a definite result.`

type cli struct {
	Output string `enum:"text,json" default:"text" help:"Print text or JSON lines."`

	Demo       demoCmd       `cmd:"" help:"Run a complete deployment on this machine, submit a job and show its output, then a pipeline of three jobs."`
	Controller controllerCmd `cmd:"" hidden:"" help:"Run a controller (used by demo and simulate)."`

	Snapshot snapshotCmd `cmd:"" help:"Keep copies of the state service's data, and restore one after data loss (see docs/data-recovery.md)."`
	Recovery recoveryCmd `cmd:"" name:"recovery" aliases:"rebuild" help:"Show how the controllers restore data that the state service lost (see docs/data-recovery.md)."`

	Admission admissionCmd `cmd:"" help:"Show how scarce capacity is divided among teams and classes (see docs/admission.md)."`

	Pipeline pipelineCmd `cmd:"" help:"Show jobs that wait for others (see docs/pipelines.md)."`

	Config configCmd `cmd:"" help:"Change the teams' configuration while the controllers run (see docs/configuration.md)."`

	Simulate            simulateCmd            `cmd:"" name:"simulate" aliases:"rehearse" help:"Simulate failures and load on this machine."`
	FaultInjectionAgent faultInjectionAgentCmd `cmd:"" name:"fault-injection-agent" aliases:"drill-worker" hidden:"" help:"Run an agent process (used by simulate kills)."`

	SimulatedAgents simulatedAgentsCmd `cmd:"" name:"simulated-agents" aliases:"hollow-workers" hidden:"" help:"Run a process of simulated agents (used by simulate scale)."`

	Build         buildCmd         `cmd:"" help:"Serve build tools: content-addressable store and action cache of the Remote Execution API (see docs/remote-execution.md)."`
	ArtifactStore artifactStoreCmd `cmd:"" name:"artifact-store" aliases:"keep" help:"Store the output and files of tasks (see docs/keeper.md)."`
	Token         tokenCmd         `cmd:"" help:"Print a token for reading a job's output or for using a build instance, signed with the artifact store's key."`
	Attempts      attemptsCmd      `cmd:"" name:"attempts" help:"List a task's attempts."`
	Logs          logsCmd          `cmd:"" help:"Print a task's output."`
	Fetch         fetchCmd         `cmd:"" help:"Download the files that an attempt of a task produced."`
}

// commandContext holds what every command needs: its context, its output streams and the output format.
type commandContext struct {
	ctx      context.Context
	out, err io.Writer
	json     bool
}

// print prints a result: v as a line of JSON, or the formatted text, by the flag --output.
func (r *commandContext) print(v any, format string, args ...any) {
	if r.json {
		_ = json.NewEncoder(r.out).Encode(v) // a failed write to the output can't be reported
		return
	}
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Main runs a command line and returns the exit code.
func Main(ctx context.Context, args []string, out, errs io.Writer) (code int) {
	var c cli
	exitCode := -1 // set by kong for --help
	parser, err := kong.New(&c, kong.Name(programName), kong.Description(about), kong.Writers(out, errs), kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		fmt.Fprintln(errs, programName+":", err)
		return ExitUsage
	}
	parsed, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		fmt.Fprintln(errs, programName+":", err)
		return ExitUsage
	}
	err = parsed.Run(&commandContext{ctx: ctx, out: out, err: errs, json: c.Output == "json"})
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, programName+":", err)
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, artifactstore.ErrPartial):
		return ExitPartial
	case errors.Is(err, artifactstore.ErrUnknown), errors.Is(err, snapshot.ErrNone), errors.Is(err, errUnknownJob):
		return ExitUnknown
	case errors.Is(err, artifactstore.ErrToken):
		return ExitRefused
	case errors.Is(err, artifactstore.ErrUnsure):
		return ExitUnsure
	}
	return ExitFailed
}

var errUsage = errors.New("invalid arguments or settings")

// serverFlags are the flags of commands that run a server from a settings file.
type serverFlags struct {
	Check       bool `help:"Check the settings, then exit."`
	PrintConfig bool `help:"Print the effective settings, including defaults, then exit."`
}

// key returns the key in the environment, with which the caller runs its server. If key returns nil, the caller must
// not run the server: either the settings or the key are invalid, and key returns an error, or --print-config or
// --check was given, and key has printed the settings or the result of the check. err is the error of reading the
// settings.
func (f serverFlags) key(r *commandContext, set fmt.Stringer, err error) ([]byte, error) {
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	if f.PrintConfig {
		fmt.Fprint(r.out, set)
		return nil, nil
	}
	key, err := artifactreplication.KeyFromEnvironment()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	if f.Check {
		fmt.Fprintln(r.out, "ok")
		return nil, nil
	}
	return key, nil
}

// logger returns a logger that writes text to w, at the level in LOG_LEVEL.
func logger(w io.Writer) *slog.Logger {
	level := slog.LevelInfo
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// taskName is a task given as JOB/TASK on the command line.
type taskName struct {
	Job  string
	Task int
}

// UnmarshalText parses JOB/TASK.
func (t *taskName) UnmarshalText(b []byte) error {
	job, task, ok := strings.Cut(string(b), "/")
	n, err := strconv.Atoi(task)
	if !ok || job == "" || err != nil || n < 0 {
		return fmt.Errorf("%q is not JOB/TASK, for example job-000412/3", b)
	}
	t.Job, t.Task = job, n
	return nil
}

// taskOrJob is JOB/TASK, or JOB with Task -1.
type taskOrJob struct{ taskName }

// UnmarshalText parses JOB/TASK or JOB.
func (t *taskOrJob) UnmarshalText(b []byte) error {
	if strings.Contains(string(b), "/") {
		return t.taskName.UnmarshalText(b)
	}
	if t.Job, t.Task = string(b), -1; t.Job == "" {
		return errors.New("the job name is empty")
	}
	return nil
}

// readerFlags select the replicas of the artifact store to read from and the token to read with.
type readerFlags struct {
	Keeper string `env:"TOPAZ_KEEPER" default:"http://127.0.0.1:8800" placeholder:"URL" help:"Address of a replica of the artifact store, or several separated by commas (${env})."`
	Token  string `env:"TOPAZ_TOKEN" required:"" help:"Token for reading (${env})."`
}

func (f readerFlags) reader() *artifactstore.Reader {
	return &artifactstore.Reader{URL: f.Keeper, Token: f.Token}
}

type tokenCmd struct {
	Job      string        `arg:"" help:"Job whose output the token is for, for example job-000412; with --build the name of an instance."`
	Task     *int          `help:"Restrict the token to this task."`
	Build    bool          `help:"Make a token for an instance of the build server."`
	ValidFor time.Duration `name:"for" default:"12h" help:"How long the token is valid."`
}

func (c *tokenCmd) Run(r *commandContext) error {
	key, err := artifactreplication.KeyFromEnvironment()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	g := artifactstore.Grant{Right: artifactstore.Read, Job: c.Job, Task: c.Task, Until: time.Now().Add(c.ValidFor).UTC()}
	if c.Build {
		g.Right, g.Task = artifactstore.Build, nil
	}
	token := g.Token(key)
	r.print(map[string]any{"token": token, "job": c.Job, "until": g.Until}, "%s", token)
	return nil
}

type attemptsCmd struct {
	Target taskName `arg:"" name:"task" help:"Task, for example job-000412/3."`
	readerFlags
}

func (c *attemptsCmd) Run(r *commandContext) error {
	list, err := c.reader().Attempts(r.ctx, c.Target.Job, c.Target.Task)
	if err != nil && !errors.Is(err, artifactstore.ErrUnsure) {
		return err
	}
	for _, a := range list {
		exit := ""
		if a.Exit != nil {
			exit = fmt.Sprintf("exit %d %s", a.Exit.Code, a.Exit.Reason)
		}
		r.print(a, "%-22d %-8s %-16s %s", a.Number, a.State, a.Machine, exit)
	}
	return err
}

type logsCmd struct {
	Target  taskOrJob     `arg:"" name:"task" help:"Task, for example job-000412/3; with --failed a job."`
	Attempt uint64        `help:"Attempt to print; by default the final one, or the latest if none is final."`
	Stream  string        `default:"stdout" help:"Output stream to print."`
	Since   time.Duration `help:"Print only output newer than this, for example 10m."`
	Follow  bool          `help:"Keep printing until the attempt ends."`
	Failed  bool          `help:"Print the last ended attempt of each of the job's tasks that has no result."`
	readerFlags
}

// Run prints the output of one task, or of all failed tasks of a job.
func (c *logsCmd) Run(r *commandContext) error {
	if c.Failed != (c.Target.Task < 0) {
		return fmt.Errorf("%w: JOB/TASK is expected, or JOB with --failed", errUsage)
	}
	if c.Failed {
		return c.printFailed(r)
	}
	end, err := c.printStream(r, c.Target.Task, c.Attempt, "")
	switch {
	case err != nil:
		return err
	case end.State == artifactstore.StatePartial || end.State == artifactstore.StateOpen:
		return fmt.Errorf("%w: attempt %d of %s/%d", artifactstore.ErrPartial, end.Attempt, c.Target.Job, c.Target.Task)
	case end.State == artifactstore.StateUnsure:
		return fmt.Errorf("%w: attempt %d of %s/%d", artifactstore.ErrUnsure, end.Attempt, c.Target.Job, c.Target.Task)
	}
	return nil
}

// printFailed prints, for each task of the job without a final attempt, the output and exit of its last ended attempt.
// When too few replicas answer for a definite result, it continues with what they reported and returns the error at the
// end.
func (c *logsCmd) printFailed(r *commandContext) error {
	tasks, unsure := c.reader().Tasks(r.ctx, c.Target.Job)
	if unsure != nil && !errors.Is(unsure, artifactstore.ErrUnsure) {
		return unsure
	}
	for _, task := range tasks {
		list, err := c.reader().Attempts(r.ctx, c.Target.Job, task)
		if errors.Is(err, artifactstore.ErrUnsure) {
			unsure = err
		} else if err != nil {
			return err
		}
		var last *artifactstore.AttemptSummary
		for i, a := range list {
			if a.State == artifactstore.StateFinal {
				last = nil
				break
			}
			if a.State == artifactstore.StateSealed || a.State == artifactstore.StatePartial {
				last = &list[i]
			}
		}
		if last == nil {
			continue
		}
		r.print(last, "== %s/%d attempt %d on %s: %s, exit %d %s", last.Job, last.Task, last.Number, last.Machine, last.State, last.Exit.Code, last.Exit.Reason)
		if _, err := c.printStream(r, task, last.Number, "   "); err != nil {
			return err
		}
	}
	return unsure
}

// printStream prints one output stream of an attempt and returns the line that ends it. Attempt 0 selects the final or
// latest attempt.
func (c *logsCmd) printStream(r *commandContext, task int, attempt uint64, indent string) (artifactstore.Line, error) {
	q := artifactstore.Query{Attempt: attempt, Stream: c.Stream, Follow: c.Follow}
	if c.Since > 0 {
		q.Since = time.Now().Add(-c.Since)
	}
	end, err := c.reader().Logs(r.ctx, c.Target.Job, task, q, func(l artifactstore.Line) error {
		switch {
		case r.json:
			return json.NewEncoder(r.out).Encode(&l)
		case l.Record.Dropped != nil:
			gap := l.Record.Dropped
			_, err := fmt.Fprintf(r.out, "%s[%d bytes lost from %s to %s]\n", indent, gap.Bytes, gap.From.UTC().Format(time.TimeOnly), gap.To.UTC().Format(time.TimeOnly))
			return err
		}
		_, err := fmt.Fprintf(r.out, "%s%s\n", indent, l.Record.Data)
		return err
	})
	if err == nil && r.json {
		err = json.NewEncoder(r.out).Encode(&end)
	}
	return end, err
}

// progressBarMinBytes is the file size from which a download shows a progress bar.
const progressBarMinBytes = 8 << 20

type fetchCmd struct {
	Target  taskName `arg:"" name:"task" help:"Task, for example job-000412/3."`
	Dir     string   `arg:"" optional:"" default:"." help:"Directory to download to."`
	Attempt uint64   `help:"Attempt to download from; by default the final one, or the latest if none is final."`
	readerFlags
}

func (c *fetchCmd) Run(r *commandContext) error {
	reader := c.reader()
	m, final, err := reader.Manifest(r.ctx, c.Target.Job, c.Target.Task, c.Attempt)
	if err != nil {
		return err
	}
	for _, f := range m.Files {
		var bar *progressbar.ProgressBar
		err := reader.Fetch(r.ctx, m, f, c.Dir+"/"+f.Path, func(done, all int64) {
			if r.json || all < progressBarMinBytes {
				return
			}
			if bar == nil {
				bar = progressbar.NewOptions64(all, progressbar.OptionSetWriter(r.err), progressbar.OptionSetDescription(f.Path), progressbar.OptionShowBytes(true),
					progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish())
			}
			_ = bar.Set64(done) // a failure to draw the bar does not stop the download
		})
		if err != nil {
			return err
		}
		r.print(map[string]any{"path": f.Path, "blob": f.Digest, "attempt": m.Number, "final": final}, "%s", f.Path)
	}
	if !final {
		fmt.Fprintf(r.err, programName+": attempt %d is not the task's result\n", m.Number)
	}
	return nil
}
