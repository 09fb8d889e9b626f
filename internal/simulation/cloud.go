package simulation

import (
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"topazhollow/internal/protocol"
)

// Cloud is a stand-in for the cloud; its machines run simulated agents.
type Cloud struct {
	mu       sync.Mutex
	types    []protocol.MachineType
	hosts    map[string]*rented
	asked    map[string][]string
	next     int
	capacity int
	boot     func(name, typ, zone string, spot bool) (*Agent, error)
	server   *http.Server
	addr     string
	closed   bool
}

type rented struct {
	host   protocol.Host
	since  time.Time
	worker *Agent
}

// NewCloud starts the stand-in with some types and room for so many machines.
func NewCloud(types []protocol.MachineType, capacity int, boot func(name, typ, zone string, spot bool) (*Agent, error)) (*Cloud, error) {
	c := &Cloud{types: types, capacity: capacity, boot: boot, hosts: map[string]*rented{}, asked: map[string][]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, protocol.Catalog{Types: c.types}) })
	mux.HandleFunc("POST /hosts", c.scaleOut)
	mux.HandleFunc("POST /hosts/return", c.scaleIn)
	mux.HandleFunc("GET /hosts", c.list)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.addr = l.Addr().String()
	c.server = &http.Server{Handler: mux}
	go c.server.Serve(l)
	return c, nil
}

// Addr is the stand-in's address.
func (c *Cloud) Addr() string { return c.addr }

// Close ends the stand-in and its machines.
func (c *Cloud) Close() {
	c.server.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, h := range c.hosts {
		if h.worker != nil {
			h.worker.RemoveMachine()
		}
	}
}

// TakeMachine takes a machine away without notice, with everything on it.
func (c *Cloud) TerminateMachine(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[name]; h != nil {
		if h.worker != nil {
			h.worker.RemoveMachine()
		}
		delete(c.hosts, name)
	}
}

// Agents lists the machines that are up.
func (c *Cloud) Agents() []*Agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, h := range c.hosts {
		if h.worker != nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var out []*Agent
	for _, name := range names {
		out = append(out, c.hosts[name].worker)
	}
	return out
}

func (c *Cloud) scaleOut(w http.ResponseWriter, r *http.Request) {
	var req protocol.ScaleOutRequest
	if !read(r, &req) || req.Count < 1 || req.Count > 50 || req.Request == "" {
		reply(w, 400, protocol.Error{Error: "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, again := c.asked[req.Request]
	for !again && len(names) < req.Count && len(c.hosts) < c.capacity {
		c.next++
		name := fmt.Sprintf("n-%06d", c.next)
		h := &rented{host: protocol.Host{UID: name, Type: req.Type, Zone: req.Zone, Spot: req.Spot, State: protocol.HostBooting}, since: time.Now()}
		c.hosts[name] = h
		names = append(names, name)
		time.AfterFunc(100*time.Millisecond, func() { c.up(name) })
	}
	if len(names) == 0 {
		reply(w, 503, protocol.Error{Error: "no capacity"})
		return
	}
	c.asked[req.Request] = names
	reply(w, 200, protocol.MachineNames{Machines: names})
}

func (c *Cloud) up(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[name]
	if h == nil || c.closed {
		return
	}
	worker, err := c.boot(name, h.host.Type, h.host.Zone, h.host.Spot)
	if err != nil {
		h.host.State = protocol.HostFailed
		return
	}
	h.worker, h.host.State, h.host.Addr = worker, protocol.HostRunning, worker.Addr()
}

func (c *Cloud) scaleIn(w http.ResponseWriter, r *http.Request) {
	var names protocol.MachineNames
	if !read(r, &names) || len(names.Machines) > 100 {
		reply(w, 400, protocol.Error{Error: "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names.Machines {
		if h := c.hosts[name]; h != nil {
			if h.worker != nil {
				h.worker.RemoveMachine()
			}
			delete(c.hosts, name)
		}
	}
	reply(w, 200, struct{}{})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	c.mu.Lock()
	defer c.mu.Unlock()
	page := protocol.HostList{Hosts: []protocol.Host{}}
	for name, h := range c.hosts {
		if name > after {
			x := h.host
			x.AgeSeconds = time.Since(h.since).Seconds()
			page.Hosts = append(page.Hosts, x)
		}
	}
	sort.Slice(page.Hosts, func(i, j int) bool { return page.Hosts[i].UID < page.Hosts[j].UID })
	reply(w, 200, page)
}
