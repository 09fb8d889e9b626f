package leasegrant_test

import (
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/cancelwatermark"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
)

// This file models the controllers: leases, the membership record, statuses and cancellations.

// startController starts a process of a controller.
func (w *world) startController(i int) {
	process := uint64(1)
	if old := w.controllers[i]; old != nil {
		process = old.incarnation + 1
	}
	c := &controller{index: i, up: true, incarnation: process, lease: leadership.Lease{TTL: controllerLease, Margin: controllerLease / 20},
		renewedAt: w.now, promisedUntil: w.now.Add(promiseTime), home: agents.New(capacity, size), live: map[string]leadership.Presence{}}
	var others []string
	for k, name := range names {
		if k != i {
			others = append(others, name)
		}
	}
	c.watermark = cancelwatermark.New(others, cancelTime, w.agentLease)
	w.controllers[i] = c
}

// served reports whether the store answers a controller's requests.
func (w *world) served(i int) bool { return !w.store.down && !w.store.refused[i] }

// linked reports whether two controllers are running and connected.
func (w *world) linked(i, k int) bool {
	return w.controllers[i].up && w.controllers[k].up && !w.unlinked[i] && !w.unlinked[k]
}

// entitled mirrors State.Entitled of internal/leadership.
func (w *world) entitled(c *controller) bool {
	if c.record == nil || c.record.Nodes[names[c.index]] != c.incarnation {
		return false
	}
	return c.lease.Valid(w.now) || w.holdsPromises(c)
}

// holdsPromises mirrors State.HoldsPromises of internal/leadership.
func (w *world) holdsPromises(c *controller) bool {
	for k := range names {
		p := &c.peers[k]
		if k != c.index && (!w.now.Before(p.promisedUntil) || p.promisedVersion > c.version && w.mutant != "promises count whatever record they name") {
			return false
		}
	}
	return true
}

// applyChange processes a change of the job's key, like Node.applyActiveJobKey.
func (w *world) applyChange(c *controller, x change) {
	switch {
	case x.deleted:
		w.endJob(c)
	case c.known && !c.active:
	case c.ended && w.mutant != "a late read revives an ended job":
		c.known, c.active = true, false
	default:
		c.known, c.active = true, true
		if c.teamState != nil {
			c.teamState.AddJob(spec(), x.revision, w.now, nil)
		}
	}
}

func (w *world) endJob(c *controller) {
	if !c.known && w.mutant == "a late read revives an ended job" {
		return
	}
	c.known, c.active = true, false
	if c.teamState != nil {
		c.teamState.EndJob(jobUID)
	}
}

// receiveCancellation makes a controller receive a confirmed cancellation from a peer.
func (w *world) receiveCancellation(c *controller, from *controller, number uint64) {
	c.watermark.RecordIncarnation(names[from.index], from.incarnation, w.now)
	c.ended = true
	if c.known {
		w.endJob(c)
	}
	c.watermark.RecordReceived(names[from.index], number, 1)
}

// confirmCancellation makes a controller confirm the job's cancellation to the user.
func (w *world) confirmCancellation(c *controller) {
	c.ended = true
	w.endJob(c)
	if w.confirmedAt.IsZero() {
		w.confirmedAt = w.now
	}
	if w.mutant == "cancellations are not numbered" {
		return
	}
	if number := c.watermark.RecordCancellation(jobUID); number > 0 {
		for k := range names {
			if k != c.index && w.linked(c.index, k) {
				w.receiveCancellation(w.controllers[k], c, number)
			}
		}
	}
}

// readStore makes a controller renew its lease and read the store.
func (w *world) readStore(c *controller) {
	name := names[c.index]
	if p, ok := w.store.live[name]; !ok || p.Incarnation != c.incarnation {
		w.store.revision++
		w.store.live[name] = leadership.Presence{Incarnation: c.incarnation, Version: w.store.revision}
	}
	w.store.expires[name] = w.now.Add(controllerLease)
	c.lease.Renewed(w.now)
	c.renewedAt = w.now
	for _, x := range w.store.changes {
		if x.revision > c.revision {
			w.applyChange(c, x)
		}
	}
	c.revision = w.store.revision
	c.live = map[string]leadership.Presence{}
	for k, p := range w.store.live {
		c.live[k] = p
	}
	w.adoptRecord(c, w.store.record, w.store.version)
	c.watermark.RecordRead(w.now)
}

// adoptRecord makes a controller adopt a membership record.
func (w *world) adoptRecord(c *controller, r *leadership.Record, version uint64) {
	if version <= c.version {
		return
	}
	c.record, c.version = r, version
	c.home.SetTerm(r.Term, func(m string) bool { return r.Home(m) == names[c.index] })
	shard := r.Shards[team]
	if shard.Owner != names[c.index] || r.Nodes[names[c.index]] != c.incarnation {
		c.teamState = nil
		return
	}
	if c.teamState != nil && c.sinceTerm == shard.SinceTerm {
		c.teamState.SetTerm(r.Term)
		return
	}
	replica := jobstate.NewReplica()
	c.sinceTerm, c.awaited = shard.SinceTerm, [2]bool{}
	if shard.NeedsBarrier {
		c.awaited = [2]bool{true, true}
	} else {
		replica = jobstate.FromCopy(w.replica.Copy())
	}
	eightCPUs := jobstate.Resources{CPUs: 8}
	limits := jobstate.Limits{Guaranteed: eightCPUs, Max: eightCPUs}
	c.teamState = jobstate.NewTeam(team, limits, replica, r.Term, discardLog)
	if c.active {
		c.teamState.AddJob(spec(), 1, w.now, nil)
	}
}

