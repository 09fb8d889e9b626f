package httpx

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

// Conn is a connection accepted by gnet. Only the goroutine that runs Listen's serve function reads from it; gnet's event
// loop appends received data to unread. Write and Close may be called from any goroutine.
type Conn struct {
	raw      gnet.Conn
	remote   string
	readable chan struct{}
	timer    *time.Timer

	mu           sync.Mutex
	unread       []byte
	closed       bool
	lastUsedAt   time.Time
	pinned       bool
	evicted      bool      // it is being closed to make room for others
	requestSince time.Time // when the request that is being received began; zero if there is none
	readDeadline time.Time
}

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.remote }

// SetReadDeadline sets the deadline of later reads. Only the goroutine that reads may call it.
func (c *Conn) SetReadDeadline(t time.Time) { c.readDeadline = t }

// Pin exempts the connection from being closed to make room for new ones.
func (c *Conn) Pin() {
	c.mu.Lock()
	c.pinned = true
	c.mu.Unlock()
}

// beginRequest records that a request has begun to arrive.
func (c *Conn) beginRequest() { c.setRequestSince(time.Now()) }

// endRequest records that the request has arrived as a whole.
func (c *Conn) endRequest() { c.setRequestSince(time.Time{}) }

func (c *Conn) setRequestSince(t time.Time) {
	c.mu.Lock()
	c.requestSince = t
	c.mu.Unlock()
}

// Read reads received data. It blocks until there is some, the connection closes or the read deadline passes.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if len(c.unread) > 0 {
			n := copy(p, c.unread)
			c.unread = c.unread[n:]
			if len(c.unread) == 0 {
				c.unread = nil
			}
			c.mu.Unlock()
			return n, nil
		}
		closed := c.closed
		c.mu.Unlock()
		if closed {
			return 0, io.EOF
		}
		wait := time.Until(c.readDeadline)
		if wait <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		if c.timer == nil {
			c.timer = time.NewTimer(wait)
		} else {
			c.timer.Reset(wait)
		}
		select {
		case <-c.readable:
			c.timer.Stop()
		case <-c.timer.C:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// Write queues data to be sent by the event loop.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.lastUsedAt = time.Now()
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	if err := c.raw.AsyncWrite(p, nil); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes the connection after the data queued by Write has been sent.
func (c *Conn) Close() {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if !closed {
		_ = c.raw.AsyncWrite(nil, func(raw gnet.Conn, _ error) error { return raw.Close() })
	}
}

func (c *Conn) signalReadable() {
	select {
	case c.readable <- struct{}{}:
	default:
	}
}

// listener handles gnet's events.
type listener struct {
	gnet.BuiltinEventEngine
	maxConns  int
	maxUnread int
	serve     func(*Conn)
	engine    gnet.Engine
	booted    chan struct{}
	handlers  sync.WaitGroup

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// OnBoot signals that the listener accepts connections.
func (l *listener) OnBoot(eng gnet.Engine) gnet.Action {
	l.engine = eng
	close(l.booted)
	return gnet.None
}

// OnOpen starts the goroutine of a new connection. At maxConns connections it closes another one; since that takes effect
// later, up to a quarter more are accepted.
func (l *listener) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	c := &Conn{raw: raw, readable: make(chan struct{}, 1), lastUsedAt: time.Now()}
	if a := raw.RemoteAddr(); a != nil {
		c.remote = a.String()
	}
	l.mu.Lock()
	full := len(l.conns) >= l.maxConns
	if full {
		if c := l.evict(time.Now()); c != nil {
			c.Close()
		}
		if len(l.conns) >= l.maxConns+l.maxConns/4 {
			l.mu.Unlock()
			return nil, gnet.Close
		}
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	raw.SetContext(c)
	l.handlers.Add(1)
	go func() {
		defer l.handlers.Done()
		l.serve(c)
		c.Close()
	}()
	return nil, gnet.None
}

// slowRequest is how long a request may take to arrive before its connection is closed ahead of idle ones.
const slowRequest = time.Second

// evict chooses the connection to close for a new one, which is not chosen again: the one whose request has been arriving
// for longest, if that takes slowRequest, or else the one that has been unused for longest. It returns nil if all are
// pinned or being closed. l.mu must be held.
func (l *listener) evict(now time.Time) *Conn {
	var found *Conn
	var foundSlow bool
	var foundSince time.Time
	for c := range l.conns {
		slow, since, ok := c.evictable(now)
		better := found == nil || slow && !foundSlow || slow == foundSlow && since.Before(foundSince)
		if ok && better {
			found, foundSlow, foundSince = c, slow, since
		}
	}
	if found != nil {
		found.mu.Lock()
		found.evicted = true
		found.mu.Unlock()
	}
	return found
}

// evictable reports whether the connection may be closed to make room, whether its request arrives slowly, and since when
// that request has been arriving or else the connection has been unused.
func (c *Conn) evictable(now time.Time) (slow bool, since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pinned || c.closed || c.evicted {
		return false, time.Time{}, false
	}
	if !c.requestSince.IsZero() && now.Sub(c.requestSince) >= slowRequest {
		return true, c.requestSince, true
	}
	return false, c.lastUsedAt, true
}

// OnTraffic appends received data to the connection's unread data, and closes a connection that exceeds maxUnread.
func (l *listener) OnTraffic(raw gnet.Conn) gnet.Action {
	c := raw.Context().(*Conn)
	data, err := raw.Next(-1)
	if err != nil {
		return gnet.Close
	}
	c.mu.Lock()
	c.unread = append(c.unread, data...)
	over := len(c.unread) > l.maxUnread
	c.lastUsedAt = time.Now()
	c.mu.Unlock()
	c.signalReadable()
	if over {
		return gnet.Close
	}
	return gnet.None
}

// OnClose wakes the connection's reader, which then returns io.EOF once it has read the rest.
func (l *listener) OnClose(raw gnet.Conn, _ error) gnet.Action {
	c, ok := raw.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.signalReadable()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	return gnet.None
}

// Listen accepts connections until the context ends and runs serve for each in its own goroutine. When maxConns are open,
// a new connection replaces one with a slow request or else the longest idle one; until that one is closed, up to a
// quarter more may be open. A connection with more than maxUnread bytes received but not yet read is closed.
func Listen(ctx context.Context, addr string, maxConns, maxUnread int, serve func(*Conn)) error {
	l := &listener{maxConns: maxConns, maxUnread: maxUnread, serve: serve, booted: make(chan struct{}), conns: map[*Conn]struct{}{}}
	failed := make(chan error, 1)
	go func() {
		failed <- gnet.Run(l, "tcp://"+addr,
			gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithReuseAddr(true), gnet.WithLogger(discardLogger{}))
	}()
	select {
	case err := <-failed:
		return err
	case <-l.booted:
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	err := l.engine.Stop(stop)
	l.mu.Lock()
	for c := range l.conns {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.signalReadable()
	}
	l.mu.Unlock()
	l.handlers.Wait()
	if errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// discardLogger drops gnet's log messages; failures are returned as errors.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}

var _ logging.Logger = discardLogger{}
