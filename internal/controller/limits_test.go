package controller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/agents"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
)

// newNodeWithStore returns a controller whose background tasks do not run, except for its updates of a store. Both know
// 8 KB and 8 operations a transaction as limits.
func newNodeWithStore(t *testing.T) (*Node, *simulation.KVStore) {
	store, err := simulation.NewKVStore(8, 8)
	if err != nil {
		t.Fatal(err)
	}
	n := newStoppedNode(store.Addr())
	ctx, stop := context.WithCancel(t.Context())
	n.ctx = ctx
	ended := make(chan error, 1)
	go func() { ended <- n.kvStore.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended; store.Close() })
	return n, store
}

// TestRosterAfterLimitFell: a list of 600 machines was written under 8 KB. After the limit has fallen without notice, the
// list is split, and the machine that is gone is removed, while all others remain on the roster.
func TestRosterAfterLimitFell(t *testing.T) {
	n, store := newNodeWithStore(t)
	var machines []string
	for i := range 600 {
		machines = append(machines, fmt.Sprintf("n-%06d", i))
	}
	n.writeRoster(t.Context(), n.roster.PlanRegistration(rosterPrefix+"node-a/", machines))
	if len(n.roster.All()) != len(machines) {
		t.Fatalf("%d machines on the roster", len(n.roster.All()))
	}
	store.SetLimits(8, 2)
	gone := map[string]bool{machines[7]: true}
	for rounds := 0; n.roster.Has(machines[7]); rounds++ {
		if rounds == 8 {
			t.Fatal("the machine is not removed")
		}
		for _, w := range n.roster.PlanDeregistration(gone) {
			n.writeRoster(t.Context(), w)
		}
		if left := len(n.roster.All()); left < len(machines)-1 {
			t.Fatalf("%d machines on the roster after round %d", left, rounds)
		}
	}
	entries, _, err := n.kvStore.List(t.Context(), rosterPrefix)
	if err != nil {
		t.Fatal(err)
	}
	stored := agents.NewRoster(2 << 10)
	for _, e := range entries {
		list, err := agents.DecodeRosterValue(e.Value)
		if err != nil || len(e.Value) > 2<<10 {
			t.Fatalf("%s: %d bytes, %v", e.Key, len(e.Value), err)
		}
		if _, _, err := stored.ApplyList(e.Key, e.Version, list); err != nil {
			t.Fatal(err)
		}
	}
	if len(stored.All()) != len(machines)-1 || stored.Has(machines[7]) {
		t.Errorf("%d machines in the store", len(stored.All()))
	}
}

// TestPagesAfterLimitFell: the finished tasks of a large job were written under 8 KB. After the limit has fallen without
// notice, the refused page is split, and a new owner finds all finished tasks.
func TestPagesAfterLimitFell(t *testing.T) {
	n, store := newNodeWithStore(t)
	name := shards.ForTeam("red")
	spec := arrayJob(1, 60000, "red")
	n.jobs[spec.UID] = &job{spec: spec, active: true}
	shard := readyShard(n, name, 1)
	shard.Team().AddJob(spec, 1, n.startedAt, nil)
	shard.Pages().MarkRead()
	done := bitset.New(0)
	finish := func(first, step int) {
		for i := first; i < spec.Tasks; i += step {
			done.Set(uint(i))
		}
		shard.Team().MergeDone(spec.UID, done)
		if unsaved := len(shard.Team().Unsaved()); unsaved != 1 {
			shard.Team().AddJob(spec, 1, n.startedAt, nil) // marks the job as unsaved
		}
	}
	finish(0, 7)
	if errs := savePagesOnce(n, shard); len(errs) > 0 || len(shard.Team().Unsaved()) > 0 {
		t.Fatalf("under the present limit: %v", errs)
	}
	store.SetLimits(8, 2)
	finish(1, 5)
	refused := 0
	for rounds := 0; len(shard.Team().Unsaved()) > 0; rounds++ {
		for _, err := range savePagesOnce(n, shard) {
			if !errors.Is(err, kvstore.ErrTooLarge) {
				t.Fatal(err)
			}
			refused++
		}
		if rounds == 6 {
			t.Fatal("the pages are not written")
		}
	}
	if refused == 0 {
		t.Error("no page was refused")
	}
	entries, _, err := n.kvStore.List(t.Context(), shards.PagesPrefix(name))
	if err != nil {
		t.Fatal(err)
	}
	read := n.readPages(readyShard(n, name, 2), entries)
	if got := read[spec.UID]; got == nil || !got.SymmetricDifference(done).None() {
		t.Errorf("a new owner does not find exactly the %d finished tasks", done.Count())
	}
}

// savePagesOnce writes the pages that are due, as saveShard does, and returns the errors.
func savePagesOnce(n *Node, shard *shards.Owned) (errs []error) {
	pages, due := shard.BeginSaving()
	if !due {
		return nil
	}
	defer shard.Pages().EndSaving()
	for _, p := range pages {
		err := n.savePage(shard, p, protocol.Condition{Key: recordKey})
		if err == nil {
			continue
		}
		if errs = append(errs, err); errors.Is(err, kvstore.ErrTooLarge) {
			n.shrinkPages(shard)
			return errs
		}
	}
	return errs
}

// TestJobsCompleteAfterLimitsFell: while jobs run, the limits of the state service fall from 16 KB and 16 operations to
// 2 KB and 8 without notice, and the rates by more than half. All jobs complete, also after every controller restarted.
func TestJobsCompleteAfterLimitsFell(t *testing.T) {
	r := newTestCluster(t, 300*time.Millisecond)
	var jobs []*protocol.Submission
	submit := func(tasks int) {
		i := len(jobs)
		jobs = append(jobs, arrayJob(i, tasks, []string{"red", "blue"}[i%2]))
		r.submit(jobs[i])
	}
	for range 4 {
		submit(20)
	}
	r.state.SetLimits(8, 2)
	r.state.LimitRates(150, 60)
	for range 4 {
		submit(10)
	}
	r.awaitAllDone(jobs)
	for i := range r.nodes {
		r.crash(i)
		r.start(i)
	}
	submit(10)
	r.awaitAllDone(jobs)
}

// TestJobsCompleteUnderLowLimits: jobs complete with 2 KB values, 8 operations a transaction and few changes from the
// start.
func TestJobsCompleteUnderLowLimits(t *testing.T) {
	r := newTestClusterWith(t, 300*time.Millisecond, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 20, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60},
		func(r *testCluster) {
			r.stateLimits = settings.KVStore{RequestsPerSecond: 300, ChangesPerSecond: 60, ValueKB: 2, ChangesPerTransaction: 8}
		})
	r.state.LimitRates(300, 60)
	var jobs []*protocol.Submission
	for i := range 8 {
		jobs = append(jobs, arrayJob(i, 12, []string{"red", "blue"}[i%2]))
		r.submit(jobs[i])
	}
	r.awaitAllDone(jobs)
}
