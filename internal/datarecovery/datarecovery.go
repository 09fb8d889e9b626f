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
	StoreKey = "w/g/" // the generation's own key, by the drawn name of its store
	EndsKey  = "w/e/" // pages of ends that were written back
	DoneKey  = "w/d/" // finished tasks of jobs, put there by a restore for the owners to take up
)

// Phase is what a controller holds of its store.
type Phase int

// The phases. Nothing is acknowledged, started, rented or returned but in Known.
const (
	Starting Phase = iota // not read yet
	Meeting               // read, but a peer may know that it went back: this process does not
	Known                 // it has what it acknowledged, as far as anybody saw
	Doubted               // a sign of loss was seen and is being looked into
	Lost                  // it has lost what it acknowledged; the next generation is to be made
)

func (p Phase) String() string {
	return [...]string{"starting", "meeting", "known", "doubted", "lost"}[p]
}

// Result is the outcome of a look at the store.
type Result int

// The outcomes.
const (
	Unanswered Result = iota
	Good              // everything looked at is as it was acknowledged, or was changed since
	Bad               // something acknowledged is not there, and no change tells why
)

// Action is what a controller is to do now.
type Action int

// The actions.
const (
	Nothing Action = iota
	Check          // look whether the store has what it acknowledged
	Relist         // read all that is followed, and enter the generation that is found
	Propose        // make the next generation, if nobody has
)

// Word is what a controller tells its peers of the store with each status.
type Word struct {
	Generation  uint64 `json:"generation"`
	Term        uint64 `json:"term"`
	Incarnation uint64 `json:"incarnation"`
	Seen        uint64 `json:"seen"` // highest revision of an answer in this generation
	Doubt       bool   `json:"doubt,omitempty"`
	Lost        bool   `json:"lost,omitempty"`  // holds it to be lost: no doubt is left
	Whole       bool   `json:"whole,omitempty"` // its memory goes back before the loss that it sees, and to the deployment's beginning
}

// Times of looking into a doubt. A second look rules out a single answer of an old copy.
const (
	checkEvery = 200 * time.Millisecond
	looks      = 2
	// Near is after what silence a peer counts as not heard.
	Near = 2 * time.Second
	// turn parts the proposals of several controllers.
	turn = 350 * time.Millisecond
	// meet is how long a process that starts waits for its peers' word.
	meet = 1500 * time.Millisecond
	// insist is after what time a doubt that every look confirms is a loss, whatever the
	// others find: one that started since then does not know what was there.
	insist = 5 * time.Second
	// patience is how long the others' keys are waited for before a generation is made
	// without them.
	patience = 1500 * time.Millisecond
)

type peer struct {
	word  Word
	heard time.Time
}

// Watch is a controller's judgement of the store.
type Watch struct {
	self  string
	life  time.Duration // of a controller's lease
	peers map[string]*peer

	phase      Phase
	generation uint64
	newer      uint64 // generation that was seen, if later
	sign       string
	since      time.Time // of the phase
	looked     time.Time
	checking   bool
	bad        int
	signs      int // seen in all
	losses     int
}

// NewWatch is a watch of a controller that has read nothing yet; life is that of
// controllers' leases.
func NewWatch(self string, peers []string, life time.Duration) *Watch {
	w := &Watch{self: self, life: life, peers: map[string]*peer{}}
	for _, p := range peers {
		w.peers[p] = &peer{}
	}
	return w
}

// Phase tells the phase, since when, and the sign that led to it.
func (w *Watch) Phase() (p Phase, since time.Time, sign string) { return w.phase, w.since, w.sign }

// Counts tells how many signs were seen and how many losses agreed on.
func (w *Watch) Counts() (signs, losses int) { return w.signs, w.losses }

func (w *Watch) move(p Phase, now time.Time) {
	w.phase, w.since, w.bad, w.checking, w.looked = p, now, 0, false, time.Time{}
}

// Entered says that all that is followed was read and is of a generation.
func (w *Watch) Entered(generation uint64, now time.Time) {
	if (w.phase == Known || w.phase == Meeting) && generation == w.generation {
		return
	}
	first := w.phase == Starting || w.phase == Meeting && generation <= 1
	w.generation = generation
	w.sign = ""
	if w.phase == Meeting && first {
		return // the record came meanwhile
	}
	if first && len(w.peers) > 0 {
		w.move(Meeting, now)
	} else {
		w.move(Known, now)
	}
}

