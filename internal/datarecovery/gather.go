package datarecovery

import (
	"cmp"
	"maps"
	"slices"

	"topazhollow/internal/protocol"
)

// Gather is what a controller still waits for after it entered a generation that follows
// a loss: of every other member, what that one remembers, and its word on what this one
// remembers. Before that no team is ready: a withdrawal may be known to one of them only.
type Exchange struct {
	Epoch   uint64
	members map[string]*memberProgress
}

type memberProgress struct{ memoriesReceived, answered bool }

// NewGather waits for members of a generation.
func NewExchange(generation uint64, members []string) *Exchange {
	g := &Exchange{Epoch: generation, members: map[string]*memberProgress{}}
	for _, m := range members {
		g.members[m] = &memberProgress{}
	}
	return g
}

// Told books that a member told all that it remembers.
func (g *Exchange) MemoriesReceived(member string) {
	if w := g.members[member]; w != nil {
		w.memoriesReceived = true
	}
}

// Answered books that a member gave its word on what was told to it.
func (g *Exchange) Answered(member string) {
	if w := g.members[member]; w != nil {
		w.answered = true
	}
}

// Gone books who is a member no more: what it remembers comes when it is one again.
func (g *Exchange) DropFormerMembers(member func(string) bool) {
	maps.DeleteFunc(g.members, func(m string, _ *memberProgress) bool { return !member(m) })
}

// Left lists the members that are still to tell or to answer. Of these, one that is not
// heard now holds nobody up, but is asked again as long as it is a member: one that only
// stood still comes back with what it knows.
func (g *Exchange) Awaited() []string {
	if g == nil {
		return nil
	}
	var left []string
	for m, w := range g.members {
		if !w.memoriesReceived || !w.answered {
			left = append(left, m)
		}
	}
	slices.Sort(left)
	return left
}

// Unwritten is a job that the store does not have.
type Unwritten struct {
	Spec *protocol.Submission
	At   int64 // of its submission, ms
}

// Order puts jobs in the order in which they are written back: what a user waits for
// longest by priority, then the oldest.
func SortForWriteBack(jobs []Unwritten) {
	slices.SortFunc(jobs, func(a, b Unwritten) int {
		return cmp.Or(protocol.Rank(b.Spec.Priority)-protocol.Rank(a.Spec.Priority), cmp.Compare(a.At, b.At), cmp.Compare(a.Spec.UID, b.Spec.UID))
	})
}
