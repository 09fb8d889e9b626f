package agents

import "time"

// Liveness is what a controller knows of when an agent was last alive, whichever controller is its home.
type Liveness struct {
	HeardAt     time.Time // when a heartbeat was last known to have come, here or at its home
	HomeHeardAt time.Time // when its home last had a heartbeat of it, as far as told
	// HomeWatermark is the cancellation watermark of the home: a start that the home sent and that may still arrive was
	// sent knowing every cancellation confirmed before.
	HomeWatermark time.Time
	MisdirectedAt time.Time // when it last sent a heartbeat to a controller that is not its home
}

// RecordHeartbeat notes a heartbeat that came to its home, which is this controller.
func (l *Liveness) RecordHeartbeat(now time.Time) {
	l.HeardAt, l.HomeHeardAt, l.HomeWatermark = now, now, now
}

// RecordHomeHeartbeat notes when the agent's home had a heartbeat of it, as the home says.
func (l *Liveness) RecordHomeHeartbeat(at time.Time) {
	l.HeardAt = later(l.HeardAt, at)
	l.HomeHeardAt = later(l.HomeHeardAt, at)
}

// LastSeenAt returns when any controller last had a heartbeat of the agent, as far as known here. One that comes in vain to
// other controllers is alive, whatever its home says; one that never came to its home counts from there: it is zero.
func (l *Liveness) LastSeenAt() time.Time {
	if l.HeardAt.IsZero() {
		return time.Time{}
	}
	return later(l.HeardAt, l.MisdirectedAt)
}
