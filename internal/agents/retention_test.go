package agents

import (
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// exited returns the list entry of an attempt that has exited.
func exited(o jobstate.Order) protocol.TaskStatus {
	return protocol.TaskStatus{Task: protocol.TaskName(o.Job, o.Index), Attempt: o.Attempt, State: protocol.Exited, Reason: protocol.ReasonError}
}

// TestCopyOfAnsweredStartFindsItsAttemptListed guards against forgetting an attempt while a copy of its start, which was
// executed and answered, may still arrive and run the task again.
func TestCopyOfAnsweredStartFindsItsAttemptListed(t *testing.T) {
	for name, send := range map[string]func(registry *Registry, agent *Agent, o jobstate.Order){
		"sent by a request": func(registry *Registry, agent *Agent, o jobstate.Order) {
			registry.QueueOrders(1, "m", []jobstate.Order{o})
			agent.FinishRequest(agent.TakeForRequest(), true, true)
		},
		"sent by an earlier process of this home": func(*Registry, *Agent, jobstate.Order) {},
	} {
		registry, agent := newTestRegistry(t)
		o := startOf("job-1")
		o.Attempt = jobstate.AttemptID(1, 5)
		send(registry, agent, o)
		registry.ApplyHeartbeat(testHeartbeat(2, exited(o)), time.Unix(2, 0))
		o.Op = protocol.Forget
		registry.QueueOrders(1, "m", []jobstate.Order{o})
		if commands := agent.TakeForAnswer(); len(commands) != 0 {
			t.Errorf("%s: answers %v under the term of the start", name, commands)
		}
		if !registry.RetainsExits() {
			t.Errorf("%s: the exited attempt does not count as retained", name)
		}
		registry.SetTerm(2, func(string) bool { return true })
		registry.QueueOrders(2, "m", []jobstate.Order{o})
		if commands := agent.TakeForAnswer(); len(commands) != 1 || commands[0].Op != protocol.Forget {
			t.Errorf("%s: answers %v under a later term", name, commands)
		}
		if registry.RetainsExits() {
			t.Errorf("%s: the attempt counts as retained under a later term", name)
		}
	}
}

// TestRetainedExitsCrowdAList: half of the list taken by retained exits counts as crowded, until the machine is gone.
func TestRetainedExitsCrowdAList(t *testing.T) {
	registry, _ := newTestRegistry(t)
	h := testHeartbeat(2)
	size := 0
	for i := 0; size <= protocol.MaxListedBytes/2; i++ {
		if registry.HasCrowdedList() {
			t.Fatalf("crowded by %d bytes", size)
		}
		task := exited(jobstate.Order{TaskID: jobstate.TaskID{Job: "job-000001", Index: i}, Attempt: jobstate.AttemptID(1, uint64(i))})
		size += protocol.ListedBytes(len(task.Task))
		h.Seq++
		h.Tasks = append(h.Tasks, task)
		next := *h
		registry.ApplyHeartbeat(&next, time.Unix(2, 0))
	}
	if !registry.HasCrowdedList() {
		t.Errorf("not crowded by %d bytes", size)
	}
	if registry.Drop("m"); registry.HasCrowdedList() || registry.RetainsExits() {
		t.Error("a machine that is gone has a crowded list")
	}
}

// TestUnsentStartsAreBarredInTheNextTerm: the owner of a start that was queued when the term was raised is told that it
// was never sent; one that was sent stays open.
func TestUnsentStartsAreBarredInTheNextTerm(t *testing.T) {
	registry, agent := newTestRegistry(t)
	sent, queued := startOf("job-1"), startOf("job-2")
	registry.QueueOrders(1, "m", []jobstate.Order{sent})
	agent.TakeForRequest()
	registry.QueueOrders(1, "m", []jobstate.Order{queued})
	registry.SetTerm(2, func(string) bool { return true })
	if v := registry.Status("m"); len(v.Barred) != 1 || v.Barred[0] != queued.Ref() {
		t.Errorf("reported as never sent: %v, want only %v", v.Barred, queued.Ref())
	}
	if registry.SetTerm(3, func(string) bool { return true }); len(registry.Status("m").Barred) != 0 {
		t.Error("reported as never sent in every later term")
	}
}
