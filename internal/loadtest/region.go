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

// Options are the settings of a run that are not part of its experiment.
type Options struct {
	Program    string    // runs an agent process when called with the argument PoolCommand
	Controller []string  // command line of a controller, without --config and --script
	Dir        string    // for settings and logs
	Out        io.Writer // receives the run's progress
}

// script sets the controllers' options. The experiment fixes the size of the fleet, so no machine is returned for being
// idle.
const script = "idle_return_s = 86400\nwarm_machines = 10000\n"

// Limits of the cloud that the controllers' settings name.
const (
	cloudRPS = 50 // requests per second
	cloudLag = 4  // maximum age of the cloud's list, in seconds
)

// controller is one controller's process with its addresses and files.
type controller struct {
	name, listen, peers, config, log string

	mu     sync.Mutex
	cmd    *exec.Cmd
	killed bool
	exited chan struct{}
}

// poolProcess is an agent process.
type poolProcess struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines *json.Decoder
	first int
	count int
}

// region is a complete deployment on loopback.
type region struct {
	config       *Config
	options      Options
	store        *simulation.KVStore
	cloud        *cloud
	traffic      *traffic
	lineCounters []*lineCounter
	controllers  []*controller
	pools        []*poolProcess
	failed       chan error // unexpected exits of processes
	closing      chan struct{}
	readers      sync.WaitGroup

	mu                sync.Mutex
	rules             *rules
	queues            [][]Event // by agent process, as are the next four: events that are not yet applied
	completeUntil     []int64   // time before which all events have been reported, in Unix nanoseconds
	counts            []Counts
	connected         []int // agents whose last heartbeat was answered
	removed           []int // machines removed so far
	removalsRequested int   // machines whose removal was requested so far
	latencies         *hdrhistogram.Histogram
}

func newRegion(c *Config, o Options) *region {
	n := c.processes()
	return &region{config: c, options: o, traffic: newTraffic(), failed: make(chan error, c.Limits.Processes+1), closing: make(chan struct{}),
		rules: newRules(c.Teams, c.teamLimit()), queues: make([][]Event, n), completeUntil: make([]int64, n), counts: make([]Counts, n),
		connected: make([]int, n), removed: make([]int, n), latencies: newLatencyHistogram()}
}

// newLatencyHistogram returns a histogram of the times from a heartbeat to its answer, in µs.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, answerTimeout.Microseconds(), 3)
}

// open starts the store, the agents, the cloud and the controllers.
func (g *region) open(ctx context.Context) error {
	var err error
	if g.store, err = simulation.NewKVStore(g.config.Store.TxnOps, int(g.config.Store.ValueKB)); err != nil {
		return err
	}
	g.store.LimitRates(g.config.Store.RPS, g.config.Store.WriteRPS)
	host := simulation.NewHost()
	for i := range g.config.Controllers {
		c := &controller{name: fmt.Sprintf("controller-%02d", i), config: filepath.Join(g.options.Dir, fmt.Sprintf("controller-%02d.json", i)),
			log: filepath.Join(g.options.Dir, fmt.Sprintf("controller-%02d.log", i))}
		for _, addr := range []*string{&c.listen, &c.peers} {
			if *addr, err = host.Listen(); err != nil {
				return err
			}
		}
		g.controllers = append(g.controllers, c)
	}
	hosts, err := g.startPools()
	if err != nil {
		return err
	}
	types := []protocol.MachineType{{Name: machineType, CPUs: g.config.machineCores(), MemoryGB: g.config.machineCores(), PricePerHour: 1, SpotPricePerHour: 1, BootSeconds: 1, Zones: g.zones()}}
	if g.cloud, err = newCloud(types, hosts, g.removeMachines); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(g.options.Dir, "options.star"), []byte(script), 0o600); err != nil {
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
	for i := range g.config.Zones {
		names = append(names, zoneName(i))
	}
	return names
}

func (g *region) teams() (teams []settings.Team) {
	limit := g.config.teamLimit()
	for i := range g.config.Teams {
		teams = append(teams, settings.Team{Name: teamName(i), CPUs: limit, CPUsMax: limit})
	}
	return teams
}

