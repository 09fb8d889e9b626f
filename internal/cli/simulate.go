package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"time"

	"topazhollow/internal/faultinjection"
)

type simulateCmd struct {
	Overload simulateOverloadCmd `cmd:"" help:"Hand in crowds of urgent work, with troubles beside them, and check that no class starves."`
	Kills    simulateKillsCmd    `cmd:"" help:"Kill agents and artifact stores at drawn moments, and check all that is read afterwards."`
	Size     simulateSizeCmd     `cmd:"" name:"loss-at-size" help:"Measure how long after one loss of everything each step is reached."`
	Meetings simulateMeetingsCmd `cmd:"" help:"Have troubles meet at drawn moments, with cancellations in between, and check that no rule breaks."`
	Scale    simulateScaleCmd    `cmd:"" help:"Measure what controllers take for a fleet of simulated agents (see docs/CAPACITY.md)."`
	Slopes   simulateSlopesCmd   `cmd:"" name:"scale-slopes" help:"Fit lines through the results of several runs of scale."`
	Loss     simulateLossCmd     `cmd:"" help:"Take data away from the key-value store at drawn moments, with troubles beside it, and check that nothing is forgotten or run twice."`
}

// simulation is what each simulation begins with: a deadline, this program for the processes that
// it starts, and a directory for all that they write.
func (r *run) simulation(what string, most time.Duration) (ctx context.Context, cancel context.CancelFunc, program, dir string, err error) {
	if program, err = os.Executable(); err != nil {
		return nil, nil, "", "", err
	}
	if dir, err = os.MkdirTemp("", "topaz-"+what+"-"); err != nil {
		return nil, nil, "", "", err
	}
	ctx, cancel = context.WithTimeout(r.ctx, most)
	return ctx, cancel, program, dir, nil
}

// drawnCmd is what simulations of drawn trials have in common.
type drawnCmd struct {
	Trials int           `default:"12" help:"How many are drawn."`
	Seed   uint64        `default:"1" help:"Draws them: trial N has the seed plus N."`
	AtOnce int           `default:"4" help:"Regions at the same time, of three controller processes each."`
	Most   time.Duration `default:"1h" help:"Give up after this."`
}

// playDrawn plays drawn trials; what they are goes by its plural.
func playDrawn[T any](r *run, c *drawnCmd, name, what string, play func(context.Context, faultinjection.TrialOptions) ([]T, error), broke func(T) bool) error {
	ctx, cancel, program, dir, err := r.simulation(name, c.Most)
	if err != nil {
		return err
	}
	defer cancel()
	trials, err := play(ctx, faultinjection.TrialOptions{Program: program, Dir: dir, Seed: c.Seed, Trials: c.Trials, AtOnce: c.AtOnce, Out: r.err})
	if err != nil {
		return err
	}
	return verdict(r, what, dir, trials, broke)
}

type simulateLossCmd struct{ drawnCmd }

// Run rehearses losses; a broken rule or a job that never ends makes the exit code 1.
func (c *simulateLossCmd) Run(r *run) error {
	return playDrawn(r, &c.drawnCmd, "loss", "losses", faultinjection.Losses, func(t faultinjection.LossTrial) bool { return t.Broken != "" })
}

type simulateMeetingsCmd struct{ drawnCmd }

// Run rehearses meetings; a broken rule or a job that never ends makes the exit code 1.
func (c *simulateMeetingsCmd) Run(r *run) error {
	return playDrawn(r, &c.drawnCmd, "meetings", "meetings", faultinjection.CombinedFaults, func(t faultinjection.CombinedTrial) bool { return t.Broken != "" })
}

// verdict prints what came of a rehearsal's trials. If any broke something that is the error,
// and all that was written stays.
func verdict[T any](r *run, what, dir string, trials []T, broke func(T) bool) error {
	broken := 0
	for _, t := range trials {
		if broke(t) {
			broken++
		}
	}
	r.print(map[string]any{"trials": trials, "broken": broken}, "%d %s rehearsed, %d broken", len(trials), what, broken)
	if broken > 0 {
		return fmt.Errorf("%d %s broke something; the logs are in %s", broken, what, dir)
	}
	return os.RemoveAll(dir)
}

type simulateSizeCmd struct {
	Machines int           `default:"300" help:"Simulated agents."`
	Jobs     int           `default:"500" help:"Active jobs."`
	Ends     int           `default:"25000" help:"Jobs that ended before."`
	Gone     int           `default:"0" help:"Controllers that end with the loss and come back 3 s later; 3 at most."`
	Copy     bool          `help:"Follow the store with topazhollowctl snapshot, and put the copy back if all three end."`
	Most     time.Duration `default:"15m" help:"Give up after this."`
}

