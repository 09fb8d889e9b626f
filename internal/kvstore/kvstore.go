// Package kvstore is the client of the region's consensus-backed key-value store.
//
// Reads and updates are paced by one controller's share of the store's rates; leases and the membership record have a
// part of the rates kept for them and are not paced. Update is a compare-and-swap: it is committed whole or not at
// all. Updates that touch different keys share transactions (batch.go, a group commit). Updates carry a fence, a
// condition on a key that only the present epoch of the store's data has, and every answer's revision is compared
// with those before it, so that a store that lost what it acknowledged is noticed and not written to (fence.go).
//
// The package decides nothing about jobs or machines and keeps no copy of the data. A Client may be used by several
// goroutines at once.
package kvstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Errors that callers tell apart, with errors.Is. After ErrUnknown and ErrRevisionDecreased a change may have been made
// or be made later; after the others it was not.
var (
	ErrConflict          = errors.New("state: a guard did not hold")
	ErrRefused           = errors.New("state: not executed")            // status 429 or 503, or never sent
	ErrUnknown           = errors.New("state: no answer")               // may have been executed, or be executed yet
	ErrLeaseExpired      = errors.New("state: no such lease")           // the lease has expired
	ErrCompacted         = errors.New("state: watch fell too far back") // read the keys again
	ErrInvalid           = errors.New("state: malformed request or answer")
	ErrRevisionDecreased = fmt.Errorf("%w that counts: the service went back", ErrUnknown)
	ErrUpdatesHeld       = fmt.Errorf("%w: held back here", ErrRefused)
)

// ConflictError is an ErrConflict that names the keys whose conditions did not hold.
type ConflictError struct{ Keys []string }

func (c *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s", ErrConflict, strings.Join(c.Keys, " "))
}

// Is makes it an ErrConflict.
func (c *ConflictError) Is(target error) bool { return target == ErrConflict }

// timeout bounds one call, LongPollTimeout is how long a watch waits for a change.
const (
	timeout         = 2 * time.Second
	LongPollTimeout = 10 * time.Second
)

// Client talks to the key-value store.
type Client struct {
	calls    *httpx.Pool
	control  *httpx.Pool
	watch    *httpx.Pool
	requests *rate.Limiter
	writes   *rate.Limiter
	evenRate float64 // changes a second, if all controllers had the same
	batcher  *batcher
	fence    fence
}

// New is a client with one of n controllers' share of the rates. A tenth is
// held back for leases and the membership record, which are not paced.
func New(addr string, limits settings.KVStore, n int) *Client {
	share := 0.85 / float64(n)
	c := &Client{
		calls:    httpx.NewPool(addr, 1<<20, 16),
		control:  httpx.NewPool(addr, 1<<20, 8),
		watch:    httpx.NewPool(addr, 64<<20, 2),
		requests: rate.NewLimiter(rate.Limit(limits.RequestsPerSecond*share), max(2, int(limits.RequestsPerSecond*share))),
		writes:   rate.NewLimiter(rate.Limit(limits.ChangesPerSecond*share), max(2, int(limits.ChangesPerSecond*share))),
		evenRate: limits.ChangesPerSecond * share,
	}
	c.batcher = newBatcher(c, limits)
	return c
}

// DemandRate is how many changes a second this controller would make: those that came of late, and those that wait,
// within a second. It is to be called regularly.
func (c *Client) DemandRate(now time.Time) float64 { return c.batcher.wantedRate(now) }

// UrgentDelay is how long what users wait for takes to be sent at the present rate, and that rate, in changes a
// second.
func (c *Client) UrgentDelay() (wait time.Duration, rate float64) {
	c.batcher.mu.Lock()
	soon := c.batcher.urgentWaiting
	c.batcher.mu.Unlock()
	rate = float64(c.writes.Limit())
	if rate <= 0 {
		return 0, 0
	}
	return time.Duration(max(0, float64(soon)-max(0, c.writes.Tokens())) / rate * float64(time.Second)), rate
}

