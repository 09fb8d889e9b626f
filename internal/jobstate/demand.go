package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// Demand is the capacity that waiting tasks of a job ask for now, within the quota.
type Demand struct {
	Spec            *protocol.Submission
	Count           int           // of tasks
	Borrowed        bool          // beyond the team's guarantee
	Probe           bool          // to find out whether a faulty job still fails
	FirstTask       bool          // of a large array that has waited long; it goes before what is more urgent
	CPUsBeyondQuota float64       // that the job's class asks for beyond the quota; then Count is 0
	QuotaDelay      time.Duration // that the whole quota takes for what waits beyond it
}

// demandPlan is one pass over the jobs that wait for quota, in the order in which they get it.
type demandPlan struct {
	quota     *Quota
	requested Resources // what is charged already and what the demands so far ask for
	committed Resources // what the jobs so far leave nothing of: the same with what is reserved for them

	shortfalls map[string]float64 // by class, CPUs below its floor that no demand so far makes up for
	shortfall  float64            // of all classes

	reserved bool // quota is reserved for a job that can't start
	blocked  *Job // an array that can't start: less urgent priorities wait for it

	demands []Demand
	// Probes of faulty jobs, and for each class what is beyond the quota. They come after all other demands.
	trailing       []Demand
	beyondByClass  map[string]int // index into trailing
	backlogSeconds float64        // CPU seconds that the quota has no room for now
}

// Demands lists what the team would place if there were capacity, most urgent first, and for each class what is beyond
// the quota. Of the gangs that wait to start only the most urgent one reserves quota: they may wait for machines for
// minutes, and all of them together would keep it from everybody. An array that can't start reserves it from lower
// priorities alone, since jobs of its own priority that fit would otherwise wait beside free quota.
func (q *Quota) Demands(now time.Time) []Demand {
	charged := q.charged()
	p := demandPlan{quota: q, requested: charged, committed: charged, beyondByClass: map[string]int{}}
	p.shortfalls, p.shortfall = q.floorShortfalls(q.limits.Max.CPUs - charged.CPUs)
	waiting, _ := q.waitingJobs(now)
	p.addFirstTasks(waiting, now)
	for _, w := range waiting {
		p.reserveForBlocked(w.Job)
		if w.faulty {
			p.addProbe(w.Job)
		} else {
			p.addJob(w.Job, w.unstarted)
		}
	}
	backlog := time.Duration(p.backlogSeconds / q.limits.Max.CPUs * float64(time.Second))
	for i := range p.demands {
		p.demands[i].QuotaDelay = backlog
	}
	return append(p.demands, p.trailing...)
}

// addFirstTasks has large arrays that have waited long start with one task each, ahead of all others.
func (p *demandPlan) addFirstTasks(waiting []waitingJob, now time.Time) {
	for i := range waiting {
		w := &waiting[i]
		if !w.startsFirstTask(now) || p.quota.limits.Max.minus(p.committed).tasks(w.Spec) == 0 {
			continue
		}
		one := neededBy(w.Spec, 1)
		p.requested = p.requested.plus(one)
		p.committed = p.committed.plus(one)
		w.unstarted--
		borrowed := !p.requested.within(p.quota.limits.Guaranteed)
		p.demands = append(p.demands, Demand{Spec: w.Spec, Count: 1, FirstTask: true, Borrowed: borrowed})
	}
}

// reserveForBlocked reserves one task of the array that can't start, before the first job of a lower priority.
func (p *demandPlan) reserveForBlocked(next *Job) {
	if p.blocked == nil || p.reserved || protocol.Rank(next.Spec.Priority) >= protocol.Rank(p.blocked.Spec.Priority) {
		return
	}
	p.reserve(p.blocked, 1)
}

// reserve takes what so many tasks of a job need, or as much of it as the limit and other classes' floors leave. Else
// less urgent jobs with smaller tasks would take each piece that comes free, and the job would never have enough at
// once.
func (p *demandPlan) reserve(j *Job, tasks int) {
	p.reserved = true
	needed := neededBy(j.Spec, tasks)
	limit := p.quota.limits.Max
	limit.CPUs -= p.shortfall - p.shortfalls[j.Spec.Class]
	p.committed.CPUs = min(p.committed.CPUs+needed.CPUs, max(p.committed.CPUs, limit.CPUs))
	p.committed.GPUs = min(p.committed.GPUs+needed.GPUs, max(p.committed.GPUs, limit.GPUs))
}

