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

func (h *simulatedAgent) heartbeat() protocol.Heartbeat {
	h.seq++
	return protocol.Heartbeat{Machine: h.name, Addr: h.addr, Type: machineType, Zone: h.zone, Incarnation: h.incarnation, Seq: h.seq, FencingToken: h.fencingToken,
		Tasks: append([]protocol.TaskStatus{}, h.tasks...)}
}

// requestHeartbeat makes the agent send its next heartbeat early.
func (h *simulatedAgent) requestHeartbeat() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// updateToken stores a fencing token, which must not be lower than the current one. A higher token triggers a
// heartbeat, at most once per half lease.
func (h *simulatedAgent) updateToken(token uint64) {
	if token > h.fencingToken && time.Since(h.tokenReportedAt) > h.pool.lease/2 {
		h.tokenReportedAt = time.Now()
		h.requestHeartbeat()
	}
	h.fencingToken = token
}

func (h *simulatedAgent) find(task string) int {
	return slices.IndexFunc(h.tasks, func(t protocol.TaskStatus) bool { return t.Task == task })
}

func (h *simulatedAgent) execute(commands []protocol.Command) {
	for _, c := range commands {
		at := h.find(c.Task)
		known := at >= 0 && h.tasks[at].Attempt == c.Attempt
		switch {
		case c.Op == protocol.Start && !known:
			h.start(c, at)
		case c.Op == protocol.Stop && known && h.tasks[at].State != protocol.Exited:
			h.exit(at, protocol.ReasonStopped)
		case c.Op == protocol.Forget && known && h.tasks[at].State == protocol.Exited:
			h.tasks = slices.Delete(h.tasks, at, at+1)
			h.requestHeartbeat()
		}
	}
}

// start starts a task. It replaces an exited attempt at the index, if there is one.
func (h *simulatedAgent) start(c protocol.Command, at int) {
	if at >= 0 && h.tasks[at].State != protocol.Exited {
		return // another attempt of the task is running
	}
	if at >= 0 {
		h.tasks = slices.Delete(h.tasks, at, at+1)
	}
	uid, _, _ := protocol.SplitTask(c.Task)
	name, ok := parseJobName(uid)
	if !ok {
		h.tasks = append(h.tasks, protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Exited, Reason: protocol.ReasonNoSuch})
		h.requestHeartbeat()
		return
	}
	h.tasks = append(h.tasks, protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Running})
	h.pool.recorder.recordEvent(true, c.Task, h.name, false)
	h.requestHeartbeat()
	if name.Run > 0 {
		h.timers[c.Task] = time.AfterFunc(name.Run, func() { h.complete(c.Task, c.Attempt) })
	}
}

func (h *simulatedAgent) complete(task string, attempt uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at := h.find(task); at >= 0 && h.tasks[at].Attempt == attempt && h.tasks[at].State == protocol.Running {
		h.exit(at, protocol.ReasonDone)
	}
}

func (h *simulatedAgent) exit(at int, why protocol.ExitReason) {
	t := &h.tasks[at]
	t.State, t.Reason = protocol.Exited, why
	h.pool.recorder.recordEvent(false, t.Task, h.name, why == protocol.ReasonDone)
	if timer := h.timers[t.Task]; timer != nil {
		timer.Stop()
		delete(h.timers, t.Task)
	}
	h.requestHeartbeat()
}

// killAll kills all tasks and drops their exit statuses.
func (h *simulatedAgent) killAll() {
	for i := range h.tasks {
		if h.tasks[i].State != protocol.Exited {
			h.exit(i, protocol.ReasonStopped)
		}
	}
	h.tasks = nil
}

// remove removes the machine with everything on it.
func (h *simulatedAgent) remove() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.removed {
		return
	}
	h.removed = true
	h.killAll()
	_ = h.listener.Close() // its address is no longer needed
	h.pool.recorder.countRemoved()
}

// prepareHeartbeat creates a heartbeat. If the lease expired, it first kills all tasks and begins a new incarnation. ok
// is false once the machine is removed.
func (h *simulatedAgent) prepareHeartbeat() (body []byte, incarnation uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.removed {
		return nil, 0, false
	}
	if time.Since(h.lastAnswered) > h.pool.lease {
		h.killAll()
		h.incarnation++
		h.lastAnswered = time.Now()
		h.pool.recorder.addCounts(Counts{Expired: 1})
	}
	select {
	case <-h.wake: // this heartbeat includes all changes until now
	default:
	}
	h.lastSent = time.Now()
	return protocol.Encode(h.heartbeat()), h.incarnation, true
}

