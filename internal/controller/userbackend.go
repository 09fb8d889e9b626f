package controller

import (
	"context"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/userapi"
)

// userBackend answers what the user API asks of the controller; it implements userapi.Backend. Its methods take
// Node.mu, and hold it for no I/O.
type userBackend struct{ node *Node }

var _ userapi.Backend = userBackend{}

// Types is the machine types of the cloud, nil while unknown.
func (b userBackend) MachineTypes() []protocol.MachineType {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.scheduler.MachineTypes()
}

// Progress is how many tasks of a job are done and running, as far as known here.
func (b userBackend) Progress(uid string) (done, running int) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	j := n.jobs[uid]
	if j == nil {
		return 0, 0
	}
	if shard := n.shards.OfTeam(j.spec.Team); shard != nil {
		return shard.Team().Progress(uid)
	}
	for _, p := range n.peers {
		if v, ok := p.progress[uid]; ok {
			return v[0], v[1]
		}
	}
	return 0, 0
}

// Active says whether the state service has a job as active, by a read begun after the call; false if unsure.
func (b userBackend) IsActive(ctx context.Context, uid string) bool {
	n := b.node
	n.mu.Lock()
	j := n.jobs[uid]
	likely := j != nil && j.active && j.version > 0
	n.mu.Unlock()
	if !likely || n.waitForChanges(ctx) != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// What the store lost is no key of it, so that what is followed cannot show its end.
	// Before memories are gathered a peer may know the end of one that the store has.
	return j.active && j.version > 0 && n.trusted() && n.retainedStateGathered(time.Now())
}

// Trusted says whether the state service has what it acknowledged, as far as known.
func (b userBackend) StoreTrusted() bool {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	// Before the first membership record no change rests on an epoch, and a loss cannot be told
	// from the deployment's beginning: nothing is accepted yet.
	return n.watchedKeysRead && n.leadership.Record() != nil && n.trusted() && n.retainedStateGathered(time.Now())
}

// Remembers gives an active job and its version in the state service, 0 if that does not have it yet.
func (b userBackend) KnownActiveJob(uid string) (userapi.ActiveJob, uint64, bool) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	j := n.jobs[uid]
	if j == nil || !j.active {
		return userapi.ActiveJob{}, 0, false
	}
	return userapi.ActiveJob{Spec: j.spec, SubmittedAtMillis: j.submittedAt.UnixMilli()}, j.version, true
}

// Certain says whether a job that neither the store nor anybody here knows was never
// accepted: all ends were read, this process had time to receive what machines know of
// an earlier store, and nothing was lost for good.
// All that is followed is read up to now first.
func (b userBackend) CertainlyNeverAccepted(ctx context.Context) bool {
	n := b.node
	if n.waitForChanges(ctx) != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.trusted() || !n.watchedKeysRead || n.leadership.Record() == nil || n.leadership.Record().DataLost {
		return false
	}
	now := time.Now()
	heartbeats := 2*settings.Seconds(n.settings.Deployment.Agents.HeartbeatSeconds) + time.Second
	return n.retainedStateGathered(now) && n.allPeersExchanged(now) && n.endLookUps.Open() == 0 && now.Sub(n.startedAt) > heartbeats
}

// Missing has the store looked at before it is doubted: what looks like a loss is far more
// often a change that this controller is about to read, and a doubt stops everything.
func (b userBackend) ReportMissing(uid string) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if j := n.jobs[uid]; j != nil && j.active && j.version > 0 && n.trusted() {
		n.recovery.detection.SuspectKey(userapi.ActiveJobPrefix+uid, j.version)
	}
}

// Hold has a peer hold a job, or else an end, before it is confirmed to a user.
func (b userBackend) CopyToPeer(ctx context.Context, job *userapi.ActiveJob, uid string, end userapi.JobEnd) {
	n := b.node
	m := replicateFactMsg{Job: job}
	if job == nil {
		m.Ends = []jobEnd{{uid, end}}
	}
	n.replicateFact(ctx, m)
}

// Confirming announces a cancellation to the peers before it is confirmed to a user.
func (b userBackend) ConfirmingCancellation(uid string, end userapi.JobEnd) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.announceCancellation(uid, end)
}

// Accepted takes up a job that was accepted here.
func (b userBackend) JobAccepted(s userapi.ActiveJob, version uint64) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logFirst("first submission accepted", time.Now())
	n.learnJob(s, version)
}

// Ended takes in that a job has ended.
func (b userBackend) JobEnded(uid string, final userapi.JobEnd) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endJob(uid)
}

// Healthy says whether users are to be sent here: this controller has its lease, or no reachable one has.
func (b userBackend) Healthy() bool {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.scheduler.MachineTypes() == nil {
		return false
	}
	if n.leadership.HoldsLease(now) {
		return true
	}
	// Without the state service nothing can be answered, but when no other controller is better off there is nobody to
	// send users to. A controller that no peer's message reaches for a while must be taken for the only one that is cut
	// off: its users could ask for as long as that takes and get no answer, while the others serve.
	alone := len(n.peers) > 0
	for _, p := range n.peers {
		if p.holdsLease && p.isReachable(now) {
			return false
		}
		alone = alone && now.Sub(p.lastMessageAt) > aloneAfter
	}
	return !alone && now.Sub(n.startedAt) > startupTime
}

// When a controller without a lease sends its users away.
const (
	aloneAfter  = 5 * time.Second // after such silence of all peers
	startupTime = 5 * time.Second // until when it does in any case after its start
)

// Admit says whether a new job can be taken now by what the state service has room for.
func (b userBackend) Admit(s *protocol.Submission) (taken bool, retryAfter int) {
	n := b.node
	wait, rate := n.kvStore.UrgentDelay()
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	taken, after := n.admission.rateLimiter.Admit(keyOf(s), s.UID, wait, rate, now)
	n.admission.served.Record(keyOf(s), now, func(c *admission.Count) {
		if c.Asked++; taken {
			c.Accepted++
		} else {
			c.Refused++
		}
	})
	return taken, int(after / time.Second)
}
