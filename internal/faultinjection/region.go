package faultinjection

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/userapi"
	"topazhollow/internal/wait"
)

// region is three controller processes with a simulated store, cloud, agents and users.
type region struct {
	size         regionSize
	dir, program string
	script       string                          // content of the controllers' options file
	taskDuration func(task string) time.Duration // overrides size.taskDuration if set
	taskFails    func(task string) bool          // see simulation.AgentConfig
	images       *simulation.ImageConfig         // the same
	store        *simulation.KVStore
	endpoints    []*simulation.Endpoint // each controller's endpoint of the state service
	pipes        simulation.Paths       // from one controller to another
	cloud        *simulation.Cloud
	checker      *simulation.Checker
	listen       []string    // the controllers' addresses for users and agents
	processMu    *sync.Mutex // serializes starting and killing controllers; a pointer, because users work with copies of the region
	processes    []*process
	rng          *rand.Rand
	client       *http.Client
}

// How long a task waits for the others of its gang, and how soon it notices that one of them is gone.
const (
	gangWait = 10 * time.Second
	gangPeer = 4 * time.Second
)

// controllerNames are the names of the controllers.
var controllerNames = []string{"node-a", "node-b", "node-c"}

// regionSize holds the parameters that depend on a region's size.
type regionSize struct {
	machines         int
	cpus             float64 // per machine
	taskDuration     time.Duration
	heartbeatSeconds float64 // between an agent's heartbeats
	teams            []settings.Team
	store            settings.KVStore
	cloud            settings.Cloud
	leaseSeconds     float64
	cancelSeconds    float64
	memoryMB         float64 // limit of a controller
}

// runTrial opens a region, runs play in it and closes it. It returns violations as text; an error means that the
// simulation itself failed.
func (g *region) runTrial(ctx context.Context, play func() error) (broken string, err error) {
	defer g.close()
	if err := g.open(); err != nil {
		return "", err
	}
	violations := errors.Join(play(), g.checkExited())
	if ctx.Err() != nil {
		return "", ctx.Err()
	}
	if rules := g.checker.BrokenRules(); len(rules) > 0 {
		violations = errors.Join(violations, fmt.Errorf("rules %v", rules))
	}
	if violations != nil {
		broken = fmt.Sprintf("%v (the controllers' logs are in %s)", violations, g.dir)
	}
	return broken, nil
}

// open starts the cloud, the controllers and, unless the region already has one, the store.
func (g *region) open() (err error) {
	if err := os.MkdirAll(g.dir, 0o700); err != nil {
		return err
	}
	g.processMu = &sync.Mutex{}
	if g.store == nil {
		changes, valueKB := g.size.store.ChangesPerTransaction, int(g.size.store.ValueKB)
		if g.store, err = simulation.NewKVStore(changes, valueKB); err != nil {
			return err
		}
	}
	g.checker.FollowEnds(g.store, userapi.EndedJobPrefix)
	listen, peers, err := g.drawAddresses()
	if err != nil {
		return err
	}
	if g.taskDuration == nil {
		g.taskDuration = func(string) time.Duration { return g.size.taskDuration }
	}
	if err := os.WriteFile(filepath.Join(g.dir, "options.star"), []byte(g.script), 0o600); err != nil {
		return err
	}
	if err := g.openCloud(listen); err != nil {
		return err
	}
	g.pipes = simulation.Paths{}
	for i := range controllerNames {
		if err := g.openController(i, listen, peers); err != nil {
			return err
		}
	}
	return nil
}

// drawAddresses allocates for each controller one address for users and agents, and one for its peers.
func (g *region) drawAddresses() (listen, peers map[string]string, err error) {
	host := simulation.NewHost()
	listen, peers = map[string]string{}, map[string]string{}
	for _, name := range controllerNames {
		for _, addresses := range []map[string]string{listen, peers} {
			if addresses[name], err = host.Listen(); err != nil {
				return nil, nil, err
			}
		}
		g.listen = append(g.listen, listen[name])
	}
	return listen, peers, nil
}

// openCloud starts a cloud whose machines run simulated agents.
func (g *region) openCloud(listen map[string]string) (err error) {
	periods := simulation.AgentConfig{
		Heartbeat: settings.Seconds(g.size.heartbeatSeconds),
		Lease:     settings.Seconds(g.size.leaseSeconds),
		Run:       g.taskDuration,
		Fails:     g.taskFails,
		Images:    g.images,
	}
	types := []protocol.MachineType{{
		Name: "m8", CPUs: g.size.cpus, MemoryGB: 8 * g.size.cpus,
		PricePerHour: 2, SpotPricePerHour: 1, BootSeconds: 1,
		Zones: []string{"east", "west"},
	}}
	boot := func(name, typ, zone string, spot bool) (*simulation.Agent, error) {
		return simulation.NewAgent(name, typ, zone, spot, listen, controllerNames, periods, g.checker)
	}
	g.cloud, err = simulation.NewCloud(types, g.size.machines, boot)
	return err
}

