package simulation

import (
	"io"
	"net"
	"sync"
	"time"
)

// Pipe carries connections to an address and can be cut, as the path from one controller to another.
type Pipe struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   bool
	slow  time.Duration // that each piece of what is carried takes longer
	conns map[net.Conn]bool
}

// NewPipe opens a pipe to an address.
func NewPipe(to string) (*Pipe, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Pipe{listener: l, to: to, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Addr is where the pipe begins.
func (p *Pipe) Addr() string { return p.listener.Addr().String() }

// Cut ends what the pipe carries and refuses connections, or carries them again.
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

// Delay has each piece of what is carried take so much longer; 0: none.
func (p *Pipe) Delay(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = by
}

// slowReader reads a connection at the pipe's pace.
type slowReader struct {
	p *Pipe
	net.Conn
}

// Read reads one piece, after the pipe's delay.
func (r slowReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	r.p.mu.Lock()
	slow := r.p.slow
	r.p.mu.Unlock()
	time.Sleep(slow)
	return n, err
}

// Close ends the pipe.
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
		go p.carry(c)
	}
}

// keep notes a connection to be ended with the pipe; false if that is cut.
func (p *Pipe) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Pipe) drop(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Pipe) carry(in net.Conn) {
	if !p.keep(in) {
		return
	}
	defer p.drop(in)
	out, err := net.Dial("tcp4", p.to)
	if err != nil || !p.keep(out) {
		return
	}
	defer p.drop(out)
	go func() {
		_, _ = io.Copy(in, slowReader{p, out}) // ends with either side
		in.Close()
	}()
	_, _ = io.Copy(out, slowReader{p, in})
}

// Paths are the pipes between controllers, by the numbers of where they come from and lead to.
type Paths map[[2]int]*Pipe

// Isolate cuts a controller from its peers, or ends that.
func (p Paths) Isolate(i int, on bool) {
	for path, pipe := range p {
		if path[0] == i || path[1] == i {
			pipe.Cut(on)
		}
	}
}

// Delay has all paths take so much longer for each piece that they carry; 0: none.
func (p Paths) Delay(by time.Duration) {
	for _, pipe := range p {
		pipe.Delay(by)
	}
}

// Close ends all of them.
func (p Paths) Close() {
	for _, pipe := range p {
		pipe.Close()
	}
}
