package peer

import "time"

// Parameters of HalfOpenDetector.
const (
	// stallTimeout is the time without progress after which a connection counts as half-open while the peer's statuses
	// arrive steadily. It equals the time after which the receiver closes a connection without messages.
	stallTimeout = receiveTimeout
	steadyGap    = 2 * time.Second // longest interval between two statuses that arrive steadily
)

// HalfOpenDetector detects a half-open connection to a peer: one on which the peer receives nothing that this
// controller sends. The peer's statuses, which arrive on the connection of the other direction, show what it has
// received. It occurs when the peer's machine or the network loses the connection without notice, and the operating
// system may keep it open for many minutes. The zero value has no connection.
type HalfOpenDetector struct {
	connectedAt  time.Time // start of the connection
	lastStatusAt time.Time // arrival of the peer's last status
	steadySince  time.Time // since when statuses have arrived without a longer interval than steadyGap
	received     uint64    // last acknowledged position
	progressAt   time.Time // when received last changed
}

// Connected records the start of a new connection to the peer.
func (d *HalfOpenDetector) Connected(now time.Time) { d.connectedAt = now }

// StatusReceived processes a status of the peer. received is the position of the last message from this process that
// the peer acknowledges, in any increasing unit, 0 for none. It reports whether the connection is half-open and should
// be reset; the detector then treats it as a new connection.
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

// Reset ends the connection to a peer, so that KeepConnected dials it again. Queued messages are dropped.
func (l *Links) Reset(node string) {
	c := l.connections[node]
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort()
}

// abort ends the connection. The caller must hold c.mu.
func (c *connection) abort() {
	c.up, c.queue, c.queuedBytes = false, nil, 0
	c.wake()
}
