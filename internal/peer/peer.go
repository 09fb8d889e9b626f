// Package peer carries JSON lines between controllers. Each direction has a
// connection of its own; the sender dials. Lines of a connection are in order,
// and once a newer connection of a peer was seen, late lines of an older one
// are dropped.
package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
)

// Limits of links, in bytes and connections.
const (
	maxLine   = 4 << 20
	maxQueued = 8 << 20 // unsent lines to one peer; more end the connection
	maxConns  = 64
	keptBytes = 1 << 20 // a larger buffer for writing is not kept
)

// Times of links.
const (
	dialTimeout  = time.Second
	redialDelay  = 300 * time.Millisecond
	writeTimeout = 4 * time.Second
	helloTimeout = 5 * time.Second
	lineTimeout  = 15 * time.Second // silence that ends an incoming connection
)

// Hello opens every connection.
type Hello struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Conn        uint64 `json:"conn"`
}

// Envelope is one line.
type Envelope struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Handler takes what comes from peers. It must not block for long.
type Handler interface {
	// PeerUp says that a connection to the peer stands, empty of earlier lines.
	PeerUp(node string)
	// PeerDown says that the connection to the peer was lost.
	PeerDown(node string)
	// PeerMessage is one line from the peer's process of that incarnation.
	PeerMessage(node string, incarnation uint64, kind string, body []byte)
}

// Links are all connections between this controller and its peers.
type Links struct {
	self    Hello
	log     *slog.Logger
	handler Handler
	out     map[string]*sender

	mu     sync.Mutex
	latest map[string]Hello
}

type sender struct {
	node, addr string

	mu     sync.Mutex
	up     bool
	queue  [][]byte
	queued int
	signal chan struct{}
}

// New makes links to peers given by name and address.
func New(node string, incarnation uint64, peers map[string]string, handler Handler, log *slog.Logger) *Links {
	l := &Links{self: Hello{Node: node, Incarnation: incarnation}, log: log, handler: handler,
		out: map[string]*sender{}, latest: map[string]Hello{}}
	for name, addr := range peers {
		l.out[name] = &sender{node: name, addr: addr, signal: make(chan struct{}, 1)}
	}
	return l
}

// Send queues a line. It reports false when the peer has no connection now, or
// when too much waits, which drops the connection.
func (l *Links) Send(node, kind string, body any) bool {
	return l.SendLine(node, Line(kind, body))
}

// Line is a message as SendLine takes it, to be encoded once for several peers.
func Line(kind string, body any) []byte {
	return append(protocol.Encode(Envelope{Kind: kind, Body: protocol.Encode(body)}), '\n')
}

// SendLine is Send for a line made before.
func (l *Links) SendLine(node string, line []byte) bool {
	s := l.out[node]
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return false
	}
	if s.queued+len(line) > maxQueued {
		s.abort()
		return false
	}
	s.queue = append(s.queue, line)
	s.queued += len(line)
	s.wake()
	return true
}

func (s *sender) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// Dial keeps one outgoing connection to the peer until the context ends.
func (l *Links) Dial(ctx context.Context, node string) error {
	s := l.out[node]
	for n := uint64(1); ctx.Err() == nil; n++ {
		err := l.session(ctx, s, n)
		s.mu.Lock()
		was := s.up
		s.up, s.queue, s.queued = false, nil, 0
		s.mu.Unlock()
		if was {
			l.log.Info("peer link lost", "peer", node, "err", err)
		}
		l.handler.PeerDown(node)
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
	return nil
}

// session connects to a peer, and sends what is queued until the connection ends. Number is
// that of the connection.
func (l *Links) session(ctx context.Context, s *sender, number uint64) error {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp4", s.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	hello := l.self
	hello.Conn = number
	if _, err := conn.Write(append(protocol.Encode(hello), '\n')); err != nil {
		return err
	}
	s.mu.Lock()
	s.up, s.queue, s.queued = true, nil, 0
	s.mu.Unlock()
	l.handler.PeerUp(s.node)
	return s.send(conn, whenClosed(conn))
}

// whenClosed tells when a connection ends on which the peer never writes.
func whenClosed(conn net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		var b [1]byte
		_, _ = conn.Read(b[:])
		close(closed)
	}()
	return closed
}

// send writes queued lines until the connection ends.
func (s *sender) send(conn net.Conn, closed <-chan struct{}) error {
	var buf []byte
	for {
		lines, err := s.take(closed)
		if err != nil {
			return err
		}
		buf = buf[:0]
		for _, line := range lines {
			buf = append(buf, line...)
		}
		if len(buf) == 0 {
			continue
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(buf); err != nil {
			return err
		}
		if cap(buf) > keptBytes {
			buf = nil
		}
	}
}

// take waits for queued lines and takes them, which may be none.
func (s *sender) take(closed <-chan struct{}) ([][]byte, error) {
	select {
	case <-s.signal:
	case <-closed:
		return nil, errors.New("closed by the peer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return nil, errors.New("reset, or too much unsent")
	}
	lines := s.queue
	s.queue, s.queued = nil, 0
	return lines, nil
}

// Listen takes the peers' connections until the context ends.
func (l *Links) Listen(ctx context.Context, addr string) error {
	return httpx.Listen(ctx, addr, maxConns, 2*maxLine, func(c *httpx.Conn) {
		c.Pin()
		if err := l.receive(ctx, c); err != nil && ctx.Err() == nil {
			l.log.Info("peer connection dropped", "from", c.Remote(), "err", err)
		}
	})
}

// receive takes a peer's lines until the connection ends, or a newer one of the peer was
// seen.
func (l *Links) receive(ctx context.Context, c *httpx.Conn) error {
	scan := bufio.NewScanner(c)
	scan.Buffer(make([]byte, 0, 4<<10), maxLine)
	c.SetReadDeadline(time.Now().Add(helloTimeout))
	if !scan.Scan() {
		return scan.Err()
	}
	var hello Hello
	if err := protocol.Decode(scan.Bytes(), &hello); err != nil || l.out[hello.Node] == nil {
		return fmt.Errorf("no peer's hello: %.80q", scan.Bytes())
	}
	if !l.begin(hello) {
		return errOlder
	}
	for ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(lineTimeout))
		if !scan.Scan() {
			return scan.Err()
		}
		if !l.newest(hello) {
			return errOlder
		}
		var e Envelope
		if err := protocol.Decode(scan.Bytes(), &e); err != nil {
			return fmt.Errorf("line is not JSON: %.80q", scan.Bytes())
		}
		l.handler.PeerMessage(hello.Node, hello.Incarnation, e.Kind, e.Body)
	}
	return nil
}

// errOlder ends a connection of a peer that has a newer one.
var errOlder = errors.New("older connection")

// begin makes a connection its peer's newest, unless a newer one was seen.
func (l *Links) begin(hello Hello) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.latest[hello.Node]
	if last.Incarnation > hello.Incarnation || last.Incarnation == hello.Incarnation && last.Conn > hello.Conn {
		return false
	}
	l.latest[hello.Node] = hello
	return true
}

// newest says whether a connection is still its peer's newest.
func (l *Links) newest(hello Hello) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest[hello.Node] == hello
}
