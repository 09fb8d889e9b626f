package controller

import (
	"strings"
	"sync"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
	"topazhollow/internal/simulation"
	"topazhollow/internal/userapi"
)

// sets says whether a transaction sets a key below a prefix to a value that holds a text.
func sets(txn *protocol.Txn, prefix, text string) bool {
	for _, o := range txn.Then {
		if strings.HasPrefix(o.Set, prefix) && strings.Contains(string(o.Value), text) {
			return true
		}
	}
	return false
}

// writeKinds are all that controllers write to the state service.
var writeKinds = map[string]func(txn *protocol.Txn) bool{
	"acceptance":     func(txn *protocol.Txn) bool { return sets(txn, userapi.ActiveJobPrefix, "") },
	"end":            func(txn *protocol.Txn) bool { return sets(txn, userapi.EndedJobPrefix, string(protocol.Done)) },
	"cancellation":   func(txn *protocol.Txn) bool { return sets(txn, userapi.EndedJobPrefix, string(protocol.Cancelled)) },
	"page":           func(txn *protocol.Txn) bool { return writes(txn, "b/") },
	"roster":         func(txn *protocol.Txn) bool { return writes(txn, rosterPrefix) },
	"control record": func(txn *protocol.Txn) bool { return writes(txn, recordKey) },
	"lease key":      func(txn *protocol.Txn) bool { return writes(txn, presencePrefix) },
}

// loseAnswers has the answers to so many transactions of a kind lost, at whatever controller sends them.
func (s *scene) loseAnswers(kind func(*protocol.Txn) bool, count int) {
	var mu sync.Mutex
	for _, d := range s.doors {
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

// lost counts the transactions of a kind that were carried out and not answered.
func (s *scene) lost(kind func(*protocol.Txn) bool) (count int) {
	for _, d := range s.doors {
		for _, txn := range d.UnansweredTransactions() {
			if kind(&txn) {
				count++
			}
		}
	}
	return count
}

// TestLostAnswers: a transaction of each kind is carried out at once and only its answer is lost, while all controllers
// read what it wrote, users ask at all of them, and one controller ends and comes back. What was written counts once:
// nothing is accepted, ended or cancelled otherwise, and no write is taken for a loss of the service's data.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	for name, kind := range writeKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := openScene(t, sceneRun)
			s.members(3)
			s.loseAnswers(kind, 6)
			submit := func(i int) {
				job := uneven(i, 3, []string{"red", "blue"}[i%2])
				cancels := i%6 < 3
				if cancels {
					job = endless(i, 2, job.Team)
				}
				s.beside(func() { s.lives(job, cancels) })
			}
			for i := range 6 {
				submit(i)
			}
			s.waitUntil("machines work", func() bool { return s.checker.Starts() > 0 })
			leader := s.leader(shards.ForTeam("red"))
			s.crash(leader)
			s.start(leader)
			s.settle()
			for next := 6; next < 30 && s.lost(kind) == 0; next += 6 { // on a busy machine all may have ended before a page was due
				for i := range 6 {
					submit(next + i)
				}
				s.settle()
			}
			s.waitUntil("an answer of the kind was lost", func() bool { return s.lost(kind) > 0 })
			s.members(3)
			for _, o := range s.overviews() {
				if o.Store.Epoch != 1 {
					t.Errorf("an unanswered write was taken for a loss: epoch %d", o.Store.Epoch)
				}
			}
		})
	}
}

// TestCommandsOfAFormerLeader: direct commands are held up on their way, unanswered, while their sender ends or is
// refused by the state service, and arrive after the next leader's. They are executed only if token and session still
// match, nothing runs twice, and no job is lost by it.
func TestCommandsOfAFormerLeader(t *testing.T) {
	t.Parallel()
	for name, depose := range map[string]func(s *scene, leader int) (undo func()){
		"ends": func(s *scene, leader int) func() {
			s.crash(leader)
			return func() { s.start(leader) }
		},
		"is refused": func(s *scene, leader int) func() {
			s.doors[leader].RefuseAll(true)
			s.pipes.Isolate(leader, true)
			return func() { s.doors[leader].RefuseAll(false); s.pipes.Isolate(leader, false) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := openScene(t, sceneRun)
			s.members(3)
			s.enter(endless(1, 4, "red"))
			s.enter(endless(2, 4, "blue"))
			s.waitUntil("machines work", func() bool { return s.checker.CountOnMachines() == 8 })
			machines := s.cloud.Agents()
			for i, w := range machines {
				rng := draws(uint64(i))
				w.DelayCommands(func(*protocol.DirectCommands) time.Duration {
					return time.Duration(4000+rng.IntN(3000)) * time.Millisecond
				})
			}
			for i := range 4 {
				s.beside(func() { s.enter(arrayJob(10+i, 2, []string{"red", "blue"}[i%2])) })
			}
			s.cancel(endless(1, 4, "red").UID)
			s.waitUntil("commands are on their way", func() bool { held, _ := lateCommands(machines); return held > 0 })
			leader, before := s.leader(shards.ForTeam("red")), s.term()
			undo := depose(s, leader)
			for _, w := range machines {
				w.DelayCommands(nil) // the next leader's are not held up
			}
			s.waitUntil("another term", func() bool { return s.term() > before })
			_, atTerm := lateCommands(machines)
			s.waitUntil("commands arrived after it", func() bool { _, late := lateCommands(machines); return late > atTerm })
			undo()
			s.settle()
		})
	}
}

// lateCommands counts the requests with commands to some machines that were held up, and those that arrived since.
func lateCommands(machines []*simulation.Agent) (held, arrived int) {
	for _, w := range machines {
		h, obeyed, outdated := w.CountDelayedCommands()
		held, arrived = held+h, arrived+obeyed+outdated
	}
	return held, arrived
}
