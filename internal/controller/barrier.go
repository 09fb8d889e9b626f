package controller

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
)

// passBarrier ends the barrier once every machine it waits for was heard under
// the item's term, which rules out that an earlier start still arrives, or is
// gone.
func (n *Node) passBarrier(it *shard) {
	for name := range it.awaitedMachines {
		m := n.machines[name]
		if m != nil && (m.gone || (m.status != nil && m.status.FencingToken >= it.sinceTerm)) {
			delete(it.awaitedMachines, name)
		}
	}
	if len(it.awaitedMachines) > 0 || !n.configReady() || !n.memoriesGathered(time.Now()) || (it.needsBarrier && n.record.RosterIncomplete && n.recovery.census == nil) {
		return
	}
	it.phase, it.graceFrom = shardReady, time.Now()
	if it.pagesRead {
		n.releaseUnregistered(it)
	}
	n.log.Info("item ready", "item", it.name, "term", it.sinceTerm, "after", it.graceFrom.Sub(it.takenAt))
	for _, name := range slices.Sorted(maps.Keys(n.machines)) {
		if m := n.machines[name]; m.status != nil {
			n.reconcileMachine(it, m.status)
		}
	}
}

// machineAnswered takes a machine that was heard off those that a barrier waits for. The others are looked at once a
// step: to walk them for each machine costs the square of their number.
func (n *Node) machineAnswered(it *shard, v *jobstate.MachineStatus) {
	if v.FencingToken < it.sinceTerm {
		return
	}
	delete(it.awaitedMachines, v.Machine)
	if len(it.awaitedMachines) == 0 {
		n.passBarrier(it)
	}
}

// releaseUnregistered ends holds on machines that were struck off the roster before
// this controller followed it. No start goes to a machine that is not registered,
// and none is struck off before the cloud confirmed its end. The roster must be
// known up to the item's taking.
func (n *Node) releaseUnregistered(it *shard) {
	if n.record.RosterIncomplete {
		return // the roster itself was lost
	}
	for _, name := range it.team.Machines() {
		if !n.roster.Has(name) {
			it.team.Gone(name)
		}
	}
}
