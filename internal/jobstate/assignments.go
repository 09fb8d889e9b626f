package jobstate

import (
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// attempt is an assignment with what only the owner knows of it: replicas keep the assignment alone.
type attempt struct {
	Assignment
	placedSeq      uint64             // of the delta that placed it; 0 after a failover: replicas have it
	state          protocol.TaskState // as last listed, "" before
	stopping       bool               // it is to be stopped
	graceSeconds   float64            // for a checkpoint before it is stopped
	lastOrdered    time.Time          // when its start or stop was last sent
	startsInFlight int                // how often its start was given to its machine's home
	stopOrdered    time.Time          // when its stop was first sent
}

// mayStillStart reports whether the attempt may yet start on its machine: it has not been listed, or waits for its
// image.
func (a *attempt) mayStillStart() bool { return a.state == "" || a.state == protocol.Pulling }

// Assignments are the attempts of a team that may be on machines. The account of the team alone changes them.
type Assignments struct {
	byTask          map[TaskID]*attempt
	byMachine       map[string]map[TaskID]*attempt
	openOrders      map[*attempt]bool // those that may need an order: not listed yet, or to be stopped
	changedMachines map[string]bool   // since they were last taken
}

func newAssignments() Assignments {
	return Assignments{
		byTask:          map[TaskID]*attempt{},
		byMachine:       map[string]map[TaskID]*attempt{},
		openOrders:      map[*attempt]bool{},
		changedMachines: map[string]bool{},
	}
}

// add records an attempt that may be on its machine from now on.
func (s *Assignments) add(a *attempt) {
	s.byTask[a.TaskID] = a
	if s.byMachine[a.Machine] == nil {
		s.byMachine[a.Machine] = map[TaskID]*attempt{}
	}
	s.byMachine[a.Machine][a.TaskID] = a
	s.openOrders[a] = true
	s.changedMachines[a.Machine] = true
}

// remove drops an attempt that is proven to be on no machine.
func (s *Assignments) remove(a *attempt) {
	delete(s.byTask, a.TaskID)
	delete(s.byMachine[a.Machine], a.TaskID)
	if len(s.byMachine[a.Machine]) == 0 {
		delete(s.byMachine, a.Machine)
	}
	delete(s.openOrders, a)
	s.changedMachines[a.Machine] = true
}

// find gives the attempt of this number, nil if it is not assigned.
func (s *Assignments) find(ref AttemptRef) *attempt {
	if a := s.byTask[ref.TaskID]; a != nil && a.Attempt == ref.Attempt {
		return a
	}
	return nil
}

// On calls f for each assignment to a machine.
func (s *Assignments) On(machine string, f func(Assignment)) {
	for _, a := range s.byMachine[machine] {
		f(a.Assignment)
	}
}

// sortedOn lists the attempts on a machine by task.
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

// Machines lists the machines that have assignments, by name.
func (s *Assignments) Machines() []string {
	names := make([]string, 0, len(s.byMachine))
	for machine := range s.byMachine {
		names = append(names, machine)
	}
	slices.Sort(names)
	return names
}

// TakeChangedMachines gives the machines whose assignments changed since the last call.
func (s *Assignments) TakeChangedMachines() map[string]bool {
	if len(s.changedMachines) == 0 {
		return nil
	}
	changed := s.changedMachines
	s.changedMachines = map[string]bool{}
	return changed
}

// Count is the number of attempts that may be on machines, and how many of them no heartbeat has listed yet.
func (s *Assignments) Count() (assigned, unlisted int) {
	for _, a := range s.byTask {
		if a.state == "" {
			unlisted++
		}
	}
	return len(s.byTask), unlisted
}
