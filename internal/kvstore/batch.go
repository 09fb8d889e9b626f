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

// Bounds of the batcher.
const (
	maxQueue               = 4096     // waiting updates; further ones are refused
	maxTransactionBytes    = 48 << 10 // keys and values of one transaction
	maxConditionsPerChange = 4        // ratio of the limits on a transaction's conditions and changes
	maxRetryBatches        = 16       // batches waiting to be requeued

	// Encoding overhead of a change and a condition, in bytes.
	changeOverhead    = 64
	conditionOverhead = 48
)

// outcome is the result of an update.
type outcome struct {
	revision uint64
	err      error
}

// queuedUpdate is an update with its encoded size in bytes and the channel on which its caller waits.
type queuedUpdate struct {
	Update
	size  int
	alone bool // it was refused in a transaction with others, and is sent by itself
	done  chan outcome
}

// batcher implements group commit: it merges queued updates that touch different keys into shared transactions. If a
// condition fails, only the updates with that condition get the conflict; the others are queued again.
type batcher struct {
	client     *Client
	maxChanges int
	maxBytes   int
	queue      chan *queuedUpdate
	retries    chan []*queuedUpdate

	mu            sync.Mutex // guards what is below
	arrived       int        // changes since measuredAt
	waiting       int        // changes that are not sent yet
	urgentWaiting int        // waiting changes of urgent updates
	measuredAt    time.Time  // when arrivalRate was last updated
	arrivalRate   float64    // changes per second, as a moving average
}

// demandRate returns the recent arrival rate plus the waiting changes, as if they were sent within one second, in
// changes per second.
func (b *batcher) demandRate(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.measuredAt).Seconds(); passed > 0 {
		b.arrivalRate += (float64(b.arrived)/passed - b.arrivalRate) * min(1, passed)
		b.arrived, b.measuredAt = 0, now
	}
	return b.arrivalRate + float64(b.waiting)
}

// count adds to the numbers of arrived and waiting changes.
func (b *batcher) count(arrived, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived += arrived
	b.waiting += waiting
}

// countUrgent counts the changes of an urgent update; sign is 1 when it is queued and -1 when it is sent.
func (b *batcher) countUrgent(u *queuedUpdate, sign int) {
	if u.Urgent {
		b.mu.Lock()
		b.urgentWaiting += sign * len(u.Changes)
		b.mu.Unlock()
	}
}

func newBatcher(c *Client, limits settings.KVStore) *batcher {
	// All controllers together may burst one second's worth of changes, so a transaction has at most this controller's
	// share of that.
	return &batcher{
		client:     c,
		maxChanges: min(limits.ChangesPerTransaction, c.writes.Burst()),
		maxBytes:   maxTransactionBytes,
		queue:      make(chan *queuedUpdate, maxQueue),
		retries:    make(chan []*queuedUpdate, maxRetryBatches),
		measuredAt: time.Now(),
	}
}

// commit implements Client.Commit.
func (b *batcher) commit(ctx context.Context, u Update) (uint64, error) {
	queued := &queuedUpdate{Update: u, done: make(chan outcome, 1)}
	for _, o := range u.Changes {
		queued.size += len(o.Value) + len(o.Set) + len(o.Delete) + changeOverhead
	}
	for _, c := range u.Conditions {
		queued.size += len(c.Key) + conditionOverhead
	}
	if len(u.Changes) > b.maxChanges || len(u.Conditions) >= maxConditionsPerChange*b.maxChanges {
		return 0, fmt.Errorf("%w: update with %d changes and %d conditions does not fit into a transaction", ErrTooLarge, len(u.Changes), len(u.Conditions))
	}
	select {
	case b.queue <- queued:
		b.count(len(u.Changes), len(u.Changes))
		b.countUrgent(queued, 1)
	default:
		return 0, fmt.Errorf("%w: queue full", ErrRefused)
	}
	select {
	case o := <-queued.done:
		return o.revision, o.err
	case <-ctx.Done():
		return 0, ErrUnknown
	}
}

// maxInFlight is the maximum number of concurrent transactions.
const maxInFlight = 4

// deferredCheckInterval is how often the batcher checks whether the rate has changes to spare for deferrable updates.
const deferredCheckInterval = 50 * time.Millisecond

