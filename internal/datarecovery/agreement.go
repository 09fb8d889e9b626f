package datarecovery

import (
	"maps"
	"slices"
	"time"
)

// Phase is what a controller holds of its store.
type Phase int

// The phases. Nothing is acknowledged, started, rented or returned but in Trusted.
const (
	Starting      Phase = iota // not read yet
	AwaitingPeers              // read, but a peer may know that it went back: this process does not
	Trusted                    // it has what it acknowledged, as far as anybody saw
	Suspected                  // a sign of loss was seen and is being looked into
	Lost                       // it has lost what it acknowledged; the next epoch is to be made
)

// String is the phase as operators read it in the overview.
func (p Phase) String() string {
	return [...]string{"starting", "meeting", "known", "doubted", "lost"}[p]
}

// Comparison is the outcome of a comparison of acknowledged keys with the store.
type Comparison int

// The outcomes.
const (
	Unanswered Comparison = iota
	Intact                // every key compared is as it was acknowledged, or was changed since
	Missing               // something acknowledged is not there, and no change tells why
)

// Action is what a controller is to do now.
type Action int

// The actions.
const (
	ActionNone    Action = iota
	ActionCompare        // compare acknowledged keys with the store
	ActionRelist         // read all that is followed, and enter the epoch that is found
	ActionPropose        // make the next epoch, if nobody has
)

// Assessment is what a controller tells its peers of the store with each status.
type Assessment struct {
	Epoch           uint64 `json:"generation"`
	Term            uint64 `json:"term"`
	Incarnation     uint64 `json:"incarnation"`
	Revision        uint64 `json:"seen"` // highest revision of an answer in this epoch
	SuspectsLoss    bool   `json:"doubt,omitempty"`
	ConfirmedLoss   bool   `json:"lost,omitempty"`  // holds it to be lost: comparisons confirmed it
	HistoryComplete bool   `json:"whole,omitempty"` // it saw the loss, and remembers all since the deployment's beginning
}

const (
	// compareInterval parts the comparisons after a sign of loss.
	compareInterval = 200 * time.Millisecond
	// comparisonsNeeded is how many comparisons in a row have to confirm a sign: a second one rules out a single
	// answer of an old copy.
	comparisonsNeeded = 2
	// PeerHeardWithin is after what silence a peer counts as not heard.
	PeerHeardWithin = 2 * time.Second
	// proposalStagger parts the proposals of several controllers.
	proposalStagger = 350 * time.Millisecond
	// meetingTime is how long a process that starts waits for its peers' assessments.
	meetingTime = 1500 * time.Millisecond
	// aloneConfirmAfter is after what time a suspicion that every comparison confirms is a loss, whatever the
	// others find: one that started since then does not know what was there.
	aloneConfirmAfter = 5 * time.Second
	// presencesWait is how long the others' keys are waited for before an epoch is made
	// without them.
	presencesWait = 1500 * time.Millisecond
)

type peer struct {
	assessment Assessment
	heardAt    time.Time
}

// Agreement is how a controller finds, with its peers, whether the store can be trusted or has lost data, and when it
// is its turn to propose the next epoch. Its owner guards it by a lock.
type Agreement struct {
	self      string
	leaseLife time.Duration // of controllers' leases
	peers     map[string]*peer

	phase      Phase
	since      time.Time // of the phase
	sign       Sign      // that led to it
	epoch      uint64
	newerEpoch uint64 // that was seen, if later

	comparing    bool
	comparedAt   time.Time
	missingInRow int // comparisons that found something missing

	suspicions int // in all
	losses     int // in all
}

// NewAgreement is that of a controller that has read nothing yet; leaseLife is that of
// controllers' leases.
func NewAgreement(self string, peers []string, leaseLife time.Duration) *Agreement {
	a := &Agreement{self: self, leaseLife: leaseLife, peers: map[string]*peer{}}
	for _, name := range peers {
		a.peers[name] = &peer{}
	}
	return a
}

// Phase tells the phase, since when, and the sign that led to it.
func (a *Agreement) Phase() (phase Phase, since time.Time, sign Sign) {
	return a.phase, a.since, a.sign
}

// Counts tells how many signs of loss were seen, and how many losses were agreed on.
func (a *Agreement) Counts() (suspicions, losses int) { return a.suspicions, a.losses }

func (a *Agreement) enterPhase(phase Phase, now time.Time) {
	a.phase, a.since = phase, now
	a.missingInRow, a.comparing, a.comparedAt = 0, false, time.Time{}
}

// Entered books that all that is followed was read and is of an epoch.
func (a *Agreement) Entered(epoch uint64, now time.Time) {
	if (a.phase == Trusted || a.phase == AwaitingPeers) && epoch == a.epoch {
		return
	}
	first := a.phase == Starting || a.phase == AwaitingPeers && epoch <= 1
	a.epoch = epoch
	a.sign = ""
	if a.phase == AwaitingPeers && first {
		return // the record came meanwhile
	}
	if first && len(a.peers) > 0 {
		a.enterPhase(AwaitingPeers, now)
	} else {
		a.enterPhase(Trusted, now)
	}
}

// NewerEpochSeen books that a record of a later epoch was seen.
func (a *Agreement) NewerEpochSeen(epoch uint64) { a.newerEpoch = max(a.newerEpoch, epoch) }

