package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/snapshot"
)

type snapshotCmd struct {
	Config string `default:"deploy/snapshot.toml" help:"Settings file."`

	Follow  snapshotFollowCmd  `cmd:"" help:"Copy the key-value store for as long as this runs."`
	List    snapshotListCmd    `cmd:"" help:"List the copies."`
	Verify  snapshotVerifyCmd  `cmd:"" help:"Read every copy and check it."`
	Restore snapshotRestoreCmd `cmd:"" help:"Put a copy back into the generation that the controllers began after a loss. What the service has is newer and stays."`
	Prune   snapshotPruneCmd   `cmd:"" help:"Drop old copies; never the newest, nor one before a loss unless it is named."`
}

// open reads the settings and opens the archive, to write it if nobody else does.
func (c *snapshotCmd) open(write bool) (*snapshot.Config, *snapshot.Archive, error) {
	set, err := snapshot.LoadConfig(c.Config)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	a, err := snapshot.Open(set.Dir, snapshot.Options{ReadOnly: !write})
	return set, a, err
}

type snapshotFollowCmd struct {
	serverFlags
}

func (c *snapshotFollowCmd) Run(r *run, all *cli) error {
	if c.Check || c.PrintConfig {
		set, err := snapshot.LoadConfig(all.Snapshot.Config)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		if c.PrintConfig {
			fmt.Fprint(r.out, set)
		} else {
			fmt.Fprintln(r.out, "ok")
		}
		return nil
	}
	set, a, err := all.Snapshot.open(true)
	if err != nil {
		return err
	}
	err = snapshot.NewFollower(set, a, logger(r.err)).Run(r.ctx)
	return errors.Join(err, a.Close())
}

type snapshotListCmd struct{}

func (c *snapshotListCmd) Run(r *run, all *cli) error {
	_, a, err := all.Snapshot.open(false)
	if err != nil {
		return err
	}
	for _, x := range a.Copies() {
		state := "whole"
		if !x.Complete {
			state = "cut short"
		}
		if x.LossReason != "" {
			state += "; after it the service lost data: " + x.LossReason
		}
		r.print(x, "%6d  %s to %s  revisions %d to %d  %d keys, %d changes  %s", x.ID, x.At.Format(time.RFC3339), x.Until.Format(time.RFC3339), x.Revision, x.LastRevision, x.Keys, x.Changes, state)
	}
	return a.Close()
}

type snapshotVerifyCmd struct{}

func (c *snapshotVerifyCmd) Run(r *run, all *cli) error {
	_, a, err := all.Snapshot.open(false)
	if err != nil {
		return err
	}
	copies, keys, err := a.Verify()
	if err == nil {
		r.print(map[string]int{"copies": copies, "keys": keys}, "%d copies with %d keys are as they were written", copies, keys)
	}
	return errors.Join(err, a.Close())
}

type snapshotRestoreCmd struct {
	Copy     uint64        `help:"Number of the copy; the newest before the loss if it is not given."`
	Revision uint64        `help:"Put back what there was at this revision; all of the copy if it is not given."`
	Apply    bool          `help:"Write; without it only what would be written is told."`
	Declare  bool          `help:"Say afterwards that no more will be found: jobs that are not known then are told to be unknown."`
	Force    bool          `help:"Put back even if the controllers miss nothing."`
	Most     time.Duration `default:"1h" help:"Give up after this."`
}

func (c *snapshotRestoreCmd) Run(r *run, all *cli) (err error) {
	set, a, err := all.Snapshot.open(false)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, a.Close()) }()
	ctx, cancel := context.WithTimeout(r.ctx, c.Most)
	defer cancel()
	if c.Copy == 0 {
		for _, x := range a.Copies() {
			if x.Complete && x.LossReason != "" {
				c.Copy = x.ID
			}
		}
		if latest, ok := a.Latest(); ok && c.Copy == 0 {
			c.Copy = latest.ID
		}
	}
	res := snapshot.NewRestorer(set)
	p, err := res.Plan(ctx, a, c.Copy, c.Revision, c.Force)
	if err != nil {
		return err
	}
	what := "would put back"
	if c.Apply {
		began := time.Now()
		if err := res.Apply(ctx, p, nil); err != nil {
			return fmt.Errorf("%w; what was written stays, and the same command goes on", err)
		}
		what = fmt.Sprintf("put back in %s", time.Since(began).Round(10*time.Millisecond))
	}
	r.print(p, "copy %d as of revision %d, into generation %d: %s the configuration of %d teams, %d jobs with %d finished tasks and %d ends, by %d changes; of %d jobs the service knows more",
		p.Copy, p.Revision, p.Generation, what, p.Teams, p.Jobs, p.Done, p.Ends, p.Changes, p.Newer)
	if c.Apply && c.Declare {
		return declare(ctx, r, res)
	}
	return nil
}

