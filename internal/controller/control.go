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
	controlKey = userapi.Watched + "c"
	nodeKey    = userapi.Watched + "n/"
	machineKey = userapi.Watched + "m/"
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
		grant, shown := n.grant, n.store.shown
		n.store.shown = true // unless something says meanwhile that it is not
		n.mu.Unlock()
		sent := time.Now()
		var err error
		if grant == 0 {
			shown = false
			if grant, err = n.state.Grant(ctx, n.lease.Life); err == nil {
				n.mu.Lock()
				n.grant = grant
				n.mu.Unlock()
			}
		} else if shown {
			err = n.state.Extend(ctx, grant)
		}
		if err == nil && !shown {
			if err = n.show(ctx, grant); err == nil {
				shown = true
				n.log.Info("lease taken", "lease", grant)
			}
		}
		n.mu.Lock()
		n.store.shown = n.store.shown && shown
		switch {
		case err == nil:
			n.lease.Renewed(sent)
			n.renewed = sent
		case errors.Is(err, kvstore.ErrNoLease):
			n.log.Info("lease ended at the state service", "lease", grant)
			if sent.Sub(n.renewed) < n.lease.Life*9/10 && n.lease.Valid(sent) {
				n.doubt("a lease is gone that cannot have ended")
			}
			n.grant = 0
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
		case <-n.store.again:
		case <-ctx.Done():
		}
		if t.Stop(); ctx.Err() != nil {
			return nil
		}
	}
}

