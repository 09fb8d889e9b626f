package datarecovery

import (
	"maps"
	"slices"
	"time"
)

// Phase is how far a controller trusts the state service (the store).
type Phase int

// The phases. Only in Trusted does a controller acknowledge requests, start tasks, and rent or return machines.
const (
	Starting      Phase = iota // the store has not been read yet
	AwaitingPeers              // the store was read; peers may still report that it lost data before that
	Trusted                    // no sign of loss is known
	Suspected                  // a sign of loss was seen and is being checked
	Lost                       // the loss is confirmed; the next epoch has to be created
)

// String returns the name of the phase in the overview.
func (p Phase) String() string {
	return [...]string{"starting", "meeting", "known", "doubted", "lost"}[p]
}

// Comparison is the outcome of comparing acknowledged keys with the store.
type Comparison int

// The outcomes.
const (
	Unanswered Comparison = iota // no result, for example because the store did not answer
	Intact                       // every compared key has its acknowledged version or was changed since
	Missing                      // an acknowledged key is missing and no later change explains it
)

// Action is what a controller has to do next.
type Action int

// The actions.
const (
	ActionNone    Action = iota
	ActionCompare        // compare acknowledged keys with the store
	ActionRelist         // list all watched keys and enter the epoch found there
	ActionPropose        // create the next epoch, unless another controller has
)

// Assessment is a controller's view of the store. It is sent to the peers with each status.
type Assessment struct {
	Epoch           uint64 `json:"generation"`
	Term            uint64 `json:"term"`
	Incarnation     uint64 `json:"incarnation"` // of the sender's process
	Revision        uint64 `json:"seen"`        // highest revision in an answer of the store in this epoch
	SuspectsLoss    bool   `json:"doubt,omitempty"`
	ConfirmedLoss   bool   `json:"lost,omitempty"`  // comparisons confirmed the loss
	HistoryComplete bool   `json:"whole,omitempty"` // the sender saw the loss and has a complete history of job ends
}

const (
	// compareInterval is the minimum time between two comparisons after a sign of loss.
	compareInterval = 200 * time.Millisecond
	// comparisonsNeeded is the number of comparisons that must find keys missing before a loss is confirmed. A second
	// one rules out a single answer from a stale copy.
	comparisonsNeeded = 2
	// PeerTimeout is the time without an assessment after which a peer counts as unreachable.
	PeerTimeout = 2 * time.Second
	// proposalStagger is the delay between the proposals of different controllers.
	proposalStagger = 350 * time.Millisecond
	// peerWaitTimeout is how long a process that starts waits for its peers' assessments before it compares the store
	// without them.
	peerWaitTimeout = 1500 * time.Millisecond
	// unilateralConfirmAfter is the time after which a suspicion that every comparison confirms becomes a loss even if
	// peers disagree: a peer that started after the loss does not know what the store had.
	unilateralConfirmAfter = 5 * time.Second
	// presenceWaitTimeout is how long a controller waits for the presence keys of reachable peers before it creates an
	// epoch without them.
	presenceWaitTimeout = 1500 * time.Millisecond
)

type peer struct {
	assessment Assessment
	reportedAt time.Time
}

// Agreement decides, from this controller's comparisons and its peers' assessments, whether the store can be trusted or
// has lost data, and when this controller may propose the next epoch. The caller guards it by a lock.
type Agreement struct {
	self      string
	leaseLife time.Duration // lifetime of the controllers' leases
	peers     map[string]*peer

	phase      Phase
	since      time.Time // when the phase was entered
	sign       Sign      // that led to the phase
	epoch      uint64
	newerEpoch uint64 // highest later epoch in a record seen; 0: none

	peersAwaitedSince time.Time // when the wait for the peers' assessments began; zero: it is over

	comparing    bool
	comparedAt   time.Time
	missingInRow int // comparisons since the phase began that found something missing

	suspicions int // total
	losses     int // total
}

// NewAgreement returns the agreement of a controller that has read nothing yet. leaseLife is the lifetime of the
// controllers' leases.
func NewAgreement(self string, peers []string, leaseLife time.Duration) *Agreement {
	a := &Agreement{self: self, leaseLife: leaseLife, peers: map[string]*peer{}}
	for _, name := range peers {
		a.peers[name] = &peer{}
	}
	return a
}

