package scheduler

import (
	"topazhollow/internal/admission"
	"topazhollow/internal/gangpreemption"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
)

// This file connects scheduling passes to internal/gangpreemption, which decides which tasks to stop for a gang.

// preemptForGangs evicts tasks of lower priority for the most urgent waiting gang of each own team, one gang per team
// at a time. A gang that exceeds its team's guarantee evicts only tasks of the same team.
func (p *pass) preemptForGangs() {
	for _, team := range p.teams {
		if !team.Quota().ReservesCapacityForGangs() || !team.Quota().ReservesForGangs() {
			continue // the team's gangs did not use capacity or quota that was reserved for them
		}
		w := p.firstGang(team)
		if w != nil && p.now.Sub(w.submittedAt) > preemptionDelay && protocol.Rank(w.spec.Priority) > 0 && !w.spec.Spread {
			p.preemptForGang(w)
		}
	}
}

// firstGang returns the most urgent unplaced gang of a team, or else the first gang that waits for quota, or nil. Gangs
// that can no longer meet any objective are skipped: their victims might still have met their own.
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

// missedObjectives reports whether a job can no longer meet any of its objectives.
func (p *pass) missedObjectives(uid string) bool {
	j, known := p.snapshot.Job(uid)
	if !known {
		return true
	}
	_, late := j.NextObjective(p.now)
	return late
}

// preemptForGang evicts the tasks that make room for a gang, unless evictions for it are already in progress.
func (p *pass) preemptForGang(w *waitingTasks) {
	missing, _ := w.team.MissingGangTasks(w.job)
	if len(missing) == 0 || len(p.scheduler.gangSlots(w.spec.UID)) > 0 {
		return
	}
	ownOnly := w.borrowed || w.count < len(missing) // all or part of the gang exceeds its team's guarantee
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

// sizeOf returns the resources that a task of a job uses.
func sizeOf(spec *protocol.Submission) gangpreemption.Resources {
	return gangpreemption.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}

// gangSearch collects the machines that a gang may use and the tasks that may be stopped for it.
type gangSearch struct {
	pass     *pass
	gang     *waitingTasks
	ownOnly  bool // only tasks of the gang's team may be stopped
	machines []gangpreemption.Machine
	hosts    []*placement.Host         // same indices as machines
	victims  []victim                  // indexed by Victim.ID
	stopped  map[admission.Key]float64 // CPUs of the victims
}

// searchGangRoom collects the machines that a gang may use, with the tasks that may be stopped on them.
func (p *pass) searchGangRoom(w *waitingTasks, ownOnly bool) *gangSearch {
	p.scheduler.estimateCompletions(p.snapshot, p.now) // updates runningCPUs, which the floors are checked against
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
			Victims: search.victimsOf(victims.candidatesOn(h)),
		})
	}
	return search
}

// freeRoom returns the free capacity of a host, including what this pass has reserved for the gang.
func (s *gangSearch) freeRoom(h *placement.Host, ask *placement.Request) gangpreemption.Resources {
	reserved := float64(s.pass.reserved[reservationKey{s.gang.spec.UID, h.Name}])
	return gangpreemption.Resources{
		CPUs:     h.CPUs + reserved*ask.CPUs,
		GPUs:     h.GPUs + reserved*ask.GPUs,
		MemoryGB: h.MemoryGB + reserved*ask.MemoryGB,
	}
}

// victimsOf selects from a host's tasks those that may be stopped for the gang.
func (s *gangSearch) victimsOf(list []victim) (allowed []gangpreemption.Victim) {
	for _, v := range list {
		own := v.spec.Team == s.gang.spec.Team
		if protocol.Rank(v.spec.Priority) >= protocol.Rank(s.gang.spec.Priority) || s.ownOnly && !own || !s.countStopped(v.spec) {
			continue
		}
		allowed = append(allowed, gangpreemption.Victim{ID: len(s.victims), LostCPUSeconds: v.lostCPUSeconds, SameTeam: own, Size: sizeOf(v.spec)})
		s.victims = append(s.victims, v)
	}
	return allowed
}

// countStopped adds a task to the stopped CPUs of its class. It returns false without adding it if the class would drop
// below its floor.
func (s *gangSearch) countStopped(spec *protocol.Submission) bool {
	key := admissionKey(spec)
	if !s.pass.keepsFloorWithout(spec, s.stopped[key]) {
		return false
	}
	s.stopped[key] += spec.CPUs
	return true
}
