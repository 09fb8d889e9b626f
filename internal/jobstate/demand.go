package jobstate

import (
	"math"
	"time"

	"topazhollow/internal/protocol"
)

// What an account would place if there were room, within its quota.

// Fits says whether the quota has room for so many more tasks of a job.
func (t *Team) Fits(j *Job, tasks int) bool {
	n := float64(tasks)
	cpus, gpus := t.charged()
	return cpus+n*j.Spec.CPUs <= t.MaxCPUs+roundingTolerance && gpus+n*j.Spec.GPUs <= t.MaxGPUs+roundingTolerance
}

// CPUsByClass sums up the CPUs that attempts of active jobs hold, by class.
func (t *Team) CPUsByClass() map[string]float64 {
	sum := map[string]float64{}
	for _, j := range t.queue {
		if len(j.attempts) > 0 {
			sum[j.Spec.Class] += float64(len(j.attempts)) * j.Spec.CPUs
		}
	}
	return sum
}

// Demand is the room that pending tasks of a job ask for now, within the quota.
type Demand struct {
	Spec            *protocol.Submission
	Count           int
	Borrowed        bool          // beyond the team's guarantee
	Probe           bool          // to see whether a faulty job still fails
	FirstTask       bool          // the first task of a large array that has waited long; it goes before what is more urgent
	BeyondQuotaCPUs float64       // CPUs that the job's class asks for beyond the quota; then Count is 0
	Backlog         time.Duration // that the whole quota takes for what waits beyond it
}

// most is how many tasks that take so much each find room.
func maxTasks(room, each float64) int {
	if each <= 0 || math.IsInf(room, 1) {
		if room < -roundingTolerance {
			return 0
		}
		return math.MaxInt
	}
	return max(0, int(math.Floor((room+roundingTolerance)/each)))
}

// SetFloors has the quota leave room to classes that have less than their floors, in CPUs.
func (t *Team) SetFloors(floors map[string]float64) { t.floors = floors }

// lacking is how many CPUs classes have less than their floors. If less than all of that is left of the quota, each
// class lacks the same part of it, so that none waits for quota that another one lacks. Classes whose gangs made no use of what was
// held back for them lack nothing for a while.
func (t *Team) floorShortfalls(left float64) (by map[string]float64, all float64) {
	if len(t.floors) == 0 {
		return nil, 0
	}
	by = map[string]float64{}
	held, unused := t.CPUsByClass(), t.releasedClasses()
	for class, floor := range t.floors {
		if unused[class] {
			continue
		}
		if lacks := floor - held[class]; lacks > 0 {
			by[class] = lacks
			all += lacks
		}
	}
	if all > 0 && all > left {
		part := max(left, 0) / all
		for class := range by {
			by[class] *= part
		}
		all *= part
	}
	return by, all
}

// startsAtOnce is how many of a job's unstarted tasks need quota at the same time for it to begin; 0 once it has begun.
func (j *Job) tasksToBegin(left int) int {
	switch {
	case len(j.attempts) > 0:
		return 0
	case j.Spec.Kind == protocol.Gang:
		return left
	default:
		return min(left, 1)
	}
}

// quota is a part of a team's quota, in CPUs and GPUs.
type quota struct{ cpus, gpus float64 }

// add takes what so many tasks of a job need.
func (q *quota) add(s *protocol.Submission, tasks int) {
	q.cpus += float64(tasks) * s.CPUs
	q.gpus += float64(tasks) * s.GPUs
}

// reserve takes what so many tasks of a job need, or as much of it as the limits leave. Else less urgent jobs with smaller
// tasks would take each piece that comes free, and the job would never have enough at once.
func (q *quota) reserve(s *protocol.Submission, tasks int, mostCPUs, mostGPUs float64) {
	q.cpus = min(q.cpus+float64(tasks)*s.CPUs, max(q.cpus, mostCPUs))
	q.gpus = min(q.gpus+float64(tasks)*s.GPUs, max(q.gpus, mostGPUs))
}

// quotaFor is how many CPUs are left of the quota for a job whose class lacks so much of its floor, while kept is what
// all classes lack. A class under its floor has room for one task at least, if there is any.
func (t *Team) availableCPUs(j *Job, used, lacks, kept float64) float64 {
	left := t.MaxCPUs - used
	if lacks <= 0 {
		return left - kept
	}
	return max(left-(kept-lacks), min(left, max(lacks, j.Spec.CPUs)))
}

