package agents

import "time"

// Unregistered tracks an agent that sends heartbeats with tasks although its machine is not registered. Since a machine
// is registered before its first start, this indicates that the state service has lost a list of machines. A single
// heartbeat proves nothing, because it may be a delayed one from a machine that is gone by now.
type Unregistered struct {
	since    time.Time // when the first such heartbeat was received; zero if none
	probedAt time.Time
}

// Record records a heartbeat and reports whether the agent should be probed: it has sent such heartbeats for longer
// than settle, and a read of the store that began after the first of them did not list the machine.
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

// BeginProbe reports whether a probe should be sent now. It returns false while an earlier probe may still be answered.
func (u *Unregistered) BeginProbe(now time.Time, timeout time.Duration) bool {
	if u.probedAt.After(u.since) && now.Sub(u.probedAt) < timeout {
		return false
	}
	u.probedAt = now
	return true
}

// Suspected reports whether such heartbeats were received and none without tasks since.
func (u *Unregistered) Suspected() bool { return !u.since.IsZero() }

// Probed reports whether a probe was ever sent.
func (u *Unregistered) Probed() bool { return !u.probedAt.IsZero() }
