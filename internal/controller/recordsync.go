package controller

import (
	"encoding/json"
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

// sendNewerRecord sends the membership record to a peer that has had an earlier one for some time.
func (n *Node) sendNewerRecord(name string, s *statusMsg, now time.Time) {
	version := n.leadership.RecordVersion()
	behind := s.RecordVersion != nil && *s.RecordVersion < version && s.Store.Epoch == n.leadership.Epoch() &&
		n.recovery.detection.Trusted()
	if n.leadership.ShouldSendRecord(name, behind, now) {
		n.links.Send(name, kindRecord, recordMsg{version, protocol.Encode(n.leadership.Record())})
	}
}

// onRecord processes a membership record sent by a peer, if it is newer than the known one and of the same epoch.
func (n *Node) onRecord(m *recordMsg) {
	if m.Version <= n.leadership.RecordVersion() || n.leadership.Record() == nil || !n.recovery.detection.Trusted() {
		return
	}
	var record leadership.Record
	if err := json.Unmarshal(m.Record, &record); err != nil || record.Epoch != n.leadership.Epoch() {
		return
	}
	n.learnRecord(&record, m.Version)
}
