package jobstate

import (
	"time"

	"topazhollow/internal/protocol"
)

// Demand is a request for capacity for waiting tasks of a job, within the quota.
type Demand struct {
	Spec            *protocol.Submission
	Count           int           // number of tasks
	Borrowed        bool          // beyond the team's guarantee
	Held            []string      // machines that hold room for some of the tasks, one entry for each of these; see HeldPlaces
	Probe           bool          // one task of a faulty job, to find out whether it still fails
	ProbeTasks      int           // how many tasks of a probe machines are to be acquired for; 0: none
	FirstTask       bool          // the first task of a large array that has waited long; served before more urgent demands
	CPUsBeyondQuota float64       // CPUs that waiting tasks of the job's class need beyond the quota; if set, Count is 0
	QuotaDelay      time.Duration // estimated time to run the tasks beyond the quota with the whole quota
}

// demandPlan is one pass over the jobs that wait for quota, in the order in which they are served.
type demandPlan struct {
	quota     *Quota
	now       time.Time
	requested Resources // the quota in use plus the demands so far
	committed Resources // the same plus what is reserved; later jobs get the rest of the quota

	shortfalls map[string]float64 // by class, how many CPUs it is below its floor, counting the demands so far
	shortfall  float64            // sum over all classes

	reserved bool // quota is reserved for a job that has yet to start; at most one job has a reservation
	blocked  *Job // the first array that lacks quota to start; quota is reserved for it against lower priorities

	demands []Demand
	// Probes of faulty jobs, and one demand per class for the CPUs beyond the quota. They follow all other demands.
	trailing       []Demand
	beyondByClass  map[string]int // index into trailing
	backlogSeconds float64        // estimated CPU seconds of the tasks beyond the quota
}

// Demands lists what the team would place if there were capacity, most urgent first, and for each class what it needs
// beyond the quota. Of the gangs that wait to start only the most urgent one reserves quota: gangs may wait for
// machines for minutes, and all of them together would block the quota for all other jobs. An array that lacks quota to
// start reserves it only against jobs of lower priority, since otherwise jobs of its own priority that fit would wait
// while quota is unused.
func (q *Quota) Demands(now time.Time) []Demand {
	charged := q.charged()
	p := demandPlan{quota: q, now: now, requested: charged, committed: charged, beyondByClass: map[string]int{}}
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
	quotaDelay := time.Duration(p.backlogSeconds / q.limits.Max.CPUs * float64(time.Second))
	for i := range p.demands {
		p.demands[i].QuotaDelay = quotaDelay
	}
	return append(p.demands, p.trailing...)
}

// addFirstTasks adds a demand for the first task of each large array that has waited long, and of each job selected by
// jobsToBegin, ahead of all other demands.
func (p *demandPlan) addFirstTasks(waiting []waitingJob, now time.Time) {
	begins := p.quota.jobsToBegin(waiting, now)
	for i := range waiting {
		w := &waiting[i]
		if !w.startsFirstTask(now) && !begins[w.Job] || p.quota.limits.Max.minus(p.committed).tasks(w.Spec) == 0 {
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

// reserveForBlocked reserves quota for one task of the blocked array, once the next job has a lower priority.
func (p *demandPlan) reserveForBlocked(next *Job) {
	if p.blocked == nil || p.reserved || protocol.Rank(next.Spec.Priority) >= protocol.Rank(p.blocked.Spec.Priority) {
		return
	}
	p.reserve(p.blocked, 1)
}

// reserve commits what the given number of tasks needs, or as much of it as the limit and the floors of other classes
// leave. Without the reservation, smaller tasks of less urgent jobs would use all quota that becomes free, and the job
// would never have enough at once.
func (p *demandPlan) reserve(j *Job, tasks int) {
	p.reserved = true
	needed := neededBy(j.Spec, tasks)
	limit := p.quota.limits.Max
	limit.CPUs -= p.shortfall - p.shortfalls[j.Spec.Class]
	p.committed.CPUs = min(p.committed.CPUs+needed.CPUs, max(p.committed.CPUs, limit.CPUs))
	p.committed.GPUs = min(p.committed.GPUs+needed.GPUs, max(p.committed.GPUs, limit.GPUs))
}

// addJob adds demands for as many of a job's unstarted tasks as fit the quota: first those within the guarantee, then
// those that borrow.
func (p *demandPlan) addJob(j *Job, unstarted int) {
	fit := min(unstarted, p.tasksWithinLimit(j))
	withinGuarantee := min(fit, p.quota.limits.Guaranteed.minus(p.requested).tasks(j.Spec))
	p.requested = p.requested.plus(neededBy(j.Spec, fit))
	p.commit(j, unstarted, fit)
	p.reduceShortfall(j, fit)
	p.addBeyondQuota(j, unstarted-fit)
	held := j.HeldPlaces(p.now)
	if withinGuarantee > 0 {
		heldWithin := held[:min(withinGuarantee, len(held))]
		held = held[len(heldWithin):]
		p.demands = append(p.demands, Demand{Spec: j.Spec, Count: withinGuarantee, Held: heldWithin})
	}
	if borrowed := fit - withinGuarantee; borrowed > 0 {
		p.demands = append(p.demands, Demand{Spec: j.Spec, Count: borrowed, Borrowed: true, Held: held[:min(borrowed, len(held))]})
	}
}

// tasksWithinLimit returns the number of tasks of a job that fit the quota.
func (p *demandPlan) tasksWithinLimit(j *Job) int {
	return min(maxTasks(p.availableCPUs(j), j.Spec.CPUs), maxTasks(p.quota.limits.Max.GPUs-p.committed.GPUs, j.Spec.GPUs))
}

// availableCPUs returns the part of the quota that a job may use, in CPUs: what the floors of other classes leave. A
// class that is below its floor may also use its own shortfall, or enough for one task if that is more, as far as quota
// is left at all; otherwise classes below their floors would block each other.
func (p *demandPlan) availableCPUs(j *Job) float64 {
	left := p.quota.limits.Max.CPUs - p.committed.CPUs
	own := p.shortfalls[j.Spec.Class]
	if own <= 0 {
		return left - p.shortfall
	}
	return max(left-(p.shortfall-own), min(left, max(own, j.Spec.CPUs)))
}

// commit withholds quota from less urgent jobs: for a gang that has not started, what all its tasks need; for any other
// job, what those of its tasks that fit need. The first array that lacks quota to start is recorded as blocked.
func (p *demandPlan) commit(j *Job, unstarted, fit int) {
	toStart := j.tasksToStart(unstarted)
	switch {
	case toStart > 0 && j.Spec.Kind == protocol.Gang:
		if p.reserved {
			return
		}
		if !p.quota.ReservesForGangs() {
			toStart = 0 // gangs did not start in time: their reservation is released for a while
		}
		p.reserve(j, toStart)
	case fit < toStart && p.blocked == nil:
		p.blocked = j
	default:
		p.committed = p.committed.plus(neededBy(j.Spec, fit))
	}
}

// reduceShortfall subtracts the demand of a job from its class's shortfall.
func (p *demandPlan) reduceShortfall(j *Job, fit int) {
	own := p.shortfalls[j.Spec.Class]
	if own <= 0 {
		return
	}
	used := min(own, float64(fit)*j.Spec.CPUs)
	p.shortfalls[j.Spec.Class] -= used
	p.shortfall -= used
}

// addBeyondQuota adds tasks that do not fit the quota to their class's demand beyond the quota.
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

// tasksToStart returns the number of a job's unstarted tasks that need quota at the same time for the job to start; 0
// if it has attempts already.
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
