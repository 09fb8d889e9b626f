package controller

import (
	"context"
	"errors"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Users' requests about active jobs are answered from this controller's copy of the watched keys, after a read of the
// changes that began after the request. One such read serves all requests that arrived before it began.

const (
	// changeReadInterval is the least time from the start of one such read to the start of the next.
	changeReadInterval = 30 * time.Millisecond
	// maxChangeReads is how many such reads may be in flight.
	maxChangeReads = 4
)

var errChangesNotRead = errors.New("the state service did not answer")

// changeReads collects the callers that wait for a read of the changes. Node.mu guards the waiting list; the channel
// needs no lock.
type changeReads struct {
	requested chan struct{} // holds at most one request, which stands for all waiting callers
	waiting   []chan error
}

func newChangeReads() *changeReads { return &changeReads{requested: make(chan struct{}, 1)} }

// request makes a read begin soon.
func (r *changeReads) request() {
	select {
	case r.requested <- struct{}{}:
	default:
	}
}

// wait returns a channel that receives the result of a read that begins after the call. The caller must then call
// request.
func (r *changeReads) wait() <-chan error {
	done := make(chan error, 1)
	r.waiting = append(r.waiting, done)
	return done
}

// takeWaiting removes and returns the channels that the read that begins now serves.
func (r *changeReads) takeWaiting() []chan error {
	waiting := r.waiting
	r.waiting = nil
	return waiting
}

// waitForChanges returns when this controller has applied every change of the watched keys that was made before the
// call.
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

// readChangesOnRequest starts a read of the changes for each request, until the context ends.
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

// beginChangeRead starts one read for all callers that wait now, and frees a slot when it has ended.
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

// applyChanges applies all changes after a known revision, as a read returned them that began at the given time.
func (n *Node) applyChanges(ch *protocol.Changes, began time.Time) {
	for _, e := range ch.Events {
		n.applyChange(e)
	}
	n.followedRevision = max(n.followedRevision, ch.Revision)
	n.recordFullRead(began)
}

// recordFullRead records that everything in the state service at the start of a read is now known here. After a loss of
// data, the state service lacks some confirmed cancellations, so that the watermark advances only once the state that
// all controllers retained has been gathered.
func (n *Node) recordFullRead(began time.Time) {
	n.recordConfigRead(began)
	if n.recovery.detection.Trusted() && n.recovery.gathering.retainedStateGathered(time.Now()) {
		n.cancelWatermark.RecordRead(began)
	}
}
