// Package simulation implements everything that surrounds the controllers for simulations and tests: the state service,
// the cloud, agents and users. They implement the protocol independently of the controllers' code and support fault
// injection. A checker records violations of the protocol's rules.
package simulation

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"topazhollow/internal/protocol"
)

// KVStore simulates the state service over HTTP. All its endpoints serve the same data.
type KVStore struct {
	mu             sync.Mutex
	changed        *sync.Cond
	revision       uint64
	keys           map[string]entry
	log            []event           // published changes, in the order of their revisions
	leases         map[uint64]*lease // by ID
	nextLease      uint64
	outage         bool
	maxOps         int
	maxValueBytes  int
	mux            *http.ServeMux
	servers        []*http.Server
	addr           string
	requestLimiter *rate.Limiter  // nil: unlimited
	writeLimiter   *rate.Limiter  // of the operations in transactions; nil: unlimited
	rateLimited    int            // requests and transactions refused with 429
	applied        []protocol.Txn // transactions with at least one operation, in order
	observers      []func(key string, value json.RawMessage)
}

type entry struct {
	value   json.RawMessage
	version uint64
	lease   uint64 // ID of the lease that the key is attached to; 0: none
}

type event struct {
	key     string
	value   json.RawMessage
	deleted bool
	version uint64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewKVStore starts a store on a free loopback port. The store rejects transactions with more than txnOps operations
// and values larger than valueKB.
func NewKVStore(txnOps, valueKB int) (*KVStore, error) {
	s := &KVStore{keys: map[string]entry{}, leases: map[uint64]*lease{}, maxOps: txnOps, maxValueBytes: valueKB << 10}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/", s.get)
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /grants", s.grantLease)
	mux.HandleFunc("POST /grants/{id}/extend", s.renewLease)
	mux.HandleFunc("GET /changes", s.watch)
	s.mux = mux
	endpoint, err := s.NewEndpoint()
	if err != nil {
		return nil, err
	}
	s.addr = endpoint.addr
	go s.expireLeases()
	return s, nil
}

// Addr returns the address of the store's first endpoint.
func (s *KVStore) Addr() string { return s.addr }

// Close shuts down all endpoints.
func (s *KVStore) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.Close()
	}
}

// LimitRates limits requests, and the operations of transactions, to the given rates per second, each with a burst of
// one second's worth. Requests beyond a limit are refused with 429.
func (s *KVStore) LimitRates(rps, changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimiter = rate.NewLimiter(rate.Limit(rps), int(rps))
	s.writeLimiter = rate.NewLimiter(rate.Limit(changes), int(changes))
}

// SetLimits replaces the limits on a transaction's operations and on the size of a value, as when the service changes
// them without notice. Larger values that are stored already remain readable.
func (s *KVStore) SetLimits(txnOps, valueKB int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOps, s.maxValueBytes = txnOps, valueKB<<10
}

// maxOperations returns the limit on a transaction's operations.
func (s *KVStore) maxOperations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxOps
}

// CountRefused returns how many requests and transactions the rate limits refused.
func (s *KVStore) CountRefused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimited
}

// SetOutage begins or ends an outage, during which all endpoints refuse all requests and no lease expires. When it
// ends, all leases get their full duration again.
func (s *KVStore) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage && !on {
		for _, l := range s.leases {
			l.expiresAt = time.Now().Add(l.ttl)
		}
	}
	s.outage = on
}

// StoreSnapshot is the content of a store at one moment.
type StoreSnapshot struct {
	revision, next uint64 // next: ID of the lease granted last
	keys           map[string]entry
	log            int // number of published changes
	leases         map[uint64]lease
}

// Snapshot returns the current content.
func (s *KVStore) Snapshot() StoreSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := StoreSnapshot{revision: s.revision, next: s.nextLease, keys: maps.Clone(s.keys), log: len(s.log), leases: map[uint64]lease{}}
	for id, l := range s.leases {
		x.leases[id] = *l
	}
	return x
}

