package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"topazhollow/internal/artifactreplication"
	"topazhollow/internal/artifactstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/taskrunner"
	"topazhollow/internal/userapi"
	"topazhollow/internal/wait"
)

// region is a complete deployment on loopback: a simulated cloud and state service, three controller processes and an
// artifact store.
type region struct {
	dir       string
	key       []byte
	log       *slog.Logger
	storeURL  string // of the artifact store
	listen    []string
	checker   *simulation.Checker
	kvStore   *simulation.KVStore
	cloud     *simulation.Cloud
	processes []*exec.Cmd
	examples  map[string]*example // what jobs run, by their IDs
	stopStore context.CancelFunc  // stops the artifact store
	storeDone chan error          // receives the artifact store's error when it has ended
	tasks     sync.WaitGroup
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Size and timing of the demo's region.
const (
	demoTeam          = "red"
	demoTeamCPUs      = 32
	demoTeamMaxCPUs   = 64
	demoMaxMachines   = 4
	demoHeartbeat     = 300 * time.Millisecond
	demoLease         = 20 * time.Second
	demoTxnChanges    = 24
	demoStoreValuesKB = 16
)

var (
	demoControllers = []string{"estacion-0", "estacion-1", "estacion-2"}
	demoZones       = []string{"east", "west"}
)

// newRegion starts a region that runs the tasks of examples, given by the IDs of their jobs. If it returns
// an error, it has stopped and removed everything.
func newRegion(ctx context.Context, examples map[string]*example) (g *region, err error) {
	g = &region{
		examples:  examples,
		key:       make([]byte, 32),
		log:       slog.New(slog.DiscardHandler),
		storeDone: make(chan error, 1),
		checker:   simulation.NewChecker(map[string]float64{demoTeam: demoTeamMaxCPUs}),
	}
	_, _ = rand.Read(g.key) // never fails
	if g.dir, err = os.MkdirTemp("", "topaz-demo-"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, g.close())
		}
	}()
	if err := os.Mkdir(g.sharedDir(), 0o700); err != nil {
		return g, err
	}
	if err := g.startArtifactStore(ctx); err != nil {
		return g, err
	}
	if g.kvStore, err = simulation.NewKVStore(demoTxnChanges, demoStoreValuesKB); err != nil {
		return g, err
	}
	g.checker.FollowEnds(g.kvStore, userapi.EndedJobPrefix)
	listen, peers, err := g.allocateAddresses()
	if err != nil {
		return g, err
	}
	if err := g.startCloud(listen); err != nil {
		return g, err
	}
	return g, g.startControllers(listen, peers)
}

// sharedDir is a directory that all tasks share; the environment variable SHARED names it.
func (g *region) sharedDir() string { return filepath.Join(g.dir, "shared") }

// startArtifactStore starts the artifact store, which runs until close, and waits until it serves requests.
func (g *region) startArtifactStore(ctx context.Context) error {
	set := artifactreplication.DefaultConfig()
	set.Listen, set.Dir = "127.0.0.1:0", filepath.Join(g.dir, "keep")
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	g.stopStore = stop
	ready := make(chan string, 1)
	go func() {
		g.storeDone <- RunArtifactStore(running, set, g.key, io.Discard, func(addr string) { ready <- addr })
	}()
	select {
	case addr := <-ready:
		g.storeURL = "http://" + addr
		return nil
	case err := <-g.storeDone:
		g.storeDone <- nil // close receives once more
		return err
	}
}

// allocateAddresses returns for each controller a free address for users and agents, and one for its peers.
func (g *region) allocateAddresses() (listen, peers map[string]string, err error) {
	listen, peers = map[string]string{}, map[string]string{}
	for _, n := range demoControllers {
		var err, err2 error
		listen[n], err = freeAddr()
		peers[n], err2 = freeAddr()
		if err := errors.Join(err, err2); err != nil {
			return nil, nil, err
		}
		g.listen = append(g.listen, listen[n])
	}
	return listen, peers, nil
}

// startCloud starts a simulated cloud whose machines run the examples' commands for their tasks.
func (g *region) startCloud(listen map[string]string) (err error) {
	periods := simulation.AgentConfig{Heartbeat: demoHeartbeat, Lease: demoLease, Exec: g.execute}
	types := []protocol.MachineType{{
		Name: "m8", CPUs: 8, MemoryGB: 64,
		PricePerHour: 2, SpotPricePerHour: 1, BootSeconds: 1,
		Zones: demoZones,
	}}
	boot := func(name, typ, zone string, spot bool) (*simulation.Agent, error) {
		return simulation.NewAgent(name, typ, zone, spot, listen, demoControllers, periods, g.checker)
	}
	g.cloud, err = simulation.NewCloud(types, demoMaxMachines, boot)
	return err
}

