package controller

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
	"topazhollow/internal/userapi"
)

// bare is a controller of team red that runs none of its duties.
func bare(addr string) *Node {
	s := &settings.Settings{Name: "node-a", Outside: settings.Outside{State: addr},
		Deployment: settings.Deployment{Teams: []settings.Team{{Name: "red", CPUsMax: 8}},
			State: settings.State{RPS: 2000, WriteRPS: 2000, TxnOps: 8, ValueKB: 8}, Cloud: settings.Cloud{RPS: 1}}}
	n := New(s, settings.DefaultOptions(), slog.New(slog.DiscardHandler))
	n.record = (&leadership.Record{Term: 5}).Clone()
	return n
}

// TestSyncedSeesEarlierChanges: what a user was told by one controller, another
// must know when it answers a request that came later, even if its watch lags.
// Many ask at once; each must see at least what was written before it asked.
func TestWaitForChangesSeesEarlierChanges(t *testing.T) {
	srv, err := simulation.NewState(8, 16)
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	n := bare(srv.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	n.group, n.ctx = group, ctx
	n.watchedKeysRead = true // of an empty store; nothing follows the watch
	other := kvstore.New(srv.Addr(), settings.State{RPS: 2000, WriteRPS: 2000, TxnOps: 8, ValueKB: 8}, 1)
	group.Go(func() error { return other.Run(ctx) })
	group.Go(func() error { return n.readChangesOnRequest(ctx) })
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			spec := array(i, 1, "red")
			key := userapi.JobKey + spec.UID
			know := func(want bool) {
				if err := n.waitForChanges(ctx); err != nil {
					t.Error(err)
				}
				n.mu.Lock()
				defer n.mu.Unlock()
				if j := n.jobs[spec.UID]; (j != nil && j.active) != want {
					t.Errorf("%s active: %v, want %v", spec.UID, !want, want)
				}
			}
			know(false)
			if _, err := other.Commit(ctx, kvstore.Update{Ops: []protocol.Op{{Set: key, Value: protocol.Encode(userapi.Stored{Spec: spec})}}}); err != nil {
				t.Error(err)
			}
			know(true)
			if _, err := other.Commit(ctx, kvstore.Update{Ops: []protocol.Op{{Delete: key}}}); err != nil {
				t.Error(err)
			}
			know(false)
		}()
	}
	wg.Wait()
}

// TestInSyncOwnerBegins: a successor in sync once read the state service before it
// placed anything, behind users' polls; it lost the service meanwhile, nobody was
// in sync any more, and the next owner stood at the full barrier. It must begin
// with what it has, while one that is not in sync must not. A hold on a machine
// that is not on the roster ends only once the roster is surely up to date.
func TestInSyncOwnerBegins(t *testing.T) {
	for _, blind := range []bool{false, true} {
		n := bare("127.0.0.1:1") // nobody answers
		ctx, cancel := context.WithCancel(context.Background())
		name := shards.ForTeam("red")
		rep := jobstate.NewReplica()
		hold := jobstate.Assignment{TaskID: jobstate.TaskID{Job: "job-1", Index: 0}, Attempt: jobstate.AttemptID(4, 1), Machine: "n-1", Incarnation: 1, CPUs: 2}
		rep.Assignments[hold.TaskID] = hold
		it := ownedShard(n, name, 5, blind, rep)
		n.learnJob(userapi.Stored{Spec: array(1, 3, "red")}, 1)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			n.load(ctx, it, 0)
		}()
		<-n.syncRequests // it asks the state service, in vain
		n.mu.Lock()
		if (it.IsReady()) == blind {
			t.Errorf("in sync: %v, phase %s", !blind, it.Phase())
		}
		if held, _ := it.Team().Held(); held != 1 {
			t.Errorf("in sync: %v, a hold ended though the roster may be old", !blind)
		}
		n.pagesLoaded(it, nil) // the answer, that there are no pages and no machines
		if held, _ := it.Team().Held(); held != 0 || !it.IsReady() {
			t.Errorf("in sync: %v, %d holds on machines struck off, phase %s", !blind, held, it.Phase())
		}
		n.mu.Unlock()
		cancel()
		<-ended
	}
}

