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
	maxQueue               = 4096     // updates that wait; past it they are refused at once
	maxTransactionBytes    = 48 << 10 // of the values and keys of one transaction
	maxConditionsPerChange = 4        // conditions of a transaction, for each change that it may make
	maxRetryBatches        = 16       // batches that wait to be queued again

	// What a change and a condition take beside their text, in bytes.
	changeOverhead    = 64
	conditionOverhead = 48
)

// outcome is what became of an update.
type outcome struct {
	revision uint64
	err      error
}

// queuedUpdate is an update with its size in bytes and the channel that its caller waits at.
type queuedUpdate struct {
	Update
	size int
	done chan outcome
}

// batcher is the group commit: it merges queued updates that touch different keys into shared transactions. When a
// condition does not hold, only the updates that carry it get the conflict; the others go again.
type batcher struct {
	client     *Client
	maxChanges int
	maxBytes   int
	queue      chan *queuedUpdate
	retries    chan []*queuedUpdate

	mu            sync.Mutex // guards what is below
	arrived       int        // changes since measuredAt
	waiting       int        // changes that are not sent yet
	urgentWaiting int        // of them those that users wait for
	measuredAt    time.Time  // when arrivalRate was last brought up to date
	arrivalRate   float64    // changes a second that arrived of late
}

// wantedRate is how many changes a second arrived of late, and what waits as if it were to go within a second.
func (b *batcher) wantedRate(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.measuredAt).Seconds(); passed > 0 {
		b.arrivalRate += (float64(b.arrived)/passed - b.arrivalRate) * min(1, passed)
		b.arrived, b.measuredAt = 0, now
	}
	return b.arrivalRate + float64(b.waiting)
}

// count books changes that arrived, and the difference in how many wait to be sent.
func (b *batcher) count(arrived, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived += arrived
	b.waiting += waiting
}

// countUrgent books the changes of an update that a user waits for; sign is 1 when it is queued and -1 when it goes.
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
	return &batcher{
		client:     c,
		maxChanges: min(limits.ChangesPerTransaction, c.writes.Burst()),
		maxBytes:   maxTransactionBytes,
		queue:      make(chan *queuedUpdate, maxQueue),
		retries:    make(chan []*queuedUpdate, maxRetryBatches),
		measuredAt: time.Now(),
	}
}

func (b *batcher) commit(ctx context.Context, u Update) (uint64, error) {
	p := &queuedUpdate{Update: u, done: make(chan outcome, 1)}
	for _, o := range u.Changes {
		p.size += len(o.Value) + len(o.Set) + len(o.Delete) + changeOverhead
	}
	for _, g := range u.Conditions {
		p.size += len(g.Key) + conditionOverhead
	}
	if len(u.Changes) > b.maxChanges || len(u.Conditions) >= maxConditionsPerChange*b.maxChanges {
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

// maxInFlight is how many transactions may be on their way at the same time.
const maxInFlight = 4

// deferredCheckInterval is how often deferrable updates look for changes to spare.
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

// queues are the updates that wait: deferrable ones apart, the others with urgent ones first, each in order of
// arrival.
type queues struct{ normal, deferrable []*queuedUpdate }

// add puts updates behind those of their kind.
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

// awaitUpdates waits until there is something to send, or until it is time to look whether deferrable updates may
// go; it is false when the context has ended.
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

// takeQueued takes what has been queued, without waiting.
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

// nextBatch picks what goes into the next transaction, nothing if only deferrable updates wait and there are no
// changes to spare.
func (b *batcher) nextBatch(waiting *queues) (batch []*queuedUpdate) {
	writes := b.client.writes
	if len(waiting.normal) > 0 {
		// No more than there is a rate for now: what is picked keeps what users wait for from going first.
		batch, waiting.normal = b.pickBatch(waiting.normal, min(b.maxChanges, int(writes.Tokens())))
	} else if writes.Tokens() >= float64(writes.Burst())/2 {
		batch, waiting.deferrable = b.pickBatch(waiting.deferrable, b.maxChanges)
	}
	return batch
}

// awaitRates waits until a batch may go by the rates; it is false when the context has ended.
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

// pickBatch takes the updates, oldest first, that fit one transaction of so many changes; one at least. No two of them
// change the same key, and none has a condition on a key that another changes.
func (b *batcher) pickBatch(waiting []*queuedUpdate, most int) (batch, rest []*queuedUpdate) {
	picked := keySet{changed: map[string]bool{}, compared: map[string]uint64{}}
	changes, conditions, size := 0, 0, 0
	for i, u := range waiting {
		fits := changes+len(u.Changes) <= most &&
			conditions+len(u.Conditions) < maxConditionsPerChange*b.maxChanges &&
			size+u.size <= b.maxBytes
		if len(batch) > 0 && !fits {
			return batch, append(rest, waiting[i:]...)
		}
		if picked.clashes(u) {
			rest = append(rest, u)
			continue
		}
		picked.add(u)
		changes, conditions, size = changes+len(u.Changes), conditions+len(u.Conditions), size+u.size
		batch = append(batch, u)
	}
	return batch, rest
}

// keySet holds the keys that a transaction changes and compares, the latter with the versions.
type keySet struct {
	changed  map[string]bool
	compared map[string]uint64
}

// clashes says whether an update cannot share the transaction.
func (k *keySet) clashes(u *queuedUpdate) bool {
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

// send commits a batch and gives each update its outcome. Updates whose conditions did not fail, in a transaction
// where others' did, are queued again.
func (b *batcher) send(ctx context.Context, batch []*queuedUpdate) {
	fence, open := b.client.fence.updateCondition()
	if !open {
		answerAll(batch, outcome{0, ErrUpdatesHeld})
		return
	}
	revision, failed, err := b.client.txn(ctx, b.client.calls, transactionOf(batch, fence))
	if fence.Key != "" && errors.Is(err, ErrConflict) && slices.Contains(failed, fence.Key) {
		err = ErrUpdatesHeld // not executed, and nothing under this fence will be
		b.client.fence.reportDataLoss("the generation's key is gone")
	}
	var again []*queuedUpdate
	for _, u := range batch {
		result := outcome{revision, err}
		if errors.Is(err, ErrConflict) {
			keys := u.failedKeys(failed)
			if keys == nil {
				again = append(again, u)
				continue
			}
			result.err = &ConflictError{keys}
		}
		u.done <- result
	}
	if len(again) == len(batch) {
		answerAll(again, outcome{0, ErrInvalid}) // the answer names none of our conditions
		return
	}
	b.queueAgain(ctx, again)
}

func answerAll(updates []*queuedUpdate, result outcome) {
	for _, u := range updates {
		u.done <- result
	}
}

// transactionOf joins updates, each condition once, behind the fence if there is one.
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

// failedKeys are the update's own keys among those whose conditions did not hold, nil if there is none.
func (u *queuedUpdate) failedKeys(failed []string) (keys []string) {
	for _, c := range u.Conditions {
		if slices.Contains(failed, c.Key) {
			keys = append(keys, c.Key)
		}
	}
	return keys
}

// queueAgain queues updates that were not executed through no fault of theirs.
func (b *batcher) queueAgain(ctx context.Context, again []*queuedUpdate) {
	if len(again) == 0 {
		return
	}
	for _, u := range again {
		b.count(0, len(u.Changes))
		b.countUrgent(u, 1)
	}
	select {
	case b.retries <- again:
	case <-ctx.Done():
	}
}
