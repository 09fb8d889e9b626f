package leasegrant_test

import (
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
)

// event is one thing that may go wrong, or end, between two steps of time; each happens once at most.
type event struct {
	name string
	can  func(w *world) bool
	do   func(w *world)
}

// withdrawnBy is the last step in which the job may be withdrawn, and lastStep the one at which a history ends: by then
// the time of the cancellation is over.
const (
	withdrawnBy = 2
	lastStep    = withdrawnBy + int(cancelWithin/step) + 2
)

// events come in the order in which those between the same two steps are tried.
var events = []event{
	{"machine wakes", func(w *world) bool { return w.machines[0].hung }, func(w *world) {
		w.machines[0].hung = false
		w.release(func(d *direct) bool { return !d.late && d.machine == 0 && !w.cut[0][d.from] })
	}},
	{"path heals", func(w *world) bool { return w.cut[0] != [3]bool{} }, func(w *world) {
		w.cut[0] = [3]bool{}
		w.release(func(d *direct) bool { return !d.late && d.machine == 0 && !w.machines[0].hung })
	}},
	{"c joins", func(w *world) bool { return w.apart[2] }, func(w *world) { w.apart[2] = false }},
	{"a joins", func(w *world) bool { return w.apart[0] }, func(w *world) { w.apart[0] = false }},
	{"b joins", func(w *world) bool { return w.apart[1] }, func(w *world) { w.apart[1] = false }},
	{"a is served", func(w *world) bool { return w.store.refused[0] }, func(w *world) { w.store.refused[0] = false }},
	{"b is served", func(w *world) bool { return w.store.refused[1] }, func(w *world) { w.store.refused[1] = false }},
	{"outage ends", func(w *world) bool { return w.store.down }, func(w *world) {
		w.store.down = false
		for name := range w.store.expires {
			w.store.expires[name] = w.now.Add(controllerLease)
		}
	}},
	{"b reads, its answer is late", func(w *world) bool { return w.served(1) && w.controllers[1].up && !w.controllers[1].known }, stash(1)},
	{"c apart", func(w *world) bool { return true }, func(w *world) { w.apart[2] = true }},
	{"c withdraws", canWithdraw(2), withdraw(2)},
	{"b withdraws", canWithdraw(1), withdraw(1)},
	{"a withdraws", canWithdraw(0), withdraw(0)},
	{"c writes the withdrawal and ends", canWithdraw(2), func(w *world) {
		w.commit()
		w.crash(2)
	}},
	{"a confirms it", canConfirm(0), func(w *world) { w.confirm(w.controllers[0]) }},
	{"b confirms it", canConfirm(1), func(w *world) { w.confirm(w.controllers[1]) }},
	{"a refused", func(w *world) bool { return !w.store.down }, func(w *world) { w.store.refused[0] = true }},
	{"b refused", func(w *world) bool { return !w.store.down }, func(w *world) { w.store.refused[1] = true }},
	{"outage", func(w *world) bool { return !w.store.down }, func(w *world) { w.store.down = true }},
	{"b's late answer", func(w *world) bool { return w.controllers[1].up && w.controllers[1].stash != nil }, func(w *world) {
		for _, x := range w.controllers[1].stash {
			w.learn(w.controllers[1], x)
		}
		w.controllers[1].stash = nil
	}},
	{"a ends", func(w *world) bool { return w.controllers[0].up }, func(w *world) { w.crash(0) }},
	{"b ends", func(w *world) bool { return w.controllers[1].up }, func(w *world) { w.crash(1) }},
	{"c ends", func(w *world) bool { return w.controllers[2].up }, func(w *world) { w.crash(2) }},
	{"a apart", func(w *world) bool { return true }, func(w *world) { w.apart[0] = true }},
	{"b apart", func(w *world) bool { return true }, func(w *world) { w.apart[1] = true }},
	{"path to a held", func(w *world) bool { return true }, func(w *world) { w.cut[0][0] = true }},
	{"only a is reached", func(w *world) bool { return true }, func(w *world) { w.cut[0] = [3]bool{false, true, true} }},
	{"machine cut off", func(w *world) bool { return !w.cut[0][0] }, func(w *world) { w.cut[0] = [3]bool{true, true, true} }},
	{"machine hangs", func(w *world) bool { return true }, func(w *world) { w.machines[0].hung = true }},
	{"machine deaf", func(w *world) bool { return true }, func(w *world) { w.machines[0].deaf = true }},
	{"b moves the task", func(w *world) bool { return w.controllers[1].account != nil }, func(w *world) {
		w.controllers[1].account.AssignmentsOn(machineName(0), func(h jobstate.Assignment) { w.controllers[1].account.Migrate(h, 0, w.now) })
	}},
	{"next start is late", func(w *world) bool { return len(w.machines[0].tasks) == 0 }, func(w *world) { w.late = true }},
	{"late start arrives", func(w *world) bool { return len(w.held) > 0 && w.held[0].late }, func(w *world) {
		w.release(func(d *direct) bool { return d.late })
	}},
}

func stash(i int) func(w *world) {
	return func(w *world) {
		c := w.controllers[i]
		for _, x := range w.store.changes {
			if x.revision > c.revision {
				c.stash = append(c.stash, x)
			}
		}
	}
}

func canWithdraw(i int) func(w *world) bool {
	return func(w *world) bool {
		return !w.committed && w.steps <= withdrawnBy && w.controllers[i].up && w.served(i)
	}
}

func withdraw(i int) func(w *world) {
	return func(w *world) {
		w.commit()
		w.confirm(w.controllers[i])
	}
}

func (w *world) commit() {
	w.committed = true
	w.store.revision++
	w.store.changes = append(w.store.changes, change{revision: w.store.revision, deleted: true})
}

