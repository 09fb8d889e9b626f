// Package dependencies tracks which jobs must be done before others may start. From the active jobs and the recorded ends
// it derives for each active job whether its tasks may start, whether it is cancelled because a job that it needs was,
// and the priority and deadline that it takes over from the jobs that need it (urgency.go).
//
// Recorded ends are final, and so is what follows from them: a job that is ready never waits again, and one that is
// cancelled with another stays cancelled. A job whose end is not recorded yet, although it is no longer active, keeps
// the jobs that need it waiting. Every controller keeps a Graph of its own and comes to the same results.
//
// The package does no I/O and reads no clock. A Graph is not safe for concurrent use; the controller's lock guards it.
package dependencies

import (
	"maps"
	"slices"
	"time"
)

// Outcome is how a job ended.
type Outcome int

// Outcomes of a job.
const (
	Unknown Outcome = iota // the job has not ended, or it is not known here how
	Done
	Cancelled
)

// State is what the dependencies of an active job mean for it.
type State int

// States of an active job.
const (
	Ready         State = iota // every job that it needs is done
	Waiting                    // some job that it needs is not done
	CancelledWith              // a job that it needs, directly or through others, was cancelled
)

// Job describes an active job.
type Job struct {
	UID          string
	Dependencies []string
	Urgency      Urgency // by its own description
	// Duration is the expected time from the end of the last job that it needs to its own end, at most MaxDuration.
	Duration time.Duration
}

// Jobs looks up jobs by their ID.
type Jobs interface {
	// ActiveJob returns an active job, and false if the job is not known as active.
	ActiveJob(uid string) (Job, bool)
	// Outcome returns how a job ended, as far as that is known.
	Outcome(uid string) Outcome
}

// Graph holds the active jobs with dependencies, and the jobs that they need.
type Graph struct {
	jobs      Jobs
	nodes     map[string]*node
	unsettled map[string]*node // needed by active jobs, not active, and without a known outcome
	changed   map[string]bool  // jobs whose state or urgency changed since the last TakeChanged
}

// node is a job that has dependencies or is one.
type node struct {
	uid          string
	active       bool
	outcome      Outcome // of a job that is not active
	started      bool    // some of its tasks were started, so that everything that it needs is done
	cancelled    bool    // by its own outcome or with a job that it needs
	dependencies []*node
	open         int            // dependencies that are not done
	dependents   map[*node]bool // active jobs that need it

	duration  time.Duration
	own       Urgency // by the job's description
	effective Urgency // including what it takes over from its dependents
	required  Urgency // of the jobs that it needs, unless it is cancelled
}

// New returns an empty graph.
func New(jobs Jobs) *Graph {
	return &Graph{
		jobs:      jobs,
		nodes:     map[string]*node{},
		unsettled: map[string]*node{},
		changed:   map[string]bool{},
	}
}

// Track adds an active job. It has no effect on a job that is tracked as active already, and none on one that neither
// has dependencies nor is needed by an active job.
func (g *Graph) Track(job Job) {
	n := g.nodes[job.UID]
	if n == nil && len(job.Dependencies) == 0 || n != nil && (n.active || n.outcome != Unknown) {
		return
	}
	if n == nil {
		n = g.add(job.UID)
	}
	g.activate(n, job)
	for _, uid := range job.Dependencies {
		g.connect(n, g.dependency(uid))
	}
}

// connect records that an active job needs another one.
func (g *Graph) connect(n, dependency *node) {
	if dependency.dependents[n] {
		return
	}
	n.dependencies = append(n.dependencies, dependency)
	dependency.dependents[n] = true
	if dependency.outcome != Done {
		n.open++
	}
	if dependency.cancelled {
		g.cancel(n)
	}
	g.inherit(dependency, n)
}

// add adds a node for a job that is not active as far as known.
func (g *Graph) add(uid string) *node {
	n := &node{uid: uid, dependents: map[*node]bool{}}
	g.nodes[uid] = n
	return n
}

// activate makes a node that of an active job without dependencies.
func (g *Graph) activate(n *node, job Job) {
	delete(g.unsettled, n.uid)
	n.active, n.duration, n.own = true, min(max(job.Duration, 0), MaxDuration), job.Urgency
	n.effective = n.derivedUrgency()
	n.required = n.effective.before(n.duration)
	g.changed[n.uid] = true
}

// dependency returns the node of a job that another one needs, and adds it if there is none.
func (g *Graph) dependency(uid string) *node {
	if n := g.nodes[uid]; n != nil {
		return n
	}
	n := g.add(uid)
	if job, active := g.jobs.ActiveJob(uid); active {
		job.Dependencies = nil // a job with dependencies has a node since it became active
		g.activate(n, job)
	} else {
		g.settle(n)
	}
	return n
}