func (c *simulateSizeCmd) Run(r *run) error {
	if c.Machines < 1 || c.Jobs < 1 || c.Ends < 0 || c.Gone < 0 || c.Gone > 3 {
		return fmt.Errorf("%w: a machine, a job, and three controllers to end at most are expected", errUsage)
	}
	ctx, cancel, program, dir, err := r.simulation("loss", c.Most)
	if err != nil {
		return err
	}
	defer cancel()
	m, err := faultinjection.MeasureLoss(ctx, faultinjection.MeasureOptions{Program: program, Dir: dir, Machines: c.Machines, ActiveJobs: c.Jobs, EndedJobs: c.Ends, KilledControllers: c.Gone, KeepSnapshot: c.Copy, Out: r.err})
	if err != nil {
		return fmt.Errorf("%w; so far %+v, the logs are in %s", err, m, dir)
	}
	ms := func(d time.Duration) string { return d.Round(10 * time.Millisecond).String() }
	r.print(m, "noticed %s, next generation %s, polls right %s, first job accepted %s, first start %s, all written back %s, copy back %s; %d changes, %d bytes; tasks on machines %d before, %d after; each controller %.1f s of processor, %.0f MB; %d refused",
		ms(m.Noticed), ms(m.Entered), ms(m.Polled), ms(m.Taken), ms(m.Started), ms(m.Written), ms(m.Back), m.Changes, m.Bytes, m.On[0], m.On[1], m.CPU, m.Memory, m.Refused)
	if len(m.Broken) > 0 {
		return fmt.Errorf("rules broken: %v", m.Broken)
	}
	return os.RemoveAll(dir)
}

type simulateKillsCmd struct {
	Kills  int           `default:"300" help:"How many workers are killed."`
	Seed   uint64        `default:"1" help:"Draws the moments."`
	Report string        `help:"Write a page (HTML) to this file."`
	Most   time.Duration `default:"15m" help:"Give up after this."`
}

// Run rehearses kills; a broken promise makes the exit code 1.
func (c *simulateKillsCmd) Run(r *run) (err error) {
	ctx, cancel, program, dir, err := r.simulation("kills", c.Most)
	if err != nil {
		return err
	}
	defer cancel()
	key := make([]byte, 32)
	_, _ = rand.Read(key) // never fails
	rep, err := faultinjection.Run(ctx, faultinjection.Options{Program: program, Dir: dir, Seed: c.Seed, Kills: c.Kills, Key: key, Out: r.err})
	if err != nil {
		return fmt.Errorf("%w (all of it is in %s)", err, dir)
	}
	if c.Report != "" {
		f, err := os.Create(c.Report)
		if err != nil {
			return err
		}
		if err := errors.Join(rep.HTML(f), f.Close()); err != nil {
			return err
		}
	}
	r.print(map[string]any{"seed": rep.Seed, "workers_killed": len(rep.Kills), "keepers_killed": rep.KeeperKills, "disks_lost": rep.DisksLost, "tasks": rep.Tasks, "attempts": rep.Attempts,
		"lines": rep.Lines, "files": rep.Files, "broken": rep.Broken, "seconds": rep.Took.Seconds()},
		"%d workers and %d keepers killed, %d disks lost; %d tasks, %d attempts; %d lines and %d files read at three keepers, in %s",
		len(rep.Kills), rep.KeeperKills, rep.DisksLost, rep.Tasks, rep.Attempts, rep.Lines, rep.Files, rep.Took.Round(time.Second))
	for _, s := range rep.States() {
		if !r.json {
			fmt.Fprintf(r.out, "  %4d killed attempts %-10s %6d lines acknowledged, %6d kept\n", s.Count, s.State, s.Acked, s.Lines)
		}
	}
	if rep.BrokenInTotal > 0 {
		for _, b := range rep.Broken {
			fmt.Fprintln(r.err, "broken:", b)
		}
		return fmt.Errorf("%d promises broken; all of it is in %s", rep.BrokenInTotal, dir)
	}
	return os.RemoveAll(dir)
}

type faultInjectionAgentCmd struct {
	Job string `arg:""`
}

func (c *faultInjectionAgentCmd) Run(r *run) error { return faultinjection.RunAgent(r.ctx, c.Job) }
