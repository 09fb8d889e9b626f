package topaz

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/blob"
	"topazhollow/internal/keeper"
)

type keepCmd struct {
	Config      string `default:"deploy/keep.toml" help:"Settings file (TOML)."`
	Check       bool   `help:"Check the settings, then leave."`
	PrintConfig bool   `help:"Print the settings in force, with defaults, then leave."`
}

func (c *keepCmd) Run(r *run) error {
	set, err := keeper.LoadConfig(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if c.PrintConfig {
		fmt.Fprint(r.out, set)
		return nil
	}
	key, err := keeper.KeyFromEnvironment()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if c.Check {
		fmt.Fprintln(r.out, "ok")
		return nil
	}
	return Keep(r.ctx, set, key, r.err, nil)
}

// Keep runs a keeper until the context ends. ready is told the address once it
// answers.
func Keep(ctx context.Context, set keeper.Config, key []byte, log io.Writer, ready func(addr string)) error {
	l := logger(log)
	gb := func(x float64) int64 { return int64(x * 1e9) }
	blobs, err := blob.Open(blob.Options{Dir: filepath.Join(set.Dir, "blobs"), Quota: gb(set.QuotaGB), Reserve: gb(set.ReserveGB),
		Tenant: func(string) int64 { return gb(set.TenantGB) }})
	if err != nil {
		return err
	}
	defer blobs.Close()
	k, err := keeper.Open(keeper.Options{Dir: filepath.Join(set.Dir, "attempts"), Blobs: blobs, Key: key})
	if err != nil {
		return err
	}
	defer k.Close()
	listener, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: (&keeper.Server{Keeper: k, Blobs: blobs, Key: key, Log: l}).Handler(),
		ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10}
	l.Info("keeping", "listen", listener.Addr().String(), "dir", set.Dir, "open_attempts", k.Opened(), "bytes", blobs.Stats().Bytes)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return set.Duty().Run(ctx, k, blobs, l) })
	group.Go(func() error {
		var err error
		if set.TLS.Cert != "" {
			srv.TLSConfig = keeper.Certificates(set.TLS.Cert, set.TLS.Key)
			err = srv.ServeTLS(listener, "", "")
		} else {
			err = srv.Serve(listener)
		}
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if srv.Shutdown(stop) != nil {
			return srv.Close() // followers hold on to theirs
		}
		return nil
	})
	if ready != nil {
		ready(listener.Addr().String())
	}
	return group.Wait()
}