// RollBack restores an earlier content, including its revision, without publishing events; events published since are
// dropped. The restored leases get their full duration again.
func (s *KVStore) RollBack(x StoreSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.nextLease, s.keys, s.log = x.revision, x.next, maps.Clone(x.keys), s.log[:min(x.log, len(s.log))]
	s.leases = map[uint64]*lease{}
	for id, l := range x.leases {
		s.leases[id] = &lease{l.ttl, time.Now().Add(l.ttl)}
	}
	s.changed.Broadcast()
}

// LoseAll drops every key and lease and resets the revision to 0.
func (s *KVStore) LoseAll() { s.RollBack(StoreSnapshot{}) }

// LosePrefix drops the keys with a prefix without publishing events.
func (s *KVStore) LosePrefix(prefix string) (lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			delete(s.keys, key)
			lost++
		}
	}
	return lost
}

// LoseLeases drops all leases and the keys attached to them, and publishes the deletions.
func (s *KVStore) LoseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.keys {
		if e.lease != 0 {
			s.revision++
			s.remove(key)
		}
	}
	s.leases = map[uint64]*lease{}
}

// Put sets a key unconditionally, as a client outside the simulation would.
func (s *KVStore) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = map[string]entry{}
	}
	s.revision++
	s.keys[key] = entry{json.RawMessage(value), s.revision, 0}
	s.log = append(s.log, event{key: key, value: json.RawMessage(value), version: s.revision})
	s.changed.Broadcast()
}

// Size returns the revision and the total size of keys and values in bytes.
func (s *KVStore) Size() (revision, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.keys {
		bytes += len(key) + len(e.value)
	}
	return int(s.revision), bytes
}

// CountKeys returns the number of keys with a prefix.
func (s *KVStore) CountKeys(prefix string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// expireLeases removes expired leases periodically, as long as the process runs.
func (s *KVStore) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
}

// expire removes the expired leases and the keys attached to them. The caller holds the lock.
func (s *KVStore) expire() {
	if s.outage {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
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

// remove deletes a key and publishes the deletion with the current revision. The caller holds the lock.
func (s *KVStore) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.log = append(s.log, event{key: key, deleted: true, version: s.revision})
		s.changed.Broadcast()
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(protocol.Encode(v))
}

func read(r *http.Request, v any) bool {
	return json.NewDecoder(http.MaxBytesReader(nil, r.Body, protocol.MaxBody)).Decode(v) == nil
}

func (s *KVStore) get(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/store/")
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	if !ok {
		reply(w, 404, protocol.TxnResult{Revision: s.revision})
		return
	}
	reply(w, 200, protocol.Entry{Key: key, Value: e.value, Version: e.version, Lease: e.lease})
}

func (s *KVStore) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, q.Get("under")) && key > q.Get("after") {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	page := protocol.EntryList{Revision: s.revision, Items: []protocol.Entry{}}
	for _, key := range names {
		if len(page.Items) == limit {
			page.More = true
			break
		}
		e := s.keys[key]
		page.Items = append(page.Items, protocol.Entry{Key: key, Value: e.value, Version: e.version, Lease: e.lease})
	}
	reply(w, 200, page)
}

func (s *KVStore) txn(w http.ResponseWriter, r *http.Request) {
	var t protocol.Txn
	if maxOps := s.maxOperations(); !read(r, &t) || len(t.Then) > maxOps || len(t.Conditions) > 4*maxOps {
		reply(w, 400, protocol.Error{Error: "malformed"})
		return
	}
	endpoint, _ := r.Context().Value(endpointKey{}).(*Endpoint)
	if endpoint.delayTransaction(&t) {
		leaveUnanswered(r)
	}
	status, answer, lost := endpoint.apply(&t)
	if lost {
		leaveUnanswered(r)
	}
	reply(w, status, answer)
}