// Suspect books that something contradicts what the store acknowledged. It costs a comparison.
func (a *Agreement) Suspect(sign Sign, now time.Time) {
	if a.phase != Trusted && a.phase != AwaitingPeers {
		return
	}
	a.suspicions++
	a.sign = sign
	a.enterPhase(Suspected, now)
}

// Compared books the outcome of a comparison that Step asked for.
func (a *Agreement) Compared(outcome Comparison, now time.Time) {
	if !a.comparing {
		return // of an earlier suspicion
	}
	a.comparing = false
	a.comparedAt = now
	if a.phase != Suspected && a.phase != AwaitingPeers {
		return
	}
	for _, assessment := range a.Assessments(now) {
		if assessment.ConfirmedLoss && assessment.Epoch == a.epoch {
			outcome = Missing // what is found here is only what is left
		}
	}
	switch outcome {
	case Intact:
		a.enterPhase(Trusted, now)
	case Missing:
		if a.phase == AwaitingPeers {
			a.Suspect(SignPeersRevision, now)
		}
		a.missingInRow++
	}
}

// PeerAssessed takes in a peer's assessment.
func (a *Agreement) PeerAssessed(name string, assessment Assessment, now time.Time) {
	p := a.peers[name]
	if p == nil {
		return
	}
	p.assessment, p.heardAt = assessment, now
	if assessment.SuspectsLoss && assessment.Epoch == a.epoch {
		a.Suspect(signOfPeer(name), now)
	}
}

func (a *Agreement) isHeard(p *peer, now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) <= PeerHeardWithin
}

// Assessments are those of the peers that are heard.
func (a *Agreement) Assessments(now time.Time) map[string]Assessment {
	heard := map[string]Assessment{}
	for name, p := range a.peers {
		if a.isHeard(p, now) {
			heard[name] = p.assessment
		}
	}
	return heard
}

// PeersRevision is the highest revision that a peer saw in this epoch.
func (a *Agreement) PeersRevision() (revision uint64) {
	for _, p := range a.peers {
		if p.assessment.Epoch == a.epoch {
			revision = max(revision, p.assessment.Revision)
		}
	}
	return revision
}

// Step says what to do now. present says whether the store has a controller's key, as far as known.
func (a *Agreement) Step(now time.Time, term uint64, present func(name string) bool) Action {
	heard := a.Assessments(now)
	if a.phase != Starting && a.laterEpoch(heard) {
		return ActionRelist
	}
	switch a.phase {
	case AwaitingPeers:
		return a.stepMeetingPeers(now)
	case Suspected:
		return a.stepSuspected(now, heard)
	case Lost:
		return a.stepLost(now, term, heard, present)
	}
	return ActionNone
}

// laterEpoch says whether anybody knows a later epoch.
func (a *Agreement) laterEpoch(heard map[string]Assessment) bool {
	if a.newerEpoch > a.epoch {
		return true
	}
	for _, assessment := range heard {
		if assessment.Epoch > a.epoch {
			return true
		}
	}
	return false
}

// stepMeetingPeers has the store compared once the peers are heard: a read that begins now must know all that they
// have seen.
func (a *Agreement) stepMeetingPeers(now time.Time) Action {
	switch passed := now.Sub(a.since); {
	case passed > 3*meetingTime:
		a.enterPhase(Trusted, now)
	case (a.allPeersHeard() || passed > meetingTime) && !a.comparing && now.Sub(a.comparedAt) >= compareInterval/4:
		a.comparing = true
		return ActionCompare
	}
	return ActionNone
}

// stepSuspected has the store compared until the suspicion is a loss, or none.
func (a *Agreement) stepSuspected(now time.Time, heard map[string]Assessment) Action {
	if a.missingInRow >= comparisonsNeeded && (a.peersAgree(heard) || now.Sub(a.since) > aloneConfirmAfter) {
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

// allPeersHeard says whether every peer was heard since this process started.
func (a *Agreement) allPeersHeard() bool {
	for _, p := range a.peers {
		if p.heardAt.IsZero() {
			return false
		}
	}
	return true
}

// peersAgree says whether this controller's suspicion is enough: one whose peers all find
// what was acknowledged reads something else than they do.
func (a *Agreement) peersAgree(heard map[string]Assessment) bool {
	for _, assessment := range heard {
		if !assessment.SuspectsLoss && assessment.Epoch == a.epoch {
			return false
		}
	}
	return true
}

// stepLost says when a controller makes the next epoch. One that is not heard may
// still act by its lease, until that has ended by any clock. One that knows a later
// term goes first, and so does, of several, the first by name.
func (a *Agreement) stepLost(
	now time.Time, term uint64, heard map[string]Assessment, present func(name string) bool,
) Action {
	passed := now.Sub(a.since)
	if len(heard) < len(a.peers) && passed < a.leaseLife+a.leaseLife/100 {
		return ActionNone
	}
	for name, assessment := range heard {
		if assessment.Epoch == a.epoch && assessment.Term > term && passed < a.leaseLife {
			return ActionNone
		}
		if !present(name) && passed < presencesWait {
			return ActionNone
		}
	}
	if !present(a.self) {
		return ActionNone
	}
	names := append(slices.Collect(maps.Keys(heard)), a.self)
	slices.Sort(names)
	if passed < time.Duration(slices.Index(names, a.self))*proposalStagger {
		return ActionNone
	}
	return ActionPropose
}
