package agents

import (
	"time"

	"topazhollow/internal/instant"
)

// Liveness records when an agent was last known to be alive, whichever controller is its home.
type Liveness struct {
	HeardAt     time.Time // when the last known heartbeat was received, here or by its home
	HomeHeardAt time.Time // when its home last received a heartbeat, as far as the home has reported
	// HomeWatermark is the cancellation watermark of the home: when the home sent any start that may still arrive, it
	// knew every cancellation confirmed before this time.
	HomeWatermark time.Time
	MisdirectedAt time.Time // when it last sent a heartbeat to a controller that is not its home
}

// RecordHeartbeat records a heartbeat received by this controller as the agent's home.
func (l *Liveness) RecordHeartbeat(now time.Time) {
	l.HeardAt, l.HomeHeardAt, l.HomeWatermark = now, now, now
}

// RecordHomeHeartbeat records when another controller, the agent's home, reports to have received a heartbeat.
func (l *Liveness) RecordHomeHeartbeat(at time.Time) {
	l.HeardAt = instant.Later(l.HeardAt, at)
	l.HomeHeardAt = instant.Later(l.HomeHeardAt, at)
}

// LastSeenAt returns when any controller last received a heartbeat of the agent, as far as known here. An agent that
// sends heartbeats to other controllers is alive even if its home receives none. The time is zero until the home has
// received a first heartbeat.
func (l *Liveness) LastSeenAt() time.Time {
	if l.HeardAt.IsZero() {
		return time.Time{}
	}
	return instant.Later(l.HeardAt, l.MisdirectedAt)
}
