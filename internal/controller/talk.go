package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/peer"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/teamconfig"
)

// The lines between controllers. Unknown kinds and fields are ignored.
type (
	ordersMsg struct {
		Term    uint64           `json:"term"`
		Machine string           `json:"machine"`
		Orders  []jobstate.Order `json:"orders"`
	}
	// statusMsg is told twice a second.
	statusMsg struct {
		Term     uint64                  `json:"term"`
		Entitled bool                    `json:"entitled"`
		Leased   bool                    `json:"leased,omitempty"`
		At       int64                   `json:"at"`                  // the sender's steady clock, ms
		Heard    map[string]echo         `json:"heard,omitempty"`     // the last At of each peer
		Promise  bool                    `json:"promise,omitempty"`   // to raise no term for promiseLife
		Alive    map[string]int64        `json:"alive,omitempty"`     // homed machines: ms since their last report
		InFlight map[string]int64        `json:"in_flight,omitempty"` // of these, by starts that may still arrive: ms since all withdrawals known at the sending were confirmed
		Stray    []string                `json:"stray,omitempty"`     // machines of other homes that reported here since the last status
		Demands  []demand                `json:"demands,omitempty"`
		Progress map[string][2]int       `json:"progress,omitempty"` // of own teams' jobs, in one status a second; nil: as it was
		Drain    []string                `json:"drain,omitempty"`
		Awaits   []string                `json:"awaits,omitempty"` // machines that a barrier waits for
		Mute     []string                `json:"mute,omitempty"`   // machines that did not answer a probe
		Writes   *float64                `json:"writes,omitempty"` // changes of the state service wanted a second
		Store    datarecovery.Assessment `json:"store"`            // what the sender holds of the state service
		Version  *uint64                 `json:"version"`          // of the control record that it knows; a promise counts for that one and later ones
		Told     *uint64                 `json:"told"`             // withdrawals that this process confirmed to users so far
		Plan     admission.Word          `json:"plan"`             // what it knows of plans of who gets how much
		Config   *teamconfig.Word        `json:"config,omitempty"` // what it knows of the teams' configuration
	}
)

// echo names a peer's status that was heard.
type echo struct {
	Incarnation uint64  `json:"incarnation"`
	At          int64   `json:"at"`
	Got         *uint64 `json:"got"` // of the withdrawals that it confirmed, taken in without a gap
}

// demand is room that waiting tasks of a job ask for.
type demand struct {
	Job      string  `json:"job"`
	Count    int     `json:"count"`
	Borrowed bool    `json:"borrowed,omitempty"` // beyond the team's guarantee
	Behind   int64   `json:"behind,omitempty"`   // ms that the team's quota takes for what waits beyond it
	Beyond   float64 `json:"beyond,omitempty"`   // CPUs that the job's class asks for beyond the quota; then Count is 0
	First    int     `json:"first,omitempty"`    // of the tasks, that go before what is more urgent
	Zone     string  `json:"zone,omitempty"`     // the only one for the tasks, since the others of the job are there
}

// evictMsg asks the owner of a task to stop it, to give its room to a job that
// goes before it.
type evictMsg struct {
	Ref jobstate.AttemptRef `json:"ref"`
	For string              `json:"for"` // the job that needs the room
}

// peerHandler is the controller as its links see it.
type peerHandler Node

func (h *peerHandler) PeerUp(node string) {
	n := (*Node)(h)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[node].connected = true
	n.peers[node].delivery.Up(time.Now())
	n.shards.ForgetReplica(node)
	for name := range n.agents.All() {
		n.changedMachines[name] = true
	}
	if n.record != nil {
		n.sendMemories(false, node)
	}
	n.tellNow() // one that starts waits for this one's word
	n.wake()
}

func (h *peerHandler) PeerDown(node string) {
	n := (*Node)(h)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[node].connected = false
	n.shards.ForgetReplica(node)
}

