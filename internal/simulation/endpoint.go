package simulation

import (
	"bytes"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// Endpoint is a separate address of a KVStore with its own faults, so that for example one controller cannot reach the
// store while the others can.
type Endpoint struct {
	store            *KVStore
	addr             string
	refusing         bool
	transactionDelay func() time.Duration // draws a transaction's delay; 0: none
	delayedApplied   int                  // delayed transactions that changed something
	delayedConflicts int                  // delayed transactions whose conditions no longer held

	answerDelay time.Duration              // added to each answer
	dropAnswer  func(t *protocol.Txn) bool // selects transactions whose answer is lost; nil: none
	unanswered  []protocol.Txn             // transactions that changed something and whose answer was lost
}

type endpointKey struct{}

// NewEndpoint starts an endpoint on a free loopback port.
func (s *KVStore) NewEndpoint() (*Endpoint, error) {
	return s.NewEndpointVia(func(h http.Handler) http.Handler { return h })
}

// NewEndpointVia starts an endpoint whose handler is wrapped by the given function, for example to count requests.
func (s *KVStore) NewEndpointVia(wrap func(http.Handler) http.Handler) (*Endpoint, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Endpoint{store: s, addr: l.Addr().String()}
	server := &http.Server{Handler: wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		out := s.outage || d.refusing
		over := !out && s.requestLimiter != nil && !s.requestLimiter.Allow()
		if over {
			s.rateLimited++
		}
		s.mu.Unlock()
		switch {
		case out:
			reply(w, 503, protocol.Error{Error: "trouble"})
			return
		case over:
			reply(w, 429, protocol.Error{Error: "too many requests"})
			return
		}
		d.serve(w, r.WithContext(context.WithValue(r.Context(), endpointKey{}, d)))
	}))}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go server.Serve(l)
	return d, nil
}

// Addr returns the endpoint's address.
func (d *Endpoint) Addr() string { return d.addr }

// RefuseAll makes the endpoint refuse all new requests, or accept them again. While it refuses, its open watches are
// not answered before their time has passed.
func (d *Endpoint) RefuseAll(on bool) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.refusing = on
	d.store.changed.Broadcast()
}

// DelayTransactions makes the endpoint apply transactions only after a drawn delay and leave them unanswered. A delay
// of 0 applies the transaction normally; nil ends the fault.
func (d *Endpoint) DelayTransactions(delay func() time.Duration) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.transactionDelay = delay
}

// CountDelayed returns how many delayed transactions changed something, and how many failed because newer transactions
// had overtaken them.
func (d *Endpoint) CountDelayed() (applied, conflicted int) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	return d.delayedApplied, d.delayedConflicts
}

// DelayAnswers delays the endpoint's answers; the requests themselves are executed immediately. 0: none.
func (d *Endpoint) DelayAnswers(by time.Duration) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.answerDelay = by
}

// bufferedAnswer collects an answer that is sent later.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *bufferedAnswer) Header() http.Header         { return a.header }
func (a *bufferedAnswer) WriteHeader(status int)      { a.status = status }
func (a *bufferedAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

// serve answers a request after the endpoint's delay.
func (d *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	a := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
	d.store.mux.ServeHTTP(a, r)
	d.store.mu.Lock()
	delay := d.answerDelay
	d.store.mu.Unlock()
	time.Sleep(delay)
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes()) // a client that gets no answer retries
}

// DropAnswers makes the endpoint apply the selected transactions immediately but never answer them; nil: none.
func (d *Endpoint) DropAnswers(pick func(t *protocol.Txn) bool) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.dropAnswer = pick
}

// UnansweredTransactions returns the transactions that were applied with at least one operation and whose answer was
// lost.
func (d *Endpoint) UnansweredTransactions() []protocol.Txn {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	return slices.Clone(d.unanswered)
}

// drawTransactionDelay draws the delay of the next transaction.
func (d *Endpoint) drawTransactionDelay() time.Duration {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	if d.transactionDelay == nil {
		return 0
	}
	return d.transactionDelay()
}

// applyDelayed applies a delayed transaction.
func (d *Endpoint) applyDelayed(t *protocol.Txn) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	switch status, _ := d.store.apply(t); {
	case status == 200 && len(t.Then) > 0:
		d.delayedApplied++
	case status == 409:
		d.delayedConflicts++
	}
}

// apply applies a transaction and reports whether its answer is lost.
func (d *Endpoint) apply(t *protocol.Txn) (status int, answer any, lost bool) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	lost = d.dropAnswer != nil && d.dropAnswer(t)
	status, answer = d.store.apply(t)
	if lost && status == 200 && len(t.Then) > 0 {
		d.unanswered = append(d.unanswered, *t)
	}
	return status, answer, lost
}
