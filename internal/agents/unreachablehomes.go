package agents

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/instant"
)

// Route is the decision about a heartbeat that should have been sent to another controller.
type Route int

// The routes of a misdirected heartbeat.
const (
	RedirectHome Route = iota // the agent is redirected to its home
	KeepAlive                 // the lease may be renewed here, without commands from the home
)

// Timing holds the durations on which decisions about unreachable homes are based.
type Timing struct {
	HeartbeatOverdue time.Duration // time without a heartbeat after which an agent is overdue at its home
	// RedirectTimeout is the maximum time between two misdirected heartbeats of an agent that tried to reach its home
	// in between. After a longer time a new series of attempts begins.
	RedirectTimeout time.Duration
	Lease           time.Duration // duration of an agent's lease
}

// Misdirected is a heartbeat received here although another controller is the agent's home.
type Misdirected struct {
	Machine       string
	Home          string
	HomeConnected bool      // this controller receives messages from the home
	HomeHeardAt   time.Time // last heartbeat of the agent that the home has reported; zero if none
	SettledAt     time.Time // when homes last changed
}

// UnreachableHomes tracks the agents that cannot reach their home and send their heartbeats here instead. It decides
// whether such an agent's lease is renewed here: if the agent were always redirected to a home that does not answer,
// its lease would expire. It also finds a controller that agents cannot reach although its peers can.
type UnreachableHomes struct {
	timing      Timing
	attempts    map[string]map[string]attempts // by home and machine
	keptAliveAt map[string]time.Time           // by machine, last kept alive because its home was not connected
	misdirected map[string]bool                // machines with misdirected heartbeats since the last TakeMisdirected
}

// attempts summarizes an agent's consecutive misdirected heartbeats.
type attempts struct {
	first, last time.Time // first and last such heartbeat since the agent last reached its home
	redirected  time.Time // when the agent was last redirected to its home, or when the series began
}

// NewUnreachableHomes returns an UnreachableHomes without misdirected agents.
func NewUnreachableHomes(timing Timing) *UnreachableHomes {
	return &UnreachableHomes{
		timing:      timing,
		attempts:    map[string]map[string]attempts{},
		keptAliveAt: map[string]time.Time{},
		misdirected: map[string]bool{},
	}
}

// Timing returns the durations on which the decisions are based.
func (u *UnreachableHomes) Timing() Timing { return u.timing }

// RecordMisdirected records that a heartbeat was received here that should have been sent to another controller.
func (u *UnreachableHomes) RecordMisdirected(machine string) { u.misdirected[machine] = true }

// TakeMisdirected returns the machines with misdirected heartbeats since the last call, sorted by name. The caller
// reports them to the peers, so that these do not consider the machines silent.
func (u *UnreachableHomes) TakeMisdirected() []string {
	machines := slices.Sorted(maps.Keys(u.misdirected))
	clear(u.misdirected)
	return machines
}

// Forget drops the state of a machine that is gone.
func (u *UnreachableHomes) Forget(machine string) { delete(u.keptAliveAt, machine) }

// ForgetAttempts drops all attempts, as after a period in which no controller could answer.
func (u *UnreachableHomes) ForgetAttempts() { clear(u.attempts) }

// Route decides how to answer a misdirected heartbeat.
func (u *UnreachableHomes) Route(m Misdirected, now time.Time) Route {
	if !m.HomeConnected {
		// Once the home is connected again, the agent is redirected to it.
		delete(u.attempts[m.Home], m.Machine)
		u.keptAliveAt[m.Machine] = now
		return KeepAlive
	}
	a, known := u.currentAttempts(m, now)
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

// currentAttempts returns the agent's current series of attempts. known is false if there is none: the home has
// received a heartbeat since, or too much time has passed.
func (u *UnreachableHomes) currentAttempts(m Misdirected, now time.Time) (a attempts, known bool) {
	a = u.attempts[m.Home][m.Machine]
	return a, !a.first.Before(m.reachedHomeAt()) && now.Sub(a.last) <= u.timing.RedirectTimeout
}

// routeFirst routes the first heartbeat of a series. It keeps an agent alive that reached its home before and is
// overdue there, unless it was kept alive just before because the home was not connected.
func (u *UnreachableHomes) routeFirst(m Misdirected, now time.Time) Route {
	overdue := now.Sub(m.reachedHomeAt()) > u.timing.HeartbeatOverdue
	justKeptAlive := now.Sub(u.keptAliveAt[m.Machine]) <= u.timing.RedirectTimeout
	if !m.HomeHeardAt.IsZero() && overdue && !justKeptAlive {
		return KeepAlive
	}
	return RedirectHome
}

// routeAgain routes later heartbeats of a series. It keeps an agent alive for the duration of a lease after a redirect
// that failed, then redirects it again.
func (u *UnreachableHomes) routeAgain(a attempts, now time.Time) Route {
	if now.Sub(a.redirected) < u.timing.Lease {
		return KeepAlive
	}
	return RedirectHome
}

// record stores the attempts of an agent.
func (u *UnreachableHomes) record(m Misdirected, a attempts) {
	if u.attempts[m.Home] == nil {
		u.attempts[m.Home] = map[string]attempts{}
	}
	u.attempts[m.Home][m.Machine] = a
}

// reachedHomeAt returns when a heartbeat of the agent last reached its home or, if later, when homes last changed.
func (m *Misdirected) reachedHomeAt() time.Time { return instant.Later(m.HomeHeardAt, m.SettledAt) }

// Homes looks up the homes of machines.
type Homes interface {
	// HomeOf returns a machine's current home.
	HomeOf(machine string) string
	// ReachedHomeAt returns when a heartbeat of a machine last reached its home or, if later, when homes last changed.
	ReachedHomeAt(machine string) time.Time
	// CountOf returns the number of machines whose home is the given controller.
	CountOf(home string) int
}

// unreachableDivisor sets the share of a home's machines, one in unreachableDivisor, that must fail to reach it before
// the home is considered unreachable. A single machine with a broken network path must not cause that.
const unreachableDivisor = 10

// Find returns a controller that agents recently failed to reach, or "". It drops attempts that are no longer current.
func (u *UnreachableHomes) Find(homes Homes, now time.Time) string {
	for _, home := range slices.Sorted(maps.Keys(u.attempts)) {
		unreachable := u.countUnreachable(home, homes, now)
		if unreachable > 0 && unreachableDivisor*unreachable >= homes.CountOf(home) {
			return home
		}
	}
	return ""
}

// countUnreachable returns the number of agents that have been failing to reach a home for more than half of
// HeartbeatOverdue. It drops attempts that are no longer current.
func (u *UnreachableHomes) countUnreachable(home string, homes Homes, now time.Time) (count int) {
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
