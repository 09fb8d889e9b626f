package topazhollow

import (
	"time"

	"topazhollow/internal/frontend"
	"topazhollow/internal/ledger"
	"topazhollow/internal/tenure"
	"topazhollow/internal/wire"
)

// Every answer that renews a worker's lease passes here, entitled or not. It may go out only while the lease ends
// before a withdrawal that is not known here could have run out of time (internal/horizon), and it
// stops what the machine lists of jobs that are known to be over. So after each renewal a machine runs nothing that
// was withdrawn before the horizon, and the rest is gone in time however long nobody hears anything more.

// renewal decides about the answer to a report: whether it may renew the machine's lease, and
// what it must stop with it.
func (n *Node) renewal(r *wire.Report, now time.Time) (stops []wire.Command, ok bool) {
	since := time.Time{}
	if n.homeOf(r.Machine) != n.name && !(n.lease.Valid(now) && n.entitled(now)) {
		// A start that is held up on its way from the machine's home was sent after that
		// last heard it, and in an outage no raised term voids it.
		if since = n.machine(r.Machine).homed; since.IsZero() {
			return nil, false
		}
	}
	if !n.horizon.Renews(now, since) {
		return nil, false
	}
	stops = []wire.Command{} // an answer names them even if there are none
	home := n.home.Get(r.Machine)
	for _, t := range r.Tasks {
		uid, index, _ := wire.SplitTask(t.Task)
		if t.State == wire.Exited {
			continue
		}
		j := n.jobs[uid]
		switch {
		case j != nil && j.active:
		case j != nil || n.ended(uid):
			stops = append(stops, wire.Command{Op: wire.Stop, Task: t.Task, Attempt: t.Attempt, Grace: new(float64)})
		case n.generation() > 1 && ledger.TermOf(t.Attempt) < n.record.First:
			// Lost with the store's data: nobody can tell, and it runs on.
		case home != nil && home.Ordered(ledger.Ref{Key: ledger.Key{Job: uid, Index: index}, Attempt: t.Attempt}):
			// Its owner knows it, who ordered it here in this term.
		default:
			n.lookUp(uid, t.Attempt)
			return nil, false // it may have been withdrawn long ago
		}
	}
	return stops, true
}

// confirming tells the peers of a withdrawal before a user is told of it for the first time here.
func (n *Node) confirming(uid string, end frontend.Final) {
	m := holdMsg{Ends: []frontendEnd{{uid, end}}}
	if n.number(&m); m.From == 0 {
		return
	}
	n.tellAll("hold", m)
}

// number gives the withdrawal that a line tells of its number.
func (n *Node) number(m *holdMsg) {
	if len(m.Ends) == 1 && m.Ends[0].State == wire.Withdrawn {
		m.From = n.horizon.Confirm(m.Ends[0].UID)
	}
}

// retellMost is how many withdrawals one line tells again.
const retellMost = 500

// retell tells a peer again what it may not have of the withdrawals confirmed here, as after a lost connection.
func (n *Node) retell(name string, now time.Time) {
	from, uids := n.horizon.Lacking(name, now, retellMost)
	if len(uids) == 0 {
		return
	}
	m := holdMsg{From: from}
	for _, uid := range uids {
		end, _ := n.front.Final(uid) // ends are never forgotten
		m.Ends = append(m.Ends, frontendEnd{uid, end})
	}
	n.links.Send(name, "hold", m)
}

// onHorizon takes in what a status says of withdrawals.
func (n *Node) onHorizon(name string, s *statusMsg, now time.Time) {
	e, heard := s.Heard[n.name]
	if !heard || e.Incarnation != n.inc || s.Told == nil || !n.sentBy(e.At, now) {
		return
	}
	n.horizon.Heard(name, *s.Told, n.began.Add(time.Duration(e.At)*time.Millisecond))
	if e.Got != nil {
		n.horizon.Has(name, *e.Got)
	}
	n.retell(name, now)
}

// sentBy says whether a status of this process that a peer names can have been sent by now.
func (n *Node) sentBy(at int64, now time.Time) bool {
	return at > 0 && at <= now.Sub(n.began).Milliseconds()
}

// readAfter is how old the last read of the state service may be before another one is made, if nobody asks for one.
const readAfter = 3 * time.Second

// readOn keeps the horizon moving while the state service answers: a watch alone may wait for ten seconds, and
// hangs where the service refuses this controller.
func (n *Node) readOn(now time.Time) {
	if now.Sub(n.horizon.LastRead()) < readAfter {
		return
	}
	select {
	case n.syncNow <- struct{}{}:
	default:
	}
}

// recordMsg tells a peer the control record as the state service has it.
type recordMsg struct {
	Version uint64         `json:"version"`
	Record  *tenure.Record `json:"record"`
}

// teach gives the control record to a peer that knows an earlier one, as one that the state service refused
// before it was down for all: it may act by promises only under the latest.
func (n *Node) teach(name string, s *statusMsg, now time.Time) {
	p := n.peers[name]
	if n.record == nil || s.Version == nil || *s.Version >= n.version || s.Store.Generation != n.generation() || !n.trusted() || now.Sub(p.taught) < time.Second {
		return
	}
	p.taught = now
	n.links.Send(name, "record", recordMsg{n.version, n.record})
}

func (n *Node) onRecord(m *recordMsg) {
	if m.Record == nil || m.Version == 0 || n.record == nil || m.Record.Generation != n.generation() || !n.trusted() {
		return
	}
	n.changed(wire.Change{Set: controlKey, Value: wire.Encode(m.Record), Version: m.Version})
}
