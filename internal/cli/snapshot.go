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

	Follow  snapshotFollowCmd  `cmd:"" help:"Copy the state service's data and all later changes until this command is stopped."`
	List    snapshotListCmd    `cmd:"" help:"List the copies."`
	Verify  snapshotVerifyCmd  `cmd:"" help:"Read every copy and check it."`
	Restore snapshotRestoreCmd `cmd:"" help:"Restore a copy into the generation that the controllers began after a loss. Entries that the state service has already are newer and stay."`
	Prune   snapshotPruneCmd   `cmd:"" help:"Delete the oldest copies, up to the first one that must stay: the newest, one younger than --older, or one from before a loss, unless --copy names it."`
}

// open reads the settings and opens the archive, for writing if write is set: then it fails while another process has
// the archive open for writing.
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

func (c *snapshotFollowCmd) Run(r *commandContext, all *cli) error {
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

func (c *snapshotListCmd) Run(r *commandContext, all *cli) error {
	_, a, err := all.Snapshot.open(false)
	if err != nil {
		return err
	}
	for _, x := range a.Copies() {
		state := "complete"
		if !x.Complete {
			state = "truncated"
		}
		if x.LossReason != "" {
			state += "; data loss after it: " + x.LossReason
		}
		r.print(x, "%6d  %s to %s  revisions %d to %d  %d keys, %d changes  %s", x.ID, x.At.Format(time.RFC3339), x.Until.Format(time.RFC3339), x.Revision, x.LastRevision, x.Keys, x.Changes, state)
	}
	return a.Close()
}

type snapshotVerifyCmd struct{}

func (c *snapshotVerifyCmd) Run(r *commandContext, all *cli) error {
	_, a, err := all.Snapshot.open(false)
	if err != nil {
		return err
	}
	copies, keys, err := a.Verify()
	if err == nil {
		r.print(map[string]int{"copies": copies, "keys": keys}, "%d copies with %d keys verified", copies, keys)
	}
	return errors.Join(err, a.Close())
}

type snapshotRestoreCmd struct {
	Copy     uint64        `help:"Number of the copy; by default the newest complete one from before a loss, or the newest complete one if there was no loss."`
	Revision uint64        `help:"Restore the state at this revision; by default all of the copy."`
	Apply    bool          `help:"Write; without it the command only prints what it would write."`
	Declare  bool          `help:"Declare afterwards that no more data will be recovered: controllers then answer that jobs they don't know don't exist."`
	Force    bool          `help:"Restore even if the controllers miss nothing."`
	Timeout  time.Duration `name:"most" default:"1h" help:"Give up after this time."`
}

func (c *snapshotRestoreCmd) Run(r *commandContext, all *cli) (err error) {
	set, a, err := all.Snapshot.open(false)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, a.Close()) }()
	ctx, cancel := context.WithTimeout(r.ctx, c.Timeout)
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
	restorer := snapshot.NewRestorer(set)
	plan, err := restorer.Plan(ctx, a, c.Copy, c.Revision, c.Force)
	if err != nil {
		return err
	}
	action := "would restore"
	if c.Apply {
		began := time.Now()
		if err := restorer.Apply(ctx, plan, nil); err != nil {
			return fmt.Errorf("%w; what was written stays, and running the same command again continues", err)
		}
		action = fmt.Sprintf("restored in %s", time.Since(began).Round(10*time.Millisecond))
	}
	r.print(plan, "copy %d as of revision %d, into generation %d: %s the configuration of %d teams, %d jobs with %d finished tasks and %d ended jobs, by %d changes; of %d jobs the state service has newer entries",
		plan.Copy, plan.Revision, plan.Generation, action, plan.Teams, plan.Jobs, plan.Done, plan.Ends, plan.Changes, plan.Newer)
	if c.Apply && c.Declare {
		return declareLost(ctx, r, restorer)
	}
	return nil
}

// declareLost declares that no more data will be recovered.
func declareLost(ctx context.Context, r *commandContext, restorer *snapshot.Restorer) error {
	changed, err := restorer.Declare(ctx)
	if err != nil {
		return err
	}
	r.print(map[string]bool{"changed": changed}, "data that no controller or copy has is declared lost (changed: %t)", changed)
	return nil
}

type snapshotPruneCmd struct {
	MinAge time.Duration `name:"older" default:"48h" help:"Delete copies that were begun longer ago than this."`
	Copy   []uint64      `help:"Delete these copies even if they are from before a loss."`
}

func (c *snapshotPruneCmd) Run(r *commandContext, all *cli) error {
	_, a, err := all.Snapshot.open(true)
	if err != nil {
		return err
	}
	dropped, err := a.Prune(time.Now().Add(-c.MinAge), c.Copy...)
	if err == nil {
		r.print(map[string]any{"dropped": dropped}, "deleted %d copies %v", len(dropped), dropped)
	}
	return errors.Join(err, a.Close())
}

type recoveryCmd struct {
	Status  recoveryStatusCmd `cmd:"" help:"Show what controllers hold of the state service's data and which recovery work is left."`
	Declare declareLostCmd    `cmd:"" name:"declare-lost" help:"Declare that no more data will be recovered: from then on controllers answer that jobs they don't know don't exist."`
}

type recoveryStatusCmd struct {
	Controllers []string `arg:"" help:"Public addresses of the controllers."`
}

// storeStatus is the part of a controller's overview about the state service.
type storeStatus struct {
	Node     string              `json:"node"`
	Entitled bool                `json:"entitled"`
	Term     uint64              `json:"term"`
	Store    datarecovery.Status `json:"store"`
}

func (c *recoveryStatusCmd) Run(r *commandContext) error {
	failed := 0
	for _, addr := range c.Controllers {
		var s storeStatus
		if err := fetchOverview(r.ctx, addr, &s); err != nil {
			failed++
			fmt.Fprintf(r.err, programName+": %s: %v\n", addr, err)
			continue
		}
		left := "nothing is left to do"
		if x := s.Store; x.RosterIncomplete || len(x.AwaitedMembers) > 0 || x.Unwritten+x.StaleActive > 0 {
			left = fmt.Sprintf("left: %d jobs to write back, %d ends to rewrite, data of controllers %v to receive, roster incomplete: %t", x.Unwritten, x.StaleActive, x.AwaitedMembers, x.RosterIncomplete)
		}
		lost := "no data is declared lost"
		if s.Store.DataLost {
			lost = fmt.Sprintf("jobs may be lost; machines run tasks of %d jobs without a description %s", len(s.Store.Undescribed), strings.Join(s.Store.Undescribed, " "))
		}
		r.print(s, "%s: state service %s %s, generation %d, term %d; %s; %s; has %d ended jobs in memory (all: %t)",
			s.Node, s.Store.Phase, s.Store.Sign, s.Store.Epoch, s.Term, left, lost, s.Store.Ends, s.Store.HistoryComplete)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d controllers did not answer", failed, len(c.Controllers))
	}
	return nil
}

// fetchOverview reads a controller's overview into the struct that to points to. Parts of the overview without a field
// in the struct are ignored.
func fetchOverview(ctx context.Context, addr string, to any) error {
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

type declareLostCmd struct {
	Config string `default:"deploy/snapshot.toml" help:"Settings file that names the state service."`
}

func (c *declareLostCmd) Run(r *commandContext) error {
	set, err := snapshot.LoadConfig(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return declareLost(r.ctx, r, snapshot.NewRestorer(set))
}
