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
	repeatDelay      func() time.Duration // draws after what delay an answered transaction arrives again; 0: not again
	delayedApplied   int                  // delayed transactions that changed something
	delayedConflicts int                  // delayed transactions whose conditions no longer held

	holdTransaction  func(t *protocol.Txn) bool // selects transactions to hold; nil: none
	heldTransactions []*protocol.Txn            // in the order in which they arrived

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
	e := &Endpoint{store: s, addr: l.Addr().String()}
	server := &http.Server{Handler: wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		out := s.outage || e.refusing
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
		e.serve(w, r.WithContext(context.WithValue(r.Context(), endpointKey{}, e)))
	}))}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go server.Serve(l)
	return e, nil
}

// Addr returns the endpoint's address.
func (e *Endpoint) Addr() string { return e.addr }

// RefuseAll makes the endpoint refuse all new requests, or accept them again. While it refuses, its open watches are
// not answered before their time has passed.
func (e *Endpoint) RefuseAll(on bool) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.refusing = on
	e.store.changed.Broadcast()
}

// DelayTransactions makes the endpoint apply transactions only after a drawn delay and leave them unanswered. A delay
// of 0 applies the transaction normally; nil ends the fault.
func (e *Endpoint) DelayTransactions(delay func() time.Duration) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.transactionDelay = delay
}

// RepeatTransactions makes the endpoint apply transactions that succeeded and were answered once more after a drawn delay,
// if their conditions still hold then; CountDelayed counts these too. A delay of 0 does not repeat the transaction; nil
// ends the fault.
func (e *Endpoint) RepeatTransactions(delay func() time.Duration) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.repeatDelay = delay
}

// HoldTransactions makes the endpoint hold the selected transactions, unanswered, until ReleaseTransactions; nil: none
// from now on.
func (e *Endpoint) HoldTransactions(pick func(t *protocol.Txn) bool) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.holdTransaction = pick
}

// CountHeld returns how many transactions wait for ReleaseTransactions.
func (e *Endpoint) CountHeld() int {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	return len(e.heldTransactions)
}

// ReleaseTransactions applies the held transactions in the order in which they arrived. It returns how many changed
// something or failed because newer transactions had overtaken them; CountDelayed counts these too.
func (e *Endpoint) ReleaseTransactions() (late int) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	before := e.delayedApplied + e.delayedConflicts
	for _, t := range e.heldTransactions {
		e.applyDelayed(t)
	}
	e.heldTransactions = nil
	return e.delayedApplied + e.delayedConflicts - before
}

// CountDelayed returns how many delayed transactions changed something, and how many failed because newer transactions
// had overtaken them.
func (e *Endpoint) CountDelayed() (applied, conflicted int) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	return e.delayedApplied, e.delayedConflicts
}

// DelayAnswers delays the endpoint's answers; the requests themselves are executed immediately. 0: none.
func (e *Endpoint) DelayAnswers(by time.Duration) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.answerDelay = by
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
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	a := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
	e.store.mux.ServeHTTP(a, r)
	e.store.mu.Lock()
	delay := e.answerDelay
	e.store.mu.Unlock()
	time.Sleep(delay)
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes()) // a client that gets no answer retries
}

// DropAnswers makes the endpoint apply the selected transactions immediately but never answer them; nil: none.
func (e *Endpoint) DropAnswers(pick func(t *protocol.Txn) bool) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.dropAnswer = pick
}

// UnansweredTransactions returns the transactions that were applied with at least one operation and whose answer was
// lost.
func (e *Endpoint) UnansweredTransactions() []protocol.Txn {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	return slices.Clone(e.unanswered)
}

// delayTransaction reports whether a transaction is held or delayed by a drawn time. It is then applied later.
func (e *Endpoint) delayTransaction(t *protocol.Txn) (delayed bool) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	if e.holdTransaction != nil && e.holdTransaction(t) {
		e.heldTransactions = append(e.heldTransactions, t)
		return true
	}
	if e.transactionDelay == nil {
		return false
	}
	return e.applyAfter(t, e.transactionDelay())
}

// applyAfter applies a transaction after a delay, and reports whether there is one. The caller holds the store's lock.
func (e *Endpoint) applyAfter(t *protocol.Txn, delay time.Duration) bool {
	if delay <= 0 {
		return false
	}
	time.AfterFunc(delay, func() {
		e.store.mu.Lock()
		defer e.store.mu.Unlock()
		e.applyDelayed(t)
	})
	return true
}

// applyDelayed applies a delayed transaction. The caller holds the store's lock.
func (e *Endpoint) applyDelayed(t *protocol.Txn) {
	switch status, _ := e.store.apply(t); {
	case status == 200 && len(t.Then) > 0:
		e.delayedApplied++
	case status == 409:
		e.delayedConflicts++
	}
}

// apply applies a transaction and reports whether its answer is lost.
func (e *Endpoint) apply(t *protocol.Txn) (status int, answer any, lost bool) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	lost = e.dropAnswer != nil && e.dropAnswer(t)
	status, answer = e.store.apply(t)
	if status == 200 && len(t.Then) > 0 {
		if lost {
			e.unanswered = append(e.unanswered, *t)
		}
		if e.repeatDelay != nil {
			e.applyAfter(t, e.repeatDelay())
		}
	}
	return status, answer, lost
}