// addProbe asks for one task of a faulty job, unless one is being tried.
func (p *demandPlan) addProbe(j *Job) {
	if len(j.attempts) == 0 {
		p.trailing = append(p.trailing, Demand{Spec: j.Spec, Probe: true, Borrowed: true, Count: 1})
	}
}

// addJob asks for as many of a job's unstarted tasks as the quota has room for, first within the guarantee, then
// borrowed.
func (p *demandPlan) addJob(j *Job, unstarted int) {
	fit := min(unstarted, p.tasksWithinLimit(j))
	withinGuarantee := min(fit, p.quota.limits.Guaranteed.minus(p.requested).tasks(j.Spec))
	p.requested = p.requested.plus(neededBy(j.Spec, fit))
	p.commit(j, unstarted, fit)
	p.reduceShortfall(j, fit)
	p.addBeyondQuota(j, unstarted-fit)
	if withinGuarantee > 0 {
		p.demands = append(p.demands, Demand{Spec: j.Spec, Count: withinGuarantee})
	}
	if borrowed := fit - withinGuarantee; borrowed > 0 {
		p.demands = append(p.demands, Demand{Spec: j.Spec, Count: borrowed, Borrowed: true})
	}
}

// tasksWithinLimit is how many tasks of a job the quota has room for.
func (p *demandPlan) tasksWithinLimit(j *Job) int {
	return min(maxTasks(p.availableCPUs(j), j.Spec.CPUs), maxTasks(p.quota.limits.Max.GPUs-p.committed.GPUs, j.Spec.GPUs))
}

// availableCPUs is how many CPUs are left of the quota for a job. A class under its floor has room for one task at
// least, if there is any.
func (p *demandPlan) availableCPUs(j *Job) float64 {
	left := p.quota.limits.Max.CPUs - p.committed.CPUs
	own := p.shortfalls[j.Spec.Class]
	if own <= 0 {
		return left - p.shortfall
	}
	return max(left-(p.shortfall-own), min(left, max(own, j.Spec.CPUs)))
}

// commit keeps from less urgent jobs what a job's tasks that fit commit, or what is reserved for one that can't start.
func (p *demandPlan) commit(j *Job, unstarted, fit int) {
	toStart := j.tasksToStart(unstarted)
	switch {
	case toStart > 0 && j.Spec.Kind == protocol.Gang:
		if p.reserved {
			return
		}
		if !p.quota.ReservesForGangs() {
			toStart = 0 // it made no use of it
		}
		p.reserve(j, toStart)
	case fit < toStart && p.blocked == nil:
		p.blocked = j
	default:
		p.committed = p.committed.plus(neededBy(j.Spec, fit))
	}
}

// reduceShortfall takes what a job's class gets from what it has less than its floor.
func (p *demandPlan) reduceShortfall(j *Job, fit int) {
	own := p.shortfalls[j.Spec.Class]
	if own <= 0 {
		return
	}
	used := min(own, float64(fit)*j.Spec.CPUs)
	p.shortfalls[j.Spec.Class] -= used
	p.shortfall -= used
}

// addBeyondQuota counts tasks that the quota has no room for now.
func (p *demandPlan) addBeyondQuota(j *Job, tasks int) {
	if tasks <= 0 {
		return
	}
	cpus := float64(tasks) * j.Spec.CPUs
	p.backlogSeconds += cpus * j.Spec.EstimateSeconds
	i, listed := p.beyondByClass[j.Spec.Class]
	if !listed {
		i = len(p.trailing)
		p.beyondByClass[j.Spec.Class] = i
		p.trailing = append(p.trailing, Demand{Spec: j.Spec})
	}
	p.trailing[i].CPUsBeyondQuota += cpus
}

// tasksToStart is how many of a job's unstarted tasks need quota at the same time for it to start; 0 once it has.
func (j *Job) tasksToStart(unstarted int) int {
	switch {
	case len(j.attempts) > 0:
		return 0
	case j.Spec.Kind == protocol.Gang:
		return unstarted
	default:
		return min(unstarted, 1)
	}
}
