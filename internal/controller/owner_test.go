package controller

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// TestInSyncOwnerBeginsWithoutStateService: a successor in sync read the state service before it placed any task,
// queued behind users' polls. When it lost its connection to the service meanwhile, no controller was in sync any more,
// and the next owner had to wait at the full barrier. A successor in sync must begin with its replica, while one that
// is not in sync must not. An assignment to a machine that is not on the roster ends only once the roster is known to
// be up to date.
func TestInSyncOwnerBeginsWithoutStateService(t *testing.T) {
	for _, needsBarrier := range []bool{false, true} {
		n := newStoppedNode("127.0.0.1:1") // nothing listens there
		ctx, cancel := context.WithCancel(context.Background())
		name := shards.ForTeam("red")
		replica := jobstate.NewReplica()
		assignment := jobstate.Assignment{TaskID: jobstate.TaskID{Job: "job-1", Index: 0}, Attempt: jobstate.AttemptID(4, 1), Machine: "n-1", Incarnation: 1, CPUs: 2}
		replica.Assignments[assignment.TaskID] = assignment
		shard := ownedShard(n, name, 5, needsBarrier, replica)
		n.learnJob(userapi.ActiveJob{Spec: arrayJob(1, 3, "red")}, 1)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			n.loadShard(ctx, shard, 0)
		}()
		<-n.changeReads.requested // it sends a request to the state service, which does not answer
		n.mu.Lock()
		if shard.IsReady() == needsBarrier {
			t.Errorf("in sync: %v, phase %s", !needsBarrier, shard.Phase())
		}
		if held, _ := shard.Team().Assignments().Count(); held != 1 {
			t.Errorf("in sync: %v, an assignment ended although the roster may be out of date", !needsBarrier)
		}
		n.pagesLoaded(shard, nil) // the answer: no pages and no machines
		if held, _ := shard.Team().Assignments().Count(); held != 0 || !shard.IsReady() {
			t.Errorf("in sync: %v, %d assignments to removed machines, phase %s", !needsBarrier, held, shard.Phase())
		}
		n.mu.Unlock()
		cancel()
		<-ended
	}
}

// TestRosterCompleteBeforeItsListsArrive: an owner that started after a loss of data read an incomplete roster. Then
// the record marked the roster as complete before the lists that complete it had arrived, and the owner awaited no
// machine: tasks that were running were started again. Nor may an assignment end because of such a roster.
func TestRosterCompleteBeforeItsListsArrive(t *testing.T) {
	for _, needsBarrier := range []bool{false, true} {
		n := newStoppedNode("127.0.0.1:1") // nothing listens there
		ctx, cancel := context.WithCancel(context.Background())
		n.ctx, n.group = ctx, &errgroup.Group{}
		name := shards.ForTeam("red")
		r := (&leadership.Record{Term: 5, FirstTerm: 5, Epoch: 2, RosterIncomplete: true}).Clone()
		r.Nodes["node-a"], r.Nodes["node-b"] = n.incarnation, 1
		r.Shards[name] = leadership.Shard{Owner: "node-a", SinceTerm: 5, NeedsBarrier: needsBarrier}
		n.leadership.Adopt(r, 7, time.Now())
		replica, want := jobstate.NewReplica(), 0
		assignment := jobstate.Assignment{TaskID: jobstate.TaskID{Job: "job-000001", Index: 0}, Attempt: jobstate.AttemptID(4, 1), Machine: "n-1", Incarnation: 1, CPUs: 2}
		if !needsBarrier {
			replica.Assignments[assignment.TaskID], want = assignment, 1
		}
		n.learnJob(userapi.ActiveJob{Spec: arrayJob(1, 3, "red")}, 1)
		n.peers["node-b"] = &peerState{connected: true, lastMessageAt: time.Now()}
		n.recovery.gathering.Begin(2, []string{"node-b"}) // its retained state is awaited
		shard := ownedShard(n, name, 5, needsBarrier, replica)
		n.mu.Lock()
		n.pagesLoaded(shard, nil)
		if shard.Phase() != shards.Barrier || shard.AwaitedCount() != 0 {
			t.Fatalf("needs the barrier %t: phase %s, awaits %d machines", needsBarrier, shard.Phase(), shard.AwaitedCount())
		}
		complete := r.Clone()
		complete.RosterIncomplete = false
		n.adopt(complete, 9)
		n.recovery.gathering.StateAnswered("node-b")
		n.recovery.gathering.AnswerReceived("node-b", 2)
		if shard.Phase() == shards.Barrier { // as after a report
			n.passBarrier(shard)
		}
		if held, _ := shard.Team().Assignments().Count(); held != want || needsBarrier && shard.IsReady() {
			t.Errorf("needs the barrier %t: %d assignments left, phase %s before the roster lists arrived", needsBarrier, held, shard.Phase())
		}
		n.roster.ApplyList(rosterPrefix+"node-b/0", 8, agents.RosterValue{Names: []string{"n-1"}})
		n.pagesLoaded(shard, nil) // the answer to a read that began after the record arrived
		if held, _ := shard.Team().Assignments().Count(); held != want {
			t.Errorf("needs the barrier %t: an assignment ended on a machine that is on the roster", needsBarrier)
		}
		if needsBarrier && (shard.Phase() != shards.Barrier || !shard.Awaits("n-1")) {
			t.Errorf("phase %s, awaits %d machines, but not the one on the roster", shard.Phase(), shard.AwaitedCount())
		}
		n.mu.Unlock()
		cancel()
		_ = n.group.Wait()
	}
}
