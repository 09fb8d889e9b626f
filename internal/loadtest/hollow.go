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

// Times of the agents' protocol.
const (
	answerTimeout = 4 * time.Second        // for the answer to a report
	retryAfter    = time.Second            // until the next controller is tried
	leastPause    = 500 * time.Millisecond // between reports about changes
	movePause     = 50 * time.Millisecond  // before the report to the controller that another one named
)

// maxAnswer bounds the answer to a report, in bytes.
const maxAnswer = 4 << 20

// simulatedAgent is an agent that speaks the whole protocol and runs nothing: a task only takes time.
type simulatedAgent struct {
	pool       *pool
	name, zone string
	addr       string
	listener   net.Listener
	rng        *rand.Rand
	wake       chan struct{} // something changed that is to be reported

	mu      sync.Mutex
	session uint64
	seq     uint64
	token   uint64
	tasks   []protocol.TaskStatus // in the order of their starts
	timers  map[string]*time.Timer
	alive   time.Time // when the last answered report was sent
	sent    time.Time // when the last report was made
	turned  time.Time // when a higher token last counted as a change
	gone    bool
}

func (h *simulatedAgent) report() protocol.Heartbeat {
	h.seq++
	return protocol.Heartbeat{Machine: h.name, Addr: h.addr, Type: machineType, Zone: h.zone, Incarnation: h.session, Seq: h.seq, FencingToken: h.token,
		Tasks: append([]protocol.TaskStatus{}, h.tasks...)}
}

func (h *simulatedAgent) changed() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// sees takes in a token, which is not lower than the highest one seen.
func (h *simulatedAgent) sees(token uint64) {
	if token > h.token && time.Since(h.turned) > h.pool.lease/2 {
		h.turned = time.Now()
		h.changed()
	}
	h.token = token
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
			h.changed()
		}
	}
}

// start begins a task, in place of an exited attempt if there is one at that index.
func (h *simulatedAgent) start(c protocol.Command, at int) {
	if at >= 0 && h.tasks[at].State != protocol.Exited {
		return // another attempt of it is here
	}
	if at >= 0 {
		h.tasks = slices.Delete(h.tasks, at, at+1)
	}
	uid, _, _ := protocol.SplitTask(c.Task)
	name, ok := parseJobName(uid)
	if !ok {
		h.tasks = append(h.tasks, protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Exited, Reason: protocol.ReasonNoSuch})
		h.changed()
		return
	}
	h.tasks = append(h.tasks, protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.Running})
	h.pool.rec.event(true, c.Task, h.name, false)
	h.changed()
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
	h.pool.rec.event(false, t.Task, h.name, why == protocol.ReasonDone)
	if timer := h.timers[t.Task]; timer != nil {
		timer.Stop()
		delete(h.timers, t.Task)
	}
	h.changed()
}

// killAll ends everything without a result.
func (h *simulatedAgent) killAll() {
	for i := range h.tasks {
		if h.tasks[i].State != protocol.Exited {
			h.exit(i, protocol.ReasonStopped)
		}
	}
	h.tasks = nil
}

// remove takes the machine away with all that is on it.
func (h *simulatedAgent) remove() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return
	}
	h.gone = true
	h.killAll()
	_ = h.listener.Close() // it was open until now
	h.pool.rec.remove()
}

// next prepares a report. ok is false once the machine is gone.
func (h *simulatedAgent) next() (body []byte, session uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return nil, 0, false
	}
	if time.Since(h.alive) > h.pool.lease {
		h.killAll()
		h.session++
		h.alive = time.Now()
		h.pool.rec.count(Counts{Expired: 1})
	}
	select {
	case <-h.wake: // what changed until now is in this report
	default:
	}
	h.sent = time.Now()
	return protocol.Encode(h.report()), h.session, true
}

// answered takes in the answer to a report sent at a time in a session.
func (h *simulatedAgent) answered(a *protocol.HeartbeatAnswer, sent time.Time, session uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.FencingToken == 0 || a.FencingToken < h.token || session != h.session || h.gone {
		return
	}
	h.alive = sent
	h.sees(a.FencingToken)
	h.execute(a.Commands)
}

// run reports until the context ends or the machine is gone.
func (h *simulatedAgent) run(ctx context.Context) {
	at := h.rng.IntN(len(h.pool.names))
	link := httpx.NewClientConn(h.pool.addrs[at], maxAnswer)
	defer func() { link.Close() }()
	homed := false
	pause := time.Duration(h.rng.Float64() * float64(h.pool.report))
	for h.pause(ctx, pause) {
		body, session, ok := h.next()
		if !ok {
			return
		}
		sent := time.Now()
		to, good := h.send(ctx, link, body, session, sent)
		if good != homed {
			homed = good
			h.pool.rec.home(map[bool]int{true: 1, false: -1}[good])
		}
		switch {
		case good:
			pause = time.Duration((0.75 + h.rng.Float64()/2) * float64(h.pool.report))
			continue
		case to >= 0 && to != at:
			at, pause = to, movePause
		default:
			at, pause = (at+1)%len(h.pool.names), retryAfter
		}
		link.Close()
		link = httpx.NewClientConn(h.pool.addrs[at], maxAnswer)
	}
}

// pause waits for the next report: for the whole time, or less if something changed.
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
	left := min(d, leastPause-time.Since(h.sent))
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

// send sends a report and takes in its answer; to is the controller that was named
// instead, or -1.
func (h *simulatedAgent) send(ctx context.Context, link *httpx.ClientConn, body []byte, session uint64, sent time.Time) (to int, good bool) {
	resp, _, err := link.Do(ctx, http.MethodPost, protocol.PathHeartbeat, body, answerTimeout)
	c := Counts{Heartbeats: 1, HeartbeatBytes: int64(len(body))}
	defer func() { h.pool.rec.count(c) }()
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
		h.pool.rec.waited(time.Since(sent))
		h.answered(&a, sent, session)
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

// do carries out direct commands.
func (h *simulatedAgent) do(w http.ResponseWriter, r *http.Request) {
	var d protocol.DirectCommands
	body := http.MaxBytesReader(w, r.Body, protocol.MaxBody)
	if json.NewDecoder(body).Decode(&d) != nil || d.FencingToken == 0 || d.Incarnation == 0 {
		http.Error(w, `{"error":"malformed"}`, http.StatusBadRequest)
		return
	}
	status := http.StatusOK
	h.mu.Lock()
	if d.FencingToken < h.token || d.Incarnation != h.session || h.gone {
		status = http.StatusConflict
	} else {
		h.sees(d.FencingToken)
		h.execute(d.Commands)
	}
	answer := protocol.Encode(h.report())
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer) // the controller counts it as unanswered if it fails
	h.pool.rec.count(Counts{Commands: 1, CommandBytes: max(r.ContentLength, 0), ResultBytes: int64(len(answer))})
}

// inspect answers with a report.
func (h *simulatedAgent) inspect(w http.ResponseWriter) {
	h.mu.Lock()
	answer := protocol.Encode(h.report())
	h.mu.Unlock()
	_, _ = w.Write(answer) // as above
}
