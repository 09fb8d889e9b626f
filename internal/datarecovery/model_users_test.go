package datarecovery

import (
	"fmt"
	"slices"
	"time"
)

// finish writes the end of a done job with the given version of its active key.
func (w *world) finish(n *controllerModel, uid string, v uint64) {
	if w.commit(n, map[string]uint64{"w/a/" + uid: v, "w/c": n.recordVersion}, map[string]string{"w/a/" + uid: "", "f/" + uid: "done"}) {
		w.learnEnd(n, uid, false)
		w.replicateEnd(n, uid, false)
		delete(n.assignments, uid)
		w.recordAnswer(uid, "done")
	}
}

// replicateEnd makes the peer record an end before the user gets the answer.
func (w *world) replicateEnd(n *controllerModel, uid string, withdrawn bool) {
	if w.guards.replicate && w.connected(n) && w.other(n).listed {
		w.learnEnd(w.other(n), uid, withdrawn)
	}
}

// recordAnswer records an answer to a user, which must not contradict an earlier one.
func (w *world) recordAnswer(uid, state string) {
	earlier := w.answers[uid]
	if (earlier == "done" || earlier == "withdrawn") && earlier != state {
		w.fail("%s was answered as %s before and as %s now", uid, earlier, state)
	}
	w.answers[uid] = state
}

// actAsUser submits, polls or cancels a job.
func (w *world) actAsUser() {
	n := w.nodes[w.rng.IntN(2)]
	if !n.trusts() || !w.stateGathered(n) {
		return
	}
	switch w.rng.IntN(20) {
	case 0:
		w.submit(n)
	case 1, 2:
		w.cancel(n)
	default:
		w.poll(n)
	}
}

// submit submits a job, which the peer records before the user gets the answer.
func (w *world) submit(n *controllerModel) {
	w.jobs++
	uid := fmt.Sprintf("job-%06d", w.jobs)
	if w.commit(n, map[string]uint64{"w/a/" + uid: 0, "f/" + uid: 0}, map[string]string{"w/a/" + uid: "job"}) {
		if w.connected(n) && w.other(n).listed {
			w.learn(w.other(n), uid, 0)
		}
		w.learn(n, uid, w.store.revision)
		w.answers[uid] = "active"
	}
}

// cancel cancels a job whose active key the controller knows.
func (w *world) cancel(n *controllerModel) {
	uid := w.anyJob()
	if uid == "" || n.jobs[uid] == 0 {
		return
	}
	if w.commit(n, map[string]uint64{"w/a/" + uid: n.jobs[uid]}, map[string]string{"w/a/" + uid: "", "f/" + uid: "withdrawn"}) {
		w.learnEnd(n, uid, true)
		w.replicateEnd(n, uid, true)
		w.recordAnswer(uid, "withdrawn")
	}
}

// poll requests the state of a job that a user has an answer about.
func (w *world) poll(n *controllerModel) {
	uid := w.anyJob()
	if uid == "" {
		return
	}
	if x, ended := n.ends.Get(uid); ended {
		w.recordAnswer(uid, map[bool]string{true: "withdrawn", false: "done"}[x.Cancelled])
		return
	}
	if n.jobs[uid] > 0 { // answered from the watched keys, after reading the changes
		if w.follow(n); n.trusts() && w.stateGathered(n) && n.jobs[uid] > 0 {
			w.recordAnswer(uid, "active")
		}
		return
	}
	if _, active := n.jobs[uid]; active && !w.guards.askStore {
		w.recordAnswer(uid, "active")
		return
	}
	if w.wentBack(n) {
		return
	}
	c, ended := w.store.keys["f/"+uid]
	_, active := w.store.keys["w/a/"+uid]
	switch {
	case ended:
		w.learnEnd(n, uid, c.value == "withdrawn")
		w.recordAnswer(uid, c.value)
	case active || slices.Contains(sorted(n.jobs), uid):
		w.recordAnswer(uid, "active")
	case !active && n.exchange == nil && n.record != nil && !n.record.DataLost && w.now.Sub(n.startedAt) > 10*time.Second:
		w.fail("%s, which was answered as %s, is unknown to %s", uid, w.answers[uid], n.name)
	}
}

// anyJob returns a random job that a user has an answer about, or "".
func (w *world) anyJob() string {
	if w.jobs == 0 {
		return ""
	}
	uid := fmt.Sprintf("job-%06d", 1+w.rng.IntN(w.jobs))
	if w.answers[uid] == "" {
		return ""
	}
	return uid
}

// runMachines delivers starts, possibly late, and lets tasks exit.
func (w *world) runMachines() {
	if len(w.inFlightStarts) > 0 && w.rng.IntN(3) == 0 {
		at := w.rng.IntN(len(w.inFlightStarts))
		f := w.inFlightStarts[at]
		w.inFlightStarts = slices.Delete(w.inFlightStarts, at, at+1)
		x := w.machines[f.machine]
		if f.term >= x.fencingToken {
			x.fencingToken = f.term
			if !x.finished[f.job] {
				for i, y := range w.machines {
					if _, runs := y.running[f.job]; runs && i != f.machine {
						w.fail("%s runs on machines %d and %d", f.job, i, f.machine)
					}
				}
				x.running[f.job] = f.term
				w.started++
			}
		}
	}
	x := w.machines[w.rng.IntN(len(w.machines))]
	for _, uid := range sorted(x.running) {
		if w.rng.IntN(30) == 0 {
			delete(x.running, uid)
			x.finished[uid] = true
		}
	}
}

// machineModel is a machine: the highest fencing token that it knows, and its tasks.
type machineModel struct {
	fencingToken uint64
	running      map[string]uint64 // job -> term of its start
	finished     map[string]bool
}

// startInFlight is a start command that was sent and has not arrived yet.
type startInFlight struct {
	machine int
	job     string
	term    uint64
}
