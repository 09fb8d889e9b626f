package scheduler

import (
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/protocol"
)

// Periods of preemption.
const (
	// preemptEvery is how often victims are searched. Each search goes through all machines, and what is found takes
	// seconds to end.
	preemptEvery = 200 * time.Millisecond
	// preemptionDelay is how long a job waits for room that comes free by itself before others are stopped for it.
	preemptionDelay = 3 * time.Second
	// completionsEvery is how often it is estimated anew what running tasks give back.
	completionsEvery = 250 * time.Millisecond
)

// slack absorbs rounding in sums of CPUs.
const slack = 1e-6

// maxEvictions bounds the tasks for which one pass seeks room by stopping others; the next one goes on.
const maxEvictions = 32

// preemption is a pass's search for tasks to stop for others that run independently of each other.
type preemption struct {
	pass        *pass
	completions []completionRate // nil before it is needed
	promised    float64          // CPUs of those, for more urgent tasks
	search      *victimSearch    // nil before it is needed
}

// preempt frees room for waiting tasks of higher priority, at the least loss. What borrows stops nobody: the room would
// go to those within their guarantee, and the stopped task would come back only to be stopped again.
func (p *pass) preempt() {
	comingRoom := p.scheduler.expireEvictions(p.now)
	search := &preemption{pass: p}
	for i := range p.unplaced {
		w := &p.unplaced[i]
		need := w.count - comingRoom[w.job.Spec.UID]
		if need > 0 && w.mayPreempt() {
			search.freeRoom(w, need)
		}
	}
}

// mayPreempt says whether others may be stopped for waiting tasks.
func (w *waitingTasks) mayPreempt() bool {
	return !w.borrowed && !w.probe && w.job.Spec.Kind != protocol.Gang && protocol.Rank(w.job.Spec.Priority) != 0
}

// freeRoom stops tasks of lower priority for so many waiting ones.
func (r *preemption) freeRoom(w *waitingTasks, need int) {
	need -= r.bookCompletions(w.job.Spec, need)
	if need <= 0 {
		return
	}
	if r.search == nil {
		r.search = r.pass.newVictimSearch()
	}
	ask, zones := r.pass.scheduler.ask(w.job.Spec), r.pass.scheduler.zoneRule(w)
	for ; need > 0 && r.search.left > 0; need-- {
		r.search.left--
		cheapest := r.search.cheapestRoom(ask, w.job, zones)
		if cheapest.host == nil {
			return
		}
		r.stop(cheapest, w.job.Spec.UID)
		cheapest.host.Allocate(ask)
		zones.take(cheapest.host)
	}
}

// bookCompletions says how many of a job's tasks find room within preemptionDelay by what ends by itself, and books
// that room. It goes to the most urgent anyway, if it leaves room enough: the room of smaller tasks is taken by others
// like them.
func (r *preemption) bookCompletions(spec *protocol.Submission, need int) (count int) {
	if r.completions == nil {
		r.completions = r.pass.scheduler.estimateCompletions(r.pass.snapshot, r.pass.now)
	}
	soon := -r.promised
	for _, c := range r.completions {
		if c.taskCPUs+slack >= spec.CPUs {
			soon += c.rate * preemptionDelay.Seconds()
		}
	}
	for count < need && soon >= spec.CPUs {
		soon -= spec.CPUs
		r.promised += spec.CPUs
		count++
	}
	return count
}

// stop has the victims on a host stopped for a job.
func (r *preemption) stop(chosen clearance, job string) {
	for i, v := range chosen.victims {
		e := eviction{job: job, at: r.pass.now}
		if i == 0 {
			e.tasks = 1
		}
		chosen.host.Release(v.spec.CPUs, v.spec.GPUs, v.spec.MemoryGB)
		r.pass.evict(v.ref, e)
	}
	r.search.remove(chosen)
}

// completionRate is how many CPUs tasks of one size give back per second.
type completionRate struct{ taskCPUs, rate float64 }

// estimateCompletions estimates what running tasks give back, by job, and counts what runs.
func (s *Scheduler) estimateCompletions(jobs Jobs, now time.Time) []completionRate {
	if s.completions != nil && now.Sub(s.completionsAt) < completionsEvery {
		return s.completions
	}
	running := map[string]int{}
	for _, m := range s.placeable {
		for ref := range m.runningSince {
			running[ref.Job]++
		}
	}
	s.completions, s.completionsAt = []completionRate{}, now
	clear(s.runningCPUs)
	for uid, count := range running {
		j, known := jobs.Job(uid)
		if !known {
			continue
		}
		cpus := float64(count) * j.Spec.CPUs
		s.runningCPUs[admissionKey(j.Spec)] += cpus
		if j.Spec.EstimateSeconds > 0 {
			s.completions = append(s.completions, completionRate{j.Spec.CPUs, cpus / j.Spec.EstimateSeconds})
		}
	}
	return s.completions
}

// admissionKey is what a job counts for in an admission plan.
func admissionKey(spec *protocol.Submission) admission.Key {
	return admission.Key{Team: spec.Team, Class: spec.Class}
}

// keepsFloorWithout says whether a class keeps its floor by the plan without one of its tasks, and without so many
// CPUs that are to be stopped anyway.
func (p *pass) keepsFloorWithout(spec *protocol.Submission, stopped float64) bool {
	key := admissionKey(spec)
	floor := p.snapshot.Plan().Floor(key)
	return floor <= 0 || p.scheduler.runningCPUs[key]-stopped-spec.CPUs >= floor
}