// TestRosterWholeBeforeItsLists: an owner that started after a loss of data looked at a roster with holes; then
// the record said that the roster is whole, before the lists came that fill the holes, and the owner waited
// for nobody: tasks that still ran were started again. A hold must not end by such a roster either.
func TestRosterWholeBeforeItsLists(t *testing.T) {
	for _, blind := range []bool{false, true} {
		n := bare("127.0.0.1:1") // nobody answers
		ctx, cancel := context.WithCancel(context.Background())
		n.ctx, n.group = ctx, &errgroup.Group{}
		name := shards.ForTeam("red")
		r := (&leadership.Record{Term: 5, FirstTerm: 5, Epoch: 2, RosterIncomplete: true}).Clone()
		r.Nodes["node-a"], r.Nodes["node-b"] = n.incarnation, 1
		r.Shards[name] = leadership.Shard{Owner: "node-a", SinceTerm: 5, NeedsBarrier: blind}
		n.record, n.recordVersion = r, 7
		rep, want := jobstate.NewReplica(), 0
		hold := jobstate.Assignment{TaskID: jobstate.TaskID{Job: "job-000001", Index: 0}, Attempt: jobstate.AttemptID(4, 1), Machine: "n-1", Incarnation: 1, CPUs: 2}
		if !blind {
			rep.Assignments[hold.TaskID], want = hold, 1
		}
		n.learnJob(userapi.Stored{Spec: array(1, 3, "red")}, 1)
		n.peers["node-b"] = &peerState{connected: true, lastMessageAt: time.Now()}
		n.recovery.gathering.Begin(2, []string{"node-b"}) // it is yet to tell what it remembers
		it := ownedShard(n, name, 5, blind, rep)
		n.mu.Lock()
		n.pagesLoaded(it, nil)
		if it.Phase() != shards.Barrier || it.AwaitedCount() != 0 {
			t.Fatalf("blind %t: phase %s, waits for %d machines", blind, it.Phase(), it.AwaitedCount())
		}
		whole := r.Clone()
		whole.RosterIncomplete = false
		n.adopt(whole, 9)
		n.recovery.gathering.MemoriesAnswered("node-b")
		n.recovery.gathering.AnswerReceived("node-b", 2)
		if it.Phase() == shards.Barrier { // as by a report
			n.passBarrier(it)
		}
		if held, _ := it.Team().Held(); held != want || blind && it.IsReady() {
			t.Errorf("blind %t: %d holds left, phase %s before the lists of machines came", blind, held, it.Phase())
		}
		n.roster.ApplyList(machineKey+"node-b/0", 8, agents.RosterValue{Names: []string{"n-1"}})
		n.pagesLoaded(it, nil) // the answer to a read that began after the record came
		if held, _ := it.Team().Held(); held != want {
			t.Errorf("blind %t: a hold ended on a machine that is on the roster", blind)
		}
		if blind && (it.Phase() != shards.Barrier || !it.Awaits("n-1")) {
			t.Errorf("phase %s, waits for %d machines, not for the machine that is on the roster", it.Phase(), it.AwaitedCount())
		}
		n.mu.Unlock()
		cancel()
		_ = n.group.Wait()
	}
}

// TestSharedPageSurvivesTakeOver: two jobs' finished tasks share a page; an owner
// that takes over must find both, and its own writes must keep them.
func TestSharedPageSurvivesTakeOver(t *testing.T) {
	n := bare("127.0.0.1:1")
	name := shards.ForTeam("red")
	store := map[string]protocol.Entry{}
	for round := range 4 {
		it := readyShard(n, name, uint64(round+1))
		var entries []protocol.Entry
		for _, e := range store {
			entries = append(entries, e)
		}
		for i := range 2 {
			spec := array(i, 10, "red")
			n.jobs[spec.UID] = &job{spec: spec, active: true}
			it.Team().AddJob(spec, 1, n.startedAt, nil)
		}
		n.pagesLoaded(it, entries)
		for i := range 2 {
			if done, _ := it.Team().Progress(fmt.Sprintf("job-%06d", i)); done != round {
				t.Fatalf("round %d: %d tasks of job %d are known to be done", round, done, i)
			}
		}
		for i := range 2 { // one more task of each completes, job 1 is written first
			uid := fmt.Sprintf("job-%06d", 1-i)
			v := &jobstate.MachineStatus{Machine: "m", Incarnation: 1, Tasks: []jobstate.TaskStatus{{TaskID: jobstate.TaskID{Job: uid, Index: round}, Attempt: 1, State: protocol.Exited, Why: protocol.ReasonDone}}}
			it.Team().Observe(v, n.startedAt, teamKnowledge{n, "red"})
			pages, due := it.BeginSaving()
			if !due {
				t.Fatalf("round %d: nothing is to be written", round)
			}
			for _, p := range pages {
				key := it.Pages().Key(p.Number)
				store[key] = protocol.Entry{Key: key, Value: protocol.Encode(p.Parts), Version: p.Version + 1}
				it.Pages().Saved(p, p.Version+1)
			}
			it.Pages().SavingEnded()
		}
	}
}
