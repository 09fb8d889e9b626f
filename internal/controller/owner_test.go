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

// TestInSyncOwnerBeginsWithoutStateService: a successor in sync once read the state service before it
// placed anything, behind users' polls; it lost the service meanwhile, nobody was
// in sync any more, and the next owner stood at the full barrier. It must begin
// with what it has, while one that is not in sync must not. An assignment to a machine
// that is not on the roster ends only once the roster is surely up to date.
func TestInSyncOwnerBeginsWithoutStateService(t *testing.T) {
	for _, needsBarrier := range []bool{false, true} {
		n := newStoppedNode("127.0.0.1:1") // nobody answers
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
			n.load(ctx, shard, 0)
		}()
		<-n.changeReads.requested // it asks the state service, which does not answer
		n.mu.Lock()
		if shard.IsReady() == needsBarrier {
			t.Errorf("in sync: %v, phase %s", !needsBarrier, shard.Phase())
		}
		if held, _ := shard.Team().Assignments().Count(); held != 1 {
			t.Errorf("in sync: %v, an assignment ended though the roster may be old", !needsBarrier)
		}
		n.pagesLoaded(shard, nil) // the answer, that there are no pages and no machines
		if held, _ := shard.Team().Assignments().Count(); held != 0 || !shard.IsReady() {
			t.Errorf("in sync: %v, %d assignments to machines struck off, phase %s", !needsBarrier, held, shard.Phase())
		}
		n.mu.Unlock()
		cancel()
		<-ended
	}
}

// TestRosterCompleteBeforeItsListsArrive: an owner that started after a loss of data read a roster that lacked
// machines; then the record said that the roster is complete, before the lists came that complete it, and the
// owner awaited no machine: tasks that were running were started again. An assignment must not end by such a
// roster either.
func TestRosterCompleteBeforeItsListsArrive(t *testing.T) {
	for _, needsBarrier := range []bool{false, true} {
		n := newStoppedNode("127.0.0.1:1") // nobody answers
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
		n.recovery.gathering.Begin(2, []string{"node-b"}) // it is yet to tell what it remembers
		shard := ownedShard(n, name, 5, needsBarrier, replica)
		n.mu.Lock()
		n.pagesLoaded(shard, nil)
		if shard.Phase() != shards.Barrier || shard.AwaitedCount() != 0 {
			t.Fatalf("needs the barrier %t: phase %s, waits for %d machines", needsBarrier, shard.Phase(), shard.AwaitedCount())
		}
		whole := r.Clone()
		whole.RosterIncomplete = false
		n.adopt(whole, 9)
		n.recovery.gathering.MemoriesAnswered("node-b")
		n.recovery.gathering.AnswerReceived("node-b", 2)
		if shard.Phase() == shards.Barrier { // as by a report
			n.passBarrier(shard)
		}
		if held, _ := shard.Team().Assignments().Count(); held != want || needsBarrier && shard.IsReady() {
			t.Errorf("needs the barrier %t: %d assignments left, phase %s before the lists of machines came", needsBarrier, held, shard.Phase())
		}
		n.roster.ApplyList(rosterPrefix+"node-b/0", 8, agents.RosterValue{Names: []string{"n-1"}})
		n.pagesLoaded(shard, nil) // the answer to a read that began after the record came
		if held, _ := shard.Team().Assignments().Count(); held != want {
			t.Errorf("needs the barrier %t: an assignment ended on a machine that is on the roster", needsBarrier)
		}
		if needsBarrier && (shard.Phase() != shards.Barrier || !shard.Awaits("n-1")) {
			t.Errorf("phase %s, waits for %d machines, not for the machine that is on the roster", shard.Phase(), shard.AwaitedCount())
		}
		n.mu.Unlock()
		cancel()
		_ = n.group.Wait()
	}
}
