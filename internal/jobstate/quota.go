package jobstate

import (
	"math"

	"topazhollow/internal/protocol"
)

// roundingTolerance is the largest rounding error of summed amounts.
const roundingTolerance = 1e-6

// Resources is an amount of CPUs and GPUs.
type Resources struct{ CPUs, GPUs float64 }

// neededBy returns what the given number of tasks of a job needs.
func neededBy(spec *protocol.Submission, tasks int) Resources {
	return Resources{CPUs: float64(tasks) * spec.CPUs, GPUs: float64(tasks) * spec.GPUs}
}

// plus returns the sum of two amounts.
func (r Resources) plus(other Resources) Resources {
	return Resources{CPUs: r.CPUs + other.CPUs, GPUs: r.GPUs + other.GPUs}
}

// minus returns the difference of two amounts.
func (r Resources) minus(other Resources) Resources {
	return Resources{CPUs: r.CPUs - other.CPUs, GPUs: r.GPUs - other.GPUs}
}

// scaled returns the given fraction of the amounts.
func (r Resources) scaled(fraction float64) Resources {
	return Resources{CPUs: fraction * r.CPUs, GPUs: fraction * r.GPUs}
}

// within reports whether the amounts do not exceed a limit.
func (r Resources) within(limit Resources) bool {
	return r.CPUs <= limit.CPUs+roundingTolerance && r.GPUs <= limit.GPUs+roundingTolerance
}

// tasks returns the number of tasks of a job that fit.
func (r Resources) tasks(spec *protocol.Submission) int {
	return min(maxTasks(r.CPUs, spec.CPUs), maxTasks(r.GPUs, spec.GPUs))
}

// maxTasks returns the number of tasks that fit if each needs the given amount; MaxInt if they need nothing.
func maxTasks(available, perTask float64) int {
	if perTask <= 0 || math.IsInf(available, 1) {
		if available < -roundingTolerance {
			return 0
		}
		return math.MaxInt
	}
	return max(0, int(math.Floor((available+roundingTolerance)/perTask)))
}

// Limits bound what a team may use.
type Limits struct {
	Guaranteed Resources // its fair share; use beyond it is borrowed
	Max        Resources // hard limit; infinite where there is none
}

// Quota tracks what a team may use and what it uses: its guarantee and limit, the use by its attempts and orphaned
// tasks, and the reservations for classes below their floors and for gangs. It decides which waiting tasks demand
// capacity, and in which order. Team charges and refunds attempts.
type Quota struct {
	limits  Limits
	used    Resources          // by attempts that may be on machines
	orphans orphanReservations // for orphaned tasks
	floors  map[string]float64 // by class, CPUs of the quota that other classes leave to it
	gangs   gangReservation

	firstTaskShare float64 // see SetFirstTaskShare
	jobs           *jobQueue
}

// SetLimits changes the guarantee and the limit. Attempts beyond lowered limits stay assigned; nothing more fits until
// the use is within the limits again.
func (q *Quota) SetLimits(limits Limits) { q.limits = limits }

// Limits returns the guarantee and the limit.
func (q *Quota) Limits() Limits { return q.limits }

// SetFloors sets the floors by class, in CPUs: the quota up to its floor is reserved for a class that uses less.
func (q *Quota) SetFloors(floors map[string]float64) { q.floors = floors }

// charge adds the resources of an attempt to the use.
func (q *Quota) charge(a *attempt) {
	q.used = q.used.plus(Resources{CPUs: a.CPUs, GPUs: a.GPUs})
}

// refund subtracts the resources of an attempt from the use. If no attempt is left it resets the use to zero, which
// removes accumulated rounding errors.
func (q *Quota) refund(a *attempt, anyLeft bool) {
	q.used = q.used.minus(Resources{CPUs: a.CPUs, GPUs: a.GPUs})
	if !anyLeft {
		q.used = Resources{}
	}
}

// Used returns the sum of what the team's attempts use.
func (q *Quota) Used() Resources { return q.used }

// charged returns what counts against the limit: the use by attempts, and the reservations for orphaned tasks.
func (q *Quota) charged() Resources { return q.orphans.sum().plus(q.used) }

// Left returns the unused part of the limit.
func (q *Quota) Left() Resources { return q.limits.Max.minus(q.charged()) }

// Fits reports whether the given number of further tasks of a job fits the limit.
func (q *Quota) Fits(j *Job, tasks int) bool {
	return q.charged().plus(neededBy(j.Spec, tasks)).within(q.limits.Max)
}

// exceeded reports whether the use exceeds the limit even after the given amount is released.
func (q *Quota) exceeded(released Resources) bool {
	return !q.charged().minus(released).within(q.limits.Max)
}

// CPUsByClass sums up the CPUs that attempts of active jobs use, by class.
func (q *Quota) CPUsByClass() map[string]float64 {
	sum := map[string]float64{}
	for _, j := range q.jobs.ordered {
		if len(j.attempts) > 0 {
			sum[j.Spec.Class] += float64(len(j.attempts)) * j.Spec.CPUs
		}
	}
	return sum
}

// HasOrphansOn reports whether quota is reserved for orphaned tasks on a machine.
func (q *Quota) HasOrphansOn(machine string) bool {
	_, reserved := q.orphans.machines[machine]
	return reserved
}

// OrphansOfUnknownSize lists the orphaned tasks of unknown size on a machine.
func (q *Quota) OrphansOfUnknownSize(machine string) []AttemptRef {
	return q.orphans.machines[machine].unknownSize
}

// floorShortfalls returns how many CPUs each class is below its floor, and the sum over all classes. If less than the
// sum is left of the quota, all shortfalls are scaled down by the same factor, so that classes below their floors do
// not all leave the quota to each other. Classes of gangs have no shortfall while the reservation for gangs is
// released.
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
		if shortfall := floor - used[class]; shortfall > 0 {
			byClass[class] = shortfall
			all += shortfall
		}
	}
	if all > 0 && all > left {
		factor := max(left, 0) / all
		for class := range byClass {
			byClass[class] *= factor
		}
		all *= factor
	}
	return byClass, all
}
