package controller

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/teamstore"
	"topazhollow/internal/userapi"
)

// Keys of the state service beside those of the frontend.
const (
	recordKey      = userapi.WatchedPrefix + "c"
	presencePrefix = userapi.WatchedPrefix + "n/"
	rosterPrefix   = userapi.WatchedPrefix + "m/"
)

// followRetryAfter is after what time the followed keys are read again if they could not be, or not be relied on.
const followRetryAfter = 300 * time.Millisecond

// follow is the duty that keeps what this controller knows of the watched keys up to date: it lists all, and then
// watches their changes until the state service has dropped those after what is known.
func (n *Node) follow(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			err = n.watchChanges(ctx)
		} else {
			listed, err = n.listAll(ctx)
		}
		if errors.Is(err, kvstore.ErrCompacted) {
			listed = false
		} else if err != nil {
			n.log.Debug("watch failed", "err", err)
			sleep(ctx, followRetryAfter)
		}
	}
	return nil
}

// listAll reads all watched keys, and says whether the state service that listed them can be relied on.
func (n *Node) listAll(ctx context.Context) (relied bool, err error) {
	began := time.Now()
	entries, revision, err := n.kvStore.List(ctx, userapi.WatchedPrefix)
	if err != nil {
		return false, err
	}
	n.mu.Lock()
	if relied = n.applyFullList(entries, revision); relied {
		n.recordFullRead(began)
	}
	n.mu.Unlock()
	if !relied {
		sleep(ctx, followRetryAfter)
	}
	return relied, nil
}

// watchChanges waits for changes of the watched keys and applies them.
func (n *Node) watchChanges(ctx context.Context) error {
	began := time.Now()
	n.mu.Lock()
	after := n.followedRevision
	watch, cancel := context.WithCancel(ctx)
	n.recovery.restartWatch = cancel // what is watched ends with the epoch
	n.mu.Unlock()
	changes, err := n.kvStore.Watch(watch, userapi.WatchedPrefix, after)
	cancel()
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.applyChanges(changes, began)
	n.mu.Unlock()
	n.wake()
	return nil
}

// applyListedKeys applies a full list of the watched keys.
func (n *Node) applyListedKeys(entries []protocol.Entry, revision uint64) {
	seen := map[string]bool{}
	for _, e := range entries {
		seen[e.Key] = true
		n.applyChange(protocol.Change{Set: e.Key, Value: e.Value, Version: e.Version})
	}
	n.leadership.RetainPresences(func(name string) bool { return seen[presencePrefix+name] })
	n.endUnlistedJobs(seen, revision)
	for _, key := range n.roster.Keys() {
		if !seen[key] {
			n.suspectLoss(datarecovery.SignRosterGone) // they are never deleted
		}
	}
	n.checkConfigListed(seen)
	n.watchedKeysRead, n.followedRevision = true, revision
	n.scheduler.InvalidateAllMachines() // jobs may be known now that machines listed before
}

// endUnlistedJobs ends the active jobs that a full list of that revision does not name.
func (n *Node) endUnlistedJobs(seen map[string]bool, revision uint64) {
	for uid, j := range n.jobs {
		// One that was accepted after the list began may not be in it.
		if j.active && j.version > 0 && j.version <= revision && !seen[userapi.ActiveJobPrefix+uid] {
			n.endJob(uid)
			n.verifyUnlistedJob(uid, j)
		}
	}
}

// applyChange applies one change of a watched key.
func (n *Node) applyChange(c protocol.Change) {
	if err := n.applyKey(c); err != nil {
		n.log.Error("unreadable key in the state service", "key", c.Set+c.Delete, "err", err)
	}
}

// applyKey applies the change of a key by the handler of its prefix.
func (n *Node) applyKey(c protocol.Change) error {
	key := c.Set + c.Delete
	switch {
	case key == recordKey:
		return n.applyRecordKey(c)
	case strings.HasPrefix(key, datarecovery.EpochKey):
		n.applyEpochKey(key, c)
	case strings.HasPrefix(key, presencePrefix):
		return n.applyPresenceKey(key[len(presencePrefix):], c)
	case strings.HasPrefix(key, userapi.ActiveJobPrefix):
		return n.applyActiveJobKey(key[len(userapi.ActiveJobPrefix):], c)
	case strings.HasPrefix(key, datarecovery.EndsKey), strings.HasPrefix(key, datarecovery.FinishedKey):
		if c.Delete == "" {
			return n.learnRecoveryPage(key, c.Value)
		}
	case strings.HasPrefix(key, rosterPrefix):
		n.applyRosterList(key, c.Value, c.Version)
	case strings.HasPrefix(key, teamstore.Prefix):
		n.learnConfig(c)
	}
	return nil
}

// applyRecordKey learns the membership record.
func (n *Node) applyRecordKey(c protocol.Change) error {
	var record leadership.Record
	if err := json.Unmarshal(c.Value, &record); err != nil {
		return err
	}
	n.learnRecord(&record, c.Version)
	return nil
}

// applyEpochKey takes in the key of an epoch of the state service's data: its deletion shows a loss if it is this
// epoch's.
func (n *Node) applyEpochKey(key string, c protocol.Change) {
	if c.Delete == "" {
		n.recovery.detection.EpochKeyChanged(key, c.Version)
		n.fenceOnEpochKey()
	} else if n.recovery.detection.EpochKeyDeleted(key, n.leadership.Record()) {
		n.suspectLoss(datarecovery.SignEpochKeyDeleted)
	}
}

// applyPresenceKey learns that a controller holds its lease, or does not any more.
func (n *Node) applyPresenceKey(name string, c protocol.Change) error {
	if c.Delete != "" {
		n.leadership.LearnAbsence(name, c.Version)
		return nil
	}
	var value presenceValue
	if err := json.Unmarshal(c.Value, &value); err != nil {
		return err
	}
	n.leadership.LearnPresence(name, leadership.Presence{Incarnation: value.Incarnation, Version: c.Version})
	return nil
}

// errNoSpecification says that an active job's key lacks what the job consists of.
var errNoSpecification = errors.New("an active job without its specification")

// applyActiveJobKey learns an active job, or its end.
func (n *Node) applyActiveJobKey(uid string, c protocol.Change) error {
	if c.Delete != "" {
		n.recovery.writeBack.ActiveKeyDeleted(uid)
		n.endJob(uid)
		return nil
	}
	var active userapi.ActiveJob
	if err := json.Unmarshal(c.Value, &active); err != nil {
		return err
	}
	if active.Spec == nil {
		return errNoSpecification
	}
	n.learnJob(active, c.Version)
	return nil
}
