package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// An orphaned task is on a machine though this account did not place it and its job does not call for it: its job
// is over, or nobody here can describe the job any more, as after all controllers ended. Until it is proven off it
// uses the quota of its team. One rule covers all such tasks: what a machine lists and has not proven off counts
// against the limit of every team that it may belong to, by its size where that is known, and else by the most
// that it can take of its machine.

// JobInfo is what an owner's controller knows of a job that a machine lists.
type JobInfo struct {
	Known   bool // false: neither team nor size can be told
	OwnTeam bool // it belongs to the account's team
	Active  bool
	Spec    *protocol.Submission // of the account's own jobs; without amounts if only the job's end is known
}

// JobDirectory is what an owner's controller knows beside the account.
type JobDirectory interface {
	// Job describes a job that a machine lists.
	Job(uid string) JobInfo
	// Unsized is the most that the tasks of unknown size can take of a machine together, in CPUs and GPUs.
	UnknownSizeBound(v *MachineStatus) (cpus, gpus float64)
}

// orphanCount is what one view lists of tasks that the account can't hold as attempts.
type orphanCount struct {
	unknownSize []AttemptRef // of unknown size
	cpus        float64
	gpus        float64
}

// reservation is the part of the quota that orphaned tasks of one machine may use.
type orphanReservation struct {
	incarnation uint64
	seq         uint64 // of the report that listed them
	unknownSize []AttemptRef
	cpus        float64
	gpus        float64
}

// orphanAccount keeps the reservations by machine.
type orphanReservations struct {
	machines map[string]orphanReservation
}

func newOrphanReservations() orphanReservations {
	return orphanReservations{machines: map[string]orphanReservation{}}
}

// observe replaces what is reserved for a machine by what its view lists. An older report proves nothing about
// tasks that a newer one listed.
func (o *orphanReservations) observe(v *MachineStatus, left orphanCount, known JobDirectory) {
	before, reserved := o.machines[v.Machine]
	if reserved && (v.Incarnation < before.incarnation || v.Incarnation == before.incarnation && v.Seq < before.seq) {
		return
	}
	if len(left.unknownSize) > 0 {
		cpus, gpus := known.UnknownSizeBound(v)
		left.cpus += max(0, cpus)
		left.gpus += max(0, gpus)
	}
	if left.cpus == 0 && left.gpus == 0 && len(left.unknownSize) == 0 {
		delete(o.machines, v.Machine)
		return
	}
	o.machines[v.Machine] = orphanReservation{incarnation: v.Incarnation, seq: v.Seq, unknownSize: left.unknownSize, cpus: left.cpus, gpus: left.gpus}
}

// gone releases what was reserved for a machine that the cloud confirmed to be gone.
func (o *orphanReservations) release(machine string) {
	delete(o.machines, machine)
}

// sum adds up all reservations.
func (o *orphanReservations) sum() (cpus, gpus float64) {
	for _, r := range o.machines {
		cpus += r.cpus
		gpus += r.gpus
	}
	return cpus, gpus
}

// charged is what counts against the quota: held attempts, and what orphaned tasks may use.
func (t *Team) charged() (cpus, gpus float64) {
	cpus, gpus = t.orphans.sum()
	return cpus + t.usedCPUs, gpus + t.usedGPUs
}

// FirstTerm is the term in which this account began.
func (t *Team) FirstTerm() uint64 { return t.firstTerm }

// HasOrphansOn says whether quota is reserved for orphaned tasks of a machine.
func (t *Team) HasOrphansOn(machine string) bool {
	_, reserved := t.orphans.machines[machine]
	return reserved
}

// OrphansOfUnknownSize lists the tasks of a machine whose size the account would have to know.
func (t *Team) OrphansOfUnknownSize(machine string) []AttemptRef {
	return t.orphans.machines[machine].unknownSize
}

// Reserved is the part of the quota that orphaned tasks of unknown size, or beside another attempt of theirs,
// may use.
func (t *Team) Reserved() (cpus, gpus float64) { return t.orphans.sum() }

// countUnknown counts a task of a job that nobody here can describe. All attempts of this team that were made since
// this account began are its own, so that only an earlier one may be the team's.
func (t *Team) countUnknownJob(left *orphanCount, x *TaskStatus) {
	if x.State != protocol.Exited && TermOf(x.Attempt) < t.firstTerm {
		left.unknownSize = append(left.unknownSize, x.Ref())
	}
}

// holdOrphan counts a task of a job of this team that is to be stopped. It is held like any other attempt, so
// that backups know it too; false if that can't be and it is counted beside the held ones.
func (t *Team) holdOrphan(left *orphanCount, v *MachineStatus, x *TaskStatus, spec *protocol.Submission, now time.Time) bool {
	sized := spec.CPUs > 0 || spec.GPUs > 0
	switch {
	case !sized:
		left.unknownSize = append(left.unknownSize, x.Ref())
		return false
	case t.held[x.TaskID] != nil:
		left.cpus += spec.CPUs
		left.gpus += spec.GPUs
		return false
	}
	a := t.adopt(v, x, spec, now)
	a.stopping = true
	t.todo[a] = true
	return true
}
