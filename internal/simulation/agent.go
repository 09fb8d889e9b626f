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

// AgentConfig holds an agent's timing and what its tasks do.
type AgentConfig struct {
	Heartbeat, Lease time.Duration                   // interval between heartbeats, and duration of the lease
	Run              func(task string) time.Duration // returns how long a task runs
	// Exec, if set, executes a task instead of waiting for the duration from Run, and returns whether the task
	// completed. Its context ends when the task is stopped or lost.
	Exec func(ctx context.Context, machine string, incarnation uint64, task string, attempt uint64) (done bool)
}

// Agent simulates a machine and its agent.
type Agent struct {
	name, machineType, zone string
	spot                    bool
	controllers             map[string]string // controller -> address
	controllerOrder         []string          // the order in which they are tried
	config                  AgentConfig
	checker                 *Checker
	server                  *http.Server
	addr                    string
	stop                    context.CancelFunc
	wake                    chan struct{}

	mu           sync.Mutex
	faults       faults
	incarnation  uint64
	seq          uint64
	fencingToken uint64                          // highest token received
	tasks        map[string]*protocol.TaskStatus // the attempt on the machine, or its kept exit status, by task
	completed    map[string]bool                 // tasks that completed here
	lastAnswered time.Time                       // when the last answered heartbeat was sent
	timers       map[string]*time.Timer
	execCancels  map[string]context.CancelFunc // stop tasks that run in Exec
}

// NewAgent starts an agent that sends heartbeats to one of the controllers. nodes holds the controllers' addresses by
// name, and order the names in the order in which the agent tries them.
func NewAgent(name, typ, zone string, spot bool, nodes map[string]string, order []string, per AgentConfig, check *Checker) (*Agent, error) {
	w := &Agent{name: name, machineType: typ, zone: zone, spot: spot, controllers: nodes, controllerOrder: order, config: per, checker: check,
		incarnation: 1, tasks: map[string]*protocol.TaskStatus{}, completed: map[string]bool{}, lastAnswered: time.Now(),
		timers: map[string]*time.Timer{}, execCancels: map[string]context.CancelFunc{}, wake: make(chan struct{}, 1)}
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
	go w.sendHeartbeats(ctx)
	go w.watchLease(ctx)
	return w, nil
}

// Name returns the machine's name.
func (w *Agent) Name() string { return w.name }

// Place returns the machine's zone and whether it is a spot machine.
func (w *Agent) Place() (zone string, spot bool) { return w.zone, w.spot }

// Addr returns the address on which the agent receives direct commands.
func (w *Agent) Addr() string { return w.addr }

// BeginIncarnation kills all tasks and begins the next incarnation, as an agent does whose lease expired.
func (w *Agent) BeginIncarnation() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.incarnation++
}

// RunningTasks returns the tasks on the machine that have not exited.
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

// RemoveMachine stops the agent and kills everything on its machine.
func (w *Agent) RemoveMachine() {
	w.stop()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.faults.removed = true
}

// killAll kills all tasks and drops their exit statuses. The caller holds the lock.
func (w *Agent) killAll() {
	for task, t := range w.tasks {
		if t.State != protocol.Exited {
			w.checker.RecordEnd(task, false)
		}
		if timer := w.timers[task]; timer != nil {
			timer.Stop()
		}
		if stop := w.execCancels[task]; stop != nil {
			stop()
		}
	}
	w.tasks = map[string]*protocol.TaskStatus{}
}

