package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// Periods of preemption.
const (
	// preemptEvery is how often it is looked whom to stop for others. Each look goes through
	// all machines, and what is found takes seconds to end.
	preemptEvery = 200 * time.Millisecond
	// preemptionDelay is how long a job waits for room that comes free by itself before
	// others are stopped for it.
	preemptionDelay = 3 * time.Second
	// evictionLife is how long an eviction may take before its room is sought again.
	evictionLife = 5 * time.Second
	// freeingEvery is how often it is estimated anew what running tasks give back.
	freeingEvery = 250 * time.Millisecond
)

// maxEvictions bounds the tasks for which one step seeks room by stopping others; the next
// step goes on.
const maxEvictions = 32

// soonOver is what a task past its half may have left to be spared, in seconds.
const soonOver = 60

// eviction is a task asked to make room for a job.
type eviction struct {
	job   string
	tasks int // of the job that the room will take
	at    time.Time
	// For a gang: where, and how many of its tasks are to run there once all that was asked to make room there has.
	machine string
	slots   int
}

// preemption is one look for tasks to stop.
type preemption struct {
	n        *Node
	now      time.Time
	roomy    []*placement.Host // those with room, as this step left them
	freeing  []ends            // what ends by itself; nil before it is needed
	promised float64           // CPUs of that, for more urgent tasks
	search   *victimSearch     // nil before it is needed
}

// preempt frees room for waiting tasks of higher priority, at the least loss. What borrows
// stops nobody: the room would go to those within their guarantee, and the stopped task would
// come back only to be stopped again.
func (n *Node) preempt(short []waitingTasks, roomy []*placement.Host, now time.Time) {
	coming := n.expireEvictions(now)
	p := &preemption{n: n, now: now, roomy: roomy}
	for i := range short {
		w := &short[i]
		need := w.count - coming[w.own.Spec.UID]
		if need > 0 && mayPreempt(w) {
			p.freeRoom(w, need)
		}
	}
}

// mayPreempt says whether others may be stopped for waiting tasks.
func mayPreempt(w *waitingTasks) bool {
	return !w.borrowed && !w.probe && w.own.Spec.Kind != protocol.Gang && protocol.Rank(w.own.Spec.Priority) != 0
}

// expireEvictions forgets evictions that took too long, and counts by job the tasks that the
// others make room for.
func (n *Node) expireEvictions(now time.Time) (coming map[string]int) {
	coming = map[string]int{}
	for ref, e := range n.evictions {
		if now.Sub(e.at) > evictionLife {
			delete(n.evictions, ref)
		} else {
			coming[e.job] += e.tasks
		}
	}
	return coming
}

// freeRoom stops tasks of lower priority for so many waiting ones.
func (p *preemption) freeRoom(w *waitingTasks, need int) {
	need -= p.freedInTime(w.own.Spec, need)
	if need <= 0 {
		return
	}
	if p.search == nil {
		p.search = p.n.newVictimSearch(p.n.besides(p.roomy, p.now), p.now)
	}
	ask, rule := p.n.ask(w.own.Spec), p.n.zoneRule(w)
	for ; need > 0 && p.search.left > 0; need-- {
		p.search.left--
		host, victims := p.search.cheapestRoom(ask, w.own, rule)
		if host == nil {
			return
		}
		p.stop(host, victims, w.own.Spec.UID)
		host.Take(ask)
		rule.take(host)
	}
}

// freedInTime says how many of a job's tasks find room within preemptionDelay by what ends by
// itself, and books that room. It goes to the most urgent anyway, if it leaves room enough:
// the room of smaller tasks is taken by others like them.
func (p *preemption) freedInTime(spec *protocol.Submission, need int) (count int) {
	if p.freeing == nil {
		p.freeing = p.n.ending(p.now)
	}
	soon := -p.promised
	for _, e := range p.freeing {
		if e.cpus+1e-6 >= spec.CPUs {
			soon += e.rate * preemptionDelay.Seconds()
		}
	}
	for count < need && soon >= spec.CPUs {
		soon -= spec.CPUs
		p.promised += spec.CPUs
		count++
	}
	return count
}

// stop asks the owners of tasks on a host to stop them for a job.
func (p *preemption) stop(host *placement.Host, victims []victim, job string) {
	for i, v := range victims {
		e := eviction{job: job, at: p.now}
		if i == 0 {
			e.tasks = 1
		}
		p.n.evictions[v.ref] = e
		host.Release(v.spec.CPUs, v.spec.GPUs, v.spec.MemoryGB)
		p.n.evict(evictMsg{Attempt: v.ref, Beneficiary: job})
	}
	p.search.evicted(host, victims)
}

// besides lists all machines that may take tasks, those with room as this step left them.
func (n *Node) besides(roomy []*placement.Host, now time.Time) []*placement.Host {
	left := map[string]*placement.Host{}
	for _, h := range roomy {
		left[h.Name] = h
	}
	hosts := n.hosts(now, nil)
	for i, h := range hosts {
		if x := left[h.Name]; x != nil {
			hosts[i] = x
		}
	}
	return hosts
}

// ends is how many CPUs tasks of one size give back per second.
type ends struct{ cpus, rate float64 }

// ending estimates what running tasks give back, by job.
func (n *Node) ending(now time.Time) []ends {
	if n.freeing != nil && now.Sub(n.freeingAt) < freeingEvery {
		return n.freeing
	}
	running := map[string]int{}
	for _, m := range n.machines {
		for ref := range m.runningSince {
			running[ref.Job]++
		}
	}
	n.freeing, n.freeingAt = []ends{}, now
	clear(n.admission.runningCPUs)
	for uid, count := range running {
		j := n.jobs[uid]
		if j == nil {
			continue
		}
		cpus := float64(count) * j.spec.CPUs
		n.admission.runningCPUs[keyOf(j.spec)] += cpus
		if j.spec.EstimateSeconds > 0 {
			n.freeing = append(n.freeing, ends{j.spec.CPUs, cpus / j.spec.EstimateSeconds})
		}
	}
	return n.freeing
}

