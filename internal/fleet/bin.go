package fleet

import (
	"cmp"
	"container/heap"
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
	all  float64 // CPUs
	free []room  // in order of time
}

func newBin(p pool, t *wire.MachineType, at float64) *bin {
	return &bin{pool: p, all: t.CPUs, free: []room{{at, t.CPUs, t.GPUs, t.Memory}}}
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

// take books tasks from start on, as many as there is room for from then on, one at
// least and most at most, and says how many.
func (b *bin) take(s *wire.Submission, start, run float64, most int) int {
	count := float64(most)
	cpus, gpus, mem := 0.0, 0.0, 0.0
	for i, r := range b.free {
		cpus, gpus, mem = cpus+r.cpus, gpus+r.gpus, mem+r.mem
		if i+1 < len(b.free) && b.free[i+1].at <= start {
			continue
		}
		for _, x := range [][2]float64{{cpus, s.CPUs}, {gpus, s.GPUs}, {mem, s.Memory}} {
			if x[1] > 0 {
				count = min(count, math.Floor((x[0]+slack)/x[1]))
			}
		}
	}
	count = max(count, 1)
	b.add(room{start, -count * s.CPUs, -count * s.GPUs, -count * s.Memory})
	b.add(room{start + run, count * s.CPUs, count * s.GPUs, count * s.Memory})
	return int(count)
}

// line is the bins that may take a job's tasks, soonest first. The tasks are
// alike, so only the bin that took some is looked at again.
type line struct {
	spec *wire.Submission
	bins []candidate
}

type candidate struct {
	start float64
	order int
	bin   *bin
}

func queueFor(s *wire.Submission, bins []*bin) *line {
	l := &line{spec: s}
	for i, b := range bins {
		if !allowed(s, b.pool.Type, b.pool.Zone, b.pool.Spot) {
			continue
		}
		if start := b.earliest(s, math.Inf(1)); !math.IsInf(start, 1) {
			l.bins = append(l.bins, candidate{start, i, b})
		}
	}
	heap.Init(l)
	return l
}

// soonest is when the next task can start, or infinity.
func (l *line) soonest() float64 {
	if len(l.bins) == 0 {
		return math.Inf(1)
	}
	return l.bins[0].start
}

// take books the next tasks, at most so many, in the bin that has room soonest, and
// says how many these are.
func (l *line) take(run float64, most int) int {
	c := &l.bins[0]
	count := c.bin.take(l.spec, c.start, run, most)
	if c.start = c.bin.earliest(l.spec, math.Inf(1)); math.IsInf(c.start, 1) {
		heap.Pop(l)
	} else {
		heap.Fix(l, 0)
	}
	return count
}

// add takes in a further bin.
func (l *line) add(b *bin) {
	if start := b.earliest(l.spec, math.Inf(1)); !math.IsInf(start, 1) {
		heap.Push(l, candidate{start, math.MaxInt, b})
	}
}

func (l *line) Len() int { return len(l.bins) }

func (l *line) Less(i, j int) bool {
	a, b := l.bins[i], l.bins[j]
	return cmp.Or(cmp.Compare(a.start, b.start), a.order-b.order) < 0
}

func (l *line) Swap(i, j int) { l.bins[i], l.bins[j] = l.bins[j], l.bins[i] }

// Push and Pop are for package heap alone.
func (l *line) Push(x any) { l.bins = append(l.bins, x.(candidate)) }

func (l *line) Pop() any {
	last := l.bins[len(l.bins)-1]
	l.bins = l.bins[:len(l.bins)-1]
	return last
}
