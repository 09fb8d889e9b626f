package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
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

type artifactStoreCmd struct {
	Run    artifactStoreRunCmd    `cmd:"" default:"withargs" help:"Run a replica of the artifact store until it is stopped."`
	Status artifactStoreStatusCmd `cmd:"" help:"Show the state of each replica: missing copies, pending repairs, disk, refusals by reason."`
}

type artifactStoreRunCmd struct {
	Config string `default:"deploy/keep.toml" help:"Settings file (TOML)."`
	serverFlags
}

func (c *artifactStoreRunCmd) Run(r *commandContext) error {
	set, err := artifactreplication.LoadConfig(c.Config)
	key, err := c.key(r, set, err)
	if key == nil {
		return err
	}
	return RunArtifactStore(r.ctx, set, key, r.err, nil)
}

// RunArtifactStore runs a replica of the artifact store until the context ends. It calls ready, unless that is nil, with
// the address it listens on once it serves requests.
func RunArtifactStore(ctx context.Context, set artifactreplication.Config, key []byte, log io.Writer, ready func(addr string)) error {
	listener, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return err
	}
	defer listener.Close()
	if len(set.Members.List) == 0 { // a single replica, whose port the system may have chosen
		set.Listen = listener.Addr().String()
		set.FillDefaults()
	}
	s := &artifactServer{set: set, listener: listener, log: logger(log)}
	defer s.close()
	if err := s.open(key); err != nil {
		return err
	}
	if err := s.join(key); err != nil {
		return err
	}
	s.logStart()
	return s.run(ctx, ready)
}

// artifactServer is one replica of the artifact store with its listener and its stores.
type artifactServer struct {
	set      artifactreplication.Config
	listener net.Listener
	log      *slog.Logger
	blobs    *blob.Store
	store    *artifactstore.Store
	node     *artifactreplication.Node
}

// open opens the stores on disk.
func (s *artifactServer) open(key []byte) (err error) {
	set := &s.set
	gb := func(x float64) int64 { return int64(x * 1e9) }
	if s.blobs, err = blob.Open(blob.Options{
		Dir:         filepath.Join(set.Dir, "blobs"),
		Quota:       gb(set.QuotaGB),
		Reserve:     gb(set.ReserveGB),
		TenantQuota: func(string) int64 { return gb(set.TenantGB) },
		Repair: func(ctx context.Context, d blob.Digest) (io.ReadCloser, error) {
			return s.node.OpenVerified(ctx, d)
		},
	}); err != nil {
		return err
	}
	attempts := artifactstore.Options{Dir: filepath.Join(set.Dir, "attempts"), Blobs: s.blobs, Key: key}
	s.store, err = artifactstore.Open(attempts)
	return err
}

// join makes the server a replica of the group in the settings.
func (s *artifactServer) join(key []byte) error {
	set := &s.set
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
	s.node, err = artifactreplication.New(artifactreplication.Options{
		Name:                 set.Name,
		Dir:                  set.Dir,
		Members:              set.Members,
		Store:                s.store,
		Blobs:                s.blobs,
		Key:                  key,
		PeerTimeout:          time.Duration(set.PeerTimeoutSec * float64(time.Second)),
		RepairBytesPerSecond: set.RepairMB * 1e6,
		Retention:            retain,
		Revoked:              revoked,
		HTTP:                 client,
		Log:                  s.log,
	})
	return err
}

// close closes the stores, the attempts before the blobs that they refer to. Acknowledged data is on disk already.
func (s *artifactServer) close() {
	if s.store != nil {
		s.store.Close()
	}
	if s.blobs != nil {
		s.blobs.Close()
	}
}

func (s *artifactServer) logStart() {
	st := s.node.Status()
	s.log.Info("artifact store started", "keeper", st.Name, "listen", s.listener.Addr().String(), "dir", s.set.Dir,
		"epoch", st.Epoch, "disk", st.Disk, "incarnation", st.Incarnation,
		"state", st.State, "open_attempts", st.Open, "bytes", st.Bytes)
}

// run serves requests and runs the background work until the context ends.
func (s *artifactServer) run(ctx context.Context, ready func(addr string)) error {
	server := &http.Server{
		Handler:           (&artifactreplication.Server{Node: s.node}).Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.set.BackgroundWork().Run(ctx, s.node) })
	group.Go(func() error { return s.set.BackgroundWork().RunRepair(ctx, s.node) })
	group.Go(func() error { return s.serve(server) })
	group.Go(func() error {
		<-ctx.Done()
		return shutDown(server)
	})
	if ready != nil {
		ready(s.listener.Addr().String())
	}
	return group.Wait()
}

// serve answers requests until the server is shut down, over TLS if the settings name a certificate.
func (s *artifactServer) serve(server *http.Server) (err error) {
	if s.set.TLS.Cert != "" {
		server.TLSConfig = certs.Reloaded(s.set.TLS.Cert, s.set.TLS.Key)
		err = server.ServeTLS(s.listener, "", "")
	} else {
		err = server.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdownTimeout bounds the wait for requests in flight; requests that follow a log don't end by themselves.
const shutdownTimeout = 3 * time.Second

func shutDown(server *http.Server) error {
	stop, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(stop) != nil {
		return server.Close()
	}
	return nil
}

type artifactStoreStatusCmd struct {
	Config string `default:"deploy/keep.toml" help:"Settings file (TOML) with the list of replicas."`
}

// Run prints the status of every replica in the settings. A replica that does not answer makes the exit code 1.
func (c *artifactStoreStatusCmd) Run(r *commandContext) error {
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
		fmt.Fprintln(table, "REPLICA\tZONE\tSTATE\tEPOCH\tINCARNATION\tGB\tOPEN\tUNDER-REPLICATED\tREPAIRS\tOLDEST REPAIR\tMISPLACED\tUNREACHABLE\tREFUSED")
	}
	var unreachable []string
	for _, m := range set.Members.List {
		if m.State == artifactreplication.Gone {
			continue
		}
		st, err := artifactreplication.AskStatus(r.ctx, client, m.URL, key)
		if err != nil {
			unreachable = append(unreachable, m.Name)
			answer := map[string]any{"name": m.Name, "zone": m.Zone, "state": "no answer", "error": err.Error()}
			r.row(table, answer, "%s\t%s\tno answer: %v", m.Name, m.Zone, err)
			continue
		}
		r.statusRow(table, st)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(unreachable) > 0 {
		return fmt.Errorf("no answer from %s", strings.Join(unreachable, ", "))
	}
	return nil
}

// statusRow prints the status of a replica.
func (r *commandContext) statusRow(table io.Writer, st *artifactreplication.Status) {
	var refused []string
	for reason, n := range st.Refused {
		refused = append(refused, fmt.Sprintf("%s %d", reason, n))
	}
	r.row(table, st, "%s\t%s\t%s\t%d\t%d\t%.2f\t%d\t%d\t%d\t%.0f s\t%d\t%d\t%s",
		st.Name, st.Zone, st.State, st.Epoch, st.Incarnation, float64(st.Bytes)/1e9,
		st.Open, st.UnderReplicated, st.PendingRepairs, st.OldestRepairSeconds, st.Misplaced, len(st.Unreachable), cmp.Or(strings.Join(refused, ", "), "-"))
}

// row prints a table row, or a JSON line.
func (r *commandContext) row(table io.Writer, v any, format string, args ...any) {
	if r.json {
		r.print(v, "")
		return
	}
	fmt.Fprintf(table, format+"\n", args...)
}