// openController gives a controller its own endpoint of the store and its own pipe to each peer, writes its settings
// file and starts it.
func (g *region) openController(i int, listen, peers map[string]string) error {
	name := controllerNames[i]
	endpoint, err := g.store.NewEndpoint()
	if err != nil {
		return err
	}
	g.endpoints = append(g.endpoints, endpoint)
	s := g.settingsOf(name, listen[name], peers[name], endpoint.Addr())
	for k, p := range controllerNames {
		if p == name {
			continue
		}
		pipe, err := simulation.NewPipe(peers[p])
		if err != nil {
			return err
		}
		g.pipes[[2]int{i, k}] = pipe
		s.Peers = append(s.Peers, settings.Peer{Name: p, Zone: "east", Endpoint: pipe.Addr()})
	}
	if err := os.WriteFile(g.config(i), protocol.Encode(s), 0o600); err != nil {
		return err
	}
	g.processes = append(g.processes, nil)
	return g.start(i)
}

// settingsOf returns a controller's settings without its peers.
func (g *region) settingsOf(name, listen, peerListen, store string) *settings.Settings {
	return &settings.Settings{
		Name:       name,
		Zone:       "east",
		Listen:     listen,
		PeerListen: peerListen,
		Services:   settings.ServiceAddrs{Cloud: g.cloud.Addr(), KVStore: store},
		Deployment: settings.Deployment{
			Size:  len(controllerNames),
			Zones: []string{"east", "west"},
			Teams: g.size.teams,
			Agents: settings.Agents{
				HeartbeatSeconds: g.size.heartbeatSeconds, LeaseSeconds: g.size.leaseSeconds,
				GangWaitSeconds: gangWait.Seconds(), GangPeerSeconds: gangPeer.Seconds(), CancelSeconds: g.size.cancelSeconds,
			},
			KVStore: g.size.store,
			Cloud:   g.size.cloud,
			Limits:  settings.Limits{Cores: 1, MemoryMB: g.size.memoryMB, MaxSockets: 4000},
		},
	}
}

// config returns the path of a controller's settings file.
func (g *region) config(i int) string {
	return filepath.Join(g.dir, fmt.Sprintf("node-%d.json", i))
}

// checkExited returns an error that names a controller that exited unexpectedly, if any.
func (g *region) checkExited() error {
	g.processMu.Lock()
	defer g.processMu.Unlock()
	for i, p := range g.processes {
		if p == nil || p.killed {
			continue
		}
		select {
		case <-p.ended:
			return fmt.Errorf("controller %d exited unexpectedly", i)
		default:
		}
	}
	return nil
}

func (g *region) close() {
	for i := range g.processes {
		g.kill(i)
	}
	g.pipes.Close()
	if g.cloud != nil {
		g.cloud.Close()
	}
	if g.store != nil {
		g.store.Close()
	}
}

// request sends a request to a random controller. It returns status code 0 if there is no answer.
func (g *region) request(method, path string, body any) (int, protocol.Status) {
	return g.requestDrawn(g.rng, method, path, body)
}

// requestDrawn is request with the caller's random source.
func (g *region) requestDrawn(rng *rand.Rand, method, path string, body any) (int, protocol.Status) {
	var st protocol.Status
	var data []byte
	if body != nil {
		data = protocol.Encode(body)
	}
	req, err := http.NewRequest(method, "http://"+g.listen[rng.IntN(len(g.listen))]+path, bytes.NewReader(data))
	if err != nil {
		return 0, st
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return 0, st
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&st) // the status code suffices if the body is malformed
	return resp.StatusCode, st
}

// await waits up to 90 s until a condition holds. It returns early, without an error, once a rule is violated, because
// the trial has failed then.
func (g *region) await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, 90*time.Second)
	defer cancel()
	for !holds() {
		if rules := g.checker.BrokenRules(); len(rules) > 0 {
			return nil // runTrial reports the violations
		}
		if !wait.For(ctx, 50*time.Millisecond) {
			return fmt.Errorf("timed out waiting until: %s", what)
		}
	}
	return nil
}

// submit repeats a submission until it is accepted.
func (g *region) submit(ctx context.Context, s *protocol.Submission) error {
	g.checker.RecordSubmission(s)
	return g.await(ctx, s.UID+" is accepted", func() bool {
		status, st := g.request("POST", protocol.PathSubmit, s)
		g.checker.RecordAnswer(s.UID, status, st.State, false)
		return status == 200 || status == 201
	})
}

// awaitState queries a job until it is in a state.
func (g *region) awaitState(ctx context.Context, uid string, state protocol.JobState) error {
	return g.await(ctx, uid+" is "+string(state), func() bool {
		status, st := g.request("GET", protocol.PathSubmit+"/"+uid, nil)
		g.checker.RecordAnswer(uid, status, st.State, false)
		return status == 200 && st.State == state
	})
}
