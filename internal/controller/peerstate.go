package controller

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/peer"
)

// peerState holds what this controller knows of a peer. Node.mu guards it.
type peerState struct {
	// The connection, and the process at its other end.
	connected     bool
	halfOpen      peer.HalfOpenDetector
	incarnation   uint64
	lastMessageAt time.Time
	statusSentAt  int64 // ms of the peer's clock, in its last status

	ignoresDependencies bool // according to its presence key, its version of the program knows no dependencies of jobs

	// The peer's rights, as of its last status.
	entitled   bool
	holdsLease bool

	// The rest of the peer's last status.
	demands            []demand
	progress           map[string][2]int // by job, the numbers of done and running tasks
	drainingMachines   map[string]bool
	awaitedMachines    []string
	unansweredMachines []string
	wantedWrites       float64      // changes per second that it would make in the state service; negative if unknown
	admissionPlan      admission.ID // the latest admission plan that it knows
}

// unreachableAfter is how long a peer may be silent before it counts as unreachable: four status intervals.
const unreachableAfter = 2 * time.Second

// isReachable returns whether a message of the peer has arrived within unreachableAfter.
func (p *peerState) isReachable(now time.Time) bool {
	return now.Sub(p.lastMessageAt) <= unreachableAfter
}

// recordMessage records that a message of a process of the peer arrived. After a restart of the peer, the last status
// of its earlier process is no longer acknowledged.
func (p *peerState) recordMessage(incarnation uint64, now time.Time) {
	if p.incarnation != incarnation {
		p.incarnation, p.statusSentAt = incarnation, 0
	}
	p.lastMessageAt = now
}

// apply records what a status reports of the peer itself, except its promise.
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

// mayBeReachable reports whether a peer is reachable, or may become so within the startup grace period.
func (n *Node) mayBeReachable(name string, now time.Time) bool {
	return n.peers[name].isReachable(now) || now.Sub(n.startedAt) < startupGrace
}

// peerNames lists the peers in a fixed order.
func (n *Node) peerNames() []string { return slices.Sorted(maps.Keys(n.peers)) }

// isReachable returns whether a peer is reachable.
func (n *Node) isReachable(name string, now time.Time) bool { return n.peers[name].isReachable(now) }

// send sends a message to a peer.
func (n *Node) send(peer, kind string, body any) { n.links.Send(peer, kind, body) }

// sendEncoded sends an encoded message to a peer, and returns whether it was sent.
func (n *Node) sendEncoded(peer string, line []byte) bool { return n.links.SendEncoded(peer, line) }
