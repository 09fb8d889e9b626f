package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// job is what every controller knows of a job that is or was active.
type job struct {
	spec          *protocol.Submission
	submittedAt   time.Time
	version       uint64 // of the job's key in the state service; 0: that does not have it yet
	active        bool
	endedAt       time.Time
	countedLate   bool                // counted as not served in time
	objectives    jobstate.Objectives // cached
	longestRun    time.Duration       // of its tasks that ran to completion as far as seen here
	completedRuns int
}

// learnJob takes up an active job, unless it is known to be over: its end may have come first, from a
// peer or by a later read of the state service. Owners place it at the next tick.
func (n *Node) learnJob(s userapi.ActiveJob, version uint64) {
	uid := s.Spec.UID
	j := n.jobs[uid]
	n.recovery.gathering.JobKnown(uid)
	if j == nil && n.hasEnded(uid) {
		j = &job{spec: s.Spec, submittedAt: time.UnixMilli(s.SubmittedAtMillis), endedAt: time.Now()}
		n.jobs[uid] = j
	}
	if j != nil && !j.active {
		if version > 0 && n.leadership.Epoch() > 1 && n.hasEnded(uid) { // an end beats active
			n.recovery.writeBack.EndedKeyActive(uid, version, time.Now())
		}
		return
	}
	if j == nil {
		j = &job{spec: s.Spec, submittedAt: time.UnixMilli(s.SubmittedAtMillis), active: true}
		n.jobs[s.Spec.UID] = j
		n.reobserveReserved(s.Spec.UID)
	}
	j.version = max(j.version, version)
	if shard := n.shards.OfTeam(s.Spec.Team); shard != nil {
		n.takeUpJob(shard, j)
	}
}

// takeUpJob gives an active job to the shard of its team, or its version if the shard has it or is still loading.
func (n *Node) takeUpJob(shard *shards.Owned, j *job) {
	uid, team := j.spec.UID, shard.Team()
	if shard.Phase() == shards.Loading || team.Job(uid) != nil {
		team.Job(uid).RecordVersion(j.version)
		return
	}
	n.addJob(shard, j, nil)
	if done := n.recovery.gathering.Finished(uid); done != nil {
		team.MergeDone(uid, done)
	}
	if n.leadership.Epoch() > 1 { // machines may run it already
		n.reconcileMachinesOf(shard, uid)
	}
	n.wake()
}

// hasEnded says whether a job is remembered to have ended.
func (n *Node) hasEnded(uid string) bool {
	_, ended := n.userAPI.KnownEnd(uid)
	return ended
}

// endJob notes that a job is over: nothing of it may start any more. One that is not known yet
// stays over when its acceptance is read.
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
	n.recovery.gathering.ForgetFinished(uid)
	if shard := n.shards.OfTeam(j.spec.Team); shard != nil {
		shard.Team().EndJob(uid)
		n.reconcileMachinesOf(shard, uid)
	}
	n.wake()
}

// progressInterval is how often a status has the jobs' progress: users may see it a few seconds late, and it is the
// longest part of a status.
const progressInterval = 900 * time.Millisecond

// dueProgress is the progress of own teams' jobs when it is due to be sent, nil otherwise.
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
