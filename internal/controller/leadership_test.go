package controller

import (
	"time"

	"topazhollow/internal/leadership"
)

// learnRecord has a controller know a record, as the next version of the one before, without carrying out what it
// changes.
func learnRecord(n *Node, record *leadership.Record) {
	n.leadership.Adopt(record, n.leadership.RecordVersion()+1, time.Now())
}

// newLeadership begins a controller's leadership anew with the record that it knows and with these peers: it
// has neither lease nor promises.
func newLeadership(n *Node, now time.Time, peers ...string) {
	record := n.leadership.Record()
	life := n.leadership.LeaseTTL()
	n.leadership = leadership.New(n.name, n.incarnation, leadership.Lease{TTL: life, Margin: life / 20}, peers, now)
	if record != nil {
		learnRecord(n, record)
	}
}
