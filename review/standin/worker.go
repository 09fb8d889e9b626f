//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"topazhollow/internal/protocol"
)

// jobs holds what the users submitted, and what the workers ran of it.
type jobs struct {
	rec *record

	mu     sync.Mutex
	specs  map[string]*protocol.Submission
	starts map[string]int // by job: tasks that began to run
	killed map[string]int // by job: tasks that ended because a worker's lease ran out
	failed map[string]int // by job: tasks that exited with an error
	done   map[string]map[int]bool
	on     map[string]string // by task: the machine that it is on
	twice  []string          // tasks that started on one machine while they were on another
	runs   func(uid string) time.Duration
}

// enter records that a task is on a machine from now on.
func (j *jobs) enter(e *entry, w *worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if other := j.on[e.Task]; other != "" && other != w.name {
		j.twice = append(j.twice, fmt.Sprintf("%s starts on %s while it is on %s", e.Task, w.name, other))
		j.rec.add("ran_twice: %s", j.twice[len(j.twice)-1])
	}
	j.on[e.Task] = w.name
}

// leave records that a task is no longer on a machine.
func (j *jobs) leave(e *entry, w *worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.on[e.Task] == w.name {
		delete(j.on, e.Task)
	}
}

func (j *jobs) ranTwice() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.twice)
}

func newJobs(rec *record) *jobs {
	return &jobs{rec: rec, specs: map[string]*protocol.Submission{}, starts: map[string]int{}, killed: map[string]int{},
		failed: map[string]int{}, done: map[string]map[int]bool{}, on: map[string]string{}}
}

func (j *jobs) add(s *protocol.Submission) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.specs[s.UID] = s
}

func (j *jobs) spec(uid string) *protocol.Submission {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.specs[uid]
}

func (j *jobs) count(of map[string]int, uid string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	of[uid]++
}

func (j *jobs) complete(uid string, index int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.done[uid] == nil {
		j.done[uid] = map[int]bool{}
	}
	j.done[uid][index] = true
}

// figures returns how many starts, kills by lease, errors and completed tasks a job had.
func (j *jobs) figures(uid string) (starts, killed, failed, done int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts[uid], j.killed[uid], j.failed[uid], len(j.done[uid])
}

// worker is a stand-in for a machine's worker, as "Workers -> controller nodes" of the protocol describes it.
type worker struct {
	region           *region
	name, zone, addr string
	typ              protocol.MachineType
	spot             bool
	server           *http.Server
	stop             context.CancelFunc
	changed          chan struct{}

	mu       sync.Mutex
	gone     bool
	failing  bool // fails every task that it starts
	hanging  bool // does nothing
	session  uint64
	seq      uint64
	token    uint64
	tokenAt  time.Time // when a higher token last counted as a change
	entries  []*entry
	images   map[string]bool
	results  map[string]bool // tasks that completed here
	answered time.Time       // when the last answered report, or the session's begin, was sent
	longest  int             // bytes of the longest report
	refused  map[int]int     // reports by status other than 200 and 421
	leases   int             // how often the lease ran out
	old      []byte          // the last report without a task
	home     string          // node that the last report was answered by with 200
	homeAt   time.Time       // when that answer came
}

// entry is one attempt of a task on the machine.
type entry struct {
	protocol.TaskStatus
	job   string
	index int
	spec  *protocol.Submission
}

const (
	reportTimeout = 4 * time.Second
	nextNodePause = time.Second
	changePause   = 500 * time.Millisecond
)

func startWorker(g *region, name string, typ protocol.MachineType, zone string, spot bool) (*worker, error) {
	w := &worker{region: g, name: name, typ: typ, zone: zone, spot: spot, session: 1, images: map[string]bool{}, results: map[string]bool{},
		refused: map[int]int{}, answered: time.Now(), changed: make(chan struct{}, 1)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.do)
	mux.HandleFunc("GET /inspect", func(out http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(out, 200, w.report())
	})
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.keepReporting(ctx)
	go w.watchLease(ctx)
	return w, nil
}

// setFailing makes every task that the machine starts fail, or ends that.
func (w *worker) setFailing(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = on
}

// hang suspends the machine or lets it go on.
func (w *worker) hang(on bool) {
	w.region.rec.add("worker %s: hangs: %v", w.name, on)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hanging = on
	w.change()
}

