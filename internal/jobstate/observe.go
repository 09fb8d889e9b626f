package jobstate

import (
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// Processing of machine statuses: states and ends of attempts, and proofs that attempts are off their machines.

// observation is one pass over a machine's status.
type observation struct {
	team      *Team
	status    *MachineStatus
	now       time.Time
	directory JobDirectory
	assigned  map[TaskID]bool // listed tasks that match an assigned attempt
	orphans   orphanCount     // listed tasks that cannot be assigned as attempts
	orders    []Order         // in response to the status
}

// Observe processes a machine's status and returns the orders in response. From then on every listed task that may
// belong to the team counts against its limit, until it is proven to be off the machine.
func (t *Team) Observe(status *MachineStatus, now time.Time, directory JobDirectory) []Order {
	o := observation{team: t, status: status, now: now, directory: directory, assigned: map[TaskID]bool{}}
	for i := range status.Tasks {
		o.observeTask(&status.Tasks[i])
	}
	t.quota.orphans.observe(status, o.orphans, directory)
	o.releaseProven()
	return o.orders
}

// observeTask processes one listed task.
func (o *observation) observeTask(x *TaskStatus) {
	if o.updateAttempt(x) {
		o.assigned[x.TaskID] = true
		if x.State != protocol.Exited {
			return
		}
	}
	if x.State == Ordered {
		return
	}
	job := o.directory.Job(x.Job)
	switch {
	case !job.Known:
		o.countUnknownJob(x)
	case !job.OwnTeam:
	case x.State == protocol.Exited:
		o.observeResult(x, job)
	case job.Active && o.team.isPlaceable(x.TaskID) && x.Index < job.Spec.Tasks:
		o.noteReturned(x)
		o.adopt(x, job.Spec)
	default:
		o.noteReturned(x)
		o.assignOrphan(x, job.Spec)
		o.order(x, protocol.Stop)
	}
}

// updateAttempt updates the assigned attempt that the listed task matches; it returns false if there is none.
func (o *observation) updateAttempt(x *TaskStatus) bool {
	a := o.team.assignments.find(x.Ref())
	if a == nil || a.Machine != o.status.Machine || a.Incarnation != o.status.Incarnation {
		return false
	}
	switch x.State {
	case Ordered:
	case protocol.Exited:
		o.team.attemptExited(a, x, o.now)
	default:
		o.team.setState(a, x.State)
	}
	return true
}

// observeResult orders the machine to forget the result of an exited task, once MayForget allows it. A success is recorded,
// and forgotten only once it is saved in the state service.
func (o *observation) observeResult(x *TaskStatus, job JobInfo) {
	if x.Reason == protocol.ReasonDone && job.Active && x.Index < job.Spec.Tasks {
		o.team.completeTask(x.TaskID)
		if j := o.team.Job(x.Job); j == nil || !j.savedDone.Test(uint(x.Index)) {
			return
		}
	}
	if MayForget(x.Attempt, o.team.term) {
		o.order(x, protocol.Forget)
	}
}

// order adds an order for a listed task.
func (o *observation) order(x *TaskStatus, op protocol.CommandOp) {
	o.orders = append(o.orders, Order{Op: op, TaskID: x.TaskID, Attempt: x.Attempt, Incarnation: o.status.Incarnation})
}

// countUnknownJob counts a task of a job that is not in the directory, if it may belong to this team. This Team created
// all of the team's attempts of its first term and later ones, and knows their jobs. Only an attempt of an earlier term
// can therefore belong to the team.
func (o *observation) countUnknownJob(x *TaskStatus) {
	if x.State != protocol.Exited && TermOf(x.Attempt) < o.team.firstTerm {
		o.orphans.unknownSize = append(o.orphans.unknownSize, x.Ref())
	}
}

// assignOrphan counts a task of this team that is to be stopped. The task is assigned like any other attempt, so that
// replicas contain it too. If its size is unknown, or another attempt of the task is assigned, it is counted as an
// orphan instead.
func (o *observation) assignOrphan(x *TaskStatus, spec *protocol.Submission) {
	sized := spec.CPUs > 0 || spec.GPUs > 0
	switch {
	case !sized:
		o.orphans.unknownSize = append(o.orphans.unknownSize, x.Ref())
	case o.team.assignments.byTask[x.TaskID] != nil:
		o.orphans.sized = o.orphans.sized.plus(neededBy(spec, 1))
	default:
		a := o.adopt(x, spec)
		a.stopping = true
		o.team.assignments.openOrders[a] = true
	}
}

// adopt assigns a listed attempt that was not assigned, which happens after all controllers have crashed.
func (o *observation) adopt(x *TaskStatus, spec *protocol.Submission) *attempt {
	a := &attempt{Assignment: Assignment{
		TaskID:      x.TaskID,
		Attempt:     x.Attempt,
		Machine:     o.status.Machine,
		Zone:        o.status.Zone,
		Incarnation: o.status.Incarnation,
		CPUs:        spec.CPUs,
		GPUs:        spec.GPUs,
		Memory:      spec.MemoryGB,
	}}
	o.team.assign(a)
	a.placedSeq = o.team.changes.place(a)
	o.team.setState(a, x.State)
	o.assigned[x.TaskID] = true
	o.team.log("attempt adopted", "task", a.Job, "index", a.Index, "attempt", a.Attempt, "machine", a.Machine)
	return a
}

// releaseProven releases the attempts that the status proves to be off the machine.
func (o *observation) releaseProven() {
	for _, a := range o.team.assignments.sortedOn(o.status.Machine) {
		switch {
		case o.status.Incarnation < a.Incarnation || o.assigned[a.TaskID]:
		case o.status.Incarnation > a.Incarnation:
			o.team.release(a, "newer incarnation")
		case slices.Contains(o.status.Barred, a.Ref()):
			o.team.release(a, "never sent")
		case o.status.FencingToken > TermOf(a.Attempt):
			// The agent has seen a later term and does not list the attempt: it will reject the attempt's start.
			o.team.release(a, "later term")
		}
	}
}

// MachineReturned releases everything assigned to a machine that the cloud has confirmed as returned.
func (t *Team) MachineReturned(machine string) {
	for _, a := range t.assignments.sortedOn(machine) {
		t.release(a, "machine returned")
	}
	t.quota.orphans.release(machine)
	for _, j := range t.jobs.byUID {
		j.images.releasePlaces(machine)
	}
}
