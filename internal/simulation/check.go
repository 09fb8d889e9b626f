package simulation

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"topazhollow/internal/protocol"
)

// Checker records submissions, answers, starts and ends, and every violation of the protocol's rules.
type Checker struct {
	// CancelTimeout is how long a job's tasks may stay on machines after a user received the answer that the job is
	// cancelled; 0: no limit.
	CancelTimeout time.Duration

	mu      sync.Mutex
	limits  map[string]float64 // CPUs by team
	jobs    map[string]*jobRecord
	early   map[string]bool      // jobs whose users requested the cancellation before they submitted them
	running map[string]placement // tasks on machines
	Broken  []string
	Started int
}

// placement is the machine that a task is on.
type placement struct {
	machine, zone string
}

type jobRecord struct {
	spec            *protocol.Submission
	accepted        bool
	acceptedAt      time.Time         // when a user was first told so
	stored          bool              // the state service has had the end of the job, which was done
	final           protocol.JobState // as answered to a user
	finalAt         time.Time
	overdueReported bool // a task on a machine past the cancel timeout was recorded as a violation
	cancelRequested bool // by its user
	done            map[int]bool
}

// NewChecker returns a checker with the teams' CPU limits.
func NewChecker(limits map[string]float64) *Checker {
	return &Checker{limits: limits, jobs: map[string]*jobRecord{}, early: map[string]bool{}, running: map[string]placement{}}
}

// recordViolation records a violation of a rule. The caller holds the lock.
func (c *Checker) recordViolation(rule, format string, args ...any) {
	c.Broken = append(c.Broken, rule+": "+fmt.Sprintf(format, args...))
}

// BrokenRules returns the violations recorded so far.
func (c *Checker) BrokenRules() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, at := range c.running {
		uid, _, _ := protocol.SplitTask(task)
		if t := c.jobs[uid]; t != nil && c.pastCancelTimeout(t) && !t.overdueReported {
			t.overdueReported = true
			c.recordViolation("ran_cancelled", "%s is on %s", task, at.machine)
		}
	}
	return append([]string(nil), c.Broken...)
}

// BrokenRuleNames returns the names of the violated rules, each once, in alphabetical order.
func (c *Checker) BrokenRuleNames() (names []string) {
	for _, violation := range c.BrokenRules() {
		name, _, _ := strings.Cut(violation, ":")
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// pastCancelTimeout reports whether a job was cancelled so long ago that no task of it may be on a machine.
func (c *Checker) pastCancelTimeout(t *jobRecord) bool {
	return c.CancelTimeout > 0 && t.final == protocol.Cancelled && time.Since(t.finalAt) > c.CancelTimeout
}

// RecordSubmission records that a user is about to submit a job.
func (c *Checker) RecordSubmission(spec *protocol.Submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[spec.UID] == nil {
		c.jobs[spec.UID] = &jobRecord{spec: spec, done: map[int]bool{}, cancelRequested: c.early[spec.UID]}
	}
}

// Spec returns a submitted job, or nil. Simulated agents use it to look up what they run.
func (c *Checker) Spec(uid string) *protocol.Submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.jobs[uid]; t != nil {
		return t.spec
	}
	return nil
}

// KnownAnswer is what users had been answered about a job when a request was sent. The request's answer must not be
// older than that; it may be older than what other users are answered while the request is under way.
type KnownAnswer struct {
	accepted bool
	final    protocol.JobState
	orphaned string // a job before it that was cancelled longer ago than the cancel timeout; "" if there is none
}

// KnownSoFar returns what users have been answered about a job so far, to check the answer to a request that is sent
// now.
func (c *Checker) KnownSoFar(uid string) KnownAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownAnswer(uid)
}

func (c *Checker) knownAnswer(uid string) KnownAnswer {
	t := c.jobs[uid]
	if t == nil {
		return KnownAnswer{}
	}
	return KnownAnswer{accepted: t.accepted, final: t.final, orphaned: c.orphanedBy(t)}
}

// RecordAnswer records the status code and state that a user received about a job, for requests that no other request
// about the job overlaps. With repeat, the request was a submission: once the job is accepted, it must not be rejected.
func (c *Checker) RecordAnswer(uid string, status int, state protocol.JobState, repeat bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordAnswer(uid, c.knownAnswer(uid), status, state, repeat)
}

// RecordOverlappingAnswer is RecordAnswer for requests that may overlap: before is what KnownSoFar returned when this
// request was sent.
func (c *Checker) RecordOverlappingAnswer(uid string, before KnownAnswer, status int, state protocol.JobState, repeat bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordAnswer(uid, before, status, state, repeat)
}

