//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) seconds() float64 { return time.Since(r.began).Seconds() }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.2f ", r.seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// site holds the settings of one of the operators' site files.
type site struct {
	zones     []string // of the deployment; the controllers are spread over them
	teams     []settings.Team
	workers   settings.Agents
	state     settings.KVStore
	cloud     settings.Cloud
	limits    settings.Limits
	clockOff  float64
	machine   protocol.MachineType
	capacity  int // machines of each zone
	upAtStart int // machines of each zone
}

// region is three controller processes on loopback with stand-ins for the state service, the cloud, the workers and the
// users.
type region struct {
	site  site
	rec   *record
	dir   string
	store *simulation.KVStore
	cloud *cloud
	nodes []*node
	jobs  *jobs
}

type node struct {
	name, serve, peer, settings string
	log                         *os.File
	process                     *exec.Cmd
}

// peaje returns the settings of the deployment peaje-cl, with machines of a type, at most capacity of them in each zone, and
// the given number of each zone up at the start.
func peaje(machine protocol.MachineType, capacity, up int) site {
	return site{
		zones: []string{"concepcion-sur", "santiago-centro"},
		teams: []settings.Team{
			{Name: "cobranza", CPUs: 160, CPUsMax: 456},
			{Name: "vision-vial", CPUs: 80, CPUsMax: 264},
			{Name: "fiscalia-ops", CPUs: 128, CPUsMax: 264},
		},
		workers:  settings.Agents{HeartbeatSeconds: 2, LeaseSeconds: 12, GangWaitSeconds: 30, GangPeerSeconds: 4, CancelSeconds: 32},
		state:    settings.KVStore{RequestsPerSecond: 200, ChangesPerSecond: 40, ValueKB: 16, ChangesPerTransaction: 12},
		cloud:    settings.Cloud{RequestsPerSecond: 8, ListLagSeconds: 4},
		limits:   settings.Limits{Cores: 0.24, MemoryMB: 125, MaxSockets: 1500},
		clockOff: 5, machine: machine, capacity: capacity, upAtStart: up,
	}
}

// openRegion starts the stand-ins and the controllers of a site.
func openRegion(rec *record, dir string, at site) (*region, error) {
	g := &region{site: at, rec: rec, dir: dir, jobs: newJobs(rec)}
	var err error
	if g.store, err = simulation.NewKVStore(at.state.ChangesPerTransaction, int(at.state.ValueKB)); err != nil {
		return nil, err
	}
	g.store.LimitRates(at.state.RequestsPerSecond, at.state.ChangesPerSecond)
	host := simulation.NewHost()
	for i := range 3 {
		n := &node{name: fmt.Sprintf("estacion-%d", i)}
		if n.serve, err = host.Listen(); err != nil {
			return nil, err
		}
		if n.peer, err = host.Listen(); err != nil {
			return nil, err
		}
		g.nodes = append(g.nodes, n)
	}
	typ := at.machine
	typ.Zones = at.zones
	if g.cloud, err = openCloud(g, typ, at.capacity); err != nil {
		return nil, err
	}
	for i, n := range g.nodes {
		if err := g.writeSettings(i); err != nil {
			return nil, err
		}
		if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			return nil, err
		}
		if err := g.start(n); err != nil {
			return nil, err
		}
	}
	for range at.upAtStart {
		for _, zone := range at.zones {
			g.cloud.add(zone, false, 0)
		}
	}
	return g, nil
}

func (g *region) writeSettings(i int) error {
	n, at := g.nodes[i], &g.site
	zone := func(k int) string { return at.zones[k%len(at.zones)] }
	s := map[string]any{
		"host_name": n.name, "zone": zone(i), "serve_on": n.serve, "peer_listen": n.peer,
		"outside": map[string]any{"cloud": g.cloud.addr, "state": g.store.Addr()},
		"deployment": map[string]any{
			"initial_size": 3, "zones": at.zones, "teams": at.teams, "objectives": []any{}, "workers": at.workers,
			"state": at.state, "cloud": at.cloud, "limits": at.limits, "clock_off_ms": at.clockOff,
		},
	}
	var seeds []any
	for k, p := range g.nodes {
		if k != i {
			seeds = append(seeds, map[string]any{"host_name": p.name, "zone": zone(k), "endpoint": p.peer})
		}
	}
	s["seeds"] = seeds
	data, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(g.dir, n.name+".json")
	return os.WriteFile(n.settings, data, 0o600)
}

