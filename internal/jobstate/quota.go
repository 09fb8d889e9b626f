package jobstate

import (
	"math"

	"topazhollow/internal/protocol"
)

// roundingTolerance absorbs rounding in sums of amounts.
const roundingTolerance = 1e-6

// Resources are amounts of CPUs and GPUs.
type Resources struct{ CPUs, GPUs float64 }

// neededBy is what so many tasks of a job take.
func neededBy(spec *protocol.Submission, tasks int) Resources {
	return Resources{CPUs: float64(tasks) * spec.CPUs, GPUs: float64(tasks) * spec.GPUs}
}

// plus is the sum of two amounts.
func (r Resources) plus(other Resources) Resources {
	return Resources{CPUs: r.CPUs + other.CPUs, GPUs: r.GPUs + other.GPUs}
}

// minus is what is left after other was taken.
func (r Resources) minus(other Resources) Resources {
	return Resources{CPUs: r.CPUs - other.CPUs, GPUs: r.GPUs - other.GPUs}
}

// scaled is a part of the amounts.
func (r Resources) scaled(part float64) Resources {
	return Resources{CPUs: part * r.CPUs, GPUs: part * r.GPUs}
}

// within reports whether the amounts keep to a limit.
func (r Resources) within(limit Resources) bool {
	return r.CPUs <= limit.CPUs+roundingTolerance && r.GPUs <= limit.GPUs+roundingTolerance
}

// tasks is how many tasks of a job find room.
func (r Resources) tasks(spec *protocol.Submission) int {
	return min(maxTasks(r.CPUs, spec.CPUs), maxTasks(r.GPUs, spec.GPUs))
}

// maxTasks is how many tasks that take so much each find room.
func maxTasks(room, each float64) int {
	if each <= 0 || math.IsInf(room, 1) {
		if room < -roundingTolerance {
			return 0
		}
		return math.MaxInt
	}
	return max(0, int(math.Floor((room+roundingTolerance)/each)))
}

// Limits bound what a team uses.
type Limits struct {
	Guaranteed Resources // its fair share; what is used beyond it is borrowed
	Max        Resources // hard; infinite where there is none
}

// Quota is the account of what a team may use: what it is guaranteed, its limit, what its attempts and orphaned tasks
// use of it, and what is reserved for classes under their floors and for gangs. It decides which waiting tasks ask for
// capacity, and in which order. Attempts are charged and refunded by Team.
type Quota struct {
	limits  Limits
	used    Resources          // by attempts that may be on machines
	orphans orphanReservations // for tasks on machines that are no attempts of the account
	floors  map[string]float64 // by class, CPUs of the quota that others leave to it
	gangs   gangReservation
	jobs    *jobQueue
}

// SetLimits changes what the team is guaranteed and what it may use. What it uses beyond lowered limits stays
// assigned; nothing more fits until it is within them again.
func (q *Quota) SetLimits(limits Limits) { q.limits = limits }

// Limits are what the team is guaranteed and what it may use.
func (q *Quota) Limits() Limits { return q.limits }

// SetFloors has the quota leave room to classes that have less than their floors, in CPUs.
func (q *Quota) SetFloors(floors map[string]float64) { q.floors = floors }

// charge counts an attempt.
func (q *Quota) charge(a *attempt) {
	q.used = q.used.plus(Resources{CPUs: a.CPUs, GPUs: a.GPUs})
}

// refund counts an attempt no longer. When none is left, the sum's rounding errors go as well.
func (q *Quota) refund(a *attempt, anyLeft bool) {
	q.used = q.used.minus(Resources{CPUs: a.CPUs, GPUs: a.GPUs})
	if !anyLeft {
		q.used = Resources{}
	}
}

// Used is what the team's attempts take.
func (q *Quota) Used() Resources { return q.used }

// charged is what counts against the limit: attempts, and what orphaned tasks may use.
func (q *Quota) charged() Resources { return q.orphans.sum().plus(q.used) }

// Left is what is left of the limit.
func (q *Quota) Left() Resources { return q.limits.Max.minus(q.charged()) }

// Fits reports whether the limit has room for so many more tasks of a job.
func (q *Quota) Fits(j *Job, tasks int) bool {
	return q.charged().plus(neededBy(j.Spec, tasks)).within(q.limits.Max)
}

// exceeded reports whether more is used than allowed, once so much of it is given up.
func (q *Quota) exceeded(givenUp Resources) bool {
	return !q.charged().minus(givenUp).within(q.limits.Max)
}

// CPUsByClass sums up the CPUs that attempts of active jobs take, by class.
func (q *Quota) CPUsByClass() map[string]float64 {
	sum := map[string]float64{}
	for _, j := range q.jobs.ordered {
		if len(j.attempts) > 0 {
			sum[j.Spec.Class] += float64(len(j.attempts)) * j.Spec.CPUs
		}
	}
	return sum
}

// HasOrphansOn reports whether quota is reserved for orphaned tasks of a machine.
func (q *Quota) HasOrphansOn(machine string) bool {
	_, reserved := q.orphans.machines[machine]
	return reserved
}

// OrphansOfUnknownSize lists the tasks of a machine whose size the account would have to know.
func (q *Quota) OrphansOfUnknownSize(machine string) []AttemptRef {
	return q.orphans.machines[machine].unknownSize
}

// floorShortfalls is how many CPUs classes have less than their floors. If less than all of that is left of the quota,
// each class lacks the same part of it, so that none waits for quota that another one lacks. Classes whose gangs made
// no use of what was reserved for them lack nothing for a while.
func (q *Quota) floorShortfalls(left float64) (byClass map[string]float64, all float64) {
	if len(q.floors) == 0 {
		return nil, 0
	}
	byClass = map[string]float64{}
	used, released := q.CPUsByClass(), q.releasedClasses()
	for class, floor := range q.floors {
		if released[class] {
			continue
		}
		if lacks := floor - used[class]; lacks > 0 {
			byClass[class] = lacks
			all += lacks
		}
	}
	if all > 0 && all > left {
		part := max(left, 0) / all
		for class := range byClass {
			byClass[class] *= part
		}
		all *= part
	}
	return byClass, all
}
