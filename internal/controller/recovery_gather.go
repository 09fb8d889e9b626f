package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
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

// stateExchange exchanges retained state with the peers. Node.mu guards it: all methods are called with it held.
type stateExchange struct {
	*datarecovery.Gathering

	host       exchangeHost
	log        *slog.Logger
	userAPI    *userapi.Handler
	leadership *leadership.State
	shards     *shards.Registry
	jobs       map[string]*job
	detection  *lossDetector
	writeBack  *storeWriteBack
}

// exchangeHost is what a stateExchange asks of the controller.
type exchangeHost interface {
	// peerNames lists the peers.
	peerNames() []string
	// mayBeReachable returns whether a peer is reachable, or may become so soon.
	mayBeReachable(peer string, now time.Time) bool
	// send sends a message to a peer.
	send(peer, kind string, body any)
	// sendEncoded sends an encoded message to a peer, and returns whether it was sent.
	sendEncoded(peer string, line []byte) bool
	// learnJob records an active job.
	learnJob(job userapi.ActiveJob, version uint64)
	// hasEnded returns whether this controller has a recorded end of a job.
	hasEnded(uid string) bool
	// lookUpEnd reads the end of a job from the state service in the background.
	lookUpEnd(uid string, attempt uint64)
	// rememberedConfig lists the changes of the teams' configuration that the state service may lack.
	rememberedConfig() []teamconfig.Change
	// learnRememberedConfig applies changes that a peer remembers.
	learnRememberedConfig(changes []teamconfig.Change)
	// wake makes the main loop run its next step soon.
	wake()
}

func newStateExchange(n *Node, detection *lossDetector, writeBack *storeWriteBack) *stateExchange {
	return &stateExchange{
		Gathering:  datarecovery.NewGathering(),
		host:       n,
		log:        n.log,
		userAPI:    n.userAPI,
		leadership: n.leadership,
		shards:     n.shards,
		jobs:       n.jobs,
		detection:  detection,
		writeBack:  writeBack,
	}
}

// retainedStateGathered reports whether every member that may be reachable has sent its retained state and answered
// that of this controller.
func (x *stateExchange) retainedStateGathered(now time.Time) bool {
	member := func(name string) bool {
		_, ok := x.leadership.Record().Nodes[name]
		return ok
	}
	progress := x.Progress(member, func(name string) bool { return x.host.mayBeReachable(name, now) })
	if progress.Completed {
		x.log.Info("retained state gathered", "epoch", x.leadership.Epoch(), "since_loss", x.detection.sinceLoss(now))
	}
	return progress.Ready
}

// allPeersExchanged reports whether every peer that may be reachable has sent all of its retained state since this
// process started. The look-ups of jobs that are named there and unknown here have at least begun by then.
func (x *stateExchange) allPeersExchanged(now time.Time) bool {
	for _, name := range x.host.peerNames() {
		if x.host.mayBeReachable(name, now) && !x.ExchangedWith(name) {
			return false
		}
	}
	return true
}

// sendRetainedState sends peers what this controller knows and the store may lack. ask requests theirs in return.
func (x *stateExchange) sendRetainedState(ask bool, to ...string) {
	unwritten, written := x.activeJobs()
	ends := x.userAPI.EndsDigest()
	for last := false; !last; {
		m := retainedStateMsg{
			Epoch:    x.leadership.Epoch(),
			Jobs:     unwritten[:min(jobsPerMessage, len(unwritten))],
			Finished: map[string]*bitset.BitSet{},
			Ask:      ask,
		}
		unwritten = unwritten[len(m.Jobs):]
		for _, s := range m.Jobs {
			if finished := x.Finished(s.Spec.UID); finished != nil {
				m.Finished[s.Spec.UID] = finished
			}
		}
		if last = len(unwritten) == 0; last {
			m.Last, m.Ends, m.Active, m.Config = true, ends, written, x.host.rememberedConfig()
			x.addFinishedOfWritten(m.Finished)
		}
		line := peer.Encode(kindRetainedState, m)
		for _, name := range to {
			x.host.sendEncoded(name, line)
		}
	}
}

// activeJobs returns the active jobs that the store lacks, and the ids of those that it has, both ordered by id.
func (x *stateExchange) activeJobs() (unwritten []userapi.ActiveJob, written []string) {
	for _, uid := range slices.Sorted(maps.Keys(x.jobs)) {
		if j := x.jobs[uid]; j.active && j.version == 0 {
			unwritten = append(unwritten, j.accepted)
		} else if j.active {
			written = append(written, uid)
		}
	}
	return unwritten, written
}

