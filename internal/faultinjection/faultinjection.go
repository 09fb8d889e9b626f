// Package faultinjection rehearses what keepers and workers promise: processes are killed at
// drawn moments, hundreds of times, and everything that is read afterwards is held
// against what was acknowledged to whom.
package faultinjection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/artifactreplication"
	"topazhollow/internal/artifactstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

// Options are a drill's choices.
type Options struct {
	Program string // the command topazhollowctl
	Dir     string // for everything; it must be empty
	Seed    uint64
	Kills   int // of workers
	AtOnce  int // tasks at a time; 8 if 0
	Key     []byte
	Out     io.Writer // is told how it goes
	// Spoil may change what a reader got before it is checked, to show that the check
	// sees that.
	Spoil func(a *artifactstore.Known, lines []string, file string) ([]string, string)
}

// Killed is one kill of a worker and what was left of its attempt.
type Killed struct {
	Attempt artifactstore.Attempt
	After   time.Duration // of the process's start
	Back    bool          // its spool was taken up by another process
	Acked   uint64        // records that were acknowledged to it
	Lines   int           // that a reader sees in the end
	State   string        // of the attempt in the end; "" if no keeper heard of it
}

// Report is what a drill saw.
type Report struct {
	Seed          uint64
	Tasks         int
	Attempts      int
	Kills         []Killed
	KeeperKills   int
	DisksLost     int
	Lines, Files  int // that were read and found where they belong, at each of the keepers
	Took          time.Duration
	Broken        []string // promises
	BrokenInTotal int
}

// names of the drill's keepers.
var names = []string{"keeper-1", "keeper-2", "keeper-3"}

// lines that each attempt puts out.
const lines = 40

// script is what each attempt runs: lines that name it, and a file that does.
const script = `i=0
while [ $i -lt 40 ]; do
  echo "$ATTEMPT line $i"
  i=$((i+1))
  if [ $((i % 8)) -eq 0 ]; then sleep 0.02; fi
done
mkdir -p out
printf 'file of %s' "$ATTEMPT" > out/result`

type drill struct {
	opt     Options
	urls    []string
	configs map[string]string
	mu      sync.Mutex
	procs   map[string]*exec.Cmd
	report  Report
}

// Run carries out a drill and gives what it saw. An error is one of the drill itself;
// broken promises are in the report.
func Run(ctx context.Context, opt Options) (*Report, error) {
	if opt.AtOnce <= 0 {
		opt.AtOnce = 8
	}
	d := &drill{opt: opt, configs: map[string]string{}, procs: map[string]*exec.Cmd{}, report: Report{Seed: opt.Seed}}
	defer d.stopAll()
	if err := d.configure(); err != nil {
		return nil, err
	}
	for _, name := range names {
		if err := d.start(name); err != nil {
			return nil, err
		}
	}
	if err := d.settled(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	killing, stop := context.WithCancel(ctx)
	defer stop()
	var keepersKilled errgroup.Group
	keepersKilled.Go(func() error { return d.killKeepers(killing, rand.New(rand.NewPCG(opt.Seed, 1))) })
	group, working := errgroup.WithContext(ctx)
	group.SetLimit(opt.AtOnce)
	for d.killed() < opt.Kills && working.Err() == nil {
		task := d.report.Tasks
		d.report.Tasks++
		group.Go(func() error { return d.task(working, task, rand.New(rand.NewPCG(opt.Seed, uint64(task)+2))) })
		if d.report.Tasks > 4*opt.Kills+opt.AtOnce { // most attempts are killed; if none is, the draws are wrong
			break
		}
	}
	err := group.Wait()
	stop()
	if err = errors.Join(err, keepersKilled.Wait()); err != nil {
		return nil, err
	}
	if err := d.settled(ctx); err != nil {
		return nil, err
	}
	if err := d.check(ctx); err != nil {
		return nil, err
	}
	d.report.Took = time.Since(began)
	return &d.report, nil
}

func (d *drill) killed() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.report.Kills)
}

func (d *drill) tell(format string, args ...any) {
	if d.opt.Out != nil {
		fmt.Fprintf(d.opt.Out, format+"\n", args...)
	}
}

