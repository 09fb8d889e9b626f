package scheduler

import (
	"maps"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
)

// How long an eviction may take before other victims are selected in its place: until the victim has exited, and until it
// is forgotten, which needs a later term.
const (
	evictionTimeout = 5 * time.Second
	forgetTimeout   = time.Minute
)

// eviction is an eviction in progress: a task that is being stopped in favor of a job.
type eviction struct {
	job   string
	tasks int // number of the job's tasks that the freed capacity is for
	at    time.Time
	// The machine whose heartbeat has no room for the job's task until the victim is forgotten; "" if the victim's exit
	// suffices.
	listedOn string
	// For a gang: the victim's machine, and how many of the gang's tasks will run there once all victims on it have
	// exited.
	machine string
	slots   int
}

// timeout returns how long the eviction may take.
func (e *eviction) timeout() time.Duration {
	if e.listedOn != "" {
		return forgetTimeout
	}
	return evictionTimeout
}

// expireEvictions drops evictions that have timed out. It returns by job the number of tasks that the remaining
// evictions free capacity for.
func (s *Scheduler) expireEvictions(now time.Time) (servedTasks map[string]int) {
	servedTasks = map[string]int{}
	for ref, e := range s.evictions {
		if now.Sub(e.at) > e.timeout() {
			delete(s.evictions, ref)
		} else {
			servedTasks[e.job] += e.tasks
		}
	}
	return servedTasks
}

// forgetFinishedEvictions drops the evictions that are complete according to a machine's status: the victim has exited, or
// is no longer listed if that is what the job's task needs.
func (s *Scheduler) forgetFinishedEvictions(status *jobstate.MachineStatus) {
	if len(s.evictions) == 0 {
		return
	}
	alive := map[jobstate.AttemptRef]bool{}
	for _, t := range status.Tasks {
		alive[t.Ref()] = t.State != protocol.Exited
	}
	maps.DeleteFunc(s.evictions, func(ref jobstate.AttemptRef, e eviction) bool {
		isAlive, listed := alive[ref]
		if e.listedOn != "" {
			return e.listedOn == status.Machine && !listed
		}
		return listed && !isAlive
	})
}

// gangSlots returns the machines where tasks are being evicted for a gang, with the number of its tasks that will run
// on each.
func (s *Scheduler) gangSlots(uid string) map[string]int {
	slots := map[string]int{}
	for _, e := range s.evictions {
		if e.job == uid && e.machine != "" {
			slots[e.machine] = e.slots
		}
	}
	return slots
}

// evict records that a task is to be stopped and adds it to the result of the pass.
func (p *pass) evict(victim jobstate.AttemptRef, e eviction) {
	p.scheduler.evictions[victim] = e
	p.evictions = append(p.evictions, Eviction{Victim: victim, For: e.job})
}

// allHosts returns all machines that accept tasks, including full ones, with the capacity that this pass has left free.
func (p *pass) allHosts() []*placement.Host {
	if p.hostsCurrent {
		return p.scheduler.hosts.accepting.hosts
	}
	p.hostsCurrent = true
	return p.scheduler.Hosts(p.snapshot, p.now, nil)
}
