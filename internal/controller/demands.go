package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// demands lists the demands of the teams that this controller owns.
func (n *Node) demands(now time.Time) (all []demand) {
	for shard := range n.shards.InOrder() {
		if shard.IsReady() {
			all = n.appendDemands(all, shard, now)
		}
	}
	return all
}

// appendDemands adds the demands of one team. Those of faulty jobs, which only probe whether a task can run, are included
// once they have waited for long.
func (n *Node) appendDemands(all []demand, shard *shards.Owned, now time.Time) []demand {
	team := shard.Team()
	list := team.Quota().Demands(now)
	prioritized := n.prioritizedTasks(shard, list, now)
	for i, d := range list {
		if d.Probe {
			d.Count = d.ProbeTasks
		}
		if d.Probe && d.Count == 0 {
			continue
		}
		all = append(all, demand{
			Job:             d.Spec.UID,
			Count:           d.Count,
			Borrowed:        d.Borrowed,
			QuotaDelay:      d.QuotaDelay.Milliseconds(),
			CPUsBeyondQuota: d.CPUsBeyondQuota,
			Prioritized:     prioritized[i],
			Begins:          prioritized[i] > 0 && !team.Job(d.Spec.UID).HasBegun(),
			Zone:            boundZone(team, d.Spec),
			Probe:           d.Probe,
			Held:            d.Held,
		})
	}
	return all
}

// boundZone returns the zone that the tasks of an array or service must be placed in because others of the job are
// there; "" if none. It is "" for gangs, as all of a gang's missing tasks are demanded together.
func boundZone(team *jobstate.Team, spec *protocol.Submission) string {
	job := team.Job(spec.UID)
	if job == nil || !spec.OneZone || spec.Kind == protocol.Gang {
		return ""
	}
	for zone := range job.TasksByZone() {
		return zone
	}
	return ""
}
