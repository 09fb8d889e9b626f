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

// commitFinishedJobs commits the end of jobs whose tasks are all done.
func (n *Node) commitFinishedJobs(shard *shards.Owned) {
	shard.Team().Jobs(func(j *jobstate.Job) {
		if j.Spec.Kind == protocol.Service || j.Finishing || !j.Complete() {
			return
		}
		if j.Version == 0 {
			return // after a loss: the store gets it back first
		}
		j.Finishing = true
		version, written := n.leadership.RecordVersion(), j.Version
		n.group.Go(func() error {
			n.commitJobEnd(n.ctx, shard, j, version, written)
			return nil
		})
	})
}

// jobEndRetryDelay is how long after a failed write the end of a job is written again at the earliest.
const jobEndRetryDelay = 200 * time.Millisecond

// commitJobEnd writes the end of a job to the state service, unless the membership record or the job's key has changed
// since the given versions, and then has it known here and at the peers.
func (n *Node) commitJobEnd(ctx context.Context, shard *shards.Owned, j *jobstate.Job,
	recordVersion, jobVersion uint64) {
	uid := j.Spec.UID
	end := userapi.NewJobEnd(j.Spec, protocol.Done)
	_, err := n.kvStore.Commit(ctx, jobEndUpdate(uid, end, recordVersion, jobVersion))
	if c := (*kvstore.ConflictError)(nil); errors.As(err, &c) && slices.Contains(c.Keys, userapi.ActiveJobPrefix+uid) {
		userBackend{n}.ReportMissing(uid) // or just cancelled; the record may have changed as well, which says nothing
	}
	if err == nil {
		n.replicateFact(ctx, replicateFactMsg{Ends: []jobEnd{{uid, end}}})
		n.userAPI.RecordEnd(uid, end)
	} else {
		n.log.Debug("end of job not written yet", "job", uid, "err", err)
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

// jobEndUpdate is the change of the state service that ends a job.
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
