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
	Fails            func(task string) bool          // if set, called before Run: whether the task ends with an error
	// Exec, if set, executes a task instead of waiting for the duration from Run, and returns whether the task
	// completed. Its context ends when the task is stopped or lost.
	Exec func(ctx context.Context, machine string, incarnation uint64, task string, attempt uint64) (done bool)
	// Images, if set, makes tasks wait for their image and their gang. Otherwise each task starts at once.
	Images *ImageConfig
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
	fencingToken uint64                             // highest token received
	tasks        map[attemptID]*protocol.TaskStatus // each attempt until it is forgotten
	completed    map[string]bool                    // tasks that completed here
	lastAnswered time.Time                          // when the last answered heartbeat was sent
	timers       map[attemptID]*time.Timer
	execCancels  map[attemptID]context.CancelFunc // stop tasks that run in Exec
	images       images
}

// attemptID identifies an attempt on a machine.
type attemptID struct {
	task    string
	attempt uint64
}

// NewAgent starts an agent that sends heartbeats to one of the controllers. nodes holds the controllers' addresses by
// name, and order the names in the order in which the agent tries them.
func NewAgent(name, typ, zone string, spot bool, nodes map[string]string, order []string, per AgentConfig, check *Checker) (*Agent, error) {
	a := &Agent{name: name, machineType: typ, zone: zone, spot: spot, controllers: nodes, controllerOrder: order, config: per, checker: check,
		incarnation: 1, tasks: map[attemptID]*protocol.TaskStatus{}, completed: map[string]bool{}, lastAnswered: time.Now(),
		timers: map[attemptID]*time.Timer{}, execCancels: map[attemptID]context.CancelFunc{}, wake: make(chan struct{}, 1),
		images: newImages()}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", a.handleCommands)
	mux.HandleFunc("GET "+protocol.PathInspect, a.handleInspect)
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	go a.sendHeartbeats(ctx)
	go a.watchLease(ctx)
	return a, nil
}

// Name returns the machine's name.
func (a *Agent) Name() string { return a.name }

// Place returns the machine's zone and whether it is a spot machine.
func (a *Agent) Place() (zone string, spot bool) { return a.zone, a.spot }

// Addr returns the address on which the agent receives direct commands.
func (a *Agent) Addr() string { return a.addr }

// BeginIncarnation kills all tasks and begins the next incarnation, as an agent does whose lease expired.
func (a *Agent) BeginIncarnation() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.killAll()
	a.incarnation++
}

// RunningTasks returns the tasks on the machine that have not exited.
func (a *Agent) RunningTasks() (tasks []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, t := range a.tasks {
		if t.State != protocol.Exited {
			tasks = append(tasks, id.task)
		}
	}
	return tasks
}

// RemoveMachine stops the agent and kills everything on its machine.
func (a *Agent) RemoveMachine() {
	a.stop()
	a.server.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.killAll()
	a.faults.removed = true
}

// killAll kills all tasks and drops their exit statuses. The caller holds the lock.
func (a *Agent) killAll() {
	for id, t := range a.tasks {
		a.recordEnd(id, t.State, false)
		a.endRun(id)
	}
	a.tasks = map[attemptID]*protocol.TaskStatus{}
	clear(a.images.fetches)
}

// endRun ends what the machine still does for an attempt.
func (a *Agent) endRun(id attemptID) {
	if timer := a.timers[id]; timer != nil {
		timer.Stop()
		delete(a.timers, id)
	}
	if stop := a.execCancels[id]; stop != nil {
		stop()
		delete(a.execCancels, id)
	}
}

func (a *Agent) heartbeat() protocol.Heartbeat {
	a.seq++
	r := protocol.Heartbeat{Machine: a.name, Addr: a.addr, Type: a.machineType, Zone: a.zone, Spot: a.spot, Incarnation: a.incarnation, Seq: a.seq, FencingToken: a.fencingToken, Tasks: []protocol.TaskStatus{}}
	if a.faults.evictionSeconds > 0 {
		r.NoticeSeconds = new(a.faults.evictionSeconds)
	}
	for _, t := range a.tasks {
		r.Tasks = append(r.Tasks, *t)
	}
	return r
}

