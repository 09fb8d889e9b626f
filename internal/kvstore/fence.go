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
	mu         sync.Mutex
	epoch      uint64 // of what is seen: each begins when all is read anew
	highest    uint64
	held       bool
	condition  protocol.Condition
	onDataLoss func(string)
}

// mark is what was seen when a request was sent.
type revisionMark struct{ epoch, highest uint64 }

func (f *fence) mark() revisionMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return revisionMark{f.epoch, f.highest}
}

func (f *fence) observe(at revisionMark, revision uint64) error {
	f.mu.Lock()
	stale, wentBack := at.epoch != f.epoch, revision < at.highest
	if !stale && !wentBack {
		f.highest = max(f.highest, revision)
	}
	f.mu.Unlock()
	switch {
	case stale:
		return ErrUnknown // of a store that is no longer the one known
	case wentBack:
		f.reportDataLoss("revision lower than one seen")
		return ErrRevisionWentBack
	}
	return nil
}

func (f *fence) reportDataLoss(sign string) {
	f.mu.Lock()
	report := f.onDataLoss
	f.mu.Unlock()
	if report != nil {
		report(sign)
	}
}

// guarded gives the guard that every update carries, or false while all are held back.
func (f *fence) updateCondition() (g protocol.Condition, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.condition, !f.held
}

// OnSign has f told of signs that the service lost data. It must not block.
func (c *Client) OnDataLoss(f func(sign string)) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.onDataLoss = f
}

// Hold refuses all updates until Fence, or lets them go again.
func (c *Client) HoldUpdates(on bool) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.held = on
}

// Anew forgets the revisions seen, to read a service that went back. Answers to requests
// sent before count for nothing.
func (c *Client) ForgetRevisions() {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.epoch++
	c.fence.highest = 0
}

// Seen is the highest revision of an answer.
func (c *Client) LastRevision() uint64 { return c.fence.mark().highest }

// Fence has every update carry a guard, and lets updates go.
func (c *Client) SetFence(g protocol.Condition) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.condition, c.fence.held = g, false
}

// Compare asks whether keys have these versions, and for the revision. It names those that
// don't, and is not paced.
func (c *Client) CompareVersions(ctx context.Context, guards []protocol.Condition) (revision uint64, failed []string, err error) {
	return c.CommitControl(ctx, protocol.Txn{Conditions: guards})
}
