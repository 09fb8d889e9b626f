package leadership

import "time"

// Times of sending peers the record.
const (
	recordSendInterval     = time.Second
	recordDelayPerMember   = 25 * time.Millisecond // for each further member that a peer may have it from
	immediateRecordSenders = 3                     // members that send it at once
)

// recordSendDelay is for how long a peer must be behind before it is sent the record: it mostly reads it by itself
// meanwhile, and in a large group all others would send it at the same time.
func recordSendDelay(members int) time.Duration {
	return min(recordSendInterval, time.Duration(max(0, members-immediateRecordSenders))*recordDelayPerMember)
}

// ShouldSendRecord says whether a peer is to be sent the record now; behind says that it knows an earlier one of the same
// epoch, as one that the state service refused before it was down for all: it may act by promises only under the
// latest.
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