func (a *Agent) handleCommands(rw http.ResponseWriter, r *http.Request) {
	var d protocol.DirectCommands
	if !read(r, &d) || d.FencingToken == 0 {
		reply(rw, 400, protocol.Error{Error: "malformed"})
		return
	}
	if !a.admitCommands(&d) {
		leaveUnanswered(r)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.faults.commandsBlocked() {
		panic(http.ErrAbortHandler)
	}
	if !a.applyCommands(&d) {
		reply(rw, 409, a.heartbeat())
		return
	}
	a.scheduleCommandCopy(&d)
	reply(rw, 200, a.heartbeat())
}

// applyCommands executes direct commands if their fencing token and incarnation match.
func (a *Agent) applyCommands(d *protocol.DirectCommands) bool {
	if d.FencingToken < a.fencingToken || d.Incarnation != a.incarnation {
		return false
	}
	a.fencingToken = d.FencingToken
	a.execute(d.Commands)
	return true
}

func (a *Agent) handleInspect(rw http.ResponseWriter, r *http.Request) {
	if a.isHanging() {
		leaveUnanswered(r)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.faults.commandsBlocked() {
		panic(http.ErrAbortHandler)
	}
	reply(rw, 200, a.heartbeat())
}

// execute executes commands; one that does not match an attempt's state has no effect.
func (a *Agent) execute(cmds []protocol.Command) {
	for _, c := range cmds {
		id := attemptID{c.Task, c.Attempt}
		t := a.tasks[id]
		switch c.Op {
		case protocol.Start:
			if t == nil {
				a.startAttempt(id)
			}
		case protocol.Stop:
			if t != nil && t.State != protocol.Exited {
				a.stopTask(t, c.GraceSeconds)
			}
		case protocol.Forget:
			if t != nil && t.State == protocol.Exited {
				delete(a.tasks, id)
			}
		}
	}
}

// startAttempt starts or refuses an attempt that the agent does not list.
func (a *Agent) startAttempt(id attemptID) {
	uid, _, _ := protocol.SplitTask(id.task)
	spec := a.checker.Spec(uid)
	status := &protocol.TaskStatus{Task: id.task, Attempt: id.attempt, State: protocol.Exited}
	inUse := a.isOnMachine(id.task)
	a.tasks[id] = status
	switch {
	case inUse:
		status.Reason = protocol.ReasonInUse
	case spec == nil:
		status.Reason = protocol.ReasonNoSuch
	case a.config.Images != nil:
		a.pull(id, status, spec)
	default:
		status.State = protocol.Running
		a.checker.RecordStart(id.task, a.name, a.machineType, a.zone, a.spot)
		a.finishLater(id)
	}
}

// isOnMachine reports whether any attempt of a task has not exited.
func (a *Agent) isOnMachine(task string) bool {
	for id, t := range a.tasks {
		if id.task == task && t.State != protocol.Exited {
			return true
		}
	}
	return false
}

// stopTask ends a task. If the task supports checkpoints and the grace period suffices, it saves one first; a second
// stop without grace ends a task that is saving immediately.
func (a *Agent) stopTask(t *protocol.TaskStatus, grace *float64) {
	given := 0.0
	if grace != nil {
		given = *grace
	}
	uid, _, _ := protocol.SplitTask(t.Task)
	spec := a.checker.Spec(uid)
	saves := spec != nil && spec.Kind != protocol.Gang && spec.CheckpointEverySeconds > 0 && spec.CheckpointSeconds > 0
	switch {
	case t.State == protocol.Saving && given > 0:
	case t.State == protocol.Running && saves && given >= spec.CheckpointSeconds:
		a.saveCheckpoint(t, settings.Seconds(spec.CheckpointSeconds))
	default:
		a.exit(t, protocol.ReasonStopped)
	}
}

// saveCheckpoint lets a task save a checkpoint, after which it exits.
func (a *Agent) saveCheckpoint(t *protocol.TaskStatus, duration time.Duration) {
	t.State = protocol.Saving
	id := attemptID{t.Task, t.Attempt}
	if timer := a.timers[id]; timer != nil {
		timer.Stop()
	}
	a.schedule(id, duration, func(t *protocol.TaskStatus) {
		if t.State == protocol.Saving {
			t.Checkpointed = true
			a.exit(t, protocol.ReasonStopped)
		}
	})
}

// schedule runs a function on an attempt after a delay, unless the attempt is gone by then. On a hanging machine the
// function runs once the machine resumes.
func (a *Agent) schedule(id attemptID, delay time.Duration, do func(t *protocol.TaskStatus)) {
	a.timers[id] = time.AfterFunc(delay, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		t := a.tasks[id]
		switch {
		case t == nil:
		case a.faults.hanging:
			a.schedule(id, hangPollInterval, do)
		default:
			do(t)
		}
	})
}

func (a *Agent) exit(t *protocol.TaskStatus, why protocol.ExitReason) {
	id, state := attemptID{t.Task, t.Attempt}, t.State
	t.State, t.Reason = protocol.Exited, why
	a.recordEnd(id, state, why == protocol.ReasonDone)
	if state == protocol.Pulling {
		a.giveUpFetch(t.Task)
	}
	a.endRun(id)
	a.reportSoon()
}

// recordEnd records the end of an attempt that was in a state.
func (a *Agent) recordEnd(id attemptID, state protocol.TaskState, done bool) {
	if state == protocol.Pulling || state == protocol.Exited {
		return
	}
	a.checker.RecordEnd(id.task, done)
	if a.config.Images != nil {
		a.config.Images.Gangs.leave(id, done)
	}
}

// finishLater ends a task when its run time has passed, or when Exec returns. A task that completed on this agent
// before ends at once.
func (a *Agent) finishLater(id attemptID) {
	if a.config.Exec != nil {
		a.runExec(id)
		return
	}
	fails := a.config.Fails != nil && a.config.Fails(id.task)
	run := a.config.Run(id.task)
	if a.completed[id.task] {
		run = 0
	}
	a.schedule(id, run, func(t *protocol.TaskStatus) {
		if t.State == protocol.Running {
			a.finish(t, !fails)
		}
	})
}

// finish ends a running task, which completed or failed.
func (a *Agent) finish(t *protocol.TaskStatus, completed bool) {
	a.completed[t.Task] = completed
	if completed {
		a.exit(t, protocol.ReasonDone)
	} else {
		a.exit(t, protocol.ReasonError)
	}
}

// runExec executes a task with Exec.
func (a *Agent) runExec(id attemptID) {
	ctx, stop := context.WithCancel(context.Background())
	a.execCancels[id] = stop
	incarnation := a.incarnation
	go func() {
		defer stop()
		done := a.config.Exec(ctx, a.name, incarnation, id.task, id.attempt)
		a.mu.Lock()
		defer a.mu.Unlock()
		if t := a.tasks[id]; t != nil && t.State == protocol.Running && a.incarnation == incarnation {
			a.finish(t, done)
		}
	}()
}

// sendHeartbeats sends heartbeats to one controller after another until one answers, and then only to that one until it
// fails to answer or redirects the agent.
func (a *Agent) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	at := 0
	for ctx.Err() == nil {
		next := hangPollInterval
		if !a.isHanging() {
			at, next = a.sendHeartbeat(client, at)
		}
		select {
		case <-time.After(next):
		case <-a.wake:
			time.Sleep(20 * time.Millisecond)
		case <-ctx.Done():
		}
	}
}

