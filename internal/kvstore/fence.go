package kvstore

import (
	"context"
	"sync"

	"topazhollow/internal/protocol"
)

// fence keeps a controller from relying on a state service that has lost what it
// acknowledged. The service counts its changes: an answer to a request that was sent
// after a revision was seen tells that revision or a later one, or the service went back.
// Changes made under an earlier generation meet a guard on a key that only the present
// one has.
type fence struct {
	mu    sync.Mutex
	epoch uint64 // of what is seen: each begins when all is read anew
	seen  uint64
	held  bool
	guard protocol.Condition
	sign  func(string)
}

// mark is what was seen when a request was sent.
type mark struct{ epoch, seen uint64 }

func (f *fence) mark() mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return mark{f.epoch, f.seen}
}

func (f *fence) observe(at mark, revision uint64) error {
	f.mu.Lock()
	stale, back := at.epoch != f.epoch, revision < at.seen
	if !stale && !back {
		f.seen = max(f.seen, revision)
	}
	f.mu.Unlock()
	switch {
	case stale:
		return ErrUnknown // of a store that is no longer the one known
	case back:
		f.told("revision lower than one seen")
		return ErrBack
	}
	return nil
}

func (f *fence) told(sign string) {
	f.mu.Lock()
	hear := f.sign
	f.mu.Unlock()
	if hear != nil {
		hear(sign)
	}
}

// guarded gives the guard that every update carries, or false while all are held back.
func (f *fence) guarded() (g protocol.Condition, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.guard, !f.held
}

// OnSign has f told of signs that the service lost data. It must not block.
func (c *Client) OnSign(f func(sign string)) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.sign = f
}

// Hold refuses all updates until Fence, or lets them go again.
func (c *Client) Hold(on bool) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.held = on
}

// Anew forgets the revisions seen, to read a service that went back. Answers to requests
// sent before count for nothing.
func (c *Client) Anew() {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.epoch++
	c.fence.seen = 0
}

// Seen is the highest revision of an answer.
func (c *Client) Seen() uint64 { return c.fence.mark().seen }

// Fence has every update carry a guard, and lets updates go.
func (c *Client) Fence(g protocol.Condition) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.guard, c.fence.held = g, false
}

// Compare asks whether keys have these versions, and for the revision. It names those that
// don't, and is not paced.
func (c *Client) Compare(ctx context.Context, guards []protocol.Condition) (revision uint64, failed []string, err error) {
	return c.TxnControl(ctx, protocol.Txn{Conditions: guards})
}
