package jobstate

import (
	"topazhollow/internal/protocol"
)

// An orphaned task is on a machine although this Team did not place it and its job does not need it: the job has ended,
// or is unknown to the controller, which happens after all controllers have crashed. Until an orphaned task is proven
// to be off its machine it counts against the limit of every team that it may belong to: by its size if that is known,
// otherwise by the most that it can use of the machine.

// JobInfo describes a job that a machine lists, as far as the owner's controller knows it.
type JobInfo struct {
	Known   bool // false: neither its team nor its size is known
	OwnTeam bool // the job belongs to this team
	Active  bool
	Spec    *protocol.Submission // set for the team's own jobs; without resources if only the job's end is known
}

// JobDirectory provides what an owner's controller knows of jobs beyond the state of one team.
type JobDirectory interface {
	// Job describes a job that a machine lists.
	Job(uid string) JobInfo
	// UnknownSizeBound returns the most that all tasks of unknown size on a machine can use together, in CPUs and GPUs.
	UnknownSizeBound(status *MachineStatus) (cpus, gpus float64)
}

// orphanCount sums up the tasks of one machine status that cannot be assigned as attempts.
type orphanCount struct {
	unknownSize []AttemptRef
	sized       Resources // total of the tasks of known size
}

// orphanReservation is the quota reserved for the orphaned tasks of one machine.
type orphanReservation struct {
	heartbeat   protocol.HeartbeatID // that listed the tasks
	unknownSize []AttemptRef         // tasks of unknown size
	resources   Resources            // total, with the bound for tasks of unknown size
}

// orphanReservations holds the reservations by machine.
type orphanReservations struct {
	machines map[string]orphanReservation
}

func newOrphanReservations() orphanReservations {
	return orphanReservations{machines: map[string]orphanReservation{}}
}

// observe replaces the reservation of a machine according to its status. A status with an older heartbeat is ignored:
// it does not prove that tasks listed by a newer one are gone.
func (o *orphanReservations) observe(status *MachineStatus, count orphanCount, directory JobDirectory) {
	before, reserved := o.machines[status.Machine]
	if reserved && status.HeartbeatID().Compare(before.heartbeat) < 0 {
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
		heartbeat:   status.HeartbeatID(),
		unknownSize: count.unknownSize,
		resources:   needed,
	}
}

// release removes the reservation of a machine that the cloud has confirmed as returned.
func (o *orphanReservations) release(machine string) {
	delete(o.machines, machine)
}

// sum returns the total of all reservations.
func (o *orphanReservations) sum() (all Resources) {
	for _, r := range o.machines {
		all = all.plus(r.resources)
	}
	return all
}
