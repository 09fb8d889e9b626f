package autoscaler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"strings"

	"topazhollow/internal/protocol"
)

// roomChange is a change of a machine's free room at a time, in seconds from now.
type roomChange struct {
	at              float64
	cpus, gpus, mem float64
}

// bin is a machine's free room over time, there or on its way.
type bin struct {
	pool      pool
	totalCPUs float64      // CPUs
	changes   []roomChange // in order of time

	taken int // how often tasks were booked
}

func newBin(p pool, t *protocol.MachineType, at float64) *bin {
	return &bin{pool: p, totalCPUs: t.CPUs, changes: []roomChange{{at, t.CPUs, t.GPUs, t.MemoryGB}}}
}

func (b *bin) add(r roomChange) {
	i, _ := slices.BinarySearchFunc(b.changes, r.at, func(x roomChange, at float64) int {
		if x.at <= at {
			return -1
		}
		return 1
	})
	b.changes = slices.Insert(b.changes, i, r)
}

const slack = 1e-6

// earliest is when the bin has room for a task from then on, or infinity; it
// stops looking at limit.
func (b *bin) earliest(s *protocol.Submission, limit float64) float64 {
	cpus, gpus, mem := 0.0, 0.0, 0.0
	start := math.Inf(1)
	for _, r := range b.changes {
		cpus, gpus, mem = cpus+r.cpus, gpus+r.gpus, mem+r.mem
		fits := cpus+slack >= s.CPUs && gpus+slack >= s.GPUs && mem+slack >= s.MemoryGB
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

// fits is how many tasks there is room for from a time on, for good.
func (b *bin) fits(s *protocol.Submission, from float64) int {
	count := protocol.MaxTasks
	cpus, gpus, mem := 0.0, 0.0, 0.0
	for i, r := range b.changes {
		cpus, gpus, mem = cpus+r.cpus, gpus+r.gpus, mem+r.mem
		if i+1 < len(b.changes) && b.changes[i+1].at <= from {
			continue
		}
		if r.at > from && i == 0 {
			return 0 // not there yet
		}
		count = min(count, s.TasksThatFit(cpus, gpus, mem))
	}
	return count
}

// take records tasks from start on, as many as there is room for from then on, one at
// least and most at most, and says how many.
func (b *bin) take(s *protocol.Submission, start, run float64, most int) int {
	count := max(min(b.fits(s, start), most), 1)
	x := float64(count)
	b.taken++
	b.add(roomChange{start, -x * s.CPUs, -x * s.GPUs, -x * s.MemoryGB})
	b.add(roomChange{start + run, x * s.CPUs, x * s.GPUs, x * s.MemoryGB})
	return count
}

// shape is what a task asks of a machine: tasks of one shape find the same places.
type shape struct {
	cpus, gpus, mem float64
	spot            bool
	zone, types     string
	spotOnly        bool // on spot machines alone
}

func shapeOf(s *protocol.Submission, cheap bool) shape {
	x := shape{cpus: s.CPUs, gpus: s.GPUs, mem: s.MemoryGB, spot: s.Spot, spotOnly: cheap}
	if s.Zone != nil {
		x.zone = "=" + *s.Zone
	}
	if s.Types != nil {
		x.types = "=" + strings.Join(s.Types, "\n")
	}
	return x
}

// layout is all bins, with a line of them for each shape of what is placed in the forecast: a look costs
// by the number of shapes, however many jobs and tasks there are of each.
type layout struct {
	bins  []*bin
	lines map[shape]*line
}

// line finds the bins that may take tasks of a job's shape, or the spot ones of these.
func (l *layout) line(s *protocol.Submission, cheap bool) *line {
	x := shapeOf(s, cheap)
	q := l.lines[x]
	if q == nil {
		q = &line{spec: s, spotOnly: cheap}
		l.lines[x] = q
	}
	fresh := q.known == 0
	for ; q.known < len(l.bins); q.known++ {
		c, ok := q.candidate(l.bins[q.known])
		switch {
		case !ok:
		case fresh:
			q.bins = append(q.bins, c)
		default:
			heap.Push(q, c)
		}
	}
	if fresh {
		heap.Init(q)
	}
	return q
}

// line is the bins that may take tasks of one shape, soonest first. Room is only ever taken
// from a bin, so that the start that was found before is the least that it can be: only the
// bin in front has to be looked at again, if it changed.
type line struct {
	spec     *protocol.Submission // any of the shape
	spotOnly bool
	bins     []candidate
	known    int // bins of the layout that were looked at
}

type candidate struct {
	start float64
	order int // of the bins, for what starts at the same time
	bin   *bin
	taken int // of the bin when start was found
}

func (l *line) candidate(b *bin) (candidate, bool) {
	if !allowed(l.spec, b.pool.Type, b.pool.Zone, b.pool.Spot) || l.spotOnly && !b.pool.Spot {
		return candidate{}, false
	}
	start := b.earliest(l.spec, math.Inf(1))
	return candidate{start, l.known, b, b.taken}, !math.IsInf(start, 1)
}

// soonest is when the next task can start, or infinity.
func (l *line) soonest() float64 {
	for len(l.bins) > 0 {
		c := &l.bins[0]
		if c.taken == c.bin.taken {
			return c.start
		}
		c.start, c.taken = c.bin.earliest(l.spec, math.Inf(1)), c.bin.taken
		if math.IsInf(c.start, 1) {
			heap.Pop(l)
		} else {
			heap.Fix(l, 0)
		}
	}
	return math.Inf(1)
}

// take records the next tasks of a job, at most so many, in the bin that has room soonest, as
// soonest has just found it, and says how many these are.
func (l *line) take(run float64, most int) int {
	c := &l.bins[0]
	return c.bin.take(l.spec, c.start, run, most)
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