// settle records the outcome of a job that is not active, if it is known by now.
func (g *Graph) settle(n *node) {
	n.outcome = g.jobs.Outcome(n.uid)
	switch n.outcome {
	case Unknown:
		g.unsettled[n.uid] = n
		return
	case Done:
		n.cancelled = false // it takes precedence over what was derived
		for d := range n.dependents {
			if d.open--; d.open == 0 {
				g.changed[d.uid] = true
			}
		}
	case Cancelled:
		g.cancel(n)
	}
	delete(g.unsettled, n.uid)
}

// cancel records that a job is cancelled, and with it those that need it.
func (g *Graph) cancel(n *node) {
	var needed []*node
	for stack := []*node{n}; len(stack) > 0; {
		n, stack = stack[len(stack)-1], stack[:len(stack)-1]
		if n.cancelled || n.active && n.started {
			continue
		}
		n.cancelled = true
		g.changed[n.uid] = true
		stack = slices.AppendSeq(stack, maps.Keys(n.dependents))
		needed = append(needed, n.dependencies...)
	}
	g.recompute(needed...) // what is cancelled makes nothing else urgent
}

// Ended records that a job is no longer active. Its outcome may become known later.
func (g *Graph) Ended(uid string) {
	n := g.nodes[uid]
	if n == nil || !n.active {
		return
	}
	n.active = false
	dependencies := n.dependencies
	n.dependencies, n.open = nil, 0
	for _, d := range dependencies {
		delete(d.dependents, n)
	}
	if !n.cancelled {
		g.recompute(dependencies...)
	}
	for _, d := range dependencies {
		g.removeIfUnused(d)
	}
	if !g.removeIfUnused(n) {
		g.settle(n)
	}
}

// removeIfUnused removes the node of a job that neither has dependencies nor is needed by an active job.
func (g *Graph) removeIfUnused(n *node) bool {
	if len(n.dependents) > 0 || n.active && len(n.dependencies) > 0 {
		return false
	}
	delete(g.nodes, n.uid)
	delete(g.unsettled, n.uid)
	return true
}

// Started records that tasks of a job were started, which proves that everything that it needs is done, whatever is
// known here.
func (g *Graph) Started(uid string) {
	if n := g.nodes[uid]; n != nil && n.active && !n.started && !n.cancelled {
		n.started = true
		g.changed[uid] = true
	}
}

// Settle looks up the outcomes of the jobs that are no longer active.
func (g *Graph) Settle() {
	for _, n := range g.unsettled {
		g.settle(n)
	}
}

// Unsettled lists the jobs that active jobs need and whose outcome is not known although they are not active.
func (g *Graph) Unsettled() []string { return slices.Sorted(maps.Keys(g.unsettled)) }

// UnsettledBefore lists those of these jobs that a job needs, directly or through others.
func (g *Graph) UnsettledBefore(uid string) (unsettled []string) {
	n := g.nodes[uid]
	if n == nil {
		return nil
	}
	seen := map[*node]bool{n: true}
	for stack := []*node{n}; len(stack) > 0; {
		n, stack = stack[len(stack)-1], stack[:len(stack)-1]
		for _, d := range n.dependencies {
			if seen[d] {
				continue
			}
			seen[d] = true
			stack = append(stack, d)
			if g.unsettled[d.uid] == d {
				unsettled = append(unsettled, d.uid)
			}
		}
	}
	return unsettled
}

// State returns the state of an active job. A job that is not tracked is ready.
func (g *Graph) State(uid string) State {
	n := g.nodes[uid]
	switch {
	case n == nil || n.started:
		return Ready
	case n.cancelled:
		return CancelledWith
	case n.open > 0:
		return Waiting
	}
	return Ready
}

// Empty reports whether no active job has dependencies.
func (g *Graph) Empty() bool { return len(g.nodes) == 0 }

// Tracks reports whether a job has dependencies or is needed by an active job.
func (g *Graph) Tracks(uid string) bool { return g.nodes[uid] != nil }

// Dependency is a job that another one needs.
type Dependency struct {
	UID     string
	Active  bool
	Outcome Outcome // of a job that is not active
}

// Dependencies lists the jobs that an active job needs.
func (g *Graph) Dependencies(uid string) (list []Dependency) {
	n := g.nodes[uid]
	if n == nil {
		return nil
	}
	for _, d := range n.dependencies {
		list = append(list, Dependency{UID: d.uid, Active: d.active, Outcome: d.outcome})
	}
	return list
}

// Dependents lists the active jobs that need a job.
func (g *Graph) Dependents(uid string) (uids []string) {
	n := g.nodes[uid]
	if n == nil {
		return nil
	}
	for d := range n.dependents {
		uids = append(uids, d.uid)
	}
	slices.Sort(uids)
	return uids
}

// TakeChanged lists the jobs whose state or urgency changed since the last call. Some may no longer be active.
func (g *Graph) TakeChanged() []string {
	if len(g.changed) == 0 {
		return nil
	}
	changed := slices.Sorted(maps.Keys(g.changed))
	clear(g.changed)
	return changed
}