func (c *Checker) recordAnswer(uid string, before KnownAnswer, status int, state protocol.JobState, repeat bool) {
	final := state == protocol.Done || state == protocol.Cancelled
	t := c.jobs[uid]
	switch {
	case t == nil && status == 200:
		c.recordViolation("invented", "%s", uid)
		return
	case t == nil:
		return
	case status == 404 && before.accepted, repeat && before.accepted && (status == 400 || status == 422):
		c.recordViolation("forgotten", "%s got %d", uid, status)
	case status == 200 || status == 201:
		if !t.accepted {
			t.accepted, t.acceptedAt = true, time.Now()
		}
		if before.final != "" && state != before.final || final && t.final != "" && state != t.final {
			c.recordViolation("went_back", "%s: %s after %s", uid, state, t.final)
		}
		if !final && before.orphaned != "" {
			c.recordViolation("orphaned", "%s is %s although %s before it was cancelled", uid, state, before.orphaned)
		}
		if state == protocol.Cancelled && !c.mayBeCancelled(t) {
			c.recordViolation("went_back", "%s was cancelled, but not by its user", uid)
		}
		if final {
			if t.final == "" {
				t.finalAt = time.Now()
			}
			t.final = state
		}
		if state == protocol.Done && len(t.done) < t.spec.Tasks {
			c.recordViolation("not_done", "%s: %d of %d tasks", uid, len(t.done), t.spec.Tasks)
		}
	}
}

// RecordCancellation records that a job's user requests its cancellation, which may be before its submission.
func (c *Checker) RecordCancellation(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.jobs[uid]; t != nil {
		t.cancelRequested = true
	} else {
		c.early[uid] = true
	}
}

// RecordStart records that a task started on a machine, and checks the rules about duplicates, cancellation, placement,
// dependencies and quota.
func (c *Checker) RecordStart(task, machine, typ, zone string, spot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Started++
	uid, _, _ := protocol.SplitTask(task)
	t := c.jobs[uid]
	if other, there := c.running[task]; there {
		c.recordViolation("ran_twice", "%s on %s and %s", task, other.machine, machine)
	}
	c.running[task] = placement{machine, zone}
	if t == nil {
		c.recordViolation("invented", "%s runs", task)
		return
	}
	if c.pastCancelTimeout(t) {
		c.recordViolation("ran_cancelled", "%s on %s", task, machine)
	}
	if (spot && !t.spec.Spot) || (t.spec.Zone != nil && *t.spec.Zone != zone) || (t.spec.Types != nil && !contains(t.spec.Types, typ)) {
		c.recordViolation("wrong_place", "%s on %s", task, machine)
	}
	c.checkDependencies(t.spec, task, machine)
	c.checkZones(t.spec, zone)
	used := 0.0
	for other := range c.running {
		u, _, _ := protocol.SplitTask(other)
		if o := c.jobs[u]; o != nil && o.spec.Team == t.spec.Team {
			used += o.spec.CPUs
		}
	}
	if used > c.limits[t.spec.Team]+1e-6 {
		c.recordViolation("quota", "%s uses %g", t.spec.Team, used)
	}
}

// checkZones checks a job's running tasks against its zone constraints after a task started in a zone.
func (c *Checker) checkZones(spec *protocol.Submission, zone string) {
	zones := map[string]int{}
	for task, at := range c.running {
		if uid, _, _ := protocol.SplitTask(task); uid == spec.UID {
			zones[at.zone]++
		}
	}
	if spec.OneZone && len(zones) > 1 {
		c.recordViolation("wrong_place", "%s is in %d zones at a time", spec.UID, len(zones))
	}
	if most := (spec.Tasks + 1) / 2; spec.Spread && zones[zone] > most {
		c.recordViolation("wrong_place", "%s has %d of %d tasks in one zone", spec.UID, zones[zone], spec.Tasks)
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

// RecordEnd records that a task left its machine; done says that it completed.
func (c *Checker) RecordEnd(task string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, task)
	uid, index, _ := protocol.SplitTask(task)
	t := c.jobs[uid]
	switch {
	case t == nil || !done:
	case t.spec.Kind == protocol.Gang: // its tasks complete together
		for i := range t.spec.Tasks {
			t.done[i] = true
		}
	default:
		t.done[index] = true
	}
}

// Starts returns the number of task starts so far.
func (c *Checker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Started
}

// CountRunningOfJob returns how many of a job's tasks are on machines.
func (c *Checker) CountRunningOfJob(uid string) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.running {
		if job, _, _ := protocol.SplitTask(task); job == uid {
			count++
		}
	}
	return count
}

// CountRunning returns how many tasks are on machines.
func (c *Checker) CountRunning() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// CPUsByClass returns the CPUs of the tasks on machines, by the class of their jobs.
func (c *Checker) CPUsByClass() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := map[string]float64{}
	for task := range c.running {
		uid, _, _ := protocol.SplitTask(task)
		if t := c.jobs[uid]; t != nil {
			sum[t.spec.Class] += t.spec.CPUs
		}
	}
	return sum
}
