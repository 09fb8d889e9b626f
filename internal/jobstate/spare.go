package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// A team that asks for far more than its limit lists what the limit leaves, most urgent first. While machines are full most of
// that finds no room, and holds none of the limit; yet smaller tasks behind it, which would fit into what is free on machines,
// were not listed at all. They are offered as spare work.

// sparePart is the part of the limit that spare work leaves nothing beyond, so that the rest stays with what is listed.
const sparePart = 0.75

// Spare lists what the team could place beside its demands where those find no room: of each class what the limit, as it is
// used now, has room for. The classes' counts are not of each other; FitsSpare tells what is left while they are placed. While a
// gang waits there is none, since what comes free is collected for it.
func (t *Team) Spare(now time.Time) []Demand {
	cpus, gpus := t.charged()
	room := quota{sparePart*t.MaxCPUs - cpus, sparePart*t.MaxGPUs - gpus}
	if room.cpus <= 0 || !t.holdback.waiting.IsZero() {
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
		count := min(w.left, most(room.cpus-taken.cpus, w.Spec.CPUs), most(room.gpus-taken.gpus, w.Spec.GPUs))
		if count > 0 {
			taken.add(w.Spec, count)
			spare = append(spare, Demand{Spec: w.Spec, Count: count, Borrowed: true})
		}
	}
	return spare
}

// FitsSpare says whether a task of a job may start as spare work.
func (t *Team) FitsSpare(j *Job) bool {
	cpus, gpus := t.charged()
	return cpus+j.Spec.CPUs <= sparePart*t.MaxCPUs+slack && (j.Spec.GPUs == 0 || gpus+j.Spec.GPUs <= sparePart*t.MaxGPUs+slack)
}
