package scheduler

import (
	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
)

// Some gangs hold room on machines that their next attempt starts on, see jobstate.Job.HeldPlaces. A pass leaves this room
// to them.

// holdPlaces takes the room that a job holds on machines out of the pass.
func (p *pass) holdPlaces(job string, machines []string) {
	j, known := p.snapshot.Job(job)
	if !known || !j.Active {
		return
	}
	ask := p.scheduler.ask(j.Spec)
	for _, name := range machines {
		m := p.scheduler.machines[name]
		if m == nil || !m.accepts || !ask.FitsIn(m.passHost.CPUs, m.passHost.GPUs, m.passHost.MemoryGB) {
			continue
		}
		p.release(&m.passHost, -ask.CPUs, -ask.GPUs, -ask.MemoryGB)
		p.held[job] = append(p.held[job], &m.passHost)
	}
}

// releasePlaces makes the room that a job holds available to the rest of the pass.
func (p *pass) releasePlaces(job string, ask *placement.Request) {
	for _, h := range p.held[job] {
		p.release(h, ask.CPUs, ask.GPUs, ask.MemoryGB)
	}
	delete(p.held, job)
}

// formerZone returns the zone of the machines that tasks of a gang in one zone exited on while others finished fetching the
// image, or anyZone if there are none.
func (s *Scheduler) formerZone(job *jobstate.Job) int {
	for index := range job.Spec.Tasks {
		if m := s.machines[job.FormerPlace(index)]; m != nil {
			return s.zoneIndex(m.status.Zone)
		}
	}
	return anyZone
}

// formerHost returns the machine that a task exited on while others of its gang finished fetching the image, if the task
// can be placed there again, or nil.
func (p *pass) formerHost(w *waitingTasks, ask *placement.Request, index int, skip func(*placement.Host) bool) *placement.Host {
	m := p.scheduler.machines[w.job.FormerPlace(index)]
	if m == nil || !m.accepts || !ask.Fits(&m.passHost) || !ask.Allows(&m.passHost) || skip(&m.passHost) {
		return nil
	}
	return &m.passHost
}
