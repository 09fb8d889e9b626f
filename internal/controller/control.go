package controller

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
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
	controlKey = userapi.WatchedPrefix + "c"
	nodeKey    = userapi.WatchedPrefix + "n/"
	machineKey = userapi.WatchedPrefix + "m/"
)

// present is a controller's key, held by its lease.
type present struct {
	Incarnation uint64 `json:"incarnation"`
}

// keepLease holds the lease and the key that shows it.
func (n *Node) keepLease(ctx context.Context) error {
	every := n.leadership.LeaseLife() / 4
	for {
		wait := every
		n.mu.Lock()
		grant, shown := n.leadership.LeaseID(), n.recovery.ownKeyWritten
		n.recovery.ownKeyWritten = true // unless something says meanwhile that it is not
		n.mu.Unlock()
		sent := time.Now()
		var err error
		if grant == 0 {
			shown = false
			if grant, err = n.kvStore.GrantLease(ctx, n.leadership.LeaseLife()); err == nil {
				n.mu.Lock()
				n.leadership.LeaseGranted(grant)
				n.mu.Unlock()
			}
		} else if shown {
			err = n.kvStore.RenewLease(ctx, grant)
		}
		if err == nil && !shown {
			if err = n.writeOwnKey(ctx, grant); err == nil {
				shown = true
				n.log.Info("lease taken", "lease", grant)
			}
		}
		n.mu.Lock()
		n.recovery.ownKeyWritten = n.recovery.ownKeyWritten && shown
		switch {
		case err == nil:
			n.leadership.LeaseRenewed(sent)
		case errors.Is(err, kvstore.ErrLeaseExpired):
			n.log.Info("lease ended at the state service", "lease", grant)
			if n.leadership.LeaseExpired(sent) {
				n.suspectLoss(datarecovery.SignLeaseGone)
			}
			wait = 20 * time.Millisecond
		default:
			n.log.Debug("lease not renewed", "err", err)
			wait = 250 * time.Millisecond
		}
		n.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-n.recovery.ownKeyOutdated:
		case <-ctx.Done():
		}
		if t.Stop(); ctx.Err() != nil {
			return nil
		}
	}
}

// show writes this process's key. The write is guarded by the key's version, so
// that a late one of an earlier process changes nothing.
func (n *Node) writeOwnKey(ctx context.Context, grant uint64) error {
	e, err := n.kvStore.GetControl(ctx, nodeKey+n.name)
	if err != nil {
		return err
	}
	guard := protocol.Condition{Key: nodeKey + n.name}
	if e != nil {
		guard.Version = e.Version
	}
	_, _, err = n.kvStore.CommitControl(ctx, protocol.Txn{
		Conditions: []protocol.Condition{guard},
		Then:       []protocol.Op{{Set: nodeKey + n.name, Value: protocol.Encode(present{n.incarnation}), Lease: grant}},
	})
	return err
}

// follow keeps what this controller knows of the watched keys up to date.
func (n *Node) follow(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		var err error
		began := time.Now()
		if !listed {
			var entries []protocol.Entry
			var revision uint64
			if entries, revision, err = n.kvStore.List(ctx, userapi.WatchedPrefix); err == nil {
				n.mu.Lock()
				if listed = n.applyFullList(entries, revision); listed {
					n.recordFullRead(began)
				}
				n.mu.Unlock()
				if !listed {
					sleep(ctx, 300*time.Millisecond)
				}
			}
		} else {
			n.mu.Lock()
			after := n.followedRevision
			watch, cancel := context.WithCancel(ctx)
			n.recovery.restartWatch = cancel // what is watched ends with the epoch
			n.mu.Unlock()
			var ch *protocol.Changes
			ch, err = n.kvStore.Watch(watch, userapi.WatchedPrefix, after)
			cancel()
			if err == nil {
				n.mu.Lock()
				n.applyChanges(ch, began)
				n.mu.Unlock()
				n.wake()
			}
		}
		if errors.Is(err, kvstore.ErrCompacted) {
			listed = false
		} else if err != nil {
			n.log.Debug("watch failed", "err", err)
			sleep(ctx, 300*time.Millisecond)
		}
	}
	return nil
}

// reset takes in a full list of the watched keys.
func (n *Node) reset(entries []protocol.Entry, revision uint64) {
	seen := map[string]bool{}
	for _, e := range entries {
		seen[e.Key] = true
		n.changed(protocol.Change{Set: e.Key, Value: e.Value, Version: e.Version})
	}
	n.leadership.RetainPresences(func(name string) bool { return seen[nodeKey+name] })
	for uid, j := range n.jobs {
		// One that was accepted after the list began may not be in it.
		if j.active && j.version > 0 && j.version <= revision && !seen[userapi.ActiveJobPrefix+uid] {
			n.endJob(uid)
			n.verifyUnlistedJob(uid, j)
		}
	}
	for _, key := range n.roster.Keys() {
		if !seen[key] {
			n.suspectLoss(datarecovery.SignRosterGone) // they are never deleted
		}
	}
	n.checkConfigListed(seen)
	n.watchedKeysRead, n.followedRevision = true, revision
	n.scheduler.InvalidateAllMachines() // jobs may be known now that machines listed before
}

