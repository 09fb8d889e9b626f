package loadtest

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Event is a task that got onto a machine or left it.
type Event struct {
	At      int64  `json:"at"` // time of day, ns
	Start   bool   `json:"start,omitempty"`
	Task    string `json:"task"`
	Machine string `json:"machine"`
	Done    bool   `json:"done,omitempty"` // it left because it completed
}

// Counts are what agents sent and got since their process began.
type Counts struct {
	Heartbeats      int64 `json:"reports"`
	Answered     int64 `json:"answered"` // with 200
	Redirected        int64 `json:"moved"`    // sent to another controller
	Failed       int64 `json:"failed"`   // any other status, or none
	Expired      int64 `json:"expired"`  // leases of agents that ended
	HeartbeatBytes  int64 `json:"report_bytes"`
	AnswerBytes  int64 `json:"answer_bytes"`
	Commands     int64 `json:"commands"` // direct requests with commands
	CommandBytes int64 `json:"command_bytes"`
	ResultBytes  int64 `json:"result_bytes"` // of their answers
}

func (c *Counts) add(o Counts, sign int64) {
	c.Heartbeats += sign * o.Heartbeats
	c.Answered += sign * o.Answered
	c.Redirected += sign * o.Redirected
	c.Failed += sign * o.Failed
	c.Expired += sign * o.Expired
	c.HeartbeatBytes += sign * o.HeartbeatBytes
	c.AnswerBytes += sign * o.AnswerBytes
	c.Commands += sign * o.Commands
	c.CommandBytes += sign * o.CommandBytes
	c.ResultBytes += sign * o.ResultBytes
}

// Batch is what a process of agents tells since its last one.
type Batch struct {
	Until   int64   `json:"until"` // all events before this moment are told
	Events  []Event `json:"events,omitempty"`
	Counts  Counts  `json:"counts"`
	Latencies   []int64 `json:"waits,omitempty"` // from a report to its answer, µs
	Connected   int     `json:"homed"`           // agents whose last report was answered
	Removed int     `json:"removed"`         // machines taken away so far
}

// batchEvery is how often a process of agents tells a batch.
const batchEvery = 200 * time.Millisecond

// recorder collects what a process of agents tells.
type recorder struct {
	mu      sync.Mutex
	next    Batch
	counts  Counts
	homed   int
	removed int
}

func (r *recorder) event(start bool, task, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next.Events = append(r.next.Events, Event{At: time.Now().UnixNano(), Start: start, Task: task, Machine: machine, Done: done})
}

func (r *recorder) count(c Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.add(c, 1)
}

func (r *recorder) waited(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next.Latencies = append(r.next.Latencies, d.Microseconds())
}

func (r *recorder) home(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.homed += by
}

func (r *recorder) remove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed++
}

// take gives the batch up to now and begins the next.
func (r *recorder) take() Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.next
	b.Until, b.Counts, b.Connected, b.Removed = time.Now().UnixNano(), r.counts, r.homed, r.removed
	r.next = Batch{}
	return b
}

// tell writes batches until stopped, and one more then.
func (r *recorder) tell(w io.Writer, stop <-chan struct{}) error {
	out := json.NewEncoder(w)
	ticker := time.NewTicker(batchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return out.Encode(r.take())
		}
		if err := out.Encode(r.take()); err != nil {
			return err
		}
	}
}
