package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// claim says whose tasks wait: an own team's, or a peer's, for which room is only kept. Both
// fields are nil for a peer's.
type claim struct {
	shard *shards.Owned
	own   *jobstate.Job
}

// waitingTasks are tasks of one job that wait for room, as all owners order them.
type waitingTasks struct {
	claim
	spec      *protocol.Submission
	count     int
	borrowed  bool      // beyond the team's guarantee
	probe     bool      // of a job that fails everywhere
	spare     bool      // beyond what the team's limit leaves to its demands, of which some find no room
	first     bool      // its class has less than the plan leaves it, whatever is more urgent
	late      bool      // can reach no goal any more
	lost      bool      // nor start when it should
	latest    time.Time // when they must start to reach their goal
	submitted time.Time
}

// allWaiting lists the tasks that wait for room, of own teams and, if there are any, of
// peers' teams.
func (n *Node) allWaiting(now time.Time) []waitingTasks {
	var list []waitingTasks
	for shard := range n.shards.All() {
		if shard.MayPlace() && !shard.IsFleet() {
			list = n.appendOwnWaiting(list, shard, now)
		}
	}
	if len(list) == 0 {
		return nil
	}
	for _, p := range n.peers {
		if !p.isReachable(now) || !p.entitled {
			continue // one that lost its lease tells of work that others have taken over
		}
		for i := range p.demands {
			list = n.appendWaiting(list, claim{}, &p.demands[i], false, now)
		}
	}
	return list
}

// appendOwnWaiting adds an own team's waiting tasks.
func (n *Node) appendOwnWaiting(list []waitingTasks, shard *shards.Owned, now time.Time) []waitingTasks {
	demands := shard.Team().Demands(now)
	first := n.prioritizedTasks(shard, demands, now)
	for i := range demands {
		d := &demands[i]
		own := claim{shard, shard.Team().Job(d.Spec.UID)}
		wanted := demand{Job: d.Spec.UID, Count: d.Count, Prioritized: first[i], Borrowed: d.Borrowed}
		list = n.appendWaiting(list, own, &wanted, d.Probe, now)
	}
	return n.appendSpare(list, shard, now)
}

// appendSpare adds what an own team could place where its demands find no room.
func (n *Node) appendSpare(list []waitingTasks, shard *shards.Owned, now time.Time) []waitingTasks {
	from := len(list)
	for _, d := range shard.Team().SurplusDemands(now) {
		own := claim{shard, shard.Team().Job(d.Spec.UID)}
		list = n.appendWaiting(list, own, &demand{Job: d.Spec.UID, Count: d.Count, Borrowed: true}, false, now)
	}
	for i := range list[from:] {
		list[from+i].spare = true
	}
	return list
}

// appendWaiting adds a demand of an active job: apart from the others, those of its tasks
// that go before what is more urgent.
func (n *Node) appendWaiting(list []waitingTasks, whose claim, d *demand, probe bool, now time.Time) []waitingTasks {
	j := n.jobs[d.Job]
	if j == nil || !j.active {
		return list
	}
	w := waitingTasks{claim: whose, spec: j.spec, borrowed: d.Borrowed, probe: probe, submitted: j.submittedAt}
	n.setUrgency(&w, j, now)
	first := max(0, min(d.Prioritized, d.Count))
	if first > 0 {
		w.first, w.count = true, first
		list = append(list, w)
	}
	if d.Count > first {
		w.first, w.count = false, d.Count-first
		list = append(list, w)
	}
	return list
}

// setUrgency derives from a job's goals when its tasks must start.
func (n *Node) setUrgency(w *waitingTasks, j *job, now time.Time) {
	w.latest, w.late = n.goal(j, now)
	w.latest = w.latest.Add(-j.spec.RunTime())
	startBy, canStart := n.startBy(j, now)
	if w.late && canStart {
		w.latest = startBy
	} else if w.late {
		w.lost = true
	}
	if by, ok := n.promptly(j.submittedAt, now); ok && !w.borrowed && by.Before(w.latest) {
		w.latest, w.late = by, false
	}
	if canStart && j.spec.Kind == protocol.Gang && startBy.Before(w.latest) {
		w.latest = startBy // all of it starts at once, so that it can still be in time as a whole
	}
}

// falseFirst compares two conditions that differ.
func falseFirst(a bool) int {
	if a {
		return 1
	}
	return -1
}

// compareClass compares what must not be mixed: work within its team's guarantee comes
// first, then priority decides. Spare work comes after all that, and tries of faulty jobs last.
func (w *waitingTasks) compareClass(o *waitingTasks) int {
	if w.probe != o.probe {
		return falseFirst(w.probe)
	}
	if w.spare != o.spare {
		return falseFirst(w.spare)
	}
	if w.first != o.first {
		return falseFirst(o.first)
	}
	if w.borrowed != o.borrowed {
		return falseFirst(w.borrowed)
	}
	return protocol.Rank(o.spec.Priority) - protocol.Rank(w.spec.Priority)
}

// compare compares by urgency. Within a class those go first that must start soonest to reach
// their goal; those that can reach none come last.
func (w *waitingTasks) compare(o *waitingTasks) int {
	if order := w.compareClass(o); order != 0 {
		return order
	}
	if w.late != o.late {
		return falseFirst(w.late)
	}
	if w.lost != o.lost {
		return falseFirst(w.lost)
	}
	return cmp.Or(w.latest.Compare(o.latest), w.submitted.Compare(o.submitted), strings.Compare(w.spec.UID, o.spec.UID))
}

// arrange puts waiting work in the order in which it gets room, most urgent first.
func arrange(list []waitingTasks) {
	slices.SortFunc(list, func(a, b waitingTasks) int { return a.compare(&b) })
}
