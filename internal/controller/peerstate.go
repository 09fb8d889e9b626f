package controller

import (
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/peer"
)

// peerState is what this controller knows of another one. Node.mu guards it.
type peerState struct {
	// The connection, and the process at its other end.
	connected     bool
	delivery      peer.Delivery
	incarnation   uint64
	lastMessageAt time.Time
	statusSentAt  int64 // ms of the peer's clock, in its last status

	// Who may act.
	entitled   bool
	holdsLease bool

	// The rest of its last status.
	demands            []demand
	progress           map[string][2]int // of each job, the tasks done and running
	drainingMachines   map[string]bool
	awaitedMachines    []string
	unansweredMachines []string
	wantedWrites       float64      // changes of the state service that it wants a second; negative if unknown
	admissionPlan      admission.ID // the latest plan that it knows
}

// unreachableAfter is after what silence a peer counts as unreachable: four of its statuses.
const unreachableAfter = 2 * time.Second

// isReachable says whether a message of the peer came lately.
func (p *peerState) isReachable(now time.Time) bool {
	return now.Sub(p.lastMessageAt) <= unreachableAfter
}

// recordMessage notes a message of the peer's process. What an earlier process sent is no status of this one.
func (p *peerState) recordMessage(incarnation uint64, now time.Time) {
	if p.incarnation != incarnation {
		p.incarnation, p.statusSentAt = incarnation, 0
	}
	p.lastMessageAt = now
}

// apply takes in what a status says of the peer itself, but for its promise.
func (p *peerState) apply(s *statusMsg) {
	p.holdsLease, p.statusSentAt = s.HoldsLease, s.SentAt
	p.entitled, p.demands = s.Entitled, s.Demands
	if s.Progress != nil {
		p.progress = s.Progress
	}
	p.drainingMachines = make(map[string]bool, len(s.Draining))
	for _, machine := range s.Draining {
		p.drainingMachines[machine] = true
	}
	p.awaitedMachines, p.unansweredMachines = s.Awaited, s.Unanswered
	p.wantedWrites = -1
	if s.WantedWrites != nil {
		p.wantedWrites = *s.WantedWrites
	}
}
