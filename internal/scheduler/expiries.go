package scheduler

import (
	"container/heap"
	"iter"
	"time"
)

// expiry is the time after which a machine that accepts tasks must be checked again.
type expiry struct {
	at      time.Time
	machine *machine
}

// expiryHeap implements heap.Interface; the earliest expiry comes first.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = expiry{}
	*h = (*h)[:last]
	return x
}

// expiryQueue yields machines once their expiry has passed. A machine may be yielded before its latest expiry.
type expiryQueue struct{ heap expiryHeap }

// add queues a machine. If it is queued for an earlier time already, nothing changes.
func (q *expiryQueue) add(m *machine, at time.Time) {
	if m.expiresAt.IsZero() || at.Before(m.expiresAt) {
		m.expiresAt = at
		heap.Push(&q.heap, expiry{at, m})
	}
}

// takeExpired removes and yields the machines whose expiry has passed.
func (q *expiryQueue) takeExpired(now time.Time) iter.Seq[*machine] {
	return func(yield func(*machine) bool) {
		for len(q.heap) > 0 && now.After(q.heap[0].at) {
			e := heap.Pop(&q.heap).(expiry)
			if !e.at.Equal(e.machine.expiresAt) {
				continue // superseded by an earlier expiry
			}
			e.machine.expiresAt = time.Time{}
			if !yield(e.machine) {
				return
			}
		}
	}
}
