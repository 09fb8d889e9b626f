package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
)

// setSmallestReserved sets on each host with room for least that is reserved for a class the minimum resources of that
// class's waiting tasks, and how long it takes until they are free.
func (p *pass) setSmallestReserved(plan *admission.Plan, least *placement.Request) {
	smallest := smallestByClass(p.queue)
	for name, class := range plan.Reserved {
		if m := p.scheduler.machines[name]; m != nil && least.Fits(&m.passHost) {
			m.passHost.SmallestReserved = smallest[class]
			m.passHost.ReservedSeconds = p.secondsUntilFree(m, smallest[class])
			p.scheduler.hosts.markStale(m)
		}
	}
}

// smallestByClass returns the minimum resources of each class's waiting tasks.
func smallestByClass(queue []waitingTasks) map[string]placement.Resources {
	smallest := map[string]placement.Resources{}
	for i := range queue {
		spec := queue[i].spec
		room, known := smallest[spec.Class]
		if !known {
			room = placement.Resources{CPUs: math.Inf(1), MemoryGB: math.Inf(1)}
		}
		smallest[spec.Class] = placement.Resources{CPUs: min(room.CPUs, spec.CPUs), MemoryGB: min(room.MemoryGB, spec.MemoryGB)}
	}
	return smallest
}

// taskEnd is when a task on a machine is expected to end, and what it then leaves free.
type taskEnd struct {
	seconds float64
	room    placement.Resources
}

// secondsUntilFree estimates in how many seconds so much of a machine is free, if no further task starts on it.
func (p *pass) secondsUntilFree(m *machine, needed placement.Resources) float64 {
	free := placement.Resources{CPUs: m.passHost.CPUs, MemoryGB: m.passHost.MemoryGB}
	for _, end := range p.taskEnds(m) {
		free.CPUs += end.room.CPUs
		free.MemoryGB += end.room.MemoryGB
		if free.CPUs+roundingTolerance >= needed.CPUs && free.MemoryGB+roundingTolerance >= needed.MemoryGB {
			return end.seconds
		}
	}
	return math.Inf(1)
}

// taskEnds lists the expected ends of the tasks on a machine, including those of own teams that it does not list yet, in
// order of time.
func (p *pass) taskEnds(m *machine) (ends []taskEnd) {
	add := func(ref jobstate.AttemptRef) {
		if j, known := p.snapshot.Job(ref.Job); known {
			ends = append(ends, taskEnd{m.secondsLeft(ref, j.Spec, p.now), placement.Resources{CPUs: j.Spec.CPUs, MemoryGB: j.Spec.MemoryGB}})
		}
	}
	listed := map[jobstate.AttemptRef]bool{}
	for _, t := range m.status.Tasks {
		if listed[t.Ref()] = true; t.State != protocol.Exited {
			add(t.Ref())
		}
	}
	p.snapshot.AssignmentsOn(m.status.Machine, func(a jobstate.Assignment) {
		if !listed[a.Ref()] {
			add(a.Ref())
		}
	})
	slices.SortFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.seconds, b.seconds) })
	return ends
}

// secondsLeft estimates how long a task will run on. A task that ran longer than estimated is expected to take an eighth
// of the estimate more.
func (m *machine) secondsLeft(ref jobstate.AttemptRef, spec *protocol.Submission, now time.Time) float64 {
	if spec.Kind == protocol.Service {
		return serviceRunSeconds
	}
	ran := 0.0
	if since, running := m.runningSince[ref]; running {
		ran = now.Sub(since).Seconds()
	}
	return max(spec.EstimateSeconds-ran, spec.EstimateSeconds/8)
}
