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

// Endpoint is an address of the stand-in of its own, as for one controller that the service
// serves otherwise than the rest.
type Endpoint struct {
	store      *KVStore
	addr       string
	refused    bool
	late       func() time.Duration // for how long a transaction is held up; 0: not at all
	applied    int                  // transactions that were carried out late
	conflicted int                  // late ones whose guards did not hold any more

	slow       time.Duration              // that answers take longer
	unanswered func(t *protocol.Txn) bool // picks transactions whose answer is lost
	lost       []protocol.Txn             // that changed something, and whose answer was lost
}

type endpointKey struct{}

// NewEndpoint opens one.
func (s *KVStore) NewEndpoint() (*Endpoint, error) {
	return s.NewEndpointVia(func(h http.Handler) http.Handler { return h })
}

// NewEndpointVia opens one whose requests pass through what wrap makes of its handler, as to count them.
func (s *KVStore) NewEndpointVia(wrap func(http.Handler) http.Handler) (*Endpoint, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Endpoint{store: s, addr: l.Addr().String()}
	server := &http.Server{Handler: wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		out := s.outage || d.refused
		over := !out && s.requests != nil && !s.requests.Allow()
		if over {
			s.refused++
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

// Addr is the endpoint's address.
func (d *Endpoint) Addr() string { return d.addr }

// RefuseAll has all requests at the endpoint refused, and its open watches wait.
func (d *Endpoint) RefuseAll(on bool) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.refused = on
	d.store.changed.Broadcast()
}

// DelayTransactions has transactions at the endpoint carried out after a time, without an answer; nil: none.
func (d *Endpoint) DelayTransactions(hold func() time.Duration) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.late = hold
}

// CountDelayed counts the late transactions that changed something, and those that newer ones had overtaken.
func (d *Endpoint) CountDelayed() (applied, met int) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	return d.applied, d.conflicted
}

// DelayAnswers has answers at the endpoint take so much longer; what is asked for is done at once. 0: none.
func (d *Endpoint) DelayAnswers(by time.Duration) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.slow = by
}

// answer is one that is not sent yet.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

// serve answers a request, at the endpoint's pace.
func (d *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	a := &answer{header: http.Header{}, status: http.StatusOK}
	d.store.mux.ServeHTTP(a, r)
	d.store.mu.Lock()
	slow := d.slow
	d.store.mu.Unlock()
	time.Sleep(slow)
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes()) // whom it does not reach asks again
}

// DropAnswers has the transactions that a function picks carried out at once, but their answers lost; nil: none.
func (d *Endpoint) DropAnswers(pick func(t *protocol.Txn) bool) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.unanswered = pick
}

// UnansweredTransactions lists the transactions that changed something, and whose answer was lost.
func (d *Endpoint) UnansweredTransactions() []protocol.Txn {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	return slices.Clone(d.lost)
}

// hold draws for how long the next transaction is held up.
func (d *Endpoint) hold() time.Duration {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	if d.late == nil {
		return 0
	}
	return d.late()
}

// applyLate carries a transaction out that was held up.
func (d *Endpoint) applyLate(t *protocol.Txn) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	switch status, _ := d.store.apply(t); {
	case status == 200 && len(t.Then) > 0:
		d.applied++
	case status == 409:
		d.conflicted++
	}
}

// apply carries a transaction out and says whether its answer is lost.
func (d *Endpoint) apply(t *protocol.Txn) (status int, answer any, lost bool) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	lost = d.unanswered != nil && d.unanswered(t)
	status, answer = d.store.apply(t)
	if lost && status == 200 && len(t.Then) > 0 {
		d.lost = append(d.lost, *t)
	}
	return status, answer, lost
}