// handleAnswer renews the lease and executes the commands in the answer to a heartbeat, unless the answer has an old
// token or the incarnation that sent the heartbeat has ended. sent is when the heartbeat was sent.
func (h *simulatedAgent) handleAnswer(a *protocol.HeartbeatAnswer, sent time.Time, incarnation uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.FencingToken == 0 || a.FencingToken < h.fencingToken || incarnation != h.incarnation || h.removed {
		return
	}
	h.lastAnswered = sent
	h.updateToken(a.FencingToken)
	h.execute(a.Commands)
}

// run sends heartbeats until the context ends or the machine is removed.
func (h *simulatedAgent) run(ctx context.Context) {
	at := h.rng.IntN(len(h.pool.names))
	link := httpx.NewClientConn(h.pool.addrs[at], maxAnswer)
	defer func() { link.Close() }()
	connected := false
	pause := time.Duration(h.rng.Float64() * float64(h.pool.heartbeatInterval))
	for h.pause(ctx, pause) {
		body, incarnation, ok := h.prepareHeartbeat()
		if !ok {
			return
		}
		sent := time.Now()
		to, answered := h.sendHeartbeat(ctx, link, body, incarnation, sent)
		if answered != connected {
			connected = answered
			h.pool.recorder.addConnected(map[bool]int{true: 1, false: -1}[answered])
		}
		switch {
		case answered:
			pause = time.Duration((0.75 + h.rng.Float64()/2) * float64(h.pool.heartbeatInterval))
			continue
		case to >= 0 && to != at:
			at, pause = to, redirectDelay
		default:
			at, pause = (at+1)%len(h.pool.names), retryDelay
		}
		link.Close()
		link = httpx.NewClientConn(h.pool.addrs[at], maxAnswer)
	}
}

// pause waits until the next heartbeat is due: for the given time, or less if something changed.
func (h *simulatedAgent) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-h.wake:
	}
	h.mu.Lock()
	left := min(d, minHeartbeatInterval-time.Since(h.lastSent))
	h.mu.Unlock()
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
func (h *simulatedAgent) sendHeartbeat(ctx context.Context, link *httpx.ClientConn, body []byte, incarnation uint64, sent time.Time) (to int, answered bool) {
	resp, _, err := link.Do(ctx, http.MethodPost, protocol.PathHeartbeat, body, answerTimeout)
	c := Counts{Heartbeats: 1, HeartbeatBytes: int64(len(body))}
	defer func() { h.pool.recorder.addCounts(c) }()
	if err != nil {
		c.Failed = 1
		return -1, false
	}
	c.AnswerBytes = int64(len(resp.Body))
	switch resp.Status {
	case http.StatusOK:
		var a protocol.HeartbeatAnswer
		if protocol.Decode(resp.Body, &a) != nil {
			c.Failed = 1
			return -1, false
		}
		c.Answered = 1
		h.pool.recorder.recordLatency(time.Since(sent))
		h.handleAnswer(&a, sent, incarnation)
		return -1, true
	case http.StatusMisdirectedRequest:
		var m protocol.Redirect
		c.Redirected = 1
		if protocol.Decode(resp.Body, &m) == nil {
			return slices.Index(h.pool.names, m.Controller), false
		}
	default:
		c.Failed = 1
	}
	return -1, false
}

// handleCommands executes direct commands.
func (h *simulatedAgent) handleCommands(w http.ResponseWriter, r *http.Request) {
	var d protocol.DirectCommands
	body := http.MaxBytesReader(w, r.Body, protocol.MaxBody)
	if json.NewDecoder(body).Decode(&d) != nil || d.FencingToken == 0 || d.Incarnation == 0 {
		http.Error(w, `{"error":"malformed"}`, http.StatusBadRequest)
		return
	}
	status := http.StatusOK
	h.mu.Lock()
	if d.FencingToken < h.fencingToken || d.Incarnation != h.incarnation || h.removed {
		status = http.StatusConflict
	} else {
		h.updateToken(d.FencingToken)
		h.execute(d.Commands)
	}
	answer := protocol.Encode(h.heartbeat())
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer) // if it fails, the controller counts the request as unanswered
	h.pool.recorder.addCounts(Counts{Commands: 1, CommandBytes: max(r.ContentLength, 0), ResultBytes: int64(len(answer))})
}

// handleInspect answers with a heartbeat, without executing anything.
func (h *simulatedAgent) handleInspect(w http.ResponseWriter) {
	h.mu.Lock()
	answer := protocol.Encode(h.heartbeat())
	h.mu.Unlock()
	_, _ = w.Write(answer) // if it fails, the controller counts the request as unanswered
}