// Demands lists what the team would place if there were room, most urgent first, and for each
// class what is beyond the quota. Of the gangs that wait to begin only the most urgent one reserves quota: they may
// wait for machines for minutes, and all of them together would keep it from everybody. An array that can't begin
// reserves it from lower priorities alone, since jobs of its own priority that fit would otherwise wait beside free quota.
func (t *Team) Demands(now time.Time) []Demand {
	cpus, gpus := t.charged()
	var out, probes []Demand
	beyond := 0.0 // CPU seconds that the quota has no room for now
	over := map[string]int{}
	lacks, kept := t.floorShortfalls(t.MaxCPUs - cpus)
	taken := quota{cpus, gpus} // what more urgent jobs leave nothing of
	reserved := false          // part of it is reserved for a job that can't begin
	var blocked *Job           // an array that can't begin: less urgent priorities wait for it
	list, _ := t.waitingJobs(now)
	for i := range list {
		w := &list[i]
		if !w.startsFirstTask(now) || maxTasks(t.MaxCPUs-taken.cpus, w.Spec.CPUs) == 0 || maxTasks(t.MaxGPUs-taken.gpus, w.Spec.GPUs) == 0 {
			continue
		}
		cpus += w.Spec.CPUs
		gpus += w.Spec.GPUs
		taken.add(w.Spec, 1)
		w.unstarted--
		out = append(out, Demand{Spec: w.Spec, Count: 1, FirstTask: true, Borrowed: cpus > t.GuaranteedCPUs+roundingTolerance || gpus > t.GuaranteedGPUs+roundingTolerance})
	}
	for _, waiting := range list {
		j, left := waiting.Job, waiting.unstarted
		if blocked != nil && !reserved && protocol.Rank(j.Spec.Priority) < protocol.Rank(blocked.Spec.Priority) {
			reserved = true
			taken.reserve(blocked.Spec, 1, t.MaxCPUs-(kept-lacks[blocked.Spec.Class]), t.MaxGPUs)
		}
		d := Demand{Spec: j.Spec}
		if j.faulty {
			if len(j.attempts) == 0 {
				d.Probe, d.Borrowed, d.Count = true, true, 1
				probes = append(probes, d)
			}
			continue
		}
		own := lacks[j.Spec.Class]
		fit := min(left, maxTasks(t.availableCPUs(j, taken.cpus, own, kept), j.Spec.CPUs), maxTasks(t.MaxGPUs-taken.gpus, j.Spec.GPUs))
		within := min(fit, maxTasks(t.GuaranteedCPUs-cpus, j.Spec.CPUs), maxTasks(t.GuaranteedGPUs-gpus, j.Spec.GPUs))
		cpus += float64(fit) * j.Spec.CPUs
		gpus += float64(fit) * j.Spec.GPUs
		switch atOnce := j.tasksToBegin(left); {
		case atOnce > 0 && j.Spec.Kind == protocol.Gang:
			if !reserved {
				reserved = true
				if !t.ReservesQuota() {
					atOnce = 0 // it made no use of it
				}
				taken.reserve(j.Spec, atOnce, t.MaxCPUs-(kept-own), t.MaxGPUs)
			}
		case fit < atOnce && blocked == nil:
			blocked = j
		default:
			taken.add(j.Spec, fit)
		}
		if own > 0 {
			used := min(own, float64(fit)*j.Spec.CPUs)
			lacks[j.Spec.Class] -= used
			kept -= used
		}
		beyond += float64(left-fit) * j.Spec.CPUs * j.Spec.EstimateSeconds
		if left > fit {
			i, ok := over[j.Spec.Class]
			if !ok {
				i = len(probes)
				over[j.Spec.Class] = i
				probes = append(probes, Demand{Spec: j.Spec})
			}
			probes[i].BeyondQuotaCPUs += float64(left-fit) * j.Spec.CPUs
		}
		if within > 0 {
			d.Count = within
			out = append(out, d)
		}
		d.Borrowed, d.Count = true, fit-within
		if d.Count > 0 {
			out = append(out, d)
		}
	}
	for i := range out {
		out[i].Backlog = time.Duration(beyond / t.MaxCPUs * float64(time.Second))
	}
	return append(out, probes...)
}
