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
	"topazhollow/internal/wait"
)

// region is three controllers as processes with stand-ins for everything around.
type region struct {
	size         regionSize
	dir, program string
	script       string                          // the controllers' options, a file's text
	run          func(task string) time.Duration // how long tasks run, if not all alike
	state        *simulation.KVStore
	endpoints    []*simulation.Endpoint // each controller's way to the key-value store
	pipes        simulation.Paths       // from one controller to another
	cloud        *simulation.Cloud
	check        *simulation.Checker
	listen       []string
	turns        *sync.Mutex // of who ends or starts a controller
	nodes        []*process
	rng          *rand.Rand
	client       *http.Client
}

// regionNames are the controllers'.
var regionNames = []string{"node-a", "node-b", "node-c"}

// regionSize is what differs between a small region and a large one.
type regionSize struct {
	machines int
	cpus     float64 // of a machine
	run      time.Duration
	report   float64 // seconds between an agent's reports
	teams    []settings.Team
	state    settings.KVStore
	cloud    settings.Cloud
	lease    float64
	cancel   float64
	memory   float64 // of a controller, MB
}

// runTrial opens a region, has something played in it and closes it. What broke is told; an
// error is one of the simulation itself.
func (g *region) runTrial(ctx context.Context, play func() error) (broken string, err error) {
	defer g.close()
	if err := g.open(); err != nil {
		return "", err
	}
	broke := errors.Join(play(), g.ended())
	if ctx.Err() != nil {
		return "", ctx.Err()
	}
	if rules := g.check.BrokenRules(); len(rules) > 0 {
		broke = errors.Join(broke, fmt.Errorf("rules %v", rules))
	}
	if broke != nil {
		broken = fmt.Sprintf("%v (the controllers' logs are in %s)", broke, g.dir)
	}
	return broken, nil
}

func (g *region) open() (err error) {
	if err := os.MkdirAll(g.dir, 0o700); err != nil {
		return err
	}
	g.turns = &sync.Mutex{}
	if g.state == nil {
		changes, valueKB := g.size.state.ChangesPerTransaction, int(g.size.state.ValueKB)
		if g.state, err = simulation.NewKVStore(changes, valueKB); err != nil {
			return err
		}
	}
	listen, peers, err := g.drawAddresses()
	if err != nil {
		return err
	}
	if g.run == nil {
		g.run = func(string) time.Duration { return g.size.run }
	}
	if err := os.WriteFile(filepath.Join(g.dir, "options.star"), []byte(g.script), 0o600); err != nil {
		return err
	}
	if err := g.openCloud(listen); err != nil {
		return err
	}
	g.pipes = simulation.Paths{}
	for i := range regionNames {
		if err := g.openController(i, listen, peers); err != nil {
			return err
		}
	}
	return nil
}

// drawAddresses gives each controller an address for users and agents, and one for its peers.
func (g *region) drawAddresses() (listen, peers map[string]string, err error) {
	host := simulation.NewHost()
	listen, peers = map[string]string{}, map[string]string{}
	for _, name := range regionNames {
		for _, addresses := range []map[string]string{listen, peers} {
			if addresses[name], err = host.Listen(); err != nil {
				return nil, nil, err
			}
		}
		g.listen = append(g.listen, listen[name])
	}
	return listen, peers, nil
}

// openCloud starts a cloud whose machines have simulated agents.
func (g *region) openCloud(listen map[string]string) (err error) {
	periods := simulation.AgentConfig{
		Heartbeat: settings.Seconds(g.size.report),
		Lease:     settings.Seconds(g.size.lease),
		Run:       g.run,
	}
	types := []protocol.MachineType{{
		Name: "m8", CPUs: g.size.cpus, MemoryGB: 8 * g.size.cpus,
		PricePerHour: 2, SpotPricePerHour: 1, BootSeconds: 1,
		Zones: []string{"east", "west"},
	}}
	boot := func(name, typ, zone string, spot bool) (*simulation.Agent, error) {
		return simulation.NewAgent(name, typ, zone, spot, listen, regionNames, periods, g.check)
	}
	g.cloud, err = simulation.NewCloud(types, g.size.machines, boot)
	return err
}

