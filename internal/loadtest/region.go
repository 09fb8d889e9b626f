package loadtest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

// Options are what a run needs beside its experiment.
type Options struct {
	Program    string    // that becomes a process of agents by the argument PoolCommand
	Controller []string  // command line of a controller, to which its --config and --script are added
	Dir        string    // for settings and logs
	Out        io.Writer // told how the run goes
}

// script is the controllers' options: the fleet is as large as the experiment says, so no
// machine goes back for being idle.
const script = "idle_return_s = 86400\nwarm_machines = 10000\n"

// cloudRPS and cloudLag are the cloud's limit of requests a second and its list's age in seconds.
const (
	cloudRPS = 50
	cloudLag = 4
)

// controller is one controller's process, and where it serves.
type controller struct {
	name, listen, peers, config, log string

	mu     sync.Mutex
	cmd    *exec.Cmd
	killed bool
	ended  chan struct{}
}

// poolProcess is a process of agents.
type poolProcess struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines *json.Decoder
	first int
	count int
}

// region is a whole deployment on loopback.
type region struct {
	c           *Config
	o           Options
	state       *simulation.KVStore
	cloud       *cloud
	traffic     *traffic
	lines       []*lineCounter
	controllers []*controller
	pools       []*poolProcess
	failed      chan error // a process ended by itself
	closing     chan struct{}
	readers     sync.WaitGroup

	mu      sync.Mutex
	rules   *rules
	queues  [][]Event
	until   []int64
	counts  []Counts
	homed   []int
	removed []int
	ordered int // machines to be taken away so far
	trips   *hdrhistogram.Histogram
}

func newRegion(c *Config, o Options) *region {
	n := c.processes()
	return &region{c: c, o: o, traffic: newTraffic(), failed: make(chan error, c.Limits.Processes+1), closing: make(chan struct{}),
		rules: newRules(c.Teams, c.teamLimit()), queues: make([][]Event, n), until: make([]int64, n), counts: make([]Counts, n),
		homed: make([]int, n), removed: make([]int, n), trips: newTrips()}
}

// newTrips holds times from a report to its answer, in µs.
func newTrips() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, answerTimeout.Microseconds(), 3)
}