func (h *peerHandler) PeerMessage(node string, incarnation uint64, kind string, body []byte) {
	n := (*Node)(h)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	p := n.peers[node]
	if p.incarnation != incarnation {
		p.incarnation, p.statusClock = incarnation, 0
	}
	n.cancelWatermark.RecordIncarnation(node, incarnation, now)
	p.heardAt = now
	var err error
	switch kind {
	case "status":
		var s statusMsg
		if err = protocol.Decode(body, &s); err == nil {
			n.onStatus(p, &s, now)
			n.resetIfHalfOpen(node, &s, now)
			n.onPeerCancellations(node, &s, now)
			n.onHomeWatermarks(node, &s, now)
			n.teach(node, &s, now)
			n.recovery.watch.Heard(node, s.Store, now)
			n.onPlan(node, incarnation, p, &s.Plan)
			n.onConfigWord(node, incarnation, s.Config, now)
			if n.record != nil && s.Store.Epoch == n.record.Epoch && s.Store.Term > n.record.Term {
				n.recovery.ahead = max(n.recovery.ahead, s.Store.Term)
			}
		}
	case "views":
		var views []*jobstate.MachineStatus
		if err = protocol.Decode(body, &views); err == nil {
			for _, v := range views {
				if v != nil && v.Machine != "" {
					n.applyStatus(v, now)
				}
			}
		}
	case "orders":
		var o ordersMsg
		if err = protocol.Decode(body, &o); err == nil {
			n.onOrders(&o, now)
		}
	case shards.KindProbe:
		var m shards.ProbeRequest
		if err = protocol.Decode(body, &m); err == nil {
			n.onProbe(m.Addrs, now)
		}
	case "record":
		var m recordMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onRecord(&m)
		}
	case "config":
		var m configMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onConfig(&m)
		}
	case "evict":
		var e evictMsg
		if err = protocol.Decode(body, &e); err == nil {
			n.onEvict(&e)
		}
	case shards.KindCopy:
		var c shards.Copy
		if err = protocol.Decode(body, &c); err == nil {
			n.onCopy(node, incarnation, &c)
		}
	case shards.KindCopyPart:
		var m shards.CopyPart
		if err = protocol.Decode(body, &m); err == nil {
			n.onCopyPart(node, incarnation, &m)
		}
	case shards.KindDeltas:
		var d shards.Deltas
		if err = protocol.Decode(body, &d); err == nil {
			n.onDeltas(node, incarnation, &d)
		}
	case kindMemories:
		var m memoriesMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onMemories(node, &m)
		}
	case kindMissingEnds:
		var m missingEndsMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onMissingEnds(node, &m)
		}
	case kindReplicateFact:
		var m replicateFactMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onReplicateFact(node, &m)
		}
	case kindFactReplicated:
		var m factReplicatedMsg
		if err = protocol.Decode(body, &m); err == nil {
			n.onFactReplicated(&m)
		}
	case shards.KindAcknowledgement:
		var a shards.Acknowledgement
		if err = protocol.Decode(body, &a); err == nil {
			n.onAcknowledgement(node, incarnation, &a)
		}
	}
	if err != nil {
		n.log.Error("unreadable line", "peer", node, "kind", kind, "err", err)
	}
}

// resetIfHalfOpen has the connection to a peer dialled anew if the peer, which is heard, does not get what is sent on it.
func (n *Node) resetIfHalfOpen(node string, s *statusMsg, now time.Time) {
	received := uint64(0)
	if e := s.Heard[n.name]; e.Incarnation == n.incarnation && e.At > 0 {
		received = uint64(e.At)
	}
	if p := n.peers[node]; p.connected && p.delivery.Heard(now, received) {
		n.log.Info("peer link is half-open", "peer", node)
		n.links.Reset(node)
	}
}

