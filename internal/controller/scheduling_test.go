package controller

import (
	"math"
	"testing"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// TestMachinesAcceptTasksUnderNewTerm: after the term is raised, a home sends its peers the status of all its machines.
// It must update its own entries to that term as well, or it places no task on its machines until each has sent another
// heartbeat.
func TestMachinesAcceptTasksUnderNewTerm(t *testing.T) {
	g := newNodeHarness(0, 1)
	n := g.n
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agents.SetTerm(1, func(string) bool { return true })
	n.roster.ApplyList("x", 1, agents.RosterValue{Names: []string{"n-1", "n-2"}})
	for _, name := range []string{"n-1", "n-2"} {
		n.applyHeartbeat(&protocol.Heartbeat{Machine: name, Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: 1, FencingToken: 1, Tasks: []protocol.TaskStatus{}}, g.now)
	}
	if got := len(n.scheduler.Hosts((*schedulerSnapshot)(n), g.now, nil)); got != 2 {
		t.Fatalf("%d of 2 machines take tasks", got)
	}
	next := n.leadership.Record().Clone()
	next.Term++
	n.adopt(next, n.leadership.RecordVersion()+1)
	if got := len(n.scheduler.Hosts((*schedulerSnapshot)(n), g.now, nil)); got != 2 {
		t.Errorf("%d of 2 machines take tasks after the term was raised", got)
	}
	if n.agents.Changed() != 2 {
		t.Errorf("the status of %d of 2 machines is to be sent", n.agents.Changed())
	}
}

// TestRoomIsReservedForGangs: without reservations, small tasks of an array take all room as it becomes free, and gangs
// of higher priority wait until the array has ended. Room is reserved for a gang, unless all machines of a zone
// together could not hold it, it waits for its team's quota, or its priority is lower.
func TestRoomIsReservedForGangs(t *testing.T) {
	for _, c := range []struct {
		tasks    int
		priority string
		quota    float64
		reserved bool
	}{{8, "high", 1000, true}, {9, "high", 1000, false}, {8, "low", 1000, false}, {8, "high", 48, false}} {
		g := newNodeHarness(8, 2) // two of them on-demand, in one zone
		n := g.n
		n.mu.Lock()
		submit := func(spec protocol.Submission) {
			spec.MemoryGB, spec.Image, spec.EstimateSeconds, spec.OneZone = 1, "img", 40, spec.Kind == protocol.Gang
			n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.UnixMilli(), Spec: &spec}, 1)
		}
		placed := func(uid string) (count int) {
			for shard := range n.shards.All() {
				for key := range shard.Team().Replica().Assignments {
					if key.Job == uid {
						count++
					}
				}
			}
			return count
		}
		quota := n.shards.OfTeam("team-0").Team().Quota()
		limits := quota.Limits()
		limits.Max.CPUs = c.quota
		quota.SetLimits(limits)
		submit(protocol.Submission{UID: "job-000001", Team: "team-0", Kind: protocol.JobArray, Priority: "high", Tasks: 1, CPUs: 8})
		n.place(g.now)
		submit(protocol.Submission{UID: "job-000002", Team: "team-0", Kind: protocol.Gang, Priority: c.priority, Tasks: c.tasks, CPUs: 8})
		submit(protocol.Submission{UID: "job-000003", Team: "team-1", Kind: protocol.JobArray, Priority: "standard", Tasks: 40, CPUs: 1})
		n.place(g.now)
		if placed("job-000001") != 1 || placed("job-000002") != 0 {
			t.Fatalf("%+v: the gang has %d tasks placed, or the first job has none", c, placed("job-000002"))
		}
		if got := placed("job-000003"); got != 0 && c.reserved || got != 40 && !c.reserved {
			t.Errorf("%+v: %d of 40 tasks of the array were placed", c, got)
		}
		n.mu.Unlock()
		for range 70 {
			g.advanceSecond(1) // the running tasks end
		}
		n.mu.Lock()
		if done, _ := n.shards.OfTeam("team-0").Team().Progress("job-000002"); done == 0 && placed("job-000002") == 0 && c.tasks == 8 && c.quota > 64 {
			t.Errorf("%+v: the gang did not start in the room that became free", c)
		}
		n.mu.Unlock()
	}
}

// TestEvictionsReachTheOwner: each task that a scheduling pass preempts gets an order to stop from the state of
// its own team.
func TestEvictionsReachTheOwner(t *testing.T) {
	g := newNodeHarness(1, 2) // of 32 CPUs
	n := g.n
	guest := n.shards.OfTeam("team-1").Team()
	quota := guest.Quota()
	limits := quota.Limits()
	limits.Guaranteed.CPUs = 0
	quota.SetLimits(limits)
	submit := func(uid, team, priority string, tasks int, cpus float64) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.UnixMilli(), Spec: &protocol.Submission{UID: uid, Team: team, Kind: protocol.JobArray,
			Priority: priority, Tasks: tasks, CPUs: cpus, MemoryGB: 1, EstimateSeconds: 600, Spot: true}}, 1)
	}
	submit("job-000001", "team-1", "low", 8, 4)
	g.advanceSecond(2)
	submit("job-000002", "team-0", "standard", 1, 16)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.place(g.now.Add(time.Second))
	stops := 0
	for _, orders := range guest.TakeDueOrders(math.MaxUint64, g.now.Add(time.Second), func(string, uint64) bool { return true }) {
		for _, order := range orders {
			if order.Op == protocol.Stop {
				stops++
			}
		}
	}
	if stops != 4 {
		t.Errorf("%d tasks of 4 CPUs get an order to stop for one of 16", stops)
	}
}

// TestEvictionOfAnUnknownJob: an eviction whose victim's job is not known is ignored. A pass returns none, since it chooses
// only tasks of active jobs under the lock that is still held when the evictions are carried out.
func TestEvictionOfAnUnknownJob(t *testing.T) {
	n := newNodeHarness(0, 1).n
	n.mu.Lock()
	defer n.mu.Unlock()
	n.evict(evictMsg{Attempt: jobstate.AttemptRef{TaskID: jobstate.TaskID{Job: "job-000001"}, Attempt: 1}, Beneficiary: "job-000002"})
}
