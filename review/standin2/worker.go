package main

// A worker: one machine. It follows PROTOCOL, "Workers -> controller nodes", "Controller nodes -> workers" and "Gangs".

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Periods are the workers' settings.
type Periods struct {
	Report, Lease, GangWait, GangPeer, Cancel float64
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

type taskKey struct {
	task    string
	attempt uint64
}

type wtask struct {
	Task    string `json:"tramo"`
	Attempt uint64 `json:"intento"`
	State   string `json:"estado"`
	Why     string `json:"motivo,omitempty"`
	Kept    bool   `json:"kept,omitempty"`

	since     time.Time // in this state
	ran       time.Duration
	peersLost time.Time // since when a task of its running gang is missing
	saveUntil time.Time
	stopAt    time.Time
}

type report struct {
	Estacion    string   `json:"estacion"`
	Address     string   `json:"address"`
	Modelo      string   `json:"modelo"`
	Zona        string   `json:"zona"`
	Prestadas   bool     `json:"prestadas"`
	Jornada     uint64   `json:"jornada"`
	Correlativo uint64   `json:"correlativo"`
	Mando       uint64   `json:"mando"`
	Aviso       *float64 `json:"aviso_s"`
	Tramos      []wtask  `json:"tramos"`
}

type command struct {
	Orden   string   `json:"orden"`
	Tramo   string   `json:"tramo"`
	Intento uint64   `json:"intento"`
	Gracia  *float64 `json:"gracia_s"`
}

type orders struct {
	Mando   uint64    `json:"mando"`
	Jornada uint64    `json:"jornada"`
	Ordenes []command `json:"ordenes"`
}

// Worker is one machine.
type Worker struct {
	w               *World
	name, typ, zone string
	spot            bool
	addr            string
	srv             *http.Server
	mu              sync.Mutex
	gone            bool
	session, seq    uint64
	token           uint64
	began           time.Time // of the session, or when the last answered report was sent
	tasks           map[taskKey]*wtask
	order           []taskKey
	images          map[string]bool
	fetching        map[string]time.Time // image -> when it is here
	done            map[string]bool      // kept results
	notice          *float64
	hung            bool
	mute, deaf, cut bool
	faulty          bool
	backlog         []orders // direct commands that arrived while it hung
	holdCmd         func(o *orders) time.Duration
	changed         chan struct{}
	stop            chan struct{}
	copies          [][]byte
	keepCopies      bool
	StartsSeen      int
	born            time.Time
}

func newWorker(w *World, name, typ, zone string, spot bool) *Worker {
	m := &Worker{w: w, name: name, typ: typ, zone: zone, spot: spot, session: 1, began: time.Now(), born: time.Now(), tasks: map[taskKey]*wtask{},
		images: map[string]bool{}, fetching: map[string]time.Time{}, done: map[string]bool{}, changed: make(chan struct{}, 1), stop: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	m.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", m.do)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		if m.hung || m.deaf || m.cut {
			m.mu.Unlock()
			hang(r)
		}
		defer m.mu.Unlock()
		answer(rw, 200, m.report())
	})
	m.srv = &http.Server{Handler: mux}
	go m.srv.Serve(l)
	go m.loop()
	go m.run()
	return m
}

// remove takes the machine away with everything on it.
func (m *Worker) remove() {
	m.mu.Lock()
	if m.gone {
		m.mu.Unlock()
		return
	}
	m.gone = true
	m.killAll()
	m.mu.Unlock()
	close(m.stop)
	m.srv.Close()
}

func (m *Worker) killAll() {
	for k, t := range m.tasks {
		if t.State != "exited" && t.State != "pulling" {
			m.w.check.off(k.task, m.name, false)
		}
	}
	m.tasks, m.order = map[taskKey]*wtask{}, nil
	m.fetching = map[string]time.Time{}
}

func (m *Worker) report() report {
	m.seq++
	r := report{Estacion: m.name, Address: m.addr, Modelo: m.typ, Zona: m.zone, Prestadas: m.spot, Jornada: m.session,
		Correlativo: m.seq, Mando: m.token, Aviso: m.notice, Tramos: []wtask{}}
	for _, k := range m.order {
		if t := m.tasks[k]; t != nil {
			r.Tramos = append(r.Tramos, *t)
		}
	}
	return r
}