// show writes this process's key. The write is guarded by the key's version, so
// that a late one of an earlier process changes nothing.
func (n *Node) show(ctx context.Context, grant uint64) error {
	e, err := n.state.GetControl(ctx, nodeKey+n.name)
	if err != nil {
		return err
	}
	guard := protocol.Guard{Key: nodeKey + n.name}
	if e != nil {
		guard.Version = e.Version
	}
	_, _, err = n.state.TxnControl(ctx, protocol.Txn{
		Guards: []protocol.Guard{guard},
		Then:   []protocol.Op{{Set: nodeKey + n.name, Value: protocol.Encode(present{n.inc}), Lease: grant}},
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
			if entries, revision, err = n.state.List(ctx, userapi.Watched); err == nil {
				n.mu.Lock()
				if listed = n.takeList(entries, revision); listed {
					n.knows(began)
				}
				n.mu.Unlock()
				if !listed {
					pause(ctx, 300*time.Millisecond)
				}
			}
		} else {
			n.mu.Lock()
			after := n.revision
			watch, cancel := context.WithCancel(ctx)
			n.store.rewatch = cancel // what is watched ends with the generation
			n.mu.Unlock()
			var ch *protocol.Changes
			ch, err = n.state.Watch(watch, userapi.Watched, after)
			cancel()
			if err == nil {
				n.mu.Lock()
				n.caughtUp(ch, began)
				n.mu.Unlock()
				n.wake()
			}
		}
		if errors.Is(err, kvstore.ErrGone) {
			listed = false
		} else if err != nil {
			n.log.Debug("watch failed", "err", err)
			pause(ctx, 300*time.Millisecond)
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
	for name := range n.live {
		if !seen[nodeKey+name] {
			delete(n.live, name)
		}
	}
	for uid, j := range n.jobs {
		// One that was accepted after the list began may not be in it.
		if j.active && j.version > 0 && j.version <= revision && !seen[userapi.JobKey+uid] {
			n.endJob(uid)
			n.confirmEnd(uid, j)
		}
	}
	for _, key := range n.roster.Keys() {
		if !seen[key] {
			n.doubt("a list of machines is not there") // they are never deleted
		}
	}
	n.configListed(seen)
	n.listed, n.revision = true, revision
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
	case strings.HasPrefix(key, datarecovery.StoreKey):
		delete(n.store.markers, key)
		if e.Delete == "" {
			n.store.markers[key] = e.Version
			n.refence()
		} else if n.record != nil && key == datarecovery.StoreKey+n.record.Store {
			n.doubt("the generation's key was deleted")
		}
	case strings.HasPrefix(key, nodeKey):
		name := key[len(nodeKey):]
		if e.Delete != "" {
			if n.live[name].Version <= e.Version {
				delete(n.live, name)
			}
			return
		}
		var p present
		if err := json.Unmarshal(e.Value, &p); err != nil {
			bad(err)
			return
		}
		if n.live[name].Version < e.Version {
			n.live[name] = leadership.Presence{Incarnation: p.Incarnation, Version: e.Version}
		}
	case strings.HasPrefix(key, userapi.JobKey):
		if e.Delete != "" {
			delete(n.store.bury, key[len(userapi.JobKey):])
			n.endJob(key[len(userapi.JobKey):])
			return
		}
		var s userapi.Stored
		if err := json.Unmarshal(e.Value, &s); err != nil || s.Spec == nil {
			bad(err)
			return
		}
		n.learnJob(s, e.Version)
	case strings.HasPrefix(key, datarecovery.EndsKey), strings.HasPrefix(key, datarecovery.DoneKey):
		if e.Delete == "" {
			if err := n.learnPage(key, e.Value); err != nil {
				bad(err)
			}
		}
	case strings.HasPrefix(key, machineKey):
		n.learnRoster(key, e.Value, e.Version)
	case strings.HasPrefix(key, teamstore.Prefix):
		n.learnConfig(e)
	}
}

// learnRecord takes in a control record as the state service has it under a version.
func (n *Node) learnRecord(r *leadership.Record, version uint64) {
	if n.record != nil && r.Generation > n.record.Generation {
		n.store.watch.Newer(r.Generation) // all is read anew before anything rests on it
		return
	}
	if n.record != nil && version <= n.version {
		return // read before the one known was written
	}
	if n.record != nil && (r.Generation < n.record.Generation || r.Term < n.record.Term || r.Generation == n.record.Generation && r.Store != n.record.Store) {
		// A store that went back and on again, past the revision that was seen, or one that
		// was begun anew by a process that found none.
		n.doubt("the control record is older than the one known")
		return
	}
	if n.record != nil && r.After != 0 && r.After < n.version {
		// Written past the revision that was seen, over a store that had gone back: the versions
		// that were given in between are given again, and no comparison shows the loss any more.
		n.store.unchained = true
		n.store.saw = true
		n.doubt("the control record does not follow the one known")
		return
	}
	n.adopt(r, version)
}

// adopt takes up a control record.
func (n *Node) adopt(r *leadership.Record, version uint64) {
	if version <= n.version {
		return
	}
	if version > n.unsure {
		n.unsure = 0 // a change that is still on its way will meet another version
	}
	old := n.record
	n.record, n.version = r, version
	now := time.Now()
	if old == nil || old.Term != r.Term {
		if old == nil || !maps.Equal(old.Nodes, r.Nodes) || !slices.Equal(old.Deaf, r.Deaf) {
			n.settled = now
		}
		n.bumped = now
		n.log.Info("control record", "term", r.Term, "members", r.Members(), "items", r.Items)
		n.home.SetTerm(r.Term, func(m string) bool { return r.Home(m) == n.name })
		defer func() { // once the items are those of this record
			for _, name := range slices.Sorted(maps.Keys(n.home.All())) {
				n.noteView(name)
			}
		}()
		for name, d := range n.doers {
			if n.home.Get(name) == nil {
				delete(n.doers, name)
				close(d.signal)
			}
		}
	}
	if old != nil && old.Lost && !r.Lost && n.store.read {
		n.store.whole = true // what is known is all that there will be
	}
	if r.Generation > 0 && (old == nil || old.Generation != r.Generation) {
		n.store.watch.Entered(r.Generation, now)
		n.generationBegan(r)
	}
	if old != nil && old.Census && !r.Census {
		n.loadAnew()
	}
	mine := r.Nodes[n.name] == n.inc
	for name, it := range r.Items {
		have := n.items[name]
		own := mine && it.Owner == n.name
		if have != nil && (!own || have.since != it.Since) {
			if have.phase == ready && mine {
				n.backups[name] = &backup{since: it.Since, rep: have.team.Replica()}
			}
			n.log.Info("item given up", "item", name, "owner", it.Owner, "term", r.Term)
			delete(n.items, name)
			n.recount(slices.Values(have.team.Machines()))
			have = nil
		}
		if own && have == nil {
			n.takeUp(name, it)
		} else if own {
			have.frozen = false
			have.adding = nil
			if have.team != nil {
				have.team.SetTerm(r.Term)
			}
		}
	}
	if !mine {
		n.backups = map[string]*backup{}
	}
	n.wake()
}

// refresh reads the control record now, after a hint that it has changed.
func (n *Node) refresh(ctx context.Context) error {
	e, err := n.state.GetControl(ctx, controlKey)
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
	case n.renew <- struct{}{}:
	default:
	}
}
