package scheduler

import (
	"topazhollow/internal/admission"
	"topazhollow/internal/gangpreemption"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
)

// What connects internal/gangpreemption, which decides which tasks to stop for a gang, to a pass.

// preemptForGangs has tasks of lower priority stopped for the most urgent waiting gang of each own team, one gang at a
// time. A gang beyond its team's guarantee stops tasks of its own team only.
func (p *pass) preemptForGangs() {
	for _, team := range p.teams {
		if !team.Quota().ReservesCapacityForGangs() || !team.Quota().ReservesForGangs() {
			continue
		}
		w := p.firstGang(team)
		if w != nil && p.now.Sub(w.submittedAt) > preemptionDelay && protocol.Rank(w.spec.Priority) > 0 && !w.spec.Spread {
			p.makeGangRoom(w)
		}
	}
}

// firstGang is the most urgent gang of a team that found no room, or else the first that waits for quota; nil if there
// is none. One that can reach no objective any more stops nobody: what is stopped for it might still have reached its own.
func (p *pass) firstGang(team Team) *waitingTasks {
	for i := range p.unplaced {
		w := &p.unplaced[i]
		if w.team == team && w.spec.Kind == protocol.Gang && !w.probe && !p.missedObjectives(w.spec.UID) {
			return w
		}
	}
	var first *waitingTasks
	team.Jobs(func(job *jobstate.Job) {
		if first != nil || job.Spec.Kind != protocol.Gang || !job.HasWaitingTasks(p.now) {
			return
		}
		if j, known := p.snapshot.Job(job.Spec.UID); known && j.Active && !p.missedObjectives(job.Spec.UID) {
			first = &waitingTasks{team: team, job: job, spec: job.Spec, borrowed: true, submittedAt: j.SubmittedAt}
		}
	})
	return first
}

// missedObjectives says whether a job can reach none of its objectives any more.
func (p *pass) missedObjectives(uid string) bool {
	j, known := p.snapshot.Job(uid)
	if !known {
		return true
	}
	_, late := j.NextObjective(p.now)
	return late
}

// makeGangRoom asks for the stops that make room for a gang, unless some are under way already.
func (p *pass) makeGangRoom(w *waitingTasks) {
	missing, _ := w.team.MissingGangTasks(w.job)
	if len(missing) == 0 || len(p.scheduler.gangSlots(w.spec.UID)) > 0 {
		return
	}
	ownOnly := w.borrowed || w.count < len(missing)
	search := p.searchGangRoom(w, ownOnly)
	left := w.team.Quota().Left()
	stops, ok := gangpreemption.Plan(gangpreemption.Gang{
		Tasks:   len(missing),
		PerTask: sizeOf(w.spec),
		OneZone: w.spec.OneZone,
		Quota:   gangpreemption.Resources{CPUs: left.CPUs, GPUs: left.GPUs},
	}, search.machines)
	if !ok {
		return
	}
	for _, stop := range stops {
		machineName := search.hosts[stop.Machine].Name
		for _, v := range stop.Victims {
			p.evict(search.victims[v.ID].ref, eviction{job: w.spec.UID, at: p.now, machine: machineName, slots: stop.Slots})
		}
	}
}

// sizeOf is what a task of a job takes.
func sizeOf(spec *protocol.Submission) gangpreemption.Resources {
	return gangpreemption.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}

// gangSearch is what a gang may use and stop.
type gangSearch struct {
	pass     *pass
	gang     *waitingTasks
	ownOnly  bool // only tasks of the gang's team may be stopped
	machines []gangpreemption.Machine
	hosts    []*placement.Host         // of the machines
	victims  []victim                  // by their ids
	stopped  map[admission.Key]float64 // CPUs of the victims
}

// searchGangRoom lists the machines that a gang may use, with what may be stopped there for it.
func (p *pass) searchGangRoom(w *waitingTasks, ownOnly bool) *gangSearch {
	p.scheduler.estimateCompletions(p.snapshot, p.now) // counts what runs, for the floors
	ask, zones := p.scheduler.ask(w.spec), p.scheduler.zoneRule(w)
	search := &gangSearch{pass: p, gang: w, ownOnly: ownOnly, stopped: map[admission.Key]float64{}}
	victims := p.newVictimSearch()
	for _, h := range victims.hosts {
		if !ask.Allows(h) || w.job.Avoids(h.Name, p.now) || !zones.allows(h) {
			continue
		}
		search.hosts = append(search.hosts, h)
		search.machines = append(search.machines, gangpreemption.Machine{
			Zone:    h.Zone,
			Free:    search.freeRoom(h, ask),
			Victims: search.victimsOf(victims.on(h)),
		})
	}
	return search
}

// freeRoom is the free room on a host, with what this pass reserved for the gang itself.
func (s *gangSearch) freeRoom(h *placement.Host, ask *placement.Request) gangpreemption.Resources {
	reserved := float64(s.pass.reserved[reservationKey{s.gang.spec.UID, h.Name}])
	return gangpreemption.Resources{
		CPUs:     h.CPUs + reserved*ask.CPUs,
		GPUs:     h.GPUs + reserved*ask.GPUs,
		MemoryGB: h.MemoryGB + reserved*ask.MemoryGB,
	}
}

// victimsOf lists those of a host's tasks that may be stopped for the gang.
func (s *gangSearch) victimsOf(list []victim) (allowed []gangpreemption.Victim) {
	for _, v := range list {
		own := v.spec.Team == s.gang.spec.Team
		if protocol.Rank(v.spec.Priority) >= protocol.Rank(s.gang.spec.Priority) || s.ownOnly && !own || !s.countStopped(v.spec) {
			continue
		}
		allowed = append(allowed, gangpreemption.Victim{ID: len(s.victims), LostCPUSeconds: v.lost, SameTeam: own, Size: sizeOf(v.spec)})
		s.victims = append(s.victims, v)
	}
	return allowed
}

// countStopped counts a task as stopped; false if its class would not keep its floor without it and those that were
// counted before.
func (s *gangSearch) countStopped(spec *protocol.Submission) bool {
	key := admissionKey(spec)
	if !s.pass.keepsFloorWithout(spec, s.stopped[key]) {
		return false
	}
	s.stopped[key] += spec.CPUs
	return true
}
