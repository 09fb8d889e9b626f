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

type pending struct {
	Update
	size int
	done chan outcome
}

// batcher merges queued updates that touch different keys into shared
// transactions. When a guard fails, only the updates that carry it get the
// conflict; the others go again.
type batcher struct {
	c     *Client
	ops   int
	bytes int
	queue chan *pending
	back  chan []*pending

	mu      sync.Mutex
	came    int       // changes since the last look
	waiting int       // changes that are not sent yet
	soon    int       // of them those that users wait for
	looked  time.Time // at what was wanted
	rate    float64   // at which changes came of late
}

// wanted is what came a second of late and what waits.
func (b *batcher) wanted(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.looked).Seconds(); passed > 0 {
		b.rate += (float64(b.came)/passed - b.rate) * min(1, passed)
		b.came, b.looked = 0, now
	}
	return b.rate + float64(b.waiting)
}

// count books changes that came and are still to be sent, or were sent.
func (b *batcher) count(came, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.came += came
	b.waiting += waiting
}

func (b *batcher) countSoon(p *pending, sign int) {
	if p.Soon {
		b.mu.Lock()
		b.soon += sign * len(p.Ops)
		b.mu.Unlock()
	}
}

func newBatcher(c *Client, limits settings.KVStore) *batcher {
	// All controllers together may burst one second's worth: a transaction takes
	// no more than this one's share of it.
	return &batcher{c: c, ops: min(limits.ChangesPerTransaction, c.writes.Burst()), bytes: 48 << 10,
		queue: make(chan *pending, maxQueue), back: make(chan []*pending, 16), looked: time.Now()}
}

func (b *batcher) commit(ctx context.Context, u Update) (uint64, error) {
	p := &pending{Update: u, done: make(chan outcome, 1)}
	for _, o := range u.Ops {
		p.size += len(o.Value) + len(o.Set) + len(o.Delete) + 64
	}
	for _, g := range u.Guards {
		p.size += len(g.Key) + 48
	}
	if len(u.Ops) > b.ops || len(u.Guards) >= 4*b.ops {
		return 0, fmt.Errorf("%w: update of %d changes", ErrInvalid, len(u.Ops))
	}
	select {
	case b.queue <- p:
		b.count(len(u.Ops), len(u.Ops))
		b.countSoon(p, 1)
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
	var urgent, later []*pending
	slots := make(chan struct{}, 4)
	for {
		if len(urgent) == 0 {
			var idle <-chan time.Time
			if len(later) > 0 {
				idle = time.After(laterEvery)
			}
			select {
			case p := <-b.queue:
				urgent, later = sort(urgent, later, p)
			case ps := <-b.back:
				urgent, later = sort(urgent, later, ps...)
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
		urgent, later = b.drain(urgent, later)
		var batch []*pending
		if len(urgent) > 0 {
			// No more than there is a rate for now: what is picked keeps what users
			// wait for from going first.
			batch, urgent = b.pick(urgent, min(b.ops, int(b.c.writes.Tokens())))
		} else if b.c.writes.Tokens() >= float64(b.c.writes.Burst())/2 {
			batch, later = b.pick(later, b.ops)
		}
		if len(batch) == 0 {
			<-slots
			continue
		}
		writes := 0
		for _, p := range batch {
			writes += len(p.Ops)
			b.countSoon(p, -1)
		}
		if b.c.requests.Wait(ctx) != nil || b.c.writes.WaitN(ctx, writes) != nil {
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
const laterEvery = 50 * time.Millisecond

// sort puts updates behind those of their kind.
func sort(urgent, later []*pending, ps ...*pending) (u, l []*pending) {
	for _, p := range ps {
		switch {
		case p.Later:
			later = append(later, p)
		case p.Soon:
			at := slices.IndexFunc(urgent, func(q *pending) bool { return !q.Soon })
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

func (b *batcher) drain(urgent, later []*pending) (u, l []*pending) {
	for len(urgent)+len(later) < maxQueue {
		select {
		case p := <-b.queue:
			urgent, later = sort(urgent, later, p)
		case ps := <-b.back:
			urgent, later = sort(urgent, later, ps...)
		default:
			return urgent, later
		}
	}
	return urgent, later
}

// pick takes the updates, oldest first, that fit one transaction of so many changes;
// one at least. No two of them change the same key, and none guards a key that
// another changes.
func (b *batcher) pick(waiting []*pending, most int) (batch, rest []*pending) {
	changed, guarded := map[string]bool{}, map[string]uint64{}
	ops, guards, size := 0, 0, 0
	for i, p := range waiting {
		fits := ops+len(p.Ops) <= most && guards+len(p.Guards) < 4*b.ops && size+p.size <= b.bytes
		if len(batch) > 0 && !fits {
			return batch, append(rest, waiting[i:]...)
		}
		clash := false
		for _, o := range p.Ops {
			key := o.Set + o.Delete
			_, g := guarded[key]
			clash = clash || changed[key] || g
		}
		for _, g := range p.Guards {
			v, seen := guarded[g.Key]
			clash = clash || changed[g.Key] || (seen && v != g.Version)
		}
		if clash {
			rest = append(rest, p)
			continue
		}
		for _, o := range p.Ops {
			changed[o.Set+o.Delete] = true
		}
		for _, g := range p.Guards {
			guarded[g.Key] = g.Version
		}
		ops, guards, size = ops+len(p.Ops), guards+len(p.Guards), size+p.size
		batch = append(batch, p)
	}
	return batch, rest
}

func (b *batcher) send(ctx context.Context, batch []*pending) {
	var t protocol.Txn
	fence, open := b.c.fence.guarded()
	if !open {
		for _, p := range batch {
			p.done <- outcome{0, ErrHeld}
		}
		return
	}
	if fence.Key != "" {
		t.Conditions = append(t.Conditions, fence)
	}
	seen := map[string]bool{fence.Key: true}
	for _, p := range batch {
		for _, g := range p.Guards {
			if !seen[g.Key] {
				seen[g.Key] = true
				t.Conditions = append(t.Conditions, g)
			}
		}
		t.Then = append(t.Then, p.Ops...)
	}
	revision, failed, err := b.c.txn(ctx, b.c.calls, t)
	if fence.Key != "" && errors.Is(err, ErrConflict) && slices.Contains(failed, fence.Key) {
		err = ErrHeld // not executed, and nothing under this fence will be
		b.c.fence.told("the generation's key is gone")
	}
	var again []*pending
	for _, p := range batch {
		o := outcome{revision, err}
		if errors.Is(err, ErrConflict) {
			var keys []string
			for _, g := range p.Guards {
				if slices.Contains(failed, g.Key) {
					keys = append(keys, g.Key)
				}
			}
			if keys == nil {
				again = append(again, p)
				continue
			}
			o.err = &Conflict{keys}
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
			b.count(0, len(p.Ops))
			b.countSoon(p, 1)
		}
		select {
		case b.back <- again:
		case <-ctx.Done():
		}
	}
}
