// Package kvstore is the client of the state service, the region's consensus-backed key-value store.
//
// Reads and updates are limited to one controller's share of the store's rates. Requests for leases and the membership
// record are not limited; a part of the rates is reserved for them. An Update is a compare-and-swap that is committed
// as a whole or not at all. Updates that touch different keys share transactions by group commit (batch.go). Every
// update carries a fence, which is a condition on a key that exists only in the present epoch of the store's data, and
// every answer's revision is compared with earlier ones, so that a store that lost acknowledged data is detected and
// not written to (fence.go).
//
// The package makes no decisions about jobs or machines and caches no data. A Client is safe for concurrent use.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Errors that callers distinguish with errors.Is. After ErrUnknown and ErrRevisionDecreased a change may have been made
// or may still be made; after the others it was not.
var (
	ErrConflict          = errors.New("state service: condition failed")
	ErrRefused           = errors.New("state service: not executed")       // status 429 or 503, or never sent
	ErrUnknown           = errors.New("state service: outcome unknown")    // may have been or may still be executed
	ErrLeaseExpired      = errors.New("state service: lease expired")      // or was never granted
	ErrCompacted         = errors.New("state service: revision compacted") // the keys must be read again
	ErrInvalid           = errors.New("state service: malformed request or answer")
	ErrTooLarge          = fmt.Errorf("%w: too large", ErrInvalid) // a value or a transaction; it must not be sent again as it is
	ErrRevisionDecreased = fmt.Errorf("%w: revision decreased", ErrUnknown)
	ErrUpdatesHeld       = fmt.Errorf("%w: updates are held", ErrRefused)
	errRateExceeded      = fmt.Errorf("%w: status 429", ErrRefused)
)

// ConflictError is an ErrConflict with the keys whose conditions failed.
type ConflictError struct{ Keys []string }

func (c *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s", ErrConflict, strings.Join(c.Keys, " "))
}

// Is makes errors.Is report a ConflictError as ErrConflict.
func (c *ConflictError) Is(target error) bool { return target == ErrConflict }

// Timeouts of requests.
const (
	timeout         = 2 * time.Second  // of a request, in addition to the time that a watch waits
	LongPollTimeout = 10 * time.Second // how long a watch waits for a change
)

// Client is a client of the state service.
type Client struct {
	calls     *httpx.Pool
	control   *httpx.Pool // for leases and the membership record
	watch     *httpx.Pool
	requests  *rate.Limiter
	writes    *rate.Limiter // of changes
	equalRate float64       // changes per second of each controller if all have the same
	throttle  *throttle     // of writes
	batcher   *batcher
	fence     fence
}

// New returns a client with the share of one of n controllers in the rates. The shares leave 15 % of the rates free for
// leases and the membership record, which are not limited.
func New(addr string, limits settings.KVStore, n int) *Client {
	share := 0.85 / float64(n)
	c := &Client{
		calls:     httpx.NewPool(addr, 1<<20, 16),
		control:   httpx.NewPool(addr, 1<<20, 8),
		watch:     httpx.NewPool(addr, 64<<20, 2),
		requests:  rate.NewLimiter(rate.Limit(limits.RequestsPerSecond*share), max(2, int(limits.RequestsPerSecond*share))),
		writes:    rate.NewLimiter(rate.Limit(limits.ChangesPerSecond*share), max(2, int(limits.ChangesPerSecond*share))),
		equalRate: limits.ChangesPerSecond * share,
	}
	c.throttle = newThrottle(c.writes, c.equalRate)
	c.batcher = newBatcher(c, limits)
	return c
}

// DemandRate returns how many changes per second this controller would make without a limit: the recent arrival rate
// plus the waiting changes, as if they were sent within one second. It must be called regularly.
func (c *Client) DemandRate(now time.Time) float64 { return c.batcher.demandRate(now) }

// UrgentDelay returns the present queueing delay of urgent updates, and the rate that it is based on, in changes per
// second.
func (c *Client) UrgentDelay() (wait time.Duration, rate float64) {
	c.batcher.mu.Lock()
	queued := c.batcher.urgentWaiting
	c.batcher.mu.Unlock()
	rate = float64(c.writes.Limit())
	if rate <= 0 {
		return 0, 0
	}
	return time.Duration(max(0, float64(queued)-max(0, c.writes.Tokens())) / rate * float64(time.Second)), rate
}

// SetRateByDemand sets the rate of changes to an equal share plus a part of what the other controllers do not use.
// demands holds their demand rates in changes per second, or a negative number where the rate is unknown.
func (c *Client) SetRateByDemand(demands []float64) {
	c.throttle.setFullRate(fairShare(c.equalRate, demands))
}

