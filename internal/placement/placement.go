// Package placement assigns tasks to machines by best fit among a random sample of the machines with enough free
// resources. It keeps no state; only Allocate and Release modify the caller's hosts.
package placement

import (
	"math/rand/v2"
	"slices"
)

// Host is a machine that tasks may be placed on.
type Host struct {
	Name             string
	Type             int // index of its machine type
	Zone             int // index of its zone
	Spot             bool
	Incarnation      uint64  // of its agent
	CPUs             float64 // free
	GPUs             float64 // free
	MemoryGB         float64 // free
	ListedBytes      int     // free in its agent's heartbeat, which must list all tasks
	PricePerHour     float64
	FetchGBPerSecond float64
	Images           map[string]bool
	Pulls            int       // number of images being fetched
	ReservedClass    string    // class of jobs that the machine is reserved for; "" if it is not reserved
	SmallestReserved Resources // minimum over the waiting tasks of that class; zero if none is known to wait
	ReservedSeconds  float64   // estimated time until that much is free
}

// Resources is an amount of CPUs and of memory in GB.
type Resources struct{ CPUs, MemoryGB float64 }

// Request is what a task requires of a machine.
type Request struct {
	CPUs, GPUs, MemoryGB float64
	ListedBytes          int   // that the task takes in a heartbeat
	Types                []int // indices of the allowed machine types; nil: any
	Zone                 int   // index of the zone; -1: any
	Spot                 bool  // may run on spot machines
	Image                string
	ImageGB              float64
	RunSeconds           float64 // estimated run time of the task
	MinimizeTime         bool    // minimize time instead of price
	Class                string  // class of the job
	MayUseLeftover       bool    // may use what is free on a reserved machine if that is too little for the reserved class
}

// roundingTolerance is the largest rounding error of summed amounts.
const roundingTolerance = 1e-6

// Allows reports whether the task may run on the host's machine type, in its zone, on spot machines if it is one, and
// whether the host's reservation admits it.
func (r *Request) Allows(h *Host) bool {
	if (h.Spot && !r.Spot) || (r.Zone >= 0 && h.Zone != r.Zone) || !r.allowsReserved(h) {
		return false
	}
	if r.Types == nil {
		return true
	}
	return slices.Contains(r.Types, h.Type)
}

// allowsReserved reports whether the host's reservation admits the task: the host is not reserved, it is reserved for
// the task's class, or the task may use leftovers, the free resources are too little for any waiting task of that class,
// and the task ends before they would suffice. Without the last condition the machine would never have room for the class.
func (r *Request) allowsReserved(h *Host) bool {
	if h.ReservedClass == "" || h.ReservedClass == r.Class {
		return true
	}
	return r.MayUseLeftover && r.RunSeconds <= h.ReservedSeconds && (h.CPUs+roundingTolerance < h.SmallestReserved.CPUs || h.MemoryGB+roundingTolerance < h.SmallestReserved.MemoryGB)
}

// Fits reports whether the free resources of a host suffice.
func (r *Request) Fits(h *Host) bool {
	return h.ListedBytes >= r.ListedBytes && r.FitsIn(h.CPUs, h.GPUs, h.MemoryGB)
}

// FitsIn reports whether free resources suffice.
func (r *Request) FitsIn(cpus, gpus, memoryGB float64) bool {
	return cpus+roundingTolerance >= r.CPUs && gpus+roundingTolerance >= r.GPUs && memoryGB+roundingTolerance >= r.MemoryGB
}

// Exceeds reports whether the request is of the same class as o, needs at least as much of each resource, and may run
// in no zone, on no machine type, on no spot machine and on no leftovers that o may not run on, nor for as short. The scheduler searches
// no host for such a request once it found none for o.
func (r *Request) Exceeds(o *Request) bool {
	return r.Class == o.Class && (!r.MayUseLeftover || o.MayUseLeftover && r.RunSeconds >= o.RunSeconds) &&
		r.ListedBytes >= o.ListedBytes && r.CPUs >= o.CPUs && r.GPUs >= o.GPUs && r.MemoryGB >= o.MemoryGB && (o.Spot || !r.Spot) &&
		(o.Zone < 0 || o.Zone == r.Zone) && (o.Types == nil || slices.Equal(o.Types, r.Types))
}

// cost returns the price of the host while it fetches the image, unless it has the image, and runs the task. Concurrent
// fetches are assumed to share the host's transfer rate. With MinimizeTime the cost is the time, and the price only
// breaks ties.
func (r *Request) cost(h *Host) float64 {
	seconds := max(r.RunSeconds, 1)
	if !h.Images[r.Image] && h.FetchGBPerSecond > 0 {
		seconds += r.ImageGB / h.FetchGBPerSecond * float64(1+h.Pulls)
	}
	if r.MinimizeTime {
		return seconds + h.PricePerHour*1e-6
	}
	return h.PricePerHour * seconds
}

// isBetter reports whether x is preferred to y: it costs less, so that expensive machines become idle, or at equal cost
// has fewer GPUs or CPUs free. The name breaks ties.
func isBetter(x, y *Host, xCost, yCost float64) bool {
	if xCost != yCost {
		return xCost < yCost
	}
	if x.GPUs != y.GPUs {
		return x.GPUs < y.GPUs
	}
	if x.CPUs != y.CPUs {
		return x.CPUs < y.CPUs
	}
	return x.Name < y.Name
}

// Choose scans the hosts from a random one on until it has found sample suitable ones, and returns the best of these;
// nil if none is suitable. Hosts for which skip returns true are not suitable.
func Choose(rng *rand.Rand, hosts []*Host, r *Request, sample int, skip func(*Host) bool) *Host {
	if len(hosts) == 0 {
		return nil
	}
	var best *Host
	lowest := 0.0
	first, seen := rng.IntN(len(hosts)), 0
	for i := 0; i < len(hosts) && seen < sample; i++ {
		h := hosts[(first+i)%len(hosts)]
		if !r.Fits(h) || !r.Allows(h) || skip(h) {
			continue
		}
		seen++
		if cost := r.cost(h); best == nil || isBetter(h, best, cost, lowest) {
			best, lowest = h, cost
		}
	}
	return best
}

// Allocate subtracts what the task requires from the free resources, and counts a fetch if the host lacks its image.
func (h *Host) Allocate(r *Request) {
	if !h.Images[r.Image] {
		h.Pulls++
	}
	h.CPUs -= r.CPUs
	h.GPUs -= r.GPUs
	h.MemoryGB -= r.MemoryGB
	h.ListedBytes -= r.ListedBytes
}

// Release adds to the free resources. Tasks that are stopped are listed until they are forgotten, so that their place in
// the heartbeat is not free yet.
func (h *Host) Release(cpus, gpus, memory float64) {
	h.CPUs += cpus
	h.GPUs += gpus
	h.MemoryGB += memory
}
