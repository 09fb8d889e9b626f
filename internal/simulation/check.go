package simulation

import (
	"fmt"
	"sync"
	"time"

	"topazhollow/internal/protocol"
)

// Checker follows what happens and notes every broken rule of the protocol.
type Checker struct {
	// Cancel is how long after a user was told that a job is cancelled its tasks may be on machines; 0:
	// for ever.
	CancelTimeout time.Duration

	mu      sync.Mutex
	limits  map[string]float64 // CPUs by team
	jobs    map[string]*jobRecord
	on      map[string]place // what is on machines, by task
	Broken  []string
	Started int
}

// place is where a task is.
type place struct {
	machine, zone string
}

type jobRecord struct {
	spec      *protocol.Submission
	accepted  bool
	final     protocol.JobState // as a user was told
	told      time.Time
	overdue   bool // noted
	withdrawn bool // its user asked
	done      map[int]bool
}

// NewChecker is a checker with the teams' limits.
func NewChecker(limits map[string]float64) *Checker {
	return &Checker{limits: limits, jobs: map[string]*jobRecord{}, on: map[string]place{}}
}

func (c *Checker) breakRule(rule, format string, args ...any) {
	c.Broken = append(c.Broken, rule+": "+fmt.Sprintf(format, args...))
}

// BrokenRules gives the rules broken so far.
func (c *Checker) BrokenRules() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, at := range c.on {
		uid, _, _ := protocol.SplitTask(task)
		if t := c.jobs[uid]; t != nil && c.late(t) && !t.overdue {
			t.overdue = true
			c.breakRule("ran_cancelled", "%s is on %s", task, at.machine)
		}
	}
	return append([]string(nil), c.Broken...)
}

// late says whether a job was cancelled so long ago that no task of it may be on a machine.
func (c *Checker) late(t *jobRecord) bool {
	return c.CancelTimeout > 0 && t.final == protocol.Cancelled && time.Since(t.told) > c.CancelTimeout
}

// RecordSubmission notes that a user is about to submit a job.
func (c *Checker) RecordSubmission(spec *protocol.Submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[spec.UID] == nil {
		c.jobs[spec.UID] = &jobRecord{spec: spec, done: map[int]bool{}}
	}
}

// Spec finds a submitted job, as agents do.
func (c *Checker) Spec(uid string) *protocol.Submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.jobs[uid]; t != nil {
		return t.spec
	}
	return nil
}

// KnownAnswer is what users had been told of a job when a request was sent; only that binds its answer.
type KnownAnswer struct {
	accepted bool
	final    protocol.JobState
}

// KnownSoFar gives what users were told of a job so far, for the answer to a request that is sent now.
func (c *Checker) KnownSoFar(uid string) KnownAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known(uid)
}

func (c *Checker) known(uid string) KnownAnswer {
	t := c.jobs[uid]
	if t == nil {
		return KnownAnswer{}
	}
	return KnownAnswer{accepted: t.accepted, final: t.final}
}

// RecordAnswer notes what a user was told of a job by a status code and a state, in answer to a request that no other one
// about the job overlapped.
func (c *Checker) RecordAnswer(uid string, status int, state protocol.JobState, repeat bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered(uid, c.known(uid), status, state, repeat)
}

// RecordOverlappingAnswer is Told for requests that may overlap: before is what Asking gave when this one was sent.
func (c *Checker) RecordOverlappingAnswer(uid string, before KnownAnswer, status int, state protocol.JobState, repeat bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered(uid, before, status, state, repeat)
}