// changed takes in one change of a watched key.
func (n *Node) changed(e protocol.Change) {
	key := e.Set + e.Delete
	bad := func(err error) { n.log.Error("unreadable key in the state service", "key", key, "err", err) }
	switch {
	case key == controlKey:
		var r leadership.Record
		if err := json.Unmarshal(e.Value, &r); err != nil {
			bad(err)
			return
		}
		n.learnRecord(&r, e.Version)
	case strings.HasPrefix(key, datarecovery.EpochKey):
		if e.Delete == "" {
			n.recovery.detection.EpochKeyChanged(key, e.Version)
			n.fenceOnEpochKey()
		} else if n.recovery.detection.EpochKeyDeleted(key, n.leadership.Record()) {
			n.suspectLoss(datarecovery.SignEpochKeyDeleted)
		}
	case strings.HasPrefix(key, nodeKey):
		name := key[len(nodeKey):]
		if e.Delete != "" {
			n.leadership.LearnAbsence(name, e.Version)
			return
		}
		var p present
		if err := json.Unmarshal(e.Value, &p); err != nil {
			bad(err)
			return
		}
		n.leadership.LearnPresence(name, leadership.Presence{Incarnation: p.Incarnation, Version: e.Version})
	case strings.HasPrefix(key, userapi.ActiveJobPrefix):
		if e.Delete != "" {
			n.recovery.writeBack.ActiveKeyDeleted(key[len(userapi.ActiveJobPrefix):])
			n.endJob(key[len(userapi.ActiveJobPrefix):])
			return
		}
		var s userapi.ActiveJob
		if err := json.Unmarshal(e.Value, &s); err != nil || s.Spec == nil {
			bad(err)
			return
		}
		n.learnJob(s, e.Version)
	case strings.HasPrefix(key, datarecovery.EndsKey), strings.HasPrefix(key, datarecovery.FinishedKey):
		if e.Delete == "" {
			if err := n.learnRecoveryPage(key, e.Value); err != nil {
				bad(err)
			}
		}
	case strings.HasPrefix(key, machineKey):
		n.applyRosterList(key, e.Value, e.Version)
	case strings.HasPrefix(key, teamstore.Prefix):
		n.learnConfig(e)
	}
}

// learnRecord takes in a record as the state service has it under a version.
func (n *Node) learnRecord(r *leadership.Record, version uint64) {
	switch n.leadership.Judge(r, version) {
	case leadership.Follows:
		n.adopt(r, version)
	case leadership.OfNewerEpoch:
		n.recovery.detection.NewerEpochSeen(r.Epoch)
	case leadership.Older:
		n.suspectLoss(datarecovery.SignRecordOlder)
	case leadership.Unchained:
		n.recovery.detection.RecordOutOfChain()
		n.suspectLoss(datarecovery.SignRecordOutOfChain)
	}
}

// adopt makes a record the one known, and carries out what that changes.
func (n *Node) adopt(r *leadership.Record, version uint64) {
	now := time.Now()
	changes := n.leadership.Adopt(r, version, now)
	if changes == nil {
		return
	}
	if changes.TermChanged {
		n.log.Info("control record", "term", r.Term, "members", r.Members(), "items", r.Shards)
		n.agents.SetTerm(r.Term, func(m string) bool { return r.Home(m) == n.name })
		n.endCommandSenders()
	}
	if changes.LossSettled {
		n.recovery.detection.SearchGivenUp()
	}
	if changes.EpochBegan {
		n.recovery.detection.Entered(r.Epoch, now)
		n.epochEntered(r)
	}
	if changes.RosterCompleted {
		n.reload()
	}
	n.followOwners(r, n.leadership.IsMember())
	if changes.TermChanged { // the shards are those of this record now
		n.publishAllStatuses()
	}
	n.wake()
}

// endCommandSenders ends the goroutines that send commands to machines whose home is another controller now.
func (n *Node) endCommandSenders() {
	for name, sender := range n.commandSenders {
		if n.agents.Get(name) == nil {
			delete(n.commandSenders, name)
			close(sender.signal)
		}
	}
}

// publishAllStatuses has the status of each machine told to the peers under the new term.
func (n *Node) publishAllStatuses() {
	for _, name := range slices.Sorted(maps.Keys(n.agents.All())) {
		n.publishStatus(name)
	}
}

// refresh reads the control record now, after a hint that it has changed.
func (n *Node) refresh(ctx context.Context) error {
	e, err := n.kvStore.GetControl(ctx, controlKey)
	if err != nil || e == nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed(protocol.Change{Set: e.Key, Value: e.Value, Version: e.Version})
	return nil
}

// hint asks for a fresh read of the control record.
func (n *Node) hint() {
	select {
	case n.recordHints <- struct{}{}:
	default:
	}
}
