package agents

import (
	"maps"
	"slices"
)

// Registration decides which machines to register in the roster and when to remove those that are gone. A machine is
// registered in the state service before it may get a start, so that an owner that has lost its state knows which
// machines to wait for.
type Registration struct {
	wanted   map[string]bool // machines to be registered
	removing bool            // machines are being removed from the roster
}

// NewRegistration returns a Registration with nothing to write.
func NewRegistration() *Registration { return &Registration{wanted: map[string]bool{}} }

// Want requests the registration of a machine.
func (r *Registration) Want(machine string) { r.wanted[machine] = true }

// Done drops the request for a machine that has been registered.
func (r *Registration) Done(machine string) { delete(r.wanted, machine) }

// Next returns a write that registers as many of the requested machines as fit, in a key under a prefix to which only
// this controller adds. due is false if no machine is to be registered. Requests for machines that are registered or
// gone are dropped.
func (r *Registration) Next(roster *Roster, prefix string, isGone func(machine string) bool) (w RosterWrite, due bool) {
	maps.DeleteFunc(r.wanted, func(machine string, _ bool) bool { return roster.Has(machine) || isGone(machine) })
	if len(r.wanted) == 0 {
		return RosterWrite{}, false
	}
	return roster.PlanRegistration(prefix, slices.Sorted(maps.Keys(r.wanted))), true
}

// BeginRemoval returns the writes that remove the machines that are gone from the roster. It returns none until
// FinishRemoval has been called for the writes of an earlier call.
func (r *Registration) BeginRemoval(roster *Roster, isGone func(machine string) bool) []RosterWrite {
	if r.removing {
		return nil
	}
	gone := map[string]bool{}
	for _, machine := range roster.All() {
		if isGone(machine) {
			gone[machine] = true
		}
	}
	if len(gone) == 0 {
		return nil
	}
	writes := roster.PlanDeregistration(gone)
	r.removing = len(writes) > 0
	return writes
}

// FinishRemoval records that the writes of BeginRemoval have completed or failed.
func (r *Registration) FinishRemoval() { r.removing = false }