func (c *Checker) answered(uid string, before KnownAnswer, status int, state protocol.JobState, repeat bool) {
	final := state == protocol.Done || state == protocol.Cancelled
	t := c.jobs[uid]
	switch {
	case t == nil && status == 200:
		c.breakRule("invented", "%s", uid)
		return
	case t == nil:
		return
	case status == 404 && before.accepted, repeat && before.accepted && (status == 400 || status == 422):
		c.breakRule("forgotten", "%s got %d", uid, status)
	case status == 200 || status == 201:
		t.accepted = true
		if before.final != "" && state != before.final || final && t.final != "" && state != t.final {
			c.breakRule("went_back", "%s: %s after %s", uid, state, t.final)
		}
		if state == protocol.Cancelled && !t.withdrawn {
			c.breakRule("went_back", "%s withdrawn, but not by its user", uid)
		}
		if final {
			if t.final == "" {
				t.told = time.Now()
			}
			t.final = state
		}
		if state == protocol.Done && len(t.done) < t.spec.Tasks {
			c.breakRule("not_done", "%s: %d of %d tasks", uid, len(t.done), t.spec.Tasks)
		}
	}
}

// RecordCancellation notes that a job's user asks to cancel it.
func (c *Checker) RecordCancellation(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.jobs[uid]; t != nil {
		t.withdrawn = true
	}
}

// RecordStart notes that a task got onto a machine.
func (c *Checker) RecordStart(task, machine, typ, zone string, spot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Started++
	uid, _, _ := protocol.SplitTask(task)
	t := c.jobs[uid]
	if other, there := c.on[task]; there {
		c.breakRule("ran_twice", "%s on %s and %s", task, other.machine, machine)
	}
	c.on[task] = place{machine, zone}
	if t == nil {
		c.breakRule("invented", "%s runs", task)
		return
	}
	if c.late(t) {
		c.breakRule("ran_cancelled", "%s on %s", task, machine)
	}
	if (spot && !t.spec.Spot) || (t.spec.Zone != nil && *t.spec.Zone != zone) || (t.spec.Types != nil && !contains(t.spec.Types, typ)) {
		c.breakRule("wrong_place", "%s on %s", task, machine)
	}
	c.checkZones(t.spec, zone)
	used := 0.0
	for other := range c.on {
		u, _, _ := protocol.SplitTask(other)
		if o := c.jobs[u]; o != nil && o.spec.Team == t.spec.Team {
			used += o.spec.CPUs
		}
	}
	if used > c.limits[t.spec.Team]+1e-6 {
		c.breakRule("quota", "%s uses %g", t.spec.Team, used)
	}
}

// checkZones checks a job's tasks on machines against its wishes for zones, after one started in a zone.
func (c *Checker) checkZones(spec *protocol.Submission, zone string) {
	zones := map[string]int{}
	for task, at := range c.on {
		if uid, _, _ := protocol.SplitTask(task); uid == spec.UID {
			zones[at.zone]++
		}
	}
	if spec.OneZone && len(zones) > 1 {
		c.breakRule("wrong_place", "%s is in %d zones at a time", spec.UID, len(zones))
	}
	if most := (spec.Tasks + 1) / 2; spec.Spread && zones[zone] > most {
		c.breakRule("wrong_place", "%s has %d of %d tasks in one zone", spec.UID, zones[zone], spec.Tasks)
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// RecordEnd notes that a task left its machine; done says that it completed.
func (c *Checker) RecordEnd(task string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.on, task)
	uid, index, _ := protocol.SplitTask(task)
	if t := c.jobs[uid]; t != nil && done {
		t.done[index] = true
	}
}

// Starts counts the tasks that got onto a machine so far.
func (c *Checker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Started
}

// CountOfJob counts a job's tasks that are on machines.
func (c *Checker) CountRunningOfJob(uid string) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.on {
		if job, _, _ := protocol.SplitTask(task); job == uid {
			count++
		}
	}
	return count
}

// CountOnMachines counts the tasks that are on machines.
func (c *Checker) CountRunning() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.on)
}

// CPUsByClass sums up the CPUs of the tasks on machines, by class of their jobs.
func (c *Checker) CPUsByClass() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := map[string]float64{}
	for task := range c.on {
		uid, _, _ := protocol.SplitTask(task)
		if t := c.jobs[uid]; t != nil {
			sum[t.spec.Class] += t.spec.CPUs
		}
	}
	return sum
}
