package agents

import (
	"maps"
	"slices"
)

// Registration decides what is to be written to the roster: which machines are to be registered, and when those that
// are gone are taken off. Every machine that may get a start is in the key-value store first, so that an owner without
// memory knows whom to wait for.
type Registration struct {
	wanted   map[string]bool // machines to be registered
	removing bool            // machines are being taken off the roster
}

// NewRegistration returns one that has nothing to write.
func NewRegistration() *Registration { return &Registration{wanted: map[string]bool{}} }

// Want has a machine registered.
func (g *Registration) Want(machine string) { g.wanted[machine] = true }

// Done drops a machine that is registered by now.
func (g *Registration) Done(machine string) { delete(g.wanted, machine) }

// Next returns the write that registers the wanted machines, as many as fit, in a key under a prefix that only this
// controller adds to. There is none if nothing is wanted; machines that are registered or gone are wanted no more.
func (g *Registration) Next(roster *Roster, prefix string, isGone func(machine string) bool) (w RosterWrite, due bool) {
	maps.DeleteFunc(g.wanted, func(machine string, _ bool) bool { return roster.Has(machine) || isGone(machine) })
	if len(g.wanted) == 0 {
		return RosterWrite{}, false
	}
	return roster.PlanRegistration(prefix, slices.Sorted(maps.Keys(g.wanted))), true
}

// BeginRemoval returns the writes that take the machines that are gone off the roster. There are none while the writes
// of an earlier call are under way; FinishRemoval ends those.
func (g *Registration) BeginRemoval(roster *Roster, isGone func(machine string) bool) []RosterWrite {
	if g.removing {
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
	g.removing = len(writes) > 0
	return writes
}

// FinishRemoval notes that the writes of BeginRemoval were made, or failed.
func (g *Registration) FinishRemoval() { g.removing = false }
