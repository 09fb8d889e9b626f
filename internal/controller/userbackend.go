package controller

import (
	"context"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/userapi"
)

// userBackend is the user API's interface to the controller; it implements userapi.Backend. Its methods take Node.mu,
// and release it during I/O.
type userBackend struct{ node *Node }

var _ userapi.Backend = userBackend{}

// MachineTypes returns the machine types of the cloud; nil while they are unknown.
func (b userBackend) MachineTypes() []protocol.MachineType {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.scheduler.MachineTypes()
}

// Progress returns how many tasks of a job are done and running, as far as known here.
func (b userBackend) Progress(uid string) (done, running int) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.progress(uid)
}

// Activity returns whether a job is active, according to a read of the state service that began after the call.
func (b userBackend) Activity(ctx context.Context, uid string) userapi.Activity {
	n := b.node
	n.mu.Lock()
	j := n.jobs[uid]
	likely := j != nil && j.active && j.version > 0
	n.mu.Unlock()
	if !likely || n.waitForChanges(ctx) != nil {
		return userapi.Uncertain
	}
	for range maxDependencyReads {
		activity, unsettled := n.activity(j)
		if len(unsettled) == 0 {
			return activity
		}
		for _, dependency := range unsettled {
			if _, ended := n.userAPI.LookUpEnd(ctx, dependency); !ended {
				return userapi.Uncertain
			}
		}
	}
	return userapi.Uncertain
}

// maxDependencyReads is how often the ends of a job's dependencies are read for one answer. Reading an end may reveal
// others that have to be read.
const maxDependencyReads = 3

// activity returns whether a job is active according to the changes known here. If that depends on the ends of jobs
// that are not known here, it returns these jobs.
func (n *Node) activity(j *job) (activity userapi.Activity, unsettled []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// If the state service has lost a job's keys, the watched keys never show the job's end. And until the state that
	// all controllers retained has been gathered, a peer may know the end of a job that the state service has as
	// active.
	recovery := n.recovery
	if !j.active || j.version == 0 || !recovery.detection.Trusted() || !recovery.gathering.retainedStateGathered(time.Now()) {
		return userapi.Uncertain, nil
	}
	return n.dependencyActivity(j.spec.UID)
}

// CatchUp returns once all changes of the state service that were made before the call are known here.
func (b userBackend) CatchUp(ctx context.Context) error { return b.node.waitForChanges(ctx) }

// AcceptsDependencies returns whether no controller runs a version of the program that ignores dependencies.
func (b userBackend) AcceptsDependencies() bool {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if p.ignoresDependencies {
			return false
		}
	}
	return true
}

// StoreTrusted returns whether the state service has all that it acknowledged, as far as known.
func (b userBackend) StoreTrusted() bool {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	// Before the first membership record no change is bound to an epoch, and a loss of all data looks like a new
	// deployment, so that nothing is accepted yet.
	return n.watchedKeysRead && n.leadership.Record() != nil && n.recovery.detection.Trusted() &&
		n.recovery.gathering.retainedStateGathered(time.Now())
}

// KnownActiveJob returns an active job that is known here and its version in the state service; 0 if it is not written
// there.
func (b userBackend) KnownActiveJob(uid string) (userapi.ActiveJob, uint64, bool) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	j := n.jobs[uid]
	if j == nil || !j.active {
		return userapi.ActiveJob{}, 0, false
	}
	return j.accepted, j.version, true
}

// CertainlyNeverAccepted returns whether a job that neither the state service nor this controller knows was certainly
// never accepted: all ends were read, this process has run long enough to receive what machines list of an earlier
// epoch's jobs, and no data was lost for good. It first reads the watched keys up to now.
func (b userBackend) CertainlyNeverAccepted(ctx context.Context) bool {
	n := b.node
	if n.waitForChanges(ctx) != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.recovery.detection.Trusted() || !n.watchedKeysRead || n.leadership.Record() == nil || n.leadership.Record().DataLost {
		return false
	}
	now := time.Now()
	heartbeats := 2*settings.Seconds(n.settings.Deployment.Agents.HeartbeatSeconds) + time.Second
	gathering := n.recovery.gathering
	return gathering.retainedStateGathered(now) && gathering.allPeersExchanged(now) && n.endLookUps.Open() == 0 &&
		now.Sub(n.startedAt) > heartbeats
}

// ReportMissing has the key of a job that seems to be missing read from the state service. It does not suspect a loss
// of data at once, as that stops everything, and the cause is far more often a change that this controller has yet to
// read.
func (b userBackend) ReportMissing(uid string) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if j := n.jobs[uid]; j != nil && j.active && j.version > 0 && n.recovery.detection.Trusted() {
		n.recovery.detection.SuspectKey(userapi.ActiveJobPrefix+uid, j.version)
	}
}

// CopyToPeer has a peer keep a copy of a job, or of an end if job is nil, before it is confirmed to a user.
func (b userBackend) CopyToPeer(ctx context.Context, job *userapi.ActiveJob, uid string, end userapi.JobEnd) {
	n := b.node
	m := replicateFactMsg{Job: job}
	if job == nil {
		m.Ends = []jobEnd{{uid, end}}
	}
	n.recovery.facts.replicateFact(ctx, m)
}

// ConfirmingCancellation announces a cancellation to the peers before it is confirmed to a user.
func (b userBackend) ConfirmingCancellation(uid string, end userapi.JobEnd) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.announceCancellation(uid, end)
}

// JobAccepted records a job that this controller has accepted.
func (b userBackend) JobAccepted(s userapi.ActiveJob, version uint64) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logMilestone("first submission accepted", time.Now())
	n.learnJob(s, version)
}

// JobEnded records that a job has ended.
func (b userBackend) JobEnded(uid string, final userapi.JobEnd) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endJob(uid)
}

// Healthy returns whether load balancers should send users to this controller: it holds its lease, or no reachable
// controller does and this one seems not to be cut off alone.
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
	// Without the state service this controller can answer nothing, but if no other controller can either, there is
	// none to send users to. A controller that has received no peer's message for a while must assume that it alone is
	// cut off: otherwise its users would get no answer for as long as that lasts, while the other controllers serve.
	alone := len(n.peers) > 0
	for _, p := range n.peers {
		if p.holdsLease && p.isReachable(now) {
			return false
		}
		alone = alone && now.Sub(p.lastMessageAt) > aloneAfter
	}
	return !alone && now.Sub(n.startedAt) > startupTime
}

// When a controller without a lease reports that it is not healthy although no reachable controller holds a lease.
const (
	aloneAfter  = 5 * time.Second // after all peers have been silent for this long
	startupTime = 5 * time.Second // for this long after its start, in any case
)

// Admit returns whether the state service's rate of changes has room for a new job now, and otherwise the seconds after
// which the user should retry.
func (b userBackend) Admit(s *protocol.Submission) (taken bool, retryAfter int) {
	n := b.node
	wait, rate := n.kvStore.UrgentDelay()
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	taken, after := n.admission.rateLimiter.Admit(admissionKey(s), s.UID, wait, rate, now)
	n.admission.served.Record(admissionKey(s), now, func(c *admission.Count) {
		if c.Asked++; taken {
			c.Accepted++
		} else {
			c.Refused++
		}
	})
	return taken, int(after / time.Second)
}