// configure writes a controller's settings file.
func (g *region) configure(i int) error {
	x := g.controllers[i]
	storeEndpoint, err := g.store.NewEndpointVia(g.traffic.countStore)
	if err != nil {
		return err
	}
	s := &settings.Settings{Name: x.name, Zone: zoneName(i % g.config.Zones), Listen: x.listen, PeerListen: x.peers,
		Services: settings.ServiceAddrs{Cloud: g.cloud.addr, KVStore: storeEndpoint.Addr()},
		Deployment: settings.Deployment{Size: g.config.Controllers, Zones: g.zones(), Teams: g.teams(),
			Objectives: []settings.Objective{{Kind: "wait", Class: urgentClass, WithinSeconds: g.config.UrgentWithin, Share: 0.99}},
			Agents:     settings.Agents{HeartbeatSeconds: g.config.HeartbeatInterval, LeaseSeconds: g.config.AgentLease, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: g.config.Cancel},
			KVStore:    settings.KVStore{RequestsPerSecond: g.config.Store.RPS, ChangesPerSecond: g.config.Store.WriteRPS, ValueKB: g.config.Store.ValueKB, ChangesPerTransaction: g.config.Store.TxnOps},
			Cloud:      settings.Cloud{RequestsPerSecond: cloudRPS, ListLagSeconds: cloudLag},
			Limits:     settings.Limits{Cores: 1, MemoryMB: g.config.Limits.ControllerMemoryMB, MaxSockets: g.config.Limits.ControllerSockets}}}
	for k, p := range g.controllers {
		if k == i {
			continue
		}
		endpoint := p.peers
		if g.config.CountPeerLines {
			counter, err := newLineCounter(p.peers, g.traffic)
			if err != nil {
				return err
			}
			g.lineCounters = append(g.lineCounters, counter)
			endpoint = counter.addr()
		}
		s.Peers = append(s.Peers, settings.Peer{Name: p.name, Zone: zoneName(k % g.config.Zones), Endpoint: endpoint})
	}
	return os.WriteFile(x.config, protocol.Encode(s), 0o600)
}

// childCommand returns a command whose process the kernel kills if this process dies first.
func childCommand(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(program, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// start starts a controller's process and reports its unexpected exit.
func (g *region) start(x *controller) error {
	log, err := os.OpenFile(x.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := append(slices.Clone(g.options.Controller[1:]), "--config", x.config, "--script", filepath.Join(g.options.Dir, "options.star"))
	cmd := childCommand(g.options.Controller[0], args...)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	x.mu.Lock()
	x.cmd, x.killed, x.exited = cmd, false, ended
	x.mu.Unlock()
	go func() {
		err := cmd.Wait()
		close(ended)
		x.mu.Lock()
		killed := x.killed
		x.mu.Unlock()
		if !killed {
			g.reportFailure(fmt.Errorf("%s exited unexpectedly: %v; its log is %s", x.name, err, x.log))
		}
	}()
	return nil
}

func (g *region) reportFailure(err error) {
	select {
	case g.failed <- err:
	default: // the first failure in the channel aborts the run
	}
}

// kill kills a controller's process with SIGKILL and waits until it has exited.
func (c *controller) kill() {
	c.mu.Lock()
	cmd, ended := c.cmd, c.exited
	c.killed = true
	c.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // it may have exited already
		<-ended
	}
}

func (c *controller) pid() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cmd.Process.Pid
}

// startPools starts the agent processes and returns their machines.
func (g *region) startPools() (hosts []protocol.Host, err error) {
	var names, addrs []string
	for _, x := range g.controllers {
		names, addrs = append(names, x.name), append(addrs, x.listen)
	}
	rng := rand.New(rand.NewPCG(g.config.Seed, 1))
	for i := range g.config.processes() {
		first := i * g.config.AgentsPerProcess
		pc := PoolConfig{Seed: g.config.Seed, IP: fmt.Sprintf("127.%d.%d.%d", 1+rng.IntN(254), os.Getpid()%256, 1+i), First: first,
			Count: min(g.config.AgentsPerProcess, g.config.Agents-first), Zones: g.config.Zones, Names: names, Addrs: addrs, HeartbeatSeconds: g.config.HeartbeatInterval, LeaseSeconds: g.config.AgentLease}
		p, ready, err := g.startPool(&pc)
		if p != nil {
			g.pools = append(g.pools, p)
		}
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, ready.Machines...)
		g.readers.Add(1)
		go g.readBatches(i, p)
	}
	return hosts, nil
}

