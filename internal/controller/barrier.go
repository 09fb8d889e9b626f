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
func (n *Node) passBarrier(it *shards.Owned) {
	it.SettleAwaited(n.machineSettled)
	if it.AwaitedCount() > 0 || !n.configReady() || !n.memoriesGathered(time.Now()) {
		return
	}
	if it.NeedsBarrier() && n.record.RosterIncomplete && n.recovery.census == nil {
		return // machines may be missing among those waited for
	}
	now := time.Now()
	it.PassBarrier(now)
	if it.PagesRead() {
		n.releaseUnregistered(it)
	}
	n.log.Info("item ready", "item", it.Name(), "term", it.SinceTerm(), "after", now.Sub(it.TakenAt()))
	for _, name := range slices.Sorted(maps.Keys(n.machines)) {
		if m := n.machines[name]; m.status != nil {
			n.reconcileMachine(it, m.status)
		}
	}
}

// machineAnswered takes a machine that reported off those that a barrier waits for.
func (n *Node) machineAnswered(it *shards.Owned, v *jobstate.MachineStatus) {
	if it.MachineAnswered(v.Machine, v.FencingToken) {
		n.passBarrier(it)
	}
}

// releaseUnregistered ends assignments to machines that were struck off the roster before
// this controller followed it. No start goes to a machine that is not registered,
// and none is struck off before the cloud confirmed its end. The roster must be
// known up to the shard's taking.
func (n *Node) releaseUnregistered(it *shards.Owned) {
	if n.record.RosterIncomplete {
		return // the roster itself was lost
	}
	for _, name := range it.Team().Machines() {
		if !n.roster.Has(name) {
			it.Team().Gone(name)
		}
	}
}
