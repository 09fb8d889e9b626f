package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"topazhollow/internal/cancelwatermark"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/peer"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Replication of facts, that is, of accepted jobs and job ends: before a controller acknowledges a fact to a user, a
// peer has to remember it, so that the crash of a single controller together with a loss of the store's data does not
// lose it.

// Message kinds for the replication of facts. The values are part of the protocol.
const (
	kindReplicateFact  = "hold"
	kindFactReplicated = "held"
)

type (
	// replicateFactMsg asks a peer to remember a fact before it is acknowledged to a user.
	replicateFactMsg struct {
		ID   uint64             `json:"id,omitempty"`   // 0: no answer is requested
		From uint64             `json:"from,omitempty"` // number of the first of Ends among the sender's cancellations
		Job  *userapi.ActiveJob `json:"job,omitempty"`
		Ends []jobEnd           `json:"ends,omitempty"`
	}
	// jobEnd is the end of a job together with the job's id.
	jobEnd struct {
		UID string `json:"uid"`
		userapi.JobEnd
	}
	// factReplicatedMsg is the answer to a replicateFactMsg.
	factReplicatedMsg struct {
		ID uint64 `json:"id"`
	}
)

// replicationTimeout is the maximum time to wait until a peer has remembered a fact.
const replicationTimeout = 100 * time.Millisecond

// factReplication tracks facts that no peer has confirmed yet. Node.mu guards it.
type factReplication struct {
	waiting      map[uint64]chan struct{} // by the fact's number
	lastID       uint64
	unreplicated int // facts acknowledged to users that no peer had confirmed
}

func newFactReplication() factReplication {
	return factReplication{waiting: map[uint64]chan struct{}{}}
}

// begin assigns a number to a fact and returns the channel that is signalled once a peer has confirmed it.
func (f *factReplication) begin() (id uint64, replicated <-chan struct{}) {
	f.lastID++
	signal := make(chan struct{}, 1)
	f.waiting[f.lastID] = signal
	return f.lastID, signal
}

// confirm signals that a peer has confirmed a fact, unless the wait for it is over.
func (f *factReplication) confirm(id uint64) {
	if signal := f.waiting[id]; signal != nil {
		select {
		case signal <- struct{}{}:
		default: // another peer confirmed it first
		}
	}
}

// end ends the wait for a fact and counts the fact if no peer confirmed it.
func (f *factReplication) end(id uint64, confirmed bool) {
	delete(f.waiting, id)
	if !confirmed {
		f.unreplicated++
	}
}

// factReplicator sends facts to the peers and remembers theirs. Node.mu guards it: replicateFact and sendFact take
// it, all other methods are called with it held.
type factReplicator struct {
	factReplication

	host            factHost
	mu              sync.Locker // Node.mu
	log             *slog.Logger
	userAPI         *userapi.Handler
	jobs            map[string]*job
	cancelWatermark *cancelwatermark.Watermark
	gathering       *stateExchange
	writeBack       *storeWriteBack
}

// factHost is what a factReplicator asks of the controller.
type factHost interface {
	// peerNames lists the peers.
	peerNames() []string
	// isReachable returns whether a peer is reachable.
	isReachable(peer string, now time.Time) bool
	// send sends a message to a peer.
	send(peer, kind string, body any)
	// sendEncoded sends an encoded message to a peer, and returns whether it was sent.
	sendEncoded(peer string, line []byte) bool
	// numberCancellation assigns the next number to the cancellation that a message contains, if it contains one.
	numberCancellation(m *replicateFactMsg)
}

func newFactReplicator(n *Node, gathering *stateExchange, writeBack *storeWriteBack) *factReplicator {
	return &factReplicator{
		factReplication: newFactReplication(),
		host:            n,
		mu:              &n.mu,
		log:             n.log,
		userAPI:         n.userAPI,
		jobs:            n.jobs,
		cancelWatermark: n.cancelWatermark,
		gathering:       gathering,
		writeBack:       writeBack,
	}
}

// replicateFact sends a fact to the peers and waits until one has confirmed it, before it is acknowledged to a user. It
// gives up after replicationTimeout: what the store has is acknowledged anyway, and a fact that no peer confirmed is
// counted.
func (f *factReplicator) replicateFact(ctx context.Context, m replicateFactMsg) {
	id, replicated, reached := f.sendFact(m)
	confirmed := reached > 0 && waitFor(ctx, replicated, replicationTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(id, confirmed)
}

// sendFact sends a fact to all peers. It returns its number, the channel that is signalled once a peer has confirmed
// it, and the number of reachable peers that it was sent to.
func (f *factReplicator) sendFact(m replicateFactMsg) (id uint64, replicated <-chan struct{}, reached int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	id, replicated = f.begin()
	m.ID = id
	f.host.numberCancellation(&m)
	line := peer.Encode(kindReplicateFact, m)
	for _, name := range f.host.peerNames() {
		if f.host.sendEncoded(name, line) && f.host.isReachable(name, now) {
			reached++
		}
	}
	return id, replicated, reached
}

// waitFor reports whether a signal arrived before the timeout and before the context was cancelled.
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

// onReplicateFact records a fact sent by a peer and confirms it.
func (f *factReplicator) onReplicateFact(from string, m *replicateFactMsg) {
	if m.Job != nil && m.Job.Spec != nil && protocol.ValidUID(m.Job.Spec.UID) {
		f.rememberProposedJob(*m.Job)
	}
	for _, end := range m.Ends {
		if !protocol.ValidUID(end.UID) || end.State != protocol.Cancelled && end.State != protocol.Done {
			f.log.Error("unreadable line", "peer", from, "kind", kindReplicateFact, "err", "job end with an invalid id or state")
			return
		}
	}
	for _, end := range m.Ends {
		f.userAPI.RecordEnd(end.UID, end.JobEnd)
		f.writeBack.applyRememberedEnd(end.UID)
	}
	f.cancelWatermark.RecordReceived(from, m.From, len(m.Ends))
	if m.ID != 0 {
		f.host.send(from, kindFactReplicated, factReplicatedMsg{m.ID})
	}
}

// rememberProposedJob records a job that a peer is about to accept. If the store accepts the job, the watch delivers
// it; if not, the record expires.
func (f *factReplicator) rememberProposedJob(s userapi.ActiveJob) {
	if f.jobs[s.Spec.UID] == nil {
		f.gathering.JobProposed(datarecovery.RememberedJob(s), time.Now())
	}
}
