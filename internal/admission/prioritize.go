package admission

import (
	"slices"
	"time"
)

// onTimeShare is the fraction of a class's deficit that goes to jobs that can still meet their goals, in order of their
// latest start time. The rest goes to the oldest jobs, so that none starves.
const onTimeShare = 0.75

// WaitingTasks are the waiting tasks of one job.
type WaitingTasks struct {
	Index       int // for the caller's use
	Class       string
	Count       int
	TaskCPUs    float64   // of each task; greater than 0
	Gang        bool      // the tasks start all together or not at all
	Late        bool      // the job can no longer meet its goal
	StartBy     time.Time // latest start time to meet the goal
	SubmittedAt time.Time

	// Prioritized is how many of the tasks are scheduled before more urgent tasks of other classes.
	Prioritized int
}

// Deficit returns how many CPUs a key that uses the given number is below its floor, a negative number if it is above.
func (p *Plan) Deficit(k Key, used float64) float64 { return p.Floor(k) - used }

// PrioritizeTasks raises Prioritized of a team's waiting tasks until they cover the deficits of their classes. deficits
// holds the CPUs by class; the CPUs of the prioritized tasks are subtracted from it.
func PrioritizeTasks(waiting []*WaitingTasks, deficits map[string]float64) {
	order := slices.Clone(waiting)
	slices.SortStableFunc(order, (*WaitingTasks).compareByStartBy)
	fillFloors(order, deficits, onTimeShare)
	slices.SortStableFunc(order, func(a, b *WaitingTasks) int { return a.SubmittedAt.Compare(b.SubmittedAt) })
	fillFloors(order, deficits, 1)
}

// compareByStartBy orders tasks by their latest start time. Late ones come last.
func (w *WaitingTasks) compareByStartBy(o *WaitingTasks) int {
	if w.Late != o.Late {
		if w.Late {
			return 1
		}
		return -1
	}
	return w.StartBy.Compare(o.StartBy)
}

// fillFloors prioritizes tasks in the given order until they cover a fraction of their classes' deficits, and subtracts
// their CPUs from the deficits.
func fillFloors(order []*WaitingTasks, deficits map[string]float64, fraction float64) {
	left := map[string]float64{}
	for class, cpus := range deficits {
		left[class] = cpus * fraction
	}
	for _, w := range order {
		count := min(w.Count-w.Prioritized, int(left[w.Class]/w.TaskCPUs+1e-9))
		if w.Gang && count < w.Count || count <= 0 {
			continue
		}
		w.Prioritized += count
		cpus := float64(count) * w.TaskCPUs
		left[w.Class] -= cpus
		deficits[w.Class] -= cpus
	}
}
