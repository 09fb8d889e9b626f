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
	"topazhollow/internal/protocol"
)

// event is a failure, a recovery or an action between two steps of time. Each event occurs at most once in a history.
type event struct {
	name     string
	possible func(w *world) bool
	apply    func(w *world)
}

// cancelledBy is the last step in which the job may be cancelled. lastStep is the step at which a history ends; by then
// the cancellation time is over.
const (
	cancelledBy = 2
	lastStep    = cancelledBy + int(cancelTime/step) + 2
)

// events are listed in the order in which events between the same two steps are tried.
var events = []event{
	{"machine resumes", func(w *world) bool { return w.machines[0].hung }, func(w *world) {
		w.machines[0].hung = false
		w.releaseHeldUp(func(d *commandRequest) bool { return !d.late && d.machine == 0 && !w.pathHeld[0][d.from] })
	}},
	{"paths recover", func(w *world) bool { return w.pathHeld[0] != [3]bool{} }, func(w *world) {
		w.pathHeld[0] = [3]bool{}
		w.releaseHeldUp(func(d *commandRequest) bool { return !d.late && d.machine == 0 && !w.machines[0].hung })
	}},
	{"c reconnects", func(w *world) bool { return w.unlinked[2] }, func(w *world) { w.unlinked[2] = false }},
	{"a reconnects", func(w *world) bool { return w.unlinked[0] }, func(w *world) { w.unlinked[0] = false }},
	{"b reconnects", func(w *world) bool { return w.unlinked[1] }, func(w *world) { w.unlinked[1] = false }},
	{"store serves a", func(w *world) bool { return w.store.refused[0] }, func(w *world) { w.store.refused[0] = false }},
	{"store serves b", func(w *world) bool { return w.store.refused[1] }, func(w *world) { w.store.refused[1] = false }},
	{"outage ends", func(w *world) bool { return w.store.down }, func(w *world) {
		w.store.down = false
		for name := range w.store.expires {
			w.store.expires[name] = w.now.Add(controllerLease)
		}
	}},
	{"b reads, answer delayed", func(w *world) bool { return w.served(1) && w.controllers[1].up && !w.controllers[1].known }, readLate(1)},
	{"c disconnected", func(w *world) bool { return true }, func(w *world) { w.unlinked[2] = true }},
	{"c cancels", canCancel(2), cancelJob(2)},
	{"b cancels", canCancel(1), cancelJob(1)},
	{"a cancels", canCancel(0), cancelJob(0)},
	{"c writes the cancellation and crashes", canCancel(2), func(w *world) {
		w.writeCancellation()
		w.crash(2)
	}},
	{"a confirms the cancellation", canConfirm(0), func(w *world) { w.confirmCancellation(w.controllers[0]) }},
	{"b confirms the cancellation", canConfirm(1), func(w *world) { w.confirmCancellation(w.controllers[1]) }},
	{"store refuses a", func(w *world) bool { return !w.store.down }, func(w *world) { w.store.refused[0] = true }},
	{"store refuses b", func(w *world) bool { return !w.store.down }, func(w *world) { w.store.refused[1] = true }},
	{"outage", func(w *world) bool { return !w.store.down }, func(w *world) { w.store.down = true }},
	{"b receives the delayed answer", func(w *world) bool { return w.controllers[1].up && w.controllers[1].lateChanges != nil }, func(w *world) {
		for _, x := range w.controllers[1].lateChanges {
			w.applyChange(w.controllers[1], x)
		}
		w.controllers[1].lateChanges = nil
	}},
	{"a crashes", func(w *world) bool { return w.controllers[0].up }, func(w *world) { w.crash(0) }},
	{"b crashes", func(w *world) bool { return w.controllers[1].up }, func(w *world) { w.crash(1) }},
	{"c crashes", func(w *world) bool { return w.controllers[2].up }, func(w *world) { w.crash(2) }},
	{"a disconnected", func(w *world) bool { return true }, func(w *world) { w.unlinked[0] = true }},
	{"b disconnected", func(w *world) bool { return true }, func(w *world) { w.unlinked[1] = true }},
	{"path to a delayed", func(w *world) bool { return true }, func(w *world) { w.pathHeld[0][0] = true }},
	{"machine reaches only a", func(w *world) bool { return true }, func(w *world) { w.pathHeld[0] = [3]bool{false, true, true} }},
	{"machine reaches no controller", func(w *world) bool { return !w.pathHeld[0][0] }, func(w *world) { w.pathHeld[0] = [3]bool{true, true, true} }},
	{"machine hangs", func(w *world) bool { return true }, func(w *world) { w.machines[0].hung = true }},
	{"machine unreachable", func(w *world) bool { return true }, func(w *world) { w.machines[0].unreachable = true }},
	{"b migrates the task", func(w *world) bool { return w.controllers[1].teamState != nil }, func(w *world) {
		w.controllers[1].teamState.Assignments().On(machineName(0), func(h jobstate.Assignment) { w.controllers[1].teamState.Migrate(h, 0, w.now) })
	}},
	{"next start is delayed", func(w *world) bool { return len(w.machines[0].tasks) == 0 }, func(w *world) { w.nextStartLate = true }},
	{"delayed start arrives", func(w *world) bool { return len(w.heldUp) > 0 && w.heldUp[0].late }, func(w *world) {
		w.releaseHeldUp(func(d *commandRequest) bool { return d.late })
	}},
	{"the task fails", func(w *world) bool { return w.runningTask() != nil }, func(w *world) {
		x := w.runningTask()
		x.State, x.Reason = protocol.Exited, protocol.ReasonError
	}},
	{"copies of answered starts arrive", func(w *world) bool { return len(w.answered) > 0 }, (*world).deliverCopies},
	{"the copies arrive again", func(w *world) bool { return len(w.answered) > 0 }, (*world).deliverCopies},
	{"b raises the term", func(w *world) bool {
		b := w.controllers[1]
		return b.teamState != nil && w.entitled(b) && w.served(1) && b.version == w.store.version
	}, func(w *world) {
		next := w.store.record.Clone()
		next.Term++
		w.writeRecord(next)
	}},
}

