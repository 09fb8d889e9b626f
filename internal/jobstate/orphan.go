package jobstate

import (
	"topazhollow/internal/protocol"
)

// An orphaned task is on a machine though this account did not place it and its job does not call for it: its job
// has ended, or nobody here can describe the job any more, as after all controllers ended. Until it is proven to be
// off its machine it uses the quota of its team. One rule covers all such tasks: what a machine lists and has not
// proven off counts against the limit of every team that it may belong to, by its size where that is known, and else
// by the most that it can take of its machine.

// JobInfo is what an owner's controller knows of a job that a machine lists.
type JobInfo struct {
	Known   bool // false: neither team nor size can be told
	OwnTeam bool // it belongs to the account's team
	Active  bool
	Spec    *protocol.Submission // of the team's own jobs; without amounts if only the job's end is known
}

// JobDirectory is what an owner's controller knows of jobs beside the account.
type JobDirectory interface {
	// Job describes a job that a machine lists.
	Job(uid string) JobInfo
	// UnknownSizeBound is the most that the tasks of unknown size can take of a machine together, in CPUs and GPUs.
	UnknownSizeBound(status *MachineStatus) (cpus, gpus float64)
}

// orphanCount is what one machine status lists of tasks that the account can't hold as attempts.
type orphanCount struct {
	unknownSize []AttemptRef
	sized       Resources // that the others take
}

// orphanReservation is the part of the quota that orphaned tasks of one machine may use.
type orphanReservation struct {
	incarnation uint64       // of the machine's agent
	seq         uint64       // of the heartbeat that listed them
	unknownSize []AttemptRef // those whose size is not known
	resources   Resources    // that they may use together
}

// orphanReservations keeps the reservations by machine.
type orphanReservations struct {
	machines map[string]orphanReservation
}

func newOrphanReservations() orphanReservations {
	return orphanReservations{machines: map[string]orphanReservation{}}
}

// observe replaces what is reserved for a machine by what its status lists. An older heartbeat proves nothing about
// tasks that a newer one listed.
func (o *orphanReservations) observe(status *MachineStatus, count orphanCount, directory JobDirectory) {
	before, reserved := o.machines[status.Machine]
	if reserved && before.isNewerThan(status) {
		return
	}
	needed := count.sized
	if len(count.unknownSize) > 0 {
		cpus, gpus := directory.UnknownSizeBound(status)
		needed = needed.plus(Resources{CPUs: max(0, cpus), GPUs: max(0, gpus)})
	}
	if needed == (Resources{}) && len(count.unknownSize) == 0 {
		delete(o.machines, status.Machine)
		return
	}
	o.machines[status.Machine] = orphanReservation{
		incarnation: status.Incarnation,
		seq:         status.Seq,
		unknownSize: count.unknownSize,
		resources:   needed,
	}
}

// isNewerThan reports whether the reservation was made for a newer heartbeat than a status has.
func (r *orphanReservation) isNewerThan(status *MachineStatus) bool {
	if status.Incarnation != r.incarnation {
		return status.Incarnation < r.incarnation
	}
	return status.Seq < r.seq
}

// release ends what was reserved for a machine that the cloud confirmed to be returned.
func (o *orphanReservations) release(machine string) {
	delete(o.machines, machine)
}

// sum adds up all reservations.
func (o *orphanReservations) sum() (all Resources) {
	for _, r := range o.machines {
		all = all.plus(r.resources)
	}
	return all
}
