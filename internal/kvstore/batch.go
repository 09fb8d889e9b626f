package kvstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// maxQueue bounds the updates that wait; past it they are refused at once.
const maxQueue = 4096

type outcome struct {
	revision uint64
	err      error
}

type queuedUpdate struct {
	Update
	size int
	done chan outcome
}

// batcher merges queued updates that touch different keys into shared
// transactions. When a guard fails, only the updates that carry it get the
// conflict; the others go again.
type batcher struct {
	client     *Client
	maxChanges int
	maxBytes   int
	queue      chan *queuedUpdate
	retries    chan []*queuedUpdate

	mu            sync.Mutex
	arrived       int       // changes since the last look
	waiting       int       // changes that are not sent yet
	urgentWaiting int       // of them those that users wait for
	measuredAt    time.Time // at what was wanted
	arrivalRate   float64   // at which changes came of late
}

// wanted is what came a second of late and what waits.
func (b *batcher) wantedRate(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.measuredAt).Seconds(); passed > 0 {
		b.arrivalRate += (float64(b.arrived)/passed - b.arrivalRate) * min(1, passed)
		b.arrived, b.measuredAt = 0, now
	}
	return b.arrivalRate + float64(b.waiting)
}

// count books changes that came and are still to be sent, or were sent.
func (b *batcher) count(came, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived += came
	b.waiting += waiting
}

func (b *batcher) countUrgent(p *queuedUpdate, sign int) {
	if p.Urgent {
		b.mu.Lock()
		b.urgentWaiting += sign * len(p.Changes)
		b.mu.Unlock()
	}
}

func newBatcher(c *Client, limits settings.KVStore) *batcher {
	// All controllers together may burst one second's worth: a transaction takes
	// no more than this one's share of it.
	return &batcher{client: c, maxChanges: min(limits.ChangesPerTransaction, c.writes.Burst()), maxBytes: 48 << 10,
		queue: make(chan *queuedUpdate, maxQueue), retries: make(chan []*queuedUpdate, 16), measuredAt: time.Now()}
}

func (b *batcher) commit(ctx context.Context, u Update) (uint64, error) {
	p := &queuedUpdate{Update: u, done: make(chan outcome, 1)}
	for _, o := range u.Changes {
		p.size += len(o.Value) + len(o.Set) + len(o.Delete) + 64
	}
	for _, g := range u.Conditions {
		p.size += len(g.Key) + 48
	}
	if len(u.Changes) > b.maxChanges || len(u.Conditions) >= 4*b.maxChanges {
		return 0, fmt.Errorf("%w: update of %d changes", ErrInvalid, len(u.Changes))
	}
	select {
	case b.queue <- p:
		b.count(len(u.Changes), len(u.Changes))
		b.countUrgent(p, 1)
	default:
		return 0, fmt.Errorf("%w: queue full", ErrRefused)
	}
	select {
	case o := <-p.done:
		return o.revision, o.err
	case <-ctx.Done():
		return 0, ErrUnknown
	}
}

