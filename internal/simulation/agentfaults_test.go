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

// agentTest is one simulated agent with a controller that answers each heartbeat with a fencing token only.
type agentTest struct {
	t          *testing.T
	agent      *Agent
	checker    *Checker
	heartbeats chan protocol.Heartbeat
}

func newAgentTest(t *testing.T, lease time.Duration) *agentTest {
	a := &agentTest{t: t, checker: NewChecker(map[string]float64{"red": 4}), heartbeats: make(chan protocol.Heartbeat, 1000)}
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var heartbeat protocol.Heartbeat
		read(r, &heartbeat)
		a.heartbeats <- heartbeat
		reply(w, 200, protocol.HeartbeatAnswer{FencingToken: 1})
	}))
	per := AgentConfig{Heartbeat: 20 * time.Millisecond, Lease: lease, Run: func(string) time.Duration { return time.Hour }}
	addr := controller.Listener.Addr().String()
	agent, err := NewAgent("n-1", "m8", "east", false, map[string]string{"a": addr}, []string{"a"}, per, a.checker)
	if err != nil {
		t.Fatal(err)
	}
	a.agent = agent
	t.Cleanup(func() { agent.RemoveMachine(); controller.Close() })
	a.checker.RecordSubmission(&protocol.Submission{UID: "job-1", Team: "red", Kind: protocol.JobArray, Tasks: 2, CPUs: 4, CheckpointEverySeconds: 1, CheckpointSeconds: 0.2})
	return a
}

// command sends one direct command and reports whether it was answered with 200 within 50 ms.
func (a *agentTest) command(op protocol.CommandOp, index int, grace float64) (answered bool) {
	a.agent.mu.Lock()
	incarnation := a.agent.incarnation
	a.agent.mu.Unlock()
	d := protocol.DirectCommands{FencingToken: 1, Incarnation: incarnation, Commands: []protocol.Command{{Op: op, Task: protocol.TaskName("job-1", index), Attempt: 1, GraceSeconds: &grace}}}
	ctx, cancel := context.WithTimeout(a.t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+a.agent.Addr()+protocol.PathCommands, bytes.NewReader(protocol.Encode(d)))
	if err != nil {
		a.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// until waits for a condition and fails the test after 20 s; what describes the condition.
func (a *agentTest) until(what string, holds func() bool) {
	a.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			a.t.Fatalf("timed out waiting until: %s", what)
		}
	}
}

// TestDelayedCommandsAreExecutedOnce delays a command: it must stay unanswered and be executed once, later.
func TestDelayedCommandsAreExecutedOnce(t *testing.T) {
	b := newAgentTest(t, time.Hour)
	b.agent.DelayCommands(func(*protocol.DirectCommands) time.Duration { return 200 * time.Millisecond })
	if b.command(protocol.Start, 0, 0) || b.checker.CountRunning() != 0 {
		t.Fatal("a delayed command was answered or executed immediately")
	}
	b.until("the command is executed", func() bool { return b.checker.CountRunning() == 1 })
	b.agent.DelayCommands(nil)
	if _, executed, rejected := b.agent.CountDelayedCommands(); executed != 1 || rejected != 0 || b.checker.Starts() != 1 {
		t.Errorf("executed %d, rejected %d, started %d", executed, rejected, b.checker.Starts())
	}
}

// TestHangingMachineResumes resumes a hanging machine: within its lease it must execute the commands received
// meanwhile, after the lease expired it must reject them.
func TestHangingMachineResumes(t *testing.T) {
	for name, lease := range map[string]time.Duration{"within its lease": time.Hour, "after it": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			b := newAgentTest(t, lease)
			b.until("heartbeats arrived", func() bool { return len(b.heartbeats) > 2 })
			b.agent.Hang(true)
			if b.command(protocol.Start, 0, 0) {
				t.Fatal("a hanging machine answered")
			}
			if lease < time.Hour {
				b.until("the lease expired", func() bool { b.agent.mu.Lock(); defer b.agent.mu.Unlock(); return b.agent.incarnation > 1 })
			}
			b.agent.Hang(false)
			_, executed, rejected := b.agent.CountDelayedCommands()
			if want := lease == time.Hour; (executed == 1) != want || (rejected == 1) == want || (b.checker.CountRunning() == 1) != want {
				t.Errorf("executed %d, rejected %d, on the machine %d", executed, rejected, b.checker.CountRunning())
			}
		})
	}
}

// TestMachineWithDroppedHeartbeatsExecutesCommands drops a machine's heartbeats: direct commands must still be
// executed, and the lease must expire.
func TestMachineWithDroppedHeartbeatsExecutesCommands(t *testing.T) {
	b := newAgentTest(t, 300*time.Millisecond)
	b.until("heartbeats arrived", func() bool { return len(b.heartbeats) > 2 })
	b.agent.DropHeartbeats(true)
	b.until("a direct command is executed", func() bool { return b.command(protocol.Start, 0, 0) && b.checker.Starts() > 0 })
	b.until("the lease expired", func() bool { return b.checker.CountRunning() == 0 })
}

// TestSavingTaskCounts: a task that saves a checkpoint stays on its machine and counts against its team's limit until
// the checkpoint is saved.
func TestSavingTaskCounts(t *testing.T) {
	b := newAgentTest(t, time.Hour)
	b.command(protocol.Start, 0, 0)
	b.command(protocol.Stop, 0, 5)
	if b.checker.CountRunning() != 1 {
		t.Fatal("a task that may save a checkpoint ended immediately")
	}
	b.command(protocol.Start, 1, 0)
	if rules := b.checker.BrokenRules(); len(rules) != 1 {
		t.Errorf("a start beside a saving task exceeds the limit, recorded violations: %v", rules)
	}
	b.until("the checkpoint is saved", func() bool { return b.checker.CountRunning() == 1 })
	b.command(protocol.Stop, 1, 0)
	if b.checker.CountRunning() != 0 {
		t.Error("a stop without grace did not end the task immediately")
	}
}

// TestHeldHeartbeatArrivesLater: held heartbeats must arrive when they are delivered, with their original sequence
// numbers.
func TestHeldHeartbeatArrivesLater(t *testing.T) {
	b := newAgentTest(t, time.Hour)
	b.agent.HoldHeartbeats(1)
	b.until("a heartbeat is held", func() bool { return b.agent.CountHeld() == 1 })
	newest := uint64(0)
	b.until("a later heartbeat arrived", func() bool { r := <-b.heartbeats; newest = max(newest, r.Seq); return r.Seq > 3 })
	if b.agent.DeliverHeld("a") != 1 {
		t.Fatal("nothing was delivered")
	}
	b.until("the held heartbeat arrived", func() bool { r := <-b.heartbeats; return r.Seq < newest })
}

// TestUnansweredTransactionIsApplied: a transaction whose answer is dropped must be applied immediately and stay
// unanswered.
func TestUnansweredTransactionIsApplied(t *testing.T) {
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
		t.Errorf("%d keys, %d transactions unanswered", s.CountKeys(""), len(d.UnansweredTransactions()))
	}
}
