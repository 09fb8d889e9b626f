package peer

import "time"

// Times after which a connection counts as half-open.
const (
	// stallTimeout is without progress, while its statuses come. The receiver ends a connection after the same time.
	stallTimeout = receiveTimeout
	steadyGap    = 2 * time.Second // between two of the peer's statuses, longer than which they are not steady
)

// HalfOpenDetector detects a half-open connection: one on which this controller sends while the peer, as its own statuses say
// on the connection of the other direction, receives nothing. The operating system may keep such a connection for many
// minutes, as after a peer's machine or the path between lost it without notice. The zero value knows no connection.
type HalfOpenDetector struct {
	connectedAt  time.Time // when the connection began
	lastStatusAt time.Time // when the peer's last status came
	steadySince  time.Time // since when its statuses have come without a pause
	received     uint64    // the latest that it says it received
	progressAt   time.Time // when that last changed
}

// Connected notes a new connection to the peer.
func (d *HalfOpenDetector) Connected(now time.Time) { d.connectedAt = now }

// StatusReceived takes in a status of the peer that names the latest that it received from this process, in any units
// that grow; 0 for nothing. It says whether the connection is half-open and should be reset. After that it counts as a
// new one.
func (d *HalfOpenDetector) StatusReceived(now time.Time, received uint64) (stalled bool) {
	if now.Sub(d.lastStatusAt) > steadyGap {
		d.steadySince = now
	}
	d.lastStatusAt = now
	if received != d.received {
		d.received, d.progressAt = received, now
		return false
	}
	for _, start := range []time.Time{d.connectedAt, d.steadySince, d.progressAt} {
		if now.Sub(start) < stallTimeout {
			return false
		}
	}
	d.connectedAt = now
	return true
}

// Reset ends the connection to a peer, so that it is dialled anew. What was queued for it is dropped.
func (l *Links) Reset(node string) {
	s := l.connections[node]
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abort()
}

// abort ends a sender's connection. Its mutex is held.
func (s *connection) abort() {
	s.up, s.queue, s.queued = false, nil, 0
	s.wake()
}