// status is a controller's status message to its peers.
type status struct {
	from           *controller
	peers          [3]peer // the last status received from each peer
	received       [3]uint64
	confirmed      uint64
	promise        bool
	entitled       bool
	homeWatermarks [2]time.Time // of the machines that it is the home of
}

func (w *world) exchangeStatuses() {
	var all [3]status
	for i, c := range w.controllers {
		if !c.up {
			continue
		}
		s := status{from: c, peers: c.peers, confirmed: c.watermark.Confirmed(), entitled: w.entitled(c)}
		for k, name := range names {
			s.received[k] = c.watermark.ReceivedFrom(name)
		}
		if s.promise = w.now.Sub(c.renewedAt) > controllerLease*2/5; s.promise {
			c.promisedUntil = w.now.Add(promiseTime)
		}
		for k := range w.machines {
			if m := c.home.Get(machineName(k)); m != nil {
				s.homeWatermarks[k] = m.HeartbeatAt
				if known := m.InFlightWatermark(func(string) bool { return true }); !known.IsZero() && known.Before(m.HeartbeatAt) && w.mutant != "home watermarks ignore starts in flight" {
					s.homeWatermarks[k] = known
				}
			}
		}
		all[i] = s
	}
	for i := range all {
		for k := range names {
			if i != k && w.linked(i, k) {
				w.receiveStatus(w.controllers[k], &all[i])
			}
		}
	}
}

func (w *world) receiveStatus(c *controller, s *status) {
	from, name := s.from.index, names[s.from.index]
	p := &c.peers[from]
	process := s.from.incarnation
	if w.mutant == "a peer's restart goes unnoticed" {
		process = 1
	}
	c.watermark.RecordIncarnation(name, process, w.now)
	if p.incarnation != s.from.incarnation {
		p.incarnation = s.from.incarnation
		p.statusAt = time.Time{}
	}
	if echo := s.peers[c.index]; echo.incarnation == c.incarnation && !echo.statusAt.IsZero() {
		if until := echo.statusAt.Add(promiseTime - promiseTime/500); s.promise && until.After(p.promisedUntil) {
			p.promisedUntil, p.promisedVersion = until, s.from.version
		}
		c.watermark.RecordConfirmedBy(name, s.confirmed, echo.statusAt)
		c.watermark.RecordAcknowledgedBy(name, s.received[c.index])
		if number, uids := c.watermark.TakeUnacknowledged(name, w.now, 9); len(uids) > 0 && w.linked(c.index, from) && w.mutant != "cancellations are not sent again" {
			w.receiveCancellation(s.from, c, number)
		}
	}
	p.statusAt, p.entitled = w.now, s.entitled
	for k, at := range s.homeWatermarks {
		if c.record != nil && !at.IsZero() && c.record.Home(machineName(k)) == name {
			c.homeWatermarks[k] = at
		}
	}
	if c.record != nil && s.from.version < c.version && s.from.record != nil {
		w.adoptRecord(s.from, c.record, c.version) // the peer is sent the newer record
	}
}

// changeRecord writes the changes of the membership record that are due.
func (w *world) changeRecord() {
	for _, c := range w.controllers {
		if !c.up || c.record == nil || !w.served(c.index) || !c.lease.Valid(w.now) || c.live[names[c.index]].Incarnation != c.incarnation || c.version != w.store.version {
			continue
		}
		if w.now.Before(c.promisedUntil) && promiseMayBeHeld(c) {
			continue
		}
		next, _ := leadership.ReconcileMembers(c.record, []string{team}, c.live)
		if next == nil && w.entitled(c) && c.teamState != nil {
			next, _ = leadership.UpdateShards(c.record, names[c.index], map[string]leadership.ShardStatus{team: w.shardStatus(c)}, false)
			if next == nil && c.teamState.UnconfirmedStops(w.now, confirmStopsWithin) > 0 {
				next = c.record.Clone()
				next.Term++
			}
		}
		if next == nil {
			continue
		}
		w.writeRecord(next)
		w.adoptRecord(c, next, w.store.version)
	}
}

// promiseMayBeHeld mirrors State.promiseMayBeHeld of internal/leadership.
func promiseMayBeHeld(c *controller) bool {
	for name := range c.record.Nodes {
		if _, there := c.live[name]; !there {
			return true
		}
	}
	return false
}

// shardStatus returns the owner's view of the team's shard.
func (w *world) shardStatus(c *controller) leadership.ShardStatus {
	s := leadership.ShardStatus{Ready: c.awaited == [2]bool{}, InSync: map[string]bool{}, Lagging: map[string]bool{}}
	for k, name := range names {
		if k == c.index {
			continue
		}
		if current := w.linked(c.index, k) && c.record.Nodes[name] == w.controllers[k].incarnation; current && w.controllers[k].version == c.version {
			s.InSync[name] = true
		} else {
			s.Lagging[name] = true
		}
	}
	return s
}
