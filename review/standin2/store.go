package main

// The state service: one small store with an endpoint of its own for each controller, so that one controller alone can
// be refused, slowed down or cut off. It follows PROTOCOL, "Controller nodes -> state service".

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type storeEntry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type storeEvent struct {
	key     string
	value   json.RawMessage
	deleted bool
	version uint64
}

type storeLease struct {
	life time.Duration
	end  time.Time
}

type txnOp struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"permiso,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

type txn struct {
	Guards []struct {
		Path    string `json:"path"`
		Version uint64 `json:"version"`
	} `json:"guards"`
	Then []txnOp `json:"then"`
}

// Store is the state service.
type Store struct {
	mu       sync.Mutex
	cond     *sync.Cond
	revision uint64
	keys     map[string]storeEntry
	log      []storeEvent
	dropped  uint64 // revision of the last event that the log no longer has
	leases   map[uint64]*storeLease
	next     uint64
	outage   bool
	ops      int
	valueKB  int
	rps, wps *bucket
	Latency  time.Duration
	onSet    func(key string, v json.RawMessage)
}

// bucket is a rate limit with a burst of one second's worth.
type bucket struct {
	rate, have float64
	at         time.Time
}

func newBucket(rate float64) *bucket { return &bucket{rate: rate, have: rate, at: time.Now()} }

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.have = min(b.rate, b.have+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.have < n {
		return false
	}
	b.have -= n
	return true
}

func newStore(rps, wps float64, ops, valueKB int) *Store {
	s := &Store{keys: map[string]storeEntry{}, leases: map[uint64]*storeLease{}, ops: ops, valueKB: valueKB,
		rps: newBucket(rps), wps: newBucket(wps), Latency: time.Millisecond}
	s.cond = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *Store) expire() {
	if s.outage {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			delete(s.leases, id)
			for key, e := range s.keys {
				if e.lease == id {
					s.revision++
					s.remove(key)
				}
			}
		}
	}
}

func (s *Store) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.event(storeEvent{key: key, deleted: true, version: s.revision})
	}
}

func (s *Store) event(e storeEvent) {
	s.log = append(s.log, e)
	if len(s.log) > 10000 {
		s.dropped = s.log[0].version
		s.log = s.log[1:]
	}
	s.cond.Broadcast()
}

// SetOutage begins or ends an outage. Afterwards all leases get their full time again.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage && !on {
		for _, l := range s.leases {
			l.end = time.Now().Add(l.life)
		}
	}
	s.outage = on
	s.cond.Broadcast()
}

// Endpoint is the address of the store for one controller.
type Endpoint struct {
	s         *Store
	Addr      string
	mu        sync.Mutex
	refusing  bool
	cut       bool                                       // requests hang, nothing is executed
	slow      func(r *http.Request) (b, a time.Duration) // before and after execution
	late      func(t *txn) time.Duration                 // >0: unanswered, executed so much later
	lost      func(t *txn) bool                          // executed at once, never answered
	LateCount int
}

func (s *Store) newEndpoint() *Endpoint {
	e := &Endpoint{s: s}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	e.Addr = l.Addr().String()
	go (&http.Server{Handler: e}).Serve(l)
	return e
}

func (e *Endpoint) set(f func()) { e.mu.Lock(); f(); e.mu.Unlock(); e.s.cond.Broadcast() }

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

type obj = map[string]any

func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	e.mu.Lock()
	refusing, cut, slow, late, lost := e.refusing, e.cut, e.slow, e.late, e.lost
	e.mu.Unlock()
	if cut {
		hang(r)
	}
	before, after := e.s.Latency/2, e.s.Latency/2
	if slow != nil {
		b, a := slow(r)
		before, after = before+b, after+a
	}
	time.Sleep(before)
	s := e.s
	s.mu.Lock()
	s.expire()
	out := s.outage || refusing
	over := !out && !s.rps.take(1)
	s.mu.Unlock()
	if out {
		answer(w, 503, obj{"error": "trouble"})
		return
	}
	if over {
		answer(w, 429, obj{"error": "too many requests"})
		return
	}
	path := r.URL.Path
	q := r.URL.Query()
	var status int
	var v any
	switch {
	case r.Method == "GET" && path == "/store":
		status, v = s.list(q.Get("under"), q.Get("after"), q.Get("limit"))
	case r.Method == "GET" && strings.HasPrefix(path, "/store/"):
		status, v = s.get(path[len("/store/"):])
	case path == "/txn":
		var t txn
		if json.Unmarshal(body, &t) != nil || len(body) > 64<<10 {
			answer(w, 400, obj{"error": "malformed"})
			return
		}
		if late != nil {
			if d := late(&t); d > 0 {
				e.mu.Lock()
				e.LateCount++
				e.mu.Unlock()
				time.AfterFunc(d, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.apply(&t)
				})
				hang(r)
			}
		}
		s.mu.Lock()
		status, v = s.apply(&t)
		s.mu.Unlock()
		if lost != nil && lost(&t) {
			hang(r)
		}
	case path == "/grants":
		var g struct {
			Life int64 `json:"life_ms"`
		}
		if json.Unmarshal(body, &g) != nil || g.Life < 100 || g.Life > 600000 {
			answer(w, 400, obj{"error": "malformed"})
			return
		}
		s.mu.Lock()
		s.next++
		life := time.Duration(g.Life) * time.Millisecond
		s.leases[s.next] = &storeLease{life, time.Now().Add(life)}
		status, v = 200, obj{"permiso": s.next}
		s.mu.Unlock()
	case strings.HasPrefix(path, "/grants/"):
		parts := strings.Split(path[len("/grants/"):], "/")
		id, _ := strconv.ParseUint(parts[0], 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		switch {
		case l == nil:
			status, v = 404, obj{"error": "no such lease"}
		case r.Method == "DELETE":
			l.end = time.Time{}
			status, v = 200, obj{}
		default:
			l.end = time.Now().Add(l.life)
			status, v = 200, obj{"permiso": id}
		}
		s.expire()
		s.mu.Unlock()
	case path == "/changes":
		status, v = e.watch(r, q.Get("under"), q.Get("after"), q.Get("block_ms"))
	default:
		status, v = 404, obj{"error": "no such path"}
	}
	time.Sleep(after)
	answer(w, status, v)
}

