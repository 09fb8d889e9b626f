package agents

import "time"

// Unregistered is what a controller knows of an agent that sends heartbeats with tasks though its machine is on no list
// of registered machines: a sign that the key-value store lost a list, since a machine is registered before its first
// start. One heartbeat is no proof, as it may have been held up on its way from a machine that is gone by now.
type Unregistered struct {
	since    time.Time // when the first such heartbeat came; zero: none did
	probedAt time.Time
}

// Record takes in a heartbeat. It says whether the agent is to be probed: it has sent such heartbeats for longer than
// settle, and a read of the store that began after the first of them does not know the machine.
func (u *Unregistered) Record(hasTasks bool, now, lastRead time.Time, settle time.Duration) (probe bool) {
	switch {
	case !hasTasks:
		u.since = time.Time{}
	case u.since.IsZero():
		u.since = now
	default:
		return now.Sub(u.since) > settle && lastRead.After(u.since)
	}
	return false
}

// BeginProbe says whether a probe is to be sent now: not while an earlier one may still be answered.
func (u *Unregistered) BeginProbe(now time.Time, timeout time.Duration) bool {
	if u.probedAt.After(u.since) && now.Sub(u.probedAt) < timeout {
		return false
	}
	u.probedAt = now
	return true
}

// Suspected says whether such heartbeats came, with no other since.
func (u *Unregistered) Suspected() bool { return !u.since.IsZero() }

// Probed says whether a probe was ever sent.
func (u *Unregistered) Probed() bool { return !u.probedAt.IsZero() }
