package scheduler

import (
	"maps"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
)

// evictionLife is how long an eviction may take before its room is sought again.
const evictionLife = 5 * time.Second

// eviction is a task that was asked to make room for a job.
type eviction struct {
	job   string
	tasks int // of the job that the room will take
	at    time.Time
	// For a gang: where, and how many of its tasks are to run there once all that was asked to make room there has.
	machine string
	slots   int
}

// expireEvictions forgets evictions that took too long, and counts by job the tasks that the others make room for.
func (s *Scheduler) expireEvictions(now time.Time) (comingRoom map[string]int) {
	comingRoom = map[string]int{}
	for ref, e := range s.evictions {
		if now.Sub(e.at) > evictionLife {
			delete(s.evictions, ref)
		} else {
			comingRoom[e.job] += e.tasks
		}
	}
	return comingRoom
}

// forgetFinishedEvictions forgets evictions whose victims have exited, as a machine's status says.
func (s *Scheduler) forgetFinishedEvictions(status *jobstate.MachineStatus) {
	if len(s.evictions) == 0 {
		return
	}
	alive := map[jobstate.AttemptRef]bool{}
	for _, t := range status.Tasks {
		alive[t.Ref()] = t.State != protocol.Exited
	}
	maps.DeleteFunc(s.evictions, func(ref jobstate.AttemptRef, _ eviction) bool {
		isAlive, listed := alive[ref]
		return listed && !isAlive
	})
}

// gangSlots is where tasks are being stopped for a gang, and how many of its tasks are to run there.
func (s *Scheduler) gangSlots(uid string) map[string]int {
	slots := map[string]int{}
	for _, e := range s.evictions {
		if e.job == uid && e.machine != "" {
			slots[e.machine] = e.slots
		}
	}
	return slots
}

// evict has a task stopped.
func (p *pass) evict(victim jobstate.AttemptRef, e eviction) {
	p.scheduler.evictions[victim] = e
	p.evictions = append(p.evictions, Eviction{Victim: victim, For: e.job})
}

// allHosts lists all machines that may take tasks, those with room as this pass left them.
func (p *pass) allHosts() []*placement.Host {
	left := map[string]*placement.Host{}
	for _, h := range p.hosts {
		left[h.Name] = h
	}
	hosts := p.scheduler.Hosts(p.snapshot, p.now, nil)
	for i, h := range hosts {
		if x := left[h.Name]; x != nil {
			hosts[i] = x
		}
	}
	return hosts
}