func (s *Store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	if !ok {
		return 404, obj{"revision": s.revision}
	}
	return 200, s.item(key, e)
}

func (s *Store) item(key string, e storeEntry) obj {
	o := obj{"path": key, "v": e.value, "version": e.version}
	if e.lease != 0 {
		o["permiso"] = e.lease
	}
	return o
}

func (s *Store) list(under, after, limit string) (int, any) {
	n, _ := strconv.Atoi(limit)
	if n <= 0 || n > 1000 {
		n = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, under) && k > after {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	items, size, more := []obj{}, 0, false
	for _, k := range names {
		e := s.keys[k]
		if len(items) == n || size > 500<<10 {
			more = true
			break
		}
		size += len(e.value) + len(k) + 60
		items = append(items, s.item(k, e))
	}
	return 200, obj{"entries": items, "more": more, "revision": s.revision}
}

func (s *Store) apply(t *txn) (int, any) {
	if len(t.Then) > s.ops || len(t.Guards) > 4*s.ops {
		return 400, obj{"error": "too many"}
	}
	if !s.wps.take(float64(len(t.Then))) {
		return 429, obj{"error": "too many changes"}
	}
	s.expire()
	for _, o := range t.Then {
		if o.Lease != 0 && s.leases[o.Lease] == nil {
			return 400, obj{"error": "no such lease"}
		}
		if len(o.Value) > s.valueKB<<10 || (o.Set == "") == (o.Delete == "") {
			return 400, obj{"error": "malformed"}
		}
	}
	failed := []string{}
	for _, g := range t.Guards {
		if s.keys[g.Path].version != g.Version {
			failed = append(failed, g.Path)
		}
	}
	if len(failed) > 0 {
		return 409, obj{"failed": failed, "revision": s.revision}
	}
	if len(t.Then) > 0 {
		s.revision++
	}
	for _, o := range t.Then {
		if o.Delete != "" {
			s.remove(o.Delete)
			continue
		}
		s.keys[o.Set] = storeEntry{o.Value, s.revision, o.Lease}
		s.event(storeEvent{key: o.Set, value: o.Value, version: s.revision})
		if s.onSet != nil {
			s.onSet(o.Set, o.Value)
		}
	}
	return 200, obj{"revision": s.revision}
}

func (e *Endpoint) watch(r *http.Request, under, from, block string) (int, any) {
	after, _ := strconv.ParseUint(from, 10, 64)
	ms, _ := strconv.Atoi(block)
	until := time.Now().Add(time.Duration(min(ms, 60000)) * time.Millisecond)
	s := e.s
	wake := time.AfterFunc(time.Until(until)+time.Millisecond, s.cond.Broadcast)
	defer wake.Stop()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-r.Context().Done():
			s.cond.Broadcast()
		case <-stop:
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if after < s.dropped {
			return 410, obj{"error": "too old"}
		}
		e.mu.Lock()
		blocked := e.refusing || e.cut
		e.mu.Unlock()
		blocked = blocked || s.outage
		var news []obj
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > after })
		for _, x := range s.log[first:] {
			if !strings.HasPrefix(x.key, under) {
				continue
			}
			if x.deleted {
				news = append(news, obj{"delete": x.key, "version": x.version})
			} else {
				news = append(news, obj{"set": x.key, "v": x.value, "version": x.version})
			}
		}
		over := !time.Now().Before(until)
		if (len(news) > 0 && !blocked) || (over && !blocked) || r.Context().Err() != nil || (over && ms == 0) {
			if news == nil {
				news = []obj{}
			}
			return 200, obj{"revision": s.revision, "news": news}
		}
		s.cond.Wait()
	}
}
