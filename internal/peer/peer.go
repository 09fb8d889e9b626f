// Package peer exchanges messages between controllers as lines of JSON. Each direction uses its own connection, which
// the sender dials. Messages on a connection arrive in order; once a newer connection of a peer exists, late messages
// of older ones are dropped. Messages may be lost, and this package never resends them. It does not interpret their
// contents. Links is safe for concurrent use; HalfOpenDetector is not.
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

// Limits.
const (
	maxMessageBytes = 4 << 20
	maxQueuedBytes  = 8 << 20 // of unsent lines to one peer; exceeding it ends the connection
	maxConnections  = 64      // incoming
	maxKeptBuffer   = 1 << 20 // bytes; a larger write buffer is released after use
)

// Timeouts and delays.
const (
	dialTimeout     = time.Second
	redialDelay     = 300 * time.Millisecond
	writeTimeout    = 4 * time.Second
	greetingTimeout = 5 * time.Second
	receiveTimeout  = 15 * time.Second // without a message, after which an incoming connection is closed
)

// Greeting is the first line on every connection. It identifies the sender and numbers its connections.
type Greeting struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Connection  uint64 `json:"conn"`
}

// Envelope is a message, encoded as one line.
type Envelope struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Handler receives events from peers. Its methods must not block for long.
type Handler interface {
	// PeerUp is called when a new connection to the peer is established. No earlier message is queued on it.
	PeerUp(node string)
	// PeerDown is called when the connection to the peer is lost, and after each failed dial.
	PeerDown(node string)
	// PeerMessage is called for each message, with the incarnation of the peer's process that sent it.
	PeerMessage(node string, incarnation uint64, kind string, body []byte)
}

// Links holds all connections between this controller and its peers.
type Links struct {
	self        Greeting
	log         *slog.Logger
	handler     Handler
	connections map[string]*connection // outgoing, by peer

	mu     sync.Mutex          // guards latest
	latest map[string]Greeting // of the newest incoming connection, by peer
}

// connection is the outgoing connection to a peer with its queue of unsent lines.
type connection struct {
	node, addr string

	mu          sync.Mutex // guards what is below, except wakeup
	up          bool
	queue       [][]byte
	queuedBytes int
	wakeup      chan struct{}
}

// New returns links to peers, which are given as a map of names to addresses.
func New(node string, incarnation uint64, peers map[string]string, handler Handler, log *slog.Logger) *Links {
	l := &Links{self: Greeting{Node: node, Incarnation: incarnation}, log: log, handler: handler,
		connections: map[string]*connection{}, latest: map[string]Greeting{}}
	for name, addr := range peers {
		l.connections[name] = &connection{node: name, addr: addr, wakeup: make(chan struct{}, 1)}
	}
	return l
}

// Send queues a message. It returns false if there is no connection to the peer. It also returns false, and ends the
// connection, if the queue would exceed its limit.
func (l *Links) Send(node, kind string, body any) bool {
	return l.SendEncoded(node, Encode(kind, body))
}

// Encode encodes a message for SendEncoded, so that a message to several peers is encoded only once.
func Encode(kind string, body any) []byte {
	return append(protocol.Encode(Envelope{Kind: kind, Body: protocol.Encode(body)}), '\n')
}

// SendEncoded is like Send for a message encoded by Encode.
func (l *Links) SendEncoded(node string, line []byte) bool {
	c := l.connections[node]
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.up {
		return false
	}
	if c.queuedBytes+len(line) > maxQueuedBytes {
		c.abort()
		return false
	}
	c.queue = append(c.queue, line)
	c.queuedBytes += len(line)
	c.wake()
	return true
}

// wake notifies the goroutine that writes the queue of a change.
func (c *connection) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// KeepConnected maintains a connection to the peer until the context ends, and dials again whenever it is lost.
func (l *Links) KeepConnected(ctx context.Context, node string) error {
	c := l.connections[node]
	for n := uint64(1); ctx.Err() == nil; n++ {
		err := l.connect(ctx, c, n)
		c.mu.Lock()
		wasUp := c.up
		c.up, c.queue, c.queuedBytes = false, nil, 0
		c.mu.Unlock()
		if wasUp {
			l.log.Info("connection to peer lost", "peer", node, "err", err)
		}
		l.handler.PeerDown(node)
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
	return nil
}

// connect dials a peer and sends queued messages until the connection ends. number is the connection's number in the
// greeting.
func (l *Links) connect(ctx context.Context, c *connection, number uint64) error {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp4", c.addr)
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
	c.mu.Lock()
	c.up, c.queue, c.queuedBytes = true, nil, 0
	c.mu.Unlock()
	l.handler.PeerUp(c.node)
	return c.writeQueued(conn, closedSignal(conn))
}

// closedSignal returns a channel that is closed when the connection ends. It reads from the connection, on which the
// peer never writes.
func closedSignal(conn net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		var b [1]byte
		_, _ = conn.Read(b[:])
		close(closed)
	}()
	return closed
}

// writeQueued writes queued lines until the connection ends.
func (c *connection) writeQueued(conn net.Conn, closed <-chan struct{}) error {
	var buf []byte
	for {
		lines, err := c.takeQueued(closed)
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

// takeQueued waits for a wakeup and removes the queued lines, which may be none.
func (c *connection) takeQueued(closed <-chan struct{}) ([][]byte, error) {
	select {
	case <-c.wakeup:
	case <-closed:
		return nil, errors.New("connection closed by the peer")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.up {
		return nil, errors.New("connection reset, or send queue full")
	}
	lines := c.queue
	c.queue, c.queuedBytes = nil, 0
	return lines, nil
}

// Listen accepts connections from peers until the context ends.
func (l *Links) Listen(ctx context.Context, addr string) error {
	return httpx.Listen(ctx, addr, maxConnections, 2*maxMessageBytes, func(c *httpx.Conn) {
		c.Pin()
		if err := l.receive(ctx, c); err != nil && ctx.Err() == nil {
			l.log.Info("incoming peer connection closed", "from", c.Remote(), "err", err)
		}
	})
}

// receive reads messages of a peer until the connection ends or the peer opens a newer one.
func (l *Links) receive(ctx context.Context, c *httpx.Conn) error {
	scan := bufio.NewScanner(c)
	scan.Buffer(make([]byte, 0, 4<<10), maxMessageBytes)
	c.SetReadDeadline(time.Now().Add(greetingTimeout))
	if !scan.Scan() {
		return scan.Err()
	}
	var greeting Greeting
	if err := protocol.Decode(scan.Bytes(), &greeting); err != nil || l.connections[greeting.Node] == nil {
		return fmt.Errorf("not the greeting of a peer: %.80q", scan.Bytes())
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

// errSuperseded ends a connection whose peer has opened a newer one.
var errSuperseded = errors.New("superseded by a newer connection")

// supersede records a connection as its peer's newest. It returns false if a newer one exists.
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

// isNewest reports whether a connection is still its peer's newest.
func (l *Links) isNewest(greeting Greeting) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest[greeting.Node] == greeting
}