// openController writes a controller's settings, with an endpoint of the store and a pipe to each peer of its own, and
// starts it.
func (g *region) openController(i int, listen, peers map[string]string) error {
	name := regionNames[i]
	endpoint, err := g.state.NewEndpoint()
	if err != nil {
		return err
	}
	g.endpoints = append(g.endpoints, endpoint)
	s := g.settingsOf(name, listen[name], peers[name], endpoint.Addr())
	for k, p := range regionNames {
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
	g.nodes = append(g.nodes, nil)
	return g.start(i)
}

// settingsOf are a controller's settings but for its peers.
func (g *region) settingsOf(name, listen, peerListen, store string) *settings.Settings {
	return &settings.Settings{
		Name:       name,
		Zone:       "east",
		Listen:     listen,
		PeerListen: peerListen,
		Outside:    settings.Outside{Cloud: g.cloud.Addr(), KVStore: store},
		Deployment: settings.Deployment{
			Size:  len(regionNames),
			Zones: []string{"east", "west"},
			Teams: g.size.teams,
			Agents: settings.Agents{
				HeartbeatSeconds: g.size.report, LeaseSeconds: g.size.lease,
				GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: g.size.cancel,
			},
			KVStore: g.size.state,
			Cloud:   g.size.cloud,
			Limits:  settings.Limits{Cores: 1, MemoryMB: g.size.memory, MaxSockets: 4000},
		},
	}
}

func (g *region) config(i int) string {
	return filepath.Join(g.dir, fmt.Sprintf("node-%d.json", i))
}

// ended names a controller that ended by itself.
func (g *region) ended() error {
	g.turns.Lock()
	defer g.turns.Unlock()
	for i, p := range g.nodes {
		if p == nil || p.killed {
			continue
		}
		select {
		case <-p.ended:
			return fmt.Errorf("controller %d ended by itself", i)
		default:
		}
	}
	return nil
}

func (g *region) close() {
	for i := range g.nodes {
		g.kill(i)
	}
	g.pipes.Close()
	if g.cloud != nil {
		g.cloud.Close()
	}
	if g.state != nil {
		g.state.Close()
	}
}

func (g *region) ask(method, path string, body any) (int, protocol.Status) {
	return g.askOf(g.rng, method, path, body)
}

// askOf asks one of the controllers, drawn from a sequence of the caller's own.
func (g *region) askOf(rng *rand.Rand, method, path string, body any) (int, protocol.Status) {
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
	_ = json.NewDecoder(resp.Body).Decode(&st) // the status says the most of it
	return resp.StatusCode, st
}

func (g *region) await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, 90*time.Second)
	defer cancel()
	for !holds() {
		if rules := g.check.BrokenRules(); len(rules) > 0 {
			return nil // told by the caller
		}
		if !wait.For(ctx, 50*time.Millisecond) {
			return fmt.Errorf("never came true: %s", what)
		}
	}
	return nil
}

func (g *region) submit(ctx context.Context, s *protocol.Submission) error {
	g.check.RecordSubmission(s)
	return g.await(ctx, s.UID+" accepted", func() bool {
		status, st := g.ask("POST", protocol.PathSubmit, s)
		g.check.RecordAnswer(s.UID, status, st.State, false)
		return status == 200 || status == 201
	})
}

func (g *region) awaitState(ctx context.Context, uid string, state protocol.JobState) error {
	return g.await(ctx, uid+" "+string(state), func() bool {
		status, st := g.ask("GET", protocol.PathSubmit+"/"+uid, nil)
		g.check.RecordAnswer(uid, status, st.State, false)
		return status == 200 && st.State == state
	})
}
