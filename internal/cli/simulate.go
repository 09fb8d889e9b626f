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
	Overload simulateOverloadCmd `cmd:"" help:"Submit bursts of urgent jobs while faults occur, and check that no class starves."`
	Kills    simulateKillsCmd    `cmd:"" help:"Kill agents and artifact stores at random times, and check all output and files read afterwards."`
	Size     simulateSizeCmd     `cmd:"" name:"loss-at-size" help:"Measure how long recovery takes, step by step, after the state service loses all data."`
	Meetings simulateMeetingsCmd `cmd:"" help:"Combine faults at random times with cancellations in between, and check that no rule is violated."`
	Scale    simulateScaleCmd    `cmd:"" help:"Measure the resources that controllers use for a fleet of simulated agents (see docs/CAPACITY.md)."`
	Slopes   simulateSlopesCmd   `cmd:"" name:"scale-slopes" help:"Fit lines through the results of several scale runs."`
	Loss     simulateLossCmd     `cmd:"" help:"Remove data from the state service at random times while other faults occur, and check that nothing is lost or run twice."`
}

// simulation prepares a simulation: it returns a context with a deadline, the path of this program, which the simulation
// starts as its processes, and a new directory for their files.
func (r *commandContext) simulation(name string, timeout time.Duration) (ctx context.Context, cancel context.CancelFunc, program, dir string, err error) {
	if program, err = os.Executable(); err != nil {
		return nil, nil, "", "", err
	}
	if dir, err = os.MkdirTemp("", "topaz-"+name+"-"); err != nil {
		return nil, nil, "", "", err
	}
	ctx, cancel = context.WithTimeout(r.ctx, timeout)
	return ctx, cancel, program, dir, nil
}

// trialsCmd holds the flags of simulations that run random trials.
type trialsCmd struct {
	Trials  int           `default:"12" help:"Number of trials."`
	Seed    uint64        `default:"1" help:"Seed: trial N uses the seed plus N."`
	AtOnce  int           `default:"4" help:"Number of deployments, of three controller processes each, to run in parallel."`
	Timeout time.Duration `name:"most" default:"1h" help:"Give up after this time."`
}

// runTrials runs random trials and reports them. name goes into the name of their directory, plural is the noun for
// trials in the output, and failed reports whether a trial failed.
func runTrials[T any](r *commandContext, c *trialsCmd, name, plural string, runAll func(context.Context, faultinjection.TrialOptions) ([]T, error), failed func(T) bool) error {
	ctx, cancel, program, dir, err := r.simulation(name, c.Timeout)
	if err != nil {
		return err
	}
	defer cancel()
	trials, err := runAll(ctx, faultinjection.TrialOptions{Program: program, Dir: dir, Seed: c.Seed, Trials: c.Trials, AtOnce: c.AtOnce, Out: r.err})
	if err != nil {
		return err
	}
	return reportTrials(r, plural, dir, trials, failed)
}

type simulateLossCmd struct{ trialsCmd }

// Run simulates data losses; a violated rule or a job that never ends makes the exit code 1.
func (c *simulateLossCmd) Run(r *commandContext) error {
	return runTrials(r, &c.trialsCmd, "loss", "data losses", faultinjection.Losses, func(t faultinjection.LossTrial) bool { return t.Broken != "" })
}

type simulateMeetingsCmd struct {
	trialsCmd
	Repeats bool `help:"Deliver copies of answered commands and transactions in every trial."`
}

// Run simulates combined faults; a violated rule or a job that never ends makes the exit code 1.
func (c *simulateMeetingsCmd) Run(r *commandContext) error {
	runAll := func(ctx context.Context, o faultinjection.TrialOptions) ([]faultinjection.CombinedTrial, error) {
		if c.Repeats {
			o.Always = []string{faultinjection.RepeatedCommands, faultinjection.RepeatedWrites}
		}
		return faultinjection.CombinedFaults(ctx, o)
	}
	return runTrials(r, &c.trialsCmd, "meetings", "combined faults", runAll, func(t faultinjection.CombinedTrial) bool { return t.Broken != "" })
}

// reportTrials prints the results of trials. If any failed, it returns an error and keeps the directory; otherwise it
// removes the directory.
func reportTrials[T any](r *commandContext, plural, dir string, trials []T, failed func(T) bool) error {
	failures := 0
	for _, t := range trials {
		if failed(t) {
			failures++
		}
	}
	r.print(map[string]any{"trials": trials, "broken": failures}, "%d %s simulated, %d failed", len(trials), plural, failures)
	if failures > 0 {
		return fmt.Errorf("%d %s failed; the logs are in %s", failures, plural, dir)
	}
	return os.RemoveAll(dir)
}

