package agents

import (
	"maps"
	"slices"

	"topazhollow/internal/jobstate"
)

// TaskIndex maps jobs to the machines that list their tasks.
type TaskIndex struct {
	machines map[string]map[string]bool // by job
}

// NewTaskIndex returns an empty index.
func NewTaskIndex() *TaskIndex { return &TaskIndex{machines: map[string]map[string]bool{}} }

// Add adds the tasks that a machine's status lists.
func (x *TaskIndex) Add(status *jobstate.MachineStatus) {
	for _, t := range status.Tasks {
		if x.machines[t.Job] == nil {
			x.machines[t.Job] = map[string]bool{}
		}
		x.machines[t.Job][status.Machine] = true
	}
}

// Remove removes the tasks of a machine's status that was added before.
func (x *TaskIndex) Remove(status *jobstate.MachineStatus) {
	for _, t := range status.Tasks {
		on := x.machines[t.Job]
		if delete(on, status.Machine); len(on) == 0 {
			delete(x.machines, t.Job)
		}
	}
}

// Machines returns the machines that list any task of a job, sorted by name.
func (x *TaskIndex) Machines(job string) []string { return slices.Sorted(maps.Keys(x.machines[job])) }
