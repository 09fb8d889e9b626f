package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/peer"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/userapi"
)

// The exchange of retained state: controllers send each other what they know and the state service may lack.

// Message kinds of the exchange of retained state. The values are part of the protocol.
const (
	kindRetainedState = "recall"
	kindMissingEnds   = "recalled"
)

type (
	// retainedStateMsg contains what the sender knows and the store may lack.
	retainedStateMsg struct {
		Epoch    uint64                    `json:"generation"`
		Jobs     []userapi.ActiveJob       `json:"jobs,omitempty"`   // active, but not in the store
		Active   []string                  `json:"active,omitempty"` // jobs in the store, as the sender knows
		Finished map[string]*bitset.BitSet `json:"done,omitempty"`   // finished tasks, by job
		Ends     datarecovery.Digest       `json:"ends"`
		Last     bool                      `json:"last"`          // the last message of the sender's retained state
		Ask      bool                      `json:"ask,omitempty"` // requests the retained state of the receiver
		Config   []teamconfig.Change       `json:"config,omitempty"`
	}
	// missingEndsMsg is the answer: the ends that the sender of the retained state lacks.
	missingEndsMsg struct {
		Epoch uint64             `json:"generation"`
		Ends  *datarecovery.Page `json:"ends,omitempty"`
		Last  bool               `json:"last"`
	}
)

const (
	// jobsPerMessage is the maximum number of jobs in one retainedStateMsg.
	jobsPerMessage = 400
	// maxEndsBytes is the maximum size of the ends in one missingEndsMsg.
	maxEndsBytes = 256 << 10
	// startupGrace is how long a process that has just started treats every peer as possibly reachable. Without it, a
	// peer that had not connected yet counted as gone, and its retained state was not awaited.
	startupGrace = unreachableAfter + 500*time.Millisecond
	// latestAttempt is an attempt number above all real ones, for the look-up of a job that a peer reports as active.
	latestAttempt = 1 << 52
)

// retainedStateGathered reports whether every member that may be reachable has sent its retained state and answered
// that of this controller.
func (n *Node) retainedStateGathered(now time.Time) bool {
	member := func(name string) bool {
		_, ok := n.leadership.Record().Nodes[name]
		return ok
	}
	progress := n.recovery.gathering.Progress(member, func(name string) bool { return n.mayBeReachable(name, now) })
	if progress.Completed {
		n.log.Info("retained state gathered", "epoch", n.leadership.Epoch(), "since_loss", n.sinceLoss(now))
	}
	return progress.Ready
}

// allPeersExchanged reports whether every peer that may be reachable has sent all of its retained state since this
// process started. The look-ups of jobs that are named there and unknown here have at least begun by then.
func (n *Node) allPeersExchanged(now time.Time) bool {
	for name := range n.peers {
		if n.mayBeReachable(name, now) && !n.recovery.gathering.ExchangedWith(name) {
			return false
		}
	}
	return true
}

// mayBeReachable reports whether a peer is reachable, or may become so within the startup grace period.
func (n *Node) mayBeReachable(name string, now time.Time) bool {
	return n.peers[name].isReachable(now) || now.Sub(n.startedAt) < startupGrace
}

func (n *Node) peerNames() []string { return slices.Sorted(maps.Keys(n.peers)) }

// sendRetainedState sends peers what this controller knows and the store may lack. ask requests theirs in return.
func (n *Node) sendRetainedState(ask bool, to ...string) {
	unwritten, written := n.activeJobs()
	ends := n.userAPI.EndsDigest()
	for last := false; !last; {
		m := retainedStateMsg{
			Epoch:    n.leadership.Epoch(),
			Jobs:     unwritten[:min(jobsPerMessage, len(unwritten))],
			Finished: map[string]*bitset.BitSet{},
			Ask:      ask,
		}
		unwritten = unwritten[len(m.Jobs):]
		for _, s := range m.Jobs {
			if finished := n.recovery.gathering.Finished(s.Spec.UID); finished != nil {
				m.Finished[s.Spec.UID] = finished
			}
		}
		if last = len(unwritten) == 0; last {
			m.Last, m.Ends, m.Active, m.Config = true, ends, written, n.rememberedConfig()
			n.addFinishedOfWritten(m.Finished)
		}
		line := peer.Encode(kindRetainedState, m)
		for _, name := range to {
			n.links.SendEncoded(name, line)
		}
	}
}

// activeJobs returns the active jobs that the store lacks, and the ids of those that it has, both ordered by id.
func (n *Node) activeJobs() (unwritten []userapi.ActiveJob, written []string) {
	for _, uid := range slices.Sorted(maps.Keys(n.jobs)) {
		if j := n.jobs[uid]; j.active && j.version == 0 {
			unwritten = append(unwritten, j.accepted)
		} else if j.active {
			written = append(written, uid)
		}
	}
	return unwritten, written
}

