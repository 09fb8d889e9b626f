package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// A gang starts whole or not at all. What comes free of its team's quota, and of the machines, is therefore held back for
// it from less urgent work until there is enough. After some time there is something else that it lacks, and what was held
// back is released for a while.
var (
	quotaTurn = turn{hold: time.Minute, release: 15 * time.Second} // half of it each served under half of the largest gangs
	roomTurn  = turn{hold: time.Minute, release: 15 * time.Second}
)

// turn is for how long something is held back, and then released.
type turn struct{ hold, release time.Duration }

// releases says whether what was held back since a time is released now.
func (x turn) releases(since, now time.Time) bool {
	return now.Sub(since)%(x.hold+x.release) >= x.hold
}

// holdback tells when quota and room are held back for a team's gangs. Room is, as long as gangs make use of it. Quota is
// released in turn also while gangs start one after another, since the next of them may lack a little of it for minutes.
type holdback struct {
	waiting  time.Time // since when gangs have waited; zero while none waits
	unplaced time.Time // the same, or since one of them was last placed
	quota    bool      // released for the time being
	room     bool      // the same
}

// update takes in whether any gang waits.
func (h *holdback) update(waits bool, now time.Time) {
	if !waits {
		*h = holdback{}
		return
	}
	if h.waiting.IsZero() {
		h.waiting = now
	}
	if h.unplaced.IsZero() {
		h.unplaced = now
	}
	h.quota, h.room = quotaTurn.releases(h.waiting, now), roomTurn.releases(h.unplaced, now)
}

// placed starts the time for room anew, since it was of use.
func (h *holdback) placed() { h.unplaced, h.room = time.Time{}, false }

// TurnHoldback brings up to date whether quota and room are held back for the team's gangs. It is to be called with
// the time of each step, before Demands.
func (t *Team) TurnHoldback(now time.Time) {
	waits := false
	for _, j := range t.order {
		if j.Spec.Kind == protocol.Gang && t.Waits(j, now) {
			waits = true
			break
		}
	}
	t.holdback.update(waits, now)
}

// Waits says whether a job has tasks that could be placed now if there were room.
func (t *Team) Waits(j *Job, now time.Time) bool {
	return !j.Over && !j.Finishing && !j.faulty && !now.Before(j.notUntil) && t.Unstarted(j) > 0
}

// HoldsRoom says whether room that comes free is held back for the team's gangs now.
func (t *Team) HoldsRoom() bool { return !t.holdback.room }

// HoldsQuota says the same of the team's quota.
func (t *Team) HoldsQuota() bool { return !t.holdback.quota }

// releasedClasses are those of the gangs for which nothing is held back now.
func (t *Team) releasedClasses() map[string]bool {
	if t.HoldsQuota() {
		return nil
	}
	classes := map[string]bool{}
	for _, j := range t.order {
		if j.Spec.Kind == protocol.Gang {
			classes[j.Spec.Class] = true
		}
	}
	return classes
}

// QuotaLeft is what is left of the team's quota.
func (t *Team) QuotaLeft() (cpus, gpus float64) {
	cpus, gpus = t.charged()
	return t.MaxCPUs - cpus, t.MaxGPUs - gpus
}
