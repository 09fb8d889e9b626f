package controller

import (
	"testing"
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/shards"
)

// TestStallCountsNoSilence: a controller that was stalled received nothing meanwhile.
// When it goes on and its lease has not expired, it must neither put its replicas out of sync
// nor take its machines for silent.
func TestStallCountsNoSilence(t *testing.T) {
	g := newGrown(4, 1)
	n, shard := g.n, g.n.shards.OfTeam("team-0")
	record := n.leadership.Record().Clone()
	record.Shards[shard.Name()] = leadership.Shard{Owner: n.name, SinceTerm: 1, InSync: []string{"node-b"}}
	learnRecord(n, record)
	n.leadership.ResetStableSince(g.now)
	shard.Resume(g.now)
	n.peers["node-b"] = &peerState{connected: true, lastMessageAt: g.now}
	shard.Team().Replica().Seq = 1
	shard.Replicas().Replicate(n.cluster(), g.now) // a copy goes out, of which nothing is acknowledged
	shard.Replicas().HandleAcknowledgement("node-b", 1, &shards.Acknowledgement{Shard: shard.Name(), SinceTerm: 1}, g.now)
	for _, name := range g.names {
		n.machines[name].HeardAt = g.now
	}
	now := g.now.Add(4 * time.Second)
	if !n.syncStates(now)[shard.Name()].Lagging["node-b"] {
		t.Fatal("a replica that acknowledges nothing for 4 s must go out of sync")
	}
	n.resumedAfterStall(now, 4*time.Second)
	if n.syncStates(now)[shard.Name()].Lagging["node-b"] {
		t.Error("a replica is put out of sync for the time that the owner was stalled")
	}
	if n.leadership.StableSince() != now {
		t.Error("silence is counted from before the stall ended")
	}
	if o := n.overview(now); o.LastStall != 4 || len(o.UnreachablePeers) != 1 {
		t.Errorf("the overview has a stall of %g s and of unheard peers %v", o.LastStall, o.UnreachablePeers)
	}
	if later := now.Add(2 * shards.AcknowledgementTimeout); !n.syncStates(later)[shard.Name()].Lagging["node-b"] {
		t.Error("a replica that stays silent must go out of sync in the end")
	}
}
