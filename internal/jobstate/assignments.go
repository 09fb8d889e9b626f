package jobstate

import (
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// attempt is an assignment with the state that only the owner keeps; replicas keep the assignment alone.
type attempt struct {
	Assignment
	placedSeq      uint64             // of the delta that placed it; 0 if it came from a replica at a failover
	state          protocol.TaskState // as last listed; "" if not listed yet
	stopping       bool               // it is to be stopped
	graceSeconds   float64            // for a checkpoint before it is stopped
	lastOrdered    time.Time          // when its start or stop was last sent
	startsInFlight int                // number of times its start was sent and not retracted
	stopOrdered    time.Time          // when its stop was first sent
}

// mayStillStart reports whether the attempt may start on its machine later: it has not been listed yet, or is listed as
// pulling its image.
func (a *attempt) mayStillStart() bool { return a.state == "" || a.state == protocol.Pulling }

// Assignments is the set of a team's attempts that may be on machines. Only Team changes it.
type Assignments struct {
	byTask          map[TaskID]*attempt
	byMachine       map[string]map[TaskID]*attempt
	openOrders      map[*attempt]bool // those that may need an order: not listed yet, or to be stopped
	changedMachines map[string]bool   // since the last TakeChangedMachines
}

func newAssignments() Assignments {
	return Assignments{
		byTask:          map[TaskID]*attempt{},
		byMachine:       map[string]map[TaskID]*attempt{},
		openOrders:      map[*attempt]bool{},
		changedMachines: map[string]bool{},
	}
}

// add adds an attempt that may be on its machine from now on.
func (s *Assignments) add(a *attempt) {
	s.byTask[a.TaskID] = a
	if s.byMachine[a.Machine] == nil {
		s.byMachine[a.Machine] = map[TaskID]*attempt{}
	}
	s.byMachine[a.Machine][a.TaskID] = a
	s.openOrders[a] = true
	s.changedMachines[a.Machine] = true
}

// remove deletes an attempt that is proven to be on no machine.
func (s *Assignments) remove(a *attempt) {
	delete(s.byTask, a.TaskID)
	delete(s.byMachine[a.Machine], a.TaskID)
	if len(s.byMachine[a.Machine]) == 0 {
		delete(s.byMachine, a.Machine)
	}
	delete(s.openOrders, a)
	s.changedMachines[a.Machine] = true
}

// neverOrdered lists the attempts that this owner created and whose starts it has not sent, in order of their tasks.
func (s *Assignments) neverOrdered() (list []*attempt) {
	for a := range s.openOrders {
		if a.placedSeq > 0 && a.startsInFlight == 0 && a.state == "" {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return a.compare(b.TaskID)
	})
	return list
}

// find returns the attempt with this task and number; nil if it is not assigned.
func (s *Assignments) find(ref AttemptRef) *attempt {
	if a := s.byTask[ref.TaskID]; a != nil && a.Attempt == ref.Attempt {
		return a
	}
	return nil
}

// On calls f for each assignment on a machine.
func (s *Assignments) On(machine string, f func(Assignment)) {
	for _, a := range s.byMachine[machine] {
		f(a.Assignment)
	}
}

// sortedOn lists the attempts on a machine in order of their tasks.
func (s *Assignments) sortedOn(machine string) []*attempt {
	list := make([]*attempt, 0, len(s.byMachine[machine]))
	for _, a := range s.byMachine[machine] {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return a.compare(b.TaskID)
	})
	return list
}

// AnyOn reports whether any attempt is assigned to a machine.
func (s *Assignments) AnyOn(machine string) bool { return len(s.byMachine[machine]) > 0 }

// Machines lists the machines that have assignments, sorted by name.
func (s *Assignments) Machines() []string {
	names := make([]string, 0, len(s.byMachine))
	for machine := range s.byMachine {
		names = append(names, machine)
	}
	slices.Sort(names)
	return names
}

// TakeChangedMachines returns the machines whose assignments changed since the last call.
func (s *Assignments) TakeChangedMachines() map[string]bool {
	if len(s.changedMachines) == 0 {
		return nil
	}
	changed := s.changedMachines
	s.changedMachines = map[string]bool{}
	return changed
}

// Count returns the number of attempts that may be on machines, and how many of them no heartbeat has listed yet.
func (s *Assignments) Count() (assigned, unlisted int) {
	for _, a := range s.byTask {
		if a.state == "" {
			unlisted++
		}
	}
	return len(s.byTask), unlisted
}
