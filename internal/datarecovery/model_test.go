package datarecovery

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The model consists of a simple store that loses data, two controllers, three machines, and jobs of one task each. It
// is kept simple rather than fast. The controllers take all decisions from the code under test, that is, from this
// package and from leadership alone.

// guards are the safety mechanisms of the controllers. A test disables one at a time to show that the model detects it.
type guards struct{ revisions, fence, exchange, replicate, termAboveTokens, barrierUnlessKept, endBeatsActive, compare, askStore bool }

// world is the complete state of the model.
type world struct {
	guards         guards
	rng            *rand.Rand
	now            time.Time
	store          *modelStore
	nodes          []*controllerModel
	machines       []*machineModel
	inFlightStarts []startInFlight
	partitioned    bool              // no connection between the controllers
	answers        map[string]string // latest answer to a user, by job
	saved          *modelStore       // contents of the backup
	faultsFrom     time.Time         // no fault is injected earlier, so that both controllers retain the state again
	violation      string            // the first violation found; empty: none
	started        int               // starts that machines executed
	losses         int
	jobs           int // submitted
}

const modelShard = "team/a"

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

const (
	modelStep       = 50 * time.Millisecond
	faultSteps      = 2500
	faultFreeSteps  = 800 // at the end of a history
	restartInterval = 6 * time.Second
)

func newWorld(seed uint64, g guards) *world {
	w := &world{
		guards: g, rng: rand.New(rand.NewPCG(seed, 17)), now: time.Unix(1000, 0),
		store: &modelStore{keys: map[string]modelEntry{}}, answers: map[string]string{},
	}
	for _, name := range []string{"n0", "n1"} {
		w.nodes = append(w.nodes, &controllerModel{name: name, incarnation: 10})
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	for range 3 {
		w.machines = append(w.machines, &machineModel{running: map[string]uint64{}, finished: map[string]bool{}})
	}
	w.saved = w.store.clone()
	return w
}

// runHistory runs a random history and returns the first violation, "" for none.
func runHistory(seed uint64, g guards) (violation string, w *world) {
	w = newWorld(seed, g)
	for range faultSteps {
		w.now = w.now.Add(modelStep)
		for _, n := range w.nodes {
			w.stepController(n)
		}
		w.actAsUser()
		w.runMachines()
		if w.violation != "" {
			return w.violation, w
		}
		w.injectFaults()
	}
	w.partitioned = false
	for range faultFreeSteps {
		w.now = w.now.Add(modelStep)
		for _, n := range w.nodes {
			w.stepController(n)
		}
		w.runMachines()
	}
	w.checkAnswers()
	return w.violation, w
}

// settled reports whether both controllers trust the store, are connected and have a complete history.
func (w *world) settled() bool {
	for _, n := range w.nodes {
		if !n.trusts() || n.exchange != nil || !n.historyComplete || n.record == nil || !w.connected(n) {
			return false
		}
	}
	return true
}

// injectFaults may lose data, restart a controller, or partition the two.
func (w *world) injectFaults() {
	settled := w.settled()
	if w.rng.IntN(150) == 0 && settled {
		w.saved = w.store.clone()
	}
	if w.now.Before(w.faultsFrom) {
		return
	}
	n := w.nodes[w.rng.IntN(2)]
	switch w.rng.IntN(160) {
	case 0, 1:
		if settled {
			w.restart(n)
		}
	case 2, 3:
		w.loseData(w.saved)
	case 4:
		w.partitioned = !w.partitioned
	}
	if w.partitioned && w.rng.IntN(60) == 0 {
		w.partitioned = false
	}
}

// restart restarts a controller, which loses its state; the other one must retain it.
func (w *world) restart(n *controllerModel) {
	n.up = false
	if w.rng.IntN(2) == 0 {
		w.loseData(w.saved)
	}
	w.store.txn(nil, map[string]string{"w/n/" + n.name: ""})
	w.boot(n)
	w.faultsFrom = w.now.Add(restartInterval)
}

// checkAnswers checks that the final state of each job agrees with the last answer to its user.
func (w *world) checkAnswers() {
	for uid, answer := range w.answers {
		_, active := w.store.keys["w/a/"+uid]
		entry, ended := w.store.keys["f/"+uid]
		for _, n := range w.nodes {
			if end, known := n.ends.Get(uid); known {
				ended, entry.value = true, map[bool]string{true: "withdrawn", false: "done"}[end.Cancelled]
			}
		}
		if (answer != "active" && !ended) || (!active && !ended) || (answer != "active" && entry.value != answer) {
			w.fail("%s was answered as %s; finally active %t, ended %t as %q", uid, answer, active, ended, entry.value)
		}
	}
}

var allGuards = guards{revisions: true, fence: true, exchange: true, replicate: true, termAboveTokens: true, barrierUnlessKept: true, endBeatsActive: true, compare: true, askStore: true}

// TestRecoveryModel runs random histories of losses, restarts and partitions. As long as one controller stays up, no
// job that was accepted, done or cancelled may be forgotten or change its state, and no task may run twice.
func TestRecoveryModel(t *testing.T) {
	losses, started, epochs := 0, 0, uint64(0)
	for seed := range uint64(15) {
		violation, w := runHistory(seed, allGuards)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		losses, started, epochs = losses+w.losses, started+w.started, epochs+w.nodes[0].epoch()
	}
	if losses < 30 || started < 100 || epochs < 30 {
		t.Fatalf("only %d losses, %d starts and %d epochs", losses, started, epochs)
	}
}

// TestRecoveryModelCatches disables one guard at a time and checks that the model finds a violation.
func TestRecoveryModelCatches(t *testing.T) {
	for name, disable := range map[string]func(*guards){
		"answers of a lower revision are accepted, and keys are not compared":        func(g *guards) { g.revisions, g.compare = false, false },
		"changes are not conditional on the epoch key":                               func(g *guards) { g.fence, g.compare, g.revisions = false, false, false },
		"retained state of the peers is not awaited":                                 func(g *guards) { g.exchange = false },
		"facts are not replicated before they are answered":                          func(g *guards) { g.replicate = false },
		"the terms of a new epoch start from 1":                                      func(g *guards) { g.termAboveTokens = false },
		"owners continue without a barrier in all cases":                             func(g *guards) { g.barrierUnlessKept = false },
		"a key of an active job overrides its known end":                             func(g *guards) { g.endBeatsActive = false },
		"a job missing in the store is answered as active without reading the store": func(g *guards) { g.askStore = false },
	} {
		caught, tries := false, uint64(0)
		for seed := uint64(0); seed < 200 && !caught; seed++ {
			// The first seed is one after which the rarest violation is found soon.
			violation, _ := runHistory(70+seed, func() guards { g := allGuards; disable(&g); return g }())
			caught = violation != ""
			tries = seed + 1
		}
		t.Logf("%s: detected in history %d", name, tries)
		if !caught {
			t.Errorf("not detected: %s", name)
		}
	}
}
