package peer

import "time"

// Times after which a connection counts as half-open.
const (
	stallAfter = lineTimeout     // without progress, while the peer is heard; the receiver ends a connection after the same time
	silence    = 2 * time.Second // between two of the peer's lines that ends the time in which it was heard
)

// Delivery notices a half-open connection: one on which this controller sends while the peer, as its own lines say on the
// connection of the other direction, gets nothing. The operating system may keep such a connection for many minutes, as after a
// peer's machine or the path between lost it without a word. The zero value has seen nothing.
type Delivery struct {
	up       time.Time // since when the connection stands
	heard    time.Time // when the peer's last line came
	since    time.Time // since when its lines have come without a pause
	received uint64    // the latest that it says it received
	progress time.Time // when that last changed
}

// Up says that a new connection to the peer stands.
func (d *Delivery) Up(now time.Time) { d.up = now }

// Heard takes in a line of the peer that names the latest that it received from this process, in any units that grow; 0 for
// nothing. It says whether the connection is half-open and should be reset. After that it counts as a new one.
func (d *Delivery) Heard(now time.Time, received uint64) (stalled bool) {
	if now.Sub(d.heard) > silence {
		d.since = now
	}
	d.heard = now
	if received != d.received {
		d.received, d.progress = received, now
		return false
	}
	for _, start := range []time.Time{d.up, d.since, d.progress} {
		if now.Sub(start) < stallAfter {
			return false
		}
	}
	d.up = now
	return true
}

// Reset ends the connection to a peer, so that it is dialled anew. What was queued for it is dropped.
func (l *Links) Reset(node string) {
	s := l.out[node]
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abort()
}

// abort ends a sender's connection. Its mutex is held.
func (s *sender) abort() {
	s.up, s.queue, s.queued = false, nil, 0
	s.wake()
}
