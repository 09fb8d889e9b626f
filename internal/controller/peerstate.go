package controller

import (
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/peer"
)

// peerState is what a controller knows of another one.
type peerState struct {
	connected          bool
	incarnation        uint64
	lastMessageAt      time.Time
	entitled           bool
	holdsLease         bool
	statusSentAt       int64     // the peer's clock in its last status
	promisedUntil      time.Time // the peer promised to raise no term before
	promisedVersion    uint64    // of the newest control record under which it promised so
	behindSince        time.Time // since when it has known an earlier control record; zero: it does not
	recordSentAt       time.Time // when it was last sent the control record
	demands            []demand
	progress           map[string][2]int
	drainingMachines   map[string]bool
	awaitedMachines    []string
	unansweredMachines []string
	wantedWrites       float64      // changes of the state service that it wants a second; negative if unknown
	admissionPlan      admission.ID // the latest plan that it has heard of
	delivery           peer.Delivery
}

// unheardAfter is after what silence a peer counts as not heard: four of its
// statuses.
const unreachableAfter = 2 * time.Second

// near says whether the peer is heard.
func (p *peerState) isReachable(now time.Time) bool {
	return now.Sub(p.lastMessageAt) <= unreachableAfter
}
