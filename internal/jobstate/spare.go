package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// A team that asks for far more than its limit lists what the limit leaves, most urgent first. While machines are full most of
// that finds no room, and holds none of the limit; yet smaller tasks behind it, which would fit into what is free on machines,
// were not listed at all. They are offered as spare work.

// sparePart is the part of the limit that spare work leaves nothing beyond, so that the rest stays with what is listed.
const surplusPart = 0.75

// SurplusDemands lists what the team could place beside its demands where those find no room: of each class what the limit, as it is
// used now, has room for. The classes' counts are not of each other; FitsSpare tells what is left while they are placed. While a
// gang waits there is none, since what comes free is collected for it.
func (t *Team) SurplusDemands(now time.Time) []Demand {
	cpus, gpus := t.charged()
	room := quota{surplusPart*t.MaxCPUs - cpus, surplusPart*t.MaxGPUs - gpus}
	if room.cpus <= 0 || !t.gangReservation.waitingSince.IsZero() {
		return nil
	}
	list, short := t.waitingJobs(now)
	if !short {
		return nil
	}
	offered := map[string]*quota{}
	var spare []Demand
	for _, w := range list {
		if w.faulty || w.Spec.Kind == protocol.Gang {
			continue
		}
		taken := offered[w.Spec.Class]
		if taken == nil {
			taken = &quota{}
			offered[w.Spec.Class] = taken
		}
		count := min(w.unstarted, maxTasks(room.cpus-taken.cpus, w.Spec.CPUs), maxTasks(room.gpus-taken.gpus, w.Spec.GPUs))
		if count > 0 {
			taken.add(w.Spec, count)
			spare = append(spare, Demand{Spec: w.Spec, Count: count, Borrowed: true})
		}
	}
	return spare
}

// FitsSurplus says whether a task of a job may start as spare work.
func (t *Team) FitsSurplus(j *Job) bool {
	cpus, gpus := t.charged()
	return cpus+j.Spec.CPUs <= surplusPart*t.MaxCPUs+roundingTolerance && (j.Spec.GPUs == 0 || gpus+j.Spec.GPUs <= surplusPart*t.MaxGPUs+roundingTolerance)
}
