package controller

import (
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/dependencies"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/scheduler"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// Jobs that need others. internal/dependencies derives what that means for each job; docs/pipelines.md describes it. A
// job that waits is known as active, but is not in the state of its team: it holds no quota and demands no capacity.

const (
	// dependencyLookUpDelay is how long the end of a needed job may be unknown before it is read from the state
	// service. The controller that writes an end sends it to all others.
	dependencyLookUpDelay = 300 * time.Millisecond
	// dependencyRetryDelay is the delay before a failed look-up or cancellation is tried again.
	dependencyRetryDelay = time.Second
	// maxDependencyRequests bounds the concurrent look-ups and cancellations.
	maxDependencyRequests = 16
	// spreadOfRunTimes is the expected time of a job's longest task as a multiple of the estimate.
	spreadOfRunTimes = 1.5
)

// dependencyState tracks what jobs need of each other, and the requests that follow from it. Node.mu guards it.
type dependencyState struct {
	graph     *dependencies.Graph
	cancelled map[string]bool      // active jobs that are cancelled with others
	requestAt map[string]time.Time // when the end of a needed job is looked up, or a job is cancelled, next
	open      map[string]bool      // jobs whose request is in progress
}

func newDependencyState(n *Node) *dependencyState {
	return &dependencyState{
		graph:     dependencies.New(dependencyJobs{n}),
		cancelled: map[string]bool{},
		requestAt: map[string]time.Time{},
		open:      map[string]bool{},
	}
}

// due returns whether a request for a job should be sent now. A new one is first delayed.
func (d *dependencyState) due(uid string, delay time.Duration, now time.Time) bool {
	if d.open[uid] || len(d.open) >= maxDependencyRequests {
		return false
	}
	at, scheduled := d.requestAt[uid]
	if !scheduled {
		at = now.Add(delay)
		d.requestAt[uid] = at
	}
	return !now.Before(at)
}

// begin records that a request for a job was sent.
func (d *dependencyState) begin(uid string) { d.open[uid] = true }

// end records that a request for a job has ended.
func (d *dependencyState) end(uid string, now time.Time) {
	delete(d.open, uid)
	d.requestAt[uid] = now.Add(dependencyRetryDelay)
}

// dependencyJobs looks up jobs for the graph; it implements dependencies.Jobs.
type dependencyJobs struct{ node *Node }

// ActiveJob describes a job that is known as active.
func (d dependencyJobs) ActiveJob(uid string) (dependencies.Job, bool) {
	j := d.node.jobs[uid]
	if j == nil || !j.active {
		return dependencies.Job{}, false
	}
	return d.node.dependencyJob(j), true
}

// Outcome returns the recorded end of a job. Ends are recorded only after the state service has them.
func (d dependencyJobs) Outcome(uid string) dependencies.Outcome {
	end, known := d.node.userAPI.KnownEnd(uid)
	switch {
	case !known:
		return dependencies.Unknown
	case end.State == protocol.Cancelled:
		return dependencies.Cancelled
	}
	return dependencies.Done
}

// dependencyJob describes an active job for the graph.
func (n *Node) dependencyJob(j *job) dependencies.Job {
	spec := j.accepted.Spec
	submittedAt := time.UnixMilli(j.accepted.SubmittedAtMillis)
	return dependencies.Job{
		UID:          spec.UID,
		Dependencies: spec.Dependencies,
		Urgency:      dependencies.Urgency{Rank: protocol.Rank(spec.Priority), Deadline: scheduler.DeadlineOf(spec, submittedAt)},
		Duration:     n.expectedDuration(spec),
	}
}

// expectedDuration returns how long a job is expected to take on machines that are up: the slowest fetch of its image,
// and its longest task.
func (n *Node) expectedDuration(spec *protocol.Submission) time.Duration {
	fetch := autoscaler.ImageFetchSeconds(n.scheduler.MachineTypes(), spec)
	return settings.Seconds(min(fetch+spreadOfRunTimes*spec.EstimateSeconds, dependencies.MaxDuration.Seconds()))
}

// trackDependencies adds a job that became active to the graph, if it needs others or is needed. When a job became ready
// before it was known here, as before a restart, is not known: its times count from now, so that it does not seem late.
func (n *Node) trackDependencies(j *job) {
	needsOthers := len(j.accepted.Spec.Dependencies) > 0
	if !needsOthers && !n.dependencies.graph.Tracks(j.spec.UID) {
		return
	}
	now := time.Now()
	if needsOthers && now.After(j.waitingSince) {
		j.waitingSince = now
	}
	n.dependencies.graph.Track(n.dependencyJob(j))
	n.applyDependencies(j, now)
}

// followDependencies applies what has changed about jobs that need others or are needed, and looks up the ends that are
// missing for it.
func (n *Node) followDependencies(now time.Time) {
	graph := n.dependencies.graph
	graph.Settle()
	for _, uid := range graph.TakeChanged() {
		if j := n.jobs[uid]; j != nil && j.active {
			n.applyDependencies(j, now)
		}
	}
	unsettled := graph.Unsettled()
	for _, uid := range unsettled {
		if n.dependencies.due(uid, dependencyLookUpDelay, now) {
			n.lookUpDependency(uid)
		}
	}
	if len(unsettled)+len(n.dependencies.cancelled) == 0 {
		clear(n.dependencies.requestAt)
	}
}

// applyDependencies applies the state and the urgency that follow for an active job from those that it needs and that
// need it.
func (n *Node) applyDependencies(j *job, now time.Time) {
	uid := j.spec.UID
	state := n.dependencies.graph.State(uid)
	waited := j.waits
	j.waits = state != dependencies.Ready
	if waited && !j.waits {
		j.waitingSince = now
		n.log.Info("job ready: all jobs that it needs are done", "job", uid, "team", j.spec.Team)
	}
	if state == dependencies.CancelledWith {
		n.dependencies.cancelled[uid] = true
	}
	j.spec, j.objectives = n.scheduledSpec(j), nil
	shard := n.shards.OfTeam(j.spec.Team)
	if shard == nil || shard.Phase() == shards.Loading {
		return
	}
	if shard.Team().Job(uid) == nil {
		n.addOrUpdateJob(shard, j)
		return
	}
	shard.Team().Reschedule(j.spec, j.waitingSince)
	shard.Team().Job(uid).SetObjectives(n.objectives(j))
}

// scheduledSpec returns a job's specification with the priority and the deadline that it is scheduled under. The
// deadline counts from waitingSince there.
func (n *Node) scheduledSpec(j *job) *protocol.Submission {
	urgency, tracked := n.dependencies.graph.Urgency(j.spec.UID)
	if !tracked {
		return j.accepted.Spec
	}
	spec := *j.accepted.Spec
	spec.Priority = protocol.Priority(urgency.Rank)
	if urgency.Deadline != nil {
		seconds := urgency.Deadline.At(1).Sub(j.waitingSince).Seconds()
		spec.DeadlineSeconds = &seconds
	}
	return &spec
}

// deadline returns the deadline that a job is scheduled under; nil if there is none.
func (n *Node) deadline(j *job) *jobstate.Deadline {
	if urgency, tracked := n.dependencies.graph.Urgency(j.spec.UID); tracked {
		return urgency.Deadline
	}
	return scheduler.DeadlineOf(j.spec, j.waitingSince)
}

// dependencyActivity returns whether an active job is cancelled with one that it needs. If that depends on the ends of
// jobs that are not known here, it returns these jobs.
func (n *Node) dependencyActivity(uid string) (activity userapi.Activity, unsettled []string) {
	graph := n.dependencies.graph
	if !graph.Tracks(uid) {
		return userapi.Active, nil
	}
	graph.Settle()
	switch graph.State(uid) {
	case dependencies.CancelledWith:
		return userapi.CancelledWith, nil
	case dependencies.Ready:
		return userapi.Active, nil
	}
	return userapi.Active, graph.UnsettledBefore(uid)
}

// lookUpDependency reads the end of a job that others need from the state service.
func (n *Node) lookUpDependency(uid string) {
	n.dependencies.begin(uid)
	n.group.Go(func() error {
		n.userAPI.LookUpEnd(n.ctx, uid) // records the end
		n.mu.Lock()
		defer n.mu.Unlock()
		n.dependencies.end(uid, time.Now())
		n.wake()
		return nil
	})
}

// cancelDependents writes the ends of the jobs of teams owned here that are cancelled with jobs that they need.
func (n *Node) cancelDependents(now time.Time) {
	if len(n.dependencies.cancelled) == 0 || !n.recovery.detection.Trusted() || !n.recovery.gathering.retainedStateGathered(now) {
		return
	}
	for uid := range n.dependencies.cancelled {
		j := n.jobs[uid]
		if j == nil || !j.active {
			delete(n.dependencies.cancelled, uid)
			delete(n.dependencies.requestAt, uid)
			continue
		}
		if n.shards.OfTeam(j.spec.Team) != nil && j.version > 0 && n.dependencies.due(uid, 0, now) {
			n.cancelDependent(j.accepted.Spec, j.version)
		}
	}
}

// cancelDependent writes the end of a job that is cancelled with one that it needs.
func (n *Node) cancelDependent(spec *protocol.Submission, version uint64) {
	n.dependencies.begin(spec.UID)
	n.log.Info("job cancelled with one that it needs", "job", spec.UID, "team", spec.Team)
	n.group.Go(func() error {
		n.userAPI.CancelDependent(n.ctx, spec, version)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.dependencies.end(spec.UID, time.Now())
		return nil
	})
}

// recordStartedJobs records the jobs of which an earlier owner of a team has started tasks: everything that they need
// was done then. done are the finished tasks that were read from the state service.
func (n *Node) recordStartedJobs(shard *shards.Owned, done map[string]*bitset.BitSet) {
	replica := shard.Team().Replica()
	for id := range replica.Assignments {
		n.recordStartedJob(id.Job)
	}
	for uid := range replica.Done {
		n.recordStartedJob(uid)
	}
	for uid := range done {
		n.recordStartedJob(uid)
	}
}

// recordStartedTasks records the jobs whose tasks a machine lists.
func (n *Node) recordStartedTasks(v *jobstate.MachineStatus) {
	if n.dependencies.graph.Empty() {
		return
	}
	for _, t := range v.Tasks {
		n.recordStartedJob(t.Job)
	}
}

// recordStartedJob records that tasks of a job were started.
func (n *Node) recordStartedJob(uid string) {
	if j := n.jobs[uid]; j != nil && j.active && j.waits {
		n.dependencies.graph.Started(uid)
		n.applyDependencies(j, time.Now())
	}
}
