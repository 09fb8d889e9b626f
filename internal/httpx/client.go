package httpx

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// ClientConn is one ordered client connection: requests go out one after another,
// and the next only after the answer to the last.
type ClientConn struct {
	addr    string
	maxBody int
	conn    net.Conn
	reader  *bufio.Reader
}

// NewClientConn is a connection to an address with a bound for response bodies.
func NewClientConn(addr string, maxBody int) *ClientConn {
	return &ClientConn{addr: addr, maxBody: maxBody}
}

// Addr is the address that the link goes to.
func (l *ClientConn) Addr() string { return l.addr }

// Open says whether a connection stands.
func (l *ClientConn) Open() bool { return l.conn != nil }

// Close ends the connection.
func (l *ClientConn) Close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn, l.reader = nil, nil
	}
}

// Do sends a request and waits for its answer. sent says whether a byte of the
// request may have left: after an error the request may still be carried out.
func (l *ClientConn) Do(ctx context.Context, method, target string, body []byte, timeout time.Duration) (resp *Response, sent bool, err error) {
	deadline := time.Now().Add(timeout)
	if l.conn == nil {
		d := net.Dialer{Deadline: deadline, KeepAlive: -1}
		conn, err := d.DialContext(ctx, "tcp4", l.addr)
		if err != nil {
			return nil, false, err
		}
		l.conn, l.reader = conn, bufio.NewReaderSize(conn, 8<<10)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.abort() })
	defer stop()
	_ = l.conn.SetDeadline(deadline)
	if _, err = l.conn.Write(AppendRequest(make([]byte, 0, len(body)+160), method, l.addr, target, body)); err != nil {
		l.Close()
		return nil, true, err
	}
	resp, err = ReadResponse(l.reader, l.maxBody)
	if err != nil {
		l.Close()
		return nil, true, err
	}
	if resp.Close {
		l.Close()
	}
	return resp, true, nil
}

func (l *ClientConn) abort() error {
	if conn := l.conn; conn != nil {
		return conn.SetDeadline(time.Unix(1, 0))
	}
	return nil
}

// Pool sends independent requests to one address over a few kept connections.
type Pool struct {
	addr    string
	maxBody int
	mu      sync.Mutex
	idle    []*ClientConn
	slots   chan struct{}
}

// NewPool is a pool with a bound of connections in use at once.
func NewPool(addr string, maxBody, maxConns int) *Pool {
	return &Pool{addr: addr, maxBody: maxBody, slots: make(chan struct{}, maxConns)}
}

// Do sends one request on a free connection.
func (p *Pool) Do(ctx context.Context, method, target string, body []byte, timeout time.Duration) (resp *Response, sent bool, err error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	defer func() { <-p.slots }()
	p.mu.Lock()
	var l *ClientConn
	if n := len(p.idle); n > 0 {
		l, p.idle = p.idle[n-1], p.idle[:n-1]
	} else {
		l = NewClientConn(p.addr, p.maxBody)
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