func (m *Worker) change() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Worker) do(rw http.ResponseWriter, r *http.Request) {
	var o orders
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if json.Unmarshal(body, &o) != nil || o.Mando == 0 || o.Jornada == 0 {
		answer(rw, 400, obj{"error": "mando or jornada missing"})
		return
	}
	m.mu.Lock()
	if m.deaf || m.cut || m.gone {
		m.mu.Unlock()
		hang(r)
	}
	if m.hung {
		m.backlog = append(m.backlog, o)
		m.mu.Unlock()
		hang(r)
	}
	if m.holdCmd != nil {
		if d := m.holdCmd(&o); d > 0 {
			m.mu.Unlock()
			time.AfterFunc(d, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.gone {
					return
				}
				if m.hung {
					m.backlog = append(m.backlog, o)
					return
				}
				m.direct(&o)
			})
			hang(r)
		}
	}
	defer m.mu.Unlock()
	if m.direct(&o) {
		answer(rw, 200, m.report())
	} else {
		answer(rw, 409, m.report())
	}
}

// direct executes direct commands if token and session match.
func (m *Worker) direct(o *orders) bool {
	m.lease()
	if m.gone || o.Mando < m.token || o.Jornada != m.session {
		return false
	}
	m.token = o.Mando
	m.execute(o.Ordenes, "do")
	return true
}

func (m *Worker) execute(cmds []command, via string) {
	for _, c := range cmds {
		k := taskKey{c.Tramo, c.Intento}
		t := m.tasks[k]
		switch c.Orden {
		case "start":
			if t == nil {
				m.start(k)
			}
		case "stop":
			if t != nil && t.State != "exited" {
				m.stopTask(t, c.Gracia)
			}
		case "forget":
			if t != nil && t.State == "exited" {
				delete(m.tasks, k)
				for i, x := range m.order {
					if x == k {
						m.order = append(m.order[:i], m.order[i+1:]...)
						break
					}
				}
			}
		}
	}
	m.change()
}

func (m *Worker) start(k taskKey) {
	m.StartsSeen++
	t := &wtask{Task: k.task, Attempt: k.attempt, State: "exited", since: time.Now()}
	uid, index, ok := splitTask(k.task)
	spec := m.w.check.spec(uid)
	inUse, c, g, mem := false, 0.0, 0.0, 0.0
	for o, x := range m.tasks {
		if x.State == "exited" {
			continue
		}
		if o.task == k.task {
			inUse = true
		}
		u, _, _ := splitTask(o.task)
		if s := m.w.check.spec(u); s != nil {
			c, g, mem = c+s.Cores, g+s.Cards, mem+s.RAM
		}
	}
	m.tasks[k] = t
	m.order = append(m.order, k)
	typ := m.w.types[m.typ]
	m.w.check.started(k, m)
	switch {
	case !ok || spec == nil || index >= spec.Tramos:
		t.Why = "no_such"
	case inUse:
		t.Why = "in_use"
	case c+spec.Cores > typ.Cores+1e-6 || g+spec.Cards > typ.Cards+1e-6 || mem+spec.RAM > typ.RAM+1e-6:
		t.Why = "full"
	default:
		t.State = "pulling"
		if !m.images[spec.Imagen] {
			if _, f := m.fetching[spec.Imagen]; !f {
				f := 0.67 + 0.66*m.w.rand()
				if m.w.fetchFactor > 0 {
					f = m.w.fetchFactor
				}
				d := secs(spec.ImageGB / typ.Pull * f)
				m.fetching[spec.Imagen] = time.Now().Add(d)
			}
		}
	}
}

func (m *Worker) stopTask(t *wtask, grace *float64) {
	g := 0.0
	if grace != nil {
		g = *grace
	}
	uid, _, _ := splitTask(t.Task)
	spec := m.w.check.spec(uid)
	saves := spec != nil && spec.Guardado > 0 && t.State == "running"
	switch {
	case t.State == "saving" && g > 0:
	case saves && g >= spec.Guardar:
		t.State, t.saveUntil, t.stopAt = "saving", time.Now().Add(secs(spec.Guardar)), time.Now()
	default:
		m.exit(t, "stopped", false)
	}
}

func (m *Worker) exit(t *wtask, why string, kept bool) {
	if t.State != "pulling" && t.State != "exited" {
		m.w.check.off(t.Task, m.name, why == "done")
	}
	if why == "done" {
		m.done[t.Task] = true
	}
	t.State, t.Why, t.Kept = "exited", why, kept
	m.change()
}