// configure writes the keepers' settings.
func (d *drill) configure() error {
	var list strings.Builder
	listen, host := map[string]string{}, simulation.NewHost()
	for i, name := range names {
		var err error
		if listen[name], err = host.Listen(); err != nil {
			return err
		}
		d.urls = append(d.urls, "http://"+listen[name])
		fmt.Fprintf(&list, "[[members.keeper]]\nname = %q\nzone = \"zone-%d\"\nurl = %q\n", name, i%2, "http://"+listen[name])
	}
	for _, name := range names {
		path := filepath.Join(d.opt.Dir, name+".toml")
		text := fmt.Sprintf("name = %q\nlisten = %q\ndir = %q\nrepair_seconds = 0.5\npatience_seconds = 2.0\nscrub_mb_per_s = 0.0\n[members]\nepoch = 1\n%s",
			name, listen[name], filepath.Join(d.opt.Dir, name), list.String())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		d.configs[name] = path
	}
	return nil
}

// start starts a keeper as a process.
func (d *drill) start(name string) error {
	log, err := os.OpenFile(filepath.Join(d.opt.Dir, name+".log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.opt.Program, "artifact-store", "--config", d.configs[name])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%x", artifactreplication.KeyVariable, d.opt.Key))
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.procs[name] = cmd
	return nil
}

// kill ends a keeper for good.
func (d *drill) kill(name string) {
	d.mu.Lock()
	cmd := d.procs[name]
	delete(d.procs, name)
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // it may have ended by itself
		_ = cmd.Wait()
	}
}

func (d *drill) stopAll() {
	for _, name := range names {
		d.kill(name)
	}
}

