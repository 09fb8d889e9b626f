package dependencies

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
)

// MaxDuration bounds the expected time of a job, and the time reserved for those that need a job. Sums of two fit a
// time.Duration.
const MaxDuration = 100 * 365 * 24 * time.Hour

// Urgency is how urgent a job is, by its own description or with what it takes over from the jobs that need it: the
// highest priority of any of them, and the earliest deadline, less the time that the jobs in between are expected to
// take.
type Urgency struct {
	Rank     int                // of the priority, see protocol.Rank
	Deadline *jobstate.Deadline // nil if there is none
}

// equal reports whether two urgencies are the same.
func (u Urgency) equal(other Urgency) bool {
	return u.Rank == other.Rank && compareDeadlines(u.Deadline, other.Deadline) == 0
}

// before returns the urgency that a job takes over from one that needs it and takes the given time.
func (u Urgency) before(duration time.Duration) Urgency {
	if u.Deadline != nil {
		earlier := *u.Deadline
		earlier.Reserve = min(earlier.Reserve+duration, MaxDuration)
		u.Deadline = &earlier
	}
	return u
}

// combined returns the higher priority and the earlier deadline of both.
func (u Urgency) combined(other Urgency) Urgency {
	u.Rank = max(u.Rank, other.Rank)
	if compareDeadlines(other.Deadline, u.Deadline) < 0 {
		u.Deadline = other.Deadline
	}
	return u
}

// compareDeadlines compares deadlines by their time, and no deadline as later than any. The other fields make the order
// total: of several deadlines at the same time every controller chooses the same one.
func compareDeadlines(a, b *jobstate.Deadline) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return 1
	case b == nil:
		return -1
	}
	return cmp.Or(a.At(1).Compare(b.At(1)), a.SubmittedAt.Compare(b.SubmittedAt), cmp.Compare(a.Reserve, b.Reserve),
		cmp.Compare(a.Allowed, b.Allowed), cmp.Compare(a.Class, b.Class))
}

// Urgency returns the urgency of an active job with what it takes over; false if the job is not tracked.
func (g *Graph) Urgency(uid string) (Urgency, bool) {
	n := g.nodes[uid]
	if n == nil || !n.active {
		return Urgency{}, false
	}
	return n.effective, true
}

// withDependent returns the urgency of a job that another one needs as well. A cancelled one makes nothing urgent.
func (u Urgency) withDependent(d *node) Urgency {
	if d.cancelled {
		return u
	}
	return u.combined(d.required)
}

// derivedUrgency returns a job's urgency according to that of its dependents.
func (n *node) derivedUrgency() Urgency {
	u := n.own
	for d := range n.dependents {
		u = u.withDependent(d)
	}
	return u
}

// isOutdated reports whether an active job's urgency, which was right before, has become less because of a dependent. It
// stops at the dependents that still require the recorded urgency: often the first of many.
func (n *node) isOutdated() bool {
	if !n.active {
		return false
	}
	u := n.own
	for d := range n.dependents {
		if u.equal(n.effective) {
			return false
		}
		u = u.withDependent(d)
	}
	return !u.equal(n.effective)
}

// setUrgency records a job's urgency, and reports whether it differs from that before.
func (g *Graph) setUrgency(n *node, u Urgency) bool {
	if n.effective.equal(u) {
		return false
	}
	n.effective, n.required = u, u.before(n.duration)
	g.changed[n.uid] = true
	return true
}

// inherit makes an active job at least as urgent as a new dependent requires, and so those that it needs. It looks at
// the dependents that have changed only, however many others a job has.
func (g *Graph) inherit(n, dependent *node) {
	if !g.raise(n, dependent) {
		return
	}
	raised := map[*node]bool{n: true}
	for _, n := range neededBy(n) {
		if !raised[n] {
			continue
		}
		for _, d := range n.dependencies {
			if g.raise(d, n) {
				raised[d] = true
			}
		}
	}
}

// raise makes an active job at least as urgent as one dependent requires, and reports whether it was less urgent.
func (g *Graph) raise(n, dependent *node) bool {
	return n.active && !dependent.cancelled && g.setUrgency(n, n.effective.combined(dependent.required))
}

// recompute derives the urgency of some jobs anew after dependents of theirs require less, and that of the jobs that they
// need if it changes.
func (g *Graph) recompute(nodes ...*node) {
	var first []*node
	outdated := make(map[*node]bool, len(nodes))
	for _, n := range nodes {
		if _, checked := outdated[n]; checked {
			continue
		}
		outdated[n] = n.isOutdated()
		if outdated[n] {
			first = append(first, n)
		}
	}
	for _, n := range neededBy(first...) {
		if !outdated[n] || !n.active || !g.setUrgency(n, n.derivedUrgency()) {
			continue
		}
		for _, d := range n.dependencies {
			outdated[d] = true
		}
	}
}

// neededBy lists jobs and all that they need, each before those that it needs itself. With this order the urgency of
// each job is derived once, where following the changes could take exponentially many steps. It ends also if there is a
// cycle, which only corrupt data can contain.
func neededBy(nodes ...*node) []*node {
	var list []*node
	seen := map[*node]bool{}
	var visit func(n *node)
	visit = func(n *node) {
		if seen[n] {
			return
		}
		seen[n] = true
		for _, d := range n.dependencies {
			visit(d)
		}
		list = append(list, n)
	}
	for _, n := range nodes {
		visit(n)
	}
	slices.Reverse(list)
	return list
}
