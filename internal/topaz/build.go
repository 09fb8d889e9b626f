package topaz

import (
	"fmt"

	"topazhollow/internal/keepers"
	"topazhollow/internal/reapi"
)

type buildCmd struct {
	Config      string `default:"deploy/build.toml" help:"Settings file (TOML)."`
	Check       bool   `help:"Check the settings, then leave."`
	PrintConfig bool   `help:"Print the settings in force, with defaults, then leave."`
}

func (c *buildCmd) Run(r *run) error {
	set, err := reapi.LoadConfig(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if c.PrintConfig {
		fmt.Fprint(r.out, set)
		return nil
	}
	key, err := keepers.KeyFromEnvironment()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if c.Check {
		fmt.Fprintln(r.out, "ok")
		return nil
	}
	return reapi.Serve(r.ctx, set, key, logger(r.err), nil)
}
