package controller

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
	"topazhollow/internal/userapi"
)

// setsValue returns whether a transaction sets a key with a prefix to a value that contains a text.
func setsValue(txn *protocol.Txn, prefix, text string) bool {
	for _, o := range txn.Then {
		if strings.HasPrefix(o.Set, prefix) && strings.Contains(string(o.Value), text) {
			return true
		}
	}
	return false
}

// writeKinds recognises the transactions of each kind that controllers send to the state service.
var writeKinds = map[string]func(txn *protocol.Txn) bool{
	"acceptance": func(txn *protocol.Txn) bool { return setsValue(txn, userapi.ActiveJobPrefix, "") },
	"end":        func(txn *protocol.Txn) bool { return setsValue(txn, userapi.EndedJobPrefix, string(protocol.Done)) },
	"cancellation": func(txn *protocol.Txn) bool {
		return setsValue(txn, userapi.EndedJobPrefix, string(protocol.Cancelled))
	},
	"page":           func(txn *protocol.Txn) bool { return writesKey(txn, "b/") },
	"roster":         func(txn *protocol.Txn) bool { return writesKey(txn, rosterPrefix) },
	"control record": func(txn *protocol.Txn) bool { return writesKey(txn, recordKey) },
	"lease key":      func(txn *protocol.Txn) bool { return writesKey(txn, presencePrefix) },
}

// dropResponses drops the answers to the next count transactions of a kind, whichever controllers send them.
func (s *faultScenario) dropResponses(kind func(*protocol.Txn) bool, count int) {
	var mu sync.Mutex
	for _, d := range s.storeEndpoints {
		d.DropAnswers(func(txn *protocol.Txn) bool {
			mu.Lock()
			defer mu.Unlock()
			if count == 0 || !kind(txn) {
				return false
			}
			count--
			return true
		})
	}
}

// countUnanswered counts the transactions of a kind that were applied and not answered.
func (s *faultScenario) countUnanswered(kind func(*protocol.Txn) bool) (count int) {
	for _, d := range s.storeEndpoints {
		for _, txn := range d.UnansweredTransactions() {
			if kind(&txn) {
				count++
			}
		}
	}
	return count
}

// TestLostAnswers: transactions of each kind are applied at once and only their answers are lost, while all controllers
// read their changes, users query all controllers, and one controller crashes and restarts. Each write must count once:
// no job is accepted, ended or cancelled differently, and no write is taken for a loss of data.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	for name, kind := range writeKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, taskRunTime)
			s.awaitMembers(3)
			s.dropResponses(kind, 6)
			submit := func(i int) {
				job := unevenJob(i, 3, []string{"red", "blue"}[i%2])
				cancels := i%6 < 3
				if cancels {
					job = endlessJob(i, 2, job.Team)
				}
				s.inBackground(func() { s.runJobLifecycle(job, cancels) })
			}
			for i := range 6 {
				submit(i)
			}
			s.waitUntil("tasks run", func() bool { return s.checker.Starts() > 0 })
			owner := s.awaitReadyOwner(shards.ForTeam("red"))
			s.crash(owner)
			s.start(owner)
			s.awaitEndAndCheck()
			for next := 6; next < 30 && s.countUnanswered(kind) == 0; next += 6 { // under load all jobs may end before a page is due
				for i := range 6 {
					submit(next + i)
				}
				s.awaitEndAndCheck()
			}
			s.waitUntil("an answer of the kind was lost", func() bool { return s.countUnanswered(kind) > 0 })
			s.awaitMembers(3)
			for _, o := range s.overviews() {
				if o.Store.Epoch != 1 {
					t.Errorf("an unanswered write was taken for a loss of data: epoch %d", o.Store.Epoch)
				}
			}
		})
	}
}

// TestCommandsOfFormerOwner: direct commands are delayed, unanswered, while their sender crashes or is refused by the
// state service, and arrive after those of the next owner. They may be executed only if the fencing token and the
// incarnation still match; no task runs twice, and no job is lost.
func TestCommandsOfFormerOwner(t *testing.T) {
	t.Parallel()
	for name, removeOwner := range map[string]func(s *faultScenario, owner int) (undo func()){
		"the owner crashes": func(s *faultScenario, owner int) func() {
			s.crash(owner)
			return func() { s.start(owner) }
		},
		"the state service refuses the owner": func(s *faultScenario, owner int) func() {
			s.storeEndpoints[owner].RefuseAll(true)
			s.peerPaths.Isolate(owner, true)
			return func() { s.storeEndpoints[owner].RefuseAll(false); s.peerPaths.Isolate(owner, false) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, taskRunTime)
			s.awaitMembers(3)
			s.submitUntilAccepted(endlessJob(1, 4, "red"))
			s.submitUntilAccepted(endlessJob(2, 4, "blue"))
			s.waitUntil("all tasks run", func() bool { return s.checker.CountRunning() == 8 })
			machines := s.cloud.Agents()
			var formerTerm atomic.Uint64 // the owner's when it is removed; 0: not yet
			for _, w := range machines {
				w.DelayCommands(func(d *protocol.DirectCommands) time.Duration {
					if former := formerTerm.Load(); former > 0 && d.FencingToken > former {
						return 0 // those of the next owner are not delayed
					}
					return simulation.UntilReleased
				})
			}
			for i := range 4 {
				s.inBackground(func() { s.submitUntilAccepted(arrayJob(10+i, 2, []string{"red", "blue"}[i%2])) })
			}
			s.cancelUntilAnswered(endlessJob(1, 4, "red").UID)
			s.waitUntil("commands are in flight", func() bool { delayed, _ := countDelayedCommands(machines); return delayed > 0 })
			owner := s.awaitReadyOwner(shards.ForTeam("red"))
			before := s.term()
			formerTerm.Store(before)
			undo := removeOwner(s, owner)
			s.waitUntil("a higher term", func() bool { return s.term() > before })
			if _, early := countDelayedCommands(machines); early > 0 {
				t.Errorf("%d requests with commands arrived before the higher term", early)
			}
			for _, w := range machines {
				w.DelayCommands(nil)
				w.ReleaseCommands()
			}
			if _, late := countDelayedCommands(machines); late == 0 {
				t.Error("no commands arrived after the higher term")
			}
			undo()
			s.awaitEndAndCheck()
		})
	}
}

// countDelayedCommands counts the requests with commands to some machines that were delayed, and those of them that
// arrived.
func countDelayedCommands(machines []*simulation.Agent) (delayed, arrived int) {
	for _, w := range machines {
		d, executed, outdated := w.CountDelayedCommands()
		delayed, arrived = delayed+d, arrived+executed+outdated
	}
	return delayed, arrived
}