// open starts everything.
func (g *region) open(ctx context.Context) error {
	var err error
	if g.state, err = simulation.NewKVStore(g.c.Store.TxnOps, int(g.c.Store.ValueKB)); err != nil {
		return err
	}
	g.state.LimitRates(g.c.Store.RPS, g.c.Store.WriteRPS)
	host := simulation.NewHost()
	for i := range g.c.Controllers {
		x := &controller{name: fmt.Sprintf("controller-%02d", i), config: filepath.Join(g.o.Dir, fmt.Sprintf("controller-%02d.json", i)),
			log: filepath.Join(g.o.Dir, fmt.Sprintf("controller-%02d.log", i))}
		for _, addr := range []*string{&x.listen, &x.peers} {
			if *addr, err = host.Listen(); err != nil {
				return err
			}
		}
		g.controllers = append(g.controllers, x)
	}
	hosts, err := g.startPools()
	if err != nil {
		return err
	}
	types := []protocol.MachineType{{Name: machineType, CPUs: g.c.machineCores(), MemoryGB: g.c.machineCores(), PricePerHour: 1, SpotPricePerHour: 1, BootSeconds: 1, Zones: g.zones()}}
	if g.cloud, err = newCloud(types, hosts, g.remove); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(g.o.Dir, "options.star"), []byte(script), 0o600); err != nil {
		return err
	}
	for i := range g.controllers {
		if err := g.configure(i); err != nil {
			return err
		}
	}
	for _, x := range g.controllers {
		if err := g.start(x); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (g *region) zones() (names []string) {
	for i := range g.c.Zones {
		names = append(names, zoneName(i))
	}
	return names
}

func (g *region) teams() (teams []settings.Team) {
	limit := g.c.teamLimit()
	for i := range g.c.Teams {
		teams = append(teams, settings.Team{Name: teamName(i), CPUs: limit, CPUsMax: limit})
	}
	return teams
}

// configure writes a controller's settings.
func (g *region) configure(i int) error {
	x := g.controllers[i]
	door, err := g.state.NewEndpointVia(g.traffic.countStore)
	if err != nil {
		return err
	}
	s := &settings.Settings{Name: x.name, Zone: zoneName(i % g.c.Zones), Listen: x.listen, PeerListen: x.peers,
		Outside: settings.Outside{Cloud: g.cloud.addr, KVStore: door.Addr()},
		Deployment: settings.Deployment{Size: g.c.Controllers, Zones: g.zones(), Teams: g.teams(),
			Objectives: []settings.Objective{{Kind: "wait", Class: urgentClass, WithinSeconds: g.c.UrgentWithin, Share: 0.99}},
			Agents:     settings.Agents{HeartbeatSeconds: g.c.HeartbeatInterval, LeaseSeconds: g.c.AgentLease, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: g.c.Cancel},
			KVStore:    settings.KVStore{RequestsPerSecond: g.c.Store.RPS, ChangesPerSecond: g.c.Store.WriteRPS, ValueKB: g.c.Store.ValueKB, ChangesPerTransaction: g.c.Store.TxnOps},
			Cloud:      settings.Cloud{RequestsPerSecond: cloudRPS, ListLagSeconds: cloudLag},
			Limits:     settings.Limits{Cores: 1, MemoryMB: g.c.Limits.ControllerMemoryMB, MaxSockets: g.c.Limits.ControllerSockets}}}
	for k, p := range g.controllers {
		if k == i {
			continue
		}
		endpoint := p.peers
		if g.c.CountPeerLines {
			counter, err := newLineCounter(p.peers, g.traffic)
			if err != nil {
				return err
			}
			g.lines = append(g.lines, counter)
			endpoint = counter.addr()
		}
		s.Peers = append(s.Peers, settings.Peer{Name: p.name, Zone: zoneName(k % g.c.Zones), Endpoint: endpoint})
	}
	return os.WriteFile(x.config, protocol.Encode(s), 0o600)
}

// child is a command whose process the system kills if this one is killed before it could.
func child(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(program, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// start runs a controller's process.
func (g *region) start(x *controller) error {
	log, err := os.OpenFile(x.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := append(slices.Clone(g.o.Controller[1:]), "--config", x.config, "--script", filepath.Join(g.o.Dir, "options.star"))
	cmd := child(g.o.Controller[0], args...)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	x.mu.Lock()
	x.cmd, x.killed, x.ended = cmd, false, ended
	x.mu.Unlock()
	go func() {
		err := cmd.Wait()
		close(ended)
		x.mu.Lock()
		killed := x.killed
		x.mu.Unlock()
		if !killed {
			g.fail(fmt.Errorf("%s ended by itself: %v; its log is %s", x.name, err, x.log))
		}
	}()
	return nil
}

func (g *region) fail(err error) {
	select {
	case g.failed <- err:
	default: // others failed before
	}
}

// kill ends a controller without a word and waits until it is gone.
func (x *controller) kill() {
	x.mu.Lock()
	cmd, ended := x.cmd, x.ended
	x.killed = true
	x.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // it may have ended just now
		<-ended
	}
}

func (x *controller) pid() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cmd.Process.Pid
}

// startPools starts the processes of agents and lists their machines.
func (g *region) startPools() (hosts []protocol.Host, err error) {
	var names, addrs []string
	for _, x := range g.controllers {
		names, addrs = append(names, x.name), append(addrs, x.listen)
	}
	rng := rand.New(rand.NewPCG(g.c.Seed, 1))
	for i := range g.c.processes() {
		first := i * g.c.AgentsPerProcess
		pc := PoolConfig{Seed: g.c.Seed, IP: fmt.Sprintf("127.%d.%d.%d", 1+rng.IntN(254), os.Getpid()%256, 1+i), First: first,
			Count: min(g.c.AgentsPerProcess, g.c.Agents-first), Zones: g.c.Zones, Names: names, Addrs: addrs, HeartbeatSeconds: g.c.HeartbeatInterval, LeaseSeconds: g.c.AgentLease}
		p, ready, err := g.startPool(&pc)
		if p != nil {
			g.pools = append(g.pools, p)
		}
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, ready.Machines...)
		g.readers.Add(1)
		go g.read(i, p)
	}
	return hosts, nil
}

func (g *region) startPool(c *PoolConfig) (*poolProcess, *PoolReady, error) {
	cmd := child(g.o.Program, PoolCommand)
	cmd.Stderr = os.Stderr
	in, err1 := cmd.StdinPipe()
	out, err2 := cmd.StdoutPipe()
	if err := errors.Join(err1, err2); err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	p := &poolProcess{cmd: cmd, in: in, lines: json.NewDecoder(bufio.NewReaderSize(out, 1<<20)), first: c.First, count: c.Count}
	if err := json.NewEncoder(in).Encode(c); err != nil {
		return p, nil, err
	}
	var ready PoolReady
	return p, &ready, p.lines.Decode(&ready)
}

// PoolCommand is the argument by which Options.Program becomes a process of agents.
const PoolCommand = "simulated-agents"

// read takes in what a process of agents tells until it ends.
func (g *region) read(i int, p *poolProcess) {
	defer g.readers.Done()
	for {
		var b Batch
		if err := p.lines.Decode(&b); err != nil {
			select {
			case <-g.closing:
			default:
				g.fail(fmt.Errorf("%w: %v", errPool, err))
			}
			return
		}
		g.batch(i, &b)
	}
}

// batch takes in a batch and everything that is known by it, in the order of time.
func (g *region) batch(i int, b *Batch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queues[i] = append(g.queues[i], b.Events...)
	g.until[i], g.counts[i], g.homed[i], g.removed[i] = b.Until, b.Counts, b.Connected, b.Removed
	for _, us := range b.Latencies {
		_ = g.trips.RecordValue(min(max(us, 1), answerTimeout.Microseconds())) // bounded: it is in range
	}
	until := slices.Min(g.until)
	var events []Event
	for k, q := range g.queues {
		at, _ := slices.BinarySearchFunc(q, until, func(e Event, t int64) int { return int(min(max(e.At-t, -1), 1)) })
		events = append(events, q[:at]...)
		g.queues[k] = q[at:]
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(min(max(a.At-b.At, -1), 1)) })
	for k := range events {
		g.rules.event(&events[k])
	}
	g.rules.known(until)
}