// killKeepers kills one keeper after another at drawn moments, until the context ends.
// Each seventh time it loses its disk too. It comes back after a drawn pause, and the
// next is killed only once it has all that it should.
func (d *drill) killKeepers(ctx context.Context, r *rand.Rand) error {
	for ctx.Err() == nil {
		if !wait.For(ctx, time.Duration(200+r.IntN(1500))*time.Millisecond) {
			return nil
		}
		name := names[r.IntN(len(names))]
		d.kill(name)
		d.mu.Lock()
		d.report.KeeperKills++
		lost := d.report.KeeperKills%7 == 0
		if lost {
			d.report.DisksLost++
		}
		d.mu.Unlock()
		if lost {
			if err := os.RemoveAll(filepath.Join(d.opt.Dir, name)); err != nil {
				return err
			}
		}
		wait.For(ctx, time.Duration(r.IntN(800))*time.Millisecond)
		if err := d.start(name); err != nil {
			return err
		}
		if lost {
			// A second disk lost before the first is filled again is beyond what is promised.
			if err := d.until(context.WithoutCancel(ctx), func(st *artifactreplication.Status) bool {
				return st.Name != name || st.State == string(artifactreplication.Serving)
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// settled waits until each keeper says that it serves and lacks nothing.
func (d *drill) settled(ctx context.Context) error {
	return d.until(ctx, func(st *artifactreplication.Status) bool {
		return st.State == string(artifactreplication.Serving) && st.Left == 0 && len(st.Away) == 0
	})
}

// until waits until something holds for what each keeper says of itself.
func (d *drill) until(ctx context.Context, holds func(*artifactreplication.Status) bool) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	client := &http.Client{Timeout: 5 * time.Second}
	for {
		all := true
		for _, url := range d.urls {
			st, err := artifactreplication.AskStatus(ctx, client, url, d.opt.Key)
			all = all && err == nil && holds(st)
		}
		if all {
			return nil
		}
		if !wait.For(ctx, 100*time.Millisecond) {
			return fmt.Errorf("the keepers did not come to rest; their logs are in %s", d.opt.Dir)
		}
	}
}

// Job is what a worker's process is told to do.
type Job struct {
	Spool   string   `json:"spool"`
	Keepers []string `json:"keepers"`
	History string   `json:"history"` // file that gets what is acknowledged
	Recover bool     `json:"recover"` // take up the spool only
	Claim   artifactstore.Claim
	Token   string   `json:"token"`
	Command []string `json:"command"`
	Env     []string `json:"env"`
	Dir     string   `json:"dir"`
	Files   []string `json:"files"`
}

// task runs a task's attempts one after another, as a scheduler does once the earlier is
// proven off, until one was not killed.
func (d *drill) task(ctx context.Context, task int, r *rand.Rand) error {
	for number := uint64(1); ; number++ {
		at := artifactstore.Attempt{Job: "job-000001", Task: task, Number: number}
		name := fmt.Sprintf("%s-%d-%d", at.Job, task, number)
		c := artifactstore.Claim{Attempt: at, Tenant: "red", Machine: "machine-" + name, Session: 1}
		job := Job{Spool: filepath.Join(d.opt.Dir, "spool", name), History: filepath.Join(d.opt.Dir, "history", name), Claim: c,
			Token: artifactstore.Grant{Right: artifactstore.Write, Tenant: c.Tenant, Job: c.Job, Task: &c.Task, Number: number, Machine: c.Machine, Session: 1,
				Until: time.Now().Add(time.Hour)}.Token(d.opt.Key),
			Command: []string{"/bin/sh", "-c", script}, Env: []string{"PATH=" + os.Getenv("PATH"), "ATTEMPT=" + at.String()}, Dir: filepath.Join(d.opt.Dir, "work", name), Files: []string{"out"}}
		for i := range d.urls {
			job.Keepers = append(job.Keepers, d.urls[(i+r.IntN(3))%3])
		}
		for _, dir := range []string{job.Dir, filepath.Dir(job.History)} {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return err
			}
		}
		d.mu.Lock()
		d.report.Attempts++
		d.mu.Unlock()
		var after time.Duration
		if number <= 2 || r.IntN(3) == 0 { // the first two are killed, if they live long enough
			after = time.Duration(r.IntN(450_000)) * time.Microsecond
		}
		killed, err := d.worker(ctx, &job, after, number == 1)
		if err != nil {
			return fmt.Errorf("%s: %w", at, err)
		}
		if !killed {
			return nil
		}
		k := Killed{Attempt: at, After: after, Back: r.IntN(2) == 0}
		if k.Back {
			job.Recover = true
			if _, err := d.worker(ctx, &job, 0, false); err != nil {
				return fmt.Errorf("%s taken up: %w", at, err)
			}
		}
		d.mu.Lock()
		d.report.Kills = append(d.report.Kills, k)
		n := len(d.report.Kills)
		d.mu.Unlock()
		if n%50 == 0 {
			d.tell("%d workers killed", n)
		}
	}
}

// worker runs a worker's process, kills it after a while if that is not 0, and says
// whether that was before its end. The while begins with the process or, if heard, with
// the first thing that was acknowledged to it, so that however slowly processes start here
// some of those killed have left something behind.
func (d *drill) worker(ctx context.Context, job *Job, after time.Duration, heard bool) (killed bool, err error) {
	path := filepath.Join(d.opt.Dir, "history", filepath.Base(job.History)+".json")
	if err := os.WriteFile(path, protocol.Encode(job), 0o600); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	var errs strings.Builder
	cmd := exec.CommandContext(ctx, d.opt.Program, "fault-injection-agent", path)
	cmd.Stderr = &errs
	if err := cmd.Start(); err != nil {
		return false, err
	}
	if after > 0 {
		kill, stop := context.WithCancel(ctx)
		defer stop()
		go func() {
			for heard && !nonEmpty(job.History) && wait.For(kill, 2*time.Millisecond) {
			}
			if wait.For(kill, after) {
				_ = cmd.Process.Kill() // it may have ended just now
			}
		}()
	}
	err = cmd.Wait()
	if err != nil && after > 0 && ctx.Err() == nil && cmd.ProcessState.ExitCode() == -1 {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("%w: %s", err, errs.String())
	}
	return false, nil
}

func nonEmpty(path string) bool {
	st, err := os.Stat(path)
	return err == nil && st.Size() > 0
}

// history reads what was acknowledged to an attempt's worker.
func (d *drill) history(at artifactstore.Attempt) (acked uint64, sealed, final bool, err error) {
	f, err := os.Open(filepath.Join(d.opt.Dir, "history", fmt.Sprintf("%s-%d-%d", at.Job, at.Task, at.Number)))
	if errors.Is(err, os.ErrNotExist) {
		return 0, false, false, nil
	}
	if err != nil {
		return 0, false, false, err
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		var what string
		var n uint64
		if _, err := fmt.Sscan(in.Text(), &what, &n); err != nil {
			continue // cut short by a kill: it was not acknowledged to anybody
		}
		switch what {
		case "stdout":
			acked = max(acked, n)
		case "sealed":
			sealed = true
			final = final || n == 1
		}
	}
	return acked, sealed, final, nil
}

// broken notes a promise that was not kept.
func (d *drill) broken(format string, args ...any) {
	if d.report.BrokenInTotal++; len(d.report.Broken) < 100 {
		d.report.Broken = append(d.report.Broken, fmt.Sprintf(format, args...))
	}
}

// check reads everything at each keeper and holds it against the history.
func (d *drill) check(ctx context.Context) error {
	for task := range d.report.Tasks {
		var first []artifactstore.Known
		for i, url := range d.urls {
			r := &artifactstore.Reader{URL: url, Token: artifactstore.Grant{Right: artifactstore.Read, Job: "job-000001", Until: time.Now().Add(time.Hour)}.Token(d.opt.Key)}
			list, err := r.Attempts(ctx, "job-000001", task)
			if err != nil {
				return fmt.Errorf("task %d at %s: %w", task, names[i], err)
			}
			results := 0
			for k := range list {
				if err := d.attempt(ctx, r, names[i], &list[k]); err != nil {
					return err
				}
				if list[k].State == artifactstore.StateFinal {
					results++
				}
			}
			if results != 1 {
				d.broken("task %d has %d results at %s", task, results, names[i])
			}
			if i == 0 {
				first = list
			} else if fmt.Sprint(states(first)) != fmt.Sprint(states(list)) {
				d.broken("task %d: %s shows %v, %s %v", task, names[0], states(first), names[i], states(list))
			}
		}
		for _, a := range first {
			for k := range d.report.Kills {
				if x := &d.report.Kills[k]; x.Attempt == a.Attempt {
					x.State = a.State
				}
			}
		}
	}
	for i := range d.report.Kills {
		k := &d.report.Kills[i]
		acked, sealed, _, err := d.history(k.Attempt)
		if err != nil {
			return err
		}
		if k.Acked = acked; k.State == "" && (acked > 0 || sealed) {
			d.broken("%s is gone: %d records were acknowledged, sealed %v", k.Attempt, acked, sealed)
		}
	}
	return nil
}

func states(list []artifactstore.Known) (s []string) {
	for _, a := range list {
		s = append(s, fmt.Sprintf("%d %s", a.Number, a.State))
	}
	return s
}

// attempt reads one attempt at one keeper.
func (d *drill) attempt(ctx context.Context, r *artifactstore.Reader, at string, a *artifactstore.Known) error {
	acked, sealed, final, err := d.history(a.Attempt)
	if err != nil {
		return err
	}
	var got []string
	end, err := r.Logs(ctx, a.Job, a.Task, artifactstore.Query{Attempt: a.Number}, func(l artifactstore.Line) error {
		if l.Number != uint64(len(got)) {
			d.broken("%s at %s: record %d comes as number %d", a.Attempt, at, len(got), l.Number)
		}
		got = append(got, string(l.Record.Data))
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s at %s: %w", a.Attempt, at, err)
	}
	over := a.State == artifactstore.StateFinal || a.State == artifactstore.StateSealed
	var file string
	if over {
		if file, err = d.file(ctx, r, at, a); err != nil {
			return fmt.Errorf("%s at %s: %w", a.Attempt, at, err)
		}
	}
	shown := a.State
	if d.opt.Spoil != nil {
		got, file = d.opt.Spoil(a, got, file)
	}
	over = a.State == artifactstore.StateFinal || a.State == artifactstore.StateSealed
	switch {
	case end.State != shown:
		d.broken("%s at %s is %q in the list and %q in its log", a.Attempt, at, shown, end.State)
	case uint64(len(got)) < acked:
		d.broken("%s at %s: %d records were acknowledged, %d are there", a.Attempt, at, acked, len(got))
	case sealed && !over:
		d.broken("%s at %s: its seal was acknowledged, it is %q", a.Attempt, at, a.State)
	case final && a.State != artifactstore.StateFinal:
		d.broken("%s at %s was told to be the result, it is %q", a.Attempt, at, a.State)
	case over && len(got) != lines:
		d.broken("%s at %s: sealed with %d of %d lines", a.Attempt, at, len(got), lines)
	case len(got) > lines:
		d.broken("%s at %s: %d lines", a.Attempt, at, len(got))
	}
	for i, line := range got {
		if line != fmt.Sprintf("%s line %d", a.Attempt, i) {
			d.broken("%s at %s: line %d is %q", a.Attempt, at, i, line)
			break
		}
	}
	d.report.Lines += len(got)
	for k := range d.report.Kills {
		if x := &d.report.Kills[k]; x.Attempt == a.Attempt {
			x.Lines = len(got)
		}
	}
	if over {
		if d.report.Files++; file != "file of "+a.Attempt.String() {
			d.broken("%s at %s: its file says %q", a.Attempt, at, file)
		}
	}
	return nil
}

// file reads the file of an attempt that was sealed.
func (d *drill) file(ctx context.Context, r *artifactstore.Reader, at string, a *artifactstore.Known) (string, error) {
	m, _, err := r.Manifest(ctx, a.Job, a.Task, a.Number)
	if err != nil {
		return "", err
	}
	if len(m.Files) != 1 || m.Files[0].Path != "out/result" {
		d.broken("%s at %s has the files %v", a.Attempt, at, m.Files)
		return "", nil
	}
	to := filepath.Join(d.opt.Dir, "fetched")
	if err := r.Fetch(ctx, m, m.Files[0], to, nil); err != nil {
		return "", err
	}
	content, err := os.ReadFile(to)
	return string(content), err
}