// fairShare returns the equal share plus a part of what the others leave unused. A quarter of that stays free for
// demand that has not been reported yet. Controllers with more demand than the equal share divide the rest equally.
func fairShare(equal float64, demands []float64) float64 {
	unused, claimants := 0.0, 1.0
	for _, demand := range demands {
		if demand > equal {
			claimants++
		} else if demand >= 0 {
			unused += (equal - demand) * 3 / 4
		}
	}
	return equal + unused/claimants
}

// Run sends queued updates until the context ends.
func (c *Client) Run(ctx context.Context) error { return c.batcher.run(ctx) }

// do sends a request and maps failures to ErrRefused and ErrUnknown.
func (c *Client) do(
	ctx context.Context, pool *httpx.Pool, method, target string, body []byte, wait time.Duration,
) (*httpx.Response, error) {
	resp, sent, err := pool.Do(ctx, method, target, body, wait)
	switch {
	case err != nil && !sent:
		return nil, fmt.Errorf("%w: %v", ErrRefused, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	case resp.Status == 429:
		return nil, errRateExceeded
	case resp.Status == 503:
		return nil, fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	case resp.Status >= 500:
		return nil, fmt.Errorf("%w: status %d", ErrUnknown, resp.Status)
	}
	return resp, nil
}

// decode decodes a successful response and returns ErrInvalid for any other.
func decode(resp *httpx.Response, v any) error {
	if resp.Status != 200 {
		return fmt.Errorf("%w: status %d %.200s", ErrInvalid, resp.Status, resp.Body)
	}
	if err := protocol.Decode(resp.Body, v); err != nil {
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	return nil
}

// Get reads a key. The entry is nil if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (*protocol.Entry, error) {
	if err := c.requests.Wait(ctx); err != nil {
		return nil, ErrRefused
	}
	return c.get(ctx, c.calls, key)
}

// GetControl reads a key without the rate limit, for leases and the membership record.
func (c *Client) GetControl(ctx context.Context, key string) (*protocol.Entry, error) {
	return c.get(ctx, c.control, key)
}

func (c *Client) get(ctx context.Context, pool *httpx.Pool, key string) (*protocol.Entry, error) {
	at := c.fence.mark()
	resp, err := c.do(ctx, pool, "GET", "/store/"+key, nil, timeout)
	if err != nil {
		return nil, err
	}
	if resp.Status == 404 {
		var none protocol.TxnResult
		if err := protocol.Decode(resp.Body, &none); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
		}
		return nil, c.fence.observe(at, none.Revision)
	}
	var e protocol.Entry
	return &e, decode(resp, &e)
}

