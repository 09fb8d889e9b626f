// Package cloud is the client of the cloud's rental interface: the catalog of machine types, scaling out and in, and the
// list of machines. It is paced by one controller's share of the cloud's rate, and decides nothing: which machines to
// rent is internal/autoscaler's and internal/provisioning's to say.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Errors that callers tell apart, with errors.Is.
var (
	ErrNoCapacity = errors.New("cloud: no capacity") // of that machine type in that zone, now
	ErrRefused    = errors.New("cloud: refused")     // with a status; with another error, or one of 500 and above, it may have been carried out
)

const (
	timeout    = 6 * time.Second // of one request
	maxScaleIn = 100
)

// Client talks to the cloud. It may be used by several goroutines at once.
type Client struct {
	pool    *httpx.Pool
	limiter *rate.Limiter
}

// New is a client of one of n controllers. Only the owner of the fleet sends much, so each may use most of the rate;
// a single controller may use nearly all.
func New(addr string, limits settings.Cloud, n int) *Client {
	share := limits.RequestsPerSecond * 0.6
	if n == 1 {
		share = limits.RequestsPerSecond * 0.9
	}
	return &Client{pool: httpx.NewPool(addr, 4<<20, 8), limiter: rate.NewLimiter(rate.Limit(share), max(1, int(share)))}
}

func (c *Client) do(ctx context.Context, method, target string, body any, into any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return err
	}
	var data []byte
	if body != nil {
		data = protocol.Encode(body)
	}
	resp, _, err := c.pool.Do(ctx, method, target, data, timeout)
	if err != nil {
		return err
	}
	if resp.Status != 200 {
		var e protocol.Error
		_ = protocol.Decode(resp.Body, &e)
		if resp.Status == 503 && e.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d %s", ErrRefused, resp.Status, e.Error)
	}
	if into == nil {
		return nil
	}
	return protocol.Decode(resp.Body, into)
}

// Catalog reads the machine types with their present prices.
func (c *Client) Catalog(ctx context.Context) ([]protocol.MachineType, error) {
	var cat protocol.Catalog
	if err := c.do(ctx, "GET", "/catalog", nil, &cat); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, t := range cat.Types {
		if t.Name == "" || seen[t.Name] || !(t.CPUs > 0) || !(t.MemoryGB >= 0) {
			return nil, fmt.Errorf("cloud: catalog holds an impossible type %q", t.Name)
		}
		seen[t.Name] = true
	}
	return cat.Types, nil
}

// ScaleOut asks for machines and gives the names of those rented, which may be fewer. A repeated request by the same
// r.Request is carried out once.
func (c *Client) ScaleOut(ctx context.Context, r protocol.ScaleOutRequest) ([]string, error) {
	r.Count = min(r.Count, protocol.MaxScaleOut)
	var names protocol.MachineNames
	err := c.do(ctx, "POST", "/hosts", r, &names)
	return names.Machines, err
}

// ScaleIn gives machines back; when it succeeds, they and all on them are gone.
func (c *Client) ScaleIn(ctx context.Context, machines []string) error {
	if len(machines) > maxScaleIn {
		return fmt.Errorf("cloud: %d machines in one return", len(machines))
	}
	return c.do(ctx, "POST", "/hosts/return", protocol.MachineNames{Machines: machines}, nil)
}

// List reads the cloud's list of machines, which lags behind by the list_lag_s of the settings.
func (c *Client) List(ctx context.Context) ([]protocol.Host, error) {
	var all []protocol.Host
	after := ""
	for {
		var page protocol.HostList
		if err := c.do(ctx, "GET", "/hosts?limit=500&after="+url.QueryEscape(after), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Hosts...)
		if !page.More || len(page.Hosts) == 0 {
			return all, nil
		}
		after = page.Hosts[len(page.Hosts)-1].UID
	}
}
