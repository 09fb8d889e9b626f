package loadtest

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Event is the start of a task on a machine or its end.
type Event struct {
	At      int64  `json:"at"` // Unix time, ns
	Start   bool   `json:"start,omitempty"`
	Task    string `json:"task"`
	Machine string `json:"machine"`
	Done    bool   `json:"done,omitempty"` // an end because the task completed
}

// Counts counts the messages of an agent process's agents, and their expired leases, since the process started.
type Counts struct {
	Heartbeats     int64 `json:"reports"`
	Answered       int64 `json:"answered"` // with 200
	Redirected     int64 `json:"moved"`    // redirected to another controller
	Failed         int64 `json:"failed"`   // any other status, or no answer
	Expired        int64 `json:"expired"`  // agents' leases that expired
	HeartbeatBytes int64 `json:"report_bytes"`
	AnswerBytes    int64 `json:"answer_bytes"`
	Commands       int64 `json:"commands"` // requests with direct commands
	CommandBytes   int64 `json:"command_bytes"`
	ResultBytes    int64 `json:"result_bytes"` // of the answers to commands
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

// Batch is what happened in an agent process since its previous batch.
type Batch struct {
	Until     int64   `json:"until"` // all events before this time have been reported
	Events    []Event `json:"events,omitempty"`
	Counts    Counts  `json:"counts"`
	Latencies []int64 `json:"waits,omitempty"` // from a heartbeat to its answer, µs
	Connected int     `json:"homed"`           // agents whose last heartbeat was answered
	Removed   int     `json:"removed"`         // machines removed so far
}

// batchInterval is how often an agent process writes a batch.
const batchInterval = 200 * time.Millisecond

// recorder collects an agent process's next batch.
type recorder struct {
	mu        sync.Mutex
	next      Batch
	counts    Counts
	connected int
	removed   int
}

func (r *recorder) recordEvent(start bool, task, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next.Events = append(r.next.Events, Event{At: time.Now().UnixNano(), Start: start, Task: task, Machine: machine, Done: done})
}

func (r *recorder) addCounts(c Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.add(c, 1)
}

func (r *recorder) recordLatency(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next.Latencies = append(r.next.Latencies, d.Microseconds())
}

func (r *recorder) addConnected(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connected += by
}

func (r *recorder) countRemoved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed++
}

// takeBatch returns the batch up to now and begins the next.
func (r *recorder) takeBatch() Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.next
	b.Until, b.Counts, b.Connected, b.Removed = time.Now().UnixNano(), r.counts, r.connected, r.removed
	r.next = Batch{}
	return b
}

// writeBatches writes batches until stop closes, and then a last one.
func (r *recorder) writeBatches(w io.Writer, stop <-chan struct{}) error {
	out := json.NewEncoder(w)
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return out.Encode(r.takeBatch())
		}
		if err := out.Encode(r.takeBatch()); err != nil {
			return err
		}
	}
}
