package reapi

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"topazhollow/internal/blob"
	"topazhollow/internal/certs"
	"topazhollow/internal/tomlfile"
	"topazhollow/internal/wait"
)

// Config is deploy/build.toml.
type Config struct {
	Listen      string  `toml:"listen"`
	Dir         string  `toml:"dir"`
	QuotaGB     float64 `toml:"quota_gb"`
	TeamGB      float64 `toml:"team_gb"`
	LooseHours  float64 `toml:"loose_hours"`
	DutyMinutes float64 `toml:"duty_minutes"`
	ScrubMB     float64 `toml:"scrub_mb_per_s"`
	BatchMB     float64 `toml:"batch_mb"`
	BlobGB      float64 `toml:"blob_gb"`
	Digests     int     `toml:"digests"`
	Tree        int     `toml:"tree_directories"`
	Streams     int     `toml:"streams"`
	TLS         struct {
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"tls"`
	Instances []Instance `toml:"instance"`
}

// DefaultConfig is what holds for what a file does not say.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:8980", Dir: "target/build", QuotaGB: 20, LooseHours: 48, DutyMinutes: 10, ScrubMB: 5, BatchMB: 4, BlobGB: 16,
		Digests: 20_000, Tree: 100_000, Streams: 1000}
}

// LoadConfig reads and checks a file. An unknown or impossible field is an error that
// names file, field and what was expected.
func LoadConfig(path string) (Config, error) {
	c := DefaultConfig()
	if err := tomlfile.Load(path, &c); err != nil {
		return c, err
	}
	if err := c.check(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *Config) check() error {
	if err := tomlfile.CheckServer(c.Listen, c.Dir, c.TLS.Cert, c.TLS.Key); err != nil {
		return err
	}
	if err := tomlfile.CheckBounds(
		tomlfile.In("quota_gb", c.QuotaGB, 0.01, 1e6), tomlfile.In("team_gb", c.TeamGB, 0, 1e6), tomlfile.In("loose_hours", c.LooseHours, 0.1, 1e5), tomlfile.In("duty_minutes", c.DutyMinutes, 0.05, 1e4),
		tomlfile.In("scrub_mb_per_s", c.ScrubMB, 0, 1e4), tomlfile.In("batch_mb", c.BatchMB, 0.1, 64), tomlfile.In("blob_gb", c.BlobGB, 0.001, 1e5), tomlfile.In("digests", float64(c.Digests), 1, 1e6),
		tomlfile.In("tree_directories", float64(c.Tree), 1, 1e7), tomlfile.In("streams", float64(c.Streams), 1, 1e6),
	); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, in := range c.Instances {
		for _, part := range strings.Split(in.Name, "/") {
			if len(in.Name) > 200 || part == "uploads" || part == "blobs" || part == "compressed-blobs" || (part == "" && in.Name != "") {
				return fmt.Errorf("field instance[%d].name: %.40q can't be told from the rest of a resource name", i, in.Name)
			}
		}
		switch {
		case in.Team == "" || strings.Contains(in.Team, "/"):
			return fmt.Errorf("field instance[%d].team: a team is expected", i)
		case seen[in.Name]:
			return fmt.Errorf("field instance[%d].name: %q is there twice", i, in.Name)
		}
		seen[in.Name] = true
	}
	if len(c.Instances) == 0 {
		return errors.New("field instance: one or more are expected")
	}
	return nil
}

// String is the configuration as a file.
func (c Config) String() string { return tomlfile.String(c) }

// Serve runs a front until the context ends. ready is told the address once it
// answers.
func Serve(ctx context.Context, c Config, key []byte, log *slog.Logger, ready func(addr string)) error {
	gb := func(x float64) int64 { return int64(x * 1e9) }
	blobs, err := blob.Open(blob.Options{Dir: c.Dir, Quota: gb(c.QuotaGB), TenantQuota: func(string) int64 { return gb(c.TeamGB) }})
	if err != nil {
		return err
	}
	defer blobs.Close()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	s := &Server{Blobs: blobs, Instances: c.Instances, Key: key, Log: log, Now: time.Now,
		Limits: Limits{Batch: int64(c.BatchMB * (1 << 20)), Digests: c.Digests, Blob: gb(c.BlobGB), Tree: c.Tree}}
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(int(s.Limits.Batch) + 4<<20), grpc.MaxSendMsgSize(int(s.Limits.Batch) + 4<<20), grpc.MaxConcurrentStreams(uint32(c.Streams)),
		grpc.MaxHeaderListSize(16 << 10), grpc.ConnectionTimeout(20 * time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 10 * time.Minute, Time: time.Minute, Timeout: 20 * time.Second})}
	if c.TLS.Cert != "" {
		opts = append(opts, grpc.Creds(credentials.NewTLS(certs.Reloaded(c.TLS.Cert, c.TLS.Key))))
	}
	g := grpc.NewServer(opts...)
	s.Register(g)
	log.Info("serving build tools", "listen", listener.Addr().String(), "dir", c.Dir, "instances", len(c.Instances), "bytes", blobs.Stats().Bytes)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		hard := time.AfterFunc(3*time.Second, g.Stop)
		defer hard.Stop()
		g.GracefulStop()
		return nil
	})
	group.Go(func() error {
		c.duty(ctx, blobs, log)
		return nil
	})
	if ready != nil {
		ready(listener.Addr().String())
	}
	return group.Wait()
}

// duty keeps the store in order until the context ends.
func (c *Config) duty(ctx context.Context, blobs *blob.Store, log *slog.Logger) {
	for ctx.Err() == nil {
		n, freed, err := blobs.Collect(ctx, time.Duration(c.LooseHours*float64(time.Hour)))
		if ctx.Err() != nil {
			return
		}
		log.Info("kept in order", "blobs_collected", n, "bytes_freed", freed, "bytes", blobs.Stats().Bytes, "err", err)
		if c.ScrubMB > 0 {
			found, err := blobs.Scrub(ctx, c.ScrubMB*1e6)
			if ctx.Err() == nil {
				log.Info("scrubbed", "blobs", found.Blobs, "bad", found.Bad, "rotten", found.Unrepaired, "err", err)
			}
		}
		wait.For(ctx, time.Duration(c.DutyMinutes*float64(time.Minute)))
	}
}
