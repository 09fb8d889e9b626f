// Package cli is what the command topazhollowctl does: it reads the command line, calls the packages that do the work,
// prints what they give and maps their errors to exit codes, here and nowhere else.
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

// programName stands in the help and before its errors.
const programName = "topazhollowctl"

// Exit codes, as --help lists them.
const (
	ExitFailed  = 1
	ExitUsage   = 2
	ExitPartial = 3
	ExitUnknown = 4
	ExitRefused = 5
	ExitUnsure  = 6
)

const about = `Operators' and users' command line of topazhollow.

Exit codes: 0 done; 1 failed; 2 wrong arguments or settings; 3 what was read is partial, its agent never sealed it; 4 there is no such task, attempt or file; 5 the token was refused; 6 too few replicas answered to be sure.`

type cli struct {
	Output string `enum:"text,json" default:"text" help:"Print text or JSON lines."`

	Demo       demoCmd       `cmd:"" help:"Run a whole region on this machine, with a job, and show its output."`
	Controller controllerCmd `cmd:"" hidden:"" help:"Run a controller, for demo."`

	Snapshot snapshotCmd `cmd:"" help:"Keep copies of the key-value store, and put one back after it lost data (see docs/data-recovery.md)."`
	Rebuild  recoveryCmd `cmd:"" name:"recovery" aliases:"rebuild" help:"See how the controllers rebuild what the key-value store lost (see docs/data-recovery.md)."`

	Admission admissionCmd `cmd:"" help:"See who gets how much of what is short (see docs/admission.md)."`

	Config configCmd `cmd:"" help:"Change the teams' configuration while the controllers run (see docs/configuration.md)."`

	Rehearse    simulateCmd            `cmd:"" name:"simulate" aliases:"rehearse" help:"Simulate failures and load on this machine."`
	DrillWorker faultInjectionAgentCmd `cmd:"" name:"fault-injection-agent" aliases:"drill-worker" hidden:"" help:"An agent's process, for simulate kills."`

	HollowWorkers simulatedAgentsCmd `cmd:"" name:"simulated-agents" aliases:"hollow-workers" hidden:"" help:"A process of simulated agents, for simulate scale."`

	Build buildCmd         `cmd:"" help:"Serve build tools: store and action cache of the Remote Execution API (see docs/remote-execution.md)."`
	Keep  artifactStoreCmd `cmd:"" name:"artifact-store" aliases:"keep" help:"Store tasks' output and files (see docs/keeper.md)."`
	Token tokenCmd         `cmd:"" help:"Print a token to read a job's output, or to use an instance for builds, made with the artifact store's key."`
	Tries attemptsCmd      `cmd:"" name:"attempts" help:"List a task's attempts."`
	Logs  logsCmd          `cmd:"" help:"Print a task's output."`
	Fetch fetchCmd         `cmd:"" help:"Copy the files that a task's attempt produced."`
}

// run is what a command has at hand.
type run struct {
	ctx      context.Context
	out, err io.Writer
	json     bool
}

func (r *run) print(v any, format string, args ...any) {
	if r.json {
		_ = json.NewEncoder(r.out).Encode(v) // nobody to tell that nobody reads
		return
	}
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Main carries out a command line and gives the exit code.
func Main(ctx context.Context, args []string, out, errs io.Writer) (code int) {
	var c cli
	ended := -1
	parser, err := kong.New(&c, kong.Name(programName), kong.Description(about), kong.Writers(out, errs), kong.Exit(func(code int) { ended = code }))
	if err != nil {
		fmt.Fprintln(errs, programName+":", err)
		return ExitUsage
	}
	k, err := parser.Parse(args)
	if ended >= 0 { // --help
		return ended
	}
	if err != nil {
		fmt.Fprintln(errs, programName+":", err)
		return ExitUsage
	}
	err = k.Run(&run{ctx: ctx, out: out, err: errs, json: c.Output == "json"})
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, programName+":", err)
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, artifactstore.ErrPartial):
		return ExitPartial
	case errors.Is(err, artifactstore.ErrUnknown), errors.Is(err, snapshot.ErrNone):
		return ExitUnknown
	case errors.Is(err, artifactstore.ErrToken):
		return ExitRefused
	case errors.Is(err, artifactstore.ErrUnsure):
		return ExitUnsure
	}
	return ExitFailed
}

