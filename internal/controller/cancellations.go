package controller

import (
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Cancellations that a controller confirms to users are numbered and sent to its peers before the user gets the answer.
// From the numbers, internal/cancelwatermark derives the time up to which this controller knows all cancellations.

// announceCancellation sends a cancellation to the peers before this controller confirms it to a user for the first
// time.
func (n *Node) announceCancellation(uid string, end userapi.JobEnd) {
	m := replicateFactMsg{Ends: []jobEnd{{uid, end}}}
	if n.numberCancellation(&m); m.From == 0 {
		return
	}
	n.broadcast(kindReplicateFact, m)
}

// numberCancellation assigns the next number to the cancellation that a message contains, if it contains one.
func (n *Node) numberCancellation(m *replicateFactMsg) {
	if len(m.Ends) == 1 && m.Ends[0].State == protocol.Cancelled {
		m.From = n.cancelWatermark.RecordCancellation(m.Ends[0].UID)
	}
}

// maxResentCancellations is the maximum number of cancellations in one resent message.
const maxResentCancellations = 500

// resendCancellations sends the cancellations confirmed here that a peer has not acknowledged to that peer again. A
// lost connection, for example, loses messages.
func (n *Node) resendCancellations(name string, now time.Time) {
	from, uids := n.cancelWatermark.TakeUnacknowledged(name, now, maxResentCancellations)
	if len(uids) == 0 {
		return
	}
	m := replicateFactMsg{From: from}
	for _, uid := range uids {
		end, _ := n.userAPI.KnownEnd(uid) // ends are never forgotten
		m.Ends = append(m.Ends, jobEnd{uid, end})
	}
	n.links.Send(name, kindReplicateFact, m)
}

// onPeerCancellations records from a peer's status which cancellations the peer has confirmed to users and which of
// this controller's it has received, and sends it those that it lacks.
func (n *Node) onPeerCancellations(name string, s *statusMsg, now time.Time) {
	received, sent, ok := n.ownStatusIn(s, now)
	if !ok || s.Cancellations == nil {
		return
	}
	n.cancelWatermark.RecordConfirmedBy(name, *s.Cancellations, sent)
	if received.Cancellations != nil {
		n.cancelWatermark.RecordAcknowledgedBy(name, *received.Cancellations)
	}
	n.resendCancellations(name, now)
}

// maxReadAge is the age of the last read of the state service after which a new read is requested, unless something
// else requests one before.
const maxReadAge = 3 * time.Second

// requestReadIfStale requests a read of the state service if the last one is too old, so that the watermark advances:
// a watch alone may wait for ten seconds, and hangs if the state service refuses this controller.
func (n *Node) requestReadIfStale(now time.Time) {
	if now.Sub(n.cancelWatermark.LastRead()) >= maxReadAge {
		n.changeReads.request()
	}
}