func declare(ctx context.Context, r *run, res *snapshot.Restorer) error {
	changed, err := res.Declare(ctx)
	if err != nil {
		return err
	}
	r.print(map[string]bool{"changed": changed}, "what nobody remembers is lost for good (changed: %t)", changed)
	return nil
}

type snapshotPruneCmd struct {
	Older time.Duration `default:"48h" help:"Drop copies that began before this long ago."`
	Copy  []uint64      `help:"Drop these even if they are from before a loss."`
}

func (c *snapshotPruneCmd) Run(r *run, all *cli) error {
	_, a, err := all.Snapshot.open(true)
	if err != nil {
		return err
	}
	dropped, err := a.Prune(time.Now().Add(-c.Older), c.Copy...)
	if err == nil {
		r.print(map[string]any{"dropped": dropped}, "dropped %d copies %v", len(dropped), dropped)
	}
	return errors.Join(err, a.Close())
}

type recoveryCmd struct {
	Status  rebuildStatusCmd  `cmd:"" help:"Ask controllers what they hold of the key-value store and what is left to do."`
	Declare rebuildDeclareCmd `cmd:"" name:"declare-lost" help:"Say that nobody will remember more: jobs that are not known are told to be unknown from then on."`
}

type rebuildStatusCmd struct {
	Controllers []string `arg:"" help:"Public addresses of the controllers."`
}

// storeStatus is the part of a controller's overview that tells of the store.
type storeStatus struct {
	Node     string              `json:"node"`
	Entitled bool                `json:"entitled"`
	Term     uint64              `json:"term"`
	Store    datarecovery.Status `json:"store"`
}

func (c *rebuildStatusCmd) Run(r *run) error {
	failed := 0
	for _, addr := range c.Controllers {
		var s storeStatus
		if err := overviewOf(r.ctx, addr, &s); err != nil {
			failed++
			fmt.Fprintf(r.err, programName+": %s: %v\n", addr, err)
			continue
		}
		left := "nothing is left to do"
		if x := s.Store; x.RosterIncomplete || len(x.AwaitedMembers) > 0 || x.Unwritten+x.StaleActive > 0 {
			left = fmt.Sprintf("left: %d jobs to write back, %d ends to write again, memory of %v, roster incomplete: %t", x.Unwritten, x.StaleActive, x.AwaitedMembers, x.RosterIncomplete)
		}
		lost := "nothing is lost for good"
		if s.Store.DataLost {
			lost = fmt.Sprintf("jobs may be lost that nobody remembers; machines run tasks of %d that nobody can describe %s", len(s.Store.Undescribed), strings.Join(s.Store.Undescribed, " "))
		}
		r.print(s, "%s: store %s %s, generation %d, term %d; %s; %s; remembers %d ends (all: %t)",
			s.Node, s.Store.Phase, s.Store.Sign, s.Store.Epoch, s.Term, left, lost, s.Store.Ends, s.Store.HistoryComplete)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d controllers did not answer", failed, len(c.Controllers))
	}
	return nil
}

// overviewOf reads the part of a controller's overview that to has fields for.
func overviewOf(ctx context.Context, addr string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/overview", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, 8<<20)).Decode(to); err != nil || resp.StatusCode != http.StatusOK {
		return errors.Join(fmt.Errorf("status %d", resp.StatusCode), err)
	}
	return nil
}

type rebuildDeclareCmd struct {
	Config string `default:"deploy/snapshot.toml" help:"Settings file that names the key-value store."`
}

func (c *rebuildDeclareCmd) Run(r *run) error {
	set, err := snapshot.LoadConfig(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return declare(r.ctx, r, snapshot.NewRestorer(set))
}