// run keeps up to four transactions on their way.
func (b *batcher) run(ctx context.Context) error {
	var urgent, later []*queuedUpdate
	slots := make(chan struct{}, 4)
	for {
		if len(urgent) == 0 {
			var idle <-chan time.Time
			if len(later) > 0 {
				idle = time.After(deferredCheckInterval)
			}
			select {
			case p := <-b.queue:
				urgent, later = enqueue(urgent, later, p)
			case ps := <-b.retries:
				urgent, later = enqueue(urgent, later, ps...)
			case <-idle:
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		urgent, later = b.takeQueued(urgent, later)
		var batch []*queuedUpdate
		if len(urgent) > 0 {
			// No more than there is a rate for now: what is picked keeps what users
			// wait for from going first.
			batch, urgent = b.pickBatch(urgent, min(b.maxChanges, int(b.client.writes.Tokens())))
		} else if b.client.writes.Tokens() >= float64(b.client.writes.Burst())/2 {
			batch, later = b.pickBatch(later, b.maxChanges)
		}
		if len(batch) == 0 {
			<-slots
			continue
		}
		writes := 0
		for _, p := range batch {
			writes += len(p.Changes)
			b.countUrgent(p, -1)
		}
		if b.client.requests.Wait(ctx) != nil || b.client.writes.WaitN(ctx, writes) != nil {
			return nil
		}
		b.count(0, -writes)
		go func() {
			b.send(ctx, batch)
			<-slots
		}()
	}
}

// laterEvery is how often updates that may wait look for changes to spare.
const deferredCheckInterval = 50 * time.Millisecond

// sort puts updates behind those of their kind.
func enqueue(urgent, later []*queuedUpdate, ps ...*queuedUpdate) (u, l []*queuedUpdate) {
	for _, p := range ps {
		switch {
		case p.Deferrable:
			later = append(later, p)
		case p.Urgent:
			at := slices.IndexFunc(urgent, func(q *queuedUpdate) bool { return !q.Urgent })
			if at < 0 {
				at = len(urgent)
			}
			urgent = slices.Insert(urgent, at, p)
		default:
			urgent = append(urgent, p)
		}
	}
	return urgent, later
}

func (b *batcher) takeQueued(urgent, later []*queuedUpdate) (u, l []*queuedUpdate) {
	for len(urgent)+len(later) < maxQueue {
		select {
		case p := <-b.queue:
			urgent, later = enqueue(urgent, later, p)
		case ps := <-b.retries:
			urgent, later = enqueue(urgent, later, ps...)
		default:
			return urgent, later
		}
	}
	return urgent, later
}

// pick takes the updates, oldest first, that fit one transaction of so many changes;
// one at least. No two of them change the same key, and none guards a key that
// another changes.
func (b *batcher) pickBatch(waiting []*queuedUpdate, most int) (batch, rest []*queuedUpdate) {
	changed, guarded := map[string]bool{}, map[string]uint64{}
	ops, guards, size := 0, 0, 0
	for i, p := range waiting {
		fits := ops+len(p.Changes) <= most && guards+len(p.Conditions) < 4*b.maxChanges && size+p.size <= b.maxBytes
		if len(batch) > 0 && !fits {
			return batch, append(rest, waiting[i:]...)
		}
		clash := false
		for _, o := range p.Changes {
			key := o.Set + o.Delete
			_, g := guarded[key]
			clash = clash || changed[key] || g
		}
		for _, g := range p.Conditions {
			v, seen := guarded[g.Key]
			clash = clash || changed[g.Key] || (seen && v != g.Version)
		}
		if clash {
			rest = append(rest, p)
			continue
		}
		for _, o := range p.Changes {
			changed[o.Set+o.Delete] = true
		}
		for _, g := range p.Conditions {
			guarded[g.Key] = g.Version
		}
		ops, guards, size = ops+len(p.Changes), guards+len(p.Conditions), size+p.size
		batch = append(batch, p)
	}
	return batch, rest
}

func (b *batcher) send(ctx context.Context, batch []*queuedUpdate) {
	var t protocol.Txn
	fence, open := b.client.fence.updateCondition()
	if !open {
		for _, p := range batch {
			p.done <- outcome{0, ErrUpdatesHeld}
		}
		return
	}
	if fence.Key != "" {
		t.Conditions = append(t.Conditions, fence)
	}
	seen := map[string]bool{fence.Key: true}
	for _, p := range batch {
		for _, g := range p.Conditions {
			if !seen[g.Key] {
				seen[g.Key] = true
				t.Conditions = append(t.Conditions, g)
			}
		}
		t.Then = append(t.Then, p.Changes...)
	}
	revision, failed, err := b.client.txn(ctx, b.client.calls, t)
	if fence.Key != "" && errors.Is(err, ErrConflict) && slices.Contains(failed, fence.Key) {
		err = ErrUpdatesHeld // not executed, and nothing under this fence will be
		b.client.fence.reportDataLoss("the generation's key is gone")
	}
	var again []*queuedUpdate
	for _, p := range batch {
		o := outcome{revision, err}
		if errors.Is(err, ErrConflict) {
			var keys []string
			for _, g := range p.Conditions {
				if slices.Contains(failed, g.Key) {
					keys = append(keys, g.Key)
				}
			}
			if keys == nil {
				again = append(again, p)
				continue
			}
			o.err = &ConflictError{keys}
		}
		p.done <- o
	}
	if len(again) == len(batch) {
		for _, p := range again { // the answer names none of our guards
			p.done <- outcome{0, ErrInvalid}
		}
		return
	}
	if len(again) > 0 {
		for _, p := range again {
			b.count(0, len(p.Changes))
			b.countUrgent(p, 1)
		}
		select {
		case b.retries <- again:
		case <-ctx.Done():
		}
	}
}
