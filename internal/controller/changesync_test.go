package controller

import (
	"context"
	"log/slog"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/userapi"
)

// newStoppedNode returns a controller with the team red, none of whose goroutines run.
func newStoppedNode(addr string) *Node {
	s := &settings.Settings{Name: "node-a", Services: settings.ServiceAddrs{KVStore: addr},
		Deployment: settings.Deployment{Teams: []settings.Team{{Name: "red", CPUsMax: 8}},
			KVStore: settings.KVStore{RequestsPerSecond: 2000, ChangesPerSecond: 2000, ChangesPerTransaction: 8, ValueKB: 8}, Cloud: settings.Cloud{RequestsPerSecond: 1}}}
	n := New(s, settings.DefaultOptions(), slog.New(slog.DiscardHandler))
	learnRecord(n, (&leadership.Record{Term: 5}).Clone())
	return n
}

// TestWaitForChangesSeesEarlierChanges: once a user has an answer from one controller, every controller must know the
// answer's contents when it answers a later request, even if its watch lags. Of many concurrent callers each must see
// at least the changes that were written before its call.
func TestWaitForChangesSeesEarlierChanges(t *testing.T) {
	srv, err := simulation.NewKVStore(8, 16)
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	n := newStoppedNode(srv.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	n.group, n.ctx = group, ctx
	n.watchedKeysRead = true // of an empty store; no goroutine watches for changes
	other := kvstore.New(srv.Addr(), settings.KVStore{RequestsPerSecond: 2000, ChangesPerSecond: 2000, ChangesPerTransaction: 8, ValueKB: 8}, 1)
	group.Go(func() error { return other.Run(ctx) })
	group.Go(func() error { return n.readChangesOnRequest(ctx) })
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			spec := arrayJob(i, 1, "red")
			key := userapi.ActiveJobPrefix + spec.UID
			expectActive := func(want bool) {
				if err := n.waitForChanges(ctx); err != nil {
					t.Error(err)
				}
				n.mu.Lock()
				defer n.mu.Unlock()
				if j := n.jobs[spec.UID]; (j != nil && j.active) != want {
					t.Errorf("%s active: %v, want %v", spec.UID, !want, want)
				}
			}
			expectActive(false)
			if _, err := other.Commit(ctx, kvstore.Update{Changes: []protocol.Op{{Set: key, Value: protocol.Encode(userapi.ActiveJob{Spec: spec})}}}); err != nil {
				t.Error(err)
			}
			expectActive(true)
			if _, err := other.Commit(ctx, kvstore.Update{Changes: []protocol.Op{{Delete: key}}}); err != nil {
				t.Error(err)
			}
			expectActive(false)
		}()
	}
	wg.Wait()
}
