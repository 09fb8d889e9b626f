// Package topaz is what the command topaz does.
package topaz

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

	"topazhollow/internal/keeper"
)

// Exit codes, as --help lists them.
const (
	ExitFailed  = 1
	ExitUsage   = 2
	ExitPartial = 3
	ExitUnknown = 4
	ExitRefused = 5
)

const about = `Operators' and users' command line of topazhollow.

Exit codes: 0 done; 1 failed; 2 wrong arguments or settings; 3 what was read is partial, its worker never sealed it; 4 there is no such task, attempt or file; 5 the token was refused.`

type cli struct {
	Output string `enum:"text,json" default:"text" help:"Print text or JSON lines."`

	Demo       demoCmd       `cmd:"" help:"Run a whole region on this machine, with a job, and show its output."`
	Controller controllerCmd `cmd:"" hidden:"" help:"Run a controller, for demo."`

	Keep  keepCmd  `cmd:"" help:"Keep tasks' output and files (see docs/keeper.md)."`
	Token tokenCmd `cmd:"" help:"Print a token to read a job's output, made with the keeper's key."`
	Tries triesCmd `cmd:"" name:"attempts" help:"List a task's attempts."`
	Logs  logsCmd  `cmd:"" help:"Print a task's output."`
	Fetch fetchCmd `cmd:"" help:"Copy the files that a task's attempt produced."`
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
	parser, err := kong.New(&c, kong.Name("topaz"), kong.Description(about), kong.Writers(out, errs), kong.Exit(func(code int) { ended = code }))
	if err != nil {
		fmt.Fprintln(errs, "topaz:", err)
		return ExitUsage
	}
	k, err := parser.Parse(args)
	if ended >= 0 { // --help
		return ended
	}
	if err != nil {
		fmt.Fprintln(errs, "topaz:", err)
		return ExitUsage
	}
	err = k.Run(&run{ctx: ctx, out: out, err: errs, json: c.Output == "json"})
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, "topaz:", err)
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, keeper.ErrPartial):
		return ExitPartial
	case errors.Is(err, keeper.ErrUnknown):
		return ExitUnknown
	case errors.Is(err, keeper.ErrToken):
		return ExitRefused
	}
	return ExitFailed
}

var errUsage = errors.New("wrong arguments or settings")

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

// from says which keeper to ask, and with what right.
type from struct {
	Keeper string `env:"TOPAZ_KEEPER" default:"http://127.0.0.1:8800" placeholder:"URL" help:"The keeper's address (${env})."`
	Token  string `env:"TOPAZ_TOKEN" required:"" help:"Token to read with (${env})."`
}

func (f from) reader() *keeper.Reader { return &keeper.Reader{URL: f.Keeper, Token: f.Token} }

type tokenCmd struct {
	Job  string        `arg:"" help:"Job, as job-000412."`
	Task *int          `help:"Only this task."`
	For  time.Duration `default:"12h" help:"For how long it holds."`
}

func (c *tokenCmd) Run(r *run) error {
	key, err := keeper.KeyFromEnvironment()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	g := keeper.Grant{Right: keeper.Read, Job: c.Job, Task: c.Task, Until: time.Now().Add(c.For).UTC()}
	token := g.Token(key)
	r.print(map[string]any{"token": token, "job": c.Job, "until": g.Until}, "%s", token)
	return nil
}

type triesCmd struct {
	Of taskName `arg:"" name:"task" help:"Task, as job-000412/3."`
	from
}

func (c *triesCmd) Run(r *run) error {
	list, err := c.reader().Attempts(r.ctx, c.Of.Job, c.Of.Task)
	if err != nil {
		return err
	}
	for _, a := range list {
		state := a.State()
		r.print(map[string]any{"job": a.Job, "task": a.Task, "attempt": a.Number, "machine": a.Machine, "state": state},
			"%-22d %-8s %s", a.Number, state, a.Machine)
	}
	return nil
}

type logsCmd struct {
	Of      taskName      `arg:"" name:"task" help:"Task, as job-000412/3."`
	Attempt uint64        `help:"Which attempt; the final one, else the latest, if not given."`
	Stream  string        `default:"stdout" help:"Which of its streams."`
	Since   time.Duration `help:"Only what was put out in this time until now, as 10m."`
	Follow  bool          `help:"Go on while the attempt does."`
	from
}

func (c *logsCmd) Run(r *run) error {
	q := keeper.Query{Attempt: c.Attempt, Stream: c.Stream, Follow: c.Follow}
	if c.Since > 0 {
		q.Since = time.Now().Add(-c.Since)
	}
	end, err := c.reader().Logs(r.ctx, c.Of.Job, c.Of.Task, q, func(l keeper.Line) error {
		switch {
		case r.json:
			return json.NewEncoder(r.out).Encode(&l)
		case l.Record.Hole != nil:
			h := l.Record.Hole
			_, err := fmt.Fprintf(r.out, "[%d bytes lost from %s to %s]\n", h.Bytes, h.From.UTC().Format(time.TimeOnly), h.To.UTC().Format(time.TimeOnly))
			return err
		}
		_, err := fmt.Fprintf(r.out, "%s\n", l.Record.Data)
		return err
	})
	if err != nil {
		return err
	}
	if r.json {
		_ = json.NewEncoder(r.out).Encode(&end)
	}
	if end.State == keeper.StatePartial || end.State == keeper.StateGoesOn {
		return fmt.Errorf("%w: attempt %d of %s/%d", keeper.ErrPartial, end.Attempt, c.Of.Job, c.Of.Task)
	}
	return nil
}

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
		var told time.Time
		err := k.Fetch(r.ctx, m, f, c.Dir+"/"+f.Path, func(done, all int64) {
			if now := time.Now(); !r.json && now.Sub(told) > time.Second {
				told = now
				fmt.Fprintf(r.err, "\r%s %d%%", f.Path, 100*done/max(all, 1))
			}
		})
		if err != nil {
			return err
		}
		r.print(map[string]any{"path": f.Path, "blob": f.Digest, "attempt": m.Number, "final": final}, "%s", f.Path)
	}
	if !final {
		fmt.Fprintf(r.err, "topaz: attempt %d is not the task's result\n", m.Number)
	}
	return nil
}