// evict asks the owner of a task to stop it.
func (n *Node) evict(e evictMsg) {
	j := n.jobs[e.Attempt.Job]
	owner := n.leadership.Record().Shards[shards.ForTeam(j.spec.Team)].Owner
	if owner == n.name {
		n.onEvict(&e)
		return
	}
	n.links.Send(owner, kindEvict, e)
}

// onEvict stops a task of an own team for a job of higher priority.
func (n *Node) onEvict(e *evictMsg) {
	victim, job := n.jobs[e.Attempt.Job], n.jobs[e.Beneficiary]
	if victim == nil || job == nil || protocol.Rank(job.spec.Priority) <= protocol.Rank(victim.spec.Priority) {
		return
	}
	shard := n.shards.OfTeam(victim.spec.Team)
	if shard == nil || !shard.IsReady() {
		return
	}
	if shard.Team().Stop(e.Attempt, victim.spec.CheckpointSeconds) {
		n.log.Debug("task preempted", "task", e.Attempt.Job, "index", e.Attempt.Index, "for", e.Beneficiary)
		n.wake()
	}
}

// freed forgets evictions that are over, as a view shows.
func (n *Node) freed(v *jobstate.MachineStatus) {
	if len(n.evictions) == 0 {
		return
	}
	there := map[jobstate.AttemptRef]bool{}
	for _, t := range v.Tasks {
		there[t.Ref()] = t.State != protocol.Exited
	}
	maps.DeleteFunc(n.evictions, func(ref jobstate.AttemptRef, _ eviction) bool {
		on, listed := there[ref]
		return listed && !on
	})
}

// victim is a task that may be stopped for others.
type victim struct {
	ref  jobstate.AttemptRef
	spec *protocol.Submission
	lost float64 // CPU seconds of progress thrown away
}

// victimSearch is one step's search for room held by tasks of lower priority.
type victimSearch struct {
	n       *Node
	now     time.Time
	hosts   []*placement.Host
	victims map[*placement.Host][]victim // those of any rank, least loss first
	left    int                          // how many tasks room is still sought for
}

func (n *Node) newVictimSearch(hosts []*placement.Host, now time.Time) *victimSearch {
	return &victimSearch{n: n, now: now, hosts: hosts, victims: map[*placement.Host][]victim{}, left: maxEvictions}
}

// on lists the tasks of a host that may be stopped, least loss first.
func (s *victimSearch) on(h *placement.Host) []victim {
	if list, ok := s.victims[h]; ok {
		return list
	}
	m := s.n.machines[h.Name]
	var list []victim
	for i := range m.status.Tasks {
		if v, ok := s.victim(m, &m.status.Tasks[i]); ok {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.ref.Attempt, b.ref.Attempt))
	})
	s.victims[h] = list
	return list
}

// victim says whether a task on a machine may be stopped, and what is lost by that.
func (s *victimSearch) victim(m *machine, t *jobstate.TaskStatus) (v victim, ok bool) {
	j := s.n.jobs[t.Job]
	if j == nil || !j.active || t.State == protocol.Exited || t.State == protocol.Saving || j.spec.Kind == protocol.Gang {
		return v, false
	}
	ref := t.Ref()
	if _, going := s.n.evictions[ref]; going || s.n.protectedByFloor(j.spec) {
		return v, false
	}
	v = victim{ref: ref, spec: j.spec}
	if since, running := m.runningSince[ref]; running {
		ran := s.now.Sub(since).Seconds()
		if left := j.spec.EstimateSeconds - ran; ran > left && left < soonOver {
			return v, false // much would be lost
		}
		v.lost = ran * j.spec.CPUs
	}
	return v, true
}

// evicted takes the chosen ones out of the search.
func (s *victimSearch) evicted(h *placement.Host, chosen []victim) {
	s.victims[h] = slices.DeleteFunc(s.victims[h], func(v victim) bool {
		return slices.ContainsFunc(chosen, func(c victim) bool { return c.ref == v.ref })
	})
}

// cheapestRoom finds the machine where stopping tasks of lower priority loses least.
func (s *victimSearch) cheapestRoom(ask *placement.Ask, job *jobstate.Job, rule *zoneRule) (best *placement.Host, stop []victim) {
	lowest := math.Inf(1)
	rank := protocol.Rank(job.Spec.Priority)
	for _, h := range s.hosts {
		if !ask.Allows(h) || job.Avoids(h.Name, s.now) || !rule.allows(h) {
			continue
		}
		victims, lost, found := s.roomOn(h, ask, rank, lowest)
		if found {
			best, stop, lowest = h, victims, lost
		}
		if lowest == 0 {
			return best, stop
		}
	}
	return best, stop
}

// roomOn finds tasks below a rank on a host that leave room enough if they are stopped, and
// lose less than lowest.
func (s *victimSearch) roomOn(h *placement.Host, ask *placement.Ask, rank int, lowest float64) (stop []victim, lost float64, found bool) {
	room := *h
	for _, v := range s.on(h) {
		if protocol.Rank(v.spec.Priority) >= rank {
			continue
		}
		room.Release(v.spec.CPUs, v.spec.GPUs, v.spec.MemoryGB)
		lost += v.lost
		if lost >= lowest {
			return nil, lost, false
		}
		stop = append(stop, v)
		if ask.Fits(&room) {
			return stop, lost, true
		}
	}
	return nil, lost, false
}
