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

// Door is an address of the stand-in of its own, as for one controller that the service
// serves otherwise than the rest.
type Door struct {
	s       *State
	addr    string
	refused bool
	late    func() time.Duration // for how long a transaction is held up; 0: not at all
	applied int                  // transactions that were carried out late
	met     int                  // late ones whose guards did not hold any more

	slow       time.Duration              // that answers take longer
	unanswered func(t *protocol.Txn) bool // picks transactions whose answer is lost
	lost       []protocol.Txn             // that changed something, and whose answer was lost
}

type doorKey struct{}

// Door opens one.
func (s *State) Door() (*Door, error) {
	return s.DoorVia(func(h http.Handler) http.Handler { return h })
}

// DoorVia opens one whose requests pass through what wrap makes of its handler, as to count them.
func (s *State) DoorVia(wrap func(http.Handler) http.Handler) (*Door, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{s: s, addr: l.Addr().String()}
	server := &http.Server{Handler: wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		out := s.out || d.refused
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
		d.serve(w, r.WithContext(context.WithValue(r.Context(), doorKey{}, d)))
	}))}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go server.Serve(l)
	return d, nil
}

// Addr is the door's address.
func (d *Door) Addr() string { return d.addr }

// Refuse has all requests at the door refused, and its open watches wait.
func (d *Door) Refuse(on bool) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	d.refused = on
	d.s.changed.Broadcast()
}

// Late has transactions at the door carried out after a time, without an answer; nil: none.
func (d *Door) Late(hold func() time.Duration) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	d.late = hold
}

// CarriedLate counts the late transactions that changed something, and those that newer ones had overtaken.
func (d *Door) CarriedLate() (applied, met int) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	return d.applied, d.met
}

// Slow has answers at the door take so much longer; what is asked for is done at once. 0: none.
func (d *Door) Slow(by time.Duration) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
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

// serve answers a request, at the door's pace.
func (d *Door) serve(w http.ResponseWriter, r *http.Request) {
	a := &answer{header: http.Header{}, status: http.StatusOK}
	d.s.mux.ServeHTTP(a, r)
	d.s.mu.Lock()
	slow := d.slow
	d.s.mu.Unlock()
	time.Sleep(slow)
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes()) // whom it does not reach asks again
}

// Unanswered has the transactions that a function picks carried out at once, but their answers lost; nil: none.
func (d *Door) Unanswered(pick func(t *protocol.Txn) bool) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	d.unanswered = pick
}

// Lost lists the transactions that changed something, and whose answer was lost.
func (d *Door) Lost() []protocol.Txn {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	return slices.Clone(d.lost)
}

// hold draws for how long the next transaction is held up.
func (d *Door) hold() time.Duration {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	if d.late == nil {
		return 0
	}
	return d.late()
}

// carryLate carries a transaction out that was held up.
func (d *Door) carryLate(t *protocol.Txn) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	switch status, _ := d.s.apply(t); {
	case status == 200 && len(t.Then) > 0:
		d.applied++
	case status == 409:
		d.met++
	}
}

// carry carries a transaction out and says whether its answer is lost.
func (d *Door) carry(t *protocol.Txn) (status int, answer any, lost bool) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	lost = d.unanswered != nil && d.unanswered(t)
	status, answer = d.s.apply(t)
	if lost && status == 200 && len(t.Then) > 0 {
		d.lost = append(d.lost, *t)
	}
	return status, answer, lost
}