// Newer books that a record of a later generation was seen.
func (w *Watch) Newer(generation uint64) { w.newer = max(w.newer, generation) }

// Sign books that something contradicts what the store acknowledged. It costs a look.
func (w *Watch) Sign(sign string, now time.Time) {
	if w.phase != Known && w.phase != Meeting {
		return
	}
	w.signs++
	w.sign = sign
	w.move(Doubted, now)
}

// Checked books the outcome of a look.
func (w *Watch) Checked(r Result, now time.Time) {
	if !w.checking {
		return // of an earlier doubt
	}
	w.checking = false
	w.looked = now
	if w.phase != Doubted && w.phase != Meeting {
		return
	}
	for _, word := range w.Words(now) {
		if word.Lost && word.Generation == w.generation {
			r = Bad // what is found here is only what is left
		}
	}
	switch r {
	case Good:
		w.move(Known, now)
	case Bad:
		if w.phase == Meeting {
			w.Sign("others have seen more of it", now)
		}
		w.bad++
	}
}

// Heard takes in what a peer tells.
func (w *Watch) Heard(name string, word Word, now time.Time) {
	p := w.peers[name]
	if p == nil {
		return
	}
	p.word, p.heard = word, now
	if word.Doubt && word.Generation == w.generation {
		w.Sign("controller "+name+" doubts it", now)
	}
}

func (w *Watch) near(p *peer, now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) <= Near
}

// Words lists what the peers that are heard tell.
func (w *Watch) Words(now time.Time) map[string]Word {
	out := map[string]Word{}
	for name, p := range w.peers {
		if w.near(p, now) {
			out[name] = p.word
		}
	}
	return out
}

// Step says what to do now. shown are the controllers whose keys the store has as far as
// known.
func (w *Watch) Step(now time.Time, term uint64, shown func(string) bool) Action {
	heard := w.Words(now)
	if w.newer > w.generation && w.phase != Starting {
		return Relist
	}
	for _, word := range heard {
		if word.Generation > w.generation && w.phase != Starting {
			return Relist
		}
	}
	switch w.phase {
	case Meeting:
		// Once they are heard, a read that begins now must know all that they have seen.
		switch passed := now.Sub(w.since); {
		case passed > 3*meet:
			w.move(Known, now)
		case (w.met() || passed > meet) && !w.checking && now.Sub(w.looked) >= checkEvery/4:
			w.checking = true
			return Check
		}
	case Doubted:
		if w.bad >= looks && (w.agreed(heard) || now.Sub(w.since) > insist) {
			w.losses++
			w.move(Lost, now)
			return Relist
		}
		if !w.checking && now.Sub(w.looked) >= checkEvery {
			w.checking = true
			return Check
		}
	case Lost:
		return w.turn(now, term, heard, shown)
	}
	return Nothing
}

// met says whether every peer was heard since this process started.
func (w *Watch) met() bool {
	for _, p := range w.peers {
		if p.heard.IsZero() {
			return false
		}
	}
	return true
}

// agreed says whether this controller's doubt is enough: one whose peers all find
// what was acknowledged reads something else than they do.
func (w *Watch) agreed(heard map[string]Word) bool {
	for _, word := range heard {
		if !word.Doubt && word.Generation == w.generation {
			return false
		}
	}
	return true
}

// Seen is the highest revision that a peer saw in this generation.
func (w *Watch) Seen() (seen uint64) {
	for _, p := range w.peers {
		if p.word.Generation == w.generation {
			seen = max(seen, p.word.Seen)
		}
	}
	return seen
}

// turn says when a controller makes the next generation. One that is not heard may
// still act by its lease, until that has ended by any clock. One that knows a later
// term goes first, and so does, of several, the first by name.
func (w *Watch) turn(now time.Time, term uint64, heard map[string]Word, shown func(string) bool) Action {
	passed := now.Sub(w.since)
	if len(heard) < len(w.peers) && passed < w.life+w.life/100 {
		return Nothing
	}
	for name, word := range heard {
		if word.Generation == w.generation && word.Term > term && passed < w.life {
			return Nothing
		}
		if !shown(name) && passed < patience {
			return Nothing
		}
	}
	if !shown(w.self) {
		return Nothing
	}
	names := append(slices.Collect(maps.Keys(heard)), w.self)
	slices.Sort(names)
	if passed < time.Duration(slices.Index(names, w.self))*turn {
		return Nothing
	}
	return Propose
}
