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

// controlRecord is the key of the controllers' record.
const controlRecord = "w/c"

type configCmd struct {
	SetTeam    configSetCmd    `cmd:"" help:"Change a team's guarantee and limit, or bring a new or removed team."`
	RemoveTeam configRemoveCmd `cmd:"" help:"Have a team take no new jobs. Its accepted jobs run to their end within its limit."`
	Apply      configApplyCmd  `cmd:"" help:"Make many changes, given by a TOML file."`
	List       configListCmd   `cmd:"" help:"List the teams that were changed since the settings file."`
	Status     configStatusCmd `cmd:"" help:"Tell which changes are in force everywhere and which controllers are behind."`
}

// configStore says where changes go and whether to wait for them.
type configStore struct {
	Settings string        `required:"" placeholder:"FILE" help:"Settings file of a controller, which names the key-value store, its limits and the teams."`
	Wait     []string      `placeholder:"HOST:PORT" help:"Wait until one of these controllers says that it is in force everywhere."`
	Most     time.Duration `default:"1m" help:"Give up after this."`
}

// open begins to write; the writer works until the context ends.
func (c *configStore) open(ctx context.Context) (*teamstore.Writer, error) {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	client := kvstore.New(s.Services.KVStore, s.Deployment.KVStore, len(s.Peers)+2)
	go client.Run(ctx)
	w := teamstore.New(client, s.Deployment.Teams)
	return w, w.BindEpoch(ctx, controlRecord)
}

// teamChange is what is to be changed of a team; nil stays as it is.
type teamChange struct {
	CPUs       *float64 `name:"cpus" help:"Guaranteed CPUs." toml:"cpus"`
	CPUsMax    *float64 `name:"cpus-max" help:"Limit of CPUs; 0: none." toml:"cpus_max"`
	GPUs       *float64 `name:"gpus" help:"Guaranteed GPUs." toml:"gpus"`
	GPUsMax    *float64 `name:"gpus-max" help:"Limit of GPUs; 0: none." toml:"gpus_max"`
	StopExcess bool     `help:"Stop what runs beyond a lowered limit, least urgent first; without it that runs to its end." toml:"stop_excess"`
	Removed    bool     `kong:"-" toml:"removed"`
}

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

// change is one for a team, as a file lists them.
type change struct {
	Name string `toml:"name"`
	teamChange
}

// commit makes changes, those of different teams at once, and waits for them if asked to.
func (c *configStore) commit(r *run, changes []change) error {
	ctx, cancel := context.WithTimeout(r.ctx, c.Most)
	defer cancel()
	w, err := c.open(ctx)
	if err != nil {
		return err
	}
	const atOnce = 64
	var mu sync.Mutex
	var group sync.WaitGroup
	numbers, failed := map[string]uint64{}, []error(nil)
	slots := make(chan struct{}, atOnce)
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
		failed = append(failed, c.await(ctx, r, numbers))
	}
	return errors.Join(failed...)
}

// configAnswer is what a controller says of the configuration.
type configAnswer struct {
	Node   string `json:"node"`
	Config *struct {
		Known     uint64                     `json:"known_revision"`
		Age       *float64                   `json:"age_s"`
		Fresh     bool                       `json:"fresh"`
		Latest    uint64                     `json:"latest_change"`
		Reached   uint64                     `json:"known_by_all"`
		Behind    []teamconfig.LaggingMember `json:"behind"`
		Unwritten int                        `json:"unwritten"`
		Lacks     bool                       `json:"may_lack_changes"`
		Overruled []teamconfig.Change        `json:"overruled"`
		Strangers []string                   `json:"other_settings_file"`
		Changes   map[string]uint64          `json:"in_force"`
		Open      []struct {
			Team   string `json:"team"`
			Number uint64 `json:"number"`
			Owner  string `json:"owner"`
		} `json:"not_in_force"`
	} `json:"configuration"`
}

