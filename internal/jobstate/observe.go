package jobstate

import (
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// What an account learns from machines: views, ends, and which attempts are proven off.

// off releases an attempt that is proven to be on no machine.
func (t *Team) release(a *attempt, why protocol.ExitReason) {
	if t.held[a.TaskID] != a {
		return
	}
	j := t.jobs[a.Job]
	if j != nil {
		j.attemptLost(a, why)
	}
	t.setState(a, "")
	delete(t.held, a.TaskID)
	delete(t.on[a.Machine], a.TaskID)
	if len(t.on[a.Machine]) == 0 {
		delete(t.on, a.Machine)
	}
	delete(t.todo, a)
	t.moved[a.Machine] = true
	t.usedCPUs -= a.CPUs
	t.usedGPUs -= a.GPUs
	if len(t.held) == 0 {
		t.usedCPUs, t.usedGPUs = 0, 0
	}
	delete(t.replica.Assignments, a.TaskID)
	t.emitDelta(Delta{Released: []TaskID{a.TaskID}})
	if j != nil {
		delete(j.attempts, a.Index)
		j.lowestPending = min(j.lowestPending, a.Index)
	}
	t.log("attempt off", "task", a.Job, "index", a.Index, "attempt", a.Attempt, "machine", a.Machine, "why", why)
}

func (t *Team) setState(a *attempt, state protocol.TaskState) {
	j := t.jobs[a.Job]
	if j != nil && a.state == protocol.Running {
		j.running--
	}
	a.state = state
	if j != nil && a.state == protocol.Running {
		j.running++
	}
}

// Observe takes in a machine's view and gives the orders that follow from it. Whatever the view lists and this
// account may have to answer for counts against the team's limit from then on, until it is proven off.
func (t *Team) Observe(v *MachineStatus, now time.Time, known JobDirectory) []Order {
	var orders []Order
	seen := map[TaskID]bool{}
	var left orphanCount
	for i := range v.Tasks {
		x := &v.Tasks[i]
		if t.observeAttempt(v, x, now) {
			seen[x.TaskID] = true
			if x.State != protocol.Exited {
				continue
			}
		}
		if x.State == Ordered {
			continue
		}
		job := known.Job(x.Job)
		if job.Known && !job.OwnTeam {
			continue
		}
		if !job.Known {
			t.countUnknownJob(&left, x)
			continue
		}
		order := Order{TaskID: x.TaskID, Attempt: x.Attempt, Incarnation: v.Incarnation}
		switch {
		case x.State == protocol.Exited:
			if x.Reason == protocol.ReasonDone && job.Active && x.Index < job.Spec.Tasks {
				t.completeTask(x.TaskID)
				if j := t.jobs[x.Job]; j == nil || !j.savedDone.Test(uint(x.Index)) {
					continue // forgotten only once the state service knows
				}
			}
			order.Op = protocol.Forget
			orders = append(orders, order)
		case job.Active && t.held[x.TaskID] == nil && !t.isDone(x.TaskID) && x.Index < job.Spec.Tasks:
			t.adopt(v, x, job.Spec, now)
			seen[x.TaskID] = true
		default:
			if t.holdOrphan(&left, v, x, job.Spec, now) {
				seen[x.TaskID] = true
			}
			order.Op = protocol.Stop
			orders = append(orders, order)
		}
	}
	t.orphans.observe(v, left, known)
	t.releaseProven(v, seen)
	return orders
}

// listed takes in what a view says of an attempt that this account holds there; false if it holds none.
func (t *Team) observeAttempt(v *MachineStatus, x *TaskStatus, now time.Time) bool {
	a := t.held[x.TaskID]
	if a == nil || a.Machine != v.Machine || a.Attempt != x.Attempt || a.Incarnation != v.Incarnation {
		return false
	}
	switch x.State {
	case Ordered:
	case protocol.Exited:
		t.attemptExited(a, x, now)
	default:
		if a.listed.IsZero() {
			a.listed = now
		}
		t.setState(a, x.State)
	}
	return true
}

// releaseProven ends the holds on a machine that its view proves to be off.
func (t *Team) releaseProven(v *MachineStatus, seen map[TaskID]bool) {
	for _, a := range t.attemptsOn(v.Machine) {
		switch {
		case v.Incarnation < a.Incarnation || seen[a.TaskID]:
		case v.Incarnation > a.Incarnation:
			t.release(a, "newer session")
		case slices.Contains(v.Barred, a.Ref()):
			t.release(a, "never sent")
		case v.FencingToken > TermOf(a.Attempt):
			// The worker knows a later term and does not list the attempt: its start
			// can no longer arrive.
			t.release(a, "later term")
		}
	}
}

func (t *Team) attemptsOn(machine string) []*attempt {
	list := make([]*attempt, 0, len(t.on[machine]))
	for _, a := range t.on[machine] {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return a.compare(b.TaskID)
	})
	return list
}

// adopt takes up an attempt found on a machine that the account did not hold,
// as after a full barrier.
func (t *Team) adopt(v *MachineStatus, x *TaskStatus, spec *protocol.Submission, now time.Time) *attempt {
	a := &attempt{Assignment: Assignment{TaskID: x.TaskID, Attempt: x.Attempt, Machine: v.Machine, Zone: v.Zone, Incarnation: v.Incarnation,
		CPUs: spec.CPUs, GPUs: spec.GPUs, Memory: spec.MemoryGB}, listed: now}
	t.hold(a)
	t.replica.Assignments[a.TaskID] = a.Assignment
	a.placedSeq = t.emitDelta(Delta{Placed: []Assignment{a.Assignment}})
	t.setState(a, x.State)
	t.log("attempt adopted", "task", a.Job, "index", a.Index, "attempt", a.Attempt, "machine", a.Machine)
	return a
}

// exited books the end of an attempt.
func (t *Team) attemptExited(a *attempt, x *TaskStatus, now time.Time) {
	if x.Reason == protocol.ReasonDone {
		t.completeTask(a.TaskID)
	}
	j := t.jobs[a.Job]
	t.release(a, x.Reason)
	if j == nil {
		return
	}
	switch x.Reason {
	case protocol.ReasonError:
		if !j.faulty {
			j.avoidUntil[a.Machine] = now.Add(10 * time.Minute)
		} else if !now.Before(j.backoffUntil) {
			j.failedProbes++
			j.backoffUntil = now.Add(min(time.Minute, time.Second<<min(j.failedProbes, 6)))
		}
		t.log("task failed", "task", a.Job, "index", a.Index, "machine", a.Machine)
	case protocol.ReasonFull:
		j.avoidUntil[a.Machine] = now.Add(1500 * time.Millisecond)
	case protocol.ReasonIncomplete:
		j.backoffUntil = now.Add(2 * time.Second)
	case protocol.ReasonInUse, protocol.ReasonNoSuch:
		j.retryAt[a.Index] = now.Add(3 * time.Second)
	}
}

// MachineReturned books that the cloud confirmed the end of a machine.
func (t *Team) MachineReturned(machine string) {
	for _, a := range t.attemptsOn(machine) {
		t.release(a, "machine returned")
	}
	t.orphans.release(machine)
}
