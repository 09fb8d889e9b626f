// Package placement packs tasks into machines: it picks the best fit among a random sample of those with room. It keeps
// no state; the caller's hosts are changed by Take and Release alone.
package placement

import (
	"math/rand/v2"
	"slices"
)

// Host is a machine that may take tasks.
type Host struct {
	Name             string
	Type             int // index of its machine type
	Zone             int // index of its zone
	Spot             bool
	Incarnation      uint64  // of its agent
	CPUs             float64 // free
	GPUs             float64 // free
	MemoryGB         float64 // free
	PricePerHour     float64
	FetchGBPerSecond float64
	Images           map[string]bool
	Pulls            int       // images that it fetches now
	ReservedClass    string    // the only class of jobs that may start there now; "" for any
	SmallestReserved Resources // the least that a waiting task of that class needs; zero if none is known to wait
}

// Resources is an amount of a machine: CPUs, and memory in GB.
type Resources struct{ CPUs, MemoryGB float64 }

// Request is what a task needs.
type Request struct {
	CPUs, GPUs, MemoryGB float64
	Types                []int // indices of the allowed machine types; nil: any
	Zone                 int   // index of the zone; -1: any
	Spot                 bool  // may use spot machines
	Image                string
	ImageGB              float64
	RunSeconds           float64 // that the task probably takes
	MinimizeTime         bool    // time counts, not money
	Class                string  // of the job
	MayUseLeftover       bool    // may use room of reserved machines that is too little for what it is reserved for
}

// roundingTolerance absorbs rounding in sums of amounts.
const roundingTolerance = 1e-6

// Allows says whether a host's type, zone and kind are allowed.
func (a *Request) Allows(h *Host) bool {
	if (h.Spot && !a.Spot) || (a.Zone >= 0 && h.Zone != a.Zone) || !a.allowsReserved(h) {
		return false
	}
	if a.Types == nil {
		return true
	}
	return slices.Contains(a.Types, h.Type)
}

// allowsReserved says whether the task may go to a host although that may be reserved for a class: it is of that class,
// or it may use leftover room and what is free there is too little for any waiting task of that class.
func (a *Request) allowsReserved(h *Host) bool {
	if h.ReservedClass == "" || h.ReservedClass == a.Class {
		return true
	}
	return a.MayUseLeftover && (h.CPUs+roundingTolerance < h.SmallestReserved.CPUs || h.MemoryGB+roundingTolerance < h.SmallestReserved.MemoryGB)
}

// Fits says whether a host has the room.
func (a *Request) Fits(h *Host) bool {
	return h.CPUs+roundingTolerance >= a.CPUs && h.GPUs+roundingTolerance >= a.GPUs && h.MemoryGB+roundingTolerance >= a.MemoryGB
}

// Exceeds says that whatever takes this task would take the other as well.
func (a *Request) Exceeds(o *Request) bool {
	return a.Class == o.Class && (a.MayUseLeftover || !o.MayUseLeftover) &&
		a.CPUs >= o.CPUs && a.GPUs >= o.GPUs && a.MemoryGB >= o.MemoryGB && (o.Spot || !a.Spot) &&
		(o.Zone < 0 || o.Zone == a.Zone) && (o.Types == nil || slices.Equal(o.Types, a.Types))
}

// cost is what the machine costs while it fetches the image and runs the task:
// an image that is there already counts as much as the time that it saves. Images
// fetched at the same time may share the rate. With MinimizeTime the time alone counts.
func (a *Request) cost(h *Host) float64 {
	seconds := max(a.RunSeconds, 1)
	if !h.Images[a.Image] && h.FetchGBPerSecond > 0 {
		seconds += a.ImageGB / h.FetchGBPerSecond * float64(1+h.Pulls)
	}
	if a.MinimizeTime {
		return seconds + h.PricePerHour*1e-6
	}
	return h.PricePerHour * seconds
}

// isBetter says whether x, at its cost, suits a task isBetter than y: it is cheaper, so that expensive ones fall idle, or
// it is left with less room.
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

// Choose looks at hosts in random order until it has seen sample ones that fit,
// and gives the best of these, or nil.
func Choose(rng *rand.Rand, hosts []*Host, a *Request, sample int, skip func(*Host) bool) *Host {
	if len(hosts) == 0 {
		return nil
	}
	var best *Host
	lowest := 0.0
	first, seen := rng.IntN(len(hosts)), 0
	for i := 0; i < len(hosts) && seen < sample; i++ {
		h := hosts[(first+i)%len(hosts)]
		if !a.Fits(h) || !a.Allows(h) || skip(h) {
			continue
		}
		seen++
		if cost := a.cost(h); best == nil || isBetter(h, best, cost, lowest) {
			best, lowest = h, cost
		}
	}
	return best
}

// Allocate books a task on a host, with its image.
func (h *Host) Allocate(a *Request) {
	if !h.Images[a.Image] {
		h.Pulls++
	}
	h.CPUs -= a.CPUs
	h.GPUs -= a.GPUs
	h.MemoryGB -= a.MemoryGB
}

// Release books room of a host as free again.
func (h *Host) Release(cpus, gpus, memory float64) {
	h.CPUs += cpus
	h.GPUs += gpus
	h.MemoryGB += memory
}
