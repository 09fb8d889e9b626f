package admission

import (
	"maps"
	"slices"
	"time"
)

// backlogTime is the time within which a key's backlog should be worked off. It keeps the rate above zero for waiting
// jobs when no more arrive.
const backlogTime = 10 * time.Minute

// PendingWork describes the waiting tasks of one job.
type PendingWork struct {
	CPUs            float64 // of all waiting tasks, including those beyond the team's quota
	Rank            int     // of its priority
	TaskCPUs        float64
	TaskMemory      float64 // GB
	EstimateSeconds float64 // run time of a task
}

// DemandCollector sums up the demands of all keys.
type DemandCollector struct {
	window   time.Duration
	byKey    map[Key]*Demand
	backlog  map[Key]float64 // CPU seconds of waiting tasks
	arrivals map[Key]*arrivals
}

// arrivals sums up the jobs that were submitted for a key within the window.
type arrivals struct {
	work   float64       // CPU seconds
	oldest time.Duration // age of the oldest job
}

// NewDemandCollector returns an empty collector. window is the time over which arrivals count.
func NewDemandCollector(window time.Duration) *DemandCollector {
	return &DemandCollector{window: window, byKey: map[Key]*Demand{}, backlog: map[Key]float64{}, arrivals: map[Key]*arrivals{}}
}

// demandOf returns the demand of a key and adds an empty one if there is none.
func (n *DemandCollector) demandOf(k Key) *Demand {
	if n.byKey[k] == nil {
		n.byKey[k] = &Demand{Key: k}
	}
	return n.byKey[k]
}

// AddWaiting adds the waiting tasks of a job.
func (n *DemandCollector) AddWaiting(k Key, w PendingWork) {
	demand := n.demandOf(k)
	demand.Waiting += w.CPUs
	demand.Rank = w.Rank
	demand.TaskCPUs = max(demand.TaskCPUs, w.TaskCPUs)
	demand.TaskMemory = max(demand.TaskMemory, w.TaskMemory)
	n.backlog[k] += w.CPUs * w.EstimateSeconds
}

// AddUsed adds the CPUs of a task that is on a machine.
func (n *DemandCollector) AddUsed(k Key, cpus float64) { n.demandOf(k).Used += cpus }

// AddArrival adds a submitted job with its total work in CPU seconds and the time since its submission.
func (n *DemandCollector) AddArrival(k Key, work float64, age time.Duration) {
	if age >= n.window {
		return
	}
	if n.arrivals[k] == nil {
		n.arrivals[k] = &arrivals{}
	}
	a := n.arrivals[k]
	a.work += work
	a.oldest = max(a.oldest, age)
}

// List returns the demands sorted by key, each with the rate needed to keep up with its recent arrivals. The backlog
// counts little, because otherwise the floor of a class that floods the system would grow with the excess.
func (n *DemandCollector) List() []Demand {
	list := make([]Demand, 0, len(n.byKey))
	for _, k := range slices.SortedFunc(maps.Keys(n.byKey), Key.Compare) {
		demand := *n.byKey[k]
		demand.Rate = max(n.arrivalRate(k), n.backlog[k]/backlogTime.Seconds())
		list = append(list, demand)
	}
	return list
}

// arrivalRate returns how many CPUs a key's arrivals keep busy on average. If its oldest arrival is recent, the average
// is taken over a third of the window.
func (n *DemandCollector) arrivalRate(k Key) float64 {
	a := n.arrivals[k]
	if a == nil {
		return 0
	}
	return a.work / min(max(a.oldest, n.window/3), n.window).Seconds()
}