// startPool starts an agent process and returns its machines once they are up.
func (g *region) startPool(c *PoolConfig) (*poolProcess, *PoolReady, error) {
	cmd := childCommand(g.options.Program, PoolCommand)
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

// PoolCommand is the argument that makes Options.Program run an agent process.
const PoolCommand = "simulated-agents"

// readBatches applies an agent process's batches until the process exits.
func (g *region) readBatches(i int, p *poolProcess) {
	defer g.readers.Done()
	for {
		var b Batch
		if err := p.lines.Decode(&b); err != nil {
			select {
			case <-g.closing:
			default:
				g.reportFailure(fmt.Errorf("%w: %v", errAgentProcess, err))
			}
			return
		}
		g.applyBatch(i, &b)
	}
}

// applyBatch queues a batch's events. It then applies, in the order of their times, all queued events from before the
// time up to which every agent process has reported its events.
func (g *region) applyBatch(i int, b *Batch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queues[i] = append(g.queues[i], b.Events...)
	g.completeUntil[i], g.counts[i], g.connected[i], g.removed[i] = b.Until, b.Counts, b.Connected, b.Removed
	for _, us := range b.Latencies {
		_ = g.latencies.RecordValue(min(max(us, 1), answerTimeout.Microseconds())) // clamped to the histogram's range
	}
	until := slices.Min(g.completeUntil)
	var events []Event
	for k, q := range g.queues {
		at, _ := slices.BinarySearchFunc(q, until, func(e Event, t int64) int { return int(min(max(e.At-t, -1), 1)) })
		events = append(events, q[:at]...)
		g.queues[k] = q[at:]
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(min(max(a.At-b.At, -1), 1)) })
	for k := range events {
		g.rules.applyEvent(&events[k])
	}
	g.rules.advance(until)
}

// removeMachines removes machines on behalf of the cloud and waits until the agent processes report them removed, for
// at most 5 s.
func (g *region) removeMachines(names []string) {
	g.mu.Lock()
	g.removalsRequested += len(names)
	g.mu.Unlock()
	for _, p := range g.pools {
		_ = json.NewEncoder(p.in).Encode(PoolRequest{Remove: names}) // a process that exited has no machines
	}
	for range 100 {
		g.mu.Lock()
		removed := 0
		for _, x := range g.removed {
			removed += x
		}
		gone := removed >= g.removalsRequested
		g.mu.Unlock()
		if gone {
			return
		}
		time.Sleep(batchInterval / 4)
	}
}

// progress returns how many agents are connected and how many tasks are on machines.
func (g *region) progress() (connected, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.connected {
		connected += x
	}
	return connected, len(g.rules.running)
}

// totalCounts returns the sum of all agents' counts.
func (g *region) totalCounts() (c Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.counts {
		c.add(x, 1)
	}
	return c
}

// restartControllers kills controllers and starts them again after Faults.RestartAfter.
func (g *region) restartControllers(ctx context.Context, list []*controller) {
	for _, x := range list {
		x.kill()
	}
	if !wait.For(ctx, settings.Seconds(g.config.Faults.RestartAfter)) {
		return
	}
	for _, x := range list {
		if err := g.start(x); err != nil {
			g.reportFailure(err)
		}
	}
}

// close stops all processes, the store and the cloud.
func (g *region) close() {
	close(g.closing)
	for _, x := range g.controllers {
		x.kill()
	}
	for _, p := range g.pools {
		_ = p.in.Close() // the process exits at the end of its input
	}
	g.readers.Wait()
	for _, p := range g.pools {
		_ = p.cmd.Process.Kill() // in case it did not exit
		_ = p.cmd.Wait()
	}
	for _, c := range g.lineCounters {
		c.close()
	}
	if g.cloud != nil {
		g.cloud.close()
	}
	if g.store != nil {
		g.store.Close()
	}
}
