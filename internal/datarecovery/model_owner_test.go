package datarecovery

import (
	"fmt"
	"slices"

	"topazhollow/internal/leadership"
)

// reconcileMembers changes the record when members joined or left.
func (w *world) reconcileMembers(n *controllerModel) {
	if w.rng.IntN(4) > 0 || n.presences[n.name].Incarnation != n.incarnation {
		return
	}
	base, version := n.record, n.recordVersion
	first := base == nil
	if first {
		base = (&leadership.Record{Term: 1000 + w.rng.Uint64N(1000)}).Clone()
	}
	next, conds := leadership.ReconcileMembers(base, []string{modelShard}, n.presences)
	if next == nil {
		return
	}
	shard := next.Shards[modelShard]
	if shard.SinceTerm == next.Term && !first {
		shard.NeedsBarrier = true // the model has no replicas in sync
		next.Shards[modelShard] = shard
	}
	conditions, sets := map[string]uint64{"w/c": version}, map[string]string{}
	for _, c := range conds {
		conditions["w/n/"+c.Node] = c.Version
	}
	if first {
		next.Epoch, next.FirstTerm, next.StoreID = 1, next.Term, fmt.Sprint("s", w.rng.Uint64())
		sets[EpochKey+next.StoreID] = "{}"
	}
	sets["w/c"] = encode(next)
	if w.commit(n, conditions, sets) {
		w.adopt(n, next, w.store.revision)
	}
}

// actAsOwner performs the work of a shard's owner: the barrier, starts, ends and write-back.
func (w *world) actAsOwner(n *controllerModel) {
	if n.record == nil || n.record.Shards[modelShard].Owner != n.name || n.record.Nodes[n.name] != n.incarnation || n.assignments == nil {
		return
	}
	w.receiveReport(n)
	for m := range w.machines { // running tasks are adopted as soon as their job is known
		for _, uid := range n.reported[m] {
			if _, active := n.jobs[uid]; active && !n.assigned(uid) {
				n.assignments[uid] = m
			}
		}
	}
	if !n.ready {
		n.ready = w.stateGathered(n) && (n.reportedMachines == nil || len(n.reportedMachines) == len(w.machines))
		return
	}
	w.placeJobs(n)
}

// receiveReport receives the report of a random machine, which learns the current term by that.
func (w *world) receiveReport(n *controllerModel) {
	m := w.rng.IntN(len(w.machines))
	x := w.machines[m]
	if x.fencingToken > n.record.Term {
		return
	}
	x.fencingToken = n.record.Term
	if n.reportedMachines != nil {
		n.reportedMachines[m] = true
	}
	n.reported[m] = sorted(x.running)
	for _, uid := range sorted(n.assignments) {
		at := n.assignments[uid]
		_, runs := x.running[uid]
		if at == m && !runs { // reported under a later term than the start's, or exited
			if x.finished[uid] {
				if v, active := n.jobs[uid]; active && v > 0 && n.ready {
					w.finish(n, uid, v)
				}
			} else if !w.inFlight(uid) {
				delete(n.assignments, uid)
			}
		}
	}
}

// placeJobs writes active jobs back and starts them.
func (w *world) placeJobs(n *controllerModel) {
	for _, uid := range sorted(n.jobs) {
		v := n.jobs[uid]
		if v == 0 && w.commit(n, map[string]uint64{"w/a/" + uid: 0, "f/" + uid: 0}, map[string]string{"w/a/" + uid: "job"}) {
			n.jobs[uid] = w.store.revision
		}
		if !n.trusts() {
			return
		}
		if !n.assigned(uid) && w.rng.IntN(3) == 0 {
			at := w.rng.IntN(len(w.machines))
			n.assignments[uid] = at
			w.inFlightStarts = append(w.inFlightStarts, startInFlight{at, uid, n.record.Term})
		}
	}
}

func (n *controllerModel) assigned(uid string) bool { _, ok := n.assignments[uid]; return ok }

func (w *world) inFlight(uid string) bool {
	return slices.ContainsFunc(w.inFlightStarts, func(f startInFlight) bool { return f.job == uid })
}
