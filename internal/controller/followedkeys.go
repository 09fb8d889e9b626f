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

// Keys and key prefixes of the state service, besides those of internal/userapi.
const (
	recordKey      = userapi.WatchedPrefix + "c"
	presencePrefix = userapi.WatchedPrefix + "n/"
	rosterPrefix   = userapi.WatchedPrefix + "m/"
)

// followRetryAfter is the pause before the watched keys are read again after a read that failed or could not be
// trusted.
const followRetryAfter = 300 * time.Millisecond

// followWatchedKeys keeps this controller's copy of the watched keys up to date: it lists all keys, and then watches
// for changes until the state service has compacted the changes that follow the known revision.
func (n *Node) followWatchedKeys(ctx context.Context) error {
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

// listAll reads all watched keys, and returns whether the state service that listed them can be trusted.
func (n *Node) listAll(ctx context.Context) (trusted bool, err error) {
	began := time.Now()
	entries, revision, err := n.kvStore.List(ctx, userapi.WatchedPrefix)
	if err != nil {
		return false, err
	}
	n.mu.Lock()
	if trusted = n.recovery.epochs.applyFullList(entries, revision); trusted {
		n.recordFullRead(began)
	}
	n.mu.Unlock()
	if !trusted {
		sleep(ctx, followRetryAfter)
	}
	return trusted, nil
}

// watchChanges waits for changes of the watched keys and applies them.
func (n *Node) watchChanges(ctx context.Context) error {
	began := time.Now()
	n.mu.Lock()
	after := n.followedRevision
	watch, cancel := context.WithCancel(ctx)
	n.recovery.epochs.restartWatch = cancel // a new epoch cancels the watch
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

// applyListedKeys applies a full list of the watched keys, read at a revision.
func (n *Node) applyListedKeys(entries []protocol.Entry, revision uint64) {
	seen := map[string]bool{}
	for _, e := range entries {
		seen[e.Key] = true
		n.applyChange(protocol.Change{Set: e.Key, Value: e.Value, Version: e.Version})
	}
	n.leadership.RetainPresences(func(name string) bool { return seen[presencePrefix+name] })
	for name := range n.peers {
		if !seen[presencePrefix+name] {
			n.recordProtocol(name, protocolDependencies)
		}
	}
	n.endUnlistedJobs(seen, revision)
	for _, key := range n.roster.Keys() {
		if !seen[key] {
			n.recovery.detection.suspectLoss(datarecovery.SignRosterGone) // roster keys are never deleted
		}
	}
	n.checkConfigListed(seen)
	n.watchedKeysRead, n.followedRevision = true, revision
	n.scheduler.InvalidateAllMachines() // jobs that machines listed earlier may be known now
}

// endUnlistedJobs ends the active jobs that are missing from a full list of the given revision, and has it verified
// that the state service did not lose them.
func (n *Node) endUnlistedJobs(seen map[string]bool, revision uint64) {
	for uid, j := range n.jobs {
		// A job that was accepted after the list began may be missing from it.
		if j.active && j.version > 0 && j.version <= revision && !seen[userapi.ActiveJobPrefix+uid] {
			n.endJob(uid)
			n.recovery.detection.verifyUnlistedJob(uid, j)
		}
	}
}

// applyChange applies one change of a watched key.
func (n *Node) applyChange(c protocol.Change) {
	if err := n.applyKey(c); err != nil {
		n.log.Error("unreadable key in the state service", "key", c.Set+c.Delete, "err", err)
	}
}

// applyKey passes the change of a key to the handler of its prefix.
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
			return n.recovery.gathering.learnRecoveryPage(key, c.Value)
		}
	case strings.HasPrefix(key, rosterPrefix):
		n.applyRosterList(key, c.Value, c.Version)
	case strings.HasPrefix(key, teamstore.Prefix):
		n.applyConfigKey(c)
	}
	return nil
}

// applyRecordKey applies a change of the membership record.
func (n *Node) applyRecordKey(c protocol.Change) error {
	var record leadership.Record
	if err := json.Unmarshal(c.Value, &record); err != nil {
		return err
	}
	n.learnRecord(&record, c.Version)
	return nil
}

// applyEpochKey applies a change of an epoch's key. The deletion of the current epoch's key is a sign of a loss of
// data.
func (n *Node) applyEpochKey(key string, c protocol.Change) {
	if c.Delete == "" {
		n.recovery.detection.EpochKeyChanged(key, c.Version)
		n.recovery.epochs.fenceOnEpochKey()
	} else if n.recovery.detection.EpochKeyDeleted(key, n.leadership.Record()) {
		n.recovery.detection.suspectLoss(datarecovery.SignEpochKeyDeleted)
	}
}

// applyPresenceKey records that a controller holds its lease, or no longer does.
func (n *Node) applyPresenceKey(name string, c protocol.Change) error {
	if c.Delete != "" {
		n.leadership.LearnAbsence(name, c.Version)
		n.recordProtocol(name, protocolDependencies)
		return nil
	}
	var value presenceValue
	if err := json.Unmarshal(c.Value, &value); err != nil {
		return err
	}
	n.leadership.LearnPresence(name, leadership.Presence{Incarnation: value.Incarnation, Version: c.Version})
	n.recordProtocol(name, value.Protocol)
	return nil
}

// recordProtocol records what a controller's process understands. One that is absent ignores nothing.
func (n *Node) recordProtocol(name string, protocol int) {
	if p := n.peers[name]; p != nil {
		p.ignoresDependencies = protocol < protocolDependencies
	}
}

// errNoSpecification is returned for the key of an active job whose value has no specification.
var errNoSpecification = errors.New("active job without a specification")

// applyActiveJobKey records an active job, or the end of one whose key was deleted.
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
