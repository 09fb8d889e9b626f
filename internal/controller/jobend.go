package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// commitFinishedJobs starts writing the end of each job whose tasks are all done.
func (n *Node) commitFinishedJobs(shard *shards.Owned) {
	shard.Team().Jobs(func(j *jobstate.Job) {
		if j.Spec.Kind == protocol.Service || j.Finishing || !j.Complete() {
			return
		}
		if j.Version == 0 {
			return // lost by the state service: the active job is written back first
		}
		j.Finishing = true
		recordVersion, jobVersion := n.leadership.RecordVersion(), j.Version
		n.group.Go(func() error {
			n.commitJobEnd(n.ctx, shard, j, recordVersion, jobVersion)
			return nil
		})
	})
}

// jobEndRetryDelay is the least time from a failed write of a job's end to the next attempt.
const jobEndRetryDelay = 200 * time.Millisecond

// commitJobEnd writes the end of a job to the state service, provided that the membership record and the job's key
// still have the given versions, and then records it here and sends it to the peers.
func (n *Node) commitJobEnd(ctx context.Context, shard *shards.Owned, j *jobstate.Job,
	recordVersion, jobVersion uint64) {
	uid := j.Spec.UID
	end := userapi.NewJobEnd(j.Spec, protocol.Done)
	_, err := n.kvStore.Commit(ctx, jobEndUpdate(uid, end, recordVersion, jobVersion))
	if c := (*kvstore.ConflictError)(nil); errors.As(err, &c) && slices.Contains(c.Keys, userapi.ActiveJobPrefix+uid) {
		// The job was cancelled just now, or the state service has lost it. A conflict of the record's key alone is
		// no sign of a loss: the record may have changed.
		userBackend{n}.ReportMissing(uid)
	}
	if err == nil {
		n.recovery.facts.replicateFact(ctx, replicateFactMsg{Ends: []jobEnd{{uid, end}}})
		n.userAPI.RecordEnd(uid, end)
	} else {
		n.log.Debug("end of job not written", "job", uid, "err", err)
		sleep(ctx, jobEndRetryDelay)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		team, _ := shards.TeamOf(shard.Name())
		n.log.Info("job done", "job", uid, "team", team)
		n.recordCompleted(j.Spec, time.Now())
		n.endJob(uid)
	}
	j.Finishing = false
	n.wake()
}

// jobEndUpdate returns the transaction that replaces a job's active key by its ended key.
func jobEndUpdate(uid string, end userapi.JobEnd, recordVersion, jobVersion uint64) kvstore.Update {
	return kvstore.Update{
		Conditions: []protocol.Condition{
			{Key: userapi.ActiveJobPrefix + uid, Version: jobVersion},
			{Key: recordKey, Version: recordVersion},
		},
		Changes: []protocol.Op{
			{Delete: userapi.ActiveJobPrefix + uid},
			{Set: userapi.EndedJobPrefix + uid, Value: protocol.Encode(end)},
		},
	}
}
