package main

// A region on loopback: the service's real processes, started by the line of the deploy file, with stand-ins around
// them; and users.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	}
}

// Team is a team of the settings.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Site is a small deployment.
type Site struct {
	Name            string
	Zones           []string
	Teams           []Team
	Types           []MachineType
	Capacity        map[string]int
	Initial         []string // type/zone/spot, up at the start
	Periods         Periods
	RPS, WPS, CRPS  float64
	Lag             float64
	ValueKB, Ops    int
	MemoryMB, Cores float64
	Sockets         int
	Objectives      []obj
	ClockOff        float64
}

// Node is one controller.
type Node struct {
	name, zone   string
	public, peer string
	store        *Endpoint
	config       string
	log          string
	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{}
	wanted       bool             // it should be running
	links        map[string]*Link // to the other controllers
}

// World is a region.
type World struct {
	site        Site
	dir         string
	program     []string
	root        string
	types       map[string]MachineType
	typeOrder   []string
	periods     Periods
	store       *Store
	cloud       *Cloud
	nodes       []*Node
	check       *Checker
	gangs       *gangs
	rngMu       sync.Mutex
	rng         *rand.Rand
	record      *os.File
	recMu       sync.Mutex
	began       time.Time
	failing     func(task string) bool
	cutFrom     sync.Map // node index -> true: workers do not reach it
	loglevel    string
	quiet       bool
	detailed    bool
	fetchFactor float64 // if above 0, what images take of their nominal time
	endedSelf   []string
}

func (w *World) rand() float64 {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.Float64()
}

func (w *World) intn(n int) int {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.Intn(n)
}

func (w *World) rec(format string, args ...any) {
	w.recMu.Lock()
	defer w.recMu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(w.record, line)
	if !w.quiet && strings.HasPrefix(fmt.Sprintf(format, args...), "BROKEN") {
		fmt.Println(line)
	}
}

// detail records an event if the record is to be detailed.
func (w *World) detail(format string, args ...any) {
	if w.detailed {
		w.rec(format, args...)
	}
}

func (w *World) fails(task string) bool { return w.failing != nil && w.failing(task) }

func (w *World) workersCut(node int) bool { _, cut := w.cutFrom.Load(node); return cut }

func (w *World) runTime(task string) time.Duration {
	uid, _, _ := splitTask(task)
	if s := w.check.spec(uid); s != nil {
		return secs(s.run)
	}
	return time.Second
}

// freeAddr returns an address below the ports that outgoing connections use, so that a process that starts again finds
// it free.
func freeAddr() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.Intn(18000))
		if l, err := net.Listen("tcp4", addr); err == nil {
			l.Close()
			return addr
		}
	}
}

