package scheduler

import (
	"cmp"
	"math"
	"slices"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
)

// nearlyDone is what a task past its half may have left so that it is not stopped, in seconds.
const nearlyDone = 60

// victim is a task that may be stopped for others.
type victim struct {
	ref  jobstate.AttemptRef
	spec *protocol.Submission
	lost float64 // CPU seconds of progress thrown away
}

// victimSearch is one pass's search for room held by tasks of lower priority.
type victimSearch struct {
	pass    *pass
	hosts   []*placement.Host            // all that may take tasks, full ones too
	victims map[*placement.Host][]victim // those of any rank, least loss first
	left    int                          // how many tasks room is still sought for
}

func (p *pass) newVictimSearch() *victimSearch {
	return &victimSearch{
		pass:    p,
		hosts:   p.allHosts(),
		victims: map[*placement.Host][]victim{},
		left:    maxEvictions,
	}
}

// on lists the tasks of a host that may be stopped, least loss first.
func (s *victimSearch) on(h *placement.Host) []victim {
	if list, ok := s.victims[h]; ok {
		return list
	}
	m := s.pass.scheduler.machines[h.Name]
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
	j, known := s.pass.snapshot.Job(t.Job)
	if !known || !j.Active || t.State == protocol.Exited || t.State == protocol.Saving || j.Spec.Kind == protocol.Gang {
		return v, false
	}
	ref := t.Ref()
	if _, evicted := s.pass.scheduler.evictions[ref]; evicted || !s.pass.keepsFloorWithout(j.Spec, 0) {
		return v, false
	}
	v = victim{ref: ref, spec: j.Spec}
	if since, running := m.runningSince[ref]; running {
		ran := s.pass.now.Sub(since).Seconds()
		if left := j.Spec.EstimateSeconds - ran; ran > left && left < nearlyDone {
			return v, false // much would be lost
		}
		v.lost = ran * j.Spec.CPUs
	}
	return v, true
}

// remove takes the chosen victims out of the search.
func (s *victimSearch) remove(chosen clearance) {
	s.victims[chosen.host] = slices.DeleteFunc(s.victims[chosen.host], func(v victim) bool {
		return slices.ContainsFunc(chosen.victims, func(c victim) bool { return c.ref == v.ref })
	})
}

// clearance is what to stop on a host so that a task has room there.
type clearance struct {
	host    *placement.Host // nil if there is none
	victims []victim
	lost    float64 // CPU seconds of the victims' progress
}

// cheapestRoom finds the machine where stopping tasks of lower priority loses least.
func (s *victimSearch) cheapestRoom(ask *placement.Request, job *jobstate.Job, zones *zoneRule) clearance {
	best := clearance{lost: math.Inf(1)}
	rank := protocol.Rank(job.Spec.Priority)
	for _, h := range s.hosts {
		if !ask.Allows(h) || job.Avoids(h.Name, s.pass.now) || !zones.allows(h) {
			continue
		}
		if found, ok := s.roomOn(h, ask, rank, best.lost); ok {
			best = found
		}
		if best.lost == 0 {
			break
		}
	}
	return best
}

// roomOn finds tasks below a rank on a host that leave room enough if they are stopped, and lose less than lowest.
func (s *victimSearch) roomOn(h *placement.Host, ask *placement.Request, rank int, lowest float64) (found clearance, ok bool) {
	room := *h
	found.host = h
	for _, v := range s.on(h) {
		if protocol.Rank(v.spec.Priority) >= rank {
			continue
		}
		room.Release(v.spec.CPUs, v.spec.GPUs, v.spec.MemoryGB)
		found.lost += v.lost
		if found.lost >= lowest {
			return found, false
		}
		found.victims = append(found.victims, v)
		if ask.Fits(&room) {
			return found, true
		}
	}
	return found, false
}
