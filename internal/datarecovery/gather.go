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
type Gather struct {
	Generation uint64
	want       map[string]*gathered
}

type gathered struct{ told, answered bool }

// NewGather waits for members of a generation.
func NewGather(generation uint64, members []string) *Gather {
	g := &Gather{Generation: generation, want: map[string]*gathered{}}
	for _, m := range members {
		g.want[m] = &gathered{}
	}
	return g
}

// Told books that a member told all that it remembers.
func (g *Gather) Told(member string) {
	if w := g.want[member]; w != nil {
		w.told = true
	}
}

// Answered books that a member gave its word on what was told to it.
func (g *Gather) Answered(member string) {
	if w := g.want[member]; w != nil {
		w.answered = true
	}
}

// Gone books who is a member no more: what it remembers comes when it is one again.
func (g *Gather) Gone(member func(string) bool) {
	maps.DeleteFunc(g.want, func(m string, _ *gathered) bool { return !member(m) })
}

// Left lists the members that are still to tell or to answer. Of these, one that is not
// heard now holds nobody up, but is asked again as long as it is a member: one that only
// stood still comes back with what it knows.
func (g *Gather) Left() []string {
	if g == nil {
		return nil
	}
	var left []string
	for m, w := range g.want {
		if !w.told || !w.answered {
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
func Order(jobs []Unwritten) {
	slices.SortFunc(jobs, func(a, b Unwritten) int {
		return cmp.Or(protocol.Rank(b.Spec.Priority)-protocol.Rank(a.Spec.Priority), cmp.Compare(a.At, b.At), cmp.Compare(a.Spec.UID, b.Spec.UID))
	})
}