// Phase returns the phase, when it was entered and the sign that led to it.
func (a *Agreement) Phase() (phase Phase, since time.Time, sign Sign) {
	return a.phase, a.since, a.sign
}

// Counts returns how many times a loss was suspected and how many losses were confirmed.
func (a *Agreement) Counts() (suspicions, losses int) { return a.suspicions, a.losses }

func (a *Agreement) enterPhase(phase Phase, now time.Time) {
	a.phase, a.since = phase, now
	a.missingInRow, a.comparing, a.comparedAt = 0, false, time.Time{}
	switch phase {
	case AwaitingPeers:
		a.peersAwaitedSince = now
	case Trusted, Lost:
		a.peersAwaitedSince = time.Time{}
	}
}

// Entered records that all watched keys of an epoch were read.
func (a *Agreement) Entered(epoch uint64, now time.Time) {
	if (a.phase == Trusted || a.phase == AwaitingPeers) && epoch == a.epoch {
		return
	}
	first := a.phase == Starting || a.phase == AwaitingPeers && epoch <= 1
	a.epoch = epoch
	a.sign = ""
	if a.phase == AwaitingPeers && first {
		return // another controller wrote the first record while this one waited for its peers
	}
	if first && len(a.peers) > 0 {
		a.enterPhase(AwaitingPeers, now)
	} else {
		a.enterPhase(Trusted, now)
	}
}

// NewerEpochSeen records that a membership record of a later epoch was seen.
func (a *Agreement) NewerEpochSeen(epoch uint64) { a.newerEpoch = max(a.newerEpoch, epoch) }

// Suspect records a sign of loss. A false alarm costs one comparison. It returns false, and records nothing, if the
// store was not read yet or is being checked already.
func (a *Agreement) Suspect(sign Sign, now time.Time) bool {
	if a.phase != Trusted && a.phase != AwaitingPeers {
		return false
	}
	a.suspicions++
	a.sign = sign
	a.enterPhase(Suspected, now)
	return true
}

// Compared records the outcome of a comparison that Step requested.
func (a *Agreement) Compared(outcome Comparison, now time.Time) {
	if !a.comparing {
		return // the comparison belongs to an earlier phase
	}
	a.comparing = false
	a.comparedAt = now
	if a.phase != Suspected && a.phase != AwaitingPeers {
		return
	}
	for _, assessment := range a.Assessments(now) {
		if assessment.ConfirmedLoss && assessment.Epoch == a.epoch {
			outcome = Missing // the peer confirmed a loss: the keys found are only those left after it
		}
	}
	switch outcome {
	case Intact:
		a.suspicionRuledOut(now)
	case Missing:
		if a.phase == AwaitingPeers {
			a.Suspect(SignPeersRevision, now)
		}
		a.missingInRow++
	}
}

// suspicionRuledOut ends a check that found every key. If the suspicion arose while peers were awaited, the comparison
// may have begun before they reported, so the wait for them continues.
func (a *Agreement) suspicionRuledOut(now time.Time) {
	if a.phase == Suspected && !a.peersAwaitedSince.IsZero() {
		a.enterPhase(AwaitingPeers, a.peersAwaitedSince)
		return
	}
	a.enterPhase(Trusted, now)
}

// PeerAssessed records a peer's assessment.
func (a *Agreement) PeerAssessed(name string, assessment Assessment, now time.Time) {
	p := a.peers[name]
	if p == nil {
		return
	}
	p.assessment, p.reportedAt = assessment, now
	if assessment.SuspectsLoss && assessment.Epoch == a.epoch {
		a.Suspect(signOfPeer(name), now)
	}
}

func (a *Agreement) isReachable(p *peer, now time.Time) bool {
	return !p.reportedAt.IsZero() && now.Sub(p.reportedAt) <= PeerTimeout
}

// Assessments returns the assessments of the reachable peers.
func (a *Agreement) Assessments(now time.Time) map[string]Assessment {
	reachable := map[string]Assessment{}
	for name, p := range a.peers {
		if a.isReachable(p, now) {
			reachable[name] = p.assessment
		}
	}
	return reachable
}

