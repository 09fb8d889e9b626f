package faultinjection

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

// Draw is the choices of a rehearsal of drawn trials.
type Draw struct {
	Program string // that runs a controller by "controller --config FILE --script FILE"
	Dir     string
	Seed    uint64
	Trials  int
	AtOnce  int       // regions at the same time; one if 0
	Out     io.Writer // told of each trial
}

// LossTrial is one drawn loss and what came of it.
type LossTrial struct {
	Seed    uint64        `json:"seed"`
	Loss    string        `json:"loss"`
	Trouble string        `json:"trouble"`
	Broken  string        `json:"broken,omitempty"`
	Settled time.Duration `json:"settled_ns"` // from the loss until all that was accepted was done
}

// The losses and troubles that are drawn.
var (
	losses   = []string{"all", "back", "seconds", "jobs", "roster", "record", "leases"}
	troubles = []string{"none", "one ends", "one is killed while rebuilding", "machine cut", "outage", "loses twice"}
)

// Losses rehearses drawn losses of the state service's data against real controller
// processes on loopback, each in a region of its own. The trials come in the order of their seeds.
func Losses(ctx context.Context, o Draw) ([]LossTrial, error) {
	trials := make([]LossTrial, o.Trials)
	err := each(ctx, o.Trials, o.AtOnce, o.Out, func(ctx context.Context, i int) (string, error) {
		t := &trials[i]
		t.Seed = o.Seed + uint64(i)
		rng := rand.New(rand.NewPCG(t.Seed, 23))
		t.Loss, t.Trouble = losses[rng.IntN(len(losses))], troubles[rng.IntN(len(troubles))]
		dir := filepath.Join(o.Dir, fmt.Sprint(t.Seed))
		if err := lossTrial(ctx, o.Program, dir, rng, t); err != nil {
			return "", err
		}
		verdict, err := judged(dir, t.Broken)
		return fmt.Sprintf("seed %d: %s, %s: settled after %s, %s", t.Seed, t.Loss, t.Trouble, t.Settled.Round(100*time.Millisecond), verdict), err
	})
	if err != nil {
		return nil, err
	}
	return trials, nil
}

// array is a job of small tasks, of the one team and the other in turn.
func array(number, tasks int) *protocol.Submission {
	return &protocol.Submission{UID: fmt.Sprintf("job-%06d", number), Class: "c", Team: []string{"red", "blue"}[number%2], Kind: protocol.JobArray, Priority: "standard",
		Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "img", EstimateSeconds: 1, Spot: true}
}

// each carries out trials, some at the same time, and tells what came of each.
func each(ctx context.Context, trials, atOnce int, out io.Writer, trial func(ctx context.Context, i int) (told string, err error)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, atOnce))
	var telling sync.Mutex
	for i := range trials {
		group.Go(func() error {
			told, err := trial(ctx, i)
			if err != nil {
				return err
			}
			telling.Lock()
			defer telling.Unlock()
			fmt.Fprintln(out, told)
			return nil
		})
	}
	return group.Wait()
}

// judged is a trial's verdict; what one that holds has written is not kept.
func judged(dir, broken string) (verdict string, err error) {
	if broken != "" {
		return "BROKEN: " + broken, nil
	}
	return "holds", os.RemoveAll(dir)
}

