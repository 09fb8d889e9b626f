package controller

import (
	"time"

	"topazhollow/internal/leadership"
)

// learnRecord makes a controller adopt a record as the next version, without applying its changes.
func learnRecord(n *Node, record *leadership.Record) {
	n.leadership.Adopt(record, n.leadership.RecordVersion()+1, time.Now())
}

// newLeadership replaces a controller's leadership by a new one with the same record and the given peers, without a
// lease or promises.
func newLeadership(n *Node, now time.Time, peers ...string) {
	record := n.leadership.Record()
	life := n.leadership.LeaseTTL()
	*n.leadership = *leadership.New(n.name, n.incarnation, leadership.Lease{TTL: life, Margin: life / 20}, peers, now)
	if record != nil {
		learnRecord(n, record)
	}
}
