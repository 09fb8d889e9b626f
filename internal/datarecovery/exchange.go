package datarecovery

import (
	"maps"
	"slices"
)

// Exchange tracks what a controller still awaits after it entered an epoch that follows a loss: the retained state of
// every other member, and that member's answer to the state sent to it. No team starts tasks before, since a
// cancellation may be known to a single controller.
type Exchange struct {
	Epoch   uint64
	members map[string]*memberProgress
}

type memberProgress struct{ stateReceived, answered bool }

// NewExchange returns an exchange that awaits the given members of an epoch.
func NewExchange(epoch uint64, members []string) *Exchange {
	x := &Exchange{Epoch: epoch, members: map[string]*memberProgress{}}
	for _, name := range members {
		x.members[name] = &memberProgress{}
	}
	return x
}

// StateReceived records that a member sent all of its retained state.
func (x *Exchange) StateReceived(member string) {
	if progress := x.members[member]; progress != nil {
		progress.stateReceived = true
	}
}

// Answered records that a member answered the retained state sent to it.
func (x *Exchange) Answered(member string) {
	if progress := x.members[member]; progress != nil {
		progress.answered = true
	}
}

// DropFormerMembers stops awaiting controllers that are no longer members. A controller sends its retained state when
// it becomes a member again.
func (x *Exchange) DropFormerMembers(member func(string) bool) {
	maps.DeleteFunc(x.members, func(name string, _ *memberProgress) bool { return !member(name) })
}

// Awaited returns the members whose retained state or answer is awaited; a nil exchange awaits nobody. An unreachable
// member does not delay the start of teams, but is asked again as long as it is a member: if its process was only
// suspended, it still has its state.
func (x *Exchange) Awaited() []string {
	if x == nil {
		return nil
	}
	var awaited []string
	for name, progress := range x.members {
		if !progress.stateReceived || !progress.answered {
			awaited = append(awaited, name)
		}
	}
	slices.Sort(awaited)
	return awaited
}
