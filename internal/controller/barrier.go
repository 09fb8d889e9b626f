package controller

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/shards"
)

// machineSettled reports whether a machine is gone or has reported under the given term or a later one.
func (n *Node) machineSettled(name string, term uint64) bool {
	m := n.machines[name]
	return m != nil && m.knowsTerm(term)
}

// passBarrier ends the barrier once every machine that it awaits has reported under the shard's term or is gone, and
// the configuration and the peers' retained state, which starts depend on, are known.
func (n *Node) passBarrier(shard *shards.Owned) {
	shard.RemoveSettledMachines(n.machineSettled)
	if shard.AwaitedCount() > 0 || !n.configReady() || !n.recovery.gathering.retainedStateGathered(time.Now()) {
		return
	}
	if shard.NeedsBarrier() && n.leadership.Record().RosterIncomplete && !n.recovery.census.ListRead() {
		return // the roster may lack machines that the barrier has to await
	}
	now := time.Now()
	shard.PassBarrier(now)
	if shard.Pages().AreRead() {
		n.releaseUnregistered(shard)
	}
	n.log.Info("shard ready", "shard", shard.Name(), "term", shard.SinceTerm(), "after", now.Sub(shard.TakenAt()),
		"unsettled", n.countUnsettled(shard))
	for _, name := range slices.Sorted(maps.Keys(n.machines)) {
		if m := n.machines[name]; m.status != nil {
			n.reconcileMachine(shard, m.status)
		}
	}
}

// countUnsettled returns how many known machines are not settled by the status that is known of them now, for the log.
// After a barrier, a registered machine that is counted here was settled by another status.
func (n *Node) countUnsettled(shard *shards.Owned) (count int) {
	if !shard.NeedsBarrier() {
		return 0
	}
	for name, m := range n.machines {
		if m.status != nil && !n.machineSettled(name, shard.SinceTerm()) {
			count++
		}
	}
	return count
}

// machineReported removes a machine that reported from those that a shard's barrier awaits, and ends the barrier if it
// awaits nothing else.
func (n *Node) machineReported(shard *shards.Owned, v *jobstate.MachineStatus) {
	if shard.MachineAnswered(v.Machine, v.FencingToken) {
		n.passBarrier(shard)
	}
}

// releaseUnregistered releases assignments to machines that were removed from the roster before this controller first
// read it. This is safe because no start is sent to an unregistered machine, and a machine is removed only after
// the cloud confirmed that it is gone. The caller must have read the roster up to the time when the shard was taken
// over.
func (n *Node) releaseUnregistered(shard *shards.Owned) {
	if n.leadership.Record().RosterIncomplete {
		return // the roster itself lost entries
	}
	for _, name := range shard.Team().Assignments().Machines() {
		if !n.roster.Has(name) {
			shard.Team().MachineReturned(name)
		}
	}
}
