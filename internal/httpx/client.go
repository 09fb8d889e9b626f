package httpx

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Link is one ordered client connection: requests go out one after another,
// and the next only after the answer to the last.
type Link struct {
	addr string
	max  int
	conn net.Conn
	r    *bufio.Reader
}

// NewLink is a link to an address with a bound for response bodies.
func NewLink(addr string, maxBody int) *Link { return &Link{addr: addr, max: maxBody} }

// Addr is the address that the link goes to.
func (l *Link) Addr() string { return l.addr }

// Open says whether a connection stands.
func (l *Link) Open() bool { return l.conn != nil }

// Close ends the connection.
func (l *Link) Close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn, l.r = nil, nil
	}
}

// Do sends a request and waits for its answer. sent says whether a byte of the
// request may have left: after an error the request may still be carried out.
func (l *Link) Do(ctx context.Context, method, target string, body []byte, timeout time.Duration) (resp *Response, sent bool, err error) {
	deadline := time.Now().Add(timeout)
	if l.conn == nil {
		d := net.Dialer{Deadline: deadline, KeepAlive: -1}
		conn, err := d.DialContext(ctx, "tcp4", l.addr)
		if err != nil {
			return nil, false, err
		}
		l.conn, l.r = conn, bufio.NewReaderSize(conn, 8<<10)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.connClose() })
	defer stop()
	_ = l.conn.SetDeadline(deadline)
	if _, err = l.conn.Write(AppendRequest(make([]byte, 0, len(body)+160), method, l.addr, target, body)); err != nil {
		l.Close()
		return nil, true, err
	}
	resp, err = ReadResponse(l.r, l.max)
	if err != nil {
		l.Close()
		return nil, true, err
	}
	if resp.Close {
		l.Close()
	}
	return resp, true, nil
}

func (l *Link) connClose() error {
	if conn := l.conn; conn != nil {
		return conn.SetDeadline(time.Unix(1, 0))
	}
	return nil
}

// Pool sends independent requests to one address over a few kept connections.
type Pool struct {
	addr string
	max  int
	mu   sync.Mutex
	idle []*Link
	busy chan struct{}
}

// NewPool is a pool with a bound of connections in use at once.
func NewPool(addr string, maxBody, maxConns int) *Pool {
	return &Pool{addr: addr, max: maxBody, busy: make(chan struct{}, maxConns)}
}

// Do sends one request on a free connection.
func (p *Pool) Do(ctx context.Context, method, target string, body []byte, timeout time.Duration) (resp *Response, sent bool, err error) {
	select {
	case p.busy <- struct{}{}:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	defer func() { <-p.busy }()
	p.mu.Lock()
	var l *Link
	if n := len(p.idle); n > 0 {
		l, p.idle = p.idle[n-1], p.idle[:n-1]
	} else {
		l = NewLink(p.addr, p.max)
	}
	p.mu.Unlock()
	resp, sent, err = l.Do(ctx, method, target, body, timeout)
	if err != nil {
		return nil, sent, err
	}
	if l.Open() {
		p.mu.Lock()
		p.idle = append(p.idle, l)
		p.mu.Unlock()
	}
	return resp, sent, nil
}
