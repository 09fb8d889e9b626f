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

// Periods are an agent's times.
type AgentConfig struct {
	Heartbeat, Lease time.Duration
	Run              func(task string) time.Duration
	// Exec, if given, is what a task does instead of waiting for Run's time; it says
	// whether it completed. Its context ends when the task is stopped or lost.
	Exec func(ctx context.Context, machine string, session uint64, task string, attempt uint64) (done bool)
}

// Agent is a stand-in for a machine's agent.
type Agent struct {
	name, typ, zone string
	spot            bool
	nodes           map[string]string // controller -> address
	order           []string
	periods         AgentConfig
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

// NewAgent starts an agent that reports to one of the controllers.
func NewAgent(name, typ, zone string, spot bool, nodes map[string]string, order []string, per AgentConfig, check *Checker) (*Agent, error) {
	w := &Agent{name: name, typ: typ, zone: zone, spot: spot, nodes: nodes, order: order, periods: per, check: check,
		session: 1, tasks: map[string]*protocol.TaskStatus{}, ended: map[string]bool{}, alive: time.Now(),
		timers: map[string]*time.Timer{}, stops: map[string]context.CancelFunc{}, wake: make(chan struct{}, 1)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.handleCommands)
	mux.HandleFunc("GET "+protocol.PathInspect, w.handleInspect)
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.run(ctx)
	go w.watchLease(ctx)
	return w, nil
}

// Name is the machine's name.
func (w *Agent) Name() string { return w.name }

// Place gives the machine's zone and whether it is a spot machine.
func (w *Agent) Place() (zone string, spot bool) { return w.zone, w.spot }

// Addr is where the agent takes commands.
func (w *Agent) Addr() string { return w.addr }

// BeginIncarnation begins the next session, as an agent does whose lease ended.
func (w *Agent) BeginIncarnation() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.session++
}

// RunningTasks lists the tasks on the machine.
func (w *Agent) RunningTasks() (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, t := range w.tasks {
		if t.State != protocol.Exited {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// RemoveMachine takes the machine away with everything on it.
func (w *Agent) RemoveMachine() {
	w.stop()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.faults.gone = true
}

func (w *Agent) killAll() {
	for task, t := range w.tasks {
		if t.State != protocol.Exited {
			w.check.RecordEnd(task, false)
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

func (w *Agent) heartbeat() protocol.Heartbeat {
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

func (w *Agent) handleCommands(rw http.ResponseWriter, r *http.Request) {
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
	if !w.applyCommands(&d) {
		reply(rw, 409, w.heartbeat())
		return
	}
	reply(rw, 200, w.heartbeat())
}

// applyCommands executes direct commands if their token and session match.
func (w *Agent) applyCommands(d *protocol.DirectCommands) bool {
	if d.FencingToken < w.token || d.Incarnation != w.session {
		return false
	}
	w.token = d.FencingToken
	w.execute(d.Commands)
	return true
}

func (w *Agent) handleInspect(rw http.ResponseWriter, r *http.Request) {
	if w.isHanging() {
		giveNoAnswer(r)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.unreached() {
		panic(http.ErrAbortHandler)
	}
	reply(rw, 200, w.heartbeat())
}

func (w *Agent) execute(cmds []protocol.Command) {
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
				w.check.RecordStart(c.Task, w.name, w.typ, w.zone, w.spot)
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
func (w *Agent) stopTask(t *protocol.TaskStatus, grace *float64) {
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
func (w *Agent) save(t *protocol.TaskStatus, takes time.Duration) {
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
func (w *Agent) after(task string, attempt uint64, passes time.Duration, do func(t *protocol.TaskStatus)) {
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

func (w *Agent) exit(t *protocol.TaskStatus, why protocol.ExitReason) {
	t.State, t.Reason = protocol.Exited, why
	w.check.RecordEnd(t.Task, why == protocol.ReasonDone)
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

func (w *Agent) finishLater(task string, attempt uint64) {
	if w.periods.Exec != nil {
		ctx, stop := context.WithCancel(context.Background())
		w.stops[task] = stop
		session := w.session
		go func() {
			defer stop()
			done := w.periods.Exec(ctx, w.name, session, task, attempt)
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
	run := w.periods.Run(task)
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
func (w *Agent) run(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	at := 0
	for ctx.Err() == nil {
		next := hungStep
		if !w.isHanging() {
			at, next = w.sendHeartbeat(client, at)
		}
		select {
		case <-time.After(next):
		case <-w.wake:
			time.Sleep(20 * time.Millisecond)
		case <-ctx.Done():
		}
	}
}

// sendHeartbeat sends one report to a controller, by its index, and gives to whom and when the next one goes.
func (w *Agent) sendHeartbeat(client *http.Client, at int) (to int, next time.Duration) {
	node := w.order[at]
	sent := time.Now()
	body, session, arrives := w.nextHeartbeat(client, node)
	to, next = (at+1)%len(w.order), w.periods.Heartbeat
	if !arrives {
		return to, next
	}
	resp, err := client.Post("http://"+w.nodes[node]+protocol.PathHeartbeat, "application/json", bytes.NewReader(body))
	if err != nil {
		return to, next
	}
	defer resp.Body.Close()
	switch {
	case !w.receives():
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
func (w *Agent) takeAnswer(a *protocol.HeartbeatAnswer, session uint64, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.FencingToken >= w.token && a.FencingToken > 0 && w.session == session && !w.faults.cut {
		w.token = a.FencingToken
		w.alive = sent
		w.execute(a.Commands)
	}
}

// watchLease ends all tasks and the session once the last answered report was sent too long ago.
func (w *Agent) watchLease(ctx context.Context) {
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

func (w *Agent) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.alive) > w.periods.Lease && !w.faults.gone {
		w.killAll()
		w.session++
		w.alive = time.Now()
	}
}
