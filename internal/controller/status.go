package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/peer"
)

// statusInterval is how often a status is sent if nothing is urgent.
const statusInterval = 500 * time.Millisecond

// minStatusInterval is the least time between two statuses.
const minStatusInterval = 150 * time.Millisecond

// requestStatus makes sendStatuses send the next status soon.
func (n *Node) requestStatus() {
	select {
	case n.statusRequests <- struct{}{}:
	default:
	}
}

// sendStatuses sends this controller's status to its peers at every interval and on request, until the context ends.
func (n *Node) sendStatuses(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.mu.Lock()
			n.requestReadIfStale(time.Now())
			n.mu.Unlock()
		case <-n.statusRequests:
		}
		now := time.Now()
		n.mu.Lock()
		s := n.status(now)
		writes := n.shareWrites(now)
		s.WantedWrites = &writes
		n.broadcast(kindStatus, s)
		n.pruneOldState(now)
		n.mu.Unlock()
		if !sleep(ctx, minStatusInterval) {
			return nil
		}
	}
}

// broadcast sends a message to every peer.
func (n *Node) broadcast(kind string, body any) {
	line := peer.Encode(kind, body)
	for name := range n.peers {
		n.links.SendEncoded(name, line)
	}
}

// shareWrites divides the permitted rate of changes of the state service among the controllers by their demand, which
// differs: the owner of a team with many small jobs has to write all their ends. It returns this controller's demand,
// in changes per second.
func (n *Node) shareWrites(now time.Time) float64 {
	var others []float64
	for _, p := range n.peers {
		wanted := p.wantedWrites
		if !p.isReachable(now) {
			wanted = -1
		}
		others = append(others, wanted)
	}
	n.kvStore.SetRateByDemand(others)
	return n.kvStore.DemandRate(now)
}

// status composes this controller's status for its peers. It has side effects: it makes the promise that the status
// contains, and consumes what is sent only once.
func (n *Node) status(now time.Time) statusMsg {
	cancellations, recordVersion := n.cancelWatermark.Confirmed(), n.leadership.RecordVersion()
	s := statusMsg{
		Store:         n.recovery.storeAssessment(),
		Cancellations: &cancellations,
		RecordVersion: &recordVersion,
		Entitled:      n.entitled(now),
		HoldsLease:    n.leadership.HoldsLease(now),
		SentAt:        now.Sub(n.startedAt).Milliseconds(),
		Received:      n.receivedStatuses(now),
		Promise:       n.leadership.TryPromise(now, n.recovery.detection.Trusted()),
	}
	if n.leadership.Record() != nil {
		s.Term = n.leadership.Term()
	}
	s.HeartbeatAges, s.InFlightAges = n.heartbeatAges(now)
	s.Misdirected = n.unreachableHomes.TakeMisdirected()
	s.Demands = n.demands(now)
	s.Progress = n.dueProgress(now)
	s.Plan = n.planStatus()
	s.Config = n.teamConfigStatus(now)
	s.Awaited = n.shards.AwaitedMachines()
	s.Unanswered = n.unansweredProbes()
	if n.shards.OwnsFleet() {
		s.Draining = slices.Sorted(maps.Keys(n.provisioner.draining()))
	}
	return s
}

// receivedStatuses acknowledges the last status of each peer that arrived within leadership.PromiseDuration.
func (n *Node) receivedStatuses(now time.Time) map[string]receivedStatus {
	received := map[string]receivedStatus{}
	for name, p := range n.peers {
		if now.Sub(p.lastMessageAt) >= leadership.PromiseDuration || p.statusSentAt <= 0 {
			continue
		}
		cancellations := n.cancelWatermark.ReceivedFrom(name)
		received[name] = receivedStatus{p.incarnation, p.statusSentAt, &cancellations}
	}
	return received
}

// heartbeatAges returns, for the machines whose home this controller is, the milliseconds since their last heartbeats,
// and, for those that a start may still reach, the age of the earliest cancellation watermark that such a start was
// sent under.
func (n *Node) heartbeatAges(now time.Time) (ages, inFlight map[string]int64) {
	ages = map[string]int64{}
	for name, m := range n.agents.All() {
		ages[name] = now.Sub(m.HeartbeatAt).Milliseconds()
		known := m.InFlightWatermark(anyJob)
		if known.IsZero() {
			continue
		}
		if inFlight == nil {
			inFlight = map[string]int64{}
		}
		inFlight[name] = now.Sub(known).Milliseconds() + 1 // rounded up
	}
	return ages, inFlight
}

// anyJob selects the starts of all jobs for Agent.InFlightWatermark.
func anyJob(string) bool { return true }

// pruneOldState forgets the jobs that ended and the machines that were gone long ago, once there are many entries. If a
// machine still lists a task of a forgotten job, its home looks the job's end up again.
func (n *Node) pruneOldState(now time.Time) {
	const maxEntries, minAge = 2000, 5 * time.Minute
	if len(n.machines) > maxEntries {
		maps.DeleteFunc(n.machines, func(name string, m *machine) bool {
			if !m.gone || now.Sub(m.HeardAt) <= minAge || n.roster.Has(name) {
				return false
			}
			n.unreachableHomes.Forget(name)
			return true
		})
	}
	if len(n.jobs) < maxEntries {
		return
	}
	maps.DeleteFunc(n.jobs, func(uid string, j *job) bool {
		old := !j.active && now.Sub(j.endedAt) > minAge
		if old {
			n.quarantine.ForgetJob(uid)
		}
		return old
	})
}

// draining returns the machines that no task should be placed on, as the fleet's owner has decided.
func (n *Node) draining() map[string]bool {
	if n.shards.OwnsFleet() {
		return n.provisioner.draining()
	}
	if n.leadership.Record() != nil {
		if p := n.peers[n.leadership.Record().OwnerOf(leadership.FleetShard)]; p != nil {
			return p.drainingMachines
		}
	}
	return nil
}
