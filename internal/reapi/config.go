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

// Config holds the settings of the build server, as in deploy/build.toml.
type Config struct {
	Listen             string  `toml:"listen"`
	Dir                string  `toml:"dir"`
	QuotaGB            float64 `toml:"quota_gb"`
	TeamGB             float64 `toml:"team_gb"`
	UnreferencedHours  float64 `toml:"loose_hours"`
	MaintenanceMinutes float64 `toml:"duty_minutes"`
	ScrubMB            float64 `toml:"scrub_mb_per_s"`
	MaxBatchMB         float64 `toml:"batch_mb"`
	MaxBlobGB          float64 `toml:"blob_gb"`
	MaxDigests         int     `toml:"digests"`
	MaxTreeDirectories int     `toml:"tree_directories"`
	MaxStreams         int     `toml:"streams"`
	TLS                struct {
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"tls"`
	Instances []Instance `toml:"instance"`
}

// DefaultConfig returns the values of settings that a file leaves out.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:8980", Dir: "target/build", QuotaGB: 20, UnreferencedHours: 48, MaintenanceMinutes: 10, ScrubMB: 5, MaxBatchMB: 4, MaxBlobGB: 16,
		MaxDigests: 20_000, MaxTreeDirectories: 100_000, MaxStreams: 1000}
}

// LoadConfig reads and checks a settings file. The error for an unknown or invalid field names the file, the field and
// what was expected.
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
		tomlfile.In("quota_gb", c.QuotaGB, 0.01, 1e6), tomlfile.In("team_gb", c.TeamGB, 0, 1e6), tomlfile.In("loose_hours", c.UnreferencedHours, 0.1, 1e5), tomlfile.In("duty_minutes", c.MaintenanceMinutes, 0.05, 1e4),
		tomlfile.In("scrub_mb_per_s", c.ScrubMB, 0, 1e4), tomlfile.In("batch_mb", c.MaxBatchMB, 0.1, 64), tomlfile.In("blob_gb", c.MaxBlobGB, 0.001, 1e5), tomlfile.In("digests", float64(c.MaxDigests), 1, 1e6),
		tomlfile.In("tree_directories", float64(c.MaxTreeDirectories), 1, 1e7), tomlfile.In("streams", float64(c.MaxStreams), 1, 1e6),
	); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, in := range c.Instances {
		for _, part := range strings.Split(in.Name, "/") {
			if len(in.Name) > 200 || part == "uploads" || part == "blobs" || part == "compressed-blobs" || (part == "" && in.Name != "") {
				return fmt.Errorf("field instance[%d].name: %.40q is too long or would be ambiguous in a resource name", i, in.Name)
			}
		}
		switch {
		case in.Team == "" || strings.Contains(in.Team, "/"):
			return fmt.Errorf("field instance[%d].team: a team name without / is expected", i)
		case seen[in.Name]:
			return fmt.Errorf("field instance[%d].name: %q is listed twice", i, in.Name)
		}
		seen[in.Name] = true
	}
	if len(c.Instances) == 0 {
		return errors.New("field instance: at least one instance is expected")
	}
	return nil
}

// String returns the configuration in the form of its file.
func (c Config) String() string { return tomlfile.String(c) }

// Serve runs the build server until the context ends. It calls ready, unless that is nil, with the address it listens on.
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
		Limits: Limits{BatchBytes: int64(c.MaxBatchMB * (1 << 20)), Digests: c.MaxDigests, BlobBytes: gb(c.MaxBlobGB), TreeDirectories: c.MaxTreeDirectories}}
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(int(s.Limits.BatchBytes) + 4<<20), grpc.MaxSendMsgSize(int(s.Limits.BatchBytes) + 4<<20), grpc.MaxConcurrentStreams(uint32(c.MaxStreams)),
		grpc.MaxHeaderListSize(16 << 10), grpc.ConnectionTimeout(20 * time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 10 * time.Minute, Time: time.Minute, Timeout: 20 * time.Second})}
	if c.TLS.Cert != "" {
		opts = append(opts, grpc.Creds(credentials.NewTLS(certs.Reloaded(c.TLS.Cert, c.TLS.Key))))
	}
	g := grpc.NewServer(opts...)
	s.Register(g)
	log.Info("build server started", "listen", listener.Addr().String(), "dir", c.Dir, "instances", len(c.Instances), "bytes", blobs.Stats().Bytes)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		forceStop := time.AfterFunc(3*time.Second, g.Stop)
		defer forceStop.Stop()
		g.GracefulStop()
		return nil
	})
	group.Go(func() error {
		c.runMaintenance(ctx, blobs, log)
		return nil
	})
	if ready != nil {
		ready(listener.Addr().String())
	}
	return group.Wait()
}

// runMaintenance runs rounds of maintenance until the context ends, with a pause of MaintenanceMinutes after each. A
// round removes the blobs that no cached result references and no client used for UnreferencedHours, and scrubs the
// others.
func (c *Config) runMaintenance(ctx context.Context, blobs *blob.Store, log *slog.Logger) {
	for ctx.Err() == nil {
		n, freed, err := blobs.Collect(ctx, time.Duration(c.UnreferencedHours*float64(time.Hour)))
		if ctx.Err() != nil {
			return
		}
		log.Info("maintenance round finished", "blobs_collected", n, "bytes_freed", freed, "bytes", blobs.Stats().Bytes, "err", err)
		if c.ScrubMB > 0 {
			found, err := blobs.Scrub(ctx, c.ScrubMB*1e6)
			if ctx.Err() == nil {
				log.Info("scrub finished", "blobs", found.Blobs, "bad", found.Bad, "rotten", found.Unrepaired, "err", err)
			}
		}
		wait.For(ctx, time.Duration(c.MaintenanceMinutes*float64(time.Minute)))
	}
}