// lossRegion is three controllers as processes with stand-ins for everything around.
type lossRegion struct {
	size         regionSize
	dir, program string
	script       string                          // the controllers' options, a file's text
	run          func(task string) time.Duration // how long tasks run, if not all alike
	state        *simulation.KVStore
	doors        []*simulation.Endpoint // each controller's way to the state service
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

// process is a controller that runs, or ran.
type process struct {
	cmd    *exec.Cmd
	killed bool
	ended  chan struct{} // closed once it is gone
}

func lossTrial(ctx context.Context, program, dir string, rng *rand.Rand, t *LossTrial) (err error) {
	g := &lossRegion{dir: dir, program: program, rng: rng, size: smallRegion, client: &http.Client{Timeout: 4 * time.Second}, check: simulation.NewChecker(map[string]float64{"red": 24, "blue": 16})}
	t.Broken, err = g.trial(ctx, func() error { return g.play(ctx, t) })
	return err
}

// trial opens a region, has something played in it and closes it. What broke is told; an
// error is one of the rehearsal itself.
func (g *lossRegion) trial(ctx context.Context, play func() error) (broken string, err error) {
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

// regionSize is what differs between a small region and a large one.
type regionSize struct {
	machines int
	cpus     float64 // of a machine
	run      time.Duration
	report   float64 // seconds between a worker's reports
	teams    []settings.Team
	state    settings.KVStore
	cloud    settings.Cloud
	lease    float64
	cancel   float64
	memory   float64 // of a controller, MB
}

var smallRegion = regionSize{machines: 6, cpus: 8, run: time.Second, report: 0.2, lease: 26.5, cancel: 60, memory: 256,
	teams: []settings.Team{{Name: "red", CPUs: 16, CPUsMax: 24}, {Name: "blue", CPUs: 8, CPUsMax: 16}},
	state: settings.KVStore{RequestsPerSecond: 400, ChangesPerSecond: 200, ValueKB: 16, ChangesPerTransaction: 16}, cloud: settings.Cloud{RequestsPerSecond: 20, ListLagSeconds: 0.2}}

func (g *lossRegion) open() error {
	if err := os.MkdirAll(g.dir, 0o700); err != nil {
		return err
	}
	var err error
	g.turns = &sync.Mutex{}
	if g.state == nil {
		if g.state, err = simulation.NewKVStore(g.size.state.ChangesPerTransaction, int(g.size.state.ValueKB)); err != nil {
			return err
		}
	}
	host, names := simulation.NewHost(), regionNames
	listen, peers := map[string]string{}, map[string]string{}
	for _, name := range names {
		for _, m := range []map[string]string{listen, peers} {
			if m[name], err = host.Listen(); err != nil {
				return err
			}
		}
		g.listen = append(g.listen, listen[name])
	}
	if g.run == nil {
		g.run = func(string) time.Duration { return g.size.run }
	}
	if err := os.WriteFile(filepath.Join(g.dir, "options.star"), []byte(g.script), 0o600); err != nil {
		return err
	}
	per := simulation.Periods{Heartbeat: settings.Seconds(g.size.report), Lease: settings.Seconds(g.size.lease), Run: g.run}
	types := []protocol.MachineType{{Name: "m8", CPUs: g.size.cpus, MemoryGB: 8 * g.size.cpus, PricePerHour: 2, SpotPricePerHour: 1, BootSeconds: 1, Zones: []string{"east", "west"}}}
	if g.cloud, err = simulation.NewCloud(types, g.size.machines, func(name, typ, zone string, spot bool) (*simulation.Agent, error) {
		return simulation.NewAgent(name, typ, zone, spot, listen, names, per, g.check)
	}); err != nil {
		return err
	}
	g.pipes = simulation.Paths{}
	for i, name := range names {
		door, err := g.state.NewEndpoint()
		if err != nil {
			return err
		}
		g.doors = append(g.doors, door)
		s := &settings.Settings{Name: name, Zone: "east", Listen: listen[name], PeerListen: peers[name],
			Outside: settings.Outside{Cloud: g.cloud.Addr(), KVStore: door.Addr()},
			Deployment: settings.Deployment{Size: 3, Zones: []string{"east", "west"},
				Teams:   g.size.teams,
				Agents:  settings.Agents{HeartbeatSeconds: g.size.report, LeaseSeconds: g.size.lease, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: g.size.cancel},
				KVStore: g.size.state, Cloud: g.size.cloud, Limits: settings.Limits{Cores: 1, MemoryMB: g.size.memory, MaxSockets: 4000}}}
		for k, p := range names {
			if p != name {
				pipe, err := simulation.NewPipe(peers[p])
				if err != nil {
					return err
				}
				g.pipes[[2]int{i, k}] = pipe
				s.Peers = append(s.Peers, settings.Peer{Name: p, Zone: "east", Endpoint: pipe.Addr()})
			}
		}
		if err := os.WriteFile(g.config(i), protocol.Encode(s), 0o600); err != nil {
			return err
		}
		g.nodes = append(g.nodes, nil)
		if err := g.start(i); err != nil {
			return err
		}
	}
	return nil
}

func (g *lossRegion) config(i int) string {
	return filepath.Join(g.dir, fmt.Sprintf("node-%d.json", i))
}

func (g *lossRegion) start(i int) error {
	g.turns.Lock()
	defer g.turns.Unlock()
	if p := g.nodes[i]; p != nil && p.runs() {
		return nil // two troubles that both ended it must not start it twice: a platform runs one process of a controller
	}
	log, err := os.OpenFile(filepath.Join(g.dir, fmt.Sprintf("node-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p := &process{cmd: exec.Command(g.program, "controller", "--config", g.config(i), "--script", filepath.Join(g.dir, "options.star")), ended: make(chan struct{})}
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	g.nodes[i] = p
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait() // how it ended does not matter, only that it did
	}()
	return nil
}

// ticksPerSecond is the unit of processor time in /proc/PID/stat (proc(5)): always 100 for
// programs on Linux.
const ticksPerSecond = 100

// used tells a process's processor time so far, in seconds, and the most memory that it
// held, in MB; zeros if the system does not tell.
func (p *process) used() (cpu, memory float64) {
	pid := p.cmd.Process.Pid
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	// After the name, which may hold anything and ends with the last parenthesis.
	if fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])); len(fields) > 12 {
		for _, f := range fields[11:13] {
			ticks, _ := strconv.ParseFloat(f, 64)
			cpu += ticks / ticksPerSecond
		}
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(status), "\n") {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			memory, _ = strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(kb), " kB"), 64)
			memory /= 1024
		}
	}
	return cpu, memory
}

// kill ends a controller without a word.
func (g *lossRegion) kill(i int) {
	g.turns.Lock()
	defer g.turns.Unlock()
	if p := g.nodes[i]; p != nil && p.runs() {
		p.killed = true
		_ = p.cmd.Process.Kill() // it may have ended just now
		<-p.ended
	}
}

