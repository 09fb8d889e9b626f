package simulation

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// bench is one simulated agent below a controller that only answers with a token.
type bench struct {
	t       *testing.T
	w       *Agent
	check   *Checker
	reports chan protocol.Heartbeat
}

func newBench(t *testing.T, lease time.Duration) *bench {
	b := &bench{t: t, check: NewChecker(map[string]float64{"red": 4}), reports: make(chan protocol.Heartbeat, 1000)}
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var report protocol.Heartbeat
		read(r, &report)
		b.reports <- report
		reply(w, 200, protocol.HeartbeatAnswer{FencingToken: 1})
	}))
	per := AgentConfig{Heartbeat: 20 * time.Millisecond, Lease: lease, Run: func(string) time.Duration { return time.Hour }}
	addr := controller.Listener.Addr().String()
	w, err := NewAgent("n-1", "m8", "east", false, map[string]string{"a": addr}, []string{"a"}, per, b.check)
	if err != nil {
		t.Fatal(err)
	}
	b.w = w
	t.Cleanup(func() { w.RemoveMachine(); controller.Close() })
	b.check.RecordSubmission(&protocol.Submission{UID: "job-1", Team: "red", Kind: protocol.JobArray, Tasks: 2, CPUs: 4, CheckpointEverySeconds: 1, CheckpointSeconds: 0.2})
	return b
}

// command sends one direct command; answered says whether it got an answer in time.
func (b *bench) command(op protocol.CommandOp, index int, grace float64) (answered bool) {
	b.w.mu.Lock()
	session := b.w.session
	b.w.mu.Unlock()
	d := protocol.DirectCommands{FencingToken: 1, Incarnation: session, Commands: []protocol.Command{{Op: op, Task: protocol.TaskName("job-1", index), Attempt: 1, GraceSeconds: &grace}}}
	ctx, cancel := context.WithTimeout(b.t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+b.w.Addr()+protocol.PathCommands, bytes.NewReader(protocol.Encode(d)))
	if err != nil {
		b.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *bench) until(what string, holds func() bool) {
	b.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("never came true: %s", what)
		}
	}
}

// TestSlowCommandsAreExecutedOnce: a command that is held up gets no answer and is executed later.
func TestSlowCommandsAreExecutedOnce(t *testing.T) {
	b := newBench(t, time.Hour)
	b.w.DelayCommands(func(*protocol.DirectCommands) time.Duration { return 200 * time.Millisecond })
	if b.command(protocol.Start, 0, 0) || b.check.CountRunning() != 0 {
		t.Fatal("a command that is held up was answered or executed at once")
	}
	b.until("executed", func() bool { return b.check.CountRunning() == 1 })
	b.w.DelayCommands(nil)
	if _, obeyed, outdated := b.w.CountDelayedCommands(); obeyed != 1 || outdated != 0 || b.check.Starts() != 1 {
		t.Errorf("obeyed %d, outdated %d, started %d", obeyed, outdated, b.check.Starts())
	}
}

// TestHungMachineGoesOn: within its lease it executes what came meanwhile; after it, nothing of that.
func TestHungMachineGoesOn(t *testing.T) {
	for name, lease := range map[string]time.Duration{"within its lease": time.Hour, "after it": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, lease)
			b.until("reported", func() bool { return len(b.reports) > 2 })
			b.w.Hang(true)
			if b.command(protocol.Start, 0, 0) {
				t.Fatal("a machine that hangs answers")
			}
			if lease < time.Hour {
				b.until("the lease is over", func() bool { b.w.mu.Lock(); defer b.w.mu.Unlock(); return b.w.session > 1 })
			}
			b.w.Hang(false)
			_, obeyed, outdated := b.w.CountDelayedCommands()
			if want := lease == time.Hour; (obeyed == 1) != want || (outdated == 1) == want || (b.check.CountRunning() == 1) != want {
				t.Errorf("obeyed %d, outdated %d, on the machine %d", obeyed, outdated, b.check.CountRunning())
			}
		})
	}
}

// TestMuteMachineObeys: no report arrives, direct commands do, and the lease runs out.
func TestMuteMachineObeys(t *testing.T) {
	b := newBench(t, 300*time.Millisecond)
	b.until("reported", func() bool { return len(b.reports) > 2 })
	b.w.DropHeartbeats(true)
	b.until("it obeys", func() bool { return b.command(protocol.Start, 0, 0) && b.check.Starts() > 0 })
	b.until("its lease ends", func() bool { return b.check.CountRunning() == 0 })
}

// TestSavingTaskCounts: a task that saves is on its machine and counts for its team until it has saved.
func TestSavingTaskCounts(t *testing.T) {
	b := newBench(t, time.Hour)
	b.command(protocol.Start, 0, 0)
	b.command(protocol.Stop, 0, 5)
	if b.check.CountRunning() != 1 {
		t.Fatal("a task that can save and may is gone at once")
	}
	b.command(protocol.Start, 1, 0)
	if rules := b.check.BrokenRules(); len(rules) != 1 {
		t.Errorf("a start beside a task that saves is beyond the limit: %v", rules)
	}
	b.until("saved", func() bool { return b.check.CountRunning() == 1 })
	b.command(protocol.Stop, 1, 0)
	if b.check.CountRunning() != 0 {
		t.Error("a stop without grace does not end a task at once")
	}
}

// TestHeldReportArrivesLater: reports that are held up come when they are delivered, with their old sequence.
func TestHeldReportArrivesLater(t *testing.T) {
	b := newBench(t, time.Hour)
	b.w.HoldHeartbeats(1)
	b.until("held", func() bool { return b.w.CountHeld() == 1 })
	newest := uint64(0)
	b.until("a later one arrived", func() bool { r := <-b.reports; newest = max(newest, r.Seq); return r.Seq > 3 })
	if b.w.DeliverHeld("a") != 1 {
		t.Fatal("nothing was delivered")
	}
	b.until("the older one arrived", func() bool { r := <-b.reports; return r.Seq < newest })
}

// TestLostAnswerIsCarriedOut: the transaction counts at once, and its sender gets no answer.
func TestLostAnswerIsCarriedOut(t *testing.T) {
	s, err := NewKVStore(16, 16)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	d, err := s.NewEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	d.DropAnswers(func(txn *protocol.Txn) bool { return txn.Then[0].Set == "a" })
	send := func(key string) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		txn := protocol.Txn{Then: []protocol.Op{{Set: key, Value: []byte("1")}}}
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+d.Addr()+"/txn", bytes.NewReader(protocol.Encode(txn)))
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	}
	if send("a") || !send("b") || s.CountKeys("") != 2 || len(d.UnansweredTransactions()) != 1 {
		t.Errorf("%d keys, %d answers lost", s.CountKeys(""), len(d.UnansweredTransactions()))
	}
}
