package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// demands lists the room that own teams ask for.
func (n *Node) demands(now time.Time) []demand {
	var out []demand
	for shard := range n.shards.InOrder() {
		if !shard.IsReady() {
			continue
		}
		list := shard.Team().Demands(now)
		first := n.prioritizedTasks(shard, list, now)
		for i, d := range list {
			if !d.Probe {
				out = append(out, demand{Job: d.Spec.UID, Count: d.Count, Borrowed: d.Borrowed, QuotaDelay: d.Backlog.Milliseconds(), Prioritized: first[i], CPUsBeyondQuota: d.BeyondQuotaCPUs, Zone: boundZone(shard.Team(), d.Spec)})
			}
		}
	}
	return out
}

// boundZone is the zone that tasks of an array or service have to be in because others of the job are; "" if none.
// A gang's missing tasks are asked for as a whole.
func boundZone(team *jobstate.Team, spec *protocol.Submission) string {
	job := team.Job(spec.UID)
	if job == nil || !spec.OneZone || spec.Kind == protocol.Gang {
		return ""
	}
	for zone := range team.TasksByZone(job) {
		return zone
	}
	return ""
}
