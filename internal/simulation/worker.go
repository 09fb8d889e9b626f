package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Periods are a worker's times.
type Periods struct {
	Report, Lease time.Duration
	Run           func(task string) time.Duration
	// Exec, if given, is what a task does instead of waiting for Run's time; it says
	// whether it completed. Its context ends when the task is stopped or lost.
	Exec func(ctx context.Context, machine string, session uint64, task string, attempt uint64) (done bool)
}

// Worker is a stand-in for a machine's worker.
type Worker struct {
	name, typ, zone string
	spot            bool
	nodes           map[string]string // controller -> address
	order           []string
	per             Periods
	check           *Checker
	server          *http.Server
	addr            string
	stop            context.CancelFunc
	wake            chan struct{}

	mu      sync.Mutex
	faults  faults
	session uint64
	seq     uint64
	token   uint64
	tasks   map[string]*protocol.TaskStatus // by task, the newest attempt first known
	ended   map[string]bool                 // results that are kept
	alive   time.Time                       // when the last answered report was sent
	timers  map[string]*time.Timer
	stops   map[string]context.CancelFunc // of what runs for real
}

// NewWorker starts a worker that reports to one of the controllers.
func NewWorker(name, typ, zone string, spot bool, nodes map[string]string, order []string, per Periods, check *Checker) (*Worker, error) {
	w := &Worker{name: name, typ: typ, zone: zone, spot: spot, nodes: nodes, order: order, per: per, check: check,
		session: 1, tasks: map[string]*protocol.TaskStatus{}, ended: map[string]bool{}, alive: time.Now(),
		timers: map[string]*time.Timer{}, stops: map[string]context.CancelFunc{}, wake: make(chan struct{}, 1)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.do)
	mux.HandleFunc("GET "+protocol.PathInspect, w.inspect)
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.run(ctx)
	go w.watchLease(ctx)
	return w, nil
}

// Name is the machine's name.
func (w *Worker) Name() string { return w.name }

// Place gives the machine's zone and whether it is a spot machine.
func (w *Worker) Place() (zone string, spot bool) { return w.zone, w.spot }

// Addr is where the worker takes commands.
func (w *Worker) Addr() string { return w.addr }

// Expire begins the next session, as a worker does whose lease ended.
func (w *Worker) Expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.session++
}