func (n *Node) onStatus(p *peerState, s *statusMsg, now time.Time) {
	p.leased, p.statusClock = s.Leased, s.At
	if e, ok := s.Heard[n.name]; ok && s.Promise && s.Version != nil && e.Incarnation == n.incarnation && n.sentBy(e.At, now) {
		// The promise runs from when the peer sent it, which was after our own
		// status that it names: counted from then, and less the clocks' drift, it
		// ends here first.
		until := n.startedAt.Add(time.Duration(e.At)*time.Millisecond + promiseLife - promiseLife/500)
		if until.After(p.promisedUntil) {
			p.promisedUntil, p.promisedVersion = until, *s.Version
		}
	}
	p.entitled, p.demands = s.Entitled, s.Demands
	if s.Progress != nil {
		p.progress = s.Progress
	}
	p.drainingMachines = map[string]bool{}
	for _, m := range s.Drain {
		p.drainingMachines[m] = true
	}
	p.awaitedMachines, p.unansweredMachines, p.wantedWrites = s.Awaits, s.Mute, -1
	if s.Writes != nil {
		p.wantedWrites = *s.Writes
	}
	for name, age := range s.Alive {
		if m := n.machines[name]; m != nil && !m.gone {
			t := now.Add(-time.Duration(age) * time.Millisecond)
			m.heardAt, m.homeHeardAt = later(m.heardAt, t), later(m.homeHeardAt, t)
		}
	}
	for _, name := range s.Stray {
		if m := n.machines[name]; m != nil && !m.gone {
			m.misdirectedAt = now
		}
	}
	if n.record == nil || s.Term > n.record.Term {
		n.hint()
	}
}

func (n *Node) onOrders(o *ordersMsg, now time.Time) {
	if n.record == nil || !n.entitled(now) {
		return
	}
	if o.Term > n.record.Term {
		n.hint()
	}
	n.acceptOrders(o.Machine, o.Term, o.Orders)
	n.sendChangedStatuses()
}

// owns says whether the record names that process of a node as an item's owner
// since that term.
func (n *Node) owns(node string, incarnation uint64, item string, since uint64) bool {
	if n.record == nil || n.record.Nodes[node] != incarnation || n.record.Nodes[n.name] != n.incarnation {
		n.hint()
		return false
	}
	it := n.record.Shards[item]
	if it.SinceTerm < since {
		n.hint()
	}
	return it.Owner == node && it.SinceTerm == since
}

// newsEvery is the least time between two statuses.
const newsEvery = 150 * time.Millisecond

// tellNow has the next status go out soon.
func (n *Node) tellNow() {
	select {
	case n.statusRequests <- struct{}{}:
	default:
	}
}

// tell sends this controller's status to its peers.
func (n *Node) tell(ctx context.Context) error {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.mu.Lock()
			n.requestStaleRead(time.Now())
			n.mu.Unlock()
		case <-n.statusRequests:
		}
		now := time.Now()
		n.mu.Lock()
		s := n.status(now)
		writes := n.shareWrites(now)
		s.Writes = &writes
		n.tellAll("status", s)
		n.prune(now)
		n.mu.Unlock()
		if !pause(ctx, newsEvery) {
			return nil
		}
	}
}

// tellAll sends every peer the same line.
func (n *Node) tellAll(kind string, body any) {
	line := peer.Line(kind, body)
	for name := range n.peers {
		n.links.SendLine(name, line)
	}
}

// shareWrites parts the rate of changes of the state service by what each controller
// wants: the ends of one team's many small jobs are all its owner's to write. It
// returns what this one wants.
func (n *Node) shareWrites(now time.Time) float64 {
	var others []float64
	for _, p := range n.peers {
		wanted := p.wantedWrites
		if !p.isHeard(now) {
			wanted = -1
		}
		others = append(others, wanted)
	}
	n.kvStore.Share(others)
	return n.kvStore.Wanted(now)
}

