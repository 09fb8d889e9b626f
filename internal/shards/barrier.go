package shards

import (
	"iter"
	"maps"
	"time"
)

// BeginLoad starts a load of the shard, which reads its jobs and its pages of finished tasks, and returns the number of
// the load. It replaces any load in progress.
func (o *Owned) BeginLoad() int {
	o.loadNumber++
	return o.loadNumber
}

// LoadIsCurrent reports whether the result of a load is still valid: no later load was started.
func (o *Owned) LoadIsCurrent(load int) bool { return o.loadNumber == load }

// Reload requests a new load of a shard that is not ready yet, and returns false if the shard is ready. The pages count
// as read only after the new load, so that no assignment is ended on the basis of an outdated roster.
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

// CanStartBeforeRead reports whether the owner can start before the state service has answered. An owner that was in
// sync already knows the jobs and the team's progress, and the fleet has none.
func (o *Owned) CanStartBeforeRead() bool {
	return o.phase == Loading && (!o.needsBarrier || o.IsFleet())
}

// StartFleet makes the fleet ready after loading: it has no barrier.
func (o *Owned) StartFleet() { o.phase = Ready }

// EnterBarrier ends the loading. An owner that was not in sync waits for all the given machines, any other owner for
// none.
func (o *Owned) EnterBarrier(machines iter.Seq[string]) {
	o.phase = Barrier
	o.awaitedMachines = map[string]bool{}
	if o.needsBarrier {
		o.AwaitMachines(machines)
	}
}

// AwaitMachines adds machines for the barrier to wait for.
func (o *Owned) AwaitMachines(machines iter.Seq[string]) {
	for name := range machines {
		o.awaitedMachines[name] = true
	}
}

// Awaits reports whether the barrier waits for a machine.
func (o *Owned) Awaits(machine string) bool { return o.awaitedMachines[machine] }

// AwaitedCount returns the number of machines that the barrier waits for.
func (o *Owned) AwaitedCount() int { return len(o.awaitedMachines) }

// AwaitedMachines iterates over the machines that the barrier waits for, in no particular order.
func (o *Owned) AwaitedMachines() iter.Seq[string] { return maps.Keys(o.awaitedMachines) }

// RemoveSettledMachines stops waiting for the machines that are settled in the shard's term: either they reported under
// it, so that they reject any start of an earlier term, or they are gone.
func (o *Owned) RemoveSettledMachines(settled func(machine string, term uint64) bool) {
	for name := range o.awaitedMachines {
		if settled(name, o.sinceTerm) {
			delete(o.awaitedMachines, name)
		}
	}
}

// MachineAnswered handles a machine's report under a fencing token, and reports whether this completes the barrier: it
// waits for no further machine. The other machines are checked by RemoveSettledMachines once per step, because checking
// them on each report would cost the square of their number.
func (o *Owned) MachineAnswered(machine string, fencingToken uint64) bool {
	if fencingToken < o.sinceTerm {
		return false
	}
	delete(o.awaitedMachines, machine)
	return len(o.awaitedMachines) == 0
}

// PassBarrier makes the shard ready and restarts the replicas' acknowledgement timeout.
func (o *Owned) PassBarrier(now time.Time) { o.phase, o.replicas.timeoutsStart = Ready, now }
