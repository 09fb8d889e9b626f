package jobstate

import "github.com/bits-and-blooms/bitset"

// changeLog applies changes to the owner's replica of a team, and records each as a delta to be sent to the other
// controllers.
type changeLog struct {
	replica *Replica
	unsent  []Delta // not taken yet
}

// record assigns the next sequence number to a delta and appends it.
func (l *changeLog) record(d Delta) (seq uint64) {
	l.replica.Seq++
	d.Seq = l.replica.Seq
	l.unsent = append(l.unsent, d)
	return d.Seq
}

// take returns the deltas since the last call.
func (l *changeLog) take() []Delta {
	taken := l.unsent
	l.unsent = nil
	return taken
}

// place adds attempts, in one delta.
func (l *changeLog) place(attempts ...*attempt) (seq uint64) {
	placed := make([]Assignment, 0, len(attempts))
	for _, a := range attempts {
		l.replica.Assignments[a.TaskID] = a.Assignment
		placed = append(placed, a.Assignment)
	}
	return l.record(Delta{Placed: placed})
}

// release removes the assignment of a task.
func (l *changeLog) release(id TaskID) {
	delete(l.replica.Assignments, id)
	l.record(Delta{Released: []TaskID{id}})
}

// markDone records that a task is done, and reports whether it was not before.
func (l *changeLog) markDone(id TaskID) bool {
	if !l.replica.markDone(id) {
		return false
	}
	l.record(Delta{Done: []TaskID{id}})
	return true
}

// dropJob removes the finished tasks of a job that has ended.
func (l *changeLog) dropJob(uid string) {
	if l.replica.Done[uid] == nil {
		return
	}
	delete(l.replica.Done, uid)
	l.record(Delta{DroppedJob: uid})
}

// done returns the set of a job's finished tasks; nil if there are none.
func (l *changeLog) done(uid string) *bitset.BitSet { return l.replica.Done[uid] }
