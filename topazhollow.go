// Package topazhollow is a cluster scheduler's controller as a library. Several
// controllers run one deployment together: they replicate job progress in each
// other's memory and keep what must outlive them in a small consistent key-value
// store, as docs/design.md tells.
package topazhollow

import (
	"context"
	"log/slog"

	"topazhollow/internal/controller"
	"topazhollow/internal/settings"
)

// Version is the version of the program.
const Version = controller.Version

// Run serves as one controller until the context ends. It returns nil then, and
// an error if a duty that it depends on failed for good.
func Run(ctx context.Context, s *settings.Settings, o *settings.Options, log *slog.Logger) error {
	return controller.Run(ctx, s, o, log)
}