// status sums up this controller for its peers, and makes the promise in it.
func (n *Node) status(now time.Time) statusMsg {
	told, version := n.cancelWatermark.Confirmed(), n.recordVersion
	s := statusMsg{Store: n.storeAssessment(), Told: &told, Version: &version, Entitled: n.entitled(now), Leased: n.lease.Valid(now), At: now.Sub(n.startedAt).Milliseconds(),
		Heard: map[string]echo{}, Alive: map[string]int64{}}
	for name, p := range n.peers {
		if now.Sub(p.heardAt) < promiseLife && p.statusClock > 0 {
			got := n.cancelWatermark.ReceivedFrom(name)
			s.Heard[name] = echo{p.incarnation, p.statusClock, &got}
		}
	}
	if s.Promise = n.promises(now); s.Promise {
		n.promisedUntil = now.Add(promiseLife)
	}
	if n.record != nil {
		s.Term = n.record.Term
	}
	for name, m := range n.agents.All() {
		s.Alive[name] = now.Sub(m.HeartbeatAt).Milliseconds()
		if known := m.InFlightWatermark(anyJob); !known.IsZero() {
			if s.InFlight == nil {
				s.InFlight = map[string]int64{}
			}
			s.InFlight[name] = now.Sub(known).Milliseconds() + 1 // rounded up
		}
	}
	s.Stray = slices.Sorted(maps.Keys(n.misdirectedAgents))
	clear(n.misdirectedAgents)
	s.Demands = n.demands(now)
	s.Progress, s.Plan, s.Config = n.progress(now), n.planWord(), n.configWord(now)
	s.Awaits, s.Mute = n.shards.AwaitedMachines(), n.unanswered()
	if n.shards.OwnsFleet() {
		s.Drain = slices.Sorted(maps.Keys(n.drainingMachines))
	}
	return s
}

// anyJob counts the starts of all jobs.
func anyJob(string) bool { return true }

// progressEvery is how often jobs' progress is told: users may be told of it a few seconds
// late, and it is the longest part of a status.
const progressEvery = 900 * time.Millisecond

// progress is the progress of own teams' jobs when it is due to be told, nil otherwise.
func (n *Node) progress(now time.Time) map[string][2]int {
	if now.Sub(n.progressSentAt) < progressEvery {
		return nil
	}
	n.progressSentAt = now
	progress := map[string][2]int{}
	for it := range n.shards.All() {
		it.Team().Jobs(func(j *jobstate.Job) {
			done, running := it.Team().Progress(j.Spec.UID)
			if done+running > 0 {
				progress[j.Spec.UID] = [2]int{done, running}
			}
		})
	}
	return progress
}

// prune forgets jobs that ended and machines that were gone long ago when there
// are many; a machine that still lists such a job makes its home look it up again.
func (n *Node) prune(now time.Time) {
	const many, long = 2000, 5 * time.Minute
	if len(n.machines) > many {
		maps.DeleteFunc(n.machines, func(name string, m *machine) bool {
			return m.gone && now.Sub(m.heardAt) > long && !n.roster.Has(name)
		})
	}
	if len(n.jobs) < many {
		return
	}
	maps.DeleteFunc(n.jobs, func(uid string, j *job) bool {
		old := !j.active && now.Sub(j.endedAt) > long
		if old {
			n.quarantine.ForgetJob(uid)
		}
		return old
	})
}

// demands lists the room that own teams ask for.
func (n *Node) demands(now time.Time) []demand {
	var out []demand
	for it := range n.shards.InOrder() {
		if !it.IsReady() {
			continue
		}
		list := it.Team().Demands(now)
		first := n.goFirst(it, list, now)
		for i, d := range list {
			if !d.Probe {
				out = append(out, demand{Job: d.Spec.UID, Count: d.Count, Borrowed: d.Borrowed, Behind: d.Behind.Milliseconds(), First: first[i], Beyond: d.Beyond, Zone: boundZone(it.Team(), d.Spec)})
			}
		}
	}
	return out
}

// boundZone is the zone that tasks of an array or service have to be in because others of the job are; "" if none.
// A gang's missing tasks are asked for as a whole.
func boundZone(team *jobstate.Team, spec *protocol.Submission) string {
	job := team.Job(spec.UID)
	if job == nil || !spec.OneZone || spec.Kind == protocol.Gang {
		return ""
	}
	for zone := range team.Zones(job) {
		return zone
	}
	return ""
}

// draining is the machines that no task should go to.
func (n *Node) draining() map[string]bool {
	if n.shards.OwnsFleet() {
		return n.drainingMachines
	}
	if n.record != nil {
		if p := n.peers[n.record.Shards[leadership.FleetShard].Owner]; p != nil {
			return p.drainingMachines
		}
	}
	return nil
}
