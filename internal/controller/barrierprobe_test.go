package controller

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// TestBarrierProbe: after a restart of all controllers, the barrier waited for each machine's next report, and for each
// dead machine until it was detected. A probe must make a machine report under the term at once, whatever its
// incarnation, without a command and without a second probe; a machine that does not answer must be listed. Machines of
// other homes are not probed, and a controller that is not entitled probes none.
func TestBarrierProbe(t *testing.T) {
	check := simulation.NewChecker(map[string]float64{"red": 8})
	per := simulation.AgentConfig{Heartbeat: time.Hour, Lease: time.Hour, Run: func(string) time.Duration { return time.Hour }}
	addrs := map[string]string{}
	workers := map[string]*simulation.Agent{}
	for i := range 12 {
		name := fmt.Sprintf("n-%06d", i)
		w, err := simulation.NewAgent(name, "m8", "east", false, map[string]string{"a": "127.0.0.1:1"}, []string{"a"}, per, check)
		if err != nil {
			t.Fatal(err)
		}
		defer w.RemoveMachine()
		if i%3 == 0 {
			w.BeginIncarnation()
		}
		workers[name], addrs[name] = w, w.Addr()
	}
	addrs["n-000099"] = "127.0.0.1:1" // nothing listens there
	addrs["n-000098"] = addrs["n-000001"]
	n := New(&settings.Settings{Name: "node-a", Peers: []settings.Peer{{Name: "node-b"}}, Deployment: settings.Deployment{Zones: []string{"east"}, Teams: []settings.Team{{Name: "red", CPUsMax: 8}},
		KVStore: settings.KVStore{RequestsPerSecond: 9, ChangesPerSecond: 9, ChangesPerTransaction: 4, ValueKB: 4}, Cloud: settings.Cloud{RequestsPerSecond: 1}}}, settings.DefaultOptions(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.group, n.ctx = &errgroup.Group{}, ctx
	learnRecord(n, newStoppedNode("127.0.0.1:1").leadership.Record())
	n.leadership.Record().Nodes = map[string]uint64{"node-a": n.incarnation, "node-b": 1}
	n.agents.SetTerm(5, func(string) bool { return true })
	probe := func() {
		n.mu.Lock()
		n.onProbe(addrs, time.Now())
		n.mu.Unlock()
		if err := n.group.Wait(); err != nil {
			t.Fatal(err)
		}
		n.group = &errgroup.Group{}
	}
	probe()
	for name, m := range n.machines {
		if m.status != nil {
			t.Fatalf("%s was probed without being entitled", name)
		}
	}
	n.leadership.LeaseRenewed(time.Now())
	probe()
	for name := range workers {
		m := n.machines[name]
		mine := n.leadership.Record().Home(name) == n.name
		if known := m != nil && m.status != nil && m.status.FencingToken == 5; known != mine {
			t.Errorf("%s: homed here %v, known under the term %v", name, mine, known)
		}
	}
	var unanswered []string
	for _, name := range []string{"n-000098", "n-000099"} { // another machine's address, and one where nothing listens
		if n.leadership.Record().Home(name) == n.name {
			unanswered = append(unanswered, name)
		}
	}
	if got := n.unansweredProbes(); !slices.Equal(got, unanswered) {
		t.Errorf("unanswered probes are of %v, want %v", got, unanswered)
	}
	seq := map[string]uint64{}
	for name, m := range n.machines {
		if m.status != nil {
			seq[name] = m.status.Seq
		}
	}
	probe()
	for name, m := range n.machines {
		if m.status != nil && m.status.Seq != seq[name] {
			t.Errorf("%s was probed again", name)
		}
	}
	if len(seq) < 2 || len(check.BrokenRules()) > 0 || check.Started > 0 {
		t.Errorf("%d machines known, rules %v, %d starts", len(seq), check.BrokenRules(), check.Started)
	}
	n.applyHeartbeat(&protocol.Heartbeat{Machine: "n-000099", Incarnation: 1, Seq: 1, FencingToken: 5, Tasks: []protocol.TaskStatus{}}, time.Now())
	if got := n.unansweredProbes(); slices.Contains(got, "n-000099") {
		t.Errorf("unanswered although it reported since: %v", got)
	}
}
