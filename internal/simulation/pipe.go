package simulation

import (
	"io"
	"net"
	"sync"
	"time"
)

// Pipe is a TCP proxy to one address that can be cut and slowed down. It simulates a network path, such as the one from
// a controller to another.
type Pipe struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   bool
	delay time.Duration // added to each read
	conns map[net.Conn]bool
}

// NewPipe starts a proxy to an address.
func NewPipe(to string) (*Pipe, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Pipe{listener: l, to: to, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Pipe) Addr() string { return p.listener.Addr().String() }

// Cut cuts or restores the path. While it is cut, all connections are closed, and new ones as soon as they are
// accepted.
func (p *Pipe) Cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = on
	for c := range p.conns {
		if on {
			c.Close()
		}
	}
}

// Delay adds a delay to each read of forwarded data; 0: none.
func (p *Pipe) Delay(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = by
}

// delayedReader reads from a connection with the pipe's delay.
type delayedReader struct {
	p *Pipe
	net.Conn
}

// Read reads once and returns after the pipe's delay.
func (r delayedReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	r.p.mu.Lock()
	delay := r.p.delay
	r.p.mu.Unlock()
	time.Sleep(delay)
	return n, err
}

// Close stops the proxy and closes its connections.
func (p *Pipe) Close() {
	p.listener.Close()
	p.Cut(true)
}

func (p *Pipe) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// addConn registers a connection, which Cut then closes. If the pipe is already cut, it closes the connection at once
// and returns false.
func (p *Pipe) addConn(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Pipe) removeConn(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Pipe) forward(in net.Conn) {
	if !p.addConn(in) {
		return
	}
	defer p.removeConn(in)
	out, err := net.Dial("tcp4", p.to)
	if err != nil || !p.addConn(out) {
		return
	}
	defer p.removeConn(out)
	go func() {
		_, _ = io.Copy(in, delayedReader{p, out}) // ends when either side closes
		in.Close()
	}()
	_, _ = io.Copy(out, delayedReader{p, in})
}

// Paths are the pipes between controllers, keyed by the indices of source and destination.
type Paths map[[2]int]*Pipe

// Isolate cuts all paths from and to a controller, or restores them.
func (p Paths) Isolate(i int, on bool) {
	for path, pipe := range p {
		if path[0] == i || path[1] == i {
			pipe.Cut(on)
		}
	}
}

// Delay adds a delay to each read on all paths; 0: none.
func (p Paths) Delay(by time.Duration) {
	for _, pipe := range p {
		pipe.Delay(by)
	}
}

// Close closes all paths.
func (p Paths) Close() {
	for _, pipe := range p {
		pipe.Close()
	}
}
