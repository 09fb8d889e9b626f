package kvstore_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"

	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// TestSharedCommits: updates that share a transaction succeed or fail independently. A conflict of one neither fails
// nor repeats another, and no update is lost.
func TestSharedCommits(t *testing.T) {
	srv, err := simulation.NewKVStore(8, 16)
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := kvstore.New(srv.Addr(), settings.KVStore{RequestsPerSecond: 1000, ChangesPerSecond: 1000, ChangesPerTransaction: 8, ValueKB: 16}, 1)
	go c.Run(ctx)
	set := func(key string) kvstore.Update {
		return kvstore.Update{Conditions: []protocol.Condition{{Key: key}}, Changes: []protocol.Op{{Set: key, Value: []byte("1")}}}
	}
	if _, err := c.Commit(ctx, set("k/3")); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	errs := make([]error, 40)
	for i := range errs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, errs[i] = c.Commit(ctx, set(fmt.Sprintf("k/%d", i)))
		}()
	}
	wg.Wait()
	for i, err := range errs {
		if (i == 3) != errors.Is(err, kvstore.ErrConflict) || (i != 3 && err != nil) {
			t.Errorf("update %d: %v", i, err)
		}
	}
	entries, _, err := c.List(ctx, "k/")
	if err != nil || len(entries) != len(errs) {
		t.Fatalf("%d keys, %v", len(entries), err)
	}
	srv.SetOutage(true)
	if _, err := c.Commit(ctx, set("k/new")); !errors.Is(err, kvstore.ErrRefused) {
		t.Fatalf("commit during an outage: %v, want ErrRefused", err)
	}
}

// TestConflictNamesItsKeys: a conflict names the keys whose conditions failed, so that the caller can distinguish its
// own key from another one that the update depends on. It guards against taking a changed membership record for a lost
// job, which stopped the whole deployment for as long as jobs kept ending.
func TestConflictNamesItsKeys(t *testing.T) {
	s, err := simulation.NewKVStore(16, 16)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Put("w/c", "1")
	s.Put("w/a/job", "1")
	s.Put("w/c", "2") // changed after it was read
	c := kvstore.New(s.Addr(), settings.KVStore{RequestsPerSecond: 100, ChangesPerSecond: 100, ValueKB: 16, ChangesPerTransaction: 16}, 1)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	defer func() { stop(); <-ended }()
	_, err = c.Commit(ctx, kvstore.Update{Conditions: []protocol.Condition{{Key: "w/a/job", Version: 2}, {Key: "w/c", Version: 1}}, Changes: []protocol.Op{{Delete: "w/a/job"}}})
	var conflict *kvstore.ConflictError
	if !errors.Is(err, kvstore.ErrConflict) || !errors.As(err, &conflict) || !slices.Equal(conflict.Keys, []string{"w/c"}) {
		t.Fatalf("error %v, want a conflict on w/c only", err)
	}
	if _, err := c.Commit(ctx, kvstore.Update{Conditions: []protocol.Condition{{Key: "w/a/job", Version: 2}, {Key: "w/c", Version: 3}}, Changes: []protocol.Op{{Delete: "w/a/job"}}}); err != nil {
		t.Fatal(err)
	}
}
