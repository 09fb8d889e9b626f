package controller

import (
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// The cancellations that controllers confirm to users: each is numbered and sent to the peers before its user has the
// answer. internal/cancelwatermark decides from them up to when all are known here.

// announceCancellation tells the peers of a cancellation before a user is told of it for the first time here.
func (n *Node) announceCancellation(uid string, end userapi.JobEnd) {
	m := replicateFactMsg{Ends: []jobEnd{{uid, end}}}
	if n.numberCancellation(&m); m.From == 0 {
		return
	}
	n.broadcast(kindReplicateFact, m)
}

// numberCancellation gives the cancellation that a message tells of its number.
func (n *Node) numberCancellation(m *replicateFactMsg) {
	if len(m.Ends) == 1 && m.Ends[0].State == protocol.Cancelled {
		m.From = n.cancelWatermark.RecordCancellation(m.Ends[0].UID)
	}
}

// maxResentCancellations is how many cancellations one message tells again.
const maxResentCancellations = 500

// resendCancellations tells a peer again what it has not acknowledged of the cancellations confirmed here, as after a
// lost connection.
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

// onPeerCancellations takes in what a peer's status says of cancellations.
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

// maxReadAge is how old the last read of the key-value store may be before another one is made, if nobody asks for one.
const maxReadAge = 3 * time.Second

// requestStaleRead keeps the watermark advancing while the key-value store answers: a watch alone may wait for ten
// seconds, and hangs where the store refuses this controller.
func (n *Node) requestStaleRead(now time.Time) {
	if now.Sub(n.cancelWatermark.LastRead()) >= maxReadAge {
		n.changeReads.request()
	}
}