func canConfirm(i int) func(w *world) bool {
	return func(w *world) bool {
		return w.committed && w.confirmed.IsZero() && w.steps <= withdrawnBy && w.controllers[i].up && w.served(i)
	}
}

func (w *world) crash(i int) {
	c := w.controllers[i]
	w.controllers[i] = &controller{index: i, process: c.process, returns: w.now.Add(step), lease: leadership.Lease{}}
}

// outcome is what an exploration found.
type outcome struct {
	states  int
	broken  string
	history []string
}

// node is a state in the search.
type node struct {
	w      *world
	before *node
	by     string
}

func (n *node) history() (names []string) {
	for ; n.before != nil; n = n.before {
		names = append([]string{n.by}, names...)
	}
	return names
}

// children lists what may follow a state.
func children(n *node, f *family) (out []*node) {
	if n.w.steps < lastStep && (n.w.committed || n.w.steps <= withdrawnBy || !f.withdraws()) {
		w := copied(n.w)
		w.advance()
		out = append(out, &node{w, n, "|"})
	}
	if n.w.events == f.most {
		return out
	}
	for i := n.w.lastEvent; i < len(events); i++ {
		if n.w.used&(1<<i) != 0 || !slices.Contains(f.events, events[i].name) || !events[i].can(n.w) {
			continue
		}
		w := copied(n.w)
		w.used |= 1 << i
		w.events, w.lastEvent = w.events+1, i+1
		events[i].do(w)
		out = append(out, &node{w, n, events[i].name})
	}
	return out
}

// family is a part of the events, of which up to so many meet.
type family struct {
	name    string
	running bool // the job's task runs when it begins; else it is to be started
	most    int
	events  []string
	mutants []mutant
	longer  time.Duration // than in the others a worker's lease is
}

// withdraws says whether the job may be withdrawn.
func (f *family) withdraws() bool {
	return slices.ContainsFunc(f.events, func(name string) bool { return strings.Contains(name, "withdraw") })
}

// explore goes through all histories of a family, breadth-first.
func explore(f *family, m mutant) outcome {
	level := []*node{{w: newWorld(m, f.running, workerLease+f.longer)}}
	seen := map[uint64]bool{}
	found := outcome{}
	for len(level) > 0 {
		next := make([][]*node, len(level))
		sums := make([][]uint64, len(level))
		var wg sync.WaitGroup
		workers := min(2, runtime.GOMAXPROCS(0))
		for k := range workers {
			wg.Go(func() {
				for i := k; i < len(level); i += workers {
					next[i] = children(level[i], f)
					for _, c := range next[i] {
						sums[i] = append(sums[i], digest(c.w))
					}
					level[i].w = nil
				}
			})
		}
		wg.Wait()
		level = nil
		for i := range next {
			for k, c := range next[i] {
				if c.w.broken != "" {
					return outcome{len(seen), c.w.broken, c.history()}
				}
				if !seen[sums[i][k]] {
					seen[sums[i][k]] = true
					level = append(level, c)
				}
			}
		}
		found.states = len(seen)
	}
	return found
}

var families = []family{
	{"refusals and outages", true, 4, []string{"c withdraws", "only a is reached", "path heals", "a refused", "outage", "outage ends", "a apart"},
		[]mutant{"an unnumbered withdrawal", "renewals without a horizon"}, 0},
	{"processes and links", true, 5, []string{"c apart", "c joins", "c withdraws", "c ends", "outage"},
		[]mutant{"one process"}, 0},
	{"a held path", false, 5, []string{"c withdraws", "path to a held", "path heals", "outage", "outage ends", "a ends"},
		[]mutant{"strangers without a bound", "what is over is not stopped"}, 0},
	{"a late start", false, 6, []string{"next start is late", "late start arrives", "c withdraws", "outage", "machine hangs", "a apart"},
		[]mutant{"a start in flight does not bound renewals", "a home's word leaves out its starts"}, 0},
	{"late reads", false, 6, []string{"b reads, its answer is late", "c withdraws", "b withdraws", "outage", "b's late answer", "b ends", "outage ends"},
		[]mutant{"an acceptance after the end"}, 0},
	{"found by another", true, 4, []string{"c writes the withdrawal and ends", "a confirms it", "b confirms it", "a refused", "outage", "only a is reached", "machine hangs"}, nil, 0},
	{"a late start across an end", false, 5, []string{"next start is late", "late start arrives", "a ends", "machine deaf", "b moves the task"}, nil, step},
	{"machines", true, 4, []string{"machine cut off", "path heals", "machine hangs", "machine wakes", "a withdraws", "a ends", "outage"}, nil, 0},
}

// TestMeetings: in no history of any family is a task of the job on a machine, or does one start, later than
// cancelWithin after a user was told of its withdrawal, nor is a task on two machines.
func TestModel(t *testing.T) {
	for i := range families {
		f := &families[i]
		t.Run(f.name, func(t *testing.T) {
			began := time.Now()
			found := explore(f, "")
			t.Logf("up to %d of %d events between %d steps: %d states, %v", f.most, len(f.events), lastStep, found.states, time.Since(began).Round(time.Millisecond))
			if found.broken != "" {
				t.Errorf("%s: %q", found.broken, found.history)
			}
		})
	}
}

// TestMeetingsCatch shows that the model breaks a rule when a guard is left out.
func TestModelCatchesMutants(t *testing.T) {
	for i := range families {
		for _, m := range families[i].mutants {
			t.Run(string(m), func(t *testing.T) {
				found := explore(&families[i], m)
				t.Logf("%d states: %s: %q", found.states, found.broken, found.history)
				if found.broken == "" {
					t.Error("not caught")
				}
			})
		}
	}
}
