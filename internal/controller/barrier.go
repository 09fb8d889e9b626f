package controller

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/shards"
)

// machineSettled says whether a machine is gone, or reported knowing a term.
func (n *Node) machineSettled(name string, term uint64) bool {
	m := n.machines[name]
	return m != nil && m.knowsTerm(term)
}

// passBarrier ends the barrier once every machine that it waits for reported under the shard's term or is gone, and
// everything else is known that a start rests on.
func (n *Node) passBarrier(shard *shards.Owned) {
	shard.RemoveSettledMachines(n.machineSettled)
	if shard.AwaitedCount() > 0 || !n.configReady() || !n.memoriesGathered(time.Now()) {
		return
	}
	if shard.NeedsBarrier() && n.leadership.Record().RosterIncomplete && !n.recovery.census.Taken() {
		return // machines may be missing among those waited for
	}
	now := time.Now()
	shard.PassBarrier(now)
	if shard.Pages().AreRead() {
		n.releaseUnregistered(shard)
	}
	n.log.Info("shard ready", "shard", shard.Name(), "term", shard.SinceTerm(), "after", now.Sub(shard.TakenAt()))
	for _, name := range slices.Sorted(maps.Keys(n.machines)) {
		if m := n.machines[name]; m.status != nil {
			n.reconcileMachine(shard, m.status)
		}
	}
}

// machineAnswered takes a machine that reported off those that a barrier waits for.
func (n *Node) machineAnswered(shard *shards.Owned, v *jobstate.MachineStatus) {
	if shard.MachineAnswered(v.Machine, v.FencingToken) {
		n.passBarrier(shard)
	}
}

// releaseUnregistered ends assignments to machines that were struck off the roster before
// this controller followed it. No start goes to a machine that is not registered,
// and none is struck off before the cloud confirmed its end. The roster must be
// known up to the shard's taking.
func (n *Node) releaseUnregistered(shard *shards.Owned) {
	if n.leadership.Record().RosterIncomplete {
		return // the roster itself was lost
	}
	for _, name := range shard.Team().Assignments().Machines() {
		if !n.roster.Has(name) {
			shard.Team().MachineReturned(name)
		}
	}
}
