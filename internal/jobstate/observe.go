package jobstate

import (
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// What an account learns from machines: their status, ends of attempts, and which attempts are proven off.

// observation is one pass over what a machine's status lists.
type observation struct {
	team      *Team
	status    *MachineStatus
	now       time.Time
	directory JobDirectory
	assigned  map[TaskID]bool // listed tasks that the account has as attempts
	orphans   orphanCount     // listed tasks that it can't have as attempts
	orders    []Order         // that follow
}

// Observe takes in a machine's status and gives the orders that follow from it. Whatever the status lists and this
// account may have to answer for counts against the team's limit from then on, until it is proven off.
func (t *Team) Observe(status *MachineStatus, now time.Time, directory JobDirectory) []Order {
	o := observation{team: t, status: status, now: now, directory: directory, assigned: map[TaskID]bool{}}
	for i := range status.Tasks {
		o.observeTask(&status.Tasks[i])
	}
	t.quota.orphans.observe(status, o.orphans, directory)
	o.releaseProven()
	return o.orders
}

// observeTask takes in one listed task.
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
		o.adopt(x, job.Spec)
	default:
		o.assignOrphan(x, job.Spec)
		o.order(x, protocol.Stop)
	}
}

// updateAttempt takes in what the status says of an attempt that this account has there; false if it has none.
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

// observeResult has a machine forget a result, a success only once the state service knows of it.
func (o *observation) observeResult(x *TaskStatus, job JobInfo) {
	if x.Reason == protocol.ReasonDone && job.Active && x.Index < job.Spec.Tasks {
		o.team.completeTask(x.TaskID)
		if j := o.team.Job(x.Job); j == nil || !j.savedDone.Test(uint(x.Index)) {
			return
		}
	}
	o.order(x, protocol.Forget)
}

// order has the machine carry out a command for a listed task.
func (o *observation) order(x *TaskStatus, op protocol.CommandOp) {
	o.orders = append(o.orders, Order{Op: op, TaskID: x.TaskID, Attempt: x.Attempt, Incarnation: o.status.Incarnation})
}

// countUnknownJob counts a task of a job that nobody here can describe. All attempts of this team that were made since
// this account began are its own, so that only an earlier one may be the team's.
func (o *observation) countUnknownJob(x *TaskStatus) {
	if x.State != protocol.Exited && TermOf(x.Attempt) < o.team.firstTerm {
		o.orphans.unknownSize = append(o.orphans.unknownSize, x.Ref())
	}
}

// assignOrphan counts a task of a job of this team that is to be stopped. It is assigned like any other attempt, so
// that replicas know it too; if its size is unknown, or another attempt of the task is assigned, it is counted beside
// the attempts.
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

// adopt assigns an attempt found on the machine that the account did not have, as after all controllers ended.
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

// releaseProven releases the attempts on the machine that its status proves to be off.
func (o *observation) releaseProven() {
	for _, a := range o.team.assignments.sortedOn(o.status.Machine) {
		switch {
		case o.status.Incarnation < a.Incarnation || o.assigned[a.TaskID]:
		case o.status.Incarnation > a.Incarnation:
			o.team.release(a, "newer session")
		case slices.Contains(o.status.Barred, a.Ref()):
			o.team.release(a, "never sent")
		case o.status.FencingToken > TermOf(a.Attempt):
			// The agent knows a later term and does not list the attempt: its start can no longer arrive.
			o.team.release(a, "later term")
		}
	}
}

// MachineReturned releases all that was on a machine whose end the cloud confirmed.
func (t *Team) MachineReturned(machine string) {
	for _, a := range t.assignments.sortedOn(machine) {
		t.release(a, "machine returned")
	}
	t.quota.orphans.release(machine)
}
