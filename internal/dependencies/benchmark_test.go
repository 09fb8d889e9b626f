package dependencies

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// graphUnderTest is what the benchmarks use of Graph, and of the model beside it.
type graphUnderTest interface {
	Track(job Job)
	Ended(uid string)
	Settle()
	read(uid string)
}

// readingGraph is Graph with the reads that follow each event.
type readingGraph struct{ *Graph }

func (g readingGraph) read(uid string) {
	g.State(uid)
	g.Urgency(uid)
	g.TakeChanged()
}

// plainGraph is the model behind the methods of Graph.
type plainGraph struct{ m *model }

func (p plainGraph) Track(job Job)    { p.m.active[job.UID] = false; p.m.track(job.UID) }
func (p plainGraph) Ended(uid string) { p.m.active[uid] = true; p.m.end(uid) }
func (p plainGraph) Settle()          { p.m.settle() }
func (p plainGraph) read(uid string) {
	p.m.state(uid)
	_ = p.m.urgencies()[uid]
}

// runThrough tracks the jobs one by one, then ends them from the front, and reads what follows after each event.
func runThrough(m *model, g graphUnderTest, jobs []Job) {
	for _, job := range jobs {
		m.active[job.UID] = true
		g.Track(job)
		g.read(job.UID)
	}
	for _, job := range jobs {
		m.recorded[job.UID], m.active[job.UID] = Done, false
		g.Ended(job.UID)
		g.Settle()
		g.read(job.UID)
	}
}

// endDependents tracks the jobs and ends all but the first two, while these are active.
func endDependents(m *model, g graphUnderTest, jobs []Job) {
	for _, job := range jobs {
		m.active[job.UID] = true
		g.Track(job)
	}
	for _, job := range jobs[2:] {
		m.recorded[job.UID], m.active[job.UID] = Cancelled, false
		g.Ended(job.UID)
		g.Settle()
		g.read(job.UID)
	}
}

// cancelLast tracks the jobs, cancels the first one and ends those that are cancelled with it, the last one first.
func cancelLast(m *model, g graphUnderTest, jobs []Job) {
	for _, job := range jobs {
		m.active[job.UID] = true
		g.Track(job)
	}
	m.recorded[jobs[0].UID], m.active[jobs[0].UID] = Cancelled, false
	g.Ended(jobs[0].UID)
	for i := len(jobs) - 1; i > 0; i-- {
		uid := jobs[i].UID
		m.recorded[uid], m.active[uid] = Cancelled, false
		g.Ended(uid)
		g.Settle()
		g.read(uid)
	}
}

// fanBehindChain returns a chain of two jobs, and jobs that need the second.
func fanBehindChain(count int) []Job {
	jobs := fan(count)
	jobs[1].Dependencies = []string{jobs[0].UID}
	for i := range jobs[2:] {
		jobs[i+2].Dependencies = []string{jobs[1].UID}
	}
	return jobs
}

// fanOfPairs returns jobs that all need the first one, and for each another one that needs it and has a deadline.
func fanOfPairs(count int) []Job {
	jobs := chain(count)
	for i := range jobs[1:] {
		needed := 0
		if i%2 == 1 {
			needed = i
		}
		jobs[i+1].Dependencies = []string{jobs[needed].UID}
		if needed > 0 {
			jobs[i+1].Urgency.Deadline = deadlineIn(time.Hour - time.Duration(i)*time.Second)
		}
	}
	return jobs
}

// join returns jobs, and a last one that needs all others and has a deadline.
func join(count int) []Job {
	jobs := chain(count)
	for i := range jobs[:count-1] {
		jobs[i].Dependencies = nil
		jobs[count-1].Dependencies = append(jobs[count-1].Dependencies, jobs[i].UID)
	}
	return jobs
}

// chainOfDeadlines returns a chain in which each job makes all before it more urgent.
func chainOfDeadlines(count int) []Job {
	jobs := chain(count)
	for i := range jobs {
		jobs[i].Urgency.Deadline = deadlineIn(time.Hour)
	}
	return jobs
}

// fanOfDeadlines returns a chain of two jobs, and jobs that need the second and have different deadlines.
func fanOfDeadlines(count int) []Job {
	jobs := fanBehindChain(count)
	jobs[1].Urgency.Deadline = nil
	for i := range jobs[2:] {
		jobs[i+2].Urgency.Deadline = deadlineIn(time.Hour + time.Duration(i)*time.Second)
	}
	return jobs
}

// workload is a graph and what happens to it.
type workload struct {
	name string
	jobs func(count int) []Job
	run  func(m *model, g graphUnderTest, jobs []Job)
}

// workloads should take time linear in the number of jobs.
var workloads = []workload{
	{"chain", chain, runThrough},
	{"fan", fan, runThrough},
	{"join", join, runThrough},
	{"fan behind a chain", fanBehindChain, runThrough},
	{"fan of pairs", fanOfPairs, runThrough},
	{"cancelled chain", chain, cancelLast},
	{"cancelled fan", fan, cancelLast},
	{"cancelled fan behind a chain", fanBehindChain, cancelLast},
	{"fan behind a chain, ended before it", fanBehindChain, endDependents},
}

// quadraticWorkloads change the urgency of many jobs at each event, or take away the most urgent of many each time.
var quadraticWorkloads = []workload{
	{"chain of deadlines", chainOfDeadlines, runThrough},
	{"fan of deadlines, ended before the job that it needs", fanOfDeadlines, endDependents},
}

func BenchmarkGraph(b *testing.B) {
	for _, w := range slices.Concat(workloads, quadraticWorkloads) {
		for _, count := range []int{200, 500, 1000, 2000} {
			jobs := w.jobs(count)
			b.Run(fmt.Sprintf("%s/%d", w.name, count), func(b *testing.B) {
				for b.Loop() {
					m := newModel(jobs)
					w.run(m, readingGraph{New(m)}, jobs)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/job")
			})
		}
	}
}

// BenchmarkModel runs the plain model over the smaller graphs.
func BenchmarkModel(b *testing.B) {
	for _, w := range workloads[:2] {
		jobs := w.jobs(200)
		b.Run(w.name+"/200", func(b *testing.B) {
			for b.Loop() {
				m := newModel(jobs)
				w.run(m, plainGraph{m}, jobs)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(jobs)), "ns/job")
		})
	}
}