func newWorld(site Site, seed int64, record, dir, root string) *World {
	f, err := os.Create(record)
	check(err)
	w := &World{site: site, dir: dir, root: root, types: map[string]MachineType{}, periods: site.Periods, rng: rand.New(rand.NewSource(seed)),
		record: f, began: time.Now(), gangs: &gangs{m: map[taskKey]*gang{}}, loglevel: "info"}
	limits := map[string]float64{}
	for _, t := range site.Teams {
		limits[t.Name] = t.CPUsMax
		if t.GPUsMax > 0 {
			limits[t.Name+"/cards"] = t.GPUsMax
		}
	}
	w.check = newChecker(w, limits)
	for _, t := range site.Types {
		w.types[t.Name] = t
		w.typeOrder = append(w.typeOrder, t.Name)
	}
	w.program = runLine(root)
	w.store = newStore(site.RPS, site.WPS, site.Ops, site.ValueKB)
	w.cloud = newCloud(w, site.CRPS, site.Lag, site.Capacity)
	for i := 0; i < 3; i++ {
		n := &Node{name: fmt.Sprintf("estacion-%d", i), zone: site.Zones[i%len(site.Zones)], public: freeAddr(), peer: freeAddr(), store: w.store.newEndpoint(), links: map[string]*Link{}}
		w.nodes = append(w.nodes, n)
	}
	for i, n := range w.nodes {
		var seeds []obj
		for j, o := range w.nodes {
			if i != j {
				n.links[o.name] = newLink(o.peer)
				seeds = append(seeds, obj{"host_name": o.name, "zone": o.zone, "endpoint": n.links[o.name].Addr()})
			}
		}
		objectives := site.Objectives
		if objectives == nil {
			objectives = []obj{}
		}
		settings := obj{"host_name": n.name, "zone": n.zone, "serve_on": n.public, "peer_listen": n.peer, "seeds": seeds,
			"outside": obj{"cloud": w.cloud.addr, "state": n.store.Addr},
			"deployment": obj{"initial_size": 3, "zones": site.Zones, "teams": site.Teams, "objectives": objectives,
				"workers": obj{"report_s": site.Periods.Report, "lease_s": site.Periods.Lease, "gang_wait_s": site.Periods.GangWait, "gang_peer_s": site.Periods.GangPeer, "cancel_s": site.Periods.Cancel},
				"state":   obj{"rps": site.RPS, "write_rps": site.WPS, "value_kb": site.ValueKB, "txn_ops": site.Ops},
				"cloud":   obj{"rps": site.CRPS, "list_lag_s": site.Lag},
				"limits":  obj{"cores": site.Cores, "memory_mb": site.MemoryMB, "max_sockets": site.Sockets}, "clock_off_ms": site.ClockOff}}
		b, _ := json.MarshalIndent(settings, "", " ")
		n.config = filepath.Join(dir, n.name+".json")
		n.log = filepath.Join(dir, n.name+".log")
		check(os.WriteFile(n.config, b, 0o600))
	}
	for _, spec := range site.Initial {
		p := strings.Split(spec, "/")
		w.cloud.mu.Lock()
		w.cloud.rent(p[0], p[1], p[2] == "true", 0.01)
		w.cloud.mu.Unlock()
	}
	return w
}

// runLine reads the run line of the deploy file.
func runLine(root string) []string {
	b, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	check(err)
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run"); ok {
			rest = strings.Trim(strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(rest), "=")), `"`)
			return strings.Fields(rest)
		}
	}
	check(fmt.Errorf("no run line"))
	return nil
}

// Start starts a controller's process.
func (w *World) Start(i int) {
	n := w.nodes[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return
	}
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	args := append(append([]string{}, w.program[1:]...), n.config)
	cmd := exec.Command(w.program[0], args...)
	cmd.Dir = w.root
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+w.loglevel)
	cmd.Stderr, cmd.Stdout = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	log.Close()
	n.cmd, n.wanted, n.ended = cmd, true, make(chan struct{})
	ended := n.ended
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		if n.wanted && n.cmd == cmd {
			w.check.mu.Lock()
			w.check.bad("ended", "%s ended by itself: %v", n.name, err)
			w.check.mu.Unlock()
			n.cmd = nil
		}
		n.mu.Unlock()
		close(ended)
	}()
	w.rec("start %s", n.name)
}

// Kill ends a controller's process.
func (w *World) Kill(i int) {
	n := w.nodes[i]
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.wanted, n.cmd = false, nil
	n.mu.Unlock()
	if cmd != nil {
		w.rec("kill %s", n.name)
		cmd.Process.Kill()
		<-ended
	}
}

