package cli

import (
	"fmt"
	"os"
	"os/exec"
	"time"

	"topazhollow/internal/loadtest"
)

type simulateScaleCmd struct {
	Config      string `placeholder:"FILE" help:"Experiment (TOML); settings it leaves out have their defaults."`
	PrintConfig bool   `help:"Print the experiment with defaults, then exit."`
	Controller  string `placeholder:"PROGRAM" help:"Controller program to run, for example target/topazhollow; by default this program."`
	Result      string `placeholder:"FILE" help:"Write the measurements to this file (JSON)."`
	Report      string `placeholder:"FILE" help:"Write an HTML report to this file."`
	KeepLogs    bool   `help:"Keep the controllers' settings and logs."`
}

// Run runs one experiment; a violated rule, or an experiment that ends early, makes the exit code 1.
func (c *simulateScaleCmd) Run(r *commandContext) error {
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
		return fmt.Errorf("%d rules violated, for example %v; the controllers' logs are in %s", result.BrokenCount, result.Broken[0], dir)
	}
	if c.KeepLogs {
		fmt.Fprintln(r.err, "settings and logs are in", dir)
		return nil
	}
	return os.RemoveAll(dir)
}

// controller returns the command line that starts a controller: of the program in the flags, or of this one.
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

// write writes the result and report files that the flags name.
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

// writePage writes an HTML report on results to a file.
func writePage(path string, results []*loadtest.Result, over loadtest.Axis) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := loadtest.WritePage(f, results, over); err != nil {
		_ = f.Close() // the earlier error is the cause
		return err
	}
	return f.Close()
}

type simulateSlopesCmd struct {
	Results []string `arg:"" name:"result" help:"Result files of simulate scale."`
	Over    string   `enum:"workers,starts,teams,controllers,tasks" default:"workers" help:"Quantity in which the runs differ: ${enum}."`
	Report  string   `placeholder:"FILE" help:"Write an HTML report to this file."`
}

// Run fits lines through the measurements of several results and prints their slopes.
func (c *simulateSlopesCmd) Run(r *commandContext) error {
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

// Run runs simulated agents on behalf of simulate scale, which drives it over standard input and output.
func (c *simulatedAgentsCmd) Run(r *commandContext) error {
	return loadtest.RunAgentPool(r.ctx, os.Stdin, r.out)
}
