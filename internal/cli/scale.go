package cli

import (
	"fmt"
	"os"
	"os/exec"
	"time"

	"topazhollow/internal/loadtest"
)

type simulateScaleCmd struct {
	Config      string `placeholder:"FILE" help:"The experiment (TOML); what it does not say has the default."`
	PrintConfig bool   `help:"Print the experiment with defaults, then leave."`
	Controller  string `placeholder:"PROGRAM" help:"Controller to run, as target/topazhollow; this program's own otherwise."`
	Result      string `placeholder:"FILE" help:"Write what was measured to this file (JSON)."`
	Report      string `placeholder:"FILE" help:"Write a page (HTML) to this file."`
	KeepLogs    bool   `help:"Keep the controllers' settings and logs."`
}

// Run plays one experiment; a broken rule, or an end before its time, makes the exit code 1.
func (c *simulateScaleCmd) Run(r *run) error {
	set, err := loadtest.Load(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if c.PrintConfig {
		fmt.Fprint(r.out, set)
		return nil
	}
	ctx, cancel, program, dir, err := r.simulation("scale", time.Duration(set.Limits.Seconds*float64(time.Second))+time.Minute)
	if err != nil {
		return err
	}
	defer cancel()
	controller, err := c.controller(program)
	if err != nil {
		return err
	}
	o := loadtest.Options{Program: program, Controller: controller, Dir: dir, Out: r.err}
	result, err := loadtest.Run(ctx, set, o)
	if result == nil {
		return err
	}
	if err := c.write(result); err != nil {
		return err
	}
	r.print(result, "%s", result.Summary())
	if err != nil {
		return fmt.Errorf("%w; the controllers' logs are in %s", err, dir)
	}
	if result.BrokenCount > 0 {
		return fmt.Errorf("%d rules broken, as %v; the controllers' logs are in %s", result.BrokenCount, result.Broken[0], dir)
	}
	if c.KeepLogs {
		fmt.Fprintln(r.err, "settings and logs are in", dir)
		return nil
	}
	return os.RemoveAll(dir)
}

// controller is the command line of a controller: the program that was asked for, or this one.
func (c *simulateScaleCmd) controller(program string) ([]string, error) {
	if c.Controller == "" {
		return []string{program, "controller"}, nil
	}
	path, err := exec.LookPath(c.Controller)
	if err != nil {
		return nil, fmt.Errorf("%w: --controller: %w", errUsage, err)
	}
	return []string{path}, nil
}

// write writes the files that were asked for.
func (c *simulateScaleCmd) write(result *loadtest.Result) error {
	if c.Result != "" {
		if err := result.Write(c.Result); err != nil {
			return err
		}
	}
	if c.Report == "" {
		return nil
	}
	return writePage(c.Report, []*loadtest.Result{result}, loadtest.Agents)
}

// writePage writes a page about results to a file.
func writePage(path string, results []*loadtest.Result, over loadtest.Axis) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := loadtest.WritePage(f, results, over); err != nil {
		_ = f.Close() // the first error says more
		return err
	}
	return f.Close()
}

type simulateSlopesCmd struct {
	Results []string `arg:"" name:"result" help:"Result files of simulate scale."`
	Over    string   `enum:"workers,starts,teams,controllers,tasks" default:"workers" help:"What the runs differ in: ${enum}."`
	Report  string   `placeholder:"FILE" help:"Write a page (HTML) to this file."`
}

// Run fits lines through the figures of several results and prints them.
func (c *simulateSlopesCmd) Run(r *run) error {
	var results []*loadtest.Result
	for _, path := range c.Results {
		x, err := loadtest.ReadResult(path)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		results = append(results, x)
	}
	slopes := loadtest.Slopes(results, loadtest.Axis(c.Over))
	r.print(slopes, "%s", loadtest.SlopesText(slopes, loadtest.Axis(c.Over)))
	if c.Report == "" {
		return nil
	}
	return writePage(c.Report, results, loadtest.Axis(c.Over))
}

type simulatedAgentsCmd struct{}

// Run is a process of simulated agents, for simulate scale.
func (c *simulatedAgentsCmd) Run(r *run) error { return loadtest.RunAgentPool(r.ctx, os.Stdin, r.out) }
