package rehearse

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"topazhollow/internal/wire"
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
	cut     bool
	deaf    bool
	reach   map[string]bool // the controllers that its reports come to; nil: all
	again   func() time.Duration
	repeats int // late copies of reports that were delivered
	session uint64
	seq     uint64
	token   uint64
	tasks   map[string]*wire.TaskStatus // by task, the newest attempt first known
	ended   map[string]bool             // results that are kept
	alive   time.Time                   // when the last answered report was sent
	timers  map[string]*time.Timer
	stops   map[string]context.CancelFunc // of what runs for real
}

// NewWorker starts a worker that reports to one of the controllers.
func NewWorker(name, typ, zone string, spot bool, nodes map[string]string, order []string, per Periods, check *Checker) (*Worker, error) {
	w := &Worker{name: name, typ: typ, zone: zone, spot: spot, nodes: nodes, order: order, per: per, check: check,
		session: 1, tasks: map[string]*wire.TaskStatus{}, ended: map[string]bool{}, alive: time.Now(),
		timers: map[string]*time.Timer{}, stops: map[string]context.CancelFunc{}, wake: make(chan struct{}, 1)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.do)
	mux.HandleFunc("GET "+wire.PathInspect, w.inspect)
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.run(ctx)
	return w, nil
}

// Name is the machine's name.
func (w *Worker) Name() string { return w.name }

// Addr is where the worker takes commands.
func (w *Worker) Addr() string { return w.addr }

// Expire begins the next session, as a worker does whose lease ended.
func (w *Worker) Expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.session++
}

// Cut takes the worker's network away or gives it back.
func (w *Worker) Cut(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = on
}

// Deaf has answers to the worker's reports and direct commands lost; its reports arrive.
func (w *Worker) Deaf(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf = on
}

// Reach bounds which controllers the worker and its machine can be reached by; none given: all. Direct
// commands come from any of them, so that a bound shuts them out altogether.
func (w *Worker) Reach(nodes ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reach = nil
	for _, n := range nodes {
		if w.reach == nil {
			w.reach = map[string]bool{}
		}
		w.reach[n] = true
	}
}

// Again has copies of reports delivered once more after a time; 0: not that one, nil: none.
func (w *Worker) Again(after func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.again = after
}

// Repeats counts the late copies of reports that were delivered.
func (w *Worker) Repeats() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.repeats
}

