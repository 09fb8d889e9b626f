// Package topazhollow is a cluster scheduler's controller as a library.
package topazhollow

import (
	"context"
	"log/slog"

	"topazhollow/internal/httpx"
	"topazhollow/internal/settings"
	"time"
)

// Version is the version of the program.
const Version = "0.1.0"

// Run serves until the context ends.
func Run(ctx context.Context, s *settings.Settings, o *settings.Options, log *slog.Logger) error {
	log.Info("start")
	return httpx.Serve(ctx, s.Listen, 100, httpx.Patience{Idle: time.Minute, Slow: 5 * time.Second},
		func(ctx context.Context, c *httpx.Conn, r *httpx.Request) httpx.Answer {
			log.Info("req", "path", r.Path)
			return httpx.Answer{Status: 200, Body: []byte("{}")}
		})
}
