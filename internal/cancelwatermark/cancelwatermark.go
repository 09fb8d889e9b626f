// Package cancelwatermark decides until when a controller may renew agents' leases on what it knows of cancellations.
//
// A controller that has not learned of a cancellation must not renew the lease of an agent that runs the job's tasks
// past the time in which they have to be gone. So it keeps a watermark: the moment before which every cancellation
// that any controller confirmed to a user is known here. Two sources advance it:
//
//   - a read of the key-value store, up to the moment at which the read began;
//   - without the store, the peers: each numbers the cancellations that it confirms, sends them, and says in its status
//     how many it has confirmed. Whoever received them all knows everything that this peer confirmed until then.
//
// The package trusts no heartbeat of an agent for this, does no I/O and reads no clock. A Watermark is not safe for
// concurrent use; the controller's lock guards it.
package cancelwatermark

import (
	"slices"
	"time"
)

// Watermark is what one controller's process knows of the cancellations that were confirmed anywhere.
type Watermark struct {
	renewalWindow time.Duration // for how long after the watermark a lease may be renewed
	lastRead      time.Time     // when the newest complete read of the store began
	confirmed     []string      // jobs whose cancellation was confirmed here; number N is at index N-1
	isConfirmed   map[string]bool
	peers         map[string]*peer
}

// peer is the newest process of another controller that sent anything.
type peer struct {
	incarnation   uint64    // 0: none yet
	startedBefore time.Time // its first message came then: its earlier processes had confirmed their last
	received      uint64    // number up to which its cancellations were received here without a gap
	knownUntil    time.Time // every cancellation that it confirmed before is known here
	acknowledged  uint64    // number up to which it says it has this process's cancellations
	resentAt      time.Time
}

// DeliveryMargin covers what a message and its handling take: between a user's answer and the moment at which the
// peers may have the cancellation, and between an answer to an agent and the lease that it renews.
const DeliveryMargin = 1500 * time.Millisecond

// minRenewalWindow applies in a deployment whose cancellations have no more time than a lease and the margin: no bound
// could be kept there, and a controller that never renews serves nobody.
const minRenewalWindow = 3 * time.Second

// clockDrift is by how much two steady clocks may differ, as a part of the time.
const clockDrift = 0.001

// acknowledgeTimeout is how long a peer may take to acknowledge a cancellation before it is sent again.
const acknowledgeTimeout = time.Second

// New returns the watermark of a process that knows nothing yet. The tasks of a cancelled job must be gone within
// cancel, and an agent ends what it runs after lease without an answer.
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

// RecordRead notes that everything the key-value store had when a read began is known here.
func (w *Watermark) RecordRead(began time.Time) {
	if began.After(w.lastRead) {
		w.lastRead = began
	}
}

// LastRead returns when the newest such read began, or zero.
func (w *Watermark) LastRead() time.Time { return w.lastRead }

// RecordCancellation numbers a cancellation that is about to be confirmed to a user here, from 1 on. The caller sends
// it to the peers under that number before the user gets the answer. The number is 0 if the job has one already.
func (w *Watermark) RecordCancellation(uid string) (number uint64) {
	if w.isConfirmed[uid] {
		return 0
	}
	w.isConfirmed[uid] = true
	w.confirmed = append(w.confirmed, uid)
	return uint64(len(w.confirmed))
}

// Confirmed counts the cancellations confirmed here, which is also the last number given.
func (w *Watermark) Confirmed() uint64 { return uint64(len(w.confirmed)) }

// RecordIncarnation notes that a message of a peer's process came. If the process is a new one, what an earlier one
// confirmed last may be unknown here until the store is read again.
func (w *Watermark) RecordIncarnation(name string, incarnation uint64, now time.Time) {
	if p := w.peers[name]; p != nil && p.incarnation != incarnation {
		*p = peer{incarnation: incarnation, startedBefore: now}
	}
}

// RecordReceived notes that count of a peer's cancellations were received, the first of them under the number from.
// After a gap they don't count until the missing ones came too.
func (w *Watermark) RecordReceived(name string, from uint64, count int) {
	if p := w.peers[name]; p != nil && from > 0 && from <= p.received+1 {
		p.received = max(p.received, from+uint64(count)-1)
	}
}

// ReceivedFrom returns the number up to which the cancellations of a peer's present process were received without a
// gap. The peer is told it as an acknowledgement.
func (w *Watermark) ReceivedFrom(name string) uint64 {
	if p := w.peers[name]; p != nil {
		return p.received
	}
	return 0
}

// RecordConfirmedBy notes that a peer had confirmed so many cancellations at a moment after sent, when something was
// sent from here that the peer had received by then.
func (w *Watermark) RecordConfirmedBy(name string, confirmed uint64, sent time.Time) {
	if p := w.peers[name]; p != nil && p.received >= confirmed && sent.After(p.knownUntil) {
		p.knownUntil = sent
	}
}

// RecordAcknowledgedBy notes up to which number a peer says it has this process's cancellations. A number that was
// never given is ignored.
func (w *Watermark) RecordAcknowledgedBy(name string, number uint64) {
	if p := w.peers[name]; p != nil && number <= w.Confirmed() {
		p.acknowledged = max(p.acknowledged, number)
	}
}

// TakeUnacknowledged returns up to most cancellations that are to be sent to a peer again, and the number of the
// first. It returns none within acknowledgeTimeout of the last time.
func (w *Watermark) TakeUnacknowledged(name string, now time.Time, most int) (from uint64, uids []string) {
	p := w.peers[name]
	if p == nil || p.acknowledged >= w.Confirmed() || now.Sub(p.resentAt) < acknowledgeTimeout {
		return 0, nil
	}
	p.resentAt = now
	end := min(w.Confirmed(), p.acknowledged+uint64(most))
	return p.acknowledged + 1, slices.Clone(w.confirmed[p.acknowledged:end])
}

// KnownUntil returns the watermark: every cancellation that any controller confirmed before is known here. It is zero
// before the first read of the store.
func (w *Watermark) KnownUntil(now time.Time) time.Time {
	if w.lastRead.IsZero() {
		return time.Time{}
	}
	watermark := now // what is confirmed here is known here
	for _, p := range w.peers {
		if known := w.peerKnownUntil(p); known.Before(watermark) {
			watermark = known
		}
	}
	return watermark
}

// peerKnownUntil is the moment before which all that a peer's processes confirmed is known here.
func (w *Watermark) peerKnownUntil(p *peer) time.Time {
	// The peer's own words count only once a read covers its earlier processes.
	if p.incarnation != 0 && !w.lastRead.Before(p.startedBefore) && p.knownUntil.After(w.lastRead) {
		return p.knownUntil
	}
	return w.lastRead
}

// MayRenew says whether an agent's lease may be renewed now. The bound, unless zero, is a moment after which nothing
// counts as known of this agent. A job that was cancelled right after the watermark or the bound has no task there any
// more, by the lease given now, once the time of its cancellation is over.
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
