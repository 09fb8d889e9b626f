package topazhollow

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"topazhollow/internal/frontend"
	"topazhollow/internal/rebuild"
	"topazhollow/internal/settings"
	"topazhollow/internal/state"
	"topazhollow/internal/teamstore"
	"topazhollow/internal/tenure"
	"topazhollow/internal/wire"
)

// Keys of the state service beside those of the frontend.
const (
	controlKey = frontend.Watched + "c"
	nodeKey    = frontend.Watched + "n/"
	machineKey = frontend.Watched + "m/"
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
		case errors.Is(err, state.ErrNoLease):
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
	guard := wire.Guard{Key: nodeKey + n.name}
	if e != nil {
		guard.Version = e.Version
	}
	_, _, err = n.state.TxnControl(ctx, wire.Txn{
		Guards: []wire.Guard{guard},
		Then:   []wire.Op{{Set: nodeKey + n.name, Value: wire.Encode(present{n.inc}), Lease: grant}},
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
			var entries []wire.Entry
			var revision uint64
			if entries, revision, err = n.state.List(ctx, frontend.Watched); err == nil {
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
			var ch *wire.Changes
			ch, err = n.state.Watch(watch, frontend.Watched, after)
			cancel()
			if err == nil {
				n.mu.Lock()
				n.caughtUp(ch, began)
				n.mu.Unlock()
				n.wake()
			}
		}
		if errors.Is(err, state.ErrGone) {
			listed = false
		} else if err != nil {
			n.log.Debug("watch failed", "err", err)
			pause(ctx, 300*time.Millisecond)
		}
	}
	return nil
}

// reset takes in a full list of the watched keys.
func (n *Node) reset(entries []wire.Entry, revision uint64) {
	seen := map[string]bool{}
	for _, e := range entries {
		seen[e.Key] = true
		n.changed(wire.Change{Set: e.Key, Value: e.Value, Version: e.Version})
	}
	for name := range n.live {
		if !seen[nodeKey+name] {
			delete(n.live, name)
		}
	}
	for uid, j := range n.jobs {
		// One that was accepted after the list began may not be in it.
		if j.active && j.version > 0 && j.version <= revision && !seen[frontend.JobKey+uid] {
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
func (n *Node) changed(e wire.Change) {
	key := e.Set + e.Delete
	bad := func(err error) { n.log.Error("unreadable key in the state service", "key", key, "err", err) }
	switch {
	case key == controlKey:
		var r tenure.Record
		if err := json.Unmarshal(e.Value, &r); err != nil {
			bad(err)
			return
		}
		if n.record != nil && r.Generation > n.record.Generation {
			n.store.watch.Newer(r.Generation) // all is read anew before anything rests on it
			return
		}
		if n.record != nil && e.Version <= n.version {
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
		n.adopt(&r, e.Version)
	case strings.HasPrefix(key, rebuild.StoreKey):
		delete(n.store.markers, key)
		if e.Delete == "" {
			n.store.markers[key] = e.Version
			n.refence()
		} else if n.record != nil && key == rebuild.StoreKey+n.record.Store {
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
			n.live[name] = tenure.Presence{Incarnation: p.Incarnation, Version: e.Version}
		}
	case strings.HasPrefix(key, frontend.JobKey):
		if e.Delete != "" {
			delete(n.store.bury, key[len(frontend.JobKey):])
			n.endJob(key[len(frontend.JobKey):])
			return
		}
		var s frontend.Stored
		if err := json.Unmarshal(e.Value, &s); err != nil || s.Spec == nil {
			bad(err)
			return
		}
		n.learnJob(s, e.Version)
	case strings.HasPrefix(key, rebuild.EndsKey), strings.HasPrefix(key, rebuild.DoneKey):
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

// adopt takes up a control record.
func (n *Node) adopt(r *tenure.Record, version uint64) {
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
	n.changed(wire.Change{Set: e.Key, Value: e.Value, Version: e.Version})
	return nil
}

// hint asks for a fresh read of the control record.
func (n *Node) hint() {
	select {
	case n.renew <- struct{}{}:
	default:
	}
}

// mayHold says whether a member without a lease may act by a promise of this
// controller, or of an earlier process of it: one whose key is gone. A newer
// process of a member holds no promise.
func (n *Node) mayHold() bool {
	if n.record == nil {
		return false
	}
	for name := range n.record.Nodes {
		if _, there := n.live[name]; !there {
			return true
		}
	}
	return false
}

// keepRecord changes the control record when members come or go, and for this
// controller's own items.
func (n *Node) keepRecord(ctx context.Context) error {
	started := time.Now()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.renew:
			if err := n.refresh(ctx); err != nil {
				pause(ctx, 200*time.Millisecond)
			}
			continue
		case <-ticker.C:
		}
		now := time.Now()
		n.mu.Lock()
		next, conds, reason := n.proposal(now, started)
		version, marker := n.version, uint64(0)
		if n.record != nil {
			marker = n.store.markers[rebuild.StoreKey+n.record.Store]
		}
		n.raising = next != nil
		n.mu.Unlock()
		if next == nil {
			continue
		}
		if version == 0 { // the first record: the generation begins with it
			next.Generation, next.First, next.Store = 1, next.Term, drawn()
		}
		next.After = version
		txn := wire.Txn{Guards: []wire.Guard{{Key: controlKey, Version: version}}, Then: []wire.Op{{Set: controlKey, Value: wire.Encode(next)}}}
		for _, c := range conds {
			txn.Guards = append(txn.Guards, wire.Guard{Key: nodeKey + c.Node, Version: c.Version})
		}
		if version == 0 {
			txn.Then = append(txn.Then, wire.Op{Set: rebuild.StoreKey + next.Store, Value: []byte("{}")})
			txn.Guards = append(txn.Guards, wire.Guard{Key: rebuild.StoreKey + next.Store})
		} else if marker > 0 {
			txn.Guards = append(txn.Guards, wire.Guard{Key: rebuild.StoreKey + next.Store, Version: marker})
		}
		revision, failed, err := n.state.TxnControl(ctx, txn)
		n.log.Info("control record proposed", "term", next.Term, "reason", reason, "err", err, "failed", failed)
		n.mu.Lock()
		n.raising = false
		if err == nil {
			n.adopt(next, revision)
		} else if !errors.Is(err, state.ErrConflict) && !errors.Is(err, state.ErrRefused) {
			n.unsure = max(1, version)
		} else if errors.Is(err, state.ErrRefused) {
			for _, it := range n.items {
				it.frozen, it.adding = false, nil // it was not executed and will not be
			}
		}
		n.mu.Unlock()
		if err == nil {
			continue
		}
		if err := n.refresh(ctx); err != nil {
			pause(ctx, 200*time.Millisecond)
		}
	}
}

// proposal is the change of the record that this controller should try now.
func (n *Node) proposal(now, started time.Time) (*tenure.Record, []tenure.Condition, string) {
	if !n.listed || !n.trusted() || !n.lease.Valid(now) || (now.Before(n.promised) && n.mayHold()) || n.live[n.name].Incarnation != n.inc {
		return nil, nil, ""
	}
	record := n.record
	if record == nil {
		if len(n.live) < len(n.set.Peers)+1 && now.Sub(started) < 2500*time.Millisecond {
			return nil, nil, ""
		}
		// Drawn, so that workers' tokens tell an earlier store's terms from this one's.
		record = (&tenure.Record{Term: 1<<10 + n.rng.Uint64N(1<<20)}).Clone()
	}
	if next, conds := tenure.Repair(record, n.itemNames(), n.live); next != nil {
		if n.missing.IsZero() {
			n.missing = now
		}
		turn := slices.Index(slices.Sorted(maps.Keys(n.live)), n.name)
		if now.Sub(n.missing) < time.Duration(turn)*350*time.Millisecond {
			return nil, nil, ""
		}
		return next, conds, "members changed"
	}
	n.missing = time.Time{}
	if !n.entitled(now) {
		return nil, nil, ""
	}
	if n.unsure != 0 && n.unsure >= n.version {
		// A change without an answer may yet be applied; any other change of the
		// same version rules that out.
		return record.Clone(), nil, "settle an unanswered change"
	}
	syncs := n.syncs(now)
	rebalance := now.Sub(n.settled) > 3*time.Second
	if next, handed := tenure.Upkeep(record, n.name, syncs, rebalance); next != nil {
		for _, name := range handed {
			n.items[name].frozen = true
		}
		for name, it := range next.Items {
			if have := n.items[name]; have != nil {
				have.adding = it.InSync
			}
		}
		return next, nil, "upkeep"
	}
	if slices.Contains(record.Deaf, n.name) {
		if n.hears {
			n.hears = false
			return tenure.Hearing(record, n.name, false), nil, "workers can be reached again"
		}
	} else {
		n.hears = false
	}
	if home := n.unheard(now); home != "" && now.Sub(n.bumped) > 3*time.Second {
		if next := tenure.Hearing(record, home, true); next != nil {
			return next, nil, "workers cannot reach " + home
		}
	}
	if record.Census && n.items[tenure.Fleet] != nil && n.rosterWhole() {
		next := record.Clone()
		next.Census = false
		return next, nil, "every machine is on the roster"
	}
	if n.items[tenure.Fleet] != nil {
		if next := rebuild.GiveUp(record, now.Sub(n.store.entered), settings.Seconds(n.opt.CopyWait)); next != nil {
			return next, nil, "no copy was put back in time: what nobody knows is lost for good"
		}
	}
	if n.needTerm(now) && now.Sub(n.bumped) > 5*time.Second {
		next := record.Clone()
		next.Term++
		return next, nil, "unproven attempts"
	}
	return nil, nil, ""
}
