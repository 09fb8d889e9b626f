// Package datarecovery decides what the controllers do when the state service no longer has
// what it acknowledged: how that is noticed and agreed on, what the next generation of the
// control record is, what evidence is waited for, and what is written back in which order.
// It does no I/O and reads no clock.
package datarecovery

import (
	"maps"
	"slices"
	"time"
)

// Keys of the state service that rebuilding adds. All controllers follow them.
const (
	EpochKey    = "w/g/" // the generation's own key, by the drawn name of its store
	EndsKey     = "w/e/" // pages of ends that were written back
	FinishedKey = "w/d/" // finished tasks of jobs, put there by a restore for the owners to take up
)

// Phase is what a controller holds of its store.
type Phase int

// The phases. Nothing is acknowledged, started, rented or returned but in Known.
const (
	Starting     Phase = iota // not read yet
	MeetingPeers              // read, but a peer may know that it went back: this process does not
	Trusted                   // it has what it acknowledged, as far as anybody saw
	Suspected                 // a sign of loss was seen and is being looked into
	Lost                      // it has lost what it acknowledged; the next generation is to be made
)

func (p Phase) String() string {
	return [...]string{"starting", "meeting", "known", "doubted", "lost"}[p]
}

// Result is the outcome of a look at the store.
type Comparison int

// The outcomes.
const (
	Unanswered Comparison = iota
	Intact                // everything looked at is as it was acknowledged, or was changed since
	Missing               // something acknowledged is not there, and no change tells why
)

// Action is what a controller is to do now.
type Action int

// The actions.
const (
	Nothing Action = iota
	Compare        // look whether the store has what it acknowledged
	Relist         // read all that is followed, and enter the generation that is found
	Propose        // make the next generation, if nobody has
)

// Word is what a controller tells its peers of the store with each status.
type Assessment struct {
	Epoch          uint64 `json:"generation"`
	Term           uint64 `json:"term"`
	Incarnation    uint64 `json:"incarnation"`
	Revision       uint64 `json:"seen"` // highest revision of an answer in this generation
	SuspectsLoss   bool   `json:"doubt,omitempty"`
	ConfirmedLoss  bool   `json:"lost,omitempty"`  // holds it to be lost: no doubt is left
	MemoryComplete bool   `json:"whole,omitempty"` // its memory goes back before the loss that it sees, and to the deployment's beginning
}

// Times of looking into a doubt. A second look rules out a single answer of an old copy.
const (
	compareInterval   = 200 * time.Millisecond
	comparisonsNeeded = 2
	// Near is after what silence a peer counts as not heard.
	HeardWithin = 2 * time.Second
	// turn parts the proposals of several controllers.
	proposalStagger = 350 * time.Millisecond
	// meet is how long a process that starts waits for its peers' word.
	meetingTime = 1500 * time.Millisecond
	// insist is after what time a doubt that every look confirms is a loss, whatever the
	// others find: one that started since then does not know what was there.
	aloneConfirmAfter = 5 * time.Second
	// patience is how long the others' keys are waited for before a generation is made
	// without them.
	ownKeysWait = 1500 * time.Millisecond
)

type peer struct {
	assessment Assessment
	heardAt    time.Time
}

// Watch is a controller's judgement of the store.
type Watch struct {
	self      string
	leaseLife time.Duration // of a controller's lease
	peers     map[string]*peer

	phase        Phase
	epoch        uint64
	newerEpoch   uint64 // generation that was seen, if later
	sign         string
	since        time.Time // of the phase
	comparedAt   time.Time
	comparing    bool
	missingInRow int
	suspicions   int // seen in all
	losses       int
}

// NewWatch is a watch of a controller that has read nothing yet; life is that of
// controllers' leases.
func NewWatch(self string, peers []string, life time.Duration) *Watch {
	w := &Watch{self: self, leaseLife: life, peers: map[string]*peer{}}
	for _, p := range peers {
		w.peers[p] = &peer{}
	}
	return w
}

// Phase tells the phase, since when, and the sign that led to it.
func (w *Watch) Phase() (p Phase, since time.Time, sign string) { return w.phase, w.since, w.sign }

// Counts tells how many signs were seen and how many losses agreed on.
func (w *Watch) Counts() (signs, losses int) { return w.suspicions, w.losses }

func (w *Watch) enterPhase(p Phase, now time.Time) {
	w.phase, w.since, w.missingInRow, w.comparing, w.comparedAt = p, now, 0, false, time.Time{}
}

// Entered says that all that is followed was read and is of a generation.
func (w *Watch) Entered(generation uint64, now time.Time) {
	if (w.phase == Trusted || w.phase == MeetingPeers) && generation == w.epoch {
		return
	}
	first := w.phase == Starting || w.phase == MeetingPeers && generation <= 1
	w.epoch = generation
	w.sign = ""
	if w.phase == MeetingPeers && first {
		return // the record came meanwhile
	}
	if first && len(w.peers) > 0 {
		w.enterPhase(MeetingPeers, now)
	} else {
		w.enterPhase(Trusted, now)
	}
}

