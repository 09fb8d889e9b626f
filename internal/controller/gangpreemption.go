package controller

import (
	"topazhollow/internal/admission"
	"topazhollow/internal/gangpreemption"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// What connects internal/gangpreemption, which decides which tasks to stop for a gang, to the controller.

// preemptForGangs has tasks of lower priority stopped for the most urgent waiting gang of each own team, one gang at a time. A
// gang beyond its team's guarantee stops tasks of its own team only.
func (n *Node) preemptForGangs(p *placing) {
	for shard := range n.shards.All() {
		if !shard.MayPlace() || shard.IsFleet() || !shard.Team().ReservesCapacity() || !shard.Team().ReservesQuota() {
			continue
		}
		if w := p.firstGang(shard); w != nil && p.now.Sub(w.submitted) > preemptionDelay && protocol.Rank(w.spec.Priority) > 0 && !w.spec.Spread {
			n.makeGangRoom(p, w)
		}
	}
}

// firstGang is the most urgent gang of a team that found no room, or else the first that waits for quota; nil if there is none.
// One that can reach no goal any more stops nobody: what is stopped for it might still have reached its own.
func (p *placing) firstGang(shard *shards.Owned) *waitingTasks {
	for i := range p.short {
		if w := &p.short[i]; w.shard == shard && w.spec.Kind == protocol.Gang && !w.probe && !p.missed(w.spec.UID) {
			return w
		}
	}
	var first *waitingTasks
	shard.Team().Jobs(func(job *jobstate.Job) {
		if first != nil || job.Spec.Kind != protocol.Gang || !shard.Team().HasWaitingTasks(job, p.now) {
			return
		}
		if j := p.n.jobs[job.Spec.UID]; j != nil && j.active && !p.missed(job.Spec.UID) {
			first = &waitingTasks{claim: claim{shard, job}, spec: job.Spec, borrowed: true, submitted: j.submittedAt}
		}
	})
	return first
}

// missed says whether a job can reach none of its goals any more.
func (p *placing) missed(uid string) bool {
	j := p.n.jobs[uid]
	if j == nil {
		return true
	}
	_, late := p.n.goal(j, p.now)
	return late
}

// makeGangRoom asks for the stops that make room for a gang, unless some are under way already.
func (n *Node) makeGangRoom(p *placing, w *waitingTasks) {
	missing, _ := w.shard.Team().MissingGangTasks(w.own)
	if len(missing) == 0 || len(n.gangSlots(w.spec.UID)) > 0 {
		return
	}
	ownOnly := w.borrowed || w.count < len(missing)
	look := p.gangLook(w, ownOnly)
	cpus, gpus := w.shard.Team().QuotaLeft()
	each := gangpreemption.Amount{CPUs: w.spec.CPUs, GPUs: w.spec.GPUs, Memory: w.spec.MemoryGB}
	stops, ok := gangpreemption.Plan(gangpreemption.Gang{Tasks: len(missing), Each: each, OneZone: w.spec.OneZone,
		Quota: gangpreemption.Amount{CPUs: cpus, GPUs: gpus}}, look.machines)
	if !ok {
		return
	}
	for _, stop := range stops {
		for _, v := range stop.Victims {
			ref := look.tasks[v.ID].ref
			n.evictions[ref] = eviction{job: w.spec.UID, at: p.now, machine: look.hosts[stop.Machine].Name, slots: stop.Slots}
			n.evict(evictMsg{Attempt: ref, Beneficiary: w.spec.UID})
		}
	}
}

// gangLook is what a gang may use and stop.
type gangLook struct {
	machines []gangpreemption.Machine
	hosts    []*placement.Host // of the machines
	tasks    []victim          // by the victims' ids
}

// gangLook lists the machines that a gang may use, with what may be stopped there for it.
func (p *placing) gangLook(w *waitingTasks, ownOnly bool) *gangLook {
	n := p.n
	n.ending(p.now) // counts what runs, for the floors
	ask, rule, counted := n.ask(w.spec), n.zoneRule(w), map[admission.Key]float64{}
	search := n.newVictimSearch(n.besides(p.hosts, p.now), p.now)
	look := &gangLook{}
	for _, h := range search.hosts {
		if !ask.Allows(h) || w.own.Avoids(h.Name, p.now) || !rule.allows(h) {
			continue
		}
		m := gangpreemption.Machine{Zone: h.Zone, Free: p.freeFor(w, h, ask)}
		for _, v := range search.on(h) {
			own := v.spec.Team == w.spec.Team
			if protocol.Rank(v.spec.Priority) >= protocol.Rank(w.spec.Priority) || ownOnly && !own || !n.spares(v.spec, counted) {
				continue
			}
			m.Victims = append(m.Victims, gangpreemption.Victim{ID: len(look.tasks), Loss: v.lost, Own: own,
				Size: gangpreemption.Amount{CPUs: v.spec.CPUs, GPUs: v.spec.GPUs, Memory: v.spec.MemoryGB}})
			look.tasks = append(look.tasks, v)
		}
		look.machines, look.hosts = append(look.machines, m), append(look.hosts, h)
	}
	return look
}

// freeFor is the free room on a host, with what this step keeps for the gang itself.
func (p *placing) freeFor(w *waitingTasks, h *placement.Host, ask *placement.Ask) gangpreemption.Amount {
	kept := float64(p.kept[keptRoom{w.spec.UID, h.Name}])
	return gangpreemption.Amount{CPUs: h.CPUs + kept*ask.CPUs, GPUs: h.GPUs + kept*ask.GPUs, Memory: h.Memory + kept*ask.Memory}
}

// spares counts a task as stopped and says whether its class keeps its floor without it and without those that were counted before.
func (n *Node) spares(s *protocol.Submission, counted map[admission.Key]float64) bool {
	floor := n.admission.agreement.InForce().Floor(keyOf(s))
	if floor <= 0 {
		return true
	}
	key := keyOf(s)
	if n.admission.runningCPUs[key]-counted[key]-s.CPUs < floor {
		return false
	}
	counted[key] += s.CPUs
	return true
}

// gangSlots is where tasks are being stopped for a gang, and how many of its tasks are to run there.
func (n *Node) gangSlots(uid string) map[string]int {
	slots := map[string]int{}
	for _, e := range n.evictions {
		if e.job == uid && e.machine != "" {
			slots[e.machine] = e.slots
		}
	}
	return slots
}

// keptRoom names the room that is kept for a job on a machine.
type keptRoom struct{ job, machine string }

// keepCleared keeps the room that is being cleared for a gang, also what is too little for one of its tasks so far. It says
// how many tasks that is for.
func (p *placing) keepCleared(w *waitingTasks, ask *placement.Ask) (tasks int) {
	cleared := p.n.gangSlots(w.spec.UID)
	for _, h := range p.hosts {
		for range cleared[h.Name] {
			h.CPUs, h.GPUs, h.Memory = max(0, h.CPUs-ask.CPUs), max(0, h.GPUs-ask.GPUs), max(0, h.Memory-ask.Memory)
			tasks++
		}
	}
	return tasks
}
