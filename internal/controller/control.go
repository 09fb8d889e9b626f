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
	every := n.lease.Life / 4
	for {
		wait := every
		n.mu.Lock()
		grant, shown := n.leaseID, n.recovery.ownKeyWritten
		n.recovery.ownKeyWritten = true // unless something says meanwhile that it is not
		n.mu.Unlock()
		sent := time.Now()
		var err error
		if grant == 0 {
			shown = false
			if grant, err = n.kvStore.GrantLease(ctx, n.lease.Life); err == nil {
				n.mu.Lock()
				n.leaseID = grant
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
			n.lease.Renewed(sent)
			n.leaseRenewedAt = sent
		case errors.Is(err, kvstore.ErrLeaseExpired):
			n.log.Info("lease ended at the state service", "lease", grant)
			if sent.Sub(n.leaseRenewedAt) < n.lease.Life*9/10 && n.lease.Valid(sent) {
				n.suspectLoss(datarecovery.SignLeaseGone)
			}
			n.leaseID = 0
			n.lease.Lost()
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
	for name := range n.presences {
		if !seen[nodeKey+name] {
			delete(n.presences, name)
		}
	}
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
	n.recount(maps.Keys(n.machines)) // jobs may be known now that machines listed before
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
		} else if n.recovery.detection.EpochKeyDeleted(key, n.record) {
			n.suspectLoss(datarecovery.SignEpochKeyDeleted)
		}
	case strings.HasPrefix(key, nodeKey):
		name := key[len(nodeKey):]
		if e.Delete != "" {
			if n.presences[name].Version <= e.Version {
				delete(n.presences, name)
			}
			return
		}
		var p present
		if err := json.Unmarshal(e.Value, &p); err != nil {
			bad(err)
			return
		}
		if n.presences[name].Version < e.Version {
			n.presences[name] = leadership.Presence{Incarnation: p.Incarnation, Version: e.Version}
		}
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

// learnRecord takes in a control record as the state service has it under a version.
func (n *Node) learnRecord(r *leadership.Record, version uint64) {
	if n.record != nil && r.Epoch > n.record.Epoch {
		n.recovery.detection.NewerEpochSeen(r.Epoch) // all is read anew before anything rests on it
		return
	}
	if n.record != nil && version <= n.recordVersion {
		return // read before the one known was written
	}
	if n.record != nil && (r.Epoch < n.record.Epoch || r.Term < n.record.Term || r.Epoch == n.record.Epoch && r.StoreID != n.record.StoreID) {
		// A store that went back and on again, past the revision that was seen, or one that
		// was begun anew by a process that found none.
		n.suspectLoss(datarecovery.SignRecordOlder)
		return
	}
	if n.record != nil && r.PreviousVersion != 0 && r.PreviousVersion < n.recordVersion {
		// Written past the revision that was seen, over a store that had gone back: the versions
		// that were given in between are given again, and no comparison shows the loss any more.
		n.recovery.detection.RecordOutOfChain()
		n.suspectLoss(datarecovery.SignRecordOutOfChain)
		return
	}
	n.adopt(r, version)
}

// adopt takes up a control record.
func (n *Node) adopt(r *leadership.Record, version uint64) {
	if version <= n.recordVersion {
		return
	}
	if version > n.unansweredVersion {
		n.unansweredVersion = 0 // a change that is still on its way will meet another version
	}
	old := n.record
	n.record, n.recordVersion = r, version
	now := time.Now()
	if old == nil || old.Term != r.Term {
		if old == nil || !maps.Equal(old.Nodes, r.Nodes) || !slices.Equal(old.Unreachable, r.Unreachable) {
			n.membershipSettledAt = now
		}
		n.termChangedAt = now
		n.log.Info("control record", "term", r.Term, "members", r.Members(), "items", r.Shards)
		n.agents.SetTerm(r.Term, func(m string) bool { return r.Home(m) == n.name })
		defer func() { // once the items are those of this record
			for _, name := range slices.Sorted(maps.Keys(n.agents.All())) {
				n.publishStatus(name)
			}
		}()
		for name, d := range n.commandSenders {
			if n.agents.Get(name) == nil {
				delete(n.commandSenders, name)
				close(d.signal)
			}
		}
	}
	if old != nil && old.DataLost && !r.DataLost {
		n.recovery.detection.SearchGivenUp() // what is known is all that there will be
	}
	if r.Epoch > 0 && (old == nil || old.Epoch != r.Epoch) {
		n.recovery.detection.Entered(r.Epoch, now)
		n.epochEntered(r)
	}
	if old != nil && old.RosterIncomplete && !r.RosterIncomplete {
		n.reload()
	}
	mine := r.Nodes[n.name] == n.incarnation
	n.followOwners(r, mine)
	n.wake()
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