// SetRateByDemand takes what the other controllers leave of the rate of changes: wanted is what each of them wants, in
// changes a second, or a negative number if that is not known.
func (c *Client) SetRateByDemand(wanted []float64) {
	c.writes.SetLimit(rate.Limit(fairShare(c.evenRate, wanted)))
}

// fairShare is an even share and what others leave of theirs, less a margin for what they may want before they say
// so. Controllers that want more than an even share part what is left alike.
func fairShare(even float64, wanted []float64) float64 {
	left, needy := 0.0, 1.0
	for _, w := range wanted {
		if w > even {
			needy++
		} else if w >= 0 {
			left += (even - w) * 3 / 4
		}
	}
	return even + left/needy
}

// Run serves queued updates until the context ends.
func (c *Client) Run(ctx context.Context) error { return c.batcher.run(ctx) }

// do sends a request and maps what went wrong to the errors above.
func (c *Client) do(
	ctx context.Context, pool *httpx.Pool, method, target string, body []byte, wait time.Duration,
) (*httpx.Response, error) {
	resp, sent, err := pool.Do(ctx, method, target, body, wait)
	switch {
	case err != nil && !sent:
		return nil, fmt.Errorf("%w: %v", ErrRefused, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	case resp.Status == 429 || resp.Status == 503:
		return nil, fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	case resp.Status >= 500:
		return nil, fmt.Errorf("%w: status %d", ErrUnknown, resp.Status)
	}
	return resp, nil
}

func decode(resp *httpx.Response, v any) error {
	if resp.Status != 200 {
		return fmt.Errorf("%w: status %d %.200s", ErrInvalid, resp.Status, resp.Body)
	}
	if err := protocol.Decode(resp.Body, v); err != nil {
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	return nil
}

// Get reads a key; nil means that it does not exist.
func (c *Client) Get(ctx context.Context, key string) (*protocol.Entry, error) {
	if err := c.requests.Wait(ctx); err != nil {
		return nil, ErrRefused
	}
	return c.get(ctx, c.calls, key)
}

// GetControl reads a key without pacing, for leases and the membership record.
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

// List reads all keys below a prefix and the revision of its first page.
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

// Page reads up to 500 keys below a prefix, after one; more says whether there are others.
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

// Watch waits for changes below a prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (*protocol.Changes, error) {
	return c.changes(ctx, c.watch, prefix, after, LongPollTimeout)
}

// Changes reads the changes below a prefix from a revision until now.
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

// CommitControl commits a transaction without pacing, for leases and the control
// record. It gives the new revision, or with ErrConflict the
// keys whose conditions did not hold.
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
		if err := json.Unmarshal(resp.Body, &r); err != nil {
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
	}
	return 0, nil, fmt.Errorf("%w: status %d %.200s", ErrInvalid, resp.Status, resp.Body)
}

// GrantLease takes a lease that expires after a time unless it is renewed.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	body := protocol.Encode(protocol.LeaseRequest{TTLMillis: life.Milliseconds()})
	resp, err := c.do(ctx, c.control, "POST", "/grants", body, timeout)
	if err != nil {
		return 0, err
	}
	var g protocol.LeaseGrant
	return g.Lease, decode(resp, &g)
}

// RenewLease renews a lease. ErrLeaseExpired means that it has ended.
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

// Update is a compare-and-swap: if its conditions hold, all its changes are made, else none. Other updates may share
// its transaction.
type Update struct {
	Conditions []protocol.Condition
	Changes    []protocol.Op
	Urgent     bool // a user waits for it: it goes before others
	Deferrable bool // it takes only changes of the rate that nothing else needs
}

// Commit queues an update and waits for its outcome: the revision, or an error of those above. A conflict is a
// *ConflictError.
func (c *Client) Commit(ctx context.Context, u Update) (revision uint64, err error) {
	return c.batcher.commit(ctx, u)
}
