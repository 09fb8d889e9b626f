package controller

import (
	"log/slog"
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// TestBarrierSettlesTheMachineThatReported: the barrier stops awaiting a machine that reported under the shard's term,
// keeps awaiting one that reported under an earlier term, and ends with the last machine.
func TestBarrierSettlesTheMachineThatReported(t *testing.T) {
	g := newNodeHarness(3, 1)
	n := g.n
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name := range n.machines {
		names = append(names, name)
	}
	shard := barrierShard(n, n.shards.OfTeam("team-0"), n.leadership.Term(), names)
	report := func(name string, token uint64) {
		v := *n.machines[name].status
		v.Seq++
		v.FencingToken = token
		n.applyStatus(&v, g.now)
	}
	report(names[0], shard.SinceTerm()-1)
	if shard.AwaitedCount() != len(names) || shard.Phase() != shards.Barrier {
		t.Fatalf("%d of %d are awaited after a report of an earlier term", shard.AwaitedCount(), len(names))
	}
	for i, name := range names {
		if shard.Phase() != shards.Barrier {
			t.Fatalf("the barrier ended after %d of %d machines", i, len(names))
		}
		report(name, shard.SinceTerm())
	}
	if !shard.IsReady() {
		t.Fatalf("the barrier awaits %d machines although all reported", shard.AwaitedCount())
	}
}

// TestJobAcceptedDuringBarrier: a job accepted while its team's owner was at the barrier was not added to the team, and
// waited until the next owner read the state service.
func TestJobAcceptedDuringBarrier(t *testing.T) {
	s := &settings.Settings{Name: "node-a", Deployment: settings.Deployment{Teams: []settings.Team{{Name: "red", CPUsMax: 8}},
		KVStore: settings.KVStore{RequestsPerSecond: 9, ChangesPerSecond: 9, ChangesPerTransaction: 4, ValueKB: 4}, Cloud: settings.Cloud{RequestsPerSecond: 1}}}
	n := New(s, settings.DefaultOptions(), slog.New(slog.DiscardHandler))
	name := shards.ForTeam("red")
	for phase, taken := range map[shards.Phase]bool{shards.Loading: false, shards.Barrier: true, shards.Ready: true} {
		shard := ownedShard(n, name, 1, false, jobstate.NewReplica())
		if phase != shards.Loading {
			shard.EnterBarrier(nil)
		}
		if phase == shards.Ready {
			shard.PassBarrier(time.Time{})
		}
		spec := arrayJob(int(phase), 1, "red")
		n.learnJob(userapi.ActiveJob{Spec: spec}, 1)
		if (shard.Team().Job(spec.UID) != nil) != taken || n.jobs[spec.UID] == nil {
			t.Fatalf("phase %s: job in the team: %v", phase, !taken)
		}
	}
}