var errUsage = errors.New("wrong arguments or settings")

// serverFlags are those of commands that run a server by a settings file.
type serverFlags struct {
	Check       bool `help:"Check the settings, then leave."`
	PrintConfig bool `help:"Print the settings in force, with defaults, then leave."`
}

// key gives the key to run a server with, or nil if there is no more to do, with the error
// if that is why; err is the one of reading the settings.
func (f serverFlags) key(r *run, set fmt.Stringer, err error) ([]byte, error) {
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

// logger is the programs' common log.
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

// taskName is JOB/TASK on the command line.
type taskName struct {
	Job  string
	Task int
}

// UnmarshalText reads JOB/TASK.
func (t *taskName) UnmarshalText(b []byte) error {
	job, task, ok := strings.Cut(string(b), "/")
	n, err := strconv.Atoi(task)
	if !ok || job == "" || err != nil || n < 0 {
		return fmt.Errorf("%q is not JOB/TASK, as job-000412/3", b)
	}
	t.Job, t.Task = job, n
	return nil
}

// taskOrJob is JOB/TASK, or JOB, whose Task is -1.
type taskOrJob struct{ taskName }

// UnmarshalText reads JOB/TASK or JOB.
func (t *taskOrJob) UnmarshalText(b []byte) error {
	if strings.Contains(string(b), "/") {
		return t.taskName.UnmarshalText(b)
	}
	if t.Job, t.Task = string(b), -1; t.Job == "" {
		return errors.New("a job is expected")
	}
	return nil
}

// from says which keeper to ask, and with what right.
type from struct {
	Keeper string `env:"TOPAZ_KEEPER" default:"http://127.0.0.1:8800" placeholder:"URL" help:"A replica's address, or several with commas between (${env})."`
	Token  string `env:"TOPAZ_TOKEN" required:"" help:"Token to read with (${env})."`
}

func (f from) reader() *artifactstore.Reader {
	return &artifactstore.Reader{URL: f.Keeper, Token: f.Token}
}

type tokenCmd struct {
	Job   string        `arg:"" help:"Job, as job-000412; with --build an instance."`
	Task  *int          `help:"Only this task."`
	Build bool          `help:"For an instance of the front for build tools."`
	For   time.Duration `default:"12h" help:"For how long it holds."`
}

func (c *tokenCmd) Run(r *run) error {
	key, err := artifactreplication.KeyFromEnvironment()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	g := artifactstore.Grant{Right: artifactstore.Read, Job: c.Job, Task: c.Task, Until: time.Now().Add(c.For).UTC()}
	if c.Build {
		g.Right, g.Task = artifactstore.Build, nil
	}
	token := g.Token(key)
	r.print(map[string]any{"token": token, "job": c.Job, "until": g.Until}, "%s", token)
	return nil
}

type attemptsCmd struct {
	Of taskName `arg:"" name:"task" help:"Task, as job-000412/3."`
	from
}

func (c *attemptsCmd) Run(r *run) error {
	list, err := c.reader().Attempts(r.ctx, c.Of.Job, c.Of.Task)
	if err != nil && !errors.Is(err, artifactstore.ErrUnsure) {
		return err
	}
	for _, a := range list {
		how := ""
		if a.Exit != nil {
			how = fmt.Sprintf("exit %d %s", a.Exit.Code, a.Exit.Reason)
		}
		r.print(a, "%-22d %-8s %-16s %s", a.Number, a.State, a.Machine, how)
	}
	return err
}

type logsCmd struct {
	Of      taskOrJob     `arg:"" name:"task" help:"Task, as job-000412/3; with --failed a job."`
	Attempt uint64        `help:"Which attempt; the final one, else the latest, if not given."`
	Stream  string        `default:"stdout" help:"Which of its streams."`
	Since   time.Duration `help:"Only what was put out in this time until now, as 10m."`
	Follow  bool          `help:"Go on while the attempt does."`
	Failed  bool          `help:"Of each of a job's tasks without a result, the last attempt that is over."`
	from
}

// Run prints one task's output, or that of a job's failed ones.
func (c *logsCmd) Run(r *run) error {
	if c.Failed != (c.Of.Task < 0) {
		return fmt.Errorf("%w: JOB/TASK is expected, or JOB with --failed", errUsage)
	}
	if c.Failed {
		return c.failed(r)
	}
	end, err := c.one(r, c.Of.Task, c.Attempt, "")
	switch {
	case err != nil:
		return err
	case end.State == artifactstore.StatePartial || end.State == artifactstore.StateOpen:
		return fmt.Errorf("%w: attempt %d of %s/%d", artifactstore.ErrPartial, end.Attempt, c.Of.Job, c.Of.Task)
	case end.State == artifactstore.StateUnsure:
		return fmt.Errorf("%w: attempt %d of %s/%d", artifactstore.ErrUnsure, end.Attempt, c.Of.Job, c.Of.Task)
	}
	return nil
}

// failed prints why a job's tasks have no result.
func (c *logsCmd) failed(r *run) error {
	tasks, unsure := c.reader().Tasks(r.ctx, c.Of.Job)
	if unsure != nil && !errors.Is(unsure, artifactstore.ErrUnsure) {
		return unsure
	}
	for _, task := range tasks {
		list, err := c.reader().Attempts(r.ctx, c.Of.Job, task)
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
		if _, err := c.one(r, task, last.Number, "   "); err != nil {
			return err
		}
	}
	return unsure
}

// one prints an attempt's stream.
func (c *logsCmd) one(r *run, task int, attempt uint64, indent string) (artifactstore.Line, error) {
	q := artifactstore.Query{Attempt: attempt, Stream: c.Stream, Follow: c.Follow}
	if c.Since > 0 {
		q.Since = time.Now().Add(-c.Since)
	}
	end, err := c.reader().Logs(r.ctx, c.Of.Job, task, q, func(l artifactstore.Line) error {
		switch {
		case r.json:
			return json.NewEncoder(r.out).Encode(&l)
		case l.Record.Dropped != nil:
			h := l.Record.Dropped
			_, err := fmt.Fprintf(r.out, "%s[%d bytes lost from %s to %s]\n", indent, h.Bytes, h.From.UTC().Format(time.TimeOnly), h.To.UTC().Format(time.TimeOnly))
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

// longTransfer is from how many bytes on a file's transfer is shown as a bar.
const longTransfer = 8 << 20

type fetchCmd struct {
	Of      taskName `arg:"" name:"task" help:"Task, as job-000412/3."`
	Dir     string   `arg:"" optional:"" default:"." help:"Directory to copy to."`
	Attempt uint64   `help:"Which attempt; the final one, else the latest, if not given."`
	from
}

func (c *fetchCmd) Run(r *run) error {
	k := c.reader()
	m, final, err := k.Manifest(r.ctx, c.Of.Job, c.Of.Task, c.Attempt)
	if err != nil {
		return err
	}
	for _, f := range m.Files {
		var bar *progressbar.ProgressBar
		err := k.Fetch(r.ctx, m, f, c.Dir+"/"+f.Path, func(done, all int64) {
			if r.json || all < longTransfer {
				return
			}
			if bar == nil {
				bar = progressbar.NewOptions64(all, progressbar.OptionSetWriter(r.err), progressbar.OptionSetDescription(f.Path), progressbar.OptionShowBytes(true),
					progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish())
			}
			_ = bar.Set64(done) // a bar that can't be drawn is no reason to stop
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
