package cli

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"topazhollow/internal/kvstore"
	"topazhollow/internal/settings"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/teamstore"
	"topazhollow/internal/tomlfile"
)

// controlRecordKey is the key of the controllers' control record in the state service.
const controlRecordKey = "w/c"

type configCmd struct {
	SetTeam    configSetCmd    `cmd:"" help:"Change a team's guarantee and limit, or add a team that is new or was removed."`
	RemoveTeam configRemoveCmd `cmd:"" help:"Stop accepting jobs of a team. Its accepted jobs run to completion within its limit."`
	Apply      configApplyCmd  `cmd:"" help:"Make the changes listed in a TOML file."`
	List       configListCmd   `cmd:"" help:"List the teams whose configuration differs from the settings file."`
	Status     configStatusCmd `cmd:"" help:"Show which changes are in force everywhere and which controllers are behind."`
}

// configStore holds the flags that select the state service to write to and the controllers to wait for.
type configStore struct {
	Settings string        `required:"" placeholder:"FILE" help:"Settings file of a controller. It names the state service, its limits and the teams."`
	Wait     []string      `placeholder:"HOST:PORT" help:"Wait until one of these controllers reports the changes as in force everywhere."`
	Timeout  time.Duration `name:"most" default:"1m" help:"Give up after this time."`
}

// open returns a writer to the state service. The writer works until the context ends.
func (c *configStore) open(ctx context.Context) (*teamstore.Writer, error) {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	client := kvstore.New(s.Services.KVStore, s.Deployment.KVStore, len(s.Peers)+2)
	go client.Run(ctx)
	w := teamstore.New(client, s.Deployment.Teams)
	return w, w.BindEpoch(ctx, controlRecordKey)
}

// teamChange holds new values for a team's configuration; fields that are nil stay unchanged.
type teamChange struct {
	CPUs       *float64 `name:"cpus" help:"Guaranteed CPUs." toml:"cpus"`
	CPUsMax    *float64 `name:"cpus-max" help:"Limit of CPUs; 0 for none." toml:"cpus_max"`
	GPUs       *float64 `name:"gpus" help:"Guaranteed GPUs." toml:"gpus"`
	GPUsMax    *float64 `name:"gpus-max" help:"Limit of GPUs; 0 for none." toml:"gpus_max"`
	StopExcess bool     `help:"Stop tasks beyond a lowered limit, least urgent first; otherwise they run to completion." toml:"stop_excess"`
	Removed    bool     `kong:"-" toml:"removed"`
}

// edit applies the change to a team's entry. Its signature is the one that teamstore.Writer.Change calls.
func (c teamChange) edit(e *teamconfig.Entry, _ bool) error {
	for _, x := range []struct {
		to   *float64
		from *float64
	}{{&e.CPUs, c.CPUs}, {&e.CPUsMax, c.CPUsMax}, {&e.GPUs, c.GPUs}, {&e.GPUsMax, c.GPUsMax}} {
		if x.from != nil {
			*x.to = *x.from
		}
	}
	e.StopExcess, e.Removed = c.StopExcess, c.Removed
	return nil
}

// namedChange is a change of one team, as a file of changes lists it.
type namedChange struct {
	Name string `toml:"name"`
	teamChange
}

// commit commits changes, up to maxConcurrent at once, and waits until they are in force if the flags ask for that.
func (c *configStore) commit(r *commandContext, changes []namedChange) error {
	ctx, cancel := context.WithTimeout(r.ctx, c.Timeout)
	defer cancel()
	w, err := c.open(ctx)
	if err != nil {
		return err
	}
	const maxConcurrent = 64
	var mu sync.Mutex
	var group sync.WaitGroup
	numbers, failed := map[string]uint64{}, []error(nil)
	slots := make(chan struct{}, maxConcurrent)
	for _, x := range changes {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			done, err := w.Change(ctx, x.Name, x.edit)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, fmt.Errorf("team %s: %w", x.Name, err))
				return
			}
			numbers[x.Name] = done.Entry.Number
			r.print(done, "%s: change %d committed at revision %d", x.Name, done.Entry.Number, done.Version)
		})
	}
	group.Wait()
	if len(c.Wait) > 0 && len(numbers) > 0 {
		failed = append(failed, c.awaitInForce(ctx, r, numbers))
	}
	return errors.Join(failed...)
}

// configOverview is the part of a controller's overview about the team configuration.
type configOverview struct {
	Node   string `json:"node"`
	Config *struct {
		Known          uint64                     `json:"known_revision"`
		Age            *float64                   `json:"age_s"`
		Fresh          bool                       `json:"fresh"`
		Latest         uint64                     `json:"latest_change"`
		KnownByAll     uint64                     `json:"known_by_all"`
		Behind         []teamconfig.LaggingMember `json:"behind"`
		Unwritten      int                        `json:"unwritten"`
		MayLackChanges bool                       `json:"may_lack_changes"`
		Overruled      []teamconfig.Change        `json:"overruled"`
		OtherSettings  []string                   `json:"other_settings_file"`
		InForce        map[string]uint64          `json:"in_force"`
		NotInForce     []struct {
			Team   string `json:"team"`
			Number uint64 `json:"number"`
			Owner  string `json:"owner"`
		} `json:"not_in_force"`
	} `json:"configuration"`
}

