package kvstore

import (
	"context"
	"sync"

	"topazhollow/internal/protocol"
)

// fence detects a store that has lost acknowledged data, and keeps updates away from it. A store's revision never
// decreases unless it loses data, so a request must be answered with at least the highest revision seen before it was
// sent. Updates made for an earlier epoch of the store's data fail on a condition on a key that exists only in the
// present epoch.
type fence struct {
	mu         sync.Mutex         // guards what is below
	resets     uint64             // number of calls of ForgetRevisions
	highest    uint64             // highest revision of any answer since the last of these calls
	held       bool               // all updates are refused
	condition  protocol.Condition // carried by every update; Key is empty if there is none
	onDataLoss func(reason string)
}

// revisionMark is the highest revision known when a request was sent.
type revisionMark struct{ resets, highest uint64 }

// mark returns the present mark, to be taken before a request is sent.
func (f *fence) mark() revisionMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return revisionMark{f.resets, f.highest}
}

// observe checks the revision of an answer against the mark taken before its request, and records it.
func (f *fence) observe(at revisionMark, revision uint64) error {
	f.mu.Lock()
	stale, decreased := at.resets != f.resets, revision < at.highest
	if !stale && !decreased {
		f.highest = max(f.highest, revision)
	}
	f.mu.Unlock()
	switch {
	case stale:
		return ErrUnknown // the request was sent before ForgetRevisions
	case decreased:
		f.reportDataLoss("revision lower than one seen")
		return ErrRevisionDecreased
	}
	return nil
}

// reportDataLoss calls the function set by OnDataLoss, without holding the lock.
func (f *fence) reportDataLoss(reason string) {
	f.mu.Lock()
	report := f.onDataLoss
	f.mu.Unlock()
	if report != nil {
		report(reason)
	}
}

// updateCondition returns the condition that every update carries. open is false while updates are held.
func (f *fence) updateCondition() (condition protocol.Condition, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.condition, !f.held
}

// OnDataLoss sets a function that is called whenever an answer shows that the store lost data. f must not block.
func (c *Client) OnDataLoss(f func(reason string)) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.onDataLoss = f
}

// HoldUpdates sets whether all updates are refused with ErrUpdatesHeld. SetFence ends the refusal too.
func (c *Client) HoldUpdates(on bool) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.held = on
}

// ForgetRevisions resets the highest revision, so that a store whose revision has decreased can be read. Answers to
// requests sent before the call fail with ErrUnknown.
func (c *Client) ForgetRevisions() {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.resets++
	c.fence.highest = 0
}

// LastRevision returns the highest revision of any answer since the last ForgetRevisions.
func (c *Client) LastRevision() uint64 { return c.fence.mark().highest }

// SetFence sets the condition that every update carries, and stops holding updates.
func (c *Client) SetFence(condition protocol.Condition) {
	c.fence.mu.Lock()
	defer c.fence.mu.Unlock()
	c.fence.condition, c.fence.held = condition, false
}

// CompareVersions checks whether keys have the given versions. It returns the store's revision, or with ErrConflict the
// keys that have other versions. The rate limit does not apply.
func (c *Client) CompareVersions(
	ctx context.Context, conditions []protocol.Condition,
) (revision uint64, failed []string, err error) {
	return c.CommitControl(ctx, protocol.Txn{Conditions: conditions})
}
