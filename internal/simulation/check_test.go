package simulation

import (
	"strings"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// TestCheckerDetectsViolations breaks each rule once and expects the checker to record it. A checker that misses a
// violation would let faulty runs pass.
func TestCheckerDetectsViolations(t *testing.T) {
	zone := "east"
	spec := &protocol.Submission{UID: "job-1", Team: "red", Tasks: 3, CPUs: 4, Zone: &zone}
	cancelled := func(c *Checker) {
		c.CancelTimeout = time.Nanosecond
		c.RecordCancellation("job-1")
		c.RecordAnswer("job-1", 200, protocol.Cancelled, false)
		time.Sleep(time.Microsecond)
	}
	for rule, breaks := range map[string]func(c *Checker){
		"ran_twice": func(c *Checker) {
			c.RecordStart("job-1/0", "m1", "t", "east", false)
			c.RecordStart("job-1/0", "m2", "t", "east", false)
		},
		"quota": func(c *Checker) {
			c.RecordStart("job-1/0", "m1", "t", "east", false)
			c.RecordStart("job-1/1", "m1", "t", "east", false)
			c.RecordStart("job-1/2", "m1", "t", "east", false)
		},
		"wrong_place": func(c *Checker) { c.RecordStart("job-1/0", "m1", "t", "west", false) },
		"wrong_place: two zones": func(c *Checker) {
			oneZone := &protocol.Submission{UID: "job-2", Team: "red", Tasks: 3, CPUs: 1, OneZone: true}
			c.RecordSubmission(oneZone)
			c.RecordStart("job-2/0", "m1", "t", "east", false)
			c.RecordStart("job-2/1", "m2", "t", "west", false)
		},
		"wrong_place: not spread": func(c *Checker) {
			spread := &protocol.Submission{UID: "job-2", Team: "red", Tasks: 3, CPUs: 1, Spread: true}
			c.RecordSubmission(spread)
			for i, machine := range []string{"m1", "m1", "m2"} {
				c.RecordStart(protocol.TaskName("job-2", i), machine, "t", "east", false)
			}
		},
		"went_back: both final": func(c *Checker) {
			c.RecordCancellation("job-1")
			before := c.KnownSoFar("job-1")
			for i := range 3 {
				c.RecordEnd(protocol.TaskName("job-1", i), true)
			}
			c.RecordOverlappingAnswer("job-1", before, 200, protocol.Cancelled, false)
			c.RecordOverlappingAnswer("job-1", before, 200, protocol.Done, false)
		},
		"ran_cancelled":        func(c *Checker) { cancelled(c); c.RecordStart("job-1/0", "m1", "t", "east", false) },
		"ran_cancelled: stays": func(c *Checker) { c.RecordStart("job-1/0", "m1", "t", "east", false); cancelled(c) },
		"forgotten": func(c *Checker) {
			c.RecordAnswer("job-1", 201, protocol.Pending, false)
			c.RecordAnswer("job-1", 404, "", false)
		},
		"invented":  func(c *Checker) { c.RecordAnswer("job-2", 200, protocol.Pending, false) },
		"not_done":  func(c *Checker) { c.RecordAnswer("job-1", 200, protocol.Done, false) },
		"went_back": func(c *Checker) { c.RecordAnswer("job-1", 200, protocol.Cancelled, false) },
	} {
		c := NewChecker(map[string]float64{"red": 8})
		c.RecordSubmission(spec)
		if len(c.BrokenRules()) != 0 {
			t.Fatalf("%s: the checker recorded a violation before anything happened", rule)
		}
		breaks(c)
		if got := c.BrokenRules(); len(got) == 0 || !strings.HasPrefix(got[0], strings.Split(rule, ":")[0]) {
			t.Errorf("%s: the checker recorded %v", rule, got)
		}
	}
}

// TestCancellationBeforeSubmission guards against reporting a job as cancelled without a request: a user may request the
// cancellation before the submission. A job that nobody asked to cancel is still reported.
func TestCancellationBeforeSubmission(t *testing.T) {
	c := NewChecker(map[string]float64{"red": 8})
	c.RecordCancellation("job-1")
	for _, uid := range []string{"job-1", "job-2"} {
		c.RecordSubmission(&protocol.Submission{UID: uid, Team: "red", Tasks: 1, CPUs: 1})
	}
	c.RecordAnswer("job-1", 200, protocol.Cancelled, false)
	if broken := c.BrokenRules(); len(broken) > 0 {
		t.Errorf("a job that was cancelled as requested: %v", broken)
	}
	c.RecordAnswer("job-2", 200, protocol.Cancelled, false)
	if broken := c.BrokenRuleNames(); len(broken) != 1 || broken[0] != "went_back" {
		t.Errorf("a job that nobody asked to cancel: %v, want went_back", broken)
	}
}
