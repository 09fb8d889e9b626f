// Package peer carries messages between controllers, as lines of JSON. Each direction has a connection of its own,
// which the sender dials. Messages of a connection arrive in order; once a newer connection of a peer exists, late
// messages of an older one are dropped. A message may be lost, and is never sent again by this package. It decides
// nothing by what a message says. Links is safe for concurrent use; Delivery is not.
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
	maxMessageBytes = 4 << 20
	maxQueuedBytes  = 8 << 20 // unsent lines to one peer; more end the connection
	maxConnections  = 64
	maxKeptBuffer   = 1 << 20 // a larger buffer for writing is not kept
)

// Times of links.
const (
	dialTimeout     = time.Second
	redialDelay     = 300 * time.Millisecond
	writeTimeout    = 4 * time.Second
	greetingTimeout = 5 * time.Second
	receiveTimeout  = 15 * time.Second // silence that ends an incoming connection
)

// Greeting is the first line of every connection.
type Greeting struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Connection  uint64 `json:"conn"`
}

// Envelope is a message, one line.
type Envelope struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Handler takes what comes from peers. It must not block for long.
type Handler interface {
	// PeerUp says that there is a new connection to the peer. Nothing that was sent before is queued on it.
	PeerUp(node string)
	// PeerDown says that the connection to the peer was lost.
	PeerDown(node string)
	// PeerMessage is one message from the peer's process of that incarnation.
	PeerMessage(node string, incarnation uint64, kind string, body []byte)
}

// Links are all connections between this controller and its peers.
type Links struct {
	self        Greeting
	log         *slog.Logger
	handler     Handler
	connections map[string]*connection

	mu     sync.Mutex
	latest map[string]Greeting
}

type connection struct {
	node, addr string

	mu     sync.Mutex
	up     bool
	queue  [][]byte
	queued int
	signal chan struct{}
}

// New makes links to peers given by name and address.
func New(node string, incarnation uint64, peers map[string]string, handler Handler, log *slog.Logger) *Links {
	l := &Links{self: Greeting{Node: node, Incarnation: incarnation}, log: log, handler: handler,
		connections: map[string]*connection{}, latest: map[string]Greeting{}}
	for name, addr := range peers {
		l.connections[name] = &connection{node: name, addr: addr, signal: make(chan struct{}, 1)}
	}
	return l
}

// Send queues a message. It returns false if there is no connection to the peer now, or too much is queued, which ends
// the connection.
func (l *Links) Send(node, kind string, body any) bool {
	return l.SendEncoded(node, Encode(kind, body))
}

// Encode gives a message the form that SendEncoded takes, so that it is encoded once for several peers.
func Encode(kind string, body any) []byte {
	return append(protocol.Encode(Envelope{Kind: kind, Body: protocol.Encode(body)}), '\n')
}

// SendEncoded is Send for a message that Encode made.
func (l *Links) SendEncoded(node string, line []byte) bool {
	s := l.connections[node]
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return false
	}
	if s.queued+len(line) > maxQueuedBytes {
		s.abort()
		return false
	}
	s.queue = append(s.queue, line)
	s.queued += len(line)
	s.wake()
	return true
}

func (s *connection) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// KeepConnected keeps up one connection to the peer until the context ends.
func (l *Links) KeepConnected(ctx context.Context, node string) error {
	s := l.connections[node]
	for n := uint64(1); ctx.Err() == nil; n++ {
		err := l.connect(ctx, s, n)
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

// connect connects to a peer, and sends what is queued until the connection ends. Number is
// that of the connection.
func (l *Links) connect(ctx context.Context, s *connection, number uint64) error {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp4", s.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	greeting := l.self
	greeting.Connection = number
	if _, err := conn.Write(append(protocol.Encode(greeting), '\n')); err != nil {
		return err
	}
	s.mu.Lock()
	s.up, s.queue, s.queued = true, nil, 0
	s.mu.Unlock()
	l.handler.PeerUp(s.node)
	return s.writeQueued(conn, whenClosed(conn))
}

// whenClosed returns a channel that is closed when a connection ends on which the peer never writes.
func whenClosed(conn net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		var b [1]byte
		_, _ = conn.Read(b[:])
		close(closed)
	}()
	return closed
}

// writeQueued writes queued lines until the connection ends.
func (s *connection) writeQueued(conn net.Conn, closed <-chan struct{}) error {
	var buf []byte
	for {
		lines, err := s.takeQueued(closed)
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
		if cap(buf) > maxKeptBuffer {
			buf = nil
		}
	}
}

// takeQueued waits for queued lines and takes them, which may be none.
func (s *connection) takeQueued(closed <-chan struct{}) ([][]byte, error) {
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
	return httpx.Listen(ctx, addr, maxConnections, 2*maxMessageBytes, func(c *httpx.Conn) {
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
	scan.Buffer(make([]byte, 0, 4<<10), maxMessageBytes)
	c.SetReadDeadline(time.Now().Add(greetingTimeout))
	if !scan.Scan() {
		return scan.Err()
	}
	var greeting Greeting
	if err := protocol.Decode(scan.Bytes(), &greeting); err != nil || l.connections[greeting.Node] == nil {
		return fmt.Errorf("no peer's hello: %.80q", scan.Bytes())
	}
	if !l.supersede(greeting) {
		return errSuperseded
	}
	for ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(receiveTimeout))
		if !scan.Scan() {
			return scan.Err()
		}
		if !l.isNewest(greeting) {
			return errSuperseded
		}
		var e Envelope
		if err := protocol.Decode(scan.Bytes(), &e); err != nil {
			return fmt.Errorf("line is not JSON: %.80q", scan.Bytes())
		}
		l.handler.PeerMessage(greeting.Node, greeting.Incarnation, e.Kind, e.Body)
	}
	return nil
}

// errSuperseded ends a connection of a peer that has a newer one.
var errSuperseded = errors.New("older connection")

// supersede makes a connection its peer's newest, unless a newer one was seen.
func (l *Links) supersede(greeting Greeting) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.latest[greeting.Node]
	if last.Incarnation > greeting.Incarnation || last.Incarnation == greeting.Incarnation && last.Connection > greeting.Connection {
		return false
	}
	l.latest[greeting.Node] = greeting
	return true
}

// isNewest says whether a connection is still its peer's newest.
func (l *Links) isNewest(greeting Greeting) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest[greeting.Node] == greeting
}