// runCommand returns the program and the arguments of the deploy file's run line.
func runCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/service.toml has no run line")
}

func (g *region) start(n *node) error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	n.process = exec.Command(command[0], append(command[1:], n.settings)...)
	n.process.Env = append(os.Environ(), "LOG_LEVEL=info")
	n.process.Stderr = n.log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.rec.add("platform: start %s", n.name)
	return n.process.Start()
}

func (g *region) kill(n *node) {
	if n.process == nil {
		return
	}
	g.rec.add("platform: kill %s", n.name)
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
	n.process = nil
}

func (g *region) close() {
	for _, n := range g.nodes {
		g.kill(n)
		if n.log != nil {
			n.log.Close()
		}
	}
	if g.cloud != nil {
		g.cloud.close()
	}
	if g.store != nil {
		g.store.Close()
	}
}

// request sends a user's request to the nodes in turn until one answers.
func (g *region) request(method, path string, body []byte, timeout time.Duration) (status int, answer []byte) {
	for _, n := range g.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		req, err := http.NewRequestWithContext(ctx, method, "http://"+n.serve+path, bytes.NewReader(body))
		if err == nil {
			var resp *http.Response
			if resp, err = http.DefaultClient.Do(req); err == nil {
				answer, err = io.ReadAll(resp.Body)
				resp.Body.Close()
				status = resp.StatusCode
			}
		}
		cancel()
		if err == nil && status != 503 {
			return status, answer
		}
	}
	return status, answer
}

// awaitHealthy waits until every node is healthy.
func (g *region) awaitHealthy(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, n := range g.nodes {
		for {
			resp, err := http.Get("http://" + n.serve + "/healthz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not healthy", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// submit sends a submission until it is accepted, for up to 60 s.
func (g *region) submit(s *protocol.Submission) error {
	g.jobs.add(s)
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		status, answer := g.request("POST", "/submissions", protocol.Encode(s), 5*time.Second)
		g.rec.add("user: submit %s (%s, %d tasks of %g cores) -> %d %s", s.UID, s.Team, s.Tasks, s.CPUs, status, answer)
		if status == 200 || status == 201 {
			return nil
		}
	}
	return fmt.Errorf("%s was not accepted within 60 s", s.UID)
}

// poll asks for a job's state.
func (g *region) poll(uid string) protocol.Status {
	var s protocol.Status
	status, answer := g.request("GET", "/submissions/"+uid, nil, 2*time.Second)
	_ = json.Unmarshal(answer, &s)
	g.rec.add("user: poll %s -> %d %s", uid, status, answer)
	return s
}

// awaitStarts waits until so many tasks of a job began to run.
func (g *region) awaitStarts(uid string, count int) error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if starts, _, _, _ := g.jobs.figures(uid); starts >= count {
			return nil
		}
	}
	return fmt.Errorf("%s does not run", uid)
}

// overview returns a node's view of itself, nil if it does not answer.
func (g *region) overview(n *node) *overview {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+n.serve+"/overview", nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var o overview
	if json.NewDecoder(resp.Body).Decode(&o) != nil {
		return nil
	}
	return &o
}

// overview is a part of what GET /overview answers.
type overview struct {
	Term     uint64            `json:"term"`
	Entitled bool              `json:"entitled"`
	Owners   map[string]string `json:"owners"`
	Items    map[string]struct {
		Phase   string `json:"phase"`
		Awaited int    `json:"barrier_waits_for"`
	} `json:"items"`
}

// copyReport delivers a copy of a worker's earlier report to a node, and ignores the answer.
func (g *region) copyReport(w *worker, body []byte, n *node) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.serve+protocol.PathHeartbeat, bytes.NewReader(body))
	if err != nil {
		return
	}
	status := 0
	if resp, err := http.DefaultClient.Do(req); err == nil {
		status = resp.StatusCode
		resp.Body.Close()
	}
	g.rec.add("network: copy of a report of %s arrives at %s -> %d", w.name, n.name, status)
}