// lease ends the session if the last answered report was sent too long ago.
func (m *Worker) lease() {
	if !m.gone && time.Since(m.began) > secs(m.w.periods.Lease) {
		if len(m.tasks) > 0 {
			m.w.rec("worker %s: lease ended, session %d -> %d, %d tasks dropped", m.name, m.session, m.session+1, len(m.tasks))
		}
		m.killAll()
		m.session++
		m.began = time.Now()
		m.change()
	}
}

// Hang makes the machine stand still, or go on.
func (m *Worker) Hang(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hung = on
	if !on && !m.gone {
		m.lease()
		b := m.backlog
		m.backlog = nil
		for i := range b {
			m.direct(&b[i])
		}
	}
}

// run advances the tasks.
func (m *Worker) run() {
	last := time.Now()
	tick := time.NewTicker(25 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-tick.C:
		}
		m.mu.Lock()
		now := time.Now()
		passed := now.Sub(last)
		last = now
		if m.hung || m.gone {
			m.mu.Unlock()
			continue
		}
		m.lease()
		for img, at := range m.fetching {
			if now.After(at) {
				m.images[img] = true
				delete(m.fetching, img)
			}
		}
		needed := map[string]bool{}
		for _, k := range append([]taskKey(nil), m.order...) {
			if t := m.tasks[k]; t != nil {
				m.advance(k, t, now, passed, needed)
			}
		}
		for img := range m.fetching {
			if !needed[img] {
				delete(m.fetching, img)
			}
		}
		m.mu.Unlock()
	}
}

func (m *Worker) advance(k taskKey, t *wtask, now time.Time, passed time.Duration, needed map[string]bool) {
	uid, index, _ := splitTask(k.task)
	spec := m.w.check.spec(uid)
	if spec == nil {
		return
	}
	gang := spec.Tipo == "ensemble"
	switch t.State {
	case "pulling":
		if !m.images[spec.Imagen] {
			needed[spec.Imagen] = true
			return
		}
		m.w.check.onMachine(k, m)
		t.since = now
		switch {
		case m.done[k.task] || m.w.check.resultKept(k.task):
			t.State = "running"
			m.exit(t, "done", false)
		case gang:
			t.State = "waiting"
			m.w.gangs.wait(uid, k.attempt, index, m)
			m.change()
		default:
			t.State = "running"
			m.change()
		}
	case "waiting":
		if m.w.gangs.started(uid, k.attempt, spec.Tramos) {
			t.State, t.since = "running", now
			m.change()
		} else if now.Sub(t.since) > secs(m.w.periods.GangWait) {
			m.exit(t, "incomplete", false)
		}
	case "running", "saving":
		if gang && !m.w.gangs.whole(uid, k.attempt, spec.Tramos) {
			if t.peersLost.IsZero() {
				t.peersLost = now
			}
			if now.Sub(t.peersLost) > secs(m.w.periods.GangPeer)*3/4 {
				m.exit(t, "peers", false)
				return
			}
		} else {
			t.peersLost = time.Time{}
		}
		if t.State == "saving" {
			if now.After(t.saveUntil) {
				m.w.check.progress(k.task, t.ran)
				m.exit(t, "stopped", true)
			}
			return
		}
		t.ran += passed
		if m.faulty || m.w.fails(k.task) {
			if t.ran > 300*time.Millisecond {
				m.exit(t, "error", false)
			}
			return
		}
		if spec.Tipo != "service" && t.ran+m.w.check.saved(k.task) >= m.w.runTime(k.task) {
			if gang {
				m.w.gangs.complete(uid, k.attempt)
			}
			m.exit(t, "done", false)
		}
	}
}

