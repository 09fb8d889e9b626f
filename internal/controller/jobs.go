package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// job holds what a controller knows of a job that is or was active, whoever owns its team.
type job struct {
	accepted      userapi.ActiveJob    // as its user submitted it; empty if only its end is known
	spec          *protocol.Submission // the same with the priority and deadline that it is scheduled under
	waitingSince  time.Time            // since when its tasks may start: its submission, or the end of the last job it needs
	waits         bool                 // for jobs that it needs, or is cancelled with one of them; no task may start
	version       uint64               // of the job's key in the state service; 0: not written there
	active        bool
	endedAt       time.Time
	countedLate   bool                // counted as late by countLateJobs
	objectives    jobstate.Objectives // cached
	longestRun    time.Duration       // the longest observed run time of its completed tasks
	completedRuns int
}

// learnJob records an active job, unless its end is already known: the end may have arrived first, from a peer or by a
// later read of the state service. The owner of its team places its tasks in the next step.
func (n *Node) learnJob(s userapi.ActiveJob, version uint64) {
	uid := s.Spec.UID
	j := n.jobs[uid]
	n.recovery.gathering.JobKnown(uid)
	if j == nil && n.hasEnded(uid) {
		j = newJob(s)
		j.endedAt = time.Now()
		n.jobs[uid] = j
	}
	if j != nil && !j.active {
		if version > 0 && n.leadership.Epoch() > 1 && n.hasEnded(uid) { // the end takes precedence over the active key
			n.recovery.writeBack.EndedKeyActive(uid, version, time.Now())
		}
		return
	}
	if j == nil {
		j = newJob(s)
		j.active = true
		n.jobs[uid] = j
		n.trackDependencies(j)
		n.reobserveReserved(uid)
	}
	j.version = max(j.version, version)
	if shard := n.shards.OfTeam(s.Spec.Team); shard != nil {
		n.addOrUpdateJob(shard, j)
	}
}

// newJob returns a job that was accepted, with no dependencies considered yet.
func newJob(s userapi.ActiveJob) *job {
	return &job{accepted: s, spec: s.Spec, waitingSince: time.UnixMilli(s.SubmittedAtMillis)}
}

// addOrUpdateJob adds an active job to the shard of its team, unless it waits for other jobs. If the shard has the job
// already, or is still loading, it only updates the job's version there.
func (n *Node) addOrUpdateJob(shard *shards.Owned, j *job) {
	uid, team := j.spec.UID, shard.Team()
	if shard.Phase() == shards.Loading || team.Job(uid) != nil {
		team.Job(uid).RecordVersion(j.version)
		return
	}
	if j.waits {
		return
	}
	n.addJob(shard, j, nil)
	if done := n.recovery.gathering.Finished(uid); done != nil {
		team.MergeDone(uid, done)
	}
	if n.leadership.Epoch() > 1 { // after a loss of data machines may run it already
		n.reconcileMachinesOf(shard, uid)
	}
	n.wake()
}

// hasEnded returns whether this controller has a recorded end of a job.
func (n *Node) hasEnded(uid string) bool {
	_, ended := n.userAPI.KnownEnd(uid)
	return ended
}

// endJob marks a job as ended, so that none of its tasks starts any more. A job that is not known yet is recorded as
// ended, so that a later read of its acceptance does not make it active.
func (n *Node) endJob(uid string) {
	j := n.jobs[uid]
	if j == nil {
		end, _ := n.userAPI.KnownEnd(uid)
		n.jobs[uid] = &job{spec: endedSpec(uid, end), endedAt: time.Now()}
		return
	}
	if !j.active {
		return
	}
	j.active, j.endedAt = false, time.Now()
	n.dependencies.graph.Ended(uid)
	n.recovery.gathering.ForgetFinished(uid)
	if shard := n.shards.OfTeam(j.spec.Team); shard != nil {
		shard.Team().EndJob(uid)
		n.reconcileMachinesOf(shard, uid)
	}
	n.wake()
}

// progressInterval is the least time between two statuses that contain the jobs' progress. The progress is the longest
// part of a status, and users may see it a few seconds late.
const progressInterval = 900 * time.Millisecond

// dueProgress returns the progress of the jobs of teams owned here if it is due to be sent, and nil otherwise.
func (n *Node) dueProgress(now time.Time) map[string][2]int {
	if now.Sub(n.progressSentAt) < progressInterval {
		return nil
	}
	n.progressSentAt = now
	progress := map[string][2]int{}
	for shard := range n.shards.All() {
		shard.Team().Jobs(func(j *jobstate.Job) {
			done, running := shard.Team().Progress(j.Spec.UID)
			if done+running > 0 {
				progress[j.Spec.UID] = [2]int{done, running}
			}
		})
	}
	return progress
}

// progress returns how many tasks of a job are done and running, as far as known here.
func (n *Node) progress(uid string) (done, running int) {
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