// List reads all keys below a prefix. It returns the revision of the first page.
func (c *Client) List(ctx context.Context, prefix string) (entries []protocol.Entry, revision uint64, err error) {
	after := ""
	for {
		page, err := c.page(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		entries = append(entries, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return entries, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Page reads up to 500 keys below a prefix that sort behind the key given by after. more reports whether others follow.
func (c *Client) Page(ctx context.Context, prefix, after string) (entries []protocol.Entry, more bool, err error) {
	page, err := c.page(ctx, prefix, after)
	if err != nil {
		return nil, false, err
	}
	return page.Items, page.More, nil
}

func (c *Client) page(ctx context.Context, prefix, after string) (*protocol.EntryList, error) {
	if err := c.requests.Wait(ctx); err != nil {
		return nil, ErrRefused
	}
	q := url.Values{"under": {prefix}, "limit": {"500"}}
	if after != "" {
		q.Set("after", after)
	}
	at := c.fence.mark()
	resp, err := c.do(ctx, c.calls, "GET", "/store?"+q.Encode(), nil, 2*timeout)
	if err != nil {
		return nil, err
	}
	var page protocol.EntryList
	if err := decode(resp, &page); err != nil {
		return nil, err
	}
	return &page, c.fence.observe(at, page.Revision)
}

// Watch waits up to LongPollTimeout for changes below a prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (*protocol.Changes, error) {
	return c.changes(ctx, c.watch, prefix, after, LongPollTimeout)
}

// Changes reads the changes below a prefix after a revision without waiting.
func (c *Client) Changes(ctx context.Context, prefix string, after uint64) (*protocol.Changes, error) {
	return c.changes(ctx, c.calls, prefix, after, 0)
}

func (c *Client) changes(
	ctx context.Context, pool *httpx.Pool, prefix string, after uint64, wait time.Duration,
) (*protocol.Changes, error) {
	if err := c.requests.Wait(ctx); err != nil {
		return nil, ErrRefused
	}
	q := url.Values{"under": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"block_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	at := c.fence.mark()
	resp, err := c.do(ctx, pool, "GET", "/changes?"+q.Encode(), nil, wait+timeout)
	if err != nil {
		return nil, err
	}
	if resp.Status == 410 {
		return nil, ErrCompacted
	}
	var ch protocol.Changes
	if err := decode(resp, &ch); err != nil {
		return nil, err
	}
	return &ch, c.fence.observe(at, ch.Revision)
}

// CommitControl commits a transaction without the rate limit, for leases and the membership record. It returns the new
// revision, or with ErrConflict the keys whose conditions failed.
func (c *Client) CommitControl(ctx context.Context, t protocol.Txn) (uint64, []string, error) {
	return c.txn(ctx, c.control, t)
}

func (c *Client) txn(ctx context.Context, pool *httpx.Pool, t protocol.Txn) (uint64, []string, error) {
	if t.Conditions == nil {
		t.Conditions = []protocol.Condition{}
	}
	at := c.fence.mark()
	resp, err := c.do(ctx, pool, "POST", "/txn", protocol.Encode(t), timeout)
	if err != nil {
		return 0, nil, err
	}
	var r protocol.TxnResult
	switch resp.Status {
	case 200:
		if err := decode(resp, &r); err != nil {
			return 0, nil, err
		}
		return r.Revision, nil, c.fence.observe(at, r.Revision)
	case 409:
		if err := protocol.Decode(resp.Body, &r); err != nil {
			return 0, nil, fmt.Errorf("%w: %v", ErrInvalid, err)
		}
		if err := c.fence.observe(at, r.Revision); err != nil {
			return 0, nil, err
		}
		return r.Revision, r.Failed, ErrConflict
	case 400:
		var e protocol.Error
		if protocol.Decode(resp.Body, &e) == nil && e.Error == "no such lease" {
			return 0, nil, ErrLeaseExpired
		}
		return 0, nil, c.tooLarge(t, resp)
	}
	return 0, nil, fmt.Errorf("%w: status %d %.200s", ErrInvalid, resp.Status, resp.Body)
}

// tooLarge returns and logs the error of a transaction that the service will never accept. Transactions are well-formed,
// so that a limit of the service is the only reason; it may have fallen since this process started.
func (c *Client) tooLarge(t protocol.Txn, resp *httpx.Response) error {
	largest := protocol.Op{}
	for _, change := range t.Then {
		if len(change.Value) >= len(largest.Value) {
			largest = change
		}
	}
	err := fmt.Errorf("%w: key %s of %d bytes, %d changes, %d conditions: %.200s", ErrTooLarge,
		largest.Set+largest.Delete, len(largest.Value), len(t.Then), len(t.Conditions), resp.Body)
	slog.Error("transaction refused for good", "key", largest.Set+largest.Delete, "err", err)
	return err
}

// GrantLease creates a lease that expires after ttl unless it is renewed.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	body := protocol.Encode(protocol.LeaseRequest{TTLMillis: ttl.Milliseconds()})
	resp, err := c.do(ctx, c.control, "POST", "/grants", body, timeout)
	if err != nil {
		return 0, err
	}
	var g protocol.LeaseGrant
	return g.Lease, decode(resp, &g)
}

// RenewLease renews a lease. It returns ErrLeaseExpired if the lease no longer exists.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	resp, err := c.do(ctx, c.control, "POST", "/grants/"+strconv.FormatUint(lease, 10)+"/extend", []byte("{}"), timeout)
	if err != nil {
		return err
	}
	if resp.Status == 404 {
		return ErrLeaseExpired
	}
	if resp.Status != 200 {
		return fmt.Errorf("%w: status %d", ErrInvalid, resp.Status)
	}
	return nil
}

// Update is a compare-and-swap: either all its conditions hold and all its changes are made, or none is. It may share a
// transaction with other updates.
type Update struct {
	Conditions []protocol.Condition
	Changes    []protocol.Op
	Urgent     bool // a user waits for it; it is sent before updates that are not urgent
	Deferrable bool // it is sent only while no other updates wait and the rate has changes to spare
}

// Commit queues an update and waits for its outcome. It returns the new revision, or one of the errors of this package;
// a conflict is a *ConflictError.
func (c *Client) Commit(ctx context.Context, u Update) (revision uint64, err error) {
	return c.batcher.commit(ctx, u)
}
