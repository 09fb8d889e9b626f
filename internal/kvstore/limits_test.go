package kvstore_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// startClient starts a store with the given limits and a client that knows others.
func startClient(t *testing.T, txnOps, valueKB int, known settings.KVStore) (*simulation.KVStore, *kvstore.Client) {
	store, err := simulation.NewKVStore(txnOps, valueKB)
	if err != nil {
		t.Fatal(err)
	}
	client := kvstore.New(store.Addr(), known, 1)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- client.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended; store.Close() })
	return store, client
}

// sized returns an update of one key with a value of about the given size.
func sized(key string, bytes int) kvstore.Update {
	return kvstore.Update{Changes: []protocol.Op{{Set: key, Value: protocol.Encode(strings.Repeat("x", bytes))}}}
}

// TestTooLargeAfterLimitsFell: after the limits of the service have fallen without notice, a value that is too large is
// refused as such, while small updates that share its transaction succeed, also if the transaction has too many changes.
func TestTooLargeAfterLimitsFell(t *testing.T) {
	store, client := startClient(t, 24, 8, settings.KVStore{RequestsPerSecond: 1000, ChangesPerSecond: 1000, ChangesPerTransaction: 24, ValueKB: 8})
	if _, err := client.Commit(t.Context(), sized("k/before", 7000)); err != nil {
		t.Fatal(err)
	}
	store.SetLimits(8, 2)
	errs := make([]error, 40)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			bytes := 100
			if i == 5 {
				bytes = 7000
			}
			_, errs[i] = client.Commit(t.Context(), sized(fmt.Sprintf("k/%d", i), bytes))
		}()
	}
	wg.Wait()
	for i, err := range errs {
		if (i == 5) != errors.Is(err, kvstore.ErrTooLarge) || i != 5 && err != nil {
			t.Errorf("update %d: %v", i, err)
		}
	}
	if e, err := client.Get(t.Context(), "k/before"); err != nil || e == nil {
		t.Errorf("the value written before is not readable: %v", err)
	}
	if _, _, err := client.CommitControl(t.Context(), protocol.Txn{Then: sized("k/control", 7000).Changes}); !errors.Is(err, kvstore.ErrTooLarge) {
		t.Errorf("control transaction: %v, want ErrTooLarge", err)
	}
}

// TestRateFallsAfterRefusals: once the service refuses changes because of its rate, the client halves its own, but not
// below a quarter of its share, and then raises it slowly.
func TestRateFallsAfterRefusals(t *testing.T) {
	store, client := startClient(t, 24, 8, settings.KVStore{RequestsPerSecond: 1000, ChangesPerSecond: 200, ChangesPerTransaction: 24, ValueKB: 8})
	const share = 0.85 * 200
	rate := func() float64 { _, r := client.UrgentDelay(); return r }
	if r := rate(); r != share {
		t.Fatalf("rate %g before, want %g", r, share)
	}
	store.LimitRates(1000, 0)
	for i := range 4 {
		if _, err := client.Commit(t.Context(), sized("k", 10)); !errors.Is(err, kvstore.ErrRefused) {
			t.Fatal(err)
		}
		if r, want := rate(), max(share/2/float64(i+1), share/4); r != want {
			t.Errorf("rate %g after %d refusals, want %g", r, i+1, want)
		}
	}
	client.SetRateByDemand([]float64{0, 0})
	if r := rate(); r > share*2/3 {
		t.Errorf("rate %g after the shares were set again", r)
	}
	store.LimitRates(1000, 1000)
	low := rate()
	time.Sleep(300 * time.Millisecond)
	if _, err := client.Commit(t.Context(), sized("k", 10)); err != nil {
		t.Fatal(err)
	}
	if r := rate(); r <= low || r > low*1.2 {
		t.Errorf("rate %g soon after the refusals, %g before", r, low)
	}
}
