package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
	"golang.org/x/sync/errgroup"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/peer"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
)

// linkedPair is a shard's owner, node-a, and a controller with its replica, node-b, with real connections between them.
type linkedPair struct {
	owner, holder *Node
	shard         *shards.Owned
	paths         simulation.Paths
	copies        int // copies that the owner began to send in parts
}

// newLinkedPair connects the owner of one team with the holder of its replica. Only the test steps the controllers.
func newLinkedPair(t *testing.T) *linkedPair {
	p := &linkedPair{owner: newNodeHarness(1, 1).n, holder: newNodeHarness(1, 1).n, paths: simulation.Paths{}}
	p.holder.name, p.holder.incarnation = "node-b", p.owner.incarnation+1
	record := p.owner.leadership.Record().Clone()
	name := shards.ForTeam("team-0")
	record.Nodes = map[string]uint64{"node-a": p.owner.incarnation, "node-b": p.holder.incarnation}
	record.Shards[name] = leadership.Shard{Owner: "node-a", SinceTerm: 1}
	learnRecord(p.owner, record)
	newLeadership(p.holder, time.Now(), "node-a")
	learnRecord(p.holder, record)
	p.holder.leadership.LeaseRenewed(time.Now())
	p.shard = p.owner.shards.Owned(name)
	p.holder.shards.Remove(name)
	host := simulation.NewHost()
	addrs := map[string]string{}
	for _, n := range []*Node{p.owner, p.holder} {
		addr, err := host.Listen()
		if err != nil {
			t.Fatal(err)
		}
		addrs[n.name] = addr
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	for i, n := range []*Node{p.owner, p.holder} {
		other := []string{"node-b", "node-a"}[i]
		pipe, err := simulation.NewPipe(addrs[other])
		if err != nil {
			t.Fatal(err)
		}
		p.paths[[2]int{i, 1 - i}] = pipe
		n.peers = map[string]*peerState{other: {}}
		n.links = peer.New(n.name, n.incarnation, map[string]string{other: pipe.Addr()}, peerHandler{n}, slog.New(slog.DiscardHandler))
		group.Go(func() error { return n.links.Listen(ctx, addrs[n.name]) })
		group.Go(func() error { return n.links.KeepConnected(ctx, other) })
	}
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
		p.paths.Close()
	})
	return p
}

// assign adds the given number of assignments to the owner's replica, as if it had placed the tasks.
func (p *linkedPair) assign(from, count int) {
	replica := p.shard.Team().Replica()
	d := jobstate.Delta{Seq: replica.Seq + 1}
	for i := range count {
		k := jobstate.TaskID{Job: "job-000001", Index: from + i}
		d.Placed = append(d.Placed, jobstate.Assignment{TaskID: k, Attempt: 1, Machine: fmt.Sprintf("n-%06d", i%1000), CPUs: 1})
	}
	if replica.Apply(d) != nil {
		panic("the owner's delta does not follow")
	}
}

// finish marks a task as done in the owner's team.
func (p *linkedPair) finish(job string, task uint) {
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	p.shard.Team().MergeDone(job, bitset.New(task+1).Set(task))
}

// replicate sends the messages that bring the holder up to date. It reports whether the last of them is a part of a
// copy that is not the final one.
func (p *linkedPair) replicate() (partial bool) {
	messages := p.shard.Replicas().Replicate(p.owner.cluster(), time.Now())
	for _, m := range messages {
		if part, ok := m.Message.(shards.CopyPart); ok {
			partial = !part.Part.Last
			if part.Part.Number == 0 {
				p.copies++
			}
		}
	}
	p.owner.sendReplication(p.shard, messages)
	return partial
}

// replicated steps the owner's replication until the holder has acknowledged everything, or fails the test.
func (p *linkedPair) replicated(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.owner.mu.Lock()
		p.replicate()
		inSync := p.owner.syncStates(time.Now())[p.shard.Name()].InSync["node-b"]
		p.owner.mu.Unlock()
		if inSync {
			return
		}
	}
	t.Fatal("the holder never acknowledged the complete replica")
}

// TestLargeReplicaReachesItsHolder: a replica that does not fit in one message between controllers could never reach
// its holder; the link was closed and dialled again forever. It must be sent in parts, also when the connection is lost
// between them, and the holder must keep its previous replica until all parts have arrived.
func TestLargeReplicaReachesItsHolder(t *testing.T) {
	p := newLinkedPair(t)
	p.assign(0, 10)
	p.replicated(t)
	p.owner.mu.Lock()
	p.assign(10, 60000)
	p.shard.Replicas().Forget("node-b")
	partial := p.replicate()
	p.owner.mu.Unlock()
	if !partial {
		t.Fatal("60,000 tasks are sent in one part")
	}
	p.holder.mu.Lock()
	kept := len(p.holder.shards.Held().Replica(p.shard.Name()).Assignments)
	p.holder.mu.Unlock()
	if kept != 10 {
		t.Errorf("the holder has %d tasks between the parts, want the previous 10", kept)
	}
	p.finish("job-000002", 7) // a delta between the parts
	p.replicated(t)
	p.owner.mu.Lock()
	if p.copies != 1 {
		t.Errorf("%d copies were sent: the holder requested another one while it received one", p.copies)
	}
	p.shard.Replicas().Forget("node-b")
	p.replicate()
	p.owner.mu.Unlock()
	p.paths.Isolate(0, true)
	p.paths.Isolate(0, false)
	p.finish("job-000002", 8)
	p.replicated(t)
	p.owner.mu.Lock()
	p.assign(60010, 10)
	p.shard.Replicas().Forget("node-b")
	p.owner.mu.Unlock()
	p.replicated(t)
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	have := p.holder.shards.Held().Replica(p.shard.Name())
	if !maps.Equal(have.Assignments, p.shard.Team().Replica().Assignments) {
		t.Errorf("the holder has %d tasks of %d", len(have.Assignments), len(p.shard.Team().Replica().Assignments))
	}
	if done := have.Done["job-000002"]; done == nil || !done.Test(7) || !done.Test(8) {
		t.Errorf("the holder has finished tasks %v", done)
	}
}