// run sends queued updates until the context ends.
func (b *batcher) run(ctx context.Context) error {
	var waiting queues
	slots := make(chan struct{}, maxInFlight)
	for {
		if !b.awaitUpdates(ctx, &waiting) {
			return nil
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		b.takeQueued(&waiting)
		batch := b.nextBatch(&waiting)
		if len(batch) == 0 {
			<-slots
			continue
		}
		if !b.awaitRates(ctx, batch) {
			return nil
		}
		go func() {
			b.send(ctx, batch)
			<-slots
		}()
	}
}

// queues holds the waiting updates. normal has the urgent ones first; otherwise updates are in order of arrival.
type queues struct{ normal, deferrable []*queuedUpdate }

// add inserts each update behind the others of its kind.
func (q *queues) add(updates ...*queuedUpdate) {
	for _, u := range updates {
		switch {
		case u.Deferrable:
			q.deferrable = append(q.deferrable, u)
		case u.Urgent:
			at := slices.IndexFunc(q.normal, func(other *queuedUpdate) bool { return !other.Urgent })
			if at < 0 {
				at = len(q.normal)
			}
			q.normal = slices.Insert(q.normal, at, u)
		default:
			q.normal = append(q.normal, u)
		}
	}
}

// awaitUpdates waits until there are updates to send, or until the next check for deferrable updates is due. It returns
// false if the context has ended.
func (b *batcher) awaitUpdates(ctx context.Context, waiting *queues) bool {
	if len(waiting.normal) > 0 {
		return true
	}
	var check <-chan time.Time
	if len(waiting.deferrable) > 0 {
		check = time.After(deferredCheckInterval)
	}
	select {
	case u := <-b.queue:
		waiting.add(u)
	case us := <-b.retries:
		waiting.add(us...)
	case <-check:
	case <-ctx.Done():
		return false
	}
	return true
}

// takeQueued moves queued updates to waiting, without blocking.
func (b *batcher) takeQueued(waiting *queues) {
	for len(waiting.normal)+len(waiting.deferrable) < maxQueue {
		select {
		case u := <-b.queue:
			waiting.add(u)
		case us := <-b.retries:
			waiting.add(us...)
		default:
			return
		}
	}
}

// nextBatch picks the updates of the next transaction. It picks none if only deferrable updates wait and the rate has
// no changes to spare.
func (b *batcher) nextBatch(waiting *queues) (batch []*queuedUpdate) {
	writes := b.client.writes
	if len(waiting.normal) > 0 {
		// Pick no more than the rate allows now: a picked batch that waits for the rate would delay urgent updates that
		// arrive later.
		batch, waiting.normal = b.pickBatch(waiting.normal, min(b.maxChanges, int(writes.Tokens())))
	} else if writes.Tokens() >= float64(writes.Burst())/2 {
		batch, waiting.deferrable = b.pickBatch(waiting.deferrable, b.maxChanges)
	}
	return batch
}

// awaitRates waits until the rates allow a batch to be sent. It returns false if the context has ended.
func (b *batcher) awaitRates(ctx context.Context, batch []*queuedUpdate) bool {
	changes := 0
	for _, u := range batch {
		changes += len(u.Changes)
		b.countUrgent(u, -1)
	}
	if b.client.requests.Wait(ctx) != nil || b.client.writes.WaitN(ctx, changes) != nil {
		return false
	}
	b.count(0, -changes)
	return true
}

// pickBatch picks updates in order that fit into one transaction of up to maxChanges changes, but at least one. No two
// of them change the same key, and none has a condition on a key that another changes.
func (b *batcher) pickBatch(waiting []*queuedUpdate, maxChanges int) (batch, rest []*queuedUpdate) {
	picked := keySet{changed: map[string]bool{}, compared: map[string]uint64{}}
	changes, conditions, size := 0, 0, 0
	for i, u := range waiting {
		fits := changes+len(u.Changes) <= maxChanges &&
			conditions+len(u.Conditions) < maxConditionsPerChange*b.maxChanges &&
			size+u.size <= b.maxBytes
		if len(batch) > 0 && (!fits || u.alone) {
			return batch, append(rest, waiting[i:]...)
		}
		if picked.conflictsWith(u) {
			rest = append(rest, u)
			continue
		}
		picked.add(u)
		changes, conditions, size = changes+len(u.Changes), conditions+len(u.Conditions), size+u.size
		batch = append(batch, u)
		if u.alone {
			return batch, append(rest, waiting[i+1:]...)
		}
	}
	return batch, rest
}

// keySet holds the keys that a transaction changes and compares.
type keySet struct {
	changed  map[string]bool
	compared map[string]uint64 // version by key
}

// conflictsWith reports whether an update cannot share the transaction.
func (k *keySet) conflictsWith(u *queuedUpdate) bool {
	for _, change := range u.Changes {
		key := change.Set + change.Delete
		if _, compared := k.compared[key]; compared || k.changed[key] {
			return true
		}
	}
	for _, c := range u.Conditions {
		version, compared := k.compared[c.Key]
		if k.changed[c.Key] || (compared && version != c.Version) {
			return true
		}
	}
	return false
}

func (k *keySet) add(u *queuedUpdate) {
	for _, change := range u.Changes {
		k.changed[change.Set+change.Delete] = true
	}
	for _, c := range u.Conditions {
		k.compared[c.Key] = c.Version
	}
}

// send commits a batch and sends each update its outcome. If the transaction fails on conditions, the updates whose own
// conditions held are queued again.
func (b *batcher) send(ctx context.Context, batch []*queuedUpdate) {
	fence, open := b.client.fence.updateCondition()
	if !open {
		answerAll(batch, outcome{0, ErrUpdatesHeld})
		return
	}
	sentAt := time.Now()
	revision, failed, err := b.client.txn(ctx, b.client.calls, transactionOf(batch, fence))
	b.adaptRate(sentAt, err)
	if errors.Is(err, ErrTooLarge) && len(batch) > 1 {
		for _, u := range batch {
			u.alone = true
		}
		b.requeue(ctx, batch)
		return
	}
	if fence.Key != "" && errors.Is(err, ErrConflict) && slices.Contains(failed, fence.Key) {
		err = ErrUpdatesHeld // not executed, and no update with this fence will be
		b.client.fence.reportDataLoss("the generation's key is gone")
	}
	var retry []*queuedUpdate
	for _, u := range batch {
		result := outcome{revision, err}
		if errors.Is(err, ErrConflict) {
			keys := u.failedKeys(failed)
			if keys == nil {
				retry = append(retry, u)
				continue
			}
			result.err = &ConflictError{keys}
		}
		u.done <- result
	}
	if len(retry) == len(batch) {
		answerAll(retry, outcome{0, ErrInvalid}) // the answer names no condition of the batch
		return
	}
	b.requeue(ctx, retry)
}

// adaptRate adapts the rate of changes to the outcome of a transaction.
func (b *batcher) adaptRate(sentAt time.Time, err error) {
	switch {
	case errors.Is(err, errRateExceeded):
		b.client.throttle.refused(sentAt, time.Now())
	case err == nil:
		b.client.throttle.accepted(time.Now())
	}
}

// answerAll sends all updates the same outcome.
func answerAll(updates []*queuedUpdate, result outcome) {
	for _, u := range updates {
		u.done <- result
	}
}

// transactionOf merges updates into a transaction with each condition once. The fence, if there is one, is the first.
func transactionOf(batch []*queuedUpdate, fence protocol.Condition) protocol.Txn {
	var t protocol.Txn
	if fence.Key != "" {
		t.Conditions = append(t.Conditions, fence)
	}
	seen := map[string]bool{fence.Key: true}
	for _, u := range batch {
		for _, c := range u.Conditions {
			if !seen[c.Key] {
				seen[c.Key] = true
				t.Conditions = append(t.Conditions, c)
			}
		}
		t.Then = append(t.Then, u.Changes...)
	}
	return t
}

// failedKeys returns the keys of the update's own conditions that failed, nil if there are none.
func (u *queuedUpdate) failedKeys(failed []string) (keys []string) {
	for _, c := range u.Conditions {
		if slices.Contains(failed, c.Key) {
			keys = append(keys, c.Key)
		}
	}
	return keys
}

// requeue queues updates again that failed because of other updates in their transaction.
func (b *batcher) requeue(ctx context.Context, updates []*queuedUpdate) {
	if len(updates) == 0 {
		return
	}
	for _, u := range updates {
		b.count(0, len(u.Changes))
		b.countUrgent(u, 1)
	}
	select {
	case b.retries <- updates:
	case <-ctx.Done():
	}
}