// Running lists the tasks on the machine.
func (w *Worker) Running() (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, t := range w.tasks {
		if t.State != wire.Exited {
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
	w.cut = true
}

func (w *Worker) killAll() {
	for task, t := range w.tasks {
		if t.State != wire.Exited {
			w.check.End(task, false)
		}
		if timer := w.timers[task]; timer != nil {
			timer.Stop()
		}
		if stop := w.stops[task]; stop != nil {
			stop()
		}
	}
	w.tasks = map[string]*wire.TaskStatus{}
}

func (w *Worker) report() wire.Report {
	w.seq++
	r := wire.Report{Machine: w.name, Addr: w.addr, Type: w.typ, Zone: w.zone, Spot: w.spot, Session: w.session, Seq: w.seq, Token: w.token, Tasks: []wire.TaskStatus{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, *t)
	}
	return r
}

// unreached says whether no direct request comes through.
func (w *Worker) unreached() bool { return w.cut || w.deaf || w.reach != nil }

func (w *Worker) do(rw http.ResponseWriter, r *http.Request) {
	var d wire.Direct
	if !read(r, &d) || d.Token == 0 {
		reply(rw, 400, wire.Error{Error: "malformed"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreached() {
		panic(http.ErrAbortHandler)
	}
	if d.Token < w.token || d.Session != w.session {
		reply(rw, 409, w.report())
		return
	}
	w.token = d.Token
	w.execute(d.Commands)
	reply(rw, 200, w.report())
}

func (w *Worker) inspect(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreached() {
		panic(http.ErrAbortHandler)
	}
	reply(rw, 200, w.report())
}

func (w *Worker) execute(cmds []wire.Command) {
	for _, c := range cmds {
		t := w.tasks[c.Task]
		switch c.Op {
		case wire.Start:
			uid, _, _ := wire.SplitTask(c.Task)
			switch {
			case t != nil && t.Attempt == c.Attempt:
			case t != nil && t.State != wire.Exited:
				continue // refused as in_use; the listed attempt stays
			case w.check.Spec(uid) == nil:
				w.tasks[c.Task] = &wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.Exited, Why: wire.WhyNoSuch}
			default:
				w.tasks[c.Task] = &wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.Running}
				w.check.Start(c.Task, w.name, w.typ, w.zone, w.spot)
				w.finishLater(c.Task, c.Attempt)
			}
		case wire.Stop:
			if t != nil && t.Attempt == c.Attempt && t.State != wire.Exited {
				w.exit(t, wire.WhyStopped)
			}
		case wire.Forget:
			if t != nil && t.Attempt == c.Attempt && t.State == wire.Exited {
				delete(w.tasks, c.Task)
			}
		}
	}
}

func (w *Worker) exit(t *wire.TaskStatus, why string) {
	t.State, t.Why = wire.Exited, why
	w.check.End(t.Task, why == wire.WhyDone)
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
			if t := w.tasks[task]; t != nil && t.Attempt == attempt && t.State == wire.Running && w.session == session {
				if w.ended[task] = done; done {
					w.exit(t, wire.WhyDone)
				} else {
					w.exit(t, wire.WhyError)
				}
			}
		}()
		return
	}
	run := w.per.Run(task)
	if w.ended[task] {
		run = 0
	}
	w.timers[task] = time.AfterFunc(run, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t := w.tasks[task]; t != nil && t.Attempt == attempt && t.State == wire.Running {
			w.ended[task] = true
			w.exit(t, wire.WhyDone)
		}
	})
}

func (w *Worker) run(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	at := 0
	for ctx.Err() == nil {
		w.mu.Lock()
		if time.Since(w.alive) > w.per.Lease {
			w.killAll()
			w.session++
			w.alive = time.Now()
		}
		body, session := wire.Encode(w.report()), w.session
		cut := w.cut || w.reach != nil && !w.reach[w.order[at]]
		later, url := time.Duration(0), "http://"+w.nodes[w.order[at]]+wire.PathReport
		if w.again != nil {
			later = w.again()
		}
		w.mu.Unlock()
		if cut {
			at = (at + 1) % len(w.order)
		} else if later > 0 {
			time.AfterFunc(later, func() { w.repeat(client, url, body) })
		}
		sent := time.Now()
		next := w.per.Report
		if !cut {
			resp, err := client.Post(url, "application/json", bytes.NewReader(body))
			at = (at + 1) % len(w.order)
			w.mu.Lock()
			deaf := w.deaf
			w.mu.Unlock()
			if err == nil && deaf {
				resp.Body.Close()
			} else if err == nil {
				var a wire.ReportAnswer
				var m wire.Moved
				switch resp.StatusCode {
				case 200:
					at = (at + len(w.order) - 1) % len(w.order)
					_ = json.NewDecoder(resp.Body).Decode(&a)
					w.mu.Lock()
					if a.Token >= w.token && a.Token > 0 && w.session == session && !w.cut {
						w.token = a.Token
						w.alive = sent
						w.execute(a.Commands)
					}
					w.mu.Unlock()
				case 421:
					_ = json.NewDecoder(resp.Body).Decode(&m)
					for i, n := range w.order {
						if n == m.ReportTo {
							at, next = i, 10*time.Millisecond
						}
					}
				}
				resp.Body.Close()
			}
		}
		select {
		case <-time.After(next):
		case <-w.wake:
			time.Sleep(20 * time.Millisecond)
		case <-ctx.Done():
		}
	}
}

// repeat delivers a copy of an earlier report; nobody hears the answer.
func (w *Worker) repeat(client *http.Client, url string, body []byte) {
	w.mu.Lock()
	cut := w.cut
	w.mu.Unlock()
	if cut {
		return
	}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp.Body.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repeats++
}
