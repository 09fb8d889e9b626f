package scheduler

import (
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/protocol"
)

// Intervals and delays of preemption.
const (
	// preemptionInterval is the minimum interval between two searches for victims. Each search scans all machines, and
	// the victims take seconds to exit, so searching in every pass would gain nothing.
	preemptionInterval = 200 * time.Millisecond
	// preemptionDelay is how long a job waits for running tasks to complete before others are stopped for it.
	preemptionDelay = 3 * time.Second
	// completionsInterval is the interval at which the completion rates of running tasks are estimated again.
	completionsInterval = 250 * time.Millisecond
)

// roundingTolerance is the tolerance for rounding errors in sums of CPUs or memory.
const roundingTolerance = 1e-6

// maxEvictions bounds the number of waiting tasks for which one pass evicts others. The next pass handles the rest.
const maxEvictions = 32

// preemption selects the tasks that a pass stops in favor of array and service tasks. For gangs see preemptForGangs.
type preemption struct {
	pass        *pass
	completions []completionRate // nil until first needed
	bookedCPUs  float64          // CPUs of expected completions that are booked for more urgent tasks
	search      *victimSearch    // nil until first needed
}

// preempt evicts tasks for unplaced tasks of higher priority, choosing the victims that lose the least progress.
// Borrowed work evicts nothing: the freed capacity would go to work within its guarantee, and the evicted task would be
// queued again only to be evicted once more.
func (p *pass) preempt() {
	servedTasks := p.scheduler.expireEvictions(p.now)
	search := &preemption{pass: p}
	for i := range p.unplaced {
		w := &p.unplaced[i]
		need := w.count - servedTasks[w.job.Spec.UID]
		if need > 0 && w.mayPreempt() {
			search.makeRoom(w, need)
		}
	}
}

// mayPreempt reports whether running tasks may be stopped for these waiting tasks.
func (w *waitingTasks) mayPreempt() bool {
	return !w.borrowed && !w.probe && w.job.Spec.Kind != protocol.Gang && protocol.Rank(w.job.Spec.Priority) != 0
}

// makeRoom stops tasks of lower priority to make room for need of the waiting tasks.
func (r *preemption) makeRoom(w *waitingTasks, need int) {
	need -= r.bookCompletions(w.job.Spec, need)
	if need <= 0 {
		return
	}
	if r.search == nil {
		r.search = r.pass.newVictimSearch()
	}
	ask, zones := r.pass.scheduler.ask(w.job.Spec), r.pass.scheduler.zoneRule(w)
	for ; need > 0 && r.search.remainingTasks > 0; need-- {
		r.search.remainingTasks--
		cheapest := r.search.cheapestEvictionSet(ask, w.job, zones)
		if cheapest.host == nil {
			return
		}
		r.stop(cheapest, w.job.Spec.UID)
		r.pass.allocate(cheapest.host, ask)
		zones.take(cheapest.host)
	}
}

// bookCompletions returns how many of a job's tasks, at most need, will fit within preemptionDelay into capacity that
// completing tasks free, and books that capacity: it goes to the most urgent tasks without any eviction. Capacity freed
// by smaller tasks does not count: other small tasks take it first.
func (r *preemption) bookCompletions(spec *protocol.Submission, need int) (count int) {
	if r.completions == nil {
		r.completions = r.pass.scheduler.estimateCompletions(r.pass.snapshot, r.pass.now)
	}
	soon := -r.bookedCPUs
	for _, c := range r.completions {
		if c.taskCPUs+roundingTolerance >= spec.CPUs {
			soon += c.rate * preemptionDelay.Seconds()
		}
	}
	for count < need && soon >= spec.CPUs {
		soon -= spec.CPUs
		r.bookedCPUs += spec.CPUs
		count++
	}
	return count
}

// stop evicts the chosen victims on a host for a job.
func (r *preemption) stop(chosen evictionSet, job string) {
	for i, v := range chosen.victims {
		e := eviction{job: job, at: r.pass.now, listedOn: chosen.listedOn()}
		if i == 0 { // the victims together make room for one task
			e.tasks = 1
		}
		r.pass.release(chosen.host, v.spec.CPUs, v.spec.GPUs, v.spec.MemoryGB)
		r.pass.evict(v.ref, e)
	}
	r.search.remove(chosen)
}

// completionRate is the number of CPUs per second that completing tasks of one size are expected to free.
type completionRate struct{ taskCPUs, rate float64 }

// estimateCompletions estimates the completion rate of each job's running tasks and updates runningCPUs. Within
// completionsInterval it returns the previous estimate.
func (s *Scheduler) estimateCompletions(jobs Jobs, now time.Time) []completionRate {
	if s.completions != nil && now.Sub(s.completionsAt) < completionsInterval {
		return s.completions
	}
	running := map[string]int{}
	for _, m := range s.orderedMachines {
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

// admissionKey returns the team and class under which an admission plan counts a job.
func admissionKey(spec *protocol.Submission) admission.Key {
	return admission.Key{Team: spec.Team, Class: spec.Class}
}

// keepsFloorWithout reports whether the class of a task would still reach its floor in the admission plan if the task
// were stopped. stopped is the number of CPUs of the class that are to be stopped besides it.
func (p *pass) keepsFloorWithout(spec *protocol.Submission, stopped float64) bool {
	key := admissionKey(spec)
	floor := p.snapshot.Plan().Floor(key)
	return floor <= 0 || p.scheduler.runningCPUs[key]-stopped-spec.CPUs >= floor
}
