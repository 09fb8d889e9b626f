// Package cancelwatermark decides until when a controller may renew agents' leases, given how up to date its knowledge
// of cancellations is.
//
// A controller that has not learned of a cancellation must not renew the lease of an agent that runs the job's tasks
// beyond the time by which these tasks must be gone. It therefore keeps a watermark, a moment such that every
// cancellation that any controller confirmed to a user before it is known here. Two sources advance the watermark:
//
//   - a read of the state service, up to the moment at which the read began;
//   - without the store, the peers: each peer numbers the cancellations that it confirms, sends them, and reports in
//     its status how many it has confirmed. A controller that received all of them knows everything that this peer
//     had confirmed by then.
//
// Agents' heartbeats do not advance the watermark. The package does no I/O and reads no clock. A Watermark is not safe
// for concurrent use; the controller's lock guards it.
package cancelwatermark

import (
	"slices"
	"time"
)

// Watermark tracks what one controller's process knows of the cancellations that any controller confirmed.
type Watermark struct {
	renewalWindow time.Duration // how long after the watermark a lease may be renewed
	lastRead      time.Time     // when the latest complete read of the store began
	confirmed     []string      // jobs whose cancellation was confirmed here; number n is at index n-1
	isConfirmed   map[string]bool
	peers         map[string]*peer
}

// peer is the latest process of another controller from which a message was received.
type peer struct {
	incarnation   uint64    // 0 before its first message
	startedBefore time.Time // arrival of its first message; earlier processes confirmed nothing after it
	received      uint64    // number up to which its cancellations were received without a gap
	knownUntil    time.Time // every cancellation that it confirmed before then is known here
	acknowledged  uint64    // number up to which it reported to have this process's cancellations
	resentAt      time.Time
}

// DeliveryMargin covers the delivery and handling of a message: between the answer to a user and the moment at which
// peers may have the cancellation, and between an answer to an agent and the start of the lease that it renews.
const DeliveryMargin = 1500 * time.Millisecond

// minRenewalWindow is the lower limit of the renewal window. It applies in a deployment whose cancellation time is
// hardly longer than a lease plus the margin: the cancellation time cannot be guaranteed there, but controllers that
// never renewed a lease would be useless.
const minRenewalWindow = 3 * time.Second

// clockDrift is the maximum relative drift between two monotonic clocks.
const clockDrift = 0.001

// acknowledgeTimeout is how long a peer may take to acknowledge a cancellation before it is sent again.
const acknowledgeTimeout = time.Second

// New returns the watermark of a process that has no information yet. The tasks of a cancelled job must be gone within
// cancel, and an agent stops its tasks after going without an answer for lease.
func New(peers []string, cancel, lease time.Duration) *Watermark {
	drift := time.Duration(2 * clockDrift * float64(cancel))
	w := &Watermark{
		renewalWindow: max(minRenewalWindow, cancel-drift-lease-DeliveryMargin),
		isConfirmed:   map[string]bool{},
		peers:         map[string]*peer{},
	}
	for _, name := range peers {
		w.peers[name] = &peer{}
	}
	return w
}

// RecordRead records that everything the state service held when a read began is known here.
func (w *Watermark) RecordRead(began time.Time) {
	if began.After(w.lastRead) {
		w.lastRead = began
	}
}

// LastRead returns when the latest complete read of the store began, or zero if there was none.
func (w *Watermark) LastRead() time.Time { return w.lastRead }

// RecordCancellation assigns a number, from 1 on, to a cancellation that is about to be confirmed to a user here. The
// caller sends the cancellation to the peers under that number before it answers the user. The number is 0 if the job
// already has one.
func (w *Watermark) RecordCancellation(uid string) (number uint64) {
	if w.isConfirmed[uid] {
		return 0
	}
	w.isConfirmed[uid] = true
	w.confirmed = append(w.confirmed, uid)
	return uint64(len(w.confirmed))
}

// Confirmed returns how many cancellations were confirmed here, which is also the last number assigned.
func (w *Watermark) Confirmed() uint64 { return uint64(len(w.confirmed)) }

