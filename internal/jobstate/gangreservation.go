package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// All tasks of a gang start together. Quota of its team and capacity of machines that become free are therefore
// reserved for it, ahead of less urgent work, until they suffice. If the gang has not started after some time it
// probably lacks something else, and the reservation is released for a while.
var (
	// With equal times for both phases, fewer than half of the largest gangs started.
	quotaCycle    = reservationCycle{reserve: time.Minute, release: 15 * time.Second}
	capacityCycle = reservationCycle{reserve: time.Minute, release: 15 * time.Second}
)

// reservationCycle is the length of the two alternating phases: reserved, then released.
type reservationCycle struct{ reserve, release time.Duration }

// releases reports whether a reservation that began at since is in its release phase now.
func (c reservationCycle) releases(since, now time.Time) bool {
	return now.Sub(since)%(c.reserve+c.release) >= c.reserve
}

// gangReservation decides when quota and machine capacity are reserved for a team's gangs. The cycle for capacity
// starts again whenever a gang is placed. The cycle for quota does not, since the next gang may lack a little quota for
// minutes while the rest stays unused.
type gangReservation struct {
	waitingSince     time.Time // start of the time in which some gang has always waited; zero while none waits
	unplacedSince    time.Time // waitingSince, or the first update after a gang was placed if that is later
	quotaReleased    bool      // the quota cycle is in its release phase
	capacityReleased bool      // the capacity cycle is in its release phase
}

// waiting reports whether any gang waits.
func (r *gangReservation) waiting() bool { return !r.waitingSince.IsZero() }

// update advances both cycles; waits reports whether any gang waits now.
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

// placed restarts the capacity cycle, since a gang has used the reserved capacity.
func (r *gangReservation) placed() { r.unplacedSince, r.capacityReleased = time.Time{}, false }

// UpdateGangReservation determines whether quota and capacity are reserved for the team's gangs now. It must be called
// once per step, before Demands.
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

// ReservesCapacityForGangs reports whether capacity that becomes free on machines is reserved for the team's gangs now.
func (q *Quota) ReservesCapacityForGangs() bool { return !q.gangs.capacityReleased }

// ReservesForGangs reports whether quota of the team is reserved for its gangs now.
func (q *Quota) ReservesForGangs() bool { return !q.gangs.quotaReleased }

// releasedClasses returns the classes of the team's gangs while no quota is reserved for gangs; nil otherwise.
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