func (w *worker) waitWhileHanging() {
	for {
		w.mu.Lock()
		hanging := w.hanging && !w.gone
		w.mu.Unlock()
		if !hanging {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// freeCPUs returns what the tasks on the machine leave of its CPUs.
func (w *worker) freeCPUs() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	free := w.typ.CPUs
	for _, e := range w.entries {
		if e.State != protocol.Exited && e.spec != nil {
			free -= e.spec.CPUs
		}
	}
	return free
}

// remove ends the machine and everything on it.
func (w *worker) remove() {
	w.mu.Lock()
	for _, e := range w.entries {
		if e.State == protocol.Running {
			w.region.jobs.leave(e, w)
		}
	}
	w.gone, w.entries = true, nil
	w.mu.Unlock()
	w.stop()
	w.server.Close()
}

// report makes the next report. The caller holds the lock.
func (w *worker) report() *protocol.Heartbeat {
	w.seq++
	h := &protocol.Heartbeat{Machine: w.name, Addr: w.addr, Type: w.typ.Name, Zone: w.zone, Spot: w.spot, Incarnation: w.session, Seq: w.seq,
		FencingToken: w.token, Tasks: []protocol.TaskStatus{}}
	for _, e := range w.entries {
		h.Tasks = append(h.Tasks, e.TaskStatus)
	}
	return h
}

// change makes the next report go out soon.
func (w *worker) change() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// keepReporting sends reports to one node at a time, one after another.
func (w *worker) keepReporting(ctx context.Context) {
	client := &http.Client{Timeout: reportTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	nodes := w.region.nodes
	at := rand.IntN(len(nodes))
	for ctx.Err() == nil {
		w.waitWhileHanging()
		sent := time.Now()
		stays, next := w.sendReport(client, nodes[at].serve, sent)
		var pause time.Duration
		switch {
		case stays:
			period := time.Duration((0.75 + rand.Float64()/2) * w.region.site.workers.HeartbeatSeconds * float64(time.Second))
			pause = period - time.Since(sent)
		case next >= 0:
			client.CloseIdleConnections()
			at, pause = next, time.Duration(rand.IntN(500))*time.Millisecond
		default:
			at, pause = (at+1)%len(nodes), nextNodePause
		}
		timer := time.NewTimer(max(pause, 0))
		if stays {
			select {
			case <-timer.C:
			case <-w.changed:
				time.Sleep(max(0, changePause-time.Since(sent)))
			case <-ctx.Done():
			}
		} else {
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		timer.Stop()
	}
}

// sendReport sends one report. stays says that the worker stays with the node; next is the node that it was sent to, or -1.
func (w *worker) sendReport(client *http.Client, addr string, sent time.Time) (stays bool, next int) {
	w.mu.Lock()
	session := w.session
	body := protocol.Encode(w.report())
	w.longest = max(w.longest, len(body))
	if len(w.entries) == 0 && w.session == 1 {
		w.old = body
	}
	w.mu.Unlock()
	resp, err := client.Post("http://"+addr+protocol.PathHeartbeat, "application/json", bytes.NewReader(body))
	if err != nil {
		w.region.rec.add("worker %s: report of %d bytes -> %v", w.name, len(body), err)
		w.count(0)
		return false, -1
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case 200:
		w.region.rec.add("worker %s: report to %s -> 200", w.name, addr)
		var a protocol.HeartbeatAnswer
		if json.NewDecoder(resp.Body).Decode(&a) != nil {
			return false, -1
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if a.FencingToken >= w.token && a.FencingToken > 0 && session == w.session && !w.gone {
			w.learn(a.FencingToken)
			w.answered = sent
			w.home, w.homeAt = addr, time.Now()
			w.execute(a.Commands)
		}
		return true, -1
	case 421:
		var m protocol.Redirect
		_ = json.NewDecoder(resp.Body).Decode(&m)
		return false, slices.IndexFunc(w.region.nodes, func(n *node) bool { return n.name == m.Controller && n.serve != addr })
	}
	w.region.rec.add("worker %s: report of %d bytes with %d tasks -> %d", w.name, len(body), bytes.Count(body, []byte(`"tramo":`)), resp.StatusCode)
	w.count(resp.StatusCode)
	return false, -1
}

func (w *worker) count(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refused[status]++
}

// learn stores the highest token. The caller holds the lock.
func (w *worker) learn(token uint64) {
	if token <= w.token {
		return
	}
	w.token = token
	if time.Since(w.tokenAt).Seconds() > w.region.site.workers.LeaseSeconds/2 { // a higher token counts as a change no more often
		w.tokenAt = time.Now()
		w.change()
	}
}

func (w *worker) do(out http.ResponseWriter, r *http.Request) {
	var d protocol.DirectCommands
	if json.NewDecoder(r.Body).Decode(&d) != nil || d.FencingToken == 0 || d.Incarnation == 0 {
		reply(out, 400, protocol.Error{Error: "mando or jornada is missing"})
		return
	}
	w.waitWhileHanging() // a machine that goes on executes what came meanwhile, also if nobody waits for it
	w.mu.Lock()
	defer w.mu.Unlock()
	status := 409
	if d.FencingToken >= w.token && d.Incarnation == w.session && !w.gone {
		status = 200
		w.learn(d.FencingToken)
		w.execute(d.Commands)
	}
	w.region.rec.add("worker %s: /do with token %d and %d commands -> %d", w.name, d.FencingToken, len(d.Commands), status)
	reply(out, status, w.report())
}

// execute carries out commands in order. The caller holds the lock.
func (w *worker) execute(commands []protocol.Command) {
	for _, c := range commands {
		at := slices.IndexFunc(w.entries, func(e *entry) bool { return e.Task == c.Task && e.Attempt == c.Attempt })
		switch c.Op {
		case protocol.Start:
			if at < 0 {
				w.begin(c)
			}
		case protocol.Stop:
			if at >= 0 && w.entries[at].State != protocol.Exited {
				w.exit(w.entries[at], protocol.ReasonStopped)
			}
		case protocol.Forget:
			if at >= 0 && w.entries[at].State == protocol.Exited {
				w.entries = slices.Delete(w.entries, at, at+1)
			}
		}
	}
}

// begin starts an attempt or refuses it. The caller holds the lock.
func (w *worker) begin(c protocol.Command) {
	uid, index, _ := protocol.SplitTask(c.Task)
	spec := w.region.jobs.spec(uid)
	e := &entry{TaskStatus: protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Pulling}, job: uid, index: index, spec: spec}
	cpus, memory := w.typ.CPUs, w.typ.MemoryGB
	inUse := false
	for _, o := range w.entries {
		if o.State != protocol.Exited {
			cpus, memory = cpus-o.spec.CPUs, memory-o.spec.MemoryGB
			inUse = inUse || o.Task == c.Task
		}
	}
	w.entries = append(w.entries, e)
	switch {
	case spec == nil || index >= spec.Tasks:
		w.exit(e, protocol.ReasonNoSuch)
	case inUse:
		w.exit(e, protocol.ReasonInUse)
	case cpus+1e-6 < spec.CPUs || memory+1e-6 < spec.MemoryGB:
		w.exit(e, protocol.ReasonFull)
	case w.images[spec.Image]:
		w.run(e)
	default:
		fetch := time.Duration(spec.ImageGB / w.typ.FetchGBPerSecond * float64(time.Second))
		w.after(e, fetch, protocol.Pulling, func() {
			w.images[spec.Image] = true
			w.run(e)
		})
	}
	w.change()
}

// run lets an attempt run until it completes. The caller holds the lock.
func (w *worker) run(e *entry) {
	e.State = protocol.Running
	w.region.jobs.count(w.region.jobs.starts, e.job)
	w.region.jobs.enter(e, w)
	w.region.rec.add("worker %s: runs %s attempt %d", w.name, e.Task, e.Attempt)
	duration := w.region.jobs.runs(e.job)
	if w.results[e.Task] {
		duration = 0
	}
	reason := protocol.ReasonDone
	if w.failing {
		duration, reason = 200*time.Millisecond, protocol.ReasonError
	}
	w.after(e, duration, protocol.Running, func() { w.exit(e, reason) })
	w.change()
}

// after calls f, with the lock held, if the entry is still there in the state after a time.
func (w *worker) after(e *entry, wait time.Duration, in protocol.TaskState, f func()) {
	time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.gone && e.State == in && slices.Contains(w.entries, e) {
			f()
		}
	})
}

// exit ends an attempt. The caller holds the lock.
func (w *worker) exit(e *entry, reason protocol.ExitReason) {
	if e.State == protocol.Running {
		w.region.jobs.leave(e, w)
	}
	e.State, e.Reason = protocol.Exited, reason
	switch reason {
	case protocol.ReasonDone:
		w.results[e.Task] = true
		w.region.jobs.complete(e.job, e.index)
	case protocol.ReasonError:
		w.region.jobs.count(w.region.jobs.failed, e.job)
	}
	w.region.rec.add("worker %s: %s attempt %d exits: %s", w.name, e.Task, e.Attempt, reason)
	w.change()
}

// watchLease ends all tasks, and begins the next session, when the last answered report was sent too long ago.
func (w *worker) watchLease(ctx context.Context) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		w.waitWhileHanging()
		w.mu.Lock()
		if time.Since(w.answered).Seconds() > w.region.site.workers.LeaseSeconds {
			on := 0
			for _, e := range w.entries {
				if e.State != protocol.Exited {
					if e.State == protocol.Running {
						w.region.jobs.leave(e, w)
					}
					on++
					w.region.jobs.count(w.region.jobs.killed, e.job)
				}
			}
			w.region.rec.add("worker %s: lease ran out, %d tasks killed, session %d begins", w.name, on, w.session+1)
			w.entries, w.session, w.answered = nil, w.session+1, time.Now()
			w.leases++
			w.change()
		}
		w.mu.Unlock()
	}
}