// runningTask returns the task on a machine that runs, nil if none does.
func (w *world) runningTask() *protocol.TaskStatus {
	for _, m := range w.machines {
		for i := range m.tasks {
			if m.tasks[i].State != protocol.Exited {
				return &m.tasks[i]
			}
		}
	}
	return nil
}

// deliverCopies delivers copies of the requests with starts that were executed and answered.
func (w *world) deliverCopies() {
	for _, d := range w.answered {
		w.receiveCommands(d)
	}
}

// readLate returns the effect of a read by a controller whose answer is delayed.
func readLate(i int) func(w *world) {
	return func(w *world) {
		c := w.controllers[i]
		for _, x := range w.store.changes {
			if x.revision > c.revision {
				c.lateChanges = append(c.lateChanges, x)
			}
		}
	}
}

func canCancel(i int) func(w *world) bool {
	return func(w *world) bool {
		return !w.cancelled && w.steps <= cancelledBy && w.controllers[i].up && w.served(i)
	}
}

func cancelJob(i int) func(w *world) {
	return func(w *world) {
		w.writeCancellation()
		w.confirmCancellation(w.controllers[i])
	}
}

func (w *world) writeCancellation() {
	w.cancelled = true
	w.store.revision++
	w.store.changes = append(w.store.changes, change{revision: w.store.revision, deleted: true})
}

func canConfirm(i int) func(w *world) bool {
	return func(w *world) bool {
		return w.cancelled && w.confirmedAt.IsZero() && w.steps <= cancelledBy && w.controllers[i].up && w.served(i)
	}
}

// crash ends a controller's process; it restarts after one step.
func (w *world) crash(i int) {
	c := w.controllers[i]
	w.controllers[i] = &controller{index: i, incarnation: c.incarnation, restartsAt: w.now.Add(step), lease: leadership.Lease{}}
}

// outcome is the result of an exploration.
type outcome struct {
	states  int
	broken  string
	history []string
}

// node is a state in the search.
type node struct {
	w      *world
	parent *node
	event  string
}

func (n *node) history() (names []string) {
	for ; n.parent != nil; n = n.parent {
		names = append([]string{n.event}, names...)
	}
	return names
}

// children returns the successors of a state.
func children(n *node, f *family) (out []*node) {
	if n.w.steps < lastStep && (n.w.cancelled || n.w.steps <= cancelledBy || !f.cancels()) {
		w := deepCopy(n.w)
		w.advance()
		out = append(out, &node{w, n, "|"})
	}
	if n.w.events == f.maxEvents {
		return out
	}
	for i := n.w.lastEvent; i < len(events); i++ {
		if n.w.usedEvents&(1<<i) != 0 || !slices.Contains(f.events, events[i].name) || !events[i].possible(n.w) {
			continue
		}
		w := deepCopy(n.w)
		w.usedEvents |= 1 << i
		w.events, w.lastEvent = w.events+1, i+1
		events[i].apply(w)
		out = append(out, &node{w, n, events[i].name})
	}
	return out
}

