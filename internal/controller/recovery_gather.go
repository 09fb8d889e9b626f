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

// The exchange of memories: what controllers send each other of what the state service may lack.

// Kinds of the messages of an exchange of memories. The words are part of the protocol.
const (
	kindMemories    = "recall"
	kindMissingEnds = "recalled"
)

type (
	// memoriesMsg tells what the sender remembers and the store may not have.
	memoriesMsg struct {
		Epoch    uint64                    `json:"generation"`
		Jobs     []userapi.ActiveJob       `json:"jobs,omitempty"`   // active, and not in the store
		Active   []string                  `json:"active,omitempty"` // jobs that the store had, as the sender knows
		Finished map[string]*bitset.BitSet `json:"done,omitempty"`   // finished tasks by job
		Ends     datarecovery.Digest       `json:"ends"`
		Last     bool                      `json:"last"`          // message of these memories
		Ask      bool                      `json:"ask,omitempty"` // the sender waits for the same from those who get it
		Config   []teamconfig.Change       `json:"config,omitempty"`
	}
	// missingEndsMsg answers it: ends that the sender of the memories lacks.
	missingEndsMsg struct {
		Epoch uint64             `json:"generation"`
		Ends  *datarecovery.Page `json:"ends,omitempty"`
		Last  bool               `json:"last"`
	}
)

const (
	// jobsPerMessage bounds the jobs of one message of memories.
	jobsPerMessage = 400
	// endsPerMessage bounds the ends of one message, in bytes.
	endsPerMessage = 256 << 10
	// startupGrace is how long a process that starts may take to hear its peers. Before that, one
	// that is not heard is not gone: it was once taken for that, and what it remembers was not
	// waited for.
	startupGrace = unreachableAfter + 500*time.Millisecond
	// calledActive stands for an attempt in the look-up of a job that a peer calls active: later than any real one.
	calledActive = 1 << 52
)

// memoriesGathered says whether every member that may be heard sent its memories, and
// answered those of this controller.
func (n *Node) memoriesGathered(now time.Time) bool {
	member := func(name string) bool {
		_, there := n.leadership.Record().Nodes[name]
		return there
	}
	progress := n.recovery.gathering.Progress(member, func(name string) bool { return n.mayBeHeard(name, now) })
	if progress.Completed {
		n.log.Info("memories gathered", "epoch", n.leadership.Epoch(), "since_loss", n.sinceLoss(now))
	}
	return progress.Ready
}

// allPeersExchanged says whether every peer that may be heard sent its memories since this process
// began to follow the store, and what it knows was looked up.
func (n *Node) allPeersExchanged(now time.Time) bool {
	for name := range n.peers {
		if n.mayBeHeard(name, now) && !n.recovery.gathering.ExchangedWith(name) {
			return false
		}
	}
	return true
}

// mayBeHeard says whether a peer is heard, or may be soon.
func (n *Node) mayBeHeard(name string, now time.Time) bool {
	return n.peers[name].isReachable(now) || now.Sub(n.startedAt) < startupGrace
}

func (n *Node) peerNames() []string { return slices.Sorted(maps.Keys(n.peers)) }

// sendMemories tells peers what is remembered here and the store may lack; ask has them send theirs.
func (n *Node) sendMemories(ask bool, to ...string) {
	unwritten, written := n.activeJobs()
	ends := n.userAPI.EndsDigest()
	for last := false; !last; {
		m := memoriesMsg{
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
		line := peer.Encode(kindMemories, m)
		for _, name := range to {
			n.links.SendEncoded(name, line)
		}
	}
}

// activeJobs are the active jobs that the store lacks, and the ids of those that it has, in the order of ids.
func (n *Node) activeJobs() (unwritten []userapi.ActiveJob, written []string) {
	for _, uid := range slices.Sorted(maps.Keys(n.jobs)) {
		if j := n.jobs[uid]; j.active && j.version == 0 {
			unwritten = append(unwritten, userapi.ActiveJob{Spec: j.spec, SubmittedAtMillis: j.submittedAt.UnixMilli()})
		} else if j.active {
			written = append(written, uid)
		}
	}
	return unwritten, written
}

// addFinishedOfWritten adds the finished tasks that are remembered of jobs that the store has.
func (n *Node) addFinishedOfWritten(finished map[string]*bitset.BitSet) {
	for uid, tasks := range n.recovery.gathering.FinishedByJob() {
		if j := n.jobs[uid]; j != nil && j.active && j.version > 0 {
			finished[uid] = tasks
		}
	}
}

// onMemories takes in a peer's memories, and answers with the ends that it lacks.
func (n *Node) onMemories(from string, m *memoriesMsg) {
	if m.Epoch != n.leadership.Epoch() || !n.trusted() {
		return // it is sent again
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
		n.completeMemories(from, m)
	}
}

// completeMemories takes in the last message of a peer's memories.
func (n *Node) completeMemories(from string, m *memoriesMsg) {
	for _, uid := range m.Active {
		if n.jobs[uid] == nil && !n.hasEnded(uid) {
			// Accepted and not ended, as the sender knows: the store must have it, or its end.
			n.lookUpEnd(uid, calledActive)
		}
	}
	n.recovery.gathering.MemoriesReceived(from)
	lacking, err := n.userAPI.EndsMissingFrom(m.Ends)
	if err != nil {
		n.log.Error("unreadable line", "peer", from, "kind", kindMemories, "err", err)
		return
	}
	for _, page := range datarecovery.Pages(lacking, endsPerMessage) {
		n.links.Send(from, kindMissingEnds, missingEndsMsg{Epoch: m.Epoch, Ends: &page})
	}
	n.links.Send(from, kindMissingEnds, missingEndsMsg{Epoch: m.Epoch, Last: true})
	if n.recovery.gathering.MemoriesAnswered(from) {
		n.wake()
	}
	if m.Ask { // one that entered the epoch later missed what was sent then
		n.sendMemories(false, from)
	}
}

// onMissingEnds takes in the ends that a peer found to be missing here.
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

// learnEnds takes in ends from peers and pages.
func (n *Node) learnEnds(ends []datarecovery.End) {
	for _, end := range ends {
		n.userAPI.RecordEnd(end.UID, userapi.JobEndFrom(end))
		n.applyRememberedEnd(end.UID)
	}
}

// applyRememberedEnd ends a job of whose end memory tells; if the store still has it as
// active, its end is to be written there again.
func (n *Node) applyRememberedEnd(uid string) {
	if j := n.jobs[uid]; j != nil && j.active {
		if j.version > 0 && n.leadership.Epoch() > 1 {
			n.recovery.writeBack.EndedKeyActive(uid, j.version, time.Now())
		}
		n.endJob(uid)
	}
}

// rememberFinishedTasks takes down the finished tasks that this controller knows as owner or replica.
func (n *Node) rememberFinishedTasks() {
	n.mergeFinishedTasks(n.recovery.gathering.TakeFinished())
	for shard := range n.shards.All() {
		n.mergeFinishedTasks(shard.Team().Replica().Done)
	}
	for replica := range n.shards.Held().All() {
		n.mergeFinishedTasks(replica.Done)
	}
}

// mergeFinishedTasks takes in finished tasks that were remembered elsewhere, of jobs that may
// be known only later.
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
