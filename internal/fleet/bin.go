package fleet

import (
	"math"
	"slices"

	"topazhollow/internal/wire"
)

// room is a change of a machine's free room at a time, in seconds from now.
type room struct {
	at              float64
	cpus, gpus, mem float64
}

// bin is a machine's free room over time, there or on its way.
type bin struct {
	pool pool
	free []room // in order of time
}

func newBin(p pool, t *wire.MachineType, at float64) *bin {
	return &bin{pool: p, free: []room{{at, t.CPUs, t.GPUs, t.Memory}}}
}

func (b *bin) add(r room) {
	i, _ := slices.BinarySearchFunc(b.free, r.at, func(x room, at float64) int {
		if x.at <= at {
			return -1
		}
		return 1
	})
	b.free = slices.Insert(b.free, i, r)
}

const slack = 1e-6

// earliest is when the bin has room for a task from then on, or infinity; it
// stops looking at limit.
func (b *bin) earliest(s *wire.Submission, limit float64) float64 {
	cpus, gpus, mem := 0.0, 0.0, 0.0
	start := math.Inf(1)
	for _, r := range b.free {
		cpus, gpus, mem = cpus+r.cpus, gpus+r.gpus, mem+r.mem
		fits := cpus+slack >= s.CPUs && gpus+slack >= s.GPUs && mem+slack >= s.Memory
		switch {
		case !fits:
			start = math.Inf(1)
		case math.IsInf(start, 1):
			start = r.at
		}
		if r.at >= limit && math.IsInf(start, 1) {
			break
		}
	}
	return start
}

// take books a task from start on.
func (b *bin) take(s *wire.Submission, start, run float64) {
	b.add(room{start, -s.CPUs, -s.GPUs, -s.Memory})
	b.add(room{start + run, s.CPUs, s.GPUs, s.Memory})
}
