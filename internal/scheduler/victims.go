package scheduler

import (
	"cmp"
	"math"
	"slices"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
)

// nearlyDoneSeconds is the remaining run time in seconds below which a task past half of its estimate is not stopped.
const nearlyDoneSeconds = 60

// isNearlyDone reports whether so little of a task that ran for a number of seconds is left that it is not stopped.
// Replicas of a service run without an end.
func isNearlyDone(spec *protocol.Submission, ran float64) bool {
	left := spec.EstimateSeconds - ran
	return spec.Kind != protocol.Service && ran > left && left < nearlyDoneSeconds
}

// victim is a running task that may be stopped in favor of others.
type victim struct {
	ref            jobstate.AttemptRef
	spec           *protocol.Submission
	lostCPUSeconds float64 // CPU seconds of progress that stopping it discards
}

// victimSearch is a pass's search for tasks of lower priority to stop.
type victimSearch struct {
	pass           *pass
	hosts          []*placement.Host            // all machines that accept tasks, including full ones
	victims        map[*placement.Host][]victim // candidates of any priority, sorted by loss
	remainingTasks int                          // number of waiting tasks that may still be served; see maxEvictions
	tasksOfJob     map[string]int               // on machines, by job; nil unless the fleet is saturated
}

func (p *pass) newVictimSearch() *victimSearch {
	s := &victimSearch{
		pass:           p,
		hosts:          p.allHosts(),
		victims:        map[*placement.Host][]victim{},
		remainingTasks: maxEvictions,
	}
	if p.saturated {
		s.tasksOfJob = p.scheduler.tasksOnMachines()
	}
	return s
}

// tasksOnMachines returns how many tasks of each job are on machines.
func (s *Scheduler) tasksOnMachines() map[string]int {
	count := map[string]int{}
	for _, m := range s.orderedMachines {
		for i := range m.status.Tasks {
			if t := &m.status.Tasks[i]; t.State != protocol.Exited {
				count[t.Job]++
			}
		}
	}
	return count
}

// isOnlyTask reports whether a task is the only one of its job on a machine in a saturated fleet. The job would have to
// begin again, and its first task would be placed before the work that the task was stopped for.
func (s *victimSearch) isOnlyTask(job string) bool {
	return s.tasksOfJob != nil && s.tasksOfJob[job] <= 1
}

// candidatesOn returns the tasks of a host that may be stopped, sorted by loss.
func (s *victimSearch) candidatesOn(h *placement.Host) []victim {
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
		return cmp.Or(cmp.Compare(a.lostCPUSeconds, b.lostCPUSeconds), cmp.Compare(a.ref.Attempt, b.ref.Attempt))
	})
	s.victims[h] = list
	return list
}

// victim returns a task as a victim with the progress that stopping it discards. ok is false if it must not be stopped.
func (s *victimSearch) victim(m *machine, t *jobstate.TaskStatus) (v victim, ok bool) {
	j, known := s.pass.snapshot.Job(t.Job)
	if !known || !j.Active || t.State == protocol.Exited || t.State == protocol.Saving || j.Spec.Kind == protocol.Gang {
		return v, false
	}
	ref := t.Ref()
	if _, evicted := s.pass.scheduler.evictions[ref]; evicted || s.isOnlyTask(t.Job) || !s.pass.keepsFloorWithout(j.Spec, 0) {
		return v, false
	}
	v = victim{ref: ref, spec: j.Spec}
	if since, running := m.runningSince[ref]; running {
		ran := s.pass.now.Sub(since).Seconds()
		if isNearlyDone(j.Spec, ran) {
			return v, false // too much progress would be lost
		}
		v.lostCPUSeconds = ran * j.Spec.CPUs
	}
	return v, true
}

// remove removes the chosen victims from the search.
func (s *victimSearch) remove(chosen evictionSet) {
	s.victims[chosen.host] = slices.DeleteFunc(s.victims[chosen.host], func(v victim) bool {
		return slices.ContainsFunc(chosen.victims, func(c victim) bool { return c.ref == v.ref })
	})
}

// evictionSet is a set of victims on a host whose end makes room for a task there.
type evictionSet struct {
	host           *placement.Host // nil if no such set was found
	victims        []victim
	lostCPUSeconds float64 // CPU seconds of the victims' progress
	listed         bool    // the host's heartbeat has no room for the task until victims are forgotten
}

// listedOn returns the host if its heartbeat has no room for the task yet, and "" otherwise.
func (s *evictionSet) listedOn() string {
	if s.listed {
		return s.host.Name
	}
	return ""
}

// cheapestEvictionSet finds the host where making room for a task discards the least progress.
func (s *victimSearch) cheapestEvictionSet(ask *placement.Request, job *jobstate.Job, zones *zoneRule) evictionSet {
	best := evictionSet{lostCPUSeconds: math.Inf(1)}
	rank := protocol.Rank(job.Spec.Priority)
	for _, h := range s.hosts {
		if !ask.Allows(h) || job.Avoids(h.Name, s.pass.now) || !zones.allows(h) {
			continue
		}
		if found, ok := s.evictionSetOn(h, ask, rank, best.lostCPUSeconds); ok {
			best = found
		}
		if best.lostCPUSeconds == 0 {
			break
		}
	}
	return best
}

// evictionSetOn selects victims of a priority below rank on a host that make room for ask. ok is false if there are
// none or their loss is not below lowest.
func (s *victimSearch) evictionSetOn(h *placement.Host, ask *placement.Request, rank int, lowest float64) (found evictionSet, ok bool) {
	room := *h
	found.host, found.listed = h, h.ListedBytes < ask.ListedBytes
	for _, v := range s.candidatesOn(h) {
		if protocol.Rank(v.spec.Priority) >= rank {
			continue
		}
		room.Release(v.spec.CPUs, v.spec.GPUs, v.spec.MemoryGB)
		room.ListedBytes += protocol.ListedBytes(protocol.TaskNameLength(v.ref.Job, v.ref.Index))
		found.lostCPUSeconds += v.lostCPUSeconds
		if found.lostCPUSeconds >= lowest {
			return found, false
		}
		found.victims = append(found.victims, v)
		if ask.Fits(&room) {
			return found, true
		}
	}
	return found, false
}
