package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/artifactreplication"
	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/certs"
)

type keepCmd struct {
	Run    keepRunCmd    `cmd:"" default:"withargs" help:"Run a keeper until it is stopped."`
	Status keepStatusCmd `cmd:"" help:"Tell how each keeper is: copies short, repair left, disk, refusals by reason."`
}

type keepRunCmd struct {
	Config string `default:"deploy/keep.toml" help:"Settings file (TOML)."`
	serverFlags
}

func (c *keepRunCmd) Run(r *run) error {
	set, err := artifactreplication.LoadConfig(c.Config)
	key, err := c.key(r, set, err)
	if key == nil {
		return err
	}
	return Keep(r.ctx, set, key, r.err, nil)
}

// Keep runs a keeper until the context ends. ready is told the address once it
// answers.
func Keep(ctx context.Context, set artifactreplication.Config, key []byte, log io.Writer, ready func(addr string)) error {
	l := logger(log)
	gb := func(x float64) int64 { return int64(x * 1e9) }
	listener, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return err
	}
	defer listener.Close()
	if len(set.Members.List) == 0 { // alone, perhaps at an address that only now is known
		set.Listen = listener.Addr().String()
		set.FillDefaults()
	}
	var node *artifactreplication.Node
	blobs, err := blob.Open(blob.Options{Dir: filepath.Join(set.Dir, "blobs"), Quota: gb(set.QuotaGB), Reserve: gb(set.ReserveGB),
		Tenant: func(string) int64 { return gb(set.TenantGB) },
		Repair: func(ctx context.Context, d blob.Digest) (io.ReadCloser, error) { return node.OpenVerified(ctx, d) }})
	if err != nil {
		return err
	}
	defer blobs.Close()
	k, err := artifactstore.Open(artifactstore.Options{Dir: filepath.Join(set.Dir, "attempts"), Blobs: blobs, Key: key})
	if err != nil {
		return err
	}
	defer k.Close()
	retain, err := artifactreplication.LoadRetention(set.Policy, set.KeepDays)
	if err != nil {
		return err
	}
	revoked, err := artifactreplication.LoadRevoked(set.Revoked)
	if err != nil {
		return err
	}
	client, err := set.Client()
	if err != nil {
		return err
	}
	node, err = artifactreplication.New(artifactreplication.Options{Name: set.Name, Dir: set.Dir, Members: set.Members, Store: k, Blobs: blobs, Key: key,
		PeerTimeout: time.Duration(set.PatienceSec * float64(time.Second)), Repair: set.RepairMB * 1e6, Retain: retain, Revoked: revoked, HTTP: client, Log: l})
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: (&artifactreplication.Server{Node: node}).Handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10}
	st := node.Status()
	l.Info("keeping", "keeper", st.Name, "listen", listener.Addr().String(), "dir", set.Dir, "epoch", st.Epoch, "disk", st.Disk, "incarnation", st.Incarnation,
		"state", st.State, "open_attempts", st.Open, "bytes", st.Bytes)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return set.BackgroundWork().Run(ctx, node) })
	group.Go(func() error { return set.BackgroundWork().RepairOnce(ctx, node) })
	group.Go(func() error {
		var err error
		if set.TLS.Cert != "" {
			srv.TLSConfig = certs.Reloaded(set.TLS.Cert, set.TLS.Key)
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

type keepStatusCmd struct {
	Config string `default:"deploy/keep.toml" help:"Settings file (TOML) with the list of keepers."`
}

// Run asks every keeper of the settings' list. One that does not answer is told of, and
// makes the exit code 1.
func (c *keepStatusCmd) Run(r *run) error {
	set, err := artifactreplication.LoadConfig(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	key, err := artifactreplication.KeyFromEnvironment()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	client, err := set.Client()
	if err != nil {
		return err
	}
	client.Timeout = 10 * time.Second
	table := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	if !r.json {
		fmt.Fprintln(table, "KEEPER\tZONE\tSTATE\tEPOCH\tSTARTS\tGB\tOPEN\tSHORT\tREPAIR LEFT\tOLDEST\tHAND OVER\tAWAY\tREFUSED")
	}
	var silent []string
	for _, m := range set.Members.List {
		if m.State == artifactreplication.Gone {
			continue
		}
		st, err := artifactreplication.AskStatus(r.ctx, client, m.URL, key)
		if err != nil {
			silent = append(silent, m.Name)
			r.row(table, map[string]any{"name": m.Name, "zone": m.Zone, "state": "no answer", "error": err.Error()}, "%s\t%s\tno answer: %v", m.Name, m.Zone, err)
			continue
		}
		var refused []string
		for reason, n := range st.Refused {
			refused = append(refused, fmt.Sprintf("%s %d", reason, n))
		}
		r.row(table, st, "%s\t%s\t%s\t%d\t%d\t%.2f\t%d\t%d\t%d\t%.0f s\t%d\t%d\t%s", st.Name, st.Zone, st.State, st.Epoch, st.Incarnation, float64(st.Bytes)/1e9,
			st.Open, st.Short, st.Left, st.Oldest, st.Strays, len(st.Away), cmp.Or(strings.Join(refused, ", "), "-"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(silent) > 0 {
		return fmt.Errorf("no answer from %s", strings.Join(silent, ", "))
	}
	return nil
}

// row prints a line of a table, or a JSON line.
func (r *run) row(table io.Writer, v any, format string, args ...any) {
	if r.json {
		r.print(v, "")
		return
	}
	fmt.Fprintf(table, format+"\n", args...)
}
