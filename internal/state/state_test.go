package state_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"topazhollow/internal/rehearse"
	"topazhollow/internal/settings"
	"topazhollow/internal/state"
	"topazhollow/internal/wire"
)

// TestSharedCommits: updates that share a transaction succeed or fail alone. A
// conflict of one must not fail or repeat another, and no update is lost.
func TestSharedCommits(t *testing.T) {
	srv, err := rehearse.NewState(8, 16)
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := state.New(srv.Addr(), settings.State{RPS: 1000, WriteRPS: 1000, TxnOps: 8, ValueKB: 16}, 1)
	go c.Run(ctx)
	set := func(key string) state.Update {
		return state.Update{Guards: []wire.Guard{{Key: key}}, Ops: []wire.Op{{Set: key, Value: []byte("1")}}}
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
		if (i == 3) != errors.Is(err, state.ErrConflict) || (i != 3 && err != nil) {
			t.Errorf("update %d: %v", i, err)
		}
	}
	entries, _, err := c.List(ctx, "k/")
	if err != nil || len(entries) != len(errs) {
		t.Fatalf("%d keys, %v", len(entries), err)
	}
	srv.Outage(true)
	if _, err := c.Commit(ctx, set("k/new")); !errors.Is(err, state.ErrRefused) {
		t.Fatalf("in an outage: %v", err)
	}
}