// Freeze stops a process, or lets it go on.
func (w *World) Freeze(i int, on bool) {
	n := w.nodes[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	if on {
		w.rec("stop %s", n.name)
		n.cmd.Process.Signal(syscall.SIGSTOP)
	} else {
		w.rec("continue %s", n.name)
		n.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// Close ends everything.
func (w *World) Close() {
	for i := range w.nodes {
		w.Kill(i)
	}
	for _, m := range w.cloud.Workers() {
		m.remove()
	}
}

// Link is a path from one controller to another.
type Link struct {
	l     net.Listener
	to    string
	mu    sync.Mutex
	mode  string // "": passes; "hold": packets are held; "refuse"
	delay time.Duration
	conns map[net.Conn]bool
}

func newLink(to string) *Link {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	k := &Link{l: l, to: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
}

// Addr is where the path begins.
func (k *Link) Addr() string { return k.l.Addr().String() }

// Set changes how the path behaves. refuse resets what is open.
func (k *Link) Set(mode string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = mode
	if mode == "refuse" {
		for c := range k.conns {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Close()
		}
	}
}

func (k *Link) held() (bool, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode == "hold", k.delay
}

func (k *Link) serve(a net.Conn) {
	k.mu.Lock()
	if k.mode == "refuse" {
		k.mu.Unlock()
		a.(*net.TCPConn).SetLinger(0)
		a.Close()
		return
	}
	k.mu.Unlock()
	for h, _ := k.held(); h; h, _ = k.held() {
		time.Sleep(20 * time.Millisecond)
	}
	b, err := net.DialTimeout("tcp4", k.to, 2*time.Second)
	if err != nil {
		a.(*net.TCPConn).SetLinger(0)
		a.Close()
		return
	}
	k.mu.Lock()
	k.conns[a], k.conns[b] = true, true
	k.mu.Unlock()
	pipe := func(dst, src net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				for {
					h, d := k.held()
					if !h {
						time.Sleep(d)
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				if _, werr := dst.Write(buf[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				for h, _ := k.held(); h; h, _ = k.held() {
					time.Sleep(10 * time.Millisecond)
				}
				break
			}
		}
		dst.Close()
		src.Close()
	}
	go pipe(a, b)
	pipe(b, a)
	k.mu.Lock()
	delete(k.conns, a)
	delete(k.conns, b)
	k.mu.Unlock()
}

var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}

// call sends a user's request to one node and judges the answer. Status 0: no answer.
func (w *World) call(node int, kind, uid string, body []byte) (int, string) {
	n := w.nodes[node]
	method, path, limit := "GET", "/submissions/"+uid, 2*time.Second
	switch kind {
	case "submit":
		method, path, limit = "POST", "/submissions", 5*time.Second
	case "cancel":
		method, path, limit = "POST", "/submissions/"+uid+"/withdraw", 5*time.Second
	}
	before := w.check.known(uid)
	if kind == "cancel" {
		w.check.mu.Lock()
		if j := w.check.jobs[uid]; j != nil {
			j.cancelAsked = true
		}
		w.check.mu.Unlock()
	}
	req, _ := http.NewRequest(method, "http://"+n.public+path, bytes.NewReader(body))
	c := *userClient
	c.Timeout = limit
	resp, err := c.Do(req)
	if err != nil {
		w.detail("%s %s at %s: no answer (%v)", kind, uid, n.name, err)
		return 0, ""
	}
	b, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return 0, ""
	}
	var s struct {
		Estado string `json:"estado"`
	}
	json.Unmarshal(b, &s)
	w.detail("%s %s at %s: %d %s", kind, uid, n.name, resp.StatusCode, strings.TrimSpace(string(b)))
	w.check.answered(kind, uid, before, resp.StatusCode, s.Estado, n.name)
	return resp.StatusCode, s.Estado
}

func (w *World) pick() int { return w.intn(len(w.nodes)) }

// Submit submits until accepted or refused, or until the time is over.
func (w *World) Submit(s *Spec, within time.Duration) int {
	w.check.submitted(s)
	body, _ := json.Marshal(s)
	until := time.Now().Add(within)
	for {
		node := w.pick()
		st, state := w.call(node, "submit", s.UID, body)
		if st == 200 || st == 201 || st == 400 || st == 422 {
			w.rec("submit %s %s x%d -> %d %s (%s)", s.UID, s.Tipo, s.Tramos, st, state, w.nodes[node].name)
			return st
		}
		if time.Now().After(until) {
			w.rec("submit %s -> given up (%d)", s.UID, st)
			return st
		}
		time.Sleep(time.Second)
	}
}

// Cancel cancels until confirmed, or until the time is over.
func (w *World) Cancel(uid string, within time.Duration) string {
	until := time.Now().Add(within)
	for {
		node := w.pick()
		st, state := w.call(node, "cancel", uid, []byte("{}"))
		if st == 200 || st == 404 {
			w.rec("cancel %s -> %d %s (%s)", uid, st, state, w.nodes[node].name)
			return state
		}
		if time.Now().After(until) {
			return ""
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// Ready waits until a controller is healthy.
func (w *World) Ready(within time.Duration) bool {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		ok := 0
		for _, n := range w.nodes {
			resp, err := http.Get("http://" + n.public + "/healthz")
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == 200 {
					ok++
				}
			}
		}
		if ok == len(w.nodes) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