// family is a subset of the events, of which up to maxEvents occur in one history.
type family struct {
	name        string
	running     bool // the job's task runs at the start of the history; otherwise it has yet to be started
	maxEvents   int
	events      []string
	mutants     []mutant
	longerLease time.Duration // how much longer an agent's lease is than in the other families
	keepsCopies bool          // copies of answered requests may arrive
}

// cancels reports whether a history of the family may cancel the job.
func (f *family) cancels() bool {
	return slices.ContainsFunc(f.events, func(name string) bool { return strings.Contains(name, "cancel") })
}

// explore runs all histories of a family, breadth-first.
func explore(f *family, m mutant) outcome {
	level := []*node{{w: newWorld(m, f)}}
	seen := map[uint64]bool{}
	result := outcome{}
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
		result.states = len(seen)
	}
	return result
}

var families = []family{
	{"refusals and outages", true, 4, []string{"c cancels", "machine reaches only a", "paths recover", "store refuses a", "outage", "outage ends", "a disconnected"},
		[]mutant{"cancellations are not numbered", "renewals need no watermark"}, 0, false},
	{"crashes and disconnections", true, 5, []string{"c disconnected", "c reconnects", "c cancels", "c crashes", "outage"},
		[]mutant{"a peer's restart goes unnoticed"}, 0, false},
	{"a delayed path", false, 5, []string{"c cancels", "path to a delayed", "paths recover", "outage", "outage ends", "a crashes"},
		[]mutant{"other controllers need no watermark of the home", "ended jobs are not stopped"}, 0, false},
	{"a delayed start", false, 6, []string{"next start is delayed", "delayed start arrives", "c cancels", "outage", "machine hangs", "a disconnected"},
		[]mutant{"starts in flight do not bound renewals", "home watermarks ignore starts in flight"}, 0, false},
	{"delayed reads", false, 6, []string{"b reads, answer delayed", "c cancels", "b cancels", "outage", "b receives the delayed answer", "b crashes", "outage ends"},
		[]mutant{"a late read revives an ended job"}, 0, false},
	{"cancellation found by another controller", true, 4, []string{"c writes the cancellation and crashes", "a confirms the cancellation", "b confirms the cancellation", "store refuses a", "outage", "machine reaches only a", "machine hangs"}, nil, 0, false},
	{"a delayed start across a crash", false, 5, []string{"next start is delayed", "delayed start arrives", "a crashes", "machine unreachable", "b migrates the task"}, nil, step, false},
	{"machine failures", true, 4, []string{"machine reaches no controller", "paths recover", "machine hangs", "machine resumes", "a cancels", "a crashes", "outage"}, nil, 0, false},
	{"copies of answered starts", true, 5, []string{"the task fails", "copies of answered starts arrive", "the copies arrive again", "b raises the term", "b migrates the task", "c cancels", "a crashes", "b crashes"},
		[]mutant{"attempts are forgotten under the term of their starts"}, 0, true},
}

// TestModel guards that in no history of any family a task of the job is on a machine, or starts, later than cancelTime
// after a user was told of its cancellation, and that no task is on two machines.
func TestModel(t *testing.T) {
	for i := range families {
		f := &families[i]
		t.Run(f.name, func(t *testing.T) {
			began := time.Now()
			found := explore(f, "")
			t.Logf("histories of up to %d of %d events between %d steps: %d states, %v", f.maxEvents, len(f.events), lastStep, found.states, time.Since(began).Round(time.Millisecond))
			if found.broken != "" {
				t.Errorf("%s: %q", found.broken, found.history)
			}
		})
	}
}

// TestModelCatchesMutants shows that the model violates an invariant when a guard is left out.
func TestModelCatchesMutants(t *testing.T) {
	for i := range families {
		for _, m := range families[i].mutants {
			t.Run(string(m), func(t *testing.T) {
				found := explore(&families[i], m)
				t.Logf("%d states: %s: %q", found.states, found.broken, found.history)
				if found.broken == "" {
					t.Error("the mutant is not detected")
				}
			})
		}
	}
}
