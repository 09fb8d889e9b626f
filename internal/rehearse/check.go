package rehearse

import (
	"fmt"
	"sync"
	"time"

	"topazhollow/internal/wire"
)

// Checker follows what happens and notes every broken rule of the protocol.
type Checker struct {
	// Cancel is how long after a user was told that a job is withdrawn its tasks may be on machines; 0:
	// for ever.
	Cancel time.Duration

	mu      sync.Mutex
	limits  map[string]float64 // CPUs by team
	jobs    map[string]*truth
	on      map[string]string // task -> machine
	Broken  []string
	Started int
}

type truth struct {
	spec      *wire.Submission
	accepted  bool
	final     string // as a user was told
	told      time.Time
	overdue   bool // noted
	withdrawn bool // its user asked
	done      map[int]bool
}

// NewChecker is a checker with the teams' limits.
func NewChecker(limits map[string]float64) *Checker {
	return &Checker{limits: limits, jobs: map[string]*truth{}, on: map[string]string{}}
}

func (c *Checker) fault(rule, format string, args ...any) {
	c.Broken = append(c.Broken, rule+": "+fmt.Sprintf(format, args...))
}

// Rules gives the rules broken so far.
func (c *Checker) Rules() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, machine := range c.on {
		uid, _, _ := wire.SplitTask(task)
		if t := c.jobs[uid]; t != nil && c.late(t) && !t.overdue {
			t.overdue = true
			c.fault("ran_cancelled", "%s is on %s", task, machine)
		}
	}
	return append([]string(nil), c.Broken...)
}

// late says whether a job was withdrawn so long ago that no task of it may be on a machine.
func (c *Checker) late(t *truth) bool {
	return c.Cancel > 0 && t.final == wire.Withdrawn && time.Since(t.told) > c.Cancel
}

// Submitting notes that a user is about to submit a job.
func (c *Checker) Submitting(spec *wire.Submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[spec.UID] == nil {
		c.jobs[spec.UID] = &truth{spec: spec, done: map[int]bool{}}
	}
}

// Spec finds a submitted job, as workers do.
func (c *Checker) Spec(uid string) *wire.Submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.jobs[uid]; t != nil {
		return t.spec
	}
	return nil
}

// Told notes what a user was told of a job by a status code and a state.
func (c *Checker) Told(uid string, status int, state string, repeat bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.jobs[uid]
	switch {
	case t == nil && status == 200:
		c.fault("invented", "%s", uid)
		return
	case t == nil:
		return
	case status == 404 && t.accepted, repeat && t.accepted && (status == 400 || status == 422):
		c.fault("forgotten", "%s got %d", uid, status)
	case status == 200 || status == 201:
		t.accepted = true
		if t.final != "" && state != t.final {
			c.fault("went_back", "%s: %s after %s", uid, state, t.final)
		}
		if state == wire.Withdrawn && !t.withdrawn {
			c.fault("went_back", "%s withdrawn, but not by its user", uid)
		}
		if state == wire.Done || state == wire.Withdrawn {
			if t.final == "" {
				t.told = time.Now()
			}
			t.final = state
		}
		if state == wire.Done && len(t.done) < t.spec.Tasks {
			c.fault("not_done", "%s: %d of %d tasks", uid, len(t.done), t.spec.Tasks)
		}
	}
}

// Withdrawing notes that a job's user asks to cancel it.
func (c *Checker) Withdrawing(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[uid].withdrawn = true
}

// Start notes that a task got onto a machine.
func (c *Checker) Start(task, machine, typ, zone string, spot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Started++
	uid, _, _ := wire.SplitTask(task)
	t := c.jobs[uid]
	if other, there := c.on[task]; there {
		c.fault("ran_twice", "%s on %s and %s", task, other, machine)
	}
	c.on[task] = machine
	if t == nil {
		c.fault("invented", "%s runs", task)
		return
	}
	if c.late(t) {
		c.fault("ran_cancelled", "%s on %s", task, machine)
	}
	if (spot && !t.spec.Spot) || (t.spec.Zone != nil && *t.spec.Zone != zone) || (t.spec.Types != nil && !contains(t.spec.Types, typ)) {
		c.fault("wrong_place", "%s on %s", task, machine)
	}
	used := 0.0
	for other := range c.on {
		u, _, _ := wire.SplitTask(other)
		if o := c.jobs[u]; o != nil && o.spec.Team == t.spec.Team {
			used += o.spec.CPUs
		}
	}
	if used > c.limits[t.spec.Team]+1e-6 {
		c.fault("quota", "%s uses %g", t.spec.Team, used)
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

// End notes that a task left its machine; done says that it completed.
func (c *Checker) End(task string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.on, task)
	uid, index, _ := wire.SplitTask(task)
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

// On counts the tasks that are on machines.
func (c *Checker) On() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.on)
}

// Using sums up the CPUs of the tasks on machines, by class of their jobs.
func (c *Checker) Using() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := map[string]float64{}
	for task := range c.on {
		uid, _, _ := wire.SplitTask(task)
		if t := c.jobs[uid]; t != nil {
			sum[t.spec.Class] += t.spec.CPUs
		}
	}
	return sum
}