// inForcePollInterval is how often controllers are asked whether changes are in force.
const inForcePollInterval = 250 * time.Millisecond

// awaitInForce waits until controllers report each team's change, given by its number, as in force everywhere.
func (c *configStore) awaitInForce(ctx context.Context, r *commandContext, numbers map[string]uint64) error {
	began := time.Now()
	for {
		for _, addr := range c.Wait {
			var a configOverview
			if fetchOverview(ctx, addr, &a) != nil || a.Config == nil {
				continue
			}
			maps.DeleteFunc(numbers, func(team string, number uint64) bool { return a.Config.InForce[team] >= number })
			if len(numbers) == 0 {
				r.print(map[string]any{"in_force": true, "after_s": time.Since(began).Seconds(), "said_by": a.Node}, "in force everywhere, reported by %s", a.Node)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("committed, but not known to be in force everywhere: %s", strings.Join(slices.Sorted(maps.Keys(numbers)), " "))
		case <-time.After(inForcePollInterval):
		}
	}
}

type configSetCmd struct {
	Team string `arg:"" help:"Team's name."`
	configStore
	teamChange
}

// Run commits the change.
func (c *configSetCmd) Run(r *commandContext) error {
	return c.commit(r, []namedChange{{c.Team, c.teamChange}})
}

type configRemoveCmd struct {
	Team string `arg:"" help:"Team's name."`
	configStore
}

// Run commits the removal.
func (c *configRemoveCmd) Run(r *commandContext) error {
	return c.commit(r, []namedChange{{c.Team, teamChange{Removed: true}}})
}

type configApplyCmd struct {
	File string `arg:"" help:"TOML file with a table [[team]] for each change: name, cpus, cpus_max, gpus, gpus_max, stop_excess, removed."`
	configStore
}

// Run commits the file's changes.
func (c *configApplyCmd) Run(r *commandContext) error {
	var file struct {
		Team []namedChange `toml:"team"`
	}
	if err := tomlfile.Load(c.File, &file); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	named := map[string]bool{}
	for _, x := range file.Team {
		if named[x.Name] || !teamconfig.ValidTeam(x.Name) {
			return fmt.Errorf("%w: %s: team %q is listed twice or its name is invalid", errUsage, c.File, x.Name)
		}
		named[x.Name] = true
	}
	return c.commit(r, file.Team)
}

type configListCmd struct{ configStore }

// Run prints the teams' entries in the state service.
func (c *configListCmd) Run(r *commandContext) error {
	ctx, cancel := context.WithTimeout(r.ctx, c.Timeout)
	defer cancel()
	w, err := c.open(ctx)
	if err != nil {
		return err
	}
	all, err := w.List(ctx)
	for _, x := range all {
		removed := ""
		if x.Entry.Removed {
			removed = "  removed"
		}
		r.print(x, "%-24s change %-4d revision %-8d cpus %g of %g  gpus %g of %g%s", x.Team, x.Entry.Number, x.Version,
			x.Entry.CPUs, x.Entry.CPUsMax, x.Entry.GPUs, x.Entry.GPUsMax, removed)
	}
	return err
}

type configStatusCmd struct {
	Controllers []string `arg:"" name:"host:port" help:"Public addresses of the controllers."`
}

// Run prints the state of the configuration at each controller; one that does not report it makes the exit code 1.
func (c *configStatusCmd) Run(r *commandContext) error {
	failed := 0
	for _, addr := range c.Controllers {
		var a configOverview
		err := fetchOverview(r.ctx, addr, &a)
		if err == nil && a.Config == nil {
			err = errors.New("configuration changes are not enabled (config_bound_s)")
		}
		if err != nil {
			failed++
			fmt.Fprintf(r.err, programName+": %s: %v\n", addr, err)
			continue
		}
		x := a.Config
		age := "of unknown age"
		if x.Age != nil {
			age = fmt.Sprintf("%.1f s old", *x.Age)
		}
		r.print(a, "%s: knows revision %d, %s (fresh: %t); last change %d, known by all up to %d; %d changes in force, %d not; %d to write back, may lack changes: %t, %d overruled, controllers with another settings file %v",
			a.Node, x.Known, age, x.Fresh, x.Latest, x.KnownByAll, len(x.InForce), len(x.NotInForce), x.Unwritten, x.MayLackChanges, len(x.Overruled), x.OtherSettings)
		if r.json {
			continue
		}
		for _, b := range x.Behind {
			fmt.Fprintf(r.out, "  %s is behind: at revision %d, lagging for %.1f s\n", b.Node, b.Known, b.LaggingSeconds)
		}
		for _, o := range x.NotInForce {
			fmt.Fprintf(r.out, "  change %d of team %s is not in force; its owner is %q\n", o.Number, o.Team, o.Owner)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d controllers did not report their configuration", failed, len(c.Controllers))
	}
	return nil
}
