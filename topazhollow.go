// Package topazhollow provides the controller of a cluster scheduler as a library. The controllers of a deployment
// replicate job progress in each other's memory, and keep what must outlive them in the state service, a small
// consistent key-value store; see docs/design.md.
package topazhollow

import (
	"context"
	"log/slog"

	"topazhollow/internal/controller"
	"topazhollow/internal/settings"
)

// Version is the version of the program.
const Version = controller.Version

// Run runs a controller until the context ends, and returns nil then. It returns an error if one of the controller's
// essential tasks fails permanently.
func Run(ctx context.Context, s *settings.Settings, o *settings.Options, log *slog.Logger) error {
	return controller.Run(ctx, s, o, log)
}
