package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// A gang starts whole or not at all. What comes free of its team's quota, and of the machines, is therefore reserved
// for it from less urgent work until there is enough. After some time there is something else that it lacks, and what
// was reserved is released for a while.
var (
	// Half of it each served under half of the largest gangs.
	quotaCycle    = reservationCycle{reserve: time.Minute, release: 15 * time.Second}
	capacityCycle = reservationCycle{reserve: time.Minute, release: 15 * time.Second}
)

// reservationCycle is for how long something is reserved, and then released, in turn.
type reservationCycle struct{ reserve, release time.Duration }

// releases reports whether what was reserved since a time is released now.
func (c reservationCycle) releases(since, now time.Time) bool {
	return now.Sub(since)%(c.reserve+c.release) >= c.reserve
}

// gangReservation decides when quota and capacity of machines are reserved for a team's gangs. Capacity is, as long as
// gangs make use of it. Quota is released in turn also while gangs start one after another, since the next of them may
// lack a little of it for minutes.
type gangReservation struct {
	waitingSince     time.Time // since when gangs have waited; zero while none waits
	unplacedSince    time.Time // the same, or since one of them was last placed
	quotaReleased    bool      // for the time being
	capacityReleased bool      // for the time being
}

// waiting reports whether a gang waits.
func (r *gangReservation) waiting() bool { return !r.waitingSince.IsZero() }

// update takes in whether any gang waits.
func (r *gangReservation) update(waits bool, now time.Time) {
	if !waits {
		*r = gangReservation{}
		return
	}
	if r.waitingSince.IsZero() {
		r.waitingSince = now
	}
	if r.unplacedSince.IsZero() {
		r.unplacedSince = now
	}
	r.quotaReleased = quotaCycle.releases(r.waitingSince, now)
	r.capacityReleased = capacityCycle.releases(r.unplacedSince, now)
}

// placed starts the time for capacity anew, since a gang made use of it.
func (r *gangReservation) placed() { r.unplacedSince, r.capacityReleased = time.Time{}, false }

// UpdateGangReservation brings up to date whether quota and capacity are reserved for the team's gangs. It is to be
// called with the time of each step, before Demands.
func (q *Quota) UpdateGangReservation(now time.Time) {
	waits := false
	for _, j := range q.jobs.ordered {
		if j.Spec.Kind == protocol.Gang && j.HasWaitingTasks(now) {
			waits = true
			break
		}
	}
	q.gangs.update(waits, now)
}

// ReservesCapacityForGangs reports whether capacity that comes free on machines is reserved for the team's gangs now.
func (q *Quota) ReservesCapacityForGangs() bool { return !q.gangs.capacityReleased }

// ReservesForGangs reports the same of the team's quota.
func (q *Quota) ReservesForGangs() bool { return !q.gangs.quotaReleased }

// releasedClasses are those of the gangs for which nothing is reserved now.
func (q *Quota) releasedClasses() map[string]bool {
	if q.ReservesForGangs() {
		return nil
	}
	classes := map[string]bool{}
	for _, j := range q.jobs.ordered {
		if j.Spec.Kind == protocol.Gang {
			classes[j.Spec.Class] = true
		}
	}
	return classes
}
