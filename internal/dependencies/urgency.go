package dependencies

import (
	"cmp"
	"time"

	"topazhollow/internal/jobstate"
)

// Urgency is how urgent a job is, by its own description or with what it takes over from the jobs that need it: the
// highest priority of any of them, and the earliest deadline, less the time that the jobs in between are expected to
// take.
type Urgency struct {
	Rank     int                // of the priority, see protocol.Rank
	Deadline *jobstate.Deadline // nil if there is none
}

// equal reports whether two urgencies are the same.
func (u Urgency) equal(other Urgency) bool {
	if u.Rank != other.Rank || (u.Deadline == nil) != (other.Deadline == nil) {
		return false
	}
	return u.Deadline == nil || *u.Deadline == *other.Deadline
}

// before returns the urgency that a job takes over from one that needs it and takes the given time.
func (u Urgency) before(duration time.Duration) Urgency {
	if u.Deadline != nil {
		earlier := *u.Deadline
		earlier.Reserve += duration
		u.Deadline = &earlier
	}
	return u
}

// combined returns the higher priority and the earlier deadline of both.
func (u Urgency) combined(other Urgency) Urgency {
	u.Rank = max(u.Rank, other.Rank)
	if u.Deadline == nil || other.Deadline != nil && compareDeadlines(other.Deadline, u.Deadline) < 0 {
		u.Deadline = other.Deadline
	}
	return u
}

// compareDeadlines compares deadlines by their time; of equal ones the one that was set earlier is less.
func compareDeadlines(a, b *jobstate.Deadline) int {
	return cmp.Or(a.At(1).Compare(b.At(1)), a.SubmittedAt.Compare(b.SubmittedAt), cmp.Compare(a.Reserve, b.Reserve))
}

// Urgency returns the urgency of an active job with what it takes over; false if the job is not tracked.
func (g *Graph) Urgency(uid string) (Urgency, bool) {
	n := g.nodes[uid]
	if n == nil || !n.active {
		return Urgency{}, false
	}
	return n.effective, true
}

// inherit makes a job and those that it needs at least as urgent as a new dependent requires.
func (g *Graph) inherit(n, dependent *node) {
	if n.active && !dependent.cancelled {
		g.setUrgency(n, n.effective.combined(dependent.effective.before(dependent.duration)))
	}
}

// recompute derives a job's urgency from all its dependents.
func (g *Graph) recompute(n *node) {
	if n.active {
		g.setUrgency(n, n.derivedUrgency())
	}
}

// derivedUrgency returns a job's urgency according to that of its dependents.
func (n *node) derivedUrgency() Urgency {
	u := n.own
	for d := range n.dependents {
		if !d.cancelled {
			u = u.combined(d.effective.before(d.duration))
		}
	}
	return u
}

// setUrgency changes a job's urgency and that of the jobs that it needs.
func (g *Graph) setUrgency(n *node, u Urgency) {
	if n.effective.equal(u) {
		return
	}
	n.effective = u
	g.changed[n.uid] = true
	for stack := append([]*node{}, n.dependencies...); len(stack) > 0; {
		n, stack = stack[len(stack)-1], stack[:len(stack)-1]
		if !n.active {
			continue
		}
		if u := n.derivedUrgency(); !n.effective.equal(u) {
			n.effective = u
			g.changed[n.uid] = true
			stack = append(stack, n.dependencies...)
		}
	}
}