// sendHeartbeat sends one heartbeat to the controller with index at. It returns the index of the controller that gets
// the next heartbeat, and the delay until then.
func (a *Agent) sendHeartbeat(client *http.Client, at int) (to int, next time.Duration) {
	node := a.controllerOrder[at]
	sent := time.Now()
	body, incarnation, arrives := a.nextHeartbeat(client, node)
	to, next = (at+1)%len(a.controllerOrder), a.config.Heartbeat
	if !arrives {
		return to, next
	}
	resp, err := client.Post("http://"+a.controllers[node]+protocol.PathHeartbeat, "application/json", bytes.NewReader(body))
	if err != nil {
		return to, next
	}
	defer resp.Body.Close()
	switch {
	case !a.receivesAnswers():
	case resp.StatusCode == http.StatusOK:
		var answer protocol.HeartbeatAnswer
		_ = json.NewDecoder(resp.Body).Decode(&answer) // an undecodable answer has no token and is ignored
		a.handleAnswer(&answer, incarnation, sent)
		return at, next
	case resp.StatusCode == http.StatusMisdirectedRequest:
		var m protocol.Redirect
		_ = json.NewDecoder(resp.Body).Decode(&m) // an undecodable answer names no controller; the next one is tried
		if i := slices.Index(a.controllerOrder, m.Controller); i >= 0 {
			return i, 10 * time.Millisecond
		}
	}
	return to, next
}

// handleAnswer renews the lease and executes commands, unless the answer is stale or the network is disconnected.
func (a *Agent) handleAnswer(answer *protocol.HeartbeatAnswer, incarnation uint64, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer.FencingToken >= a.fencingToken && answer.FencingToken > 0 && a.incarnation == incarnation && !a.faults.disconnected {
		a.fencingToken = answer.FencingToken
		a.lastAnswered = sent
		a.execute(answer.Commands)
	}
}

// watchLease kills all tasks and begins a new incarnation when the lease expires, which runs from the moment when the
// last answered heartbeat was sent.
func (a *Agent) watchLease(ctx context.Context) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
			a.checkLease()
		case <-ctx.Done():
		}
	}
}

func (a *Agent) checkLease() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.lastAnswered) > a.config.Lease && !a.faults.removed {
		a.killAll()
		a.incarnation++
		a.lastAnswered = time.Now()
	}
}
