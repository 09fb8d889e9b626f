package httpx

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// ClientConn is a client connection that sends one request at a time: the next only after the response to the last. It
// connects on the first request, and again after an error or close.
type ClientConn struct {
	addr    string
	maxBody int
	conn    net.Conn
	reader  *bufio.Reader
}

// NewClientConn returns a ClientConn to an address. Response bodies are limited to maxBody bytes.
func NewClientConn(addr string, maxBody int) *ClientConn {
	return &ClientConn{addr: addr, maxBody: maxBody}
}

// Addr returns the address of the server.
func (c *ClientConn) Addr() string { return c.addr }

// Open reports whether the connection is established.
func (c *ClientConn) Open() bool { return c.conn != nil }

// Close closes the connection. The next request opens a new one.
func (c *ClientConn) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.reader = nil, nil
	}
}

// Do sends a request and waits for the response. sent reports whether any byte of the request may have been sent: if so,
// the server may carry out the request even though Do returns an error.
func (c *ClientConn) Do(ctx context.Context, method, target string, body []byte, timeout time.Duration) (resp *Response, sent bool, err error) {
	deadline := time.Now().Add(timeout)
	if c.conn == nil {
		d := net.Dialer{Deadline: deadline, KeepAlive: -1}
		conn, err := d.DialContext(ctx, "tcp4", c.addr)
		if err != nil {
			return nil, false, err
		}
		c.conn, c.reader = conn, bufio.NewReaderSize(conn, 8<<10)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.abort() })
	defer stop()
	_ = c.conn.SetDeadline(deadline)
	if _, err = c.conn.Write(AppendRequest(make([]byte, 0, len(body)+160), method, c.addr, target, body)); err != nil {
		c.Close()
		return nil, true, err
	}
	resp, err = ReadResponse(c.reader, c.maxBody)
	if err != nil {
		c.Close()
		return nil, true, err
	}
	if resp.Close {
		c.Close()
	}
	return resp, true, nil
}

// abort makes pending reads and writes fail at once.
func (c *ClientConn) abort() error {
	if conn := c.conn; conn != nil {
		return conn.SetDeadline(time.Unix(1, 0))
	}
	return nil
}

// Pool sends independent requests to one address over a bounded number of persistent connections.
type Pool struct {
	addr    string
	maxBody int
	mu      sync.Mutex
	idle    []*ClientConn
	slots   chan struct{}
}

// NewPool returns a pool that uses at most maxConns connections at the same time.
func NewPool(addr string, maxBody, maxConns int) *Pool {
	return &Pool{addr: addr, maxBody: maxBody, slots: make(chan struct{}, maxConns)}
}

// Do sends a request on an idle connection, or on a new one if none is idle. It waits while maxConns are in use.
func (p *Pool) Do(ctx context.Context, method, target string, body []byte, timeout time.Duration) (resp *Response, sent bool, err error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	defer func() { <-p.slots }()
	p.mu.Lock()
	var c *ClientConn
	if n := len(p.idle); n > 0 {
		c, p.idle = p.idle[n-1], p.idle[:n-1]
	} else {
		c = NewClientConn(p.addr, p.maxBody)
	}
	p.mu.Unlock()
	resp, sent, err = c.Do(ctx, method, target, body, timeout)
	if err != nil {
		return nil, sent, err
	}
	if c.Open() {
		p.mu.Lock()
		p.idle = append(p.idle, c)
		p.mu.Unlock()
	}
	return resp, sent, nil
}
