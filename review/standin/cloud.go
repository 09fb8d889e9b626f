//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"topazhollow/internal/protocol"
)

// cloud is a stand-in for the cloud with machines of one type.
type cloud struct {
	region   *region
	typ      protocol.MachineType
	capacity int // machines of each zone
	addr     string
	server   *http.Server

	mu       sync.Mutex
	last     int
	machines map[string]*machine
	requests map[string][]string
}

type machine struct {
	name, zone string
	spot       bool
	rented     time.Time
	worker     *worker // nil while it boots
}

func openCloud(g *region, typ protocol.MachineType, capacity int) (*cloud, error) {
	c := &cloud{region: g, typ: typ, capacity: capacity, machines: map[string]*machine{}, requests: map[string][]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, 200, protocol.Catalog{Types: []protocol.MachineType{c.typ}})
	})
	mux.HandleFunc("POST /hosts", c.rent)
	mux.HandleFunc("POST /hosts/return", c.giveBack)
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

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(protocol.Encode(v))
}

// add rents a machine that is up after a time; "" if there is no capacity.
func (c *cloud) add(zone string, spot bool, boot time.Duration) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	used := 0
	for _, m := range c.machines {
		if m.zone == zone {
			used++
		}
	}
	if used >= c.capacity {
		return ""
	}
	c.last++
	m := &machine{name: fmt.Sprintf("n-%06d", c.last), zone: zone, spot: spot, rented: time.Now()}
	c.machines[m.name] = m
	time.AfterFunc(boot, func() { c.boot(m) })
	return m.name
}

func (c *cloud) boot(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[m.name] != m {
		return
	}
	w, err := startWorker(c.region, m.name, c.typ, m.zone, m.spot)
	if err != nil {
		c.region.rec.add("cloud: %s does not come up: %v", m.name, err)
		return
	}
	m.worker = w
	c.region.rec.add("cloud: %s is up in %s", m.name, m.zone)
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var q protocol.ScaleOutRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil || q.Count < 1 || q.Count > protocol.MaxScaleOut || q.Type != c.typ.Name {
		reply(w, 400, protocol.Error{Error: "malformed"})
		return
	}
	c.mu.Lock()
	names, again := c.requests[q.Request]
	c.mu.Unlock()
	if !again {
		for range q.Count {
			if name := c.add(q.Zone, q.Spot, time.Duration(c.typ.BootSeconds*float64(time.Second))); name != "" {
				names = append(names, name)
			}
		}
	}
	c.region.rec.add("cloud: request %s for %d in %s spot=%v -> %v", q.Request, q.Count, q.Zone, q.Spot, names)
	if len(names) == 0 {
		reply(w, 503, protocol.Error{Error: "no capacity"})
		return
	}
	c.mu.Lock()
	c.requests[q.Request] = names
	c.mu.Unlock()
	reply(w, 200, protocol.MachineNames{Machines: names})
}

func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var q protocol.MachineNames
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Machines) > 100 {
		reply(w, 400, protocol.Error{Error: "malformed"})
		return
	}
	c.region.rec.add("cloud: return %v", q.Machines)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range q.Machines {
		if m := c.machines[name]; m != nil {
			if m.worker != nil {
				m.worker.remove()
			}
			delete(c.machines, name)
		}
	}
	reply(w, 200, struct{}{})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	page := protocol.HostList{Hosts: []protocol.Host{}}
	for _, m := range c.machines {
		if m.name <= after {
			continue
		}
		h := protocol.Host{UID: m.name, Type: c.typ.Name, Zone: m.zone, Spot: m.spot, State: protocol.HostBooting,
			AgeSeconds: time.Since(m.rented).Seconds()}
		if m.worker != nil {
			h.State, h.Addr = protocol.HostRunning, m.worker.addr
		}
		page.Hosts = append(page.Hosts, h)
	}
	sort.Slice(page.Hosts, func(i, j int) bool { return page.Hosts[i].UID < page.Hosts[j].UID })
	if len(page.Hosts) > limit {
		page.Hosts, page.More = page.Hosts[:limit], true
	}
	reply(w, 200, page)
}

func (c *cloud) workers() (list []*worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker != nil {
			list = append(list, m.worker)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

func (c *cloud) close() {
	c.server.Close()
	for _, w := range c.workers() {
		w.remove()
	}
}