// Newer books that a record of a later generation was seen.
func (w *Watch) NewerEpochSeen(generation uint64) { w.newerEpoch = max(w.newerEpoch, generation) }

// Sign books that something contradicts what the store acknowledged. It costs a look.
func (w *Watch) Suspect(sign string, now time.Time) {
	if w.phase != Trusted && w.phase != MeetingPeers {
		return
	}
	w.suspicions++
	w.sign = sign
	w.enterPhase(Suspected, now)
}

// Checked books the outcome of a look.
func (w *Watch) Compared(r Comparison, now time.Time) {
	if !w.comparing {
		return // of an earlier doubt
	}
	w.comparing = false
	w.comparedAt = now
	if w.phase != Suspected && w.phase != MeetingPeers {
		return
	}
	for _, word := range w.Assessments(now) {
		if word.ConfirmedLoss && word.Epoch == w.epoch {
			r = Missing // what is found here is only what is left
		}
	}
	switch r {
	case Intact:
		w.enterPhase(Trusted, now)
	case Missing:
		if w.phase == MeetingPeers {
			w.Suspect("others have seen more of it", now)
		}
		w.missingInRow++
	}
}

// Heard takes in what a peer tells.
func (w *Watch) Heard(name string, word Assessment, now time.Time) {
	p := w.peers[name]
	if p == nil {
		return
	}
	p.assessment, p.heardAt = word, now
	if word.SuspectsLoss && word.Epoch == w.epoch {
		w.Suspect("controller "+name+" doubts it", now)
	}
}

func (w *Watch) isHeard(p *peer, now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) <= HeardWithin
}

// Words lists what the peers that are heard tell.
func (w *Watch) Assessments(now time.Time) map[string]Assessment {
	out := map[string]Assessment{}
	for name, p := range w.peers {
		if w.isHeard(p, now) {
			out[name] = p.assessment
		}
	}
	return out
}

// Step says what to do now. shown are the controllers whose keys the store has as far as
// known.
func (w *Watch) Step(now time.Time, term uint64, shown func(string) bool) Action {
	heard := w.Assessments(now)
	if w.newerEpoch > w.epoch && w.phase != Starting {
		return Relist
	}
	for _, word := range heard {
		if word.Epoch > w.epoch && w.phase != Starting {
			return Relist
		}
	}
	switch w.phase {
	case MeetingPeers:
		// Once they are heard, a read that begins now must know all that they have seen.
		switch passed := now.Sub(w.since); {
		case passed > 3*meetingTime:
			w.enterPhase(Trusted, now)
		case (w.allPeersHeard() || passed > meetingTime) && !w.comparing && now.Sub(w.comparedAt) >= compareInterval/4:
			w.comparing = true
			return Compare
		}
	case Suspected:
		if w.missingInRow >= comparisonsNeeded && (w.peersAgree(heard) || now.Sub(w.since) > aloneConfirmAfter) {
			w.losses++
			w.enterPhase(Lost, now)
			return Relist
		}
		if !w.comparing && now.Sub(w.comparedAt) >= compareInterval {
			w.comparing = true
			return Compare
		}
	case Lost:
		return w.proposeOrWait(now, term, heard, shown)
	}
	return Nothing
}

// met says whether every peer was heard since this process started.
func (w *Watch) allPeersHeard() bool {
	for _, p := range w.peers {
		if p.heardAt.IsZero() {
			return false
		}
	}
	return true
}

// agreed says whether this controller's doubt is enough: one whose peers all find
// what was acknowledged reads something else than they do.
func (w *Watch) peersAgree(heard map[string]Assessment) bool {
	for _, word := range heard {
		if !word.SuspectsLoss && word.Epoch == w.epoch {
			return false
		}
	}
	return true
}

// Seen is the highest revision that a peer saw in this generation.
func (w *Watch) PeersRevision() (seen uint64) {
	for _, p := range w.peers {
		if p.assessment.Epoch == w.epoch {
			seen = max(seen, p.assessment.Revision)
		}
	}
	return seen
}

// turn says when a controller makes the next generation. One that is not heard may
// still act by its lease, until that has ended by any clock. One that knows a later
// term goes first, and so does, of several, the first by name.
func (w *Watch) proposeOrWait(now time.Time, term uint64, heard map[string]Assessment, shown func(string) bool) Action {
	passed := now.Sub(w.since)
	if len(heard) < len(w.peers) && passed < w.leaseLife+w.leaseLife/100 {
		return Nothing
	}
	for name, word := range heard {
		if word.Epoch == w.epoch && word.Term > term && passed < w.leaseLife {
			return Nothing
		}
		if !shown(name) && passed < ownKeysWait {
			return Nothing
		}
	}
	if !shown(w.self) {
		return Nothing
	}
	names := append(slices.Collect(maps.Keys(heard)), w.self)
	slices.Sort(names)
	if passed < time.Duration(slices.Index(names, w.self))*proposalStagger {
		return Nothing
	}
	return Propose
}
