package agents

import (
	"maps"
	"slices"
	"time"
)

// Route says what becomes of a heartbeat that should have gone to another controller.
type Route int

// The routes of a misdirected heartbeat.
const (
	RedirectHome Route = iota // the agent is sent to its home
	KeepAlive                 // the lease may be renewed here, without commands of the home
)

// Timing is what the decisions about unreachable homes count with.
type Timing struct {
	HeartbeatOverdue time.Duration // after what time an agent's heartbeat is missing at its home
	// RedirectTimeout is how long an agent may take from one heartbeat here to the next, with a try of its home between.
	RedirectTimeout time.Duration
	Lease           time.Duration // of an agent
}

// Misdirected is a heartbeat that came here though another controller is the agent's home.
type Misdirected struct {
	Machine       string
	Home          string
	HomeConnected bool      // this controller receives the home's messages
	HomeHeardAt   time.Time // when the home last had a heartbeat of the agent, as far as told; zero: never
	SettledAt     time.Time // when homes last changed
}

// UnreachableHomes notes which agents try their home in vain, as they come here instead. It decides whether such an
// agent is kept alive here: redirected again and again it would wait for answers until its lease ends. And it finds the
// controller that agents can't reach although its peers can.
type UnreachableHomes struct {
	timing      Timing
	attempts    map[string]map[string]attempts // by home and machine
	keptAliveAt map[string]time.Time           // by machine, when it was last kept alive as nobody heard from its home
	misdirected map[string]bool                // machines whose heartbeats came here since TakeMisdirected
}

// attempts are an agent's heartbeats that came here though its home should have had them.
type attempts struct {
	first, last time.Time // since the home last heard the agent
	redirected  time.Time // when the agent was last sent to its home, or came from there
}

// NewUnreachableHomes returns one that knows of no misdirected agent.
func NewUnreachableHomes(timing Timing) *UnreachableHomes {
	return &UnreachableHomes{
		timing:      timing,
		attempts:    map[string]map[string]attempts{},
		keptAliveAt: map[string]time.Time{},
		misdirected: map[string]bool{},
	}
}

// Timing returns what the decisions count with.
func (u *UnreachableHomes) Timing() Timing { return u.timing }

// RecordMisdirected notes that a heartbeat came here which should have gone elsewhere.
func (u *UnreachableHomes) RecordMisdirected(machine string) { u.misdirected[machine] = true }

// TakeMisdirected returns the machines whose heartbeats came here since the last call, in order of name. The peers are
// told, so that no such machine is taken for silent.
func (u *UnreachableHomes) TakeMisdirected() []string {
	machines := slices.Sorted(maps.Keys(u.misdirected))
	clear(u.misdirected)
	return machines
}

// Forget drops what is known of a machine that is gone.
func (u *UnreachableHomes) Forget(machine string) { delete(u.keptAliveAt, machine) }

// ForgetAttempts drops all attempts, as after a time in which no controller could answer.
func (u *UnreachableHomes) ForgetAttempts() { clear(u.attempts) }

// Route decides about a heartbeat that should have gone to another home.
func (u *UnreachableHomes) Route(m Misdirected, now time.Time) Route {
	if !m.HomeConnected {
		// Once the home is connected again, the agent is sent there.
		delete(u.attempts[m.Home], m.Machine)
		u.keptAliveAt[m.Machine] = now
		return KeepAlive
	}
	a, known := u.continuing(m, now)
	var route Route
	if known {
		route = u.routeAgain(a, now)
	} else {
		a = attempts{first: now}
		route = u.routeFirst(m, now)
	}
	a.last = now
	if !known || route == RedirectHome {
		a.redirected = now
	}
	u.record(m, a)
	return route
}

// continuing returns the agent's earlier attempts, if it came here before and its home has not heard it since.
func (u *UnreachableHomes) continuing(m Misdirected, now time.Time) (a attempts, known bool) {
	a = u.attempts[m.Home][m.Machine]
	return a, !a.first.Before(m.reachedHomeAt()) && now.Sub(a.last) <= u.timing.RedirectTimeout
}

// routeFirst keeps an agent alive that was at its home and is overdue there, unless that happened a moment ago.
func (u *UnreachableHomes) routeFirst(m Misdirected, now time.Time) Route {
	overdue := now.Sub(m.reachedHomeAt()) > u.timing.HeartbeatOverdue
	justKeptAlive := now.Sub(u.keptAliveAt[m.Machine]) <= u.timing.RedirectTimeout
	if !m.HomeHeardAt.IsZero() && overdue && !justKeptAlive {
		return KeepAlive
	}
	return RedirectHome
}

// routeAgain keeps an agent alive for the time of a lease after it was redirected in vain, then has it try again.
func (u *UnreachableHomes) routeAgain(a attempts, now time.Time) Route {
	if now.Sub(a.redirected) < u.timing.Lease {
		return KeepAlive
	}
	return RedirectHome
}

func (u *UnreachableHomes) record(m Misdirected, a attempts) {
	if u.attempts[m.Home] == nil {
		u.attempts[m.Home] = map[string]attempts{}
	}
	u.attempts[m.Home][m.Machine] = a
}

// reachedHomeAt is when the agent's heartbeats last reached its home, or the home became its home.
func (m *Misdirected) reachedHomeAt() time.Time { return later(m.HomeHeardAt, m.SettledAt) }

// Homes tells which controller is the home of a machine.
type Homes interface {
	// HomeOf returns a machine's present home.
	HomeOf(machine string) string
	// ReachedHomeAt returns when a machine's heartbeats last reached its home, or the home became its home.
	ReachedHomeAt(machine string) time.Time
	// CountOf counts the machines that have a home.
	CountOf(home string) int
}

// minUnreachableShare is which part of a home's machines must try it in vain before it is held to be unreachable, so
// that a machine with a broken path moves nobody: one in so many.
const minUnreachableShare = 10

// Find names a controller that agents lately tried to reach in vain, or "". Attempts that are over are dropped.
func (u *UnreachableHomes) Find(homes Homes, now time.Time) string {
	for _, home := range slices.Sorted(maps.Keys(u.attempts)) {
		inVain := u.countInVain(home, homes, now)
		if inVain > 0 && minUnreachableShare*inVain >= homes.CountOf(home) {
			return home
		}
	}
	return ""
}

// countInVain counts the agents that have tried a home for a while.
func (u *UnreachableHomes) countInVain(home string, homes Homes, now time.Time) (count int) {
	for machine, a := range u.attempts[home] {
		switch {
		case now.Sub(a.last) > u.timing.RedirectTimeout,
			homes.HomeOf(machine) != home,
			a.first.Before(homes.ReachedHomeAt(machine)):
			delete(u.attempts[home], machine)
		case a.last.Sub(a.first) > u.timing.HeartbeatOverdue/2:
			count++
		}
	}
	return count
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