// startControllers starts a process of this program for each controller.
func (g *region) startControllers(listen, peers map[string]string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	for i, n := range demoControllers {
		s := g.controllerSettings(n, demoZones[i%2], listen[n], peers)
		path := filepath.Join(g.dir, n+".json")
		if err := os.WriteFile(path, protocol.Encode(s), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(g.dir, n+".log"))
		if err != nil {
			return err
		}
		cmd := exec.Command(program, "controller", "--config", path)
		cmd.Stderr = log
		err = cmd.Start()
		log.Close()
		if err != nil {
			return err
		}
		g.processes = append(g.processes, cmd)
	}
	return nil
}

// controllerSettings returns the settings of one controller.
func (g *region) controllerSettings(name, zone, listen string, peers map[string]string) *settings.Settings {
	s := &settings.Settings{
		Name:       name,
		Zone:       zone,
		Listen:     listen,
		PeerListen: peers[name],
		Services:   settings.ServiceAddrs{Cloud: g.cloud.Addr(), KVStore: g.kvStore.Addr()},
		Deployment: settings.Deployment{
			Size:  len(demoControllers),
			Zones: demoZones,
			Teams: []settings.Team{{Name: demoTeam, CPUs: demoTeamCPUs, CPUsMax: demoTeamMaxCPUs}},
			Agents: settings.Agents{
				HeartbeatSeconds: demoHeartbeat.Seconds(), LeaseSeconds: demoLease.Seconds(),
				GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60,
			},
			KVStore: settings.KVStore{
				RequestsPerSecond: 400, ChangesPerSecond: 200,
				ValueKB: demoStoreValuesKB, ChangesPerTransaction: demoTxnChanges,
			},
			Cloud:  settings.Cloud{RequestsPerSecond: 20, ListLagSeconds: 0.2},
			Limits: settings.Limits{Cores: 1, MemoryMB: 256, MaxSockets: 512},
		},
	}
	for _, p := range demoControllers {
		if p != name {
			s.Peers = append(s.Peers, settings.Peer{Name: p, Zone: "east", Endpoint: peers[p]})
		}
	}
	return s
}

// execute runs a task on behalf of a simulated agent: it runs the example's command as a real process and uploads its
// output to the artifact store. It reports whether the task completed.
func (g *region) execute(ctx context.Context, machine string, session uint64, name string, attempt uint64) bool {
	g.tasks.Add(1)
	defer g.tasks.Done()
	job, index, ok := protocol.SplitTask(name)
	e := g.examples[job]
	if !ok || e == nil {
		return false
	}
	c := artifactstore.Claim{Attempt: artifactstore.Attempt{Job: job, Task: index, Number: attempt}, Tenant: "red", Machine: machine, Session: session, Class: e.Name}
	token := artifactstore.Grant{Right: artifactstore.Write, Tenant: c.Tenant, Job: job, Task: &index, Number: attempt, Machine: machine, Session: session, Class: c.Class,
		Until: time.Now().Add(time.Hour)}.Token(g.key)
	dir := filepath.Join(g.dir, "work", fmt.Sprintf("%s-%d-%d", job, index, attempt))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false
	}
	environment := []string{"PATH=" + os.Getenv("PATH"), fmt.Sprint("TASK=", index), "SHARED=" + g.sharedDir()}
	got, err := taskrunner.Run(ctx, taskrunner.Options{Spool: filepath.Join(g.dir, "spool", machine), Keepers: []string{g.storeURL}, Log: g.log},
		taskrunner.Task{Claim: c, Token: token, Command: e.Command, Env: environment, Dir: dir, Files: e.Files}, 2*time.Second)
	return err == nil && got.Exit.Completed
}

// request sends a request to the controllers in turn until one answers with a status below 500. It returns status 0 if
// none does.
func (g *region) request(ctx context.Context, method, path string, body any) (int, protocol.Status) {
	var st protocol.Status
	var data []byte
	if body != nil {
		data = protocol.Encode(body)
	}
	for _, addr := range g.listen {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(data))
		if err != nil {
			return 0, st
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = json.NewDecoder(resp.Body).Decode(&st) // the HTTP status decides; a body that is no status leaves st empty
		resp.Body.Close()
		if resp.StatusCode < 500 {
			return resp.StatusCode, st
		}
	}
	return 0, st
}

// waitUntil waits until a condition holds. what describes the condition in the error.
func (g *region) waitUntil(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		if !wait.For(ctx, 100*time.Millisecond) {
			return fmt.Errorf("timed out waiting for %s; the controllers' logs are in %s: %w", what, g.dir, ctx.Err())
		}
	}
	return nil
}

// close stops everything and removes the directory.
func (g *region) close() error {
	for _, p := range g.processes {
		_ = p.Process.Kill() // it may have exited already
		_ = p.Wait()
	}
	if g.cloud != nil {
		g.cloud.Close()
	}
	if g.kvStore != nil {
		g.kvStore.Close()
	}
	g.tasks.Wait()
	var err error
	if g.stopStore != nil {
		g.stopStore()
		err = <-g.storeDone
	}
	return errors.Join(err, os.RemoveAll(g.dir))
}
