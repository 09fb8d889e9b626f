package kvstore

import (
	"context"
	"sync"

	"topazhollow/internal/protocol"
)

// fence keeps a controller from relying on a store that has lost what it acknowledged. The store counts its changes:
// the answer to a request that was sent after an answer with some revision carries that revision or a later one, or
// the store went back. Updates made for an earlier epoch of the store's data fail on a condition on a key that only the
// present one has.
type fence struct {
	mu         sync.Mutex         // guards what is below
	epoch      uint64             // counts the calls of ForgetRevisions
	highest    uint64             // revision of any answer in this epoch
	held       bool               // all updates are refused
	condition  protocol.Condition // of every update; no key if there is none
	onDataLoss func(reason string)
}

// revisionMark is the highest revision known when a request was sent.
type revisionMark struct{ epoch, highest uint64 }

func (f *fence) mark() revisionMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return revisionMark{f.epoch, f.highest}
}

// observe takes in the revision of an answer.
func (f *fence) observe(at revisionMark, revision uint64) error {
	f.mu.Lock()
	stale, wentBack := at.epoch != f.epoch, revision < at.highest
	if !stale && !wentBack {
		f.highest = max(f.highest, revision)
	}
	f.mu.Unlock()
	switch {
	case stale:
		return ErrUnknown // the request was sent before ForgetRevisions
	case wentBack:
		f.reportDataLoss("revision lower than one seen")
		return ErrRevisionDecreased
	}
	return nil
}

// reportDataLoss calls what OnDataLoss has set, without the lock.
func (f *fence) reportDataLoss(sign string) {
	f.mu.Lock()
	report := f.onDataLoss
	f.mu.Unlock()
	if report != nil {
		report(sign)
	}
}

// updateCondition is the condition that every update carries; open is false while all updates are held back.
func (f *fence) updateCondition() (g protocol.Condition, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.condition, !f.held
}

// OnDataLoss has f called with the reason whenever an answer shows that the store lost data. f must not block.
func (c *Client) OnDataLoss(f func(sign string)) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.onDataLoss = f
}

// HoldUpdates has all updates refused with ErrUpdatesHeld until SetFence, or lets them go again.
func (c *Client) HoldUpdates(on bool) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.held = on
}

// ForgetRevisions forgets the highest revision, so that a store that went back can be read. Answers to requests sent
// before count for nothing.
func (c *Client) ForgetRevisions() {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.epoch++
	c.fence.highest = 0
}

// LastRevision is the highest revision of an answer.
func (c *Client) LastRevision() uint64 { return c.fence.mark().highest }

// SetFence has every update carry a condition, and lets updates go.
func (c *Client) SetFence(g protocol.Condition) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.condition, c.fence.held = g, false
}

// CompareVersions asks whether keys have these versions, and for the revision. It names those that do not, and is not
// paced.
func (c *Client) CompareVersions(
	ctx context.Context, conditions []protocol.Condition,
) (revision uint64, failed []string, err error) {
	return c.CommitControl(ctx, protocol.Txn{Conditions: conditions})
}
