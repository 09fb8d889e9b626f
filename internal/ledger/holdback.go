package ledger

import (
	"time"

	"topazhollow/internal/wire"
)

// A gang starts whole or not at all. What comes free of its team's quota, and of the machines, is therefore held back for
// it from less urgent work until there is enough. If no gang started in that time there is something else that it
// lacks, and what was held back is released for a while.
const (
	holdFor    = 60 * time.Second
	releaseFor = 15 * time.Second
)

// holdback tells when quota and room are held back for a team's gangs.
type holdback struct {
	waiting   time.Time // since when gangs have waited with none of them placed; zero while none waits
	releasing bool
}

// turn takes in whether any gang waits.
func (h *holdback) turn(waits bool, now time.Time) {
	switch {
	case !waits:
		h.waiting = time.Time{}
	case h.waiting.IsZero():
		h.waiting = now
	}
	h.releasing = !h.waiting.IsZero() && now.Sub(h.waiting)%(holdFor+releaseFor) >= holdFor
}

// placed starts the time anew, since what was held back was of use.
func (h *holdback) placed() { *h = holdback{} }

// TurnHoldback brings up to date whether quota and room are held back for the team's gangs. It is to be called with
// the time of each step, before Demands.
func (t *Team) TurnHoldback(now time.Time) {
	waits := false
	for _, j := range t.order {
		if j.Spec.Kind == wire.Gang && t.waits(j, now) {
			waits = true
			break
		}
	}
	t.holdback.turn(waits, now)
}

// waits says whether a job has tasks that could be placed now if there were room.
func (t *Team) waits(j *Job, now time.Time) bool {
	return !j.Over && !j.Finishing && !j.faulty && !now.Before(j.notUntil) && t.Unstarted(j) > 0
}

// HoldsBack says whether quota and room that come free are held back for the team's gangs now.
func (t *Team) HoldsBack() bool { return !t.holdback.releasing }

// quota is an amount of a team's quota.
type quota struct{ cpus, gpus float64 }

// wholeGang is how many tasks of a gang fit into the quota while nothing is held back for it: all that it lacks, or none.
// used is what is held and what such gangs would take; it does not count against less urgent work.
func (t *Team) wholeGang(j *Job, lacks int, used *quota) int {
	cpus, gpus := float64(lacks)*j.Spec.CPUs, float64(lacks)*j.Spec.GPUs
	if used.cpus+cpus > t.MaxCPUs+slack || used.gpus+gpus > t.MaxGPUs+slack {
		return 0
	}
	used.cpus += cpus
	used.gpus += gpus
	return lacks
}

// releasedClasses are those of the gangs for which nothing is held back now.
func (t *Team) releasedClasses() map[string]bool {
	if !t.holdback.releasing {
		return nil
	}
	classes := map[string]bool{}
	for _, j := range t.order {
		if j.Spec.Kind == wire.Gang {
			classes[j.Spec.Class] = true
		}
	}
	return classes
}
