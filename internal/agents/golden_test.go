package agents

import (
	"math"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// The golden files of this package include lists of machines in the state service. Stored lists outlive the process
// that wrote them, so their format may only be extended.

// TestGoldenRoster: the stored form of machine lists, and the older forms that must remain readable.
func TestGoldenRoster(t *testing.T) {
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "roster-full.json", Value: RosterValue{After: 412, Names: []string{"n-000198", "n-000231"}}, Full: true},
		{Name: "roster-empty.json", Value: RosterValue{Names: []string{}}},
	})
	for name, want := range map[string]RosterValue{
		"roster-full.json":  {After: 412, Names: []string{"n-000198", "n-000231"}},
		"roster-empty.json": {},
		"roster-names.json": {After: math.MaxUint64, Names: []string{"n-000198", "n-000231"}}, // format of early versions, which is only read
	} {
		got, err := DecodeRosterValue(goldentest.Read(t, name))
		if err != nil || got.After != want.After || !slices.Equal(got.Names, want.Names) {
			t.Errorf("%s: %+v, error %v, want %+v", name, got, err, want)
		}
	}
}

// TestGoldenRosterWrites: the keys and values of writes that register machines and deregister one.
func TestGoldenRosterWrites(t *testing.T) {
	r := NewRoster(64)
	w := r.PlanRegistration("w/m/estacion-1/", []string{"n-000231", "n-000198", "n-000232"})
	goldentest.Bytes(t, "write-enter.txt", []byte(w.Key+" "+string(protocol.Encode(w.Value()))+"\n"))
	if _, _, err := r.ApplyList(w.Key, 412, w.Value()); err != nil {
		t.Fatal(err)
	}
	w = r.PlanRegistration("w/m/estacion-1/", []string{"n-000232"})
	goldentest.Bytes(t, "write-enter-next.txt", []byte(w.Key+" "+string(protocol.Encode(w.Value()))+"\n"))
	w = r.PlanDeregistration(map[string]bool{"n-000231": true})[0]
	goldentest.Bytes(t, "write-strike.txt", []byte(w.Key+" "+string(protocol.Encode(w.Value()))+"\n"))
}

// TestGoldenCommands: the commands in a heartbeat answer that result from owners' orders.
func TestGoldenCommands(t *testing.T) {
	registry, agent := newTestRegistry(t)
	registry.ApplyHeartbeat(testHeartbeat(2, protocol.TaskStatus{Task: "job-1/1", Attempt: 5, State: protocol.Running}, protocol.TaskStatus{Task: "job-1/2", Attempt: 5, State: protocol.Exited, Reason: protocol.ReasonDone},
		protocol.TaskStatus{Task: "job-1/3", Attempt: 5, State: protocol.Running}), time.Unix(2, 0))
	stop := func(index int, grace float64) jobstate.Order {
		return jobstate.Order{Op: protocol.Stop, TaskID: jobstate.TaskID{Job: "job-1", Index: index}, Attempt: 5, Incarnation: 1, GraceSeconds: grace}
	}
	registry.QueueOrders(1, "m", []jobstate.Order{startOf("job-1"), stop(1, 10.5), {Op: protocol.Forget, TaskID: jobstate.TaskID{Job: "job-1", Index: 2}, Attempt: 5, Incarnation: 1}, stop(3, 0)})
	goldentest.Bytes(t, "answer.json", protocol.Encode(protocol.HeartbeatAnswer{FencingToken: 1, Commands: agent.TakeForAnswer()}))
}
