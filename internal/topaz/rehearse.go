package topaz

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"time"

	"topazhollow/internal/drill"
)

type rehearseCmd struct {
	Kills rehearseKillsCmd `cmd:"" help:"Kill workers and keepers at drawn moments, and check all that is read afterwards."`
}

type rehearseKillsCmd struct {
	Kills  int           `default:"300" help:"How many workers are killed."`
	Seed   uint64        `default:"1" help:"Draws the moments."`
	Report string        `help:"Write a page (HTML) to this file."`
	Most   time.Duration `default:"15m" help:"Give up after this."`
}

// Run rehearses kills; a broken promise makes the exit code 1.
func (c *rehearseKillsCmd) Run(r *run) (err error) {
	dir, err := os.MkdirTemp("", "topaz-rehearse-")
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key) // never fails
	ctx, cancel := context.WithTimeout(r.ctx, c.Most)
	defer cancel()
	rep, err := drill.Run(ctx, drill.Options{Program: program, Dir: dir, Seed: c.Seed, Kills: c.Kills, Key: key, Out: r.err})
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

type drillWorkerCmd struct {
	Job string `arg:""`
}

func (c *drillWorkerCmd) Run(r *run) error { return drill.Work(r.ctx, c.Job) }