func (w *Agent) heartbeat() protocol.Heartbeat {
	w.seq++
	r := protocol.Heartbeat{Machine: w.name, Addr: w.addr, Type: w.machineType, Zone: w.zone, Spot: w.spot, Incarnation: w.incarnation, Seq: w.seq, FencingToken: w.fencingToken, Tasks: []protocol.TaskStatus{}}
	if w.faults.evictionSeconds > 0 {
		r.NoticeSeconds = new(w.faults.evictionSeconds)
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
	if !w.admitCommands(&d) {
		leaveUnanswered(r)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.commandsBlocked() {
		panic(http.ErrAbortHandler)
	}
	if !w.applyCommands(&d) {
		reply(rw, 409, w.heartbeat())
		return
	}
	reply(rw, 200, w.heartbeat())
}

// applyCommands executes direct commands if their fencing token and incarnation match.
func (w *Agent) applyCommands(d *protocol.DirectCommands) bool {
	if d.FencingToken < w.fencingToken || d.Incarnation != w.incarnation {
		return false
	}
	w.fencingToken = d.FencingToken
	w.execute(d.Commands)
	return true
}

func (w *Agent) handleInspect(rw http.ResponseWriter, r *http.Request) {
	if w.isHanging() {
		leaveUnanswered(r)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.commandsBlocked() {
		panic(http.ErrAbortHandler)
	}
	reply(rw, 200, w.heartbeat())
}

// execute executes commands; one that does not match a task's state has no effect.
func (w *Agent) execute(cmds []protocol.Command) {
	for _, c := range cmds {
		t := w.tasks[c.Task]
		switch c.Op {
		case protocol.Start:
			uid, _, _ := protocol.SplitTask(c.Task)
			switch {
			case t != nil && t.Attempt == c.Attempt: // a repeated command
			case t != nil && t.State != protocol.Exited:
				continue // refused as in_use; the current attempt stays
			case w.checker.Spec(uid) == nil:
				w.tasks[c.Task] = &protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Exited, Reason: protocol.ReasonNoSuch}
			default:
				w.tasks[c.Task] = &protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Running}
				w.checker.RecordStart(c.Task, w.name, w.machineType, w.zone, w.spot)
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

// stopTask ends a task. If the task supports checkpoints and the grace period suffices, it saves one first; a second
// stop without grace ends a task that is saving immediately.
func (w *Agent) stopTask(t *protocol.TaskStatus, grace *float64) {
	given := 0.0
	if grace != nil {
		given = *grace
	}
	uid, _, _ := protocol.SplitTask(t.Task)
	spec := w.checker.Spec(uid)
	saves := spec != nil && spec.Kind != protocol.Gang && spec.CheckpointEverySeconds > 0 && spec.CheckpointSeconds > 0
	switch {
	case t.State == protocol.Saving && given > 0:
	case t.State == protocol.Running && saves && given >= spec.CheckpointSeconds:
		w.saveCheckpoint(t, settings.Seconds(spec.CheckpointSeconds))
	default:
		w.exit(t, protocol.ReasonStopped)
	}
}

// saveCheckpoint lets a task save a checkpoint, after which it exits.
func (w *Agent) saveCheckpoint(t *protocol.TaskStatus, duration time.Duration) {
	t.State = protocol.Saving
	if timer := w.timers[t.Task]; timer != nil {
		timer.Stop()
	}
	w.schedule(t.Task, t.Attempt, duration, func(t *protocol.TaskStatus) {
		if t.State == protocol.Saving {
			t.Checkpointed = true
			w.exit(t, protocol.ReasonStopped)
		}
	})
}

// schedule runs a function on an attempt after a delay, unless the attempt is gone by then. On a hanging machine the
// function runs once the machine resumes.
func (w *Agent) schedule(task string, attempt uint64, delay time.Duration, do func(t *protocol.TaskStatus)) {
	w.timers[task] = time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		t := w.tasks[task]
		switch {
		case t == nil || t.Attempt != attempt:
		case w.faults.hanging:
			w.schedule(task, attempt, hangPollInterval, do)
		default:
			do(t)
		}
	})
}

func (w *Agent) exit(t *protocol.TaskStatus, why protocol.ExitReason) {
	t.State, t.Reason = protocol.Exited, why
	w.checker.RecordEnd(t.Task, why == protocol.ReasonDone)
	if timer := w.timers[t.Task]; timer != nil {
		timer.Stop()
	}
	if stop := w.execCancels[t.Task]; stop != nil {
		stop()
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// finishLater ends a task when its run time has passed, or when Exec returns. A task that completed on this agent
// before ends at once.
func (w *Agent) finishLater(task string, attempt uint64) {
	if w.config.Exec != nil {
		ctx, stop := context.WithCancel(context.Background())
		w.execCancels[task] = stop
		incarnation := w.incarnation
		go func() {
			defer stop()
			done := w.config.Exec(ctx, w.name, incarnation, task, attempt)
			w.mu.Lock()
			defer w.mu.Unlock()
			if t := w.tasks[task]; t != nil && t.Attempt == attempt && t.State == protocol.Running && w.incarnation == incarnation {
				if w.completed[task] = done; done {
					w.exit(t, protocol.ReasonDone)
				} else {
					w.exit(t, protocol.ReasonError)
				}
			}
		}()
		return
	}
	run := w.config.Run(task)
	if w.completed[task] {
		run = 0
	}
	w.schedule(task, attempt, run, func(t *protocol.TaskStatus) {
		if t.State == protocol.Running {
			w.completed[task] = true
			w.exit(t, protocol.ReasonDone)
		}
	})
}

// sendHeartbeats sends heartbeats to one controller after another until one answers, and then only to that one until it
// fails to answer or redirects the agent.
func (w *Agent) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	at := 0
	for ctx.Err() == nil {
		next := hangPollInterval
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

// sendHeartbeat sends one heartbeat to the controller with index at. It returns the index of the controller that gets
// the next heartbeat, and the delay until then.
func (w *Agent) sendHeartbeat(client *http.Client, at int) (to int, next time.Duration) {
	node := w.controllerOrder[at]
	sent := time.Now()
	body, incarnation, arrives := w.nextHeartbeat(client, node)
	to, next = (at+1)%len(w.controllerOrder), w.config.Heartbeat
	if !arrives {
		return to, next
	}
	resp, err := client.Post("http://"+w.controllers[node]+protocol.PathHeartbeat, "application/json", bytes.NewReader(body))
	if err != nil {
		return to, next
	}
	defer resp.Body.Close()
	switch {
	case !w.receivesAnswers():
	case resp.StatusCode == http.StatusOK:
		var a protocol.HeartbeatAnswer
		_ = json.NewDecoder(resp.Body).Decode(&a) // an undecodable answer has no token and is ignored
		w.handleAnswer(&a, incarnation, sent)
		return at, next
	case resp.StatusCode == http.StatusMisdirectedRequest:
		var m protocol.Redirect
		_ = json.NewDecoder(resp.Body).Decode(&m) // an undecodable answer names no controller; the next one is tried
		if i := slices.Index(w.controllerOrder, m.Controller); i >= 0 {
			return i, 10 * time.Millisecond
		}
	}
	return to, next
}

// handleAnswer renews the lease and executes commands, unless the answer is stale or the network is disconnected.
func (w *Agent) handleAnswer(a *protocol.HeartbeatAnswer, incarnation uint64, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.FencingToken >= w.fencingToken && a.FencingToken > 0 && w.incarnation == incarnation && !w.faults.disconnected {
		w.fencingToken = a.FencingToken
		w.lastAnswered = sent
		w.execute(a.Commands)
	}
}

// watchLease kills all tasks and begins a new incarnation when the lease expires, which runs from the moment when the
// last answered heartbeat was sent.
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
	if time.Since(w.lastAnswered) > w.config.Lease && !w.faults.removed {
		w.killAll()
		w.incarnation++
		w.lastAnswered = time.Now()
	}
}