// addFinishedOfWritten adds the remembered finished tasks of jobs that the store has.
func (n *Node) addFinishedOfWritten(finished map[string]*bitset.BitSet) {
	for uid, tasks := range n.recovery.gathering.FinishedByJob() {
		if j := n.jobs[uid]; j != nil && j.active && j.version > 0 {
			finished[uid] = tasks
		}
	}
}

// onRetainedState applies a peer's retained state and answers the last message of it with the ends that the peer lacks.
func (n *Node) onRetainedState(from string, m *retainedStateMsg) {
	if m.Epoch != n.leadership.Epoch() || !n.trusted() {
		return // the peer sends it again
	}
	for _, s := range m.Jobs {
		if s.Spec == nil || !protocol.ValidUID(s.Spec.UID) {
			continue
		}
		if !n.hasEnded(s.Spec.UID) {
			n.learnJob(s, 0)
		}
	}
	n.mergeFinishedTasks(m.Finished)
	n.learnRememberedConfig(m.Config)
	if m.Last {
		n.completeRetainedState(from, m)
	}
}

// completeRetainedState processes the last message of a peer's retained state.
func (n *Node) completeRetainedState(from string, m *retainedStateMsg) {
	for _, uid := range m.Active {
		if n.jobs[uid] == nil && !n.hasEnded(uid) {
			// The sender knows it as accepted and not ended, so the store must have the job or its end.
			n.lookUpEnd(uid, latestAttempt)
		}
	}
	n.recovery.gathering.StateReceived(from)
	missing, err := n.userAPI.EndsMissingFrom(m.Ends)
	if err != nil {
		n.log.Error("unreadable line", "peer", from, "kind", kindRetainedState, "err", err)
		return
	}
	for _, page := range datarecovery.Pages(missing, maxEndsBytes) {
		n.links.Send(from, kindMissingEnds, missingEndsMsg{Epoch: m.Epoch, Ends: &page})
	}
	n.links.Send(from, kindMissingEnds, missingEndsMsg{Epoch: m.Epoch, Last: true})
	if n.recovery.gathering.StateAnswered(from) {
		n.wake()
	}
	if m.Ask { // the peer may have entered the epoch after the last send to all peers
		n.sendRetainedState(false, from)
	}
}

// onMissingEnds applies ends that a peer found to be missing here.
func (n *Node) onMissingEnds(from string, m *missingEndsMsg) {
	if m.Ends != nil {
		ends, err := m.Ends.Ends()
		if err != nil {
			n.log.Error("unreadable line", "peer", from, "kind", kindMissingEnds, "err", err)
			return
		}
		n.learnEnds(ends)
		n.recovery.writeBack.EndsLearned()
	}
	if m.Last && n.recovery.gathering.AnswerReceived(from, m.Epoch) {
		n.wake()
	}
}

// learnEnds records ends received from peers or read from pages.
func (n *Node) learnEnds(ends []datarecovery.End) {
	for _, end := range ends {
		n.userAPI.RecordEnd(end.UID, userapi.JobEndFrom(end))
		n.applyRememberedEnd(end.UID)
	}
}

// applyRememberedEnd ends an active job whose end is known. If the store still has the job as active, its end has to be
// written there again.
func (n *Node) applyRememberedEnd(uid string) {
	if j := n.jobs[uid]; j != nil && j.active {
		if j.version > 0 && n.leadership.Epoch() > 1 {
			n.recovery.writeBack.EndedKeyActive(uid, j.version, time.Now())
		}
		n.endJob(uid)
	}
}

// rememberFinishedTasks merges the finished tasks that this controller knows as owner or holder of a replica into the
// remembered ones.
func (n *Node) rememberFinishedTasks() {
	n.mergeFinishedTasks(n.recovery.gathering.TakeFinished())
	for shard := range n.shards.All() {
		n.mergeFinishedTasks(shard.Team().Replica().Done)
	}
	for replica := range n.shards.Held().All() {
		n.mergeFinishedTasks(replica.Done)
	}
}

// mergeFinishedTasks merges finished tasks into the remembered ones and into the teams owned here. Their jobs may
// become known only later.
func (n *Node) mergeFinishedTasks(finished map[string]*bitset.BitSet) {
	for uid, tasks := range finished {
		j := n.jobs[uid]
		if tasks == nil || n.hasEnded(uid) || j != nil && (!j.active || j.spec.Kind == protocol.Service) {
			continue
		}
		n.recovery.gathering.MergeFinished(uid, tasks)
		if j == nil {
			continue
		}
		if shard := n.shards.OfTeam(j.spec.Team); shard != nil && shard.Phase() != shards.Loading {
			shard.Team().MergeDone(uid, tasks)
		}
	}
	n.wake()
}