// Running lists the tasks on the machine.
func (w *Worker) Running() (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, t := range w.tasks {
		if t.State != protocol.Exited {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// End takes the machine away with everything on it.
func (w *Worker) End() {
	w.stop()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.faults.gone = true
}

func (w *Worker) killAll() {
	for task, t := range w.tasks {
		if t.State != protocol.Exited {
			w.check.End(task, false)
		}
		if timer := w.timers[task]; timer != nil {
			timer.Stop()
		}
		if stop := w.stops[task]; stop != nil {
			stop()
		}
	}
	w.tasks = map[string]*protocol.TaskStatus{}
}

func (w *Worker) report() protocol.Heartbeat {
	w.seq++
	r := protocol.Heartbeat{Machine: w.name, Addr: w.addr, Type: w.typ, Zone: w.zone, Spot: w.spot, Incarnation: w.session, Seq: w.seq, FencingToken: w.token, Tasks: []protocol.TaskStatus{}}
	if w.faults.taken > 0 {
		r.NoticeSeconds = new(w.faults.taken)
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, *t)
	}
	return r
}

func (w *Worker) do(rw http.ResponseWriter, r *http.Request) {
	var d protocol.DirectCommands
	if !read(r, &d) || d.FencingToken == 0 {
		reply(rw, 400, protocol.Error{Error: "malformed"})
		return
	}
	if !w.passes(&d) {
		giveNoAnswer(r)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.unreached() {
		panic(http.ErrAbortHandler)
	}
	if !w.obey(&d) {
		reply(rw, 409, w.report())
		return
	}
	reply(rw, 200, w.report())
}

// obey executes direct commands if their token and session match.
func (w *Worker) obey(d *protocol.DirectCommands) bool {
	if d.FencingToken < w.token || d.Incarnation != w.session {
		return false
	}
	w.token = d.FencingToken
	w.execute(d.Commands)
	return true
}

func (w *Worker) inspect(rw http.ResponseWriter, r *http.Request) {
	if w.hangs() {
		giveNoAnswer(r)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.unreached() {
		panic(http.ErrAbortHandler)
	}
	reply(rw, 200, w.report())
}

func (w *Worker) execute(cmds []protocol.Command) {
	for _, c := range cmds {
		t := w.tasks[c.Task]
		switch c.Op {
		case protocol.Start:
			uid, _, _ := protocol.SplitTask(c.Task)
			switch {
			case t != nil && t.Attempt == c.Attempt:
			case t != nil && t.State != protocol.Exited:
				continue // refused as in_use; the listed attempt stays
			case w.check.Spec(uid) == nil:
				w.tasks[c.Task] = &protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Exited, Reason: protocol.ReasonNoSuch}
			default:
				w.tasks[c.Task] = &protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Running}
				w.check.Start(c.Task, w.name, w.typ, w.zone, w.spot)
				w.finishLater(c.Task, c.Attempt)
			}
		case protocol.Stop:
			if t != nil && t.Attempt == c.Attempt && t.State != protocol.Exited {
				w.stopTask(t, c.GraceSeconds)
			}
		case protocol.Forget:
			if t != nil && t.Attempt == c.Attempt && t.State == protocol.Exited {
				delete(w.tasks, c.Task)
			}
		}
	}
}

// stopTask ends a task, or has it save first if it can and is given the time. A task that saves ends at once by a
// second stop without grace.
func (w *Worker) stopTask(t *protocol.TaskStatus, grace *float64) {
	given := 0.0
	if grace != nil {
		given = *grace
	}
	uid, _, _ := protocol.SplitTask(t.Task)
	spec := w.check.Spec(uid)
	saves := spec != nil && spec.Kind != protocol.Gang && spec.CheckpointEverySeconds > 0 && spec.CheckpointSeconds > 0
	switch {
	case t.State == protocol.Saving && given > 0:
	case t.State == protocol.Running && saves && given >= spec.CheckpointSeconds:
		w.save(t, settings.Seconds(spec.CheckpointSeconds))
	default:
		w.exit(t, protocol.ReasonStopped)
	}
}

// save has a task save its progress, after which it exits.
func (w *Worker) save(t *protocol.TaskStatus, takes time.Duration) {
	t.State = protocol.Saving
	if timer := w.timers[t.Task]; timer != nil {
		timer.Stop()
	}
	w.after(t.Task, t.Attempt, takes, func(t *protocol.TaskStatus) {
		if t.State == protocol.Saving {
			t.Checkpointed = true
			w.exit(t, protocol.ReasonStopped)
		}
	})
}

// after does something with an attempt after a time, unless it is gone by then. A machine that hangs does it once
// it goes on.
func (w *Worker) after(task string, attempt uint64, passes time.Duration, do func(t *protocol.TaskStatus)) {
	w.timers[task] = time.AfterFunc(passes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		t := w.tasks[task]
		switch {
		case t == nil || t.Attempt != attempt:
		case w.faults.hung:
			w.after(task, attempt, hungStep, do)
		default:
			do(t)
		}
	})
}

func (w *Worker) exit(t *protocol.TaskStatus, why protocol.ExitReason) {
	t.State, t.Reason = protocol.Exited, why
	w.check.End(t.Task, why == protocol.ReasonDone)
	if timer := w.timers[t.Task]; timer != nil {
		timer.Stop()
	}
	if stop := w.stops[t.Task]; stop != nil {
		stop()
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Worker) finishLater(task string, attempt uint64) {
	if w.per.Exec != nil {
		ctx, stop := context.WithCancel(context.Background())
		w.stops[task] = stop
		session := w.session
		go func() {
			defer stop()
			done := w.per.Exec(ctx, w.name, session, task, attempt)
			w.mu.Lock()
			defer w.mu.Unlock()
			if t := w.tasks[task]; t != nil && t.Attempt == attempt && t.State == protocol.Running && w.session == session {
				if w.ended[task] = done; done {
					w.exit(t, protocol.ReasonDone)
				} else {
					w.exit(t, protocol.ReasonError)
				}
			}
		}()
		return
	}
	run := w.per.Run(task)
	if w.ended[task] {
		run = 0
	}
	w.after(task, attempt, run, func(t *protocol.TaskStatus) {
		if t.State == protocol.Running {
			w.ended[task] = true
			w.exit(t, protocol.ReasonDone)
		}
	})
}

// run sends reports to one controller after the other until one answers, and stays there.
func (w *Worker) run(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	at := 0
	for ctx.Err() == nil {
		next := hungStep
		if !w.hangs() {
			at, next = w.reportOnce(client, at)
		}
		select {
		case <-time.After(next):
		case <-w.wake:
			time.Sleep(20 * time.Millisecond)
		case <-ctx.Done():
		}
	}
}

// reportOnce sends one report to a controller, by its index, and gives to whom and when the next one goes.
func (w *Worker) reportOnce(client *http.Client, at int) (to int, next time.Duration) {
	node := w.order[at]
	sent := time.Now()
	body, session, arrives := w.nextReport(client, node)
	to, next = (at+1)%len(w.order), w.per.Report
	if !arrives {
		return to, next
	}
	resp, err := client.Post("http://"+w.nodes[node]+protocol.PathHeartbeat, "application/json", bytes.NewReader(body))
	if err != nil {
		return to, next
	}
	defer resp.Body.Close()
	switch {
	case !w.hears():
	case resp.StatusCode == http.StatusOK:
		var a protocol.HeartbeatAnswer
		_ = json.NewDecoder(resp.Body).Decode(&a) // without a token it is dropped
		w.takeAnswer(&a, session, sent)
		return at, next
	case resp.StatusCode == http.StatusMisdirectedRequest:
		var m protocol.Redirect
		_ = json.NewDecoder(resp.Body).Decode(&m) // without a name the next one is tried
		if i := slices.Index(w.order, m.Controller); i >= 0 {
			return i, 10 * time.Millisecond
		}
	}
	return to, next
}

// takeAnswer renews the lease and executes commands, unless the answer is to be dropped.
func (w *Worker) takeAnswer(a *protocol.HeartbeatAnswer, session uint64, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.FencingToken >= w.token && a.FencingToken > 0 && w.session == session && !w.faults.cut {
		w.token = a.FencingToken
		w.alive = sent
		w.execute(a.Commands)
	}
}

// watchLease ends all tasks and the session once the last answered report was sent too long ago.
func (w *Worker) watchLease(ctx context.Context) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
			w.checkLease()
		case <-ctx.Done():
		}
	}
}

func (w *Worker) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.alive) > w.per.Lease && !w.faults.gone {
		w.killAll()
		w.session++
		w.alive = time.Now()
	}
}
