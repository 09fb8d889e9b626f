package main

// The cloud: PROTOCOL, "Controller nodes -> cloud".

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// MachineType is an entry of the catalog.
type MachineType struct {
	Name  string   `json:"name"`
	Cores float64  `json:"cores"`
	Cards float64  `json:"cards"`
	RAM   float64  `json:"ram_gb"`
	Local float64  `json:"local_gb"`
	Pull  float64  `json:"pull_gb_per_s"`
	Price float64  `json:"price"`
	Low   float64  `json:"low_price"`
	Ready float64  `json:"ready_s"`
	Zonas []string `json:"zonas"`
}

type host struct {
	name, typ, zone string
	spot            bool
	state           string
	at              time.Time
	w               *Worker
}

// Cloud rents machines.
type Cloud struct {
	w        *World
	addr     string
	mu       sync.Mutex
	hosts    map[string]*host
	requests map[string][]string
	next     int
	capacity map[string]int // type/zone/spot
	lag      float64
	history  []snapshot
	outage   bool
	hang     bool
	rate     *bucket
	boot     func() float64
}

type snapshot struct {
	at   time.Time
	list []obj
}

func newCloud(w *World, rps, lag float64, capacity map[string]int) *Cloud {
	c := &Cloud{w: w, hosts: map[string]*host{}, requests: map[string][]string{}, capacity: capacity, lag: lag, rate: &bucket{rate: rps, have: 2 * rps, at: time.Now()}}
	c.boot = func() float64 { return 1 + 2*w.rand() }
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	c.addr = l.Addr().String()
	go (&http.Server{Handler: c}).Serve(l)
	go func() {
		for range time.Tick(250 * time.Millisecond) {
			c.mu.Lock()
			c.history = append(c.history, snapshot{time.Now(), c.listNow()})
			if len(c.history) > 200 {
				c.history = c.history[100:]
			}
			c.mu.Unlock()
		}
	}()
	return c
}

func (c *Cloud) listNow() []obj {
	var names []string
	for n := range c.hosts {
		names = append(names, n)
	}
	sort.Strings(names)
	list := []obj{}
	for _, n := range names {
		h := c.hosts[n]
		o := obj{"uid": h.name, "address": "", "modelo": h.typ, "zona": h.zone, "prestadas": h.spot, "estado": h.state, "held_s": time.Since(h.at).Seconds()}
		if h.w != nil {
			o["address"] = h.w.addr
		}
		list = append(list, o)
	}
	return list
}

func (c *Cloud) rent(typ, zone string, spot bool, boot float64) *host {
	c.next++
	h := &host{name: fmt.Sprintf("n-%06d", c.next), typ: typ, zone: zone, spot: spot, state: "booting", at: time.Now()}
	c.hosts[h.name] = h
	up := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.hosts[h.name] != h {
			return
		}
		h.w = newWorker(c.w, h.name, typ, zone, spot)
		h.state = "running"
		c.w.rec("machine %s up (%s %s spot=%v)", h.name, typ, zone, spot)
	}
	time.AfterFunc(secs(boot), up)
	return h
}

func (c *Cloud) take(name string) {
	h := c.hosts[name]
	if h == nil {
		return
	}
	delete(c.hosts, name)
	if h.w != nil {
		h.w.remove()
	}
}

// Take reclaims a machine without notice.
func (c *Cloud) Take(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.take(name)
}

// Workers returns the machines that are up.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for n, h := range c.hosts {
		if h.w != nil {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var ws []*Worker
	for _, n := range names {
		ws = append(ws, c.hosts[n].w)
	}
	return ws
}

func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	out, hangs := c.outage, c.hang
	over := !out && !c.rate.take2()
	c.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	if hangs {
		hang(r)
	}
	if out {
		answer(w, 503, obj{"error": "trouble"})
		return
	}
	if over {
		answer(w, 429, obj{"error": "too many requests"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == "/catalog":
		list := []MachineType{}
		for _, n := range c.w.typeOrder {
			list = append(list, c.w.types[n])
		}
		answer(w, 200, obj{"modelos": list})
	case r.URL.Path == "/hosts" && r.Method == "GET":
		limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
		after := r.URL.Query().Get("after")
		at := time.Now().Add(-secs(c.lag * (0.5 + 1.5*c.w.rand())))
		list := []obj{}
		for _, s := range c.history {
			if !s.at.After(at) {
				list = s.list
			}
		}
		page, more := []obj{}, false
		for _, o := range list {
			if o["uid"].(string) > after {
				if len(page) == limit {
					more = true
					break
				}
				page = append(page, o)
			}
		}
		answer(w, 200, obj{"estaciones": page, "more": more})
	case r.URL.Path == "/hosts/return":
		var q struct{ Estaciones []string }
		json.Unmarshal(body, &q)
		for _, n := range q.Estaciones {
			c.take(n)
		}
		c.w.rec("returned %v", q.Estaciones)
		answer(w, 200, obj{})
	case r.URL.Path == "/hosts":
		var q struct {
			Pedido    string
			Modelo    string
			Zona      string
			Prestadas bool
			How_many  int
		}
		if json.Unmarshal(body, &q) != nil || q.How_many < 1 || q.How_many > 50 || q.Pedido == "" {
			answer(w, 400, obj{"error": "malformed"})
			return
		}
		if names, again := c.requests[q.Pedido]; again {
			answer(w, 200, obj{"estaciones": names})
			return
		}
		key := fmt.Sprintf("%s/%s/%v", q.Modelo, q.Zona, q.Prestadas)
		have := 0
		for _, h := range c.hosts {
			if fmt.Sprintf("%s/%s/%v", h.typ, h.zone, h.spot) == key {
				have++
			}
		}
		var names []string
		for i := 0; i < q.How_many && have < c.capacity[key]; i++ {
			names = append(names, c.rent(q.Modelo, q.Zona, q.Prestadas, c.boot()).name)
			have++
		}
		if len(names) == 0 {
			answer(w, 503, obj{"error": "no capacity"})
			return
		}
		c.requests[q.Pedido] = names
		answer(w, 200, obj{"estaciones": names})
	default:
		answer(w, 404, obj{"error": "no such path"})
	}
}

// take2 allows bursts of two seconds' worth.
func (b *bucket) take2() bool {
	now := time.Now()
	b.have = min(2*b.rate, b.have+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}

// Fail makes a machine stop by itself; it stays listed as failed until it is returned.
func (c *Cloud) Fail(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[name]; h != nil && h.w != nil {
		h.state = "failed"
		h.w.remove()
		h.w = nil
	}
}
