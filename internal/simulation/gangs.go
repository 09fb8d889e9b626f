package simulation

import (
	"sync"

	"topazhollow/internal/protocol"
)

// Gangs tells the tasks of a gang, which run on different machines, of each other. They find each other by their attempt
// number, start together when the last one waits, and complete together.
type Gangs struct {
	mu       sync.Mutex
	attempts map[gangAttempt]*gangState
}

// gangAttempt identifies an attempt of a gang.
type gangAttempt struct {
	job     string
	attempt uint64
}

// gangState is the state of an attempt of a gang.
type gangState struct {
	members map[string]bool // tasks that wait or run
	size    int             // number of tasks, once the gang has begun
	done    bool
}

// NewGangs returns a registry without gangs.
func NewGangs() *Gangs { return &Gangs{attempts: map[gangAttempt]*gangState{}} }

// state returns the state of the gang that an attempt belongs to. The caller holds the lock.
func (g *Gangs) state(id attemptID) *gangState {
	job, _, _ := protocol.SplitTask(id.task)
	key := gangAttempt{job, id.attempt}
	if g.attempts[key] == nil {
		g.attempts[key] = &gangState{members: map[string]bool{}}
	}
	return g.attempts[key]
}

// join records that a task waits for the others.
func (g *Gangs) join(id attemptID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state(id).members[id.task] = true
}

// leave records that a task is gone; done says that it completed, and with it the gang.
func (g *Gangs) leave(id attemptID, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(id)
	s.done = s.done || done
	delete(s.members, id.task)
}

// begins reports whether the gang has begun, which it does when all of its tasks wait.
func (g *Gangs) begins(id attemptID, tasks int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(id)
	if len(s.members) == tasks {
		s.size = tasks
	}
	return s.size > 0
}

// look reports whether the running gang is done, and whether all of its tasks are there.
func (g *Gangs) look(id attemptID) (done, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(id)
	return s.done, len(s.members) == s.size
}

// Begun returns how many attempts of a gang have begun.
func (g *Gangs) Begun(job string) (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, s := range g.attempts {
		if key.job == job && s.size > 0 {
			count++
		}
	}
	return count
}
