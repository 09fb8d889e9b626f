package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// A gang starts whole or not at all. What comes free of its team's quota, and of the machines, is therefore held back for
// it from less urgent work until there is enough. After some time there is something else that it lacks, and what was held
// back is released for a while.
var (
	quotaCycle    = reservationCycle{reserve: time.Minute, release: 15 * time.Second} // half of it each served under half of the largest gangs
	capacityCycle = reservationCycle{reserve: time.Minute, release: 15 * time.Second}
)

// turn is for how long something is held back, and then released.
type reservationCycle struct{ reserve, release time.Duration }

// releases says whether what was held back since a time is released now.
func (x reservationCycle) releases(since, now time.Time) bool {
	return now.Sub(since)%(x.reserve+x.release) >= x.reserve
}

// holdback tells when quota and room are held back for a team's gangs. Room is, as long as gangs make use of it. Quota is
// released in turn also while gangs start one after another, since the next of them may lack a little of it for minutes.
type gangReservation struct {
	waitingSince     time.Time // since when gangs have waited; zero while none waits
	unplacedSince    time.Time // the same, or since one of them was last placed
	quotaReleased    bool      // released for the time being
	capacityReleased bool      // the same
}

// update takes in whether any gang waits.
func (h *gangReservation) update(waits bool, now time.Time) {
	if !waits {
		*h = gangReservation{}
		return
	}
	if h.waitingSince.IsZero() {
		h.waitingSince = now
	}
	if h.unplacedSince.IsZero() {
		h.unplacedSince = now
	}
	h.quotaReleased, h.capacityReleased = quotaCycle.releases(h.waitingSince, now), capacityCycle.releases(h.unplacedSince, now)
}

// placed starts the time for room anew, since it was of use.
func (h *gangReservation) placed() { h.unplacedSince, h.capacityReleased = time.Time{}, false }

// UpdateGangReservation brings up to date whether quota and room are held back for the team's gangs. It is to be called with
// the time of each step, before Demands.
func (t *Team) UpdateGangReservation(now time.Time) {
	waits := false
	for _, j := range t.queue {
		if j.Spec.Kind == protocol.Gang && t.HasWaitingTasks(j, now) {
			waits = true
			break
		}
	}
	t.gangReservation.update(waits, now)
}

// HasWaitingTasks says whether a job has tasks that could be placed now if there were room.
func (t *Team) HasWaitingTasks(j *Job, now time.Time) bool {
	return !j.Ended && !j.Finishing && !j.faulty && !now.Before(j.backoffUntil) && t.Unstarted(j) > 0
}

// ReservesCapacity says whether room that comes free is held back for the team's gangs now.
func (t *Team) ReservesCapacity() bool { return !t.gangReservation.capacityReleased }

// ReservesQuota says the same of the team's quota.
func (t *Team) ReservesQuota() bool { return !t.gangReservation.quotaReleased }

// releasedClasses are those of the gangs for which nothing is held back now.
func (t *Team) releasedClasses() map[string]bool {
	if t.ReservesQuota() {
		return nil
	}
	classes := map[string]bool{}
	for _, j := range t.queue {
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
