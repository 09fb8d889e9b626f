package controller

import (
	"context"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/peer"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Replication of facts before they are acknowledged: what a user is told, a peer knows by then, so that no end of a
// single controller together with a loss of the store's data makes it forgotten.

// Kinds of the messages that replicate facts. The words are part of the protocol.
const (
	kindReplicateFact  = "hold"
	kindFactReplicated = "held"
)

type (
	// replicateFactMsg asks a peer to remember a fact before a user is told of it.
	replicateFactMsg struct {
		ID   uint64             `json:"id,omitempty"`   // 0: no answer is wanted
		From uint64             `json:"from,omitempty"` // number of the first of Ends among the sender's cancellations
		Job  *userapi.ActiveJob `json:"job,omitempty"`
		Ends []jobEnd           `json:"ends,omitempty"`
	}
	jobEnd struct {
		UID string `json:"uid"`
		userapi.JobEnd
	}
	// factReplicatedMsg answers it.
	factReplicatedMsg struct {
		ID uint64 `json:"id"`
	}
)

// replicationTimeout is how long is waited for a peer to remember a fact.
const replicationTimeout = 100 * time.Millisecond

// factReplication is what waits for a peer to remember a fact. Node.mu guards it.
type factReplication struct {
	waiting      map[uint64]chan struct{} // by the fact's number
	lastID       uint64
	unreplicated int // facts told to users that no peer remembered
}

func newFactReplication() factReplication {
	return factReplication{waiting: map[uint64]chan struct{}{}}
}

// begin numbers a fact, and returns what is signalled once a peer remembers it.
func (f *factReplication) begin() (id uint64, replicated <-chan struct{}) {
	f.lastID++
	signal := make(chan struct{}, 1)
	f.waiting[f.lastID] = signal
	return f.lastID, signal
}

// confirm signals that a peer remembers a fact, unless it is waited for no more.
func (f *factReplication) confirm(id uint64) {
	if signal := f.waiting[id]; signal != nil {
		select {
		case signal <- struct{}{}:
		default: // another peer was sooner
		}
	}
}

// end waits for a fact no more.
func (f *factReplication) end(id uint64, confirmed bool) {
	delete(f.waiting, id)
	if !confirmed {
		f.unreplicated++
	}
}

// replicateFact has a peer remember a fact before a user is told of it. It gives up soon: what the store has is
// acknowledged anyway, and a fact that nobody else remembers is counted.
func (n *Node) replicateFact(ctx context.Context, m replicateFactMsg) {
	id, replicated, reached := n.sendFact(m)
	confirmed := reached > 0 && waitFor(ctx, replicated, replicationTimeout)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recovery.facts.end(id, confirmed)
}

// sendFact sends a fact to all peers. It returns its number, what is signalled once a peer remembers it, and how
// many peers that are heard it went to.
func (n *Node) sendFact(m replicateFactMsg) (id uint64, replicated <-chan struct{}, reached int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	id, replicated = n.recovery.facts.begin()
	m.ID = id
	n.numberCancellation(&m)
	line := peer.Encode(kindReplicateFact, m)
	for name, p := range n.peers {
		if n.links.SendEncoded(name, line) && p.isReachable(now) {
			reached++
		}
	}
	return id, replicated, reached
}

// waitFor says whether a signal came before a time has passed or the context ended.
func waitFor(ctx context.Context, signal <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-signal:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// broadcastEnd tells the peers of an end that was found in the store.
func (n *Node) broadcastEnd(uid string, end userapi.JobEnd) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broadcast(kindReplicateFact, replicateFactMsg{Ends: []jobEnd{{uid, end}}})
}

// onReplicateFact remembers a peer's fact.
func (n *Node) onReplicateFact(from string, m *replicateFactMsg) {
	if m.Job != nil && m.Job.Spec != nil && protocol.ValidUID(m.Job.Spec.UID) {
		n.rememberProposedJob(*m.Job)
	}
	for _, end := range m.Ends {
		if !protocol.ValidUID(end.UID) || end.State != protocol.Cancelled && end.State != protocol.Done {
			n.log.Error("unreadable line", "peer", from, "kind", kindReplicateFact, "err", "an end of no job or of no kind")
			return
		}
	}
	for _, end := range m.Ends {
		n.userAPI.RecordEnd(end.UID, end.JobEnd)
		n.applyRememberedEnd(end.UID)
	}
	n.cancelWatermark.RecordReceived(from, m.From, len(m.Ends))
	if m.ID != 0 {
		n.links.Send(from, kindFactReplicated, factReplicatedMsg{m.ID})
	}
}

// onFactReplicated takes in that a peer remembers a fact.
func (n *Node) onFactReplicated(m *factReplicatedMsg) {
	n.recovery.facts.confirm(m.ID)
}

// rememberProposedJob takes down a job that a peer is about to accept. If the store accepts it, the
// watch tells; if not, it is forgotten.
func (n *Node) rememberProposedJob(s userapi.ActiveJob) {
	if n.jobs[s.Spec.UID] == nil {
		n.recovery.gathering.JobProposed(datarecovery.RememberedJob(s), time.Now())
	}
}
