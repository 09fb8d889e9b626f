package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/peer"
)

// newsEvery is the least time between two statuses.
const minStatusInterval = 150 * time.Millisecond

// tellNow has the next status go out soon.
func (n *Node) requestStatus() {
	select {
	case n.statusRequests <- struct{}{}:
	default:
	}
}

// tell sends this controller's status to its peers.
func (n *Node) sendStatuses(ctx context.Context) error {
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
		s.WantedWrites = &writes
		n.broadcast("status", s)
		n.forgetOld(now)
		n.mu.Unlock()
		if !sleep(ctx, minStatusInterval) {
			return nil
		}
	}
}

// tellAll sends every peer the same line.
func (n *Node) broadcast(kind string, body any) {
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
		if !p.isReachable(now) {
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
	s := statusMsg{Store: n.storeAssessment(), Cancellations: &told, RecordVersion: &version, Entitled: n.entitled(now), HoldsLease: n.lease.Valid(now), SentAt: now.Sub(n.startedAt).Milliseconds(),
		Received: map[string]receivedStatus{}, HeartbeatAges: map[string]int64{}}
	for name, p := range n.peers {
		if now.Sub(p.lastMessageAt) < promiseLife && p.statusSentAt > 0 {
			got := n.cancelWatermark.ReceivedFrom(name)
			s.Received[name] = receivedStatus{p.incarnation, p.statusSentAt, &got}
		}
	}
	if s.Promise = n.promises(now); s.Promise {
		n.promisedUntil = now.Add(promiseLife)
	}
	if n.record != nil {
		s.Term = n.record.Term
	}
	for name, m := range n.agents.All() {
		s.HeartbeatAges[name] = now.Sub(m.HeartbeatAt).Milliseconds()
		if known := m.InFlightWatermark(anyJob); !known.IsZero() {
			if s.InFlightAges == nil {
				s.InFlightAges = map[string]int64{}
			}
			s.InFlightAges[name] = now.Sub(known).Milliseconds() + 1 // rounded up
		}
	}
	s.Misdirected = slices.Sorted(maps.Keys(n.misdirectedAgents))
	clear(n.misdirectedAgents)
	s.Demands = n.demands(now)
	s.Progress, s.Plan, s.Config = n.dueProgress(now), n.planWord(), n.configWord(now)
	s.Awaited, s.Unanswered = n.shards.AwaitedMachines(), n.unanswered()
	if n.shards.OwnsFleet() {
		s.Draining = slices.Sorted(maps.Keys(n.drainingMachines))
	}
	return s
}

// anyJob counts the starts of all jobs.
func anyJob(string) bool { return true }

// prune forgets jobs that ended and machines that were gone long ago when there
// are many; a machine that still lists such a job makes its home look it up again.
func (n *Node) forgetOld(now time.Time) {
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