// loop sends the reports.
func (m *Worker) loop() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	at := int(m.w.rand() * float64(len(m.w.nodes)))
	next := time.Now()
	lastSent := time.Time{}
	for {
		wait := time.Until(next)
		if wait < 0 {
			wait = 0
		}
		timer := time.NewTimer(wait)
		select {
		case <-m.stop:
			timer.Stop()
			return
		case <-m.changed:
			timer.Stop()
			if d := 500*time.Millisecond - time.Since(lastSent); d > 0 {
				select {
				case <-time.After(d):
				case <-m.stop:
					return
				}
			}
		case <-timer.C:
		}
		m.mu.Lock()
		if m.hung {
			m.mu.Unlock()
			next = time.Now().Add(50 * time.Millisecond)
			continue
		}
		m.lease()
		r := m.report()
		body, _ := json.Marshal(r)
		lost := m.mute || m.cut
		if m.keepCopies && !lost {
			m.copies = append(m.copies, body)
		}
		m.mu.Unlock()
		sent := time.Now()
		lastSent = sent
		next = sent.Add(secs(m.w.periods.Report * (0.75 + 0.5*m.w.rand())))
		if lost || m.w.workersCut(at) {
			select {
			case <-time.After(4 * time.Second):
			case <-m.stop:
				return
			}
			at, next = (at+1)%len(m.w.nodes), time.Now().Add(time.Second)
			continue
		}
		resp, err := client.Post("http://"+m.w.nodes[at].public+"/v1/report", "application/json", bytes.NewReader(body))
		if err != nil {
			at, next = (at+1)%len(m.w.nodes), time.Now().Add(time.Second)
			continue
		}
		b, rerr := io.ReadAll(resp.Body)
		resp.Body.Close()
		m.mu.Lock()
		dropped := m.deaf || m.cut || rerr != nil || time.Since(sent) > 4*time.Second
		for m.hung {
			m.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			m.mu.Lock()
			if time.Since(sent) > 4*time.Second {
				dropped = true
			}
		}
		if m.gone {
			m.mu.Unlock()
			return
		}
		if dropped {
			at, next = (at+1)%len(m.w.nodes), time.Now().Add(time.Second)
			m.mu.Unlock()
			continue
		}
		switch resp.StatusCode {
		case 200:
			var o orders
			json.Unmarshal(b, &o)
			m.lease()
			if o.Mando > 0 && o.Mando >= m.token && m.session == r.Jornada {
				m.token = o.Mando
				if sent.After(m.began) {
					m.began = sent
				}
				m.execute(o.Ordenes, "answer")
				if len(o.Ordenes) == 0 {
					select {
					case <-m.changed: // nothing changed
					default:
					}
				}
			}
		case 421:
			var to struct {
				A string `json:"informar_a"`
			}
			json.Unmarshal(b, &to)
			to2 := -1
			for i, n := range m.w.nodes {
				if n.name == to.A && i != at {
					to2 = i
				}
			}
			client.CloseIdleConnections()
			if to2 >= 0 {
				at, next = to2, time.Now().Add(time.Duration(m.w.rand()*float64(500*time.Millisecond)))
			} else {
				at, next = (at+1)%len(m.w.nodes), time.Now().Add(time.Second)
			}
		default:
			at, next = (at+1)%len(m.w.nodes), time.Now().Add(time.Second)
		}
		m.mu.Unlock()
	}
}

// Deliver sends the kept copies of old reports to a node.
func (m *Worker) Deliver(node int, copies [][]byte) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, b := range copies {
		resp, err := client.Post("http://"+m.w.nodes[node].public+"/v1/report", "application/json", bytes.NewReader(b))
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
}

func splitTask(s string) (string, int, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, false
	}
	n := 0
	for _, c := range s[i+1:] {
		if c < '0' || c > '9' {
			return "", 0, false
		}
		n = n*10 + int(c-'0')
	}
	return s[:i], n, true
}

// gangs knows which tasks of a gang's attempt are where.
type gangs struct {
	mu sync.Mutex
	m  map[taskKey]*gang
}

type gang struct {
	members map[int]*Worker
	begun   bool
	ended   bool
}

func (g *gangs) get(uid string, attempt uint64) *gang {
	k := taskKey{uid, attempt}
	if g.m[k] == nil {
		g.m[k] = &gang{members: map[int]*Worker{}}
	}
	return g.m[k]
}

func (g *gangs) wait(uid string, attempt uint64, index int, m *Worker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.get(uid, attempt).members[index] = m
}

func (g *gangs) started(uid string, attempt uint64, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.get(uid, attempt)
	if x.begun {
		return true
	}
	for i := 0; i < n; i++ {
		m := x.members[i]
		if m == nil || m.gone || m.hung {
			return false
		}
	}
	x.begun = true
	return true
}

// whole says whether every task of a running gang is still there. It may look at other workers only without their lock.
func (g *gangs) whole(uid string, attempt uint64, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.get(uid, attempt)
	if x.ended {
		return true
	}
	return len(x.members) == n
}

func (g *gangs) complete(uid string, attempt uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.get(uid, attempt).ended = true
}

// leftName removes a task that is no longer on a machine.
func (g *gangs) leftName(task, machine string) {
	uid, index, _ := splitTask(task)
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, x := range g.m {
		if m := x.members[index]; k.task == uid && m != nil && m.name == machine && !x.ended {
			delete(x.members, index)
		}
	}
}