// RecordIncarnation records that a message arrived from a peer's process. If the process is a new one, the last
// cancellations that an earlier process confirmed may be unknown here until the store is read again.
func (w *Watermark) RecordIncarnation(name string, incarnation uint64, now time.Time) {
	if p := w.peers[name]; p != nil && p.incarnation != incarnation {
		*p = peer{incarnation: incarnation, startedBefore: now}
	}
}

// RecordReceived records that a peer sent the given number of cancellations, of which the first has the number from. If
// earlier ones are missing, the message does not count until they have been received.
func (w *Watermark) RecordReceived(name string, from uint64, count int) {
	if p := w.peers[name]; p != nil && from > 0 && from <= p.received+1 {
		p.received = max(p.received, from+uint64(count)-1)
	}
}

// ReceivedFrom returns the number up to which the cancellations of a peer's current process were received without a
// gap. It is sent to the peer as an acknowledgement.
func (w *Watermark) ReceivedFrom(name string) uint64 {
	if p := w.peers[name]; p != nil {
		return p.received
	}
	return 0
}

// RecordConfirmedBy records that a peer had confirmed the given number of cancellations at some moment after sent. sent
// is when this controller sent a message that the peer had received by that moment.
func (w *Watermark) RecordConfirmedBy(name string, confirmed uint64, sent time.Time) {
	if p := w.peers[name]; p != nil && p.received >= confirmed && sent.After(p.knownUntil) {
		p.knownUntil = sent
	}
}

// RecordAcknowledgedBy records the number up to which a peer reports to have this process's cancellations. A number
// that was never assigned is ignored.
func (w *Watermark) RecordAcknowledgedBy(name string, number uint64) {
	if p := w.peers[name]; p != nil && number <= w.Confirmed() {
		p.acknowledged = max(p.acknowledged, number)
	}
}

// TakeUnacknowledged returns up to most cancellations to send to a peer again, and the number of the first one. It
// returns none within acknowledgeTimeout of the previous resend.
func (w *Watermark) TakeUnacknowledged(name string, now time.Time, most int) (from uint64, uids []string) {
	p := w.peers[name]
	if p == nil || p.acknowledged >= w.Confirmed() || now.Sub(p.resentAt) < acknowledgeTimeout {
		return 0, nil
	}
	p.resentAt = now
	end := min(w.Confirmed(), p.acknowledged+uint64(most))
	return p.acknowledged + 1, slices.Clone(w.confirmed[p.acknowledged:end])
}

// KnownUntil returns the watermark: every cancellation that any controller confirmed before it is known here. It is
// zero before the first read of the store.
func (w *Watermark) KnownUntil(now time.Time) time.Time {
	if w.lastRead.IsZero() {
		return time.Time{}
	}
	watermark := now // cancellations confirmed by this process are known here
	for _, p := range w.peers {
		if known := w.peerKnownUntil(p); known.Before(watermark) {
			watermark = known
		}
	}
	return watermark
}

// peerKnownUntil returns the moment before which everything that a peer's processes confirmed is known here.
func (w *Watermark) peerKnownUntil(p *peer) time.Time {
	// What the peer reports itself counts only once a read of the store covers its earlier processes.
	if p.incarnation != 0 && !w.lastRead.Before(p.startedBefore) && p.knownUntil.After(w.lastRead) {
		return p.knownUntil
	}
	return w.lastRead
}

// MayRenew reports whether an agent's lease may be renewed now. bound, unless zero, limits the watermark for this
// agent. A renewal is allowed only if the lease that it starts ends in time: a job that was cancelled right after the
// watermark or the bound has no task on the machine any more once its cancellation time is over.
func (w *Watermark) MayRenew(now, bound time.Time) bool {
	known := w.KnownUntil(now)
	if known.IsZero() {
		return false
	}
	if !bound.IsZero() && bound.Before(known) {
		known = bound
	}
	return !now.After(known.Add(w.renewalWindow))
}
