package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/peer"
	"topazhollow/internal/protocol"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/userapi"
)

// What controllers remember for each other, and tell each other after a loss.

// tentativeJob is a job that a peer was about to accept.
type proposedJob struct {
	userapi.Stored
	at time.Time
}

// tentativeFor is for how long it counts as accepted if the store is lost meanwhile: no
// longer than a user waits for the answer.
const proposedJobLife = 10 * time.Second

// Kinds of the lines between controllers that serve the recovery of data. The words are part of the protocol.
const (
	kindMemories       = "recall"
	kindMissingEnds    = "recalled"
	kindReplicateFact  = "hold"
	kindFactReplicated = "held"
)

// The lines between controllers that serve the recovery of data.
type (
	// recallMsg tells what the sender remembers and the store may not have.
	memoriesMsg struct {
		Epoch  uint64                    `json:"generation"`
		Jobs   []userapi.Stored          `json:"jobs,omitempty"`
		Active []string                  `json:"active,omitempty"` // jobs that the store had, as the sender knows
		Done   map[string]*bitset.BitSet `json:"done,omitempty"`
		Ends   datarecovery.Digest       `json:"ends"`
		Last   bool                      `json:"last"`
		Ask    bool                      `json:"ask,omitempty"` // the sender waits for the same from those who get it
		Config []teamconfig.Change       `json:"config,omitempty"`
	}
	// recalledMsg answers it: ends that the sender of the recall lacks.
	missingEndsMsg struct {
		Epoch uint64             `json:"generation"`
		Ends  *datarecovery.Page `json:"ends,omitempty"`
		Last  bool               `json:"last"`
	}
	// holdMsg asks a peer to hold a fact before it is said to a user.
	replicateFactMsg struct {
		ID   uint64          `json:"id,omitempty"`
		From uint64          `json:"from,omitempty"` // number of the first of Ends among the withdrawals that the sender confirmed
		Job  *userapi.Stored `json:"job,omitempty"`
		Ends []jobEnd        `json:"ends,omitempty"`
	}
	jobEnd struct {
		UID string `json:"uid"`
		userapi.Final
	}
	factReplicatedMsg struct {
		ID uint64 `json:"id"`
	}
)

// gathered says whether every member that is heard told what it remembers, and gave its
// word on what is remembered here.
func (n *Node) memoriesGathered(now time.Time) bool {
	if n.recovery.gather == nil {
		return true
	}
	n.recovery.gather.DropFormerMembers(func(name string) bool {
		_, member := n.record.Nodes[name]
		return member
	})
	left := n.recovery.gather.Awaited()
	if slices.ContainsFunc(left, func(name string) bool { return n.mayBeHeard(name, now) }) {
		return false
	}
	if len(left) == 0 {
		n.log.Info("memories gathered", "generation", n.record.Epoch, "since_loss", now.Sub(n.recovery.lostAt).Round(time.Millisecond))
		n.recovery.gather = nil
	}
	return true
}

// recall tells peers what is remembered here and the store may lack, and asks for theirs.
func (n *Node) sendMemories(ask bool, to ...string) {
	const part = 400 // jobs of a line
	var jobs []userapi.Stored
	var active []string
	for _, uid := range slices.Sorted(maps.Keys(n.jobs)) {
		if j := n.jobs[uid]; j.active && j.version == 0 {
			jobs = append(jobs, userapi.Stored{Spec: j.spec, At: j.submittedAt.UnixMilli()})
		} else if j.active {
			active = append(active, uid)
		}
	}
	ends := n.front.Digest()
	for {
		m := memoriesMsg{Epoch: n.epoch(), Jobs: jobs[:min(part, len(jobs))], Done: map[string]*bitset.BitSet{}, Ask: ask}
		jobs = jobs[len(m.Jobs):]
		for _, s := range m.Jobs {
			if d := n.recovery.done[s.Spec.UID]; d != nil {
				m.Done[s.Spec.UID] = d
			}
		}
		if m.Last = len(jobs) == 0; m.Last {
			m.Ends, m.Active, m.Config = ends, active, n.rememberedConfig()
			for uid, d := range n.recovery.done { // of jobs that the store has
				if j := n.jobs[uid]; j != nil && j.active && j.version > 0 {
					m.Done[uid] = d
				}
			}
		}
		line := peer.Line(kindMemories, m)
		for _, p := range to {
			n.links.SendLine(p, line)
		}
		if m.Last {
			return
		}
	}
}

// introduced says whether every peer that is heard told what it knows since this process
// began to follow the store, and what it knows was looked up. Before that this process
// can't tell a job that was never accepted from one that the store lost.
func (n *Node) allPeersExchanged(now time.Time) bool {
	for name := range n.peers {
		if n.mayBeHeard(name, now) && !n.recovery.met[name] {
			return false
		}
	}
	return true
}

// startFor is how long a process that starts may take to hear its peers. Before that, one
// that is not heard is not gone: it was once taken for that, and what it remembers was not
// waited for.
const startupGrace = unreachableAfter + 500*time.Millisecond

// mayHear says whether a peer is heard, or may be soon.
func (n *Node) mayBeHeard(name string, now time.Time) bool {
	return n.peers[name].isReachable(now) || now.Sub(n.startedAt) < startupGrace
}

// recallEvery is after what time those who did not answer are told again, as when they
// have not entered the generation yet.
const memoriesResendInterval = 300 * time.Millisecond