type simulateSizeCmd struct {
	Machines  int           `default:"300" help:"Simulated agents."`
	Jobs      int           `default:"500" help:"Active jobs."`
	EndedJobs int           `name:"ends" default:"25000" help:"Jobs that ended before the loss."`
	Crashes   int           `name:"gone" default:"0" help:"Controllers that crash with the loss and restart 3 s later; at most 3."`
	Copy      bool          `help:"Follow the state service with topazhollowctl snapshot, and restore the copy if all three controllers crash."`
	Timeout   time.Duration `name:"most" default:"15m" help:"Give up after this time."`
}

func (c *simulateSizeCmd) Run(r *commandContext) error {
	if c.Machines < 1 || c.Jobs < 1 || c.EndedJobs < 0 || c.Crashes < 0 || c.Crashes > 3 {
		return fmt.Errorf("%w: at least one machine and one job, and at most three crashed controllers, are expected", errUsage)
	}
	ctx, cancel, program, dir, err := r.simulation("loss", c.Timeout)
	if err != nil {
		return err
	}
	defer cancel()
	m, err := faultinjection.MeasureLoss(ctx, faultinjection.MeasureOptions{Program: program, Dir: dir, Machines: c.Machines, ActiveJobs: c.Jobs, EndedJobs: c.EndedJobs, KilledControllers: c.Crashes, KeepSnapshot: c.Copy, Out: r.err})
	if err != nil {
		return fmt.Errorf("%w; measured so far: %+v; the logs are in %s", err, m, dir)
	}
	ms := func(d time.Duration) string { return d.Round(10 * time.Millisecond).String() }
	r.print(m, "loss noticed %s, next generation %s, polls correct %s, first job accepted %s, first start %s, all written back %s, copy restored %s; %d changes, %d bytes; tasks on machines %d before, %d after; %.1f s of CPU and %.0f MB per controller; %d refused",
		ms(m.Noticed), ms(m.Entered), ms(m.Polled), ms(m.Taken), ms(m.Started), ms(m.Written), ms(m.Back), m.Changes, m.Bytes, m.On[0], m.On[1], m.CPU, m.Memory, m.Refused)
	if len(m.Broken) > 0 {
		return fmt.Errorf("rules violated: %v", m.Broken)
	}
	return os.RemoveAll(dir)
}

type simulateKillsCmd struct {
	Kills   int           `default:"300" help:"Number of agent processes to kill."`
	Seed    uint64        `default:"1" help:"Seed of the random kill times."`
	Report  string        `help:"Write an HTML report to this file."`
	Timeout time.Duration `name:"most" default:"15m" help:"Give up after this time."`
}

// Run simulates kills; a violated guarantee makes the exit code 1.
func (c *simulateKillsCmd) Run(r *commandContext) (err error) {
	ctx, cancel, program, dir, err := r.simulation("kills", c.Timeout)
	if err != nil {
		return err
	}
	defer cancel()
	key := make([]byte, 32)
	_, _ = rand.Read(key) // never fails
	rep, err := faultinjection.Run(ctx, faultinjection.Options{Program: program, Dir: dir, Seed: c.Seed, Kills: c.Kills, Key: key, Out: r.err})
	if err != nil {
		return fmt.Errorf("%w (all files are in %s)", err, dir)
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
		"%d agents and %d artifact stores killed, %d disks lost; %d tasks, %d attempts; %d lines and %d files read from three artifact stores, in %s",
		len(rep.Kills), rep.KeeperKills, rep.DisksLost, rep.Tasks, rep.Attempts, rep.Lines, rep.Files, rep.Took.Round(time.Second))
	for _, s := range rep.States() {
		if !r.json {
			fmt.Fprintf(r.out, "  %4d killed attempts %-10s %6d lines acknowledged, %6d stored\n", s.Count, s.State, s.Acked, s.Lines)
		}
	}
	if rep.BrokenInTotal > 0 {
		for _, b := range rep.Broken {
			fmt.Fprintln(r.err, "violated:", b)
		}
		return fmt.Errorf("%d guarantees violated; all files are in %s", rep.BrokenInTotal, dir)
	}
	return os.RemoveAll(dir)
}

type faultInjectionAgentCmd struct {
	Job string `arg:""`
}

func (c *faultInjectionAgentCmd) Run(r *commandContext) error {
	return faultinjection.RunAgent(r.ctx, c.Job)
}
