package topazhollow

import (
	"slices"
	"time"

	"topazhollow/internal/ledger"
	"topazhollow/internal/peer"
	"topazhollow/internal/tenure"
)

// An item's replicas: who holds them, what was sent and acknowledged, and what the record should say of that.

// ack is what a backup acknowledged.
type ack struct {
	inc    uint64
	copied bool   // a copy was sent on the present connection
	seq    uint64 // acknowledged
	known  bool   // acknowledged anything at all
	since  time.Time
	sent   uint64
	retry  time.Time
}

// backup is a team's progress kept for its owner.
type backup struct {
	since uint64
	rep   *ledger.Replica
}

// acked is the sequence number that every backup in sync acknowledged.
func (n *Node) acked(it *item) uint64 {
	low := it.team.Replica().Seq
	for _, b := range n.required(it) {
		a := it.acks[b]
		if a == nil || !a.known || a.inc != n.record.Nodes[b] {
			return 0
		}
		low = min(low, a.seq)
	}
	return low
}

// required lists the backups whose acknowledgement a start needs.
func (n *Node) required(it *item) []string {
	need := slices.Clone(n.record.Items[it.name].InSync)
	for _, b := range it.adding {
		if !slices.Contains(need, b) {
			need = append(need, b)
		}
	}
	return slices.DeleteFunc(need, func(b string) bool { return b == n.name })
}

// backupsOf names who should hold an item's replica beside this controller.
func (n *Node) backupsOf(it *item) []string {
	return n.record.BackupsOf(it.name, n.name, func(node string) bool {
		p := n.peers[node]
		return p != nil && p.up
	})
}

// lateAfter is how long a backup may take to acknowledge before it goes out of
// sync.
const lateAfter = 1500 * time.Millisecond

// syncs sums up the backups of each owned item.
func (n *Node) syncs(now time.Time) map[string]tenure.Sync {
	out := map[string]tenure.Sync{}
	for name, it := range n.items {
		s := tenure.Sync{Ready: it.phase == ready && !it.frozen, Whole: map[string]bool{}, Lagging: map[string]bool{}}
		s.Backups = n.backupsOf(it)
		seq := it.team.Replica().Seq
		for p, ps := range n.peers {
			a := it.acks[p]
			switch {
			case !slices.Contains(s.Backups, p) && !slices.Contains(n.record.Items[name].InSync, p):
			case ps.up && a != nil && a.known && a.seq >= seq && a.inc == n.record.Nodes[p]:
				s.Whole[p] = true
			case now.Sub(it.taken) < lateAfter:
			case !ps.up || a == nil || (!a.since.IsZero() && now.Sub(a.since) > lateAfter):
				s.Lagging[p] = true
			}
		}
		out[name] = s
	}
	return out
}

// replicate sends changes of an item to its backups.
func (n *Node) replicate(it *item, now time.Time) {
	deltas := it.team.TakeDeltas()
	seq := it.team.Replica().Seq
	var line []byte
	backups := append(n.backupsOf(it), n.required(it)...)
	for p, ps := range n.peers {
		if !slices.Contains(backups, p) {
			delete(it.acks, p) // it gets a whole copy when it is a backup again
			continue
		}
		if _, member := n.record.Nodes[p]; !member || !ps.up {
			continue
		}
		a := it.acks[p]
		if a == nil {
			a = &ack{}
			it.acks[p] = a
		}
		switch {
		case !a.copied:
			a.copied = n.links.Send(p, "copy", copyMsg{Item: it.name, Since: it.since, Copy: it.team.Replica().Copy()})
		case len(deltas) == 0:
			continue
		default: // whole already, so the deltas are the next ones; older ones are ignored
			if line == nil {
				line = peer.Line("deltas", deltasMsg{Item: it.name, Since: it.since, Deltas: deltas})
			}
			n.links.SendLine(p, line)
		}
		a.sent = seq
		if a.since.IsZero() {
			a.since = now
		}
	}
}