func (n *Node) onMemories(node string, m *memoriesMsg) {
	if m.Epoch != n.epoch() || !n.trusted() {
		return // it is told again
	}
	for _, s := range m.Jobs {
		if s.Spec == nil || !protocol.ValidUID(s.Spec.UID) {
			continue
		}
		if !n.hasEnded(s.Spec.UID) {
			n.learnJob(s, 0)
		}
	}
	n.mergeFinishedTasks(m.Done)
	n.learnRememberedConfig(m.Config)
	if !m.Last {
		return
	}
	for _, uid := range m.Active {
		if n.jobs[uid] == nil && !n.hasEnded(uid) {
			// Accepted and not ended, as the sender knows: the store must have it, or its end.
			n.lookUpEnd(uid, 1<<52)
		}
	}
	n.recovery.met[node] = true
	lacking, err := n.front.Lacking(m.Ends)
	if err != nil {
		n.log.Error("unreadable line", "peer", node, "kind", kindMemories, "err", err)
		return
	}
	for _, p := range datarecovery.Pages(lacking, 256<<10) {
		n.links.Send(node, kindMissingEnds, missingEndsMsg{Epoch: m.Epoch, Ends: &p})
	}
	n.links.Send(node, kindMissingEnds, missingEndsMsg{Epoch: m.Epoch, Last: true})
	if n.recovery.gather != nil {
		n.recovery.gather.MemoriesReceived(node)
		n.wake()
	}
	if m.Ask { // one that entered the generation later missed what was told then
		n.sendMemories(false, node)
	}
}

func (n *Node) onMissingEnds(node string, m *missingEndsMsg) {
	if m.Ends != nil {
		ends, err := m.Ends.Ends()
		if err != nil {
			n.log.Error("unreadable line", "peer", node, "kind", kindMissingEnds, "err", err)
			return
		}
		n.learnEnds(ends)
		n.recovery.sealed = false
	}
	if m.Last && n.recovery.gather != nil && m.Epoch == n.recovery.gather.Epoch {
		n.recovery.gather.Answered(node)
		n.wake()
	}
}

// learnEnds takes in ends from peers and pages.
func (n *Node) learnEnds(ends []datarecovery.End) {
	for _, x := range ends {
		n.front.Learn(x.UID, userapi.FinalOf(x))
		n.applyRememberedEnd(x.UID)
	}
}

// endRemembered books the end of a job that memory tells of; if the store still has it as
// active, its end is to be written there again.
func (n *Node) applyRememberedEnd(uid string) {
	if j := n.jobs[uid]; j != nil && j.active {
		if j.version > 0 && n.epoch() > 1 {
			n.recovery.bury[uid] = staleActiveKey{j.version, time.Now()}
		}
		n.endJob(uid)
	}
}

// hold has a peer hold a fact before it is said. It gives up soon: what the store has is
// acknowledged anyway, and a fact that nobody else held is counted.
func (n *Node) replicateFact(ctx context.Context, m replicateFactMsg) {
	n.mu.Lock()
	near := 0
	now := time.Now()
	n.recovery.holdID++
	m.ID = n.recovery.holdID
	n.numberCancellation(&m)
	got := make(chan struct{}, 1)
	n.recovery.holds[m.ID] = got
	line := peer.Line(kindReplicateFact, m)
	for name, p := range n.peers {
		if n.links.SendLine(name, line) && p.isReachable(now) {
			near++
		}
	}
	n.mu.Unlock()
	held := false
	if near > 0 {
		t := time.NewTimer(replicationTimeout)
		defer t.Stop()
		select {
		case <-got:
			held = true
		case <-t.C:
		case <-ctx.Done():
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.recovery.holds, m.ID)
	if !held {
		n.recovery.alone++
	}
}

// tellEnd tells the peers of an end that was found in the store.
func (n *Node) broadcastEnd(uid string, end userapi.Final) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broadcast(kindReplicateFact, replicateFactMsg{Ends: []jobEnd{{uid, end}}})
}

// holdFor is how long a peer is waited for to hold a fact.
const replicationTimeout = 100 * time.Millisecond

func (n *Node) onReplicateFact(node string, m *replicateFactMsg) {
	if m.Job != nil && m.Job.Spec != nil && protocol.ValidUID(m.Job.Spec.UID) {
		n.noteProposedJob(*m.Job)
	}
	for _, x := range m.Ends {
		if !protocol.ValidUID(x.UID) || x.State != protocol.Cancelled && x.State != protocol.Done {
			n.log.Error("unreadable line", "peer", node, "kind", kindReplicateFact, "err", "an end of no job or of no kind")
			return
		}
	}
	for _, x := range m.Ends {
		n.front.Learn(x.UID, x.Final)
		n.applyRememberedEnd(x.UID)
	}
	n.cancelWatermark.RecordReceived(node, m.From, len(m.Ends))
	if m.ID != 0 {
		n.links.Send(node, kindFactReplicated, factReplicatedMsg{m.ID})
	}
}

func (n *Node) onFactReplicated(m *factReplicatedMsg) {
	if got := n.recovery.holds[m.ID]; got != nil {
		select {
		case got <- struct{}{}:
		default:
		}
	}
}

// tentative takes down a job that a peer is about to accept. If the store accepts it, the
// watch tells; if not, it is forgotten.
func (n *Node) noteProposedJob(s userapi.Stored) {
	if n.jobs[s.Spec.UID] == nil {
		n.recovery.tentative[s.Spec.UID] = proposedJob{s, time.Now()}
	}
}
