package loadtest

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
)

// Timeouts and delays of the agent protocol.
const (
	answerTimeout        = 4 * time.Second        // for the answer to a heartbeat
	retryDelay           = time.Second            // before the next controller is tried
	minHeartbeatInterval = 500 * time.Millisecond // also when something changed
	redirectDelay        = 50 * time.Millisecond  // before the heartbeat to the controller named in a redirect
)

// maxAnswer bounds the answer to a heartbeat, in bytes.
const maxAnswer = 4 << 20

// simulatedAgent implements the whole agent protocol but executes nothing: a task only takes time.
type simulatedAgent struct {
	pool       *pool
	name, zone string
	addr       string
	listener   net.Listener
	rng        *rand.Rand
	wake       chan struct{} // requests an early heartbeat, because something changed

	mu              sync.Mutex
	incarnation     uint64
	seq             uint64
	fencingToken    uint64                // highest token received
	tasks           []protocol.TaskStatus // in the order of their starts
	timers          map[string]*time.Timer
	lastAnswered    time.Time // when the last answered heartbeat was sent
	lastSent        time.Time // when the last heartbeat was created
	tokenReportedAt time.Time // when a higher token last triggered a heartbeat
	removed         bool
}

func (a *simulatedAgent) heartbeat() protocol.Heartbeat {
	a.seq++
	return protocol.Heartbeat{Machine: a.name, Addr: a.addr, Type: machineType, Zone: a.zone, Incarnation: a.incarnation, Seq: a.seq, FencingToken: a.fencingToken,
		Tasks: append([]protocol.TaskStatus{}, a.tasks...)}
}

// requestHeartbeat makes the agent send its next heartbeat early.
func (a *simulatedAgent) requestHeartbeat() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// updateToken stores a fencing token, which must not be lower than the current one. A higher token triggers a
// heartbeat, at most once per half lease.
func (a *simulatedAgent) updateToken(token uint64) {
	if token > a.fencingToken && time.Since(a.tokenReportedAt) > a.pool.lease/2 {
		a.tokenReportedAt = time.Now()
		a.requestHeartbeat()
	}
	a.fencingToken = token
}

func (a *simulatedAgent) find(task string, attempt uint64) int {
	return slices.IndexFunc(a.tasks, func(t protocol.TaskStatus) bool { return t.Task == task && t.Attempt == attempt })
}

func (a *simulatedAgent) execute(commands []protocol.Command) {
	for _, c := range commands {
		at := a.find(c.Task, c.Attempt)
		exited := at >= 0 && a.tasks[at].State == protocol.Exited
		switch {
		case c.Op == protocol.Start && at < 0:
			a.start(c)
		case c.Op == protocol.Stop && at >= 0 && !exited:
			a.exit(at, protocol.ReasonStopped)
		case c.Op == protocol.Forget && exited:
			a.tasks = slices.Delete(a.tasks, at, at+1)
			a.requestHeartbeat()
		}
	}
}

// start starts an attempt that is not listed, or refuses it.
func (a *simulatedAgent) start(c protocol.Command) {
	inUse := slices.ContainsFunc(a.tasks, func(t protocol.TaskStatus) bool { return t.Task == c.Task && t.State != protocol.Exited })
	if inUse {
		a.refuse(c, protocol.ReasonInUse)
		return
	}
	uid, _, _ := protocol.SplitTask(c.Task)
	name, ok := parseJobName(uid)
	if !ok {
		a.refuse(c, protocol.ReasonNoSuch)
		return
	}
	a.tasks = append(a.tasks, protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Running})
	a.pool.recorder.recordEvent(true, c.Task, a.name, false)
	a.requestHeartbeat()
	if name.Run > 0 {
		a.timers[c.Task] = time.AfterFunc(name.Run, func() { a.complete(c.Task, c.Attempt) })
	}
}

// refuse lists an attempt as exited without starting it.
func (a *simulatedAgent) refuse(c protocol.Command, why protocol.ExitReason) {
	a.tasks = append(a.tasks, protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Exited, Reason: why})
	a.requestHeartbeat()
}

func (a *simulatedAgent) complete(task string, attempt uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := a.find(task, attempt); at >= 0 && a.tasks[at].State == protocol.Running {
		a.exit(at, protocol.ReasonDone)
	}
}

func (a *simulatedAgent) exit(at int, why protocol.ExitReason) {
	t := &a.tasks[at]
	t.State, t.Reason = protocol.Exited, why
	a.pool.recorder.recordEvent(false, t.Task, a.name, why == protocol.ReasonDone)
	if timer := a.timers[t.Task]; timer != nil {
		timer.Stop()
		delete(a.timers, t.Task)
	}
	a.requestHeartbeat()
}

// killAll kills all tasks and drops their exit statuses.
func (a *simulatedAgent) killAll() {
	for i := range a.tasks {
		if a.tasks[i].State != protocol.Exited {
			a.exit(i, protocol.ReasonStopped)
		}
	}
	a.tasks = nil
}

// remove removes the machine with everything on it.
func (a *simulatedAgent) remove() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.removed {
		return
	}
	a.removed = true
	a.killAll()
	_ = a.listener.Close() // its address is no longer needed
	a.pool.recorder.countRemoved()
}

