package agents

import (
	"slices"
	"testing"
	"time"
)

var testTiming = Timing{HeartbeatOverdue: 3500 * time.Millisecond, RedirectTimeout: 9500 * time.Millisecond, Lease: 12 * time.Second}

// TestRouteOfAMisdirectedAgent tests each reason to redirect an agent or to keep it alive separately.
func TestRouteOfAMisdirectedAgent(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	agent := Misdirected{Machine: "n-1", Home: "b", HomeConnected: true, HomeHeardAt: at(0), SettledAt: at(-60)}
	unconnected, unheard := agent, agent
	unconnected.HomeConnected = false
	unheard.HomeHeardAt = time.Time{}
	type heartbeat struct {
		at    float64
		agent Misdirected
		want  Route
	}
	for what, heartbeats := range map[string][]heartbeat{
		"not overdue at its home":                      {{3, agent, RedirectHome}},
		"overdue at its home":                          {{4, agent, KeepAlive}},
		"never at its home":                            {{4, unheard, RedirectHome}},
		"home not connected":                           {{3, unconnected, KeepAlive}, {6, unconnected, KeepAlive}},
		"kept alive just before, home connected again": {{3, unconnected, KeepAlive}, {6, agent, RedirectHome}},
		"redirect failed, for the duration of a lease": {{4, agent, KeepAlive}, {9, agent, KeepAlive}, {15.5, agent, KeepAlive}, {16.5, agent, RedirectHome}, {22, agent, KeepAlive}},
		"new series after a pause":                     {{3, agent, RedirectHome}, {13, agent, KeepAlive}},
		"attempts to reach another home":               {{3, agent, RedirectHome}, {3.2, Misdirected{Machine: "n-1", Home: "c", HomeConnected: true, HomeHeardAt: at(0)}, RedirectHome}},
	} {
		u := NewUnreachableHomes(testTiming)
		for _, h := range heartbeats {
			if got := u.Route(h.agent, at(h.at)); got != h.want {
				t.Errorf("%s: route %d at %g s, want %d", what, got, h.at, h.want)
			}
		}
	}
}

// fixedHomes is a number of machines whose home is b. None of them has reached it since the homes changed.
type fixedHomes int

func (f fixedHomes) HomeOf(string) string           { return "b" }
func (f fixedHomes) ReachedHomeAt(string) time.Time { return time.Unix(900, 0) }
func (f fixedHomes) CountOf(string) int             { return int(f) }

// TestFindUnreachableHome: a home is unreachable once a tenth of its agents have failed to reach it for some time, and
// no longer when their attempts end.
func TestFindUnreachableHome(t *testing.T) {
	u, start := NewUnreachableHomes(testTiming), time.Unix(1000, 0)
	for i := range 3 {
		now := start.Add(time.Duration(i) * time.Second)
		u.Route(Misdirected{Machine: "n-1", Home: "b", HomeConnected: true}, now)
		if got := u.Find(fixedHomes(10), now); (got == "b") != (i == 2) {
			t.Errorf("found %q after %d s", got, i)
		}
	}
	now := start.Add(3 * time.Second)
	if got := u.Find(fixedHomes(11), now); got != "" {
		t.Errorf("found %q from fewer than a tenth of its agents", got)
	}
	if got := u.Find(fixedHomes(10), now.Add(testTiming.RedirectTimeout)); got != "" {
		t.Errorf("found %q although no agent tries to reach it any more", got)
	}
}

// TestTakeMisdirected: each machine with misdirected heartbeats is returned once.
func TestTakeMisdirected(t *testing.T) {
	u := NewUnreachableHomes(testTiming)
	for _, machine := range []string{"n-2", "n-1", "n-2"} {
		u.RecordMisdirected(machine)
	}
	if got := u.TakeMisdirected(); !slices.Equal(got, []string{"n-1", "n-2"}) {
		t.Errorf("took %v", got)
	}
	if got := u.TakeMisdirected(); len(got) != 0 {
		t.Errorf("took %v again", got)
	}
}

// TestLiveness: an agent was last seen when any controller last received a heartbeat, but only once its home has
// received one.
func TestLiveness(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	l := Liveness{MisdirectedAt: at(50)}
	if !l.LastSeenAt().IsZero() {
		t.Error("seen before the first heartbeat at its home")
	}
	l.RecordHomeHeartbeat(at(40))
	l.RecordHomeHeartbeat(at(30)) // an older report by the home
	if l.HeardAt != at(40) || l.HomeHeardAt != at(40) || l.LastSeenAt() != at(50) || !l.HomeWatermark.IsZero() {
		t.Errorf("as reported by its home: %+v", l)
	}
	l.RecordHeartbeat(at(60))
	if l.HeardAt != at(60) || l.HomeHeardAt != at(60) || l.HomeWatermark != at(60) || l.LastSeenAt() != at(60) {
		t.Errorf("after a heartbeat here: %+v", l)
	}
}
