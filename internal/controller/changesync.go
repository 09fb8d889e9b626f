package controller

import (
	"context"
	"errors"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// What users ask about active jobs is answered from what this controller followed, once a read of the changes that began
// after their request has come back: one such read serves all that asked before it, however many they are.

const (
	// changeReadInterval is the least time between the beginnings of two such reads.
	changeReadInterval = 30 * time.Millisecond
	// maxChangeReads is how many may be under way.
	maxChangeReads = 4
)

var errChangesNotRead = errors.New("the state service did not answer")

// changeReads collects those who wait for a read of the changes. Its channel needs no lock; what waits is guarded by
// Node.mu.
type changeReads struct {
	requested chan struct{} // holds one request at most: it stands for all that wait
	waiting   []chan error
}

func newChangeReads() *changeReads { return &changeReads{requested: make(chan struct{}, 1)} }

// request has a read begin soon.
func (r *changeReads) request() {
	select {
	case r.requested <- struct{}{}:
	default:
	}
}

// wait returns a channel that gets the outcome of a read that begins after the call. The caller then makes a request.
func (r *changeReads) wait() <-chan error {
	done := make(chan error, 1)
	r.waiting = append(r.waiting, done)
	return done
}

// takeWaiting returns those whom the read that begins now serves.
func (r *changeReads) takeWaiting() []chan error {
	waiting := r.waiting
	r.waiting = nil
	return waiting
}

// waitForChanges returns once this controller knows every change of the watched keys that was made before the call.
func (n *Node) waitForChanges(ctx context.Context) error {
	n.mu.Lock()
	done := n.changeReads.wait()
	n.mu.Unlock()
	n.changeReads.request()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readChangesOnRequest reads the changes for those who wait for them, until the context ends.
func (n *Node) readChangesOnRequest(ctx context.Context) error {
	slots := make(chan struct{}, maxChangeReads)
	for {
		select {
		case <-n.changeReads.requested:
		case <-ctx.Done():
			return nil
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		n.beginChangeRead(ctx, slots)
		if !sleep(ctx, changeReadInterval) {
			return nil
		}
	}
}

// beginChangeRead starts one read for all that wait now, and frees a slot when it is over.
func (n *Node) beginChangeRead(ctx context.Context, slots <-chan struct{}) {
	n.mu.Lock()
	waiting := n.changeReads.takeWaiting()
	after, listed := n.followedRevision, n.watchedKeysRead
	n.mu.Unlock()
	n.group.Go(func() error {
		err := errChangesNotRead
		if listed {
			err = n.readChanges(ctx, after)
		}
		for _, done := range waiting {
			done <- err
		}
		<-slots
		return nil
	})
}

// readChanges reads and applies the changes after a revision.
func (n *Node) readChanges(ctx context.Context, after uint64) error {
	began := time.Now()
	changes, err := n.kvStore.Changes(ctx, userapi.WatchedPrefix, after)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyChanges(changes, began)
	return nil
}

// applyChanges takes in all changes since a revision that was known before, by a read that began at a time.
func (n *Node) applyChanges(ch *protocol.Changes, began time.Time) {
	for _, e := range ch.Events {
		n.applyChange(e)
	}
	n.followedRevision = max(n.followedRevision, ch.Revision)
	n.recordFullRead(began)
}

// recordFullRead notes that all that the key-value store had when a read began was taken in. After a loss that is not all
// that was confirmed, until what every controller remembers is gathered.
func (n *Node) recordFullRead(began time.Time) {
	n.noteConfigRead(began)
	if n.trusted() && n.retainedStateGathered(time.Now()) {
		n.cancelWatermark.RecordRead(began)
	}
}
