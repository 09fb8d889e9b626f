package leadership

import "time"

// Timing of the record's transfer to peers that lag behind.
const (
	recordSendInterval      = time.Second           // minimum time between two sendings to the same peer
	recordDelayPerMember    = 25 * time.Millisecond // per member beyond recordGroupWithoutDelay
	recordGroupWithoutDelay = 3                     // a group of up to this many members sends without delay
)

// recordSendDelay returns how long a peer must lag behind before it is sent the record. A peer mostly reads the record
// from the state service itself in the meantime, and in a large group all other members would otherwise send it at the
// same time.
func recordSendDelay(members int) time.Duration {
	return min(recordSendInterval, time.Duration(max(0, members-recordGroupWithoutDelay))*recordDelayPerMember)
}

// ShouldSendRecord reports whether the record must be sent to a peer now, and if so notes the time of sending. behind
// means that the peer knows an earlier record of the same epoch, for example because the state service rejected the
// peer's requests before it failed for all controllers. A peer may act on promises only under the latest record.
func (s *State) ShouldSendRecord(node string, behind bool, now time.Time) bool {
	p := s.peers[node]
	if p == nil {
		return false
	}
	if !behind || s.record == nil {
		p.behindSince = time.Time{}
		return false
	}
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	if now.Sub(p.behindSince) < recordSendDelay(len(s.record.Nodes)) || now.Sub(p.recordSentAt) < recordSendInterval {
		return false
	}
	p.recordSentAt = now
	return true
}