// askEvery is how often controllers are asked whether changes are in force.
const askEvery = 250 * time.Millisecond

// await waits until a controller says that changes are in force everywhere.
func (c *configStore) await(ctx context.Context, r *run, numbers map[string]uint64) error {
	began := time.Now()
	for {
		for _, addr := range c.Wait {
			var a configAnswer
			if overviewOf(ctx, addr, &a) != nil || a.Config == nil {
				continue
			}
			maps.DeleteFunc(numbers, func(team string, number uint64) bool { return a.Config.Changes[team] >= number })
			if len(numbers) == 0 {
				r.print(map[string]any{"in_force": true, "after_s": time.Since(began).Seconds(), "said_by": a.Node}, "in force everywhere, says %s", a.Node)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("committed, and not known to be in force everywhere: %s", strings.Join(slices.Sorted(maps.Keys(numbers)), " "))
		case <-time.After(askEvery):
		}
	}
}

type configSetCmd struct {
	Team string `arg:"" help:"Team's name."`
	configStore
	teamChange
}

// Run commits the change.
func (c *configSetCmd) Run(r *run) error { return c.commit(r, []change{{c.Team, c.teamChange}}) }

type configRemoveCmd struct {
	Team string `arg:"" help:"Team's name."`
	configStore
}

// Run commits the removal.
func (c *configRemoveCmd) Run(r *run) error {
	return c.commit(r, []change{{c.Team, teamChange{Removed: true}}})
}

type configApplyCmd struct {
	File string `arg:"" help:"File with a table [[team]] for each change: name, cpus, cpus_max, gpus, gpus_max, stop_excess, removed."`
	configStore
}

// Run commits the file's changes.
func (c *configApplyCmd) Run(r *run) error {
	var file struct {
		Team []change `toml:"team"`
	}
	if err := tomlfile.Load(c.File, &file); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	named := map[string]bool{}
	for _, x := range file.Team {
		if named[x.Name] || !teamconfig.ValidTeam(x.Name) {
			return fmt.Errorf("%w: %s: team %q is named twice or has no such name", errUsage, c.File, x.Name)
		}
		named[x.Name] = true
	}
	return c.commit(r, file.Team)
}

type configListCmd struct{ configStore }

// Run prints the entries.
func (c *configListCmd) Run(r *run) error {
	ctx, cancel := context.WithTimeout(r.ctx, c.Most)
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

// Run asks each controller.
func (c *configStatusCmd) Run(r *run) error {
	failed := 0
	for _, addr := range c.Controllers {
		var a configAnswer
		err := overviewOf(r.ctx, addr, &a)
		if err == nil && a.Config == nil {
			err = errors.New("does not follow the configuration (config_bound_s)")
		}
		if err != nil {
			failed++
			fmt.Fprintf(r.err, programName+": %s: %v\n", addr, err)
			continue
		}
		x := a.Config
		age := "nothing is known"
		if x.Age != nil {
			age = fmt.Sprintf("%.1f s old", *x.Age)
		}
		r.print(a, "%s: knows revision %d, %s (fresh: %t); last change %d, known by all up to %d; %d changes in force, %d not; %d to write back, may lack changes: %t, overruled %d, other settings files %v",
			a.Node, x.Known, age, x.Fresh, x.Latest, x.Reached, len(x.Changes), len(x.Open), x.Unwritten, x.Lacks, len(x.Overruled), x.Strangers)
		if r.json {
			continue
		}
		for _, b := range x.Behind {
			fmt.Fprintf(r.out, "  %s is behind: knows revision %d, for %.1f s\n", b.Node, b.Known, b.LaggingSeconds)
		}
		for _, o := range x.Open {
			fmt.Fprintf(r.out, "  change %d of team %s is not in force; its owner is %q\n", o.Number, o.Team, o.Owner)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d controllers did not tell", failed, len(c.Controllers))
	}
	return nil
}