// prepareHeartbeat creates a heartbeat. If the lease expired, it first kills all tasks and begins a new incarnation. ok
// is false once the machine is removed.
func (a *simulatedAgent) prepareHeartbeat() (body []byte, incarnation uint64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.removed {
		return nil, 0, false
	}
	if time.Since(a.lastAnswered) > a.pool.lease {
		a.killAll()
		a.incarnation++
		a.lastAnswered = time.Now()
		a.pool.recorder.addCounts(Counts{Expired: 1})
	}
	select {
	case <-a.wake: // this heartbeat includes all changes until now
	default:
	}
	a.lastSent = time.Now()
	return protocol.Encode(a.heartbeat()), a.incarnation, true
}

// handleAnswer renews the lease and executes the commands in the answer to a heartbeat, unless the answer has an old
// token or the incarnation that sent the heartbeat has ended. sent is when the heartbeat was sent.
func (a *simulatedAgent) handleAnswer(answer *protocol.HeartbeatAnswer, sent time.Time, incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer.FencingToken == 0 || answer.FencingToken < a.fencingToken || incarnation != a.incarnation || a.removed {
		return
	}
	a.lastAnswered = sent
	a.updateToken(answer.FencingToken)
	a.execute(answer.Commands)
}

// run sends heartbeats until the context ends or the machine is removed.
func (a *simulatedAgent) run(ctx context.Context) {
	at := a.rng.IntN(len(a.pool.names))
	link := httpx.NewClientConn(a.pool.addrs[at], maxAnswer)
	defer func() { link.Close() }()
	connected := false
	pause := time.Duration(a.rng.Float64() * float64(a.pool.heartbeatInterval))
	for a.pause(ctx, pause) {
		body, incarnation, ok := a.prepareHeartbeat()
		if !ok {
			return
		}
		sent := time.Now()
		to, answered := a.sendHeartbeat(ctx, link, body, incarnation, sent)
		if answered != connected {
			connected = answered
			a.pool.recorder.addConnected(map[bool]int{true: 1, false: -1}[answered])
		}
		switch {
		case answered:
			pause = time.Duration((0.75 + a.rng.Float64()/2) * float64(a.pool.heartbeatInterval))
			continue
		case to >= 0 && to != at:
			at, pause = to, redirectDelay
		default:
			at, pause = (at+1)%len(a.pool.names), retryDelay
		}
		link.Close()
		link = httpx.NewClientConn(a.pool.addrs[at], maxAnswer)
	}
}

// pause waits until the next heartbeat is due: for the given time, or less if something changed.
func (a *simulatedAgent) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-a.wake:
	}
	a.mu.Lock()
	left := min(d, minHeartbeatInterval-time.Since(a.lastSent))
	a.mu.Unlock()
	least := time.NewTimer(left)
	defer least.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-least.C:
		return true
	}
}

// sendHeartbeat sends a heartbeat and applies its answer. to is the index of the controller named in a redirect, or -1;
// answered is true only for status 200.
func (a *simulatedAgent) sendHeartbeat(ctx context.Context, link *httpx.ClientConn, body []byte, incarnation uint64, sent time.Time) (to int, answered bool) {
	resp, _, err := link.Do(ctx, http.MethodPost, protocol.PathHeartbeat, body, answerTimeout)
	c := Counts{Heartbeats: 1, HeartbeatBytes: int64(len(body))}
	defer func() { a.pool.recorder.addCounts(c) }()
	if err != nil {
		c.Failed = 1
		return -1, false
	}
	c.AnswerBytes = int64(len(resp.Body))
	switch resp.Status {
	case http.StatusOK:
		var answer protocol.HeartbeatAnswer
		if protocol.Decode(resp.Body, &answer) != nil {
			c.Failed = 1
			return -1, false
		}
		c.Answered = 1
		a.pool.recorder.recordLatency(time.Since(sent))
		a.handleAnswer(&answer, sent, incarnation)
		return -1, true
	case http.StatusMisdirectedRequest:
		var m protocol.Redirect
		c.Redirected = 1
		if protocol.Decode(resp.Body, &m) == nil {
			return slices.Index(a.pool.names, m.Controller), false
		}
	default:
		c.Failed = 1
	}
	return -1, false
}

// handleCommands executes direct commands.
func (a *simulatedAgent) handleCommands(w http.ResponseWriter, r *http.Request) {
	var d protocol.DirectCommands
	body := http.MaxBytesReader(w, r.Body, protocol.MaxBody)
	if json.NewDecoder(body).Decode(&d) != nil || d.FencingToken == 0 || d.Incarnation == 0 {
		http.Error(w, `{"error":"malformed"}`, http.StatusBadRequest)
		return
	}
	status := http.StatusOK
	a.mu.Lock()
	if d.FencingToken < a.fencingToken || d.Incarnation != a.incarnation || a.removed {
		status = http.StatusConflict
	} else {
		a.updateToken(d.FencingToken)
		a.execute(d.Commands)
	}
	answer := protocol.Encode(a.heartbeat())
	a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer) // if it fails, the controller counts the request as unanswered
	a.pool.recorder.addCounts(Counts{Commands: 1, CommandBytes: max(r.ContentLength, 0), ResultBytes: int64(len(answer))})
}

// handleInspect answers with a heartbeat, without executing anything.
func (a *simulatedAgent) handleInspect(w http.ResponseWriter) {
	a.mu.Lock()
	answer := protocol.Encode(a.heartbeat())
	a.mu.Unlock()
	_, _ = w.Write(answer) // if it fails, the controller counts the request as unanswered
}
