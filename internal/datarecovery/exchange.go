package datarecovery

import (
	"maps"
	"slices"
)

// Exchange is what a controller still awaits after it entered an epoch that follows a loss: the memories of every
// other member, and that member's answer to its own. Before that no team is ready: a cancellation may be known to one
// of them only.
type Exchange struct {
	Epoch   uint64
	members map[string]*memberProgress
}

type memberProgress struct{ memoriesReceived, answered bool }

// NewExchange awaits the members of an epoch.
func NewExchange(epoch uint64, members []string) *Exchange {
	x := &Exchange{Epoch: epoch, members: map[string]*memberProgress{}}
	for _, name := range members {
		x.members[name] = &memberProgress{}
	}
	return x
}

// MemoriesReceived books that a member sent all that it remembers.
func (x *Exchange) MemoriesReceived(member string) {
	if progress := x.members[member]; progress != nil {
		progress.memoriesReceived = true
	}
}

// Answered books that a member answered the memories sent to it.
func (x *Exchange) Answered(member string) {
	if progress := x.members[member]; progress != nil {
		progress.answered = true
	}
}

// DropFormerMembers awaits nobody who is a member no more: what such a one remembers comes when it is one again.
func (x *Exchange) DropFormerMembers(member func(string) bool) {
	maps.DeleteFunc(x.members, func(name string, _ *memberProgress) bool { return !member(name) })
}

// Awaited lists the members whose memories or answer are awaited; a nil exchange awaits nobody. Of these, one that
// is not heard now holds nobody up, but is asked again as long as it is a member: one that only stood still comes
// back with what it knows.
func (x *Exchange) Awaited() []string {
	if x == nil {
		return nil
	}
	var awaited []string
	for name, progress := range x.members {
		if !progress.memoriesReceived || !progress.answered {
			awaited = append(awaited, name)
		}
	}
	slices.Sort(awaited)
	return awaited
}