// addFinishedOfWritten adds the remembered finished tasks of jobs that the store has.
func (x *stateExchange) addFinishedOfWritten(finished map[string]*bitset.BitSet) {
	for uid, tasks := range x.FinishedByJob() {
		if j := x.jobs[uid]; j != nil && j.active && j.version > 0 {
			finished[uid] = tasks
		}
	}
}

// onRetainedState applies a peer's retained state and answers the last message of it with the ends that the peer lacks.
func (x *stateExchange) onRetainedState(from string, m *retainedStateMsg) {
	if m.Epoch != x.leadership.Epoch() || !x.detection.Trusted() {
		return // the peer sends it again
	}
	for _, s := range m.Jobs {
		if s.Spec == nil || !protocol.ValidUID(s.Spec.UID) {
			continue
		}
		if !x.host.hasEnded(s.Spec.UID) {
			x.host.learnJob(s, 0)
		}
	}
	x.mergeFinishedTasks(m.Finished)
	x.host.learnRememberedConfig(m.Config)
	if m.Last {
		x.completeRetainedState(from, m)
	}
}

// completeRetainedState processes the last message of a peer's retained state.
func (x *stateExchange) completeRetainedState(from string, m *retainedStateMsg) {
	for _, uid := range m.Active {
		if x.jobs[uid] == nil && !x.host.hasEnded(uid) {
			// The sender knows it as accepted and not ended, so the store must have the job or its end.
			x.host.lookUpEnd(uid, latestAttempt)
		}
	}
	x.StateReceived(from)
	missing, err := x.userAPI.EndsMissingFrom(m.Ends)
	if err != nil {
		x.log.Error("unreadable line", "peer", from, "kind", kindRetainedState, "err", err)
		return
	}
	for _, page := range datarecovery.Pages(missing, maxEndsBytes) {
		x.host.send(from, kindMissingEnds, missingEndsMsg{Epoch: m.Epoch, Ends: &page})
	}
	x.host.send(from, kindMissingEnds, missingEndsMsg{Epoch: m.Epoch, Last: true})
	if x.StateAnswered(from) {
		x.host.wake()
	}
	if m.Ask { // the peer may have entered the epoch after the last send to all peers
		x.sendRetainedState(false, from)
	}
}

// onMissingEnds applies ends that a peer found to be missing here.
func (x *stateExchange) onMissingEnds(from string, m *missingEndsMsg) {
	if m.Ends != nil {
		ends, err := m.Ends.Ends()
		if err != nil {
			x.log.Error("unreadable line", "peer", from, "kind", kindMissingEnds, "err", err)
			return
		}
		x.writeBack.learnEnds(ends)
		x.writeBack.EndsLearned()
	}
	if m.Last && x.AnswerReceived(from, m.Epoch) {
		x.host.wake()
	}
}

// rememberFinishedTasks merges the finished tasks that this controller knows as owner or holder of a replica into the
// remembered ones.
func (x *stateExchange) rememberFinishedTasks() {
	x.mergeFinishedTasks(x.TakeFinished())
	for shard := range x.shards.All() {
		x.mergeFinishedTasks(shard.Team().Replica().Done)
	}
	for replica := range x.shards.Held().All() {
		x.mergeFinishedTasks(replica.Done)
	}
}

// mergeFinishedTasks merges finished tasks into the remembered ones and into the teams owned here. Their jobs may
// become known only later.
func (x *stateExchange) mergeFinishedTasks(finished map[string]*bitset.BitSet) {
	for uid, tasks := range finished {
		j := x.jobs[uid]
		if tasks == nil || x.host.hasEnded(uid) || j != nil && (!j.active || j.spec.Kind == protocol.Service) {
			continue
		}
		x.MergeFinished(uid, tasks)
		if j == nil {
			continue
		}
		if shard := x.shards.OfTeam(j.spec.Team); shard != nil && shard.Phase() != shards.Loading {
			shard.Team().MergeDone(uid, tasks)
		}
	}
	x.host.wake()
}

// learnRecoveryPage records a page of ends or of finished tasks read from the store.
func (x *stateExchange) learnRecoveryPage(key string, value []byte) error {
	if strings.HasPrefix(key, datarecovery.EndsKey) {
		ends, err := datarecovery.ReadPage(value)
		if err != nil {
			return err
		}
		x.writeBack.learnEnds(ends)
		return nil
	}
	var finished map[string]*bitset.BitSet
	if err := json.Unmarshal(value, &finished); err != nil {
		return err
	}
	x.mergeFinishedTasks(jobstate.JoinFinished(finished))
	return nil
}