// runs says whether the process has not ended, and was not ended.
func (p *process) runs() bool {
	select {
	case <-p.ended:
		return false
	default:
		return !p.killed
	}
}

// node is a controller's process, the latest if there were several.
func (g *lossRegion) node(i int) *process {
	g.turns.Lock()
	defer g.turns.Unlock()
	return g.nodes[i]
}

// ended names a controller that ended by itself.
func (g *lossRegion) ended() error {
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

func (g *lossRegion) close() {
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

func (g *lossRegion) ask(method, path string, body any) (int, protocol.Status) {
	return g.askOf(g.rng, method, path, body)
}

// askOf asks one of the controllers, drawn from a sequence of the caller's own.
func (g *lossRegion) askOf(rng *rand.Rand, method, path string, body any) (int, protocol.Status) {
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

func (g *lossRegion) until(ctx context.Context, what string, holds func() bool) error {
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

func (g *lossRegion) submit(ctx context.Context, s *protocol.Submission) error {
	g.check.RecordSubmission(s)
	return g.until(ctx, s.UID+" accepted", func() bool {
		status, st := g.ask("POST", protocol.PathSubmit, s)
		g.check.RecordAnswer(s.UID, status, st.State, false)
		return status == 200 || status == 201
	})
}

func (g *lossRegion) reaches(ctx context.Context, uid string, state protocol.JobState) error {
	return g.until(ctx, uid+" "+string(state), func() bool {
		status, st := g.ask("GET", protocol.PathSubmit+"/"+uid, nil)
		g.check.RecordAnswer(uid, status, st.State, false)
		return status == 200 && st.State == state
	})
}

// play has jobs accepted, one withdrawn and some done, takes data away with a trouble
// beside it, and sees that everything comes to its end.
func (g *lossRegion) play(ctx context.Context, t *LossTrial) error {
	job := func(i int) *protocol.Submission {
		s := array(i, 4+g.rng.IntN(8))
		s.Spot = i%2 == 0
		return s
	}
	var jobs []*protocol.Submission
	var saved simulation.StoreSnapshot
	for i := range 8 {
		j := job(i)
		if err := g.submit(ctx, j); err != nil {
			return err
		}
		if jobs = append(jobs, j); i == 3 {
			saved = g.state.Snapshot()
		}
	}
	gone := job(90)
	if err := g.submit(ctx, gone); err != nil {
		return err
	}
	g.check.RecordCancellation(gone.UID)
	if err := g.until(ctx, "withdrawn", func() bool {
		status, st := g.ask("POST", protocol.PathSubmit+"/"+gone.UID+"/withdraw", struct{}{})
		g.check.RecordAnswer(gone.UID, status, st.State, false)
		return status == 200
	}); err != nil {
		return err
	}
	if t.Loss == "seconds" {
		saved = g.state.Snapshot()
	}
	wait.For(ctx, time.Duration(g.rng.IntN(3000))*time.Millisecond)
	began := time.Now()
	if err := g.lose(ctx, t, saved); err != nil {
		return err
	}
	late := job(99)
	if err := g.submit(ctx, late); err != nil {
		return err
	}
	for _, j := range append(jobs, late) {
		if err := g.reaches(ctx, j.UID, protocol.Done); err != nil {
			return err
		}
	}
	t.Settled = time.Since(began)
	for _, j := range append(jobs, late) { // and stays so
		if err := g.reaches(ctx, j.UID, protocol.Done); err != nil {
			return err
		}
	}
	return g.reaches(ctx, gone.UID, protocol.Cancelled)
}

func (g *lossRegion) lose(ctx context.Context, t *LossTrial, saved simulation.StoreSnapshot) error {
	drop := func() {
		switch t.Loss {
		case "all":
			g.state.LoseAll()
		case "back", "seconds":
			g.state.RollBack(saved)
		case "jobs":
			g.state.LosePrefix("w/a/")
		case "roster":
			g.state.LosePrefix("w/m/")
		case "record":
			g.state.LosePrefix("w/c")
		case "leases":
			g.state.LoseLeases()
		}
	}
	i := g.rng.IntN(len(g.nodes))
	switch t.Trouble {
	case "one ends":
		g.kill(i)
		drop()
		return g.start(i)
	case "one is killed while rebuilding":
		drop()
		wait.For(ctx, time.Duration(g.rng.IntN(2500))*time.Millisecond)
		g.kill(i)
		return g.start(i)
	case "machine cut":
		ws := g.cloud.Agents()
		if len(ws) > 0 {
			ws[0].DisconnectNetwork(true)
			defer ws[0].DisconnectNetwork(false)
		}
		drop()
		wait.For(ctx, 4*time.Second)
	case "outage":
		g.state.SetOutage(true)
		wait.For(ctx, time.Duration(g.rng.IntN(4000))*time.Millisecond)
		drop()
		g.state.SetOutage(false)
	case "loses twice":
		drop()
		wait.For(ctx, time.Duration(g.rng.IntN(3000))*time.Millisecond)
		drop()
	default:
		drop()
	}
	return nil
}
