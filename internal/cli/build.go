package cli

import (
	"topazhollow/internal/reapi"
)

type buildCmd struct {
	Config string `default:"deploy/build.toml" help:"Settings file (TOML)."`
	serverFlags
}

func (c *buildCmd) Run(r *commandContext) error {
	set, err := reapi.LoadConfig(c.Config)
	key, err := c.key(r, set, err)
	if key == nil {
		return err
	}
	return reapi.Serve(r.ctx, set, key, logger(r.err), nil)
}
