package shards

import (
	"iter"
	"maps"
	"time"
)

// BeginLoad begins to load the shard, in place of a load that is under way, and numbers the load.
func (o *Owned) BeginLoad() int {
	o.loadNumber++
	return o.loadNumber
}

// LoadIsCurrent says whether the outcome of a load counts: no later one was begun.
func (o *Owned) LoadIsCurrent(load int) bool { return o.loadNumber == load }

// Reload has a shard that is not ready yet be loaded anew; false if it is ready. The pages count as read only after
// the next load, so that no assignment ends by a roster that may be old.
func (o *Owned) Reload() bool {
	if o.phase == Ready {
		return false
	}
	o.pages.read = false
	if o.needsBarrier {
		o.phase = Loading
	}
	return true
}

// CanStartBeforeRead says whether the owner begins before the state service has answered: one in sync followed the jobs
// and the team's progress already, and the fleet has none.
func (o *Owned) CanStartBeforeRead() bool {
	return o.phase == Loading && (!o.needsBarrier || o.IsFleet())
}

// StartFleet ends the loading of the fleet, which has no barrier.
func (o *Owned) StartFleet() { o.phase = Ready }

// EnterBarrier ends the loading. An owner that was not in sync waits for all the given machines, any other for none.
func (o *Owned) EnterBarrier(machines iter.Seq[string]) {
	o.phase = Barrier
	o.awaitedMachines = map[string]bool{}
	if o.needsBarrier {
		o.AwaitMachines(machines)
	}
}

// AwaitMachines has the barrier wait for further machines.
func (o *Owned) AwaitMachines(machines iter.Seq[string]) {
	for name := range machines {
		o.awaitedMachines[name] = true
	}
}

// Awaits says whether the barrier waits for a machine.
func (o *Owned) Awaits(machine string) bool { return o.awaitedMachines[machine] }

// AwaitedCount is for how many machines the barrier waits.
func (o *Owned) AwaitedCount() int { return len(o.awaitedMachines) }

// AwaitedMachines lists the machines that the barrier waits for, in no order.
func (o *Owned) AwaitedMachines() iter.Seq[string] { return maps.Keys(o.awaitedMachines) }

// RemoveSettledMachines no longer waits for the machines that are settled for the shard's term: they reported under it, which
// rules out that an earlier start still arrives, or are gone.
func (o *Owned) RemoveSettledMachines(settled func(machine string, term uint64) bool) {
	for name := range o.awaitedMachines {
		if settled(name, o.sinceTerm) {
			delete(o.awaitedMachines, name)
		}
	}
}

// MachineAnswered takes in a machine's report under a fencing token, and says whether the barrier waits for no
// machine any more. The other machines are looked at by SettleAwaited once a step: to walk them for each report
// costs the square of their number.
func (o *Owned) MachineAnswered(machine string, fencingToken uint64) bool {
	if fencingToken < o.sinceTerm {
		return false
	}
	delete(o.awaitedMachines, machine)
	return len(o.awaitedMachines) == 0
}

// PassBarrier makes the shard ready; nothing is awaited any more.
func (o *Owned) PassBarrier(now time.Time) { o.phase, o.replicas.graceFrom = Ready, now }
