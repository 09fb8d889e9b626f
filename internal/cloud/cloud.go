// Package cloud is the client of the cloud's rental interface: the catalog of machine types, scaling out and in, and
// the list of machines. It limits requests to one controller's share of the cloud's rate. internal/autoscaler and
// internal/provisioning decide which machines to rent.
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

// Errors that callers distinguish with errors.Is. After ErrRefused with a status of 500 or above, and after any error
// other than these two, the request may have been carried out.
var (
	ErrNoCapacity = errors.New("cloud: no capacity") // of the machine type in the zone, at present
	ErrRefused    = errors.New("cloud: refused")     // answered with a status other than 200
)

const (
	timeout    = 6 * time.Second // of one request
	maxScaleIn = 100             // machines released by one request
)

// Client is a client of the cloud. It is safe for concurrent use.
type Client struct {
	pool    *httpx.Pool
	limiter *rate.Limiter
}

// New returns a client for one of n controllers. Only the owner of the fleet shard sends many requests, so each
// controller may use most of the rate, and a single controller nearly all of it.
func New(addr string, limits settings.Cloud, n int) *Client {
	share := limits.RequestsPerSecond * 0.6
	if n == 1 {
		share = limits.RequestsPerSecond * 0.9
	}
	return &Client{pool: httpx.NewPool(addr, 4<<20, 8), limiter: rate.NewLimiter(rate.Limit(share), max(1, int(share)))}
}

// do sends a request and decodes the answer into result unless result is nil.
func (c *Client) do(ctx context.Context, method, target string, body any, result any) error {
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
	if result == nil {
		return nil
	}
	return protocol.Decode(resp.Body, result)
}

// Catalog returns the machine types with their present prices.
func (c *Client) Catalog(ctx context.Context) ([]protocol.MachineType, error) {
	var cat protocol.Catalog
	if err := c.do(ctx, "GET", "/catalog", nil, &cat); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, t := range cat.Types {
		if t.Name == "" || seen[t.Name] || !(t.CPUs > 0) || !(t.MemoryGB >= 0) {
			return nil, fmt.Errorf("cloud: catalog has an invalid or duplicate machine type %q", t.Name)
		}
		seen[t.Name] = true
	}
	return cat.Types, nil
}

// ScaleOut rents machines and returns their names, which may be fewer than requested. The cloud carries out repeated
// requests with the same r.Request only once.
func (c *Client) ScaleOut(ctx context.Context, r protocol.ScaleOutRequest) ([]string, error) {
	r.Count = min(r.Count, protocol.MaxScaleOut)
	var names protocol.MachineNames
	err := c.do(ctx, "POST", "/hosts", r, &names)
	return names.Machines, err
}

// ScaleIn releases machines to the cloud. When it succeeds, the machines and everything on them are gone.
func (c *Client) ScaleIn(ctx context.Context, machines []string) error {
	if len(machines) > maxScaleIn {
		return fmt.Errorf("cloud: %d machines in one scale-in request, at most %d are allowed", len(machines), maxScaleIn)
	}
	return c.do(ctx, "POST", "/hosts/return", protocol.MachineNames{Machines: machines}, nil)
}

// List returns the cloud's list of machines, which may be out of date by the setting cloud.list_lag_s.
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