// remove takes machines away for the cloud and waits until they are gone.
func (g *region) remove(names []string) {
	g.mu.Lock()
	g.ordered += len(names)
	g.mu.Unlock()
	for _, p := range g.pools {
		_ = json.NewEncoder(p.in).Encode(PoolRequest{Remove: names}) // a process that ended has none
	}
	for range 100 {
		g.mu.Lock()
		removed := 0
		for _, x := range g.removed {
			removed += x
		}
		gone := removed >= g.ordered
		g.mu.Unlock()
		if gone {
			return
		}
		time.Sleep(batchEvery / 4)
	}
}

// reached is how many agents are answered and how many tasks are on machines.
func (g *region) reached() (homed, on int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.homed {
		homed += x
	}
	return homed, len(g.rules.on)
}

// total is what all agents sent and got.
func (g *region) total() (c Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.counts {
		c.add(x, 1)
	}
	return c
}

// end kills controllers and starts them again later.
func (g *region) end(ctx context.Context, list []*controller) {
	for _, x := range list {
		x.kill()
	}
	if !wait.For(ctx, settings.Seconds(g.c.Faults.RestartAfter)) {
		return
	}
	for _, x := range list {
		if err := g.start(x); err != nil {
			g.fail(err)
		}
	}
}

// close ends every process that was started, and the stand-ins.
func (g *region) close() {
	close(g.closing)
	for _, x := range g.controllers {
		x.kill()
	}
	for _, p := range g.pools {
		_ = p.in.Close() // ends it
	}
	g.readers.Wait()
	for _, p := range g.pools {
		_ = p.cmd.Process.Kill() // if it did not end
		_ = p.cmd.Wait()
	}
	for _, c := range g.lines {
		c.close()
	}
	if g.cloud != nil {
		g.cloud.close()
	}
	if g.state != nil {
		g.state.Close()
	}
}
