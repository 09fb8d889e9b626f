package controller

import (
	"testing"
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/shards"
)

// TestStallDoesNotCountAsSilence: a controller receives nothing while it is stalled. When it resumes and its lease has
// not expired, it must neither mark its replicas as out of sync nor count its machines as silent.
func TestStallDoesNotCountAsSilence(t *testing.T) {
	g := newNodeHarness(4, 1)
	n, shard := g.n, g.n.shards.OfTeam("team-0")
	record := n.leadership.Record().Clone()
	record.Shards[shard.Name()] = leadership.Shard{Owner: n.name, SinceTerm: 1, InSync: []string{"node-b"}}
	learnRecord(n, record)
	n.leadership.ResetStableSince(g.now)
	shard.Resume(g.now)
	n.peers["node-b"] = &peerState{connected: true, lastMessageAt: g.now}
	shard.Team().Replica().Seq = 1
	shard.Replicas().Replicate(n.cluster(), g.now) // sends a copy, which is never acknowledged
	shard.Replicas().HandleAcknowledgement("node-b", 1, &shards.Acknowledgement{Shard: shard.Name(), SinceTerm: 1}, g.now)
	for _, name := range g.machineNames {
		n.machines[name].HeardAt = g.now
	}
	now := g.now.Add(4 * time.Second)
	if !n.syncStates(now)[shard.Name()].Lagging["node-b"] {
		t.Fatal("a replica that acknowledges nothing for 4 s must go out of sync")
	}
	n.resumedAfterStall(now, 4*time.Second)
	if n.syncStates(now)[shard.Name()].Lagging["node-b"] {
		t.Error("a replica is marked as out of sync for the time that the owner was stalled")
	}
	if n.leadership.StableSince() != now {
		t.Error("silence is counted from a time before the stall ended")
	}
	if o := n.overview(now); o.LastStall != 4 || len(o.UnreachablePeers) != 1 {
		t.Errorf("the overview shows a stall of %g s and the unreachable peers %v", o.LastStall, o.UnreachablePeers)
	}
	if later := now.Add(2 * shards.AcknowledgementTimeout); !n.syncStates(later)[shard.Name()].Lagging["node-b"] {
		t.Error("a replica that stays silent must go out of sync eventually")
	}
}
