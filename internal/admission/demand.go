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
	first  float64       // CPU seconds of the jobs' first tasks, with the fetch of their images
	oldest time.Duration // age of the oldest job
}

// NewDemandCollector returns an empty collector. window is the time over which arrivals count.
func NewDemandCollector(window time.Duration) *DemandCollector {
	return &DemandCollector{window: window, byKey: map[Key]*Demand{}, backlog: map[Key]float64{}, arrivals: map[Key]*arrivals{}}
}

// demandOf returns the demand of a key and adds an empty one if there is none.
func (c *DemandCollector) demandOf(k Key) *Demand {
	if c.byKey[k] == nil {
		c.byKey[k] = &Demand{Key: k}
	}
	return c.byKey[k]
}

// AddWaiting adds the waiting tasks of a job.
func (c *DemandCollector) AddWaiting(k Key, w PendingWork) {
	demand := c.demandOf(k)
	demand.Waiting += w.CPUs
	demand.Rank = w.Rank
	demand.TaskCPUs = max(demand.TaskCPUs, w.TaskCPUs)
	demand.TaskMemory = max(demand.TaskMemory, w.TaskMemory)
	c.backlog[k] += w.CPUs * w.EstimateSeconds
}

// AddUsed adds the CPUs of a task that is on a machine.
func (c *DemandCollector) AddUsed(k Key, cpus float64) { c.demandOf(k).Used += cpus }

// AddArrival adds a submitted job with its total work and that of its first task, both in CPU seconds, and the time since
// its submission.
func (c *DemandCollector) AddArrival(k Key, work, first float64, age time.Duration) {
	if age >= c.window {
		return
	}
	if c.arrivals[k] == nil {
		c.arrivals[k] = &arrivals{}
	}
	a := c.arrivals[k]
	a.work += work
	a.first += first
	a.oldest = max(a.oldest, age)
}

// List returns the demands sorted by key, each with the rate needed to keep up with its recent arrivals. The backlog
// counts little, because otherwise the floor of a class that floods the system would grow with the excess.
func (c *DemandCollector) List() []Demand {
	list := make([]Demand, 0, len(c.byKey))
	for _, k := range slices.SortedFunc(maps.Keys(c.byKey), Key.Compare) {
		demand := *c.byKey[k]
		arriving, first := c.arrivalRates(k)
		demand.Rate = max(arriving, c.backlog[k]/backlogTime.Seconds())
		demand.FirstTaskRate = first
		list = append(list, demand)
	}
	return list
}

// arrivalRates returns how many CPUs a key's arrivals and their first tasks keep busy on average. If its oldest arrival
// is recent, the average is taken over a third of the window.
func (c *DemandCollector) arrivalRates(k Key) (all, first float64) {
	a := c.arrivals[k]
	if a == nil {
		return 0, 0
	}
	seconds := min(max(a.oldest, c.window/3), c.window).Seconds()
	return a.work / seconds, a.first / seconds
}
