package admission

import (
	"maps"
	"slices"
	"time"
)

// backlogTime is the time in which a backlog is worked off at the least, so that what waits goes on when nothing
// arrives any more.
const backlogTime = 10 * time.Minute

// PendingWork is what waits of one job.
type PendingWork struct {
	CPUs            float64 // in all, with what is beyond the team's quota
	Rank            int     // of its priority
	TaskCPUs        float64
	TaskMemory      float64 // GB
	EstimateSeconds float64 // run time of a task
}

// DemandCollector sums up what keys use and ask for.
type DemandCollector struct {
	window   time.Duration
	byKey    map[Key]*Demand
	backlog  map[Key]float64 // CPU seconds that wait
	arrivals map[Key]*arrivals
}

// arrivals are what arrived for a key within the window.
type arrivals struct {
	work   float64       // CPU seconds
	oldest time.Duration // age of the first
}

// NewDemandCollector knows no need yet. Window is the time over which arrivals count.
func NewDemandCollector(window time.Duration) *DemandCollector {
	return &DemandCollector{window: window, byKey: map[Key]*Demand{}, backlog: map[Key]float64{}, arrivals: map[Key]*arrivals{}}
}

// of finds or makes the need of a key.
func (n *DemandCollector) of(k Key) *Demand {
	if n.byKey[k] == nil {
		n.byKey[k] = &Demand{Key: k}
	}
	return n.byKey[k]
}

// AddWaiting adds what waits of a job.
func (n *DemandCollector) AddWaiting(k Key, w PendingWork) {
	need := n.of(k)
	need.Waiting += w.CPUs
	need.Rank = w.Rank
	need.TaskCPUs = max(need.TaskCPUs, w.TaskCPUs)
	need.TaskMemory = max(need.TaskMemory, w.TaskMemory)
	n.backlog[k] += w.CPUs * w.EstimateSeconds
}

// AddUsed adds CPUs that a task has on a machine.
func (n *DemandCollector) AddUsed(k Key, cpus float64) { n.of(k).Used += cpus }

// AddArrival adds a job that was submitted some time ago, by the CPU seconds that it takes in all.
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

// List gives the needs in the order of their keys, with the rates that keep up with them: as work arrived lately. What
// waits counts little, or a class that floods would have its floor raised by all that nobody could serve.
func (n *DemandCollector) List() []Demand {
	list := make([]Demand, 0, len(n.byKey))
	for _, k := range slices.SortedFunc(maps.Keys(n.byKey), Key.Compare) {
		need := *n.byKey[k]
		need.Rate = max(n.arrivalRate(k), n.backlog[k]/backlogTime.Seconds())
		list = append(list, need)
	}
	return list
}

// arrivalRate is how many CPUs what arrives for a key keeps busy. A key for which the first work arrived just now
// counts over a third of the window.
func (n *DemandCollector) arrivalRate(k Key) float64 {
	a := n.arrivals[k]
	if a == nil {
		return 0
	}
	return a.work / min(max(a.oldest, n.window/3), n.window).Seconds()
}