// PeersRevision returns the highest revision that a peer saw in this epoch.
func (a *Agreement) PeersRevision() (revision uint64) {
	for _, p := range a.peers {
		if p.assessment.Epoch == a.epoch {
			revision = max(revision, p.assessment.Revision)
		}
	}
	return revision
}

// Step returns the next action. present reports whether the store is known to have a controller's presence key.
func (a *Agreement) Step(now time.Time, term uint64, present func(name string) bool) Action {
	reachable := a.Assessments(now)
	if a.phase != Starting && a.laterEpoch(reachable) {
		return ActionRelist
	}
	switch a.phase {
	case AwaitingPeers:
		return a.stepAwaitingPeers(now)
	case Suspected:
		return a.stepSuspected(now, reachable)
	case Lost:
		return a.stepLost(now, term, reachable, present)
	}
	return ActionNone
}

// laterEpoch reports whether a record or a reachable peer names a later epoch.
func (a *Agreement) laterEpoch(reachable map[string]Assessment) bool {
	if a.newerEpoch > a.epoch {
		return true
	}
	for _, assessment := range reachable {
		if assessment.Epoch > a.epoch {
			return true
		}
	}
	return false
}

// stepAwaitingPeers requests a comparison once all peers have reported or the wait for them has timed out. A read that
// begins then must return everything that the peers had seen. If no comparison completes within three times that wait,
// the store is trusted.
func (a *Agreement) stepAwaitingPeers(now time.Time) Action {
	switch passed := now.Sub(a.since); {
	case passed > 3*peerWaitTimeout:
		a.enterPhase(Trusted, now)
	case (a.allPeersReported() || passed > peerWaitTimeout) && !a.comparing && now.Sub(a.comparedAt) >= compareInterval/4:
		a.comparing = true
		return ActionCompare
	}
	return ActionNone
}

// stepSuspected requests comparisons until the loss is confirmed or ruled out.
func (a *Agreement) stepSuspected(now time.Time, reachable map[string]Assessment) Action {
	if a.missingInRow >= comparisonsNeeded && (a.peersAgree(reachable) || now.Sub(a.since) > unilateralConfirmAfter) {
		a.losses++
		a.enterPhase(Lost, now)
		return ActionRelist
	}
	if !a.comparing && now.Sub(a.comparedAt) >= compareInterval {
		a.comparing = true
		return ActionCompare
	}
	return ActionNone
}

// allPeersReported reports whether every peer has sent an assessment since this process started.
func (a *Agreement) allPeersReported() bool {
	for _, p := range a.peers {
		if p.reportedAt.IsZero() {
			return false
		}
	}
	return true
}

// peersAgree reports whether every reachable peer in this epoch suspects a loss too. A peer that suspects none still
// finds every key that it compares, so it reads other data than this controller does.
func (a *Agreement) peersAgree(reachable map[string]Assessment) bool {
	for _, assessment := range reachable {
		if !assessment.SuspectsLoss && assessment.Epoch == a.epoch {
			return false
		}
	}
	return true
}

// stepLost decides when this controller creates the next epoch. An unreachable peer may still act under its lease, so
// the proposal waits until that lease has expired on any clock: clocks may differ in rate, so a hundredth is added. A
// controller that knows a later term proposes first; among several, proposals are staggered in the order of names.
func (a *Agreement) stepLost(
	now time.Time, term uint64, reachable map[string]Assessment, present func(name string) bool,
) Action {
	passed := now.Sub(a.since)
	if len(reachable) < len(a.peers) && passed < a.leaseLife+a.leaseLife/100 {
		return ActionNone
	}
	for name, assessment := range reachable {
		if assessment.Epoch == a.epoch && assessment.Term > term && passed < a.leaseLife {
			return ActionNone
		}
		if !present(name) && passed < presenceWaitTimeout {
			return ActionNone
		}
	}
	if !present(a.self) {
		return ActionNone
	}
	names := append(slices.Collect(maps.Keys(reachable)), a.self)
	slices.Sort(names)
	if passed < time.Duration(slices.Index(names, a.self))*proposalStagger {
		return ActionNone
	}
	return ActionPropose
}
