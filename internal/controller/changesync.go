package controller

import (
	"context"
	"errors"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// What users ask about active jobs is answered from what this controller
// followed, once a read of the changes that began after their request has come
// back: one such read serves all that asked before it, however many they are.

// syncEvery is the least time between the beginnings of two such reads, and
// syncsOpen how many may be under way.
const (
	changeReadInterval = 30 * time.Millisecond
	maxChangeReads     = 4
)

var errChangesNotRead = errors.New("the state service did not answer")

// synced returns once this controller knows every change of the watched keys
// that was made before the call.
func (n *Node) waitForChanges(ctx context.Context) error {
	done := make(chan error, 1)
	n.mu.Lock()
	n.syncWaiters = append(n.syncWaiters, done)
	n.mu.Unlock()
	select {
	case n.syncRequests <- struct{}{}:
	default:
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// keepSynced reads the changes for those who wait for them.
func (n *Node) readChangesOnRequest(ctx context.Context) error {
	open := make(chan struct{}, maxChangeReads)
	for {
		select {
		case <-n.syncRequests:
		case <-ctx.Done():
			return nil
		}
		select {
		case open <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		n.mu.Lock()
		waiting := n.syncWaiters
		n.syncWaiters = nil
		after, listed := n.followedRevision, n.watchedKeysRead
		n.mu.Unlock()
		n.group.Go(func() error {
			err, began := errChangesNotRead, time.Now()
			if listed {
				var ch *protocol.Changes
				if ch, err = n.kvStore.Changes(ctx, userapi.WatchedPrefix, after); err == nil {
					n.mu.Lock()
					n.applyChanges(ch, began)
					n.mu.Unlock()
				}
			}
			for _, done := range waiting {
				done <- err
			}
			<-open
			return nil
		})
		if !sleep(ctx, changeReadInterval) {
			return nil
		}
	}
}

// caughtUp takes in all changes since a revision that was known before, by a read
// that began at a time.
func (n *Node) applyChanges(ch *protocol.Changes, began time.Time) {
	for _, e := range ch.Events {
		n.changed(e)
	}
	n.followedRevision = max(n.followedRevision, ch.Revision)
	n.recordFullRead(began)
}

// knows books that all that the state service had when a read began was taken in. After a loss that is not all
// that was confirmed, until everybody's memory is gathered.
func (n *Node) recordFullRead(began time.Time) {
	n.noteConfigRead(began)
	if n.trusted() && n.memoriesGathered(time.Now()) {
		n.cancelWatermark.RecordRead(began)
	}
}
