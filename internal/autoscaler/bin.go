package autoscaler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"strings"

	"topazhollow/internal/protocol"
)

// capacityChange is a change of a machine's free capacity at a time, in seconds from now.
type capacityChange struct {
	at              float64
	cpus, gpus, mem float64
}

// bin is the free capacity over time of a machine that exists or is expected.
type bin struct {
	pool      pool
	totalCPUs float64          // of the empty machine
	changes   []capacityChange // sorted by time

	reservations int // number of reservations made; see queuedBin.reservations
}

// newBin returns an empty machine that becomes available at a time.
func newBin(p pool, t *protocol.MachineType, at float64) *bin {
	return &bin{pool: p, totalCPUs: t.CPUs, changes: []capacityChange{{at, t.CPUs, t.GPUs, t.MemoryGB}}}
}

// presentBin returns a machine with its present room, which does not change.
func (m *Machine) presentBin() *bin {
	return &bin{pool: m.pool(), changes: []capacityChange{{0, m.FreeCPUs, m.FreeGPUs, m.FreeMemory}}}
}

// add inserts a capacity change after those of the same time.
func (b *bin) add(r capacityChange) {
	i, _ := slices.BinarySearchFunc(b.changes, r.at, func(x capacityChange, at float64) int {
		if x.at <= at {
			return -1
		}
		return 1
	})
	b.changes = slices.Insert(b.changes, i, r)
}

// roundingTolerance is the tolerance for rounding errors in sums of resources.
const roundingTolerance = 1e-6

// earliestStart returns the earliest time from which the bin has room for a task permanently, or infinity. It may stop
// searching at limit.
func (b *bin) earliestStart(s *protocol.Submission, limit float64) float64 {
	cpus, gpus, mem := 0.0, 0.0, 0.0
	start := math.Inf(1)
	for _, r := range b.changes {
		cpus, gpus, mem = cpus+r.cpus, gpus+r.gpus, mem+r.mem
		fits := cpus+roundingTolerance >= s.CPUs && gpus+roundingTolerance >= s.GPUs && mem+roundingTolerance >= s.MemoryGB
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

// tasksThatFit returns how many tasks the bin has room for permanently from a time on.
func (b *bin) tasksThatFit(s *protocol.Submission, from float64) int {
	count := protocol.MaxTasks
	cpus, gpus, mem := 0.0, 0.0, 0.0
	for i, r := range b.changes {
		cpus, gpus, mem = cpus+r.cpus, gpus+r.gpus, mem+r.mem
		if i+1 < len(b.changes) && b.changes[i+1].at <= from {
			continue
		}
		if r.at > from && i == 0 {
			return 0 // the machine is not available yet
		}
		count = min(count, s.TasksThatFit(cpus, gpus, mem))
	}
	return count
}

// reserve reserves capacity for tasks that begin at start, as many as fit from then on, but at least one and at most
// limit. It returns their number.
func (b *bin) reserve(s *protocol.Submission, start, run float64, limit int) int {
	count := max(min(b.tasksThatFit(s, start), limit), 1)
	x := float64(count)
	b.reservations++
	b.add(capacityChange{start, -x * s.CPUs, -x * s.GPUs, -x * s.MemoryGB})
	b.add(capacityChange{start + run, x * s.CPUs, x * s.GPUs, x * s.MemoryGB})
	return count
}

// taskShape is what determines on which bins a task fits. Tasks of the same shape fit on the same bins.
type taskShape struct {
	cpus, gpus, mem float64
	spot            bool
	zone, types     string
	spotOnly        bool // considers spot machines only
}

// shapeOf returns the shape of a job's tasks.
func shapeOf(s *protocol.Submission, spotOnly bool) taskShape {
	x := taskShape{cpus: s.CPUs, gpus: s.GPUs, mem: s.MemoryGB, spot: s.Spot, spotOnly: spotOnly}
	if s.Zone != nil {
		x.zone = "=" + *s.Zone
	}
	if s.Types != nil {
		x.types = "=" + strings.Join(s.Types, "\n")
	}
	return x
}

// forecast holds all bins and a queue of them for each task shape. The cost of a search depends on the number of
// shapes, not on the number of jobs and tasks of each shape.
type forecast struct {
	bins   []*bin
	queues map[taskShape]*binQueue
}

// queueFor returns the queue of bins for a job's task shape, or of the spot ones among these, after adding new bins.
func (f *forecast) queueFor(s *protocol.Submission, spotOnly bool) *binQueue {
	x := shapeOf(s, spotOnly)
	q := f.queues[x]
	if q == nil {
		q = &binQueue{spec: s, spotOnly: spotOnly}
		f.queues[x] = q
	}
	fresh := q.scanned == 0
	for ; q.scanned < len(f.bins); q.scanned++ {
		c, ok := q.newQueuedBin(f.bins[q.scanned])
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

// binQueue is a priority queue of the bins that fit tasks of one shape, earliest start first. Reservations only reduce
// the capacity of a bin, so a start computed earlier is a lower bound: only the first bin must be recomputed, if it has
// changed.
type binQueue struct {
	spec     *protocol.Submission // any job of the shape
	spotOnly bool
	bins     []queuedBin
	scanned  int // number of forecast bins that were examined
}

// queuedBin is a bin in a binQueue.
type queuedBin struct {
	start        float64
	order        int // breaks ties between equal starts
	bin          *bin
	reservations int // the bin's reservations when start was computed
}

// newQueuedBin returns a queue entry for a bin. ok is false if the bin can never run a task of the shape.
func (q *binQueue) newQueuedBin(b *bin) (queuedBin, bool) {
	if !allowed(q.spec, b.pool.Type, b.pool.Zone, b.pool.Spot) || q.spotOnly && !b.pool.Spot {
		return queuedBin{}, false
	}
	start := b.earliestStart(q.spec, math.Inf(1))
	return queuedBin{start, q.scanned, b, b.reservations}, !math.IsInf(start, 1)
}

// earliestStart returns when the next task can start, or infinity.
func (q *binQueue) earliestStart() float64 {
	for len(q.bins) > 0 {
		c := &q.bins[0]
		if c.reservations == c.bin.reservations {
			return c.start
		}
		c.start, c.reservations = c.bin.earliestStart(q.spec, math.Inf(1)), c.bin.reservations
		if math.IsInf(c.start, 1) {
			heap.Pop(q)
		} else {
			heap.Fix(q, 0)
		}
	}
	return math.Inf(1)
}

// reserve reserves capacity for up to limit tasks in the first bin and returns their number. It must be called after
// earliestStart.
func (q *binQueue) reserve(run float64, limit int) int {
	c := &q.bins[0]
	return c.bin.reserve(q.spec, c.start, run, limit)
}

func (q *binQueue) Len() int { return len(q.bins) }

func (q *binQueue) Less(i, j int) bool {
	a, b := q.bins[i], q.bins[j]
	return cmp.Or(cmp.Compare(a.start, b.start), a.order-b.order) < 0
}

func (q *binQueue) Swap(i, j int) { q.bins[i], q.bins[j] = q.bins[j], q.bins[i] }

// Push and Pop implement heap.Interface; callers use package heap instead.
func (q *binQueue) Push(x any) { q.bins = append(q.bins, x.(queuedBin)) }

func (q *binQueue) Pop() any {
	last := q.bins[len(q.bins)-1]
	q.bins = q.bins[:len(q.bins)-1]
	return last
}
