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

// Cloud simulates the cloud's API; its machines run simulated agents.
type Cloud struct {
	mu       sync.Mutex
	types    []protocol.MachineType
	machines map[string]*cloudMachine
	requests map[string][]string // names of the machines granted to each scale-out request, by request ID
	lastID   int                 // number in the name of the newest machine
	capacity int                 // maximum number of machines
	boot     func(name, typ, zone string, spot bool) (*Agent, error)
	server   *http.Server
	addr     string
	closed   bool
	delay    time.Duration // see DelayRequests
	late     int           // requests that were carried out late
}

type cloudMachine struct {
	host        protocol.Host
	requestedAt time.Time
	agent       *Agent // nil until the machine has booted
}

// NewCloud starts a cloud with the given machine types and a limit on the number of machines. boot starts a machine's
// agent.
func NewCloud(types []protocol.MachineType, capacity int, boot func(name, typ, zone string, spot bool) (*Agent, error)) (*Cloud, error) {
	c := &Cloud{types: types, capacity: capacity, boot: boot, machines: map[string]*cloudMachine{}, requests: map[string][]string{}}
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

// Addr returns the address of the API.
func (c *Cloud) Addr() string { return c.addr }

// Close shuts down the API and removes all machines.
func (c *Cloud) Close() {
	c.server.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, h := range c.machines {
		if h.agent != nil {
			h.agent.RemoveMachine()
		}
	}
}

// TerminateMachine removes a machine and everything on it without notice.
func (c *Cloud) TerminateMachine(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.machines[name]; h != nil {
		if h.agent != nil {
			h.agent.RemoveMachine()
		}
		delete(c.machines, name)
	}
}

// Agents returns the agents of the running machines, sorted by machine name.
func (c *Cloud) Agents() []*Agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, h := range c.machines {
		if h.agent != nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var out []*Agent
	for _, name := range names {
		out = append(out, c.machines[name].agent)
	}
	return out
}

// DelayRequests lets requests to acquire and to release machines end without an answer from now on; they are carried out
// after the delay. 0: they are answered again.
func (c *Cloud) DelayRequests(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = delay
}

// CountLateRequests returns how many requests have been carried out late.
func (c *Cloud) CountLateRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

// delayRequest has a request carried out late if requests are delayed, and then ends its connection without an answer.
// c.mu must be held; carryOut is called with it held.
func (c *Cloud) delayRequest(carryOut func()) {
	if c.delay == 0 {
		return
	}
	time.AfterFunc(c.delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			c.late++
			carryOut()
		}
	})
	panic(http.ErrAbortHandler)
}

// scaleOut grants machines up to the capacity. A repeated request with the same ID gets the same machines and no
// further ones.
func (c *Cloud) scaleOut(w http.ResponseWriter, r *http.Request) {
	var req protocol.ScaleOutRequest
	if !read(r, &req) || req.Count < 1 || req.Count > 50 || req.Request == "" {
		reply(w, 400, protocol.Error{Error: "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayRequest(func() { c.grant(&req) })
	names := c.grant(&req)
	if len(names) == 0 {
		reply(w, 503, protocol.Error{Error: "no capacity"})
		return
	}
	reply(w, 200, protocol.MachineNames{Machines: names})
}

// grant acquires the machines of a request. c.mu must be held.
func (c *Cloud) grant(req *protocol.ScaleOutRequest) (names []string) {
	names, again := c.requests[req.Request]
	for !again && len(names) < req.Count && len(c.machines) < c.capacity {
		c.lastID++
		name := fmt.Sprintf("n-%06d", c.lastID)
		h := &cloudMachine{host: protocol.Host{UID: name, Type: req.Type, Zone: req.Zone, Spot: req.Spot, State: protocol.HostBooting}, requestedAt: time.Now()}
		c.machines[name] = h
		names = append(names, name)
		time.AfterFunc(100*time.Millisecond, func() { c.bootMachine(name) })
	}
	if len(names) > 0 {
		c.requests[req.Request] = names
	}
	return names
}

func (c *Cloud) bootMachine(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.machines[name]
	if h == nil || c.closed {
		return
	}
	agent, err := c.boot(name, h.host.Type, h.host.Zone, h.host.Spot)
	if err != nil {
		h.host.State = protocol.HostFailed
		return
	}
	h.agent, h.host.State, h.host.Addr = agent, protocol.HostRunning, agent.Addr()
}

func (c *Cloud) scaleIn(w http.ResponseWriter, r *http.Request) {
	var names protocol.MachineNames
	if !read(r, &names) || len(names.Machines) > 100 {
		reply(w, 400, protocol.Error{Error: "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayRequest(func() { c.release(names.Machines) })
	c.release(names.Machines)
	reply(w, 200, struct{}{})
}

// release removes machines. c.mu must be held.
func (c *Cloud) release(names []string) {
	for _, name := range names {
		if h := c.machines[name]; h != nil {
			if h.agent != nil {
				h.agent.RemoveMachine()
			}
			delete(c.machines, name)
		}
	}
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	c.mu.Lock()
	defer c.mu.Unlock()
	page := protocol.HostList{Hosts: []protocol.Host{}}
	for name, h := range c.machines {
		if name > after {
			x := h.host
			x.AgeSeconds = time.Since(h.requestedAt).Seconds()
			page.Hosts = append(page.Hosts, x)
		}
	}
	sort.Slice(page.Hosts, func(i, j int) bool { return page.Hosts[i].UID < page.Hosts[j].UID })
	reply(w, 200, page)
}
