package admission

import (
	"slices"
	"time"
)

// onTimeShare is the part of what a class lacks of its floor that goes to its jobs that can still be in time, those
// first that must start soonest. The rest goes to its oldest jobs, so that none waits for ever.
const onTimeShare = 0.75

// WaitingTasks are tasks of one job that wait.
type WaitingTasks struct {
	Index       int // the caller's
	Class       string
	Count       int
	TaskCPUs    float64 // more than 0
	Gang        bool    // they start together or not at all
	Late        bool    // the job cannot meet its goal any more
	StartBy     time.Time
	SubmittedAt time.Time

	// Prioritized is how many of the tasks go before more urgent work of other classes.
	Prioritized int
}

// Deficit is how many CPUs a key that uses so many has less than its floor; negative if it has more.
func (p *Plan) Deficit(k Key, used float64) float64 { return p.Floor(k) - used }

// PrioritizeTasks raises Prioritized of a team's waiting tasks by as many as their classes lack of their floors. Lacks
// is by class, in CPUs.
func PrioritizeTasks(waiting []*WaitingTasks, lacks map[string]float64) {
	order := slices.Clone(waiting)
	slices.SortStableFunc(order, (*WaitingTasks).compareByStart)
	fillFloors(order, lacks, onTimeShare)
	slices.SortStableFunc(order, func(a, b *WaitingTasks) int { return a.SubmittedAt.Compare(b.SubmittedAt) })
	fillFloors(order, lacks, 1)
}

// compareByStart orders tasks by when they must start to be in time, those that cannot be last.
func (w *WaitingTasks) compareByStart(o *WaitingTasks) int {
	if w.Late != o.Late {
		if w.Late {
			return 1
		}
		return -1
	}
	return w.StartBy.Compare(o.StartBy)
}

// fillFloors gives a part of what each class lacks to its tasks in their order, and takes it off lacks.
func fillFloors(order []*WaitingTasks, lacks map[string]float64, part float64) {
	left := map[string]float64{}
	for class, cpus := range lacks {
		left[class] = cpus * part
	}
	for _, w := range order {
		count := min(w.Count-w.Prioritized, int(left[w.Class]/w.TaskCPUs+1e-9))
		if w.Gang && count < w.Count || count <= 0 {
			continue
		}
		w.Prioritized += count
		cpus := float64(count) * w.TaskCPUs
		left[w.Class] -= cpus
		lacks[w.Class] -= cpus
	}
}
