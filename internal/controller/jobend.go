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
		if j.Spec.Kind == protocol.Service || j.Finishing || !shard.Team().Complete(j) {
			return
		}
		if j.Version == 0 {
			return // after a loss: the store gets it back first
		}
		j.Finishing = true
		version, written := n.recordVersion, j.Version
		n.group.Go(func() error {
			n.commitJobEnd(n.ctx, shard, j, version, written)
			return nil
		})
	})
}

func (n *Node) commitJobEnd(ctx context.Context, shard *shards.Owned, j *jobstate.Job, version, written uint64) {
	uid := j.Spec.UID
	team, _ := shards.TeamOf(shard.Name())
	end := userapi.NewJobEnd(j.Spec, protocol.Done)
	_, err := n.kvStore.Commit(ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: userapi.ActiveJobPrefix + uid, Version: written}, {Key: controlKey, Version: version}},
		Changes:    []protocol.Op{{Delete: userapi.ActiveJobPrefix + uid}, {Set: userapi.EndedJobPrefix + uid, Value: protocol.Encode(end)}}})
	if c := (*kvstore.ConflictError)(nil); errors.As(err, &c) && slices.Contains(c.Keys, userapi.ActiveJobPrefix+uid) {
		userBackend{n}.ReportMissing(uid) // or just withdrawn; the record may have changed as well, which says nothing
	}
	if err == nil {
		n.replicateFact(ctx, replicateFactMsg{Ends: []jobEnd{{uid, end}}})
		n.front.RecordEnd(uid, end)
	} else {
		n.log.Debug("end of job not written yet", "job", uid, "err", err)
		sleep(ctx, 200*time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.log.Info("job done", "job", uid, "team", team)
		n.ranOut(j.Spec, time.Now())
		n.endJob(uid)
	}
	j.Finishing = false
	n.wake()
}