// leaveUnanswered keeps a request open until the client gives up.
func leaveUnanswered(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// AppliedTransactions returns the transactions that were applied with at least one operation, in order.
func (s *KVStore) AppliedTransactions() []protocol.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.applied)
}

// ObserveSets calls a function for each key that a transaction sets from now on, before the transaction is answered. The
// function must not call the store.
func (s *KVStore) ObserveSets(observe func(key string, value json.RawMessage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observers = append(s.observers, observe)
}

// RepeatTransaction applies a transaction once more, like a duplicate that the network delivers late, and reports
// whether it changed anything.
func (s *KVStore) RepeatTransaction(t protocol.Txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, _ := s.apply(&t)
	return status == 200 && len(t.Then) > 0
}

// apply checks a transaction's limits, leases and conditions and applies its operations. The caller holds the lock.
func (s *KVStore) apply(t *protocol.Txn) (status int, answer any) {
	if s.writeLimiter != nil && len(t.Then) > 0 && !s.writeLimiter.AllowN(time.Now(), len(t.Then)) {
		s.rateLimited++
		return 429, protocol.Error{Error: "too many changes"}
	}
	for _, o := range t.Then {
		if o.Lease != 0 && s.leases[o.Lease] == nil {
			return 400, protocol.Error{Error: "no such lease"}
		}
		if len(o.Value) > s.maxValueBytes || (o.Set == "") == (o.Delete == "") {
			return 400, protocol.Error{Error: "malformed"}
		}
	}
	var failed []string
	for _, g := range t.Conditions {
		if s.keys[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return 409, protocol.TxnResult{Revision: s.revision, Failed: failed}
	}
	if len(t.Then) > 0 {
		s.revision++
		s.applied = append(s.applied, *t)
	}
	for _, o := range t.Then {
		if o.Delete != "" {
			s.remove(o.Delete)
			continue
		}
		if s.keys == nil {
			s.keys = map[string]entry{}
		}
		s.keys[o.Set] = entry{o.Value, s.revision, o.Lease}
		s.log = append(s.log, event{key: o.Set, value: o.Value, version: s.revision})
		for _, observe := range s.observers {
			observe(o.Set, o.Value)
		}
	}
	s.changed.Broadcast()
	return 200, protocol.TxnResult{Revision: s.revision}
}

func (s *KVStore) grantLease(w http.ResponseWriter, r *http.Request) {
	var g protocol.LeaseRequest
	if !read(r, &g) || g.TTLMillis < 100 || g.TTLMillis > 600000 {
		reply(w, 400, protocol.Error{Error: "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	life := time.Duration(g.TTLMillis) * time.Millisecond
	s.leases[s.nextLease] = &lease{life, time.Now().Add(life)}
	reply(w, 200, protocol.LeaseGrant{Lease: s.nextLease})
}

func (s *KVStore) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, protocol.Error{Error: "no such lease"})
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	reply(w, 200, protocol.LeaseGrant{Lease: id})
}

// watch answers with the changes after a revision, once there are any or the requested time has passed.
func (s *KVStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("block_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := time.AfterFunc(time.Until(until), s.changed.Broadcast)
	defer wake.Stop()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-r.Context().Done():
			s.changed.Broadcast()
		case <-stop:
		}
	}()
	endpoint, _ := r.Context().Value(endpointKey{}).(*Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		ch := protocol.Changes{Revision: s.revision, Events: []protocol.Change{}}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > after })
		for _, e := range s.log[first:] {
			if !strings.HasPrefix(e.key, q.Get("under")) {
				continue
			}
			c := protocol.Change{Set: e.key, Value: e.value, Version: e.version}
			if e.deleted {
				c = protocol.Change{Delete: e.key, Version: e.version}
			}
			ch.Events = append(ch.Events, c)
		}
		if (len(ch.Events) > 0 && !s.outage && !endpoint.refusing) || time.Now().After(until) || r.Context().Err() != nil {
			reply(w, 200, ch)
			return
		}
		s.changed.Wait()
	}
}
